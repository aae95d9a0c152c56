"""Start and stop hosts by demand and price.

Notes
-----
The cloud API's list is the only source for the hosts that are started. The token of a
start consists of the model, the failure domain, the machine class and the lowest free
number. If the answer to a start was lost, or an earlier holder of the duty sent it, the
host is in the list or the start is sent again with the same token. So no host is
started twice, and every host that is paid for is in the holder's list.
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
#: Weight of the newest observation in the exponential moving average of the demand.
DEMAND_WEIGHT = 0.3
#: Hosts of a model that start at a time, since the weight store's capacity is limited.
MAX_STARTING = 2
#: Seconds before an offer is tried again after the cloud refused it.
REFUSED_S = 10.0
#: Hosts kept above the wanted number, so that small changes of demand stop no host.
SPARE_HOSTS = 1
#: Seconds that requests running on a host have to end before a planned stop.
STOP_GRACE_S = 30.0


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """Hosts to start and hosts to stop."""

    starts: tuple[tuple[DomainId, MachineOffer], ...] = ()
    stops: tuple[StartedHost, ...] = ()


def wanted_hosts(policy: CapacityPolicy, demand: Demand, domains: int) -> int:
    """Return how many hosts a model needs.

    Parameters
    ----------
    policy : CapacityPolicy
        Bounds and headroom.
    demand : Demand
        Running and waiting requests.
    domains : int
        Number of failure domains that the hosts are spread over.

    Notes
    -----
    If the hosts are spread evenly over D domains, (D - 1) / D of them remain after the
    loss of one domain. These hosts must be enough for the urgent demand.

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
    """Return the hosts to start and to stop.

    Parameters
    ----------
    policy : CapacityPolicy
        The model's policy.
    hosts : iterable of StartedHost
        All hosts that the cloud API lists.
    demand : Demand
        Running and waiting requests.
    domains : iterable of DomainId
        Failure domains in which hosts can start.
    refused : frozenset
        Failure domain and machine class of each offer that was refused recently.
    """
    model_hosts = [h for h in hosts if h.model == policy.model and not h.stopping]
    usable = sorted(domains)
    wanted = wanted_hosts(policy, demand, len(usable))
    starting = sum(1 for host in model_hosts if host.starting)
    start_limit = max(0, MAX_STARTING - starting)
    on_demand = {o.machine_class for o in policy.offers if not o.reclaimable}
    base_count = sum(1 for host in model_hosts if host.machine_class in on_demand)
    starts: list[tuple[DomainId, MachineOffer]] = []
    in_domain = CountOf(host.domain for host in model_hosts)
    while len(starts) < start_limit and (
        len(model_hosts) + len(starts) < wanted or base_count < policy.base_hosts
    ):
        offer = _best_offer(policy, usable, in_domain, refused, base_count)
        if offer is None:
            break
        starts.append(offer)
        in_domain[offer[0]] += 1
        base_count += not offer[1].reclaimable
    stops = (
        _hosts_to_stop(policy, model_hosts, wanted, in_domain, base_count)
        if not starts
        else ()
    )
    return CapacityPlan(tuple(starts), stops)


