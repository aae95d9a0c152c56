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
#: Requests at one engine above which answers are late; the least number of
#: endpoints follows from it.
OVERLOAD_PER_ENDPOINT = 24.0
#: Endpoints that a service has at least, so that losing one is not losing all.
LEAST_ENDPOINTS = 2
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
    were there at the start stay until as many reclaimable ones serve; new ones come
    only for what reclaimable ones cannot carry.
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
    reclaimable = {domain: _serving(given.rows, domain, True) for domain in domains}
    missing = _missing(given, counts, reclaimable, frozenset(wet))
    serving = sum(reclaimable.values())
    relieved = serving >= min(needed, len(domains))
    plans: list[DomainPlan] = []
    for domain in domains:
        room = limits.most - counts[domain]
        present = 0 if relieved else _serving(given.rows, domain, False)
        extra = max(0, min(max(present, missing), room))
        missing -= min(missing, extra)
        plans.append(DomainPlan(domain, counts[domain], extra))
    return tuple(plans)


def _missing(
    given: SizingInput,
    counts: dict[DomainId, int],
    reclaimable: dict[DomainId, int],
    wet: frozenset[DomainId],
) -> int:
    """Return the on-demand endpoints without which the load cannot be carried.

    Notes
    -----
    Waves may leave no failure domain with reclaimable endpoints for longer than
    any caller waits. On-demand ones cost several times as much, so they replace
    only what is missing of the least that carries the load, and go again as soon
    as reclaimable ones serve. Those that boot in a domain that is not dry count.
    """
    least = max(LEAST_ENDPOINTS, ceil(given.load / OVERLOAD_PER_ENDPOINT))
    there = sum(
        max(counts[domain], found) if domain in wet else found
        for domain, found in reclaimable.items()
    )
    return max(0, least - there)
