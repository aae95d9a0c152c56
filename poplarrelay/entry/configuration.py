"""What operators have put in force: routes, services, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
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

#: A service's name in the configuration.
ServiceName = NewType("ServiceName", str)
#: Number of a configuration; a larger one is newer.
ConfigurationVersion = NewType("ConfigurationVersion", int)


class RouteKind(Enum):
    """How the requests of a route may be treated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The part of a route's requests that one service gets."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests to one host below one path prefix.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting.
    target_s : float
        Time to the answer, or to a stream's first event, that callers aim for.
    priority : int
        Rank of the requests; 0 goes first.
    max_attempts : int
        Endpoints to which one request may be sent.
    anonymous : bool
        Whether requests need no key.
    affinity : bool
        Whether requests share prompt prefixes.
    resumable : bool
        Whether a broken stream may go on at another endpoint.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one model engine holds: concurrent requests and KV cache tokens."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """Bounds on the endpoints ordered in one failure domain, and their prices.

    Attributes
    ----------
    least, most : int
        Bounds on reclaimable and on-demand endpoints together.
    boot_s : float
        Time from an order until the endpoint serves.
    reclaimable_price : float
        Price of a reclaimable endpoint as a share of an on-demand one.
    domain_prices : dict of DomainId to float
        Price of an on-demand endpoint second, by failure domain.
    """

    least: int
    most: int
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
    """Tokens (or requests) that a team may use, over all nodes together.

    Attributes
    ----------
    per_s, burst : float
        Refill rate and size of the bucket; a rate of 0 means no limit.
    in_tokens : bool
        Whether requests count by their tokens rather than one each.
    default_cost : float
        Cost of a request that states no tokens.
    """

    per_s: float
    burst: float
    in_tokens: bool
    default_cost: float


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its callers' keys."""

    name: TeamId
    keys: frozenset[str]
    priority: int | None
    quota: Quota | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators set."""

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    teams: dict[TeamId, Team]
    limits: CallerLimits = CallerLimits()
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    team_by_key: dict[str, Team] = field(default_factory=dict)

    @classmethod
    def from_parts(
        cls,
        version: ConfigurationVersion,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        teams: tuple[Team, ...],
        limits: CallerLimits,
    ) -> Configuration:
        """Return a configuration with its look-up tables.

        Notes
        -----
        Routes of a host are sorted by falling prefix length, so the first one
        that matches is the longest. Lookup costs the routes of one host.
        """
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        return cls(
            version=version,
            routes=routes,
            services={service.name: service for service in services},
            teams={team.name: team for team in teams},
            limits=limits,
            routes_by_host={
                host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
                for host, found in by_host.items()
            },
            team_by_key={key: team for team in teams for key in team.keys},
        )
