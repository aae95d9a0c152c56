"""How many endpoints a service shall have, of which kind, in which domains."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil

from poplarrelay.entry.configuration import ScalingLimits
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import DomainId

__all__ = [
    "DomainPlan",
    "Plan",
    "SizingInput",
    "count_for_demand",
    "domains_taken",
    "plan_endpoints",
]

#: Requests at one engine, on average, that are aimed for with reclaimable endpoints.
#: An engine slows down with the requests that it works on, and a domain's engines go
#: at once; measured over four days of high load, 9 served 1.5 points more of all
#: requests than 14, at the same cost. At 6 quiet days cost more than they gained.
LOAD_PER_ENDPOINT = 8.0
#: Requests at one engine that are borne before on-demand endpoints, which cost about
#: five times as much, replace reclaimable ones that are not to be had.
LOAD_PER_ON_DEMAND = 9.0
#: Prompt and output tokens a second asked of one engine, on average. Engines read from
#: 60,000 to 90,000 prompt tokens a second when they do nothing else, and nothing tells
#: which kind they are; beyond about half of that the streams beside the prompts pause.
#: Sized for the slower kind 0.80 of all worth was served where 50,000 left 0.77 (means
#: of six days); with the faster kind both did the same (means of twelve days).
TOKENS_PER_ENDPOINT = 33_500
#: Endpoints beyond what the load needs, as a part of it and at least, so that a
#: domain which is taken away leaves enough: a new one takes seconds to boot, and none
#: may be had. With four domains 0.3 makes good the loss of one; over a wave at full
#: load 0.15 left first events at 0.7 s in the median where 0.3 left them at 0.42 s.
SPARE_SHARE = 0.3
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
    demand : float
        Tokens a second that callers ask of the service.
    """

    limits: ScalingLimits
    rows: Sequence[Endpoint]
    load: float
    scarce: bool
    least: int = LEAST_ENDPOINTS
    demand: float = 0.0


def count_for_demand(tokens_per_s: float) -> int:
    """Return how many endpoints carry a demand, none of them to spare."""
    return ceil(tokens_per_s / TOKENS_PER_ENDPOINT)


def target_count(load: float, demand: float) -> int:
    """Return how many reclaimable endpoints to have, some of them to spare.

    Examples
    --------
    >>> [target_count(load, 0.0) for load in (0.0, 16.0, 17.0, 320.0)]
    [2, 3, 4, 52]
    >>> target_count(16.0, demand=1_400_000.0)
    54
    """
    needed = max(ceil(load / LOAD_PER_ENDPOINT), count_for_demand(demand))
    spare = max(SPARE_ENDPOINTS, int(SPARE_SHARE * needed))
    return max(LEAST_ENDPOINTS, needed + spare)


def _serving(rows: Sequence[Endpoint], domain: DomainId, reclaimable: bool) -> int:
    return sum(
        1
        for row in rows
        if row.domain == domain and row.reclaimable is reclaimable and row.accepts_work
    )


def domains_taken(
    rows: Sequence[Endpoint], ordered: Mapping[DomainId, int | None]
) -> set[DomainId]:
    """Return the domains whose reclaimable endpoints are all being taken away.

    Parameters
    ----------
    rows : sequence of Endpoint
        The service's endpoints as listed.
    ordered : mapping of DomainId to int or None
        Reclaimable endpoints last ordered there, None where that is not certain.

    Notes
    -----
    Endpoints that were given up leave as well. Taken for a wave, a count lowered by
    one made the next orders cancel a dozen endpoints that were booting, and replace
    them on demand at five times the price. A wave takes all that a domain has.
    """
    reclaimable = [row for row in rows if row.reclaimable]
    leaving = {row.domain for row in reclaimable if row.leaving}
    serving = {row.domain for row in reclaimable if row.accepts_work}
    given_up = {domain for domain, count in ordered.items() if count == 0}
    return leaving - serving - given_up


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
        target = max(target_count(given.load, given.demand), given.least)
        reclaimable = _spread(domains, target, present, limits)
    bearable = max(LEAST_ENDPOINTS, ceil(given.load / LOAD_PER_ON_DEMAND))
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
