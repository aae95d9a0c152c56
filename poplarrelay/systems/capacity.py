"""Start and stop hosts by demand and price.

Notes
-----
All that is known of started hosts is the cloud API's own list. A start bears a token
that is made from what is wanted and the lowest free number, so a start whose answer
was lost, or that an earlier holder of the duty gave, is found in the list or comes back
under the same token: no host is started twice and none is forgotten and paid for.
"""

from __future__ import annotations

from collections import Counter as CountOf
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil

from poplarrelay.configuration.schema import CapacityPolicy, MachineOffer, Template
from poplarrelay.identifiers import DomainId
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    ListStartedHosts,
    LogDecision,
    StartHost,
    StopHost,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.platform import StartedHost, StartedHostsListed, StartRefused
from poplarrelay.systems.leasing import remaining_term
from poplarrelay.systems.limits import ready_nodes
from poplarrelay.tables.capacity import Demand
from poplarrelay.tables.endpoints import EndpointKind, EndpointState
from poplarrelay.tables.leases import Duty
from poplarrelay.tables.world import World

__all__ = ["CapacityPlan", "plan_capacity", "scale_hosts", "wanted_hosts"]

#: Seconds between two decisions.
INTERVAL_S = 2.0
#: Weight of the newest observation in the moving average of the demand.
DEMAND_WEIGHT = 0.3
#: Hosts of a model that may be starting at a time, since the weight store is limited.
MAX_STARTING = 2
#: Seconds for which an offer is not tried again after it was refused.
REFUSED_S = 10.0
#: Hosts above the wanted number that are kept, so that small swings stop nothing.
SPARE_HOSTS = 1
#: Seconds that a planned stop gives to what runs there.
STOP_GRACE_S = 30.0


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """What is to be started and stopped."""

    starts: tuple[tuple[DomainId, MachineOffer], ...] = ()
    stops: tuple[StartedHost, ...] = ()


def wanted_hosts(policy: CapacityPolicy, demand: Demand, domains: int) -> int:
    """Return how many hosts a model needs.

    Parameters
    ----------
    policy : CapacityPolicy
        Bounds and headroom.
    demand : Demand
        What runs and waits.
    domains : int
        Failure domains that the hosts are spread over.

    Notes
    -----
    Of hosts spread evenly over D domains, the loss of one leaves (D - 1) / D, and
    that must carry the urgent demand.

    Examples
    --------
    >>> policy = CapacityPolicy(model="m", slots=8, min_hosts=1, max_hosts=20,
    ...     headroom=1.0, offers=({"machine_class": "c", "price": 1.0},))
    >>> wanted_hosts(policy, Demand(24.0, 0.0), 4)
    3
    >>> wanted_hosts(policy, Demand(24.0, 24.0), 4)
    4
    """
    need = ceil(policy.headroom * demand.total / policy.slots)
    urgent = policy.headroom * demand.urgent / policy.slots
    if domains > 1:
        need = max(need, ceil(urgent * domains / (domains - 1)))
    return min(policy.max_hosts, max(policy.min_hosts, policy.base_hosts, need))


def plan_capacity(
    policy: CapacityPolicy,
    hosts: Iterable[StartedHost],
    demand: Demand,
    domains: Iterable[DomainId],
    refused: frozenset[tuple[DomainId, str]],
) -> CapacityPlan:
    """Return what to start and stop.

    Parameters
    ----------
    policy : CapacityPolicy
        The model's policy.
    hosts : iterable of StartedHost
        All hosts that the cloud API lists.
    demand : Demand
        What runs and waits.
    domains : iterable of DomainId
        Failure domains that may be used.
    refused : frozenset
        Offers that were refused lately, by failure domain and machine class.
    """
    mine = [h for h in hosts if h.model == policy.model and not h.stopping]
    usable = sorted(domains)
    wanted = wanted_hosts(policy, demand, len(usable))
    starting = sum(1 for host in mine if host.starting)
    room = max(0, MAX_STARTING - starting)
    fixed = {o.machine_class for o in policy.offers if not o.reclaimable}
    base = sum(1 for host in mine if host.machine_class in fixed)
    starts: list[tuple[DomainId, MachineOffer]] = []
    in_domain = CountOf(host.domain for host in mine)
    while len(starts) < room and (
        len(mine) + len(starts) < wanted or base < policy.base_hosts
    ):
        offer = _best_offer(policy, usable, in_domain, refused, base)
        if offer is None:
            break
        starts.append(offer)
        in_domain[offer[0]] += 1
        base += not offer[1].reclaimable
    stops = _stops(policy, mine, wanted, in_domain, base) if not starts else ()
    return CapacityPlan(tuple(starts), stops)


def _best_offer(
    policy: CapacityPolicy,
    domains: list[DomainId],
    in_domain: CountOf[DomainId],
    refused: frozenset[tuple[DomainId, str]],
    base: int,
) -> tuple[DomainId, MachineOffer] | None:
    """Return the cheapest offer in the domain with the fewest hosts."""
    offers = [
        o for o in policy.offers if not o.reclaimable or base >= policy.base_hosts
    ]
    possible = [
        (domain, offer)
        for domain in domains
        for offer in offers
        if (domain, offer.machine_class) not in refused
    ]
    return min(
        possible,
        key=lambda each: (in_domain[each[0]], each[1].price, each[0]),
        default=None,
    )