def _best_offer(
    policy: CapacityPolicy,
    domains: list[DomainId],
    in_domain: CountOf[DomainId],
    refused: frozenset[tuple[DomainId, str]],
    base_count: int,
) -> tuple[DomainId, MachineOffer] | None:
    """Return the cheapest offer in the domain with the fewest hosts."""
    offers = [
        o for o in policy.offers if not o.reclaimable or base_count >= policy.base_hosts
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


def _hosts_to_stop(
    policy: CapacityPolicy,
    model_hosts: list[StartedHost],
    wanted: int,
    in_domain: CountOf[DomainId],
    base_count: int,
) -> tuple[StartedHost, ...]:
    """Return one host to stop, or none.

    The most expensive host is chosen; among equal prices, one in the domain with the
    most hosts.
    """
    if len(model_hosts) <= wanted + SPARE_HOSTS:
        return ()
    prices = {offer.machine_class: offer.price for offer in policy.offers}
    on_demand = {o.machine_class for o in policy.offers if not o.reclaimable}
    stoppable = [
        host
        for host in model_hosts
        if not host.starting
        and (host.machine_class not in on_demand or base_count > policy.base_hosts)
    ]
    if not stoppable:
        return ()
    most_expensive = max(
        stoppable,
        key=lambda h: (prices.get(h.machine_class, 0.0), in_domain[h.domain], h.token),
    )
    return (most_expensive,)


def _observed_demand(world: World, model: str) -> Demand:
    """Return this node's estimate of the current demand.

    Load reports of engines cover the requests of all nodes. Each other node is assumed
    to have as many waiting requests as this one, since callers spread evenly.
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


def _update_demand(world: World, model: str) -> Demand:
    now = _observed_demand(world, model)
    previous = world.demand.get(model, now)
    total = previous.total + DEMAND_WEIGHT * (now.total - previous.total)
    urgent = previous.urgent + DEMAND_WEIGHT * (now.urgent - previous.urgent)
    world.demand[model] = Demand(max(total, now.total), max(urgent, now.urgent))
    return world.demand[model]


def _policies(world: World) -> Iterator[tuple[Template, CapacityPolicy]]:
    for entry in world.configuration.entries.values():
        if isinstance(entry.value, Template):
            for policy in entry.value.capacity:
                yield entry.value, policy


def scale_hosts(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Start and stop hosts if this node holds the placement duty."""
    for refusal in inbox.of(StartRefused):
        key = (refusal.domain, refusal.machine_class)
        world.refused_starts[key] = now + REFUSED_S
    timeout = world.settings.timing.order_timeout_s
    remaining = remaining_term(world, Duty.PLACEMENT, now)
    if remaining <= 2 * timeout:
        return
    expires_at = now + remaining - 2 * timeout
    for listed in inbox.of(StartedHostsListed):
        for template, policy in _policies(world):
            yield from _scale_model(world, template, policy, listed, expires_at, now)
    if now >= world.next_capacity_at and any(_policies(world)):
        world.next_capacity_at = now + INTERVAL_S
        yield ListStartedHosts()


def _scale_model(
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
    notified = {d for d, until in world.notified_domains.items() if until > now}
    domains = [DomainId(d) for d in template.failure_domains if d not in notified]
    demand = _update_demand(world, policy.model)
    plan = plan_capacity(policy, _not_leaving(world, listed), demand, domains, refused)
    taken = {host.token for host in listed.hosts}
    for domain, offer in plan.starts:
        token = _free_token(policy.model, domain, offer.machine_class, taken)
        taken.add(token)
        yield _placement_decision("start", token, demand)
        yield StartHost(token, policy.model, offer.machine_class, domain, expires_at)
    for host in plan.stops:
        yield _placement_decision("stop", host.token, demand)
        yield StopHost(host.token, STOP_GRACE_S, expires_at)


def _not_leaving(world: World, listed: StartedHostsListed) -> list[StartedHost]:
    """Return the hosts whose endpoint is not leaving."""
    leaving = {
        e.id for e in world.endpoints.values() if e.state is EndpointState.LEAVING
    }
    return [host for host in listed.hosts if host.endpoint not in leaving]


def _free_token(
    model: str, domain: DomainId, machine_class: str, taken: set[str]
) -> str:
    """Return the token with the lowest free number.

    The number comes from the cloud API's list, not from a counter in memory. So a new
    holder of the duty, or this node after a lost answer, gets the same token from the
    same list.
    """
    number = 1
    while (token := f"{model}.{domain}.{machine_class}.{number}") in taken:
        number += 1
    return token


def _placement_decision(action: str, token: str, demand: Demand) -> LogDecision:
    fields = (("host", action), ("token", token), ("demand", round(demand.total, 2)))
    return LogDecision(Decision.PLACEMENT, fields)
