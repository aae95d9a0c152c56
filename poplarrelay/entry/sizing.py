"""How many endpoints a service shall have, of which kind, in which domains."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from poplarrelay.entry.configuration import ScalingLimits
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import DomainId

__all__ = ["DomainPlan", "Plan", "SizingInput", "plan_endpoints", "target_count"]

#: Requests at one engine, on average, that are aimed for with reclaimable endpoints.
#: An engine slows down with the requests that it works on, and a domain's engines go
#: at once; measured over four days of high load, 9 served 1.5 points more of all
#: requests than 14, at the same cost. At 6 quiet days cost more than they gained.
LOAD_PER_ENDPOINT = 8.0
#: Requests at one engine that are borne before on-demand endpoints, which cost about
#: five times as much, replace reclaimable ones that are not to be had.
LOAD_PER_ON_DEMAND = 9.0
#: Endpoints beyond that, so that a domain which is taken away leaves enough: a new
#: one takes seconds to boot, and none may be had.
SPARE_ENDPOINTS = 1
#: Endpoints that a service has at least, so that losing one is not losing all.
LEAST_ENDPOINTS = 2


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
    least : int
        Endpoints that are wanted whatever the load.
    scarce : bool
        Whether no reclaimable endpoints are to be had at the moment.
    """

    limits: ScalingLimits
    rows: Sequence[Endpoint]
    load: float
    scarce: bool
    least: int = LEAST_ENDPOINTS


def target_count(load: float, load_per_endpoint: float, spare: int) -> int:
    """Return how many endpoints carry a load, with some to spare.

    Examples
    --------
    >>> [target_count(load, 10.0, spare=1) for load in (0.0, 20.0, 21.0)]
    [2, 3, 4]
    """
    return max(LEAST_ENDPOINTS, ceil(load / load_per_endpoint) + spare)


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
    so they are spread: one in each domain first, then more in the cheapest.

    After a wave there may be none to be had anywhere, for longer than any caller
    waits and while the next wave comes. On-demand endpoints then replace what is
    missing at once, and go again when as many reclaimable ones serve. Outside of
    such times no new ones come: reclaimable ones boot just as fast.
    """
    limits = given.limits
    domains = sorted(limits.domain_prices, key=lambda d: limits.domain_prices[d])
    serving = {domain: _serving(given.rows, domain, True) for domain in domains}
    present = {domain: _serving(given.rows, domain, False) for domain in domains}
    if given.scarce:
        # What cannot be had must not take the room of what can.
        reclaimable = serving
    else:
        target = target_count(given.load, LOAD_PER_ENDPOINT, SPARE_ENDPOINTS)
        target = max(target, given.least)
        reclaimable = _spread(domains, target, present, limits)
    bearable = target_count(given.load, LOAD_PER_ON_DEMAND, 0)
    missing = max(0, bearable - sum(serving.values()))
    if not given.scarce:
        missing = min(missing, sum(present.values()))
    on_demand = _place_on_demand(domains, missing, present, reclaimable, limits)
    return tuple(
        DomainPlan(domain, reclaimable[domain], on_demand[domain]) for domain in domains
    )


def _spread(
    domains: Sequence[DomainId],
    target: int,
    on_demand: dict[DomainId, int],
    limits: ScalingLimits,
) -> dict[DomainId, int]:
    """Return the reclaimable endpoints of each domain, beside the on-demand ones."""
    room = {domain: max(0, limits.most - on_demand[domain]) for domain in domains}
    counts = {domain: min(room[domain], max(1, limits.least)) for domain in domains}
    while sum(counts.values()) < target:
        open_domains = [domain for domain in domains if counts[domain] < room[domain]]
        if not open_domains:
            break
        counts[min(open_domains, key=lambda d: counts[d])] += 1
    return counts


def _place_on_demand(
    domains: Sequence[DomainId],
    missing: int,
    present: dict[DomainId, int],
    reclaimable: dict[DomainId, int],
    limits: ScalingLimits,
) -> dict[DomainId, int]:
    """Return the on-demand endpoints of each domain; those that run are kept first."""
    placed = dict.fromkeys(domains, 0)
    for domain in domains:
        room = max(0, limits.most - reclaimable[domain])
        placed[domain] = min(present[domain], missing, room)
        missing -= placed[domain]
    for domain in domains:
        room = max(0, limits.most - reclaimable[domain]) - placed[domain]
        more = min(missing, room)
        placed[domain] += more
        missing -= more
    return placed
