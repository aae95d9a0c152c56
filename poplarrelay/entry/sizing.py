"""How many endpoints a service shall have, of which kind, in which domains."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil

from poplarrelay.entry.configuration import ScalingLimits
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import DomainId

__all__ = [
    "PREFILL_SHARE",
    "DomainPlan",
    "Plan",
    "SizingInput",
    "count_for_load",
    "count_lost_to_limits",
    "count_needed",
    "count_serving",
    "plan_endpoints",
    "reclaimed_domains",
]

#: Part of what an engine reads when it does nothing else that is asked of it on
#: average: prompts come in clumps, and streams pause while others are read beside them.
PREFILL_SHARE = 0.75
#: Part of what is needed that on-demand endpoints need not make up for, if reclaimable
#: ones cost nothing beside them: the last ones shorten few waits for their price.
ON_DEMAND_SAVING = 0.1
#: Part of an engine's slots that requests take on average, where answers are long and
#: prompts short: each request in a batch slows all of them.
SLOTS_SHARE = 0.5
#: Endpoints beyond what the demand needs, as a part of it and at least, so that a
#: domain which is taken away leaves enough: a new one takes seconds to boot, and none
#: may be had.
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
    needed, steady : float
        Endpoints that carry what callers ask for, none of them to spare: at its last
        peak, and in the mean of some seconds.
    least : int
        Endpoints that are wanted whatever callers ask for.
    exhausted_domains : collection of DomainId
        Domains where no reclaimable endpoints are to be had at the moment.
    overdue_domains : collection of DomainId
        Domains where reclaimable endpoints should serve by now that were ordered.
    ordered, on_demand : mapping of DomainId to int
        Endpoints of each kind that were ordered and serve, or may still boot.
    """

    limits: ScalingLimits
    rows: Sequence[Endpoint]
    needed: float
    steady: float
    least: int = LEAST_ENDPOINTS
    exhausted_domains: Collection[DomainId] = ()
    overdue_domains: Collection[DomainId] = ()
    ordered: Mapping[DomainId, int] = field(default_factory=dict)
    on_demand: Mapping[DomainId, int] = field(default_factory=dict)


def count_needed(tokens_per_s: float, speed: float) -> float:
    """Return how many engines carry a demand, none of them to spare.

    Parameters
    ----------
    tokens_per_s : float
        Prompt and output tokens that callers ask for in a second.
    speed : float
        Prompt tokens that an engine reads in a second.
    """
    return tokens_per_s / (PREFILL_SHARE * speed)


def count_for_load(load: float, slots: int) -> float:
    """Return how many engines hold the requests that are under way."""
    return load / (SLOTS_SHARE * max(1, slots))


def count_lost_to_limits(rows: Sequence[Endpoint], requests_per_s: float) -> float:
    """Return the capacity lost to stated limits, as a number of endpoints.

    Parameters
    ----------
    rows : sequence of Endpoint
        Listed endpoints of the service.
    requests_per_s : float
        Requests per second that an endpoint without a limit handles.
    """
    limits = [
        row.limit_per_s
        for row in rows
        if row.limit_per_s is not None and row.accepts_work
    ]
    if requests_per_s <= 0:
        return 0.0
    return sum(1.0 - min(1.0, limit / requests_per_s) for limit in limits)


def bearable_share(limits: ScalingLimits) -> float:
    """Return the part of what is needed that on-demand endpoints bring a service to.

    Examples
    --------
    >>> [bearable_share(ScalingLimits(1, 6, 4.0, price, {})) for price in (0.0, 1.0)]
    [0.9, 1.0]
    """
    return 1.0 - ON_DEMAND_SAVING * (1.0 - min(1.0, limits.reclaimable_price))


def target_count(needed: float) -> int:
    """Return how many endpoints to have, some of them to spare.

    Examples
    --------
    >>> [target_count(needed) for needed in (0.0, 1.8, 4.2, 40.0)]
    [2, 3, 6, 52]
    """
    whole = ceil(needed)
    spare = max(SPARE_ENDPOINTS, int(SPARE_SHARE * whole))
    return max(LEAST_ENDPOINTS, whole + spare)


