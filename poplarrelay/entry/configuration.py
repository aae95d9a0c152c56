"""Configuration set by operators: routes, services, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NewType

from poplarrelay.identifiers import DomainId, TeamId

__all__ = [
    "CallerLimits",
    "Configuration",
    "ConfigurationVersion",
    "EngineLimits",
    "Quota",
    "Route",
    "RouteKind",
    "ScalingLimits",
    "Service",
    "ServiceName",
    "ServiceShare",
    "Team",
]

#: Name of a service in the configuration.
ServiceName = NewType("ServiceName", str)
#: Version number of a configuration; a larger number is newer.
ConfigurationVersion = NewType("ConfigurationVersion", int)


class RouteKind(Enum):
    """Kind of a route, which decides whether its requests can be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight with which a route sends requests to one service."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests to one host whose path starts with one prefix.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller waits.
    target_s : float
        Target time until the response, or until the first event of a stream.
    priority : int
        Rank of the requests; requests with rank 0 are served first.
    max_attempts : int
        Largest number of endpoints to which one request is sent.
    anonymous : bool
        Whether requests need no key.
    affinity : bool
        Whether requests share prompt prefixes.
    resumable : bool
        Whether another endpoint can continue a broken stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    anonymous: bool = False
    affinity: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request of this route can safely run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Limits of one model engine: concurrent requests and KV cache tokens."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """Bounds on the endpoints ordered in one failure domain, and their prices.

    Attributes
    ----------
    min_endpoints, max_endpoints : int
        Bounds on the total number of reclaimable and on-demand endpoints.
    boot_s : float
        Time from the order of an endpoint until it serves requests.
    reclaimable_price : float
        Price of a reclaimable endpoint as a fraction of the on-demand price.
    domain_prices : dict of DomainId to float
        Price of an on-demand endpoint per second, by failure domain.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    reclaimable_price: float
    domain_prices: dict[DomainId, float]


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable endpoints."""

    name: ServiceName
    max_connections: int
    engine: EngineLimits | None = None
    scaling: ScalingLimits | None = None


@dataclass(frozen=True, slots=True)
class Quota:
    """Token bucket of a team, shared by all nodes.

    Attributes
    ----------
    per_s, burst : float
        Refill rate per second and size of the bucket; a rate of 0 means no limit.
    in_tokens : bool
        Whether a request costs its number of tokens; otherwise it costs 1.
    default_cost : float
        Cost of a request that states no number of tokens.
    """

    per_s: float
    burst: float
    in_tokens: bool
    default_cost: float


@dataclass(frozen=True, slots=True)
class Team:
    """A team and the keys of its callers."""

    name: TeamId
    keys: frozenset[str]
    priority: int | None
    quota: Quota | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the time that callers take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes
    ----------
    checks_keys : bool
        Whether requests need the key of a team. If there are no teams, nobody has one.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    teams: dict[TeamId, Team]
    limits: CallerLimits = CallerLimits()
    checks_keys: bool = False
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    team_by_key: dict[str, Team] = field(default_factory=dict)
    most_urgent_by_service: dict[ServiceName, int] = field(default_factory=dict)

    @property
    def has_contenders(self) -> bool:
        """Return whether requests differ in team or priority."""
        return len(self.teams) > 1 or len({r.priority for r in self.routes}) > 1

    def most_urgent(self, service: ServiceName) -> int:
        """Return the priority of the most urgent requests for a service."""
        return self.most_urgent_by_service.get(service, 0)

    @classmethod
    def from_parts(
        cls,
        version: ConfigurationVersion,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        teams: tuple[Team, ...] | None,
        limits: CallerLimits,
    ) -> Configuration:
        """Return a configuration with its lookup tables.

        Parameters
        ----------
        teams : tuple of Team or None
            The teams, None if requests need no keys.

        Notes
        -----
        The routes of a host are sorted by descending prefix length, so the first match
        has the longest prefix. A lookup scans only the routes of one host.
        """
        checks_keys, teams = teams is not None, teams or ()
        by_host: dict[str, list[Route]] = {}
        most_urgent: dict[ServiceName, int] = {}
        team_priority = min(
            (team.priority for team in teams if team.priority is not None), default=inf
        )
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
            for share in route.shares:
                priority = int(min(route.priority, team_priority))
                known = most_urgent.get(share.service, priority)
                most_urgent[share.service] = min(known, priority)
        return cls(
            version=version,
            routes=routes,
            services={service.name: service for service in services},
            teams={team.name: team for team in teams},
            limits=limits,
            checks_keys=checks_keys,
            routes_by_host={
                host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
                for host, found in by_host.items()
            },
            team_by_key={key: team for team in teams for key in team.keys},
            most_urgent_by_service=most_urgent,
        )
