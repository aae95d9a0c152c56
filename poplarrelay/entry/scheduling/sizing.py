"""Number of endpoints that a service needs, by kind and failure domain."""

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

#: Fraction of an engine's maximum prefill speed that is used on average. Prompts arrive
#: in bursts, and streams pause while the engine prefills other prompts.
PREFILL_SHARE = 0.75
#: Fraction of the needed endpoints for which no on-demand endpoint is ordered if
#: reclaimable ones are almost free in comparison. The last on-demand endpoints would
#: shorten few waits and cost their full price.
ON_DEMAND_SAVING = 0.1
#: Fraction of an engine's slots that is used on average if answers are long and prompts
#: short. Each request in a batch slows down all others.
SLOT_UTILIZATION = 0.5
#: Spare endpoints, as a fraction of the needed ones and as a minimum. They leave enough
#: capacity when a domain is reclaimed: a new endpoint takes seconds to boot, and none
#: may be available.
SPARE_SHARE = 0.3
SPARE_ENDPOINTS = 1
#: Minimum number of endpoints of a service, so that the loss of one is not the loss of
#: all.
MIN_ENDPOINTS = 2


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """Planned number of endpoints of each kind in one failure domain."""

    domain: DomainId
    reclaimable: int
    on_demand: int


Plan = tuple[DomainPlan, ...]


@dataclass(frozen=True, slots=True)
class SizingInput:
    """State of a service from which its number of endpoints is computed.

    Attributes
    ----------
    rows : sequence of Endpoint
        Listed endpoints of the service.
    needed, mean_needed : float
        Number of endpoints that the demand needs, without spare ones: at the last peak
        of the demand, and for its mean over some seconds.
    min_endpoints : int
        Minimum number of endpoints, independent of the demand.
    exhausted_domains : collection of DomainId
        Domains in which no reclaimable endpoints are available now.
    overdue_domains : collection of DomainId
        Domains in which ordered reclaimable endpoints should already serve.
    ordered, on_demand : mapping of DomainId to int
        Reclaimable and on-demand endpoints by domain that were ordered, and that serve
        or may still boot.
    """

    limits: ScalingLimits
    rows: Sequence[Endpoint]
    needed: float
    mean_needed: float
    min_endpoints: int = MIN_ENDPOINTS
    exhausted_domains: Collection[DomainId] = ()
    overdue_domains: Collection[DomainId] = ()
    ordered: Mapping[DomainId, int] = field(default_factory=dict)
    on_demand: Mapping[DomainId, int] = field(default_factory=dict)


def count_needed(tokens_per_s: float, speed: float) -> float:
    """Return the number of engines that a demand needs, without spare ones.

    Parameters
    ----------
    tokens_per_s : float
        Prompt and output tokens per second that callers ask for.
    speed : float
        Prompt tokens per second that an engine prefills.
    """
    return tokens_per_s / (PREFILL_SHARE * speed)


def count_for_load(load: float, slots: int) -> float:
    """Return the number of engines that the requests in flight need."""
    return load / (SLOT_UTILIZATION * max(1, slots))


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


def on_demand_share(limits: ScalingLimits) -> float:
    """Return the fraction of the needed endpoints up to which on-demand ones are added.

    Examples
    --------
    >>> [on_demand_share(ScalingLimits(1, 6, 4.0, price, {})) for price in (0.0, 1.0)]
    [0.9, 1.0]
    """
    return 1.0 - ON_DEMAND_SAVING * (1.0 - min(1.0, limits.reclaimable_price))


def target_count(needed: float) -> int:
    """Return the number of endpoints to have, including spare ones.

    Examples
    --------
    >>> [target_count(needed) for needed in (0.0, 1.8, 4.2, 40.0)]
    [2, 3, 6, 52]
    """
    rounded = ceil(needed)
    spare = max(SPARE_ENDPOINTS, int(SPARE_SHARE * rounded))
    return max(MIN_ENDPOINTS, rounded + spare)


def count_serving(rows: Sequence[Endpoint], domain: DomainId, reclaimable: bool) -> int:
    """Return the number of endpoints of a kind that accept work in a domain."""
    return sum(
        1
        for row in rows
        if row.domain == domain and row.reclaimable is reclaimable and row.accepts_work
    )


def reclaimed_domains(
    rows: Sequence[Endpoint], ordered: Mapping[DomainId, int | None]
) -> set[DomainId]:
    """Return the domains whose reclaimable endpoints are all being reclaimed.

    Parameters
    ----------
    rows : sequence of Endpoint
        Listed endpoints of the service.
    ordered : mapping of DomainId to int or None
        Number of reclaimable endpoints last ordered by domain, None if it is uncertain.

    Notes
    -----
    Released endpoints also leave, but a reclaim takes all reclaimable endpoints of a
    domain. When a count lowered by one was mistaken for a reclaim, the next orders
    cancelled a dozen booting endpoints and replaced them by on-demand ones at five
    times the price.
    """
    reclaimable = [row for row in rows if row.reclaimable]
    leaving = {row.domain for row in reclaimable if row.departing}
    serving = {row.domain for row in reclaimable if row.accepts_work}
    released = {domain for domain, count in ordered.items() if count == 0}
    return leaving - serving - released


