"""Simple routing policies, used as baselines in measurements.

Each policy receives the endpoints that can take a request and returns one of them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from random import Random

from poplarrelay.identifiers import EndpointId
from poplarrelay.settings import RoutingPolicy
from poplarrelay.tables.endpoints import Endpoint
from poplarrelay.tables.requests import Request

__all__ = ["BASELINES", "affinity_only", "least_reported_load", "round_robin"]

Baseline = Callable[[list[Endpoint], Request, int, Random], Endpoint]


def round_robin(
    candidates: list[Endpoint], request: Request, turn: int, rng: Random
) -> Endpoint:
    """Return the next endpoint in the order of their ids."""
    ordered = sorted(candidates, key=lambda endpoint: endpoint.id)
    return ordered[turn % len(ordered)]


def least_reported_load(
    candidates: list[Endpoint], request: Request, turn: int, rng: Random
) -> Endpoint:
    """Return the endpoint whose last load report shows the fewest requests."""

    def reported(endpoint: Endpoint) -> int:
        report = endpoint.report
        return 0 if report is None else report.running + report.queued

    shuffled = rng.sample(candidates, len(candidates))
    return min(shuffled, key=reported)


def _weight(request: Request, endpoint: EndpointId) -> bytes:
    text = f"{request.team}/{request.work.prefix}/{endpoint}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def affinity_only(
    candidates: list[Endpoint], request: Request, turn: int, rng: Random
) -> Endpoint:
    """Return the endpoint that rendezvous hashing picks for the prompt's prefix."""
    return max(candidates, key=lambda endpoint: _weight(request, endpoint.id))


BASELINES: dict[RoutingPolicy, Baseline] = {
    RoutingPolicy.ROUND_ROBIN: round_robin,
    RoutingPolicy.LEAST_REPORTED_LOAD: least_reported_load,
    RoutingPolicy.AFFINITY_ONLY: affinity_only,
}