def count_serving(rows: Sequence[Endpoint], domain: DomainId, reclaimable: bool) -> int:
    """Return how many endpoints of a kind take work in a domain."""
    return sum(
        1
        for row in rows
        if row.domain == domain and row.reclaimable is reclaimable and row.accepts_work
    )


def reclaimed_domains(
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
    Reclaimable endpoints cost a fraction of the others and go a domain at a time, so
    they are spread evenly. Where a wave takes a domain's, those of the other domains
    make up for them at the first notice, since they boot as fast as on-demand ones.

    On-demand endpoints come where reclaimable ones are not to be had, for the demand
    and not for the requests that have piled up: those are through before a new
    endpoint serves. They come for the mean demand and not for its peaks, and go when
    reclaimable ones serve in their place, not before.
    """
    limits = given.limits
    domains = sorted(limits.domain_prices, key=lambda d: limits.domain_prices[d])
    serving = {domain: count_serving(given.rows, domain, True) for domain in domains}
    present = {domain: count_serving(given.rows, domain, False) for domain in domains}
    target = max(target_count(given.needed), given.least)
    reclaimable = _spread(domains, target, serving, present, given)
    coming = {d: _coming(d, serving[d], reclaimable[d], given) for d in domains}
    needed = max(LEAST_ENDPOINTS, ceil(bearable_share(limits) * given.steady))
    on_demand = {d: max(present[d], given.on_demand.get(d, 0)) for d in domains}
    most = max(0, needed - sum(serving.values()))
    least = max(0, needed - sum(coming.values()))
    count = min(max(sum(on_demand.values()), least), most)
    # What cannot be had must not take the room of what can.
    taken = {
        d: serving[d] if d in given.exhausted_domains else reclaimable[d]
        for d in domains
    }
    placed = _place_on_demand(domains, count, on_demand, taken, limits)
    return tuple(
        DomainPlan(d, min(reclaimable[d], limits.most - placed[d]), placed[d])
        for d in domains
    )


def _coming(domain: DomainId, serving: int, planned: int, given: SizingInput) -> int:
    """Return how many reclaimable endpoints of a domain may be counted on."""
    if domain in given.overdue_domains:
        return serving
    if domain in given.exhausted_domains:
        return max(serving, given.ordered.get(domain, 0))
    return planned


def _spread(
    domains: Sequence[DomainId],
    target: int,
    serving: Mapping[DomainId, int],
    on_demand: Mapping[DomainId, int],
    given: SizingInput,
) -> dict[DomainId, int]:
    """Return the reclaimable endpoints of each domain, beside the on-demand ones.

    Notes
    -----
    What serves or boots stays until more serve than are wanted: an endpoint that is
    given up in one domain for one that boots in another is missed for its boot.
    """
    limits = given.limits
    room = {d: max(0, limits.most - on_demand[d]) for d in domains}
    counts = {
        d: min(room[d], max(serving[d], given.ordered.get(d, 0))) for d in domains
    }
    open_domains = [d for d in domains if d not in given.exhausted_domains]
    equal = max(1, limits.least, target // len(domains))
    for domain in open_domains:
        counts[domain] = max(counts[domain], min(room[domain], equal))
    while sum(counts.values()) < target:
        with_room = [d for d in open_domains if counts[d] < room[d]]
        if not with_room:
            break
        counts[min(with_room, key=lambda d: counts[d])] += 1
    surplus = sum(min(serving[d], counts[d]) for d in domains) - target
    for _ in range(max(0, surplus)):
        most = max(domains, key=lambda d: (counts[d], limits.domain_prices[d]))
        if counts[most] <= equal:
            break
        counts[most] -= 1
    return counts


def _place_on_demand(
    domains: Sequence[DomainId],
    missing: int,
    ordered: Mapping[DomainId, int],
    reclaimable: Mapping[DomainId, int],
    limits: ScalingLimits,
) -> dict[DomainId, int]:
    """Return the on-demand endpoints of each domain; those that run are kept first."""
    placed = dict.fromkeys(domains, 0)
    for domain in domains:
        room = max(0, limits.most - reclaimable[domain])
        placed[domain] = min(ordered[domain], missing, room)
        missing -= placed[domain]
    for domain in domains:
        room = max(0, limits.most - reclaimable[domain]) - placed[domain]
        more = min(missing, room)
        placed[domain] += more
        missing -= more
    return placed
