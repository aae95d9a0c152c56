"""Matching of requests to routes, teams and services."""

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
    """Result for a request that the configuration allows.

    Attributes
    ----------
    team : Team or None
        Team that the caller's key belongs to, None if no team has this key.
    priority : int
        Priority of the request; 0 is served first.
    """

    route: Route
    team: Team | None
    priority: int


@dataclass(frozen=True, slots=True)
class NoRoute:
    """Result for a request whose host has no route with a prefix of the path."""


@dataclass(frozen=True, slots=True)
class Denied:
    """Result for a route that requires a key, without a key that a team has."""

    route: Route


def match_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest matching path prefix.

    Notes
    -----
    Prefixes end with a slash, so ``/a/`` does not match ``/ab``. The search compares
    the path with each longer prefix of the same host.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def admit(
    configuration: Configuration, request: CallerRequest
) -> Admitted | NoRoute | Denied:
    """Return the team and priority of a request, or why it is not allowed."""
    route = match_route(configuration, request.host, request.path)
    if route is None:
        return NoRoute()
    team = configuration.team_by_key.get(request.key) if request.key else None
    if configuration.checks_keys and team is None and not route.anonymous:
        return Denied(route)
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return Admitted(route, team, priority)


def choose_service(route: Route, rng: Random) -> ServiceName:
    """Choose a service at random, weighted by the shares of the route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    services = [share.service for share in route.shares]
    weights = [max(0.0, share.weight) for share in route.shares]
    if sum(weights) <= 0:
        return services[0]
    return rng.choices(services, weights)[0]