def plan_endpoints(inputs: SizingInput) -> Plan:
    """Return the number of endpoints of each kind that each domain should have.

    Notes
    -----
    Reclaimable endpoints cost a fraction of on-demand ones and are reclaimed by domain,
    so they are spread evenly over the domains. When a domain is reclaimed, reclaimable
    endpoints in other domains replace its endpoints at the first notice, since they
    boot as fast as on-demand ones.

    On-demand endpoints are added if reclaimable ones are not available. Their number
    follows the mean demand, not its peaks, and not the accumulated requests, which end
    before a new endpoint serves. On-demand endpoints are removed only when reclaimable
    ones serve in their place.
    """
    limits = inputs.limits
    domains = sorted(limits.domain_prices, key=lambda d: limits.domain_prices[d])
    serving = {domain: count_serving(inputs.rows, domain, True) for domain in domains}
    serving_on_demand = {
        domain: count_serving(inputs.rows, domain, False) for domain in domains
    }
    target = max(target_count(inputs.needed), inputs.min_endpoints)
    reclaimable = _plan_reclaimable(domains, target, serving, serving_on_demand, inputs)
    expected = {
        d: _count_expected(d, serving[d], reclaimable[d], inputs) for d in domains
    }
    needed = max(MIN_ENDPOINTS, ceil(on_demand_share(limits) * inputs.mean_needed))
    on_demand = {
        d: max(serving_on_demand[d], inputs.on_demand.get(d, 0)) for d in domains
    }
    max_count = max(0, needed - sum(serving.values()))
    min_count = max(0, needed - sum(expected.values()))
    count = min(max(sum(on_demand.values()), min_count), max_count)
    # Unavailable reclaimable endpoints must not use up the limit that on-demand
    # ones share.
    occupied = {
        d: serving[d] if d in inputs.exhausted_domains else reclaimable[d]
        for d in domains
    }
    allocated = _allocate_on_demand(domains, count, on_demand, occupied, limits)
    return tuple(
        DomainPlan(
            d, min(reclaimable[d], limits.max_endpoints - allocated[d]), allocated[d]
        )
        for d in domains
    )


def _count_expected(
    domain: DomainId, serving: int, planned: int, inputs: SizingInput
) -> int:
    """Return the number of reclaimable endpoints of a domain that should serve soon."""
    if domain in inputs.overdue_domains:
        return serving
    if domain in inputs.exhausted_domains:
        return max(serving, inputs.ordered.get(domain, 0))
    return planned


def _plan_reclaimable(
    domains: Sequence[DomainId],
    target: int,
    serving: Mapping[DomainId, int],
    on_demand: Mapping[DomainId, int],
    inputs: SizingInput,
) -> dict[DomainId, int]:
    """Return the number of reclaimable endpoints that each domain should have.

    Notes
    -----
    Serving and booting endpoints are kept until more endpoints serve than the target.
    If an endpoint were released for one that boots in another domain, its capacity
    would be missing during the boot.
    """
    limits = inputs.limits
    remaining_capacity = {
        d: max(0, limits.max_endpoints - on_demand[d]) for d in domains
    }
    counts = {
        d: min(remaining_capacity[d], max(serving[d], inputs.ordered.get(d, 0)))
        for d in domains
    }
    open_domains = [d for d in domains if d not in inputs.exhausted_domains]
    equal_share = max(1, limits.min_endpoints, target // len(domains))
    for domain in open_domains:
        counts[domain] = max(
            counts[domain], min(remaining_capacity[domain], equal_share)
        )
    while sum(counts.values()) < target:
        domains_below_limit = [
            d for d in open_domains if counts[d] < remaining_capacity[d]
        ]
        if not domains_below_limit:
            break
        counts[min(domains_below_limit, key=lambda d: counts[d])] += 1
    surplus = sum(min(serving[d], counts[d]) for d in domains) - target
    for _ in range(max(0, surplus)):
        largest = max(domains, key=lambda d: (counts[d], limits.domain_prices[d]))
        if counts[largest] <= equal_share:
            break
        counts[largest] -= 1
    return counts


def _allocate_on_demand(
    domains: Sequence[DomainId],
    missing: int,
    ordered: Mapping[DomainId, int],
    reclaimable: Mapping[DomainId, int],
    limits: ScalingLimits,
) -> dict[DomainId, int]:
    """Return the number of on-demand endpoints per domain, ordered ones first."""
    allocated = dict.fromkeys(domains, 0)
    for domain in domains:
        remaining_capacity = max(0, limits.max_endpoints - reclaimable[domain])
        allocated[domain] = min(ordered[domain], missing, remaining_capacity)
        missing -= allocated[domain]
    for domain in domains:
        remaining_capacity = (
            max(0, limits.max_endpoints - reclaimable[domain]) - allocated[domain]
        )
        more = min(missing, remaining_capacity)
        allocated[domain] += more
        missing -= more
    return allocated