def _stops(
    policy: CapacityPolicy,
    mine: list[StartedHost],
    wanted: int,
    in_domain: CountOf[DomainId],
    base: int,
) -> tuple[StartedHost, ...]:
    """Return one host to stop: the dearest, of the fullest domain."""
    if len(mine) <= wanted + SPARE_HOSTS:
        return ()
    prices = {offer.machine_class: offer.price for offer in policy.offers}
    fixed = {o.machine_class for o in policy.offers if not o.reclaimable}
    able = [
        host
        for host in mine
        if not host.starting
        and (host.machine_class not in fixed or base > policy.base_hosts)
    ]
    if not able:
        return ()
    dearest = max(
        able,
        key=lambda h: (prices.get(h.machine_class, 0.0), in_domain[h.domain], h.token),
    )
    return (dearest,)


def _observe(world: World, model: str) -> Demand:
    """Return the demand now, as far as this node can see it.

    Engines report what all nodes sent; what waits at other nodes is taken to be
    as much as what waits here, since callers spread evenly.
    """
    reported = sum(
        endpoint.report.running + endpoint.report.queued
        for endpoint in world.endpoints.values()
        if endpoint.kind is EndpointKind.ENGINE
        and endpoint.report is not None
        and endpoint.serves(model)
    )
    open_here = [r for r in world.open_requests() if r.work.name == model]
    waiting = sum(1 for r in open_here if r.attempt is None)
    urgent = sum(1 for r in open_here if r.request_class.rank == 0)
    share = urgent / len(open_here) if open_here else 0.0
    total = reported + waiting * ready_nodes(world)
    return Demand(float(total), share * total)


def _smooth(world: World, model: str) -> Demand:
    now = _observe(world, model)
    before = world.demand.get(model, now)
    total = before.total + DEMAND_WEIGHT * (now.total - before.total)
    urgent = before.urgent + DEMAND_WEIGHT * (now.urgent - before.urgent)
    world.demand[model] = Demand(max(total, now.total), max(urgent, now.urgent))
    return world.demand[model]


def _policies(world: World) -> Iterator[tuple[Template, CapacityPolicy]]:
    for entry in world.configuration.entries.values():
        if isinstance(entry.value, Template):
            for policy in entry.value.capacity:
                yield entry.value, policy


def scale_hosts(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Start and stop hosts, if this node holds the placement duty."""
    for refusal in inbox.of(StartRefused):
        key = (refusal.domain, refusal.machine_class)
        world.refused_starts[key] = now + REFUSED_S
    timeout = world.settings.timing.order_timeout_s
    left = remaining_term(world, Duty.PLACEMENT, now)
    if left <= 2 * timeout:
        return
    expires_at = now + left - 2 * timeout
    for listed in inbox.of(StartedHostsListed):
        for template, policy in _policies(world):
            yield from _steer(world, template, policy, listed, expires_at, now)
    if now >= world.next_capacity_at and any(_policies(world)):
        world.next_capacity_at = now + INTERVAL_S
        yield ListStartedHosts()


def _steer(
    world: World,
    template: Template,
    policy: CapacityPolicy,
    listed: StartedHostsListed,
    expires_at: float,
    now: float,
) -> Iterator[Effect]:
    refused = frozenset(
        key for key, until in world.refused_starts.items() if until > now
    )
    noticed = {d for d, until in world.notified_domains.items() if until > now}
    domains = [DomainId(d) for d in template.failure_domains if d not in noticed]
    demand = _smooth(world, policy.model)
    plan = plan_capacity(policy, _staying(world, listed), demand, domains, refused)
    taken = {host.token for host in listed.hosts}
    for domain, offer in plan.starts:
        token = _free_token(policy.model, domain, offer.machine_class, taken)
        taken.add(token)
        yield _decided("start", token, demand)
        yield StartHost(token, policy.model, offer.machine_class, domain, expires_at)
    for host in plan.stops:
        yield _decided("stop", host.token, demand)
        yield StopHost(host.token, STOP_GRACE_S, expires_at)


def _staying(world: World, listed: StartedHostsListed) -> list[StartedHost]:
    """Return the hosts that are not about to be reclaimed."""
    leaving = {
        e.id for e in world.endpoints.values() if e.state is EndpointState.LEAVING
    }
    return [host for host in listed.hosts if host.endpoint not in leaving]


def _free_token(
    model: str, domain: DomainId, machine_class: str, taken: set[str]
) -> str:
    """Return the token with the lowest free number.

    The number is not counted up from memory: a new holder of the duty, or this one
    after a lost answer, comes to the same token from the same list.
    """
    number = 1
    while (token := f"{model}.{domain}.{machine_class}.{number}") in taken:
        number += 1
    return token


def _decided(what: str, token: str, demand: Demand) -> LogDecision:
    fields = (("host", what), ("token", token), ("demand", round(demand.total, 2)))
    return LogDecision(Decision.PLACEMENT, fields)
