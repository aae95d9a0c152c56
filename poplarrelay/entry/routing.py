"""Which route a request takes, for which team, to which service."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from poplarrelay.entry.configuration import (
    Configuration,
    Route,
    ServiceName,
    Team,
)
from poplarrelay.entry.requests import CallerRequest

__all__ = ["Admitted", "Denied", "NoRoute", "admit", "choose_service", "match_route"]


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration allows.

    Attributes
    ----------
    team : Team or None
        The team that holds the caller's key, None without one.
    priority : int
        Rank of the request; 0 goes first.
    """

    route: Route
    team: Team | None
    priority: int


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No route of the host begins the path."""


@dataclass(frozen=True, slots=True)
class Denied:
    """The route asks for a key, and the caller's is none that a team holds."""

    route: Route


def match_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path.

    Notes
    -----
    Prefixes end with a slash, so ``/a/`` does not match ``/ab``. Costs one
    comparison for each longer route of the same host.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def admit(
    configuration: Configuration, request: CallerRequest
) -> Admitted | NoRoute | Denied:
    """Decide whether the configuration allows a request, and for whom."""
    route = match_route(configuration, request.host, request.path)
    if route is None:
        return NoRoute()
    team = configuration.team_by_key.get(request.key) if request.key else None
    if configuration.teams and team is None and not route.anonymous:
        return Denied(route)
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return Admitted(route, team, priority)


def choose_service(route: Route, rng: Random) -> ServiceName:
    """Draw the service that gets a request, by the shares of its route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    services = [share.service for share in route.shares]
    weights = [max(0.0, share.weight) for share in route.shares]
    if sum(weights) <= 0:
        return services[0]
    return rng.choices(services, weights)[0]
