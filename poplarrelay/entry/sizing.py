"""How many endpoints a service shall have, of which kind, in which domains."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from poplarrelay.entry.configuration import ScalingLimits
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import DomainId

__all__ = ["DomainPlan", "Plan", "SizingInput", "plan_endpoints"]

#: Requests at one engine, on average, that are aimed for. An engine slows down with
#: the requests that it works on; at fourteen a step takes about 1.5 times as long as
#: at one, and prompts still wait for less than half of the usual target.
LOAD_PER_ENDPOINT = 14.0
#: Endpoints beyond that, so that a domain which is taken away leaves enough: a new
#: one takes seconds to boot, and none may be had.
SPARE_ENDPOINTS = 1


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """Endpoints of both kinds that one failure domain shall have."""

    domain: DomainId
    reclaimable: int
    on_demand: int


Plan = tuple[DomainPlan, ...]


@dataclass(frozen=True, slots=True)
class SizingInput:
    """What the decision rests on.

    Attributes
    ----------
    rows : sequence of Endpoint
        The service's endpoints as listed.
    load : float
        Requests at all of them, smoothed over some seconds.
    dry : collection of DomainId
        Domains in which no reclaimable endpoints are to be had at the moment.
    """

    limits: ScalingLimits
    rows: Sequence[Endpoint]
    load: float
    dry: frozenset[DomainId]


def _serving(rows: Sequence[Endpoint], domain: DomainId, reclaimable: bool) -> int:
    return sum(
        1
        for row in rows
        if row.domain == domain and row.reclaimable is reclaimable and row.accepts_work
    )


def plan_endpoints(given: SizingInput) -> Plan:
    """Return how many endpoints of each kind each domain shall have.

    Notes
    -----
    Reclaimable endpoints cost a fraction of the others and go a domain at a time,
    so they are spread: one in each domain first, then a second in the cheapest.
    While a domain is dry its share moves to the others. On-demand endpoints that
    were there at the start stay until as many reclaimable ones serve.
    """
    limits = given.limits
    domains = sorted(limits.domain_prices, key=lambda d: limits.domain_prices[d])
    needed = ceil(given.load / LOAD_PER_ENDPOINT) + SPARE_ENDPOINTS
    wet = [domain for domain in domains if domain not in given.dry]
    counts = {domain: max(1, limits.least) for domain in domains}
    in_reach = sum(counts[domain] for domain in wet)
    turn = 0
    while wet and in_reach < needed and turn < limits.most * len(wet):
        domain = wet[turn % len(wet)]
        turn += 1
        if counts[domain] < limits.most:
            counts[domain] += 1
            in_reach += 1
    serving = sum(_serving(given.rows, domain, True) for domain in domains)
    enough = serving >= min(needed, len(domains))
    return tuple(
        DomainPlan(domain, counts[domain], _on_demand(given, domain, counts, enough))
        for domain in domains
    )


def _on_demand(
    given: SizingInput,
    domain: DomainId,
    counts: dict[DomainId, int],
    enough: bool,
) -> int:
    """Return the on-demand endpoints of a domain."""
    present = _serving(given.rows, domain, False)
    room = given.limits.most - counts[domain]
    if enough:
        return 0
    return max(0, min(present, room))
