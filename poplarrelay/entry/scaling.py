"""Orders for endpoints, which the holder of the duties gives."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from math import ceil
from time import monotonic

from poplarrelay.entry.choosing import median_prefill_speed
from poplarrelay.entry.configuration import (
    Configuration,
    ScalingLimits,
    Service,
    ServiceName,
)
from poplarrelay.entry.demand import expected_tokens_per_s
from poplarrelay.entry.duty_lease import DutyLease
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.sizing import (
    PREFILL_SHARE,
    Plan,
    SizingInput,
    count_for_load,
    count_lost_to_limits,
    count_needed,
    count_serving,
    plan_endpoints,
    reclaimed_domains,
)
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import DomainId
from poplarrelay.platform.cloud import (
    CloudClient,
    CloudOutcome,
    DutyStamp,
    EndpointOrder,
)

__all__ = ["SCALING_INTERVAL_S", "EndpointScaler"]

_LOG = logging.getLogger("poplarrelay.entry.duty")

#: Seconds between rounds: a notice of some two seconds is answered within its first
#: quarter.
SCALING_INTERVAL_S = 0.25
#: Seconds between orders that say the same. An order whose answer was lost may be
#: carried out after a newer one, and would stay in force otherwise.
AFFIRM_S = 8.0
#: Seconds beyond its boot time after which an ordered endpoint should be listed.
BOOT_MARGIN_S = 1.5
#: Seconds after which reclaimable endpoints are asked for again in a domain where
#: there were none.
DRY_S = 2.5
#: Boots of an on-demand endpoint for which one is kept at least: what is given up as
#: soon as it serves was paid for its boot alone.
KEEP_BOOTS = 1.5
#: Seconds after the first start within which all endpoints that were there have
#: written their records, and none that were ordered serve.
FOUND_S = 4.0
#: Seconds of load after which the load decides alone.
LEARN_FIRST_S = 8.0
#: Seconds of requests that a restarted process sees before it orders by them.
LEARN_LOAD_S = 4.0
#: Part by which what is needed falls in a second once less is asked for. It rises at
#: once: late orders cost answers, early cancellations cost boots.
FALLING = 0.06
#: Seconds over which the mean is taken that dear endpoints come for: few long prompts
#: make the demand of a small service swing by a third within seconds.
STEADY_S = 4.0


@dataclass(slots=True)
class _OrderState:
    """What was last ordered of one kind in one domain.

    Attributes
    ----------
    count : int or None
        The number, None if it is not certain that the order was taken.
    at : float
        Monotonic time of the order.
    raised_at : float
        Monotonic time of the last order for more than before.
    """

    count: int | None = None
    at: float = float("-inf")
    raised_at: float = float("-inf")


class EndpointScaler:
    """Orders endpoints for the services whose number this system chooses.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    cloud : CloudClient
        Where endpoints are ordered.
    lease : DutyLease
        Tells whether this node may give orders.
    stamp : callable
        Returns what an order bears, and notes that this node acts.
    """

    def __init__(
        self,
        state: EntryState,
        cloud: CloudClient,
        lease: DutyLease,
        stamp: Callable[[], DutyStamp],
    ) -> None:
        self._state = state
        self._cloud = cloud
        self._lease = lease
        self._stamp = stamp
        self._orders: dict[tuple[ServiceName, DomainId, bool], _OrderState] = {}
        self._exhausted_until: dict[tuple[ServiceName, DomainId], float] = {}
        self._started_at = monotonic()
        self._found: dict[ServiceName, int] = {}
        self._first_load_at: dict[ServiceName, float] = {}
        self._needed: dict[ServiceName, float] = {}
        self._steady: dict[ServiceName, float] = {}
        self._smoothed_at = monotonic()

    async def run_round(self) -> None:
        """Take what is asked for, and give the orders that are due if this node may."""
        self._smooth_needs(monotonic())
        configuration = self._state.configuration
        if configuration is None or not self._state.endpoints_known:
            return
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._order_endpoints(service)

    def _smooth_needs(self, now: float) -> None:
        configuration = self._state.configuration
        passed_s = now - self._smoothed_at
        falling = min(1.0, FALLING * passed_s)
        self._smoothed_at = now
        if configuration is None:
            return
        for name in _scaled_services(configuration):
            needed = self._count_needed(name, now)
            # The demand is an average over seconds already: a rise counts at once.
            before = max(needed, self._needed.get(name, needed))
            self._needed[name] = before + falling * (needed - before)
            steady = self._steady.get(name, needed)
            weight = min(1.0, passed_s / STEADY_S)
            self._steady[name] = steady + weight * (needed - steady)

    def _count_needed(self, service: ServiceName, now: float) -> float:
        """Return how many endpoints carry what all callers ask for."""
        rows = self._state.endpoints.of(service)
        demand = self._state.total_demand(service, now)
        load = float(sum(row.load for row in rows))
        slots = min((row.slots for row in rows), default=1)
        speed = median_prefill_speed(rows)
        needed = max(count_needed(demand, speed), count_for_load(load, slots))
        tokens = self._state.demand.mean_tokens(service)
        requests_per_s = PREFILL_SHARE * speed / max(1.0, tokens)
        return needed + count_lost_to_limits(rows, requests_per_s)

    async def _order_endpoints(self, service: Service) -> None:
        limits = service.scaling
        assert limits is not None
        if not self._lease.may_act(monotonic()):
            # Whoever holds the duty next has orders of its own.
            self._orders.clear()
            return
        # A domain that turns out to have none changes the plan of the others.
        for _ in limits.domain_prices:
            exhausted_domains = self._exhausted_domains(service, monotonic())
            plan = self._plan(service, limits, exhausted_domains)
            for part in plan:
                order = EndpointOrder(service.name, part.domain, part.reclaimable, True)
                if part.domain not in exhausted_domains or self._lowers(order):
                    await self._order(order, limits)
            if self._exhausted_domains(service, monotonic()) <= exhausted_domains:
                break
        for part in plan:
            order = EndpointOrder(service.name, part.domain, part.on_demand, False)
            if part.on_demand != self._present(order) and not self._kept(order, limits):
                await self._order(order, limits)

    def _plan(
        self,
        service: Service,
        limits: ScalingLimits,
        exhausted_domains: Collection[DomainId],
    ) -> Plan:
        now = monotonic()
        rows = self._state.endpoints.of(service.name)
        domains = limits.domain_prices
        given = SizingInput(
            limits,
            rows,
            self._needed.get(service.name, 0.0),
            self._steady.get(service.name, 0.0),
            self._least_at_start(service.name, rows, now),
            exhausted_domains,
            [d for d in domains if self._overdue(service.name, d, limits, now)],
            {d: self._coming(service.name, d, True) for d in domains},
            {d: self._coming(service.name, d, False) for d in domains},
        )
        return plan_endpoints(given)

    def _coming(self, service: ServiceName, domain: DomainId, reclaimable: bool) -> int:
        """Return how many endpoints serve or were ordered."""
        present = self._present(EndpointOrder(service, domain, 0, reclaimable))
        last = self._orders.get((service, domain, reclaimable))
        return present if last is None else max(present, last.count or 0)

    def _overdue(
        self, service: ServiceName, domain: DomainId, limits: ScalingLimits, now: float
    ) -> bool:
        """Return whether reclaimable endpoints should serve by now and do not.

        Notes
        -----
        What was ordered and should have booted long ago was taken away, or the order
        was lost: others must be had in its place.
        """
        last = self._orders.get((service, domain, True))
        if last is None or last.count is None:
            return False
        late = now - last.raised_at > limits.boot_s + BOOT_MARGIN_S
        present = self._present(EndpointOrder(service, domain, 0, True))
        return late and present < last.count

    def _kept(self, order: EndpointOrder, limits: ScalingLimits) -> bool:
        """Return whether on-demand endpoints are kept that were ordered just now."""
        last = self._orders.get((order.service, order.domain, False))
        if last is None or not self._lowers(order):
            return False
        return monotonic() - last.raised_at < KEEP_BOOTS * limits.boot_s

    def _exhausted_domains(self, service: Service, now: float) -> set[DomainId]:
        """Return the domains where no reclaimable endpoints are to be had.

        Notes
        -----
        A wave takes all that a domain has, and mostly no new ones are to be had there
        for a while. Orders elsewhere gain the notice's two seconds on a boot of four.
        """
        ordered = {
            domain: last.count
            for (name, domain, reclaimable), last in self._orders.items()
            if name == service.name and reclaimable
        }
        rows = self._state.endpoints.of(service.name)
        found = reclaimed_domains(rows, ordered)
        for domain in found:
            # What was ordered there is gone, however it may count at the platform.
            last = self._orders.get((service.name, domain, True))
            if last is not None:
                last.count = None
        found |= {
            domain
            for (name, domain), until in self._exhausted_until.items()
            if name == service.name and now < until
        }
        return found

    def _lowers(self, order: EndpointOrder) -> bool:
        """Return whether an order asks for less than the last one of its kind."""
        last = self._orders.get((order.service, order.domain, order.reclaimable))
        return last is not None and last.count is not None and order.count < last.count

    def _knows_load(self, now: float) -> bool:
        """Return whether this process has seen enough of the load to order less.

        Notes
        -----
        After a restart of all nodes nobody has a request at first, and the first
        holder would send away endpoints that are needed a moment later.
        """
        if self._state.settings.first_start:
            return True
        return now - self._started_at > LEARN_LOAD_S

    def _least_at_start(
        self, service: ServiceName, rows: Sequence[Endpoint], now: float
    ) -> int:
        """Return how many endpoints to have before the load is known.

        Notes
        -----
        When the whole system starts there is no load yet. What the operators have
        put there and what the teams' quotas allow are the signs of what will come.
        Ordering by no load left two engines for the first seconds of 437 requests a
        second, ordering by what was found there sixteen for three dozen engines' load.
        """
        if not self._state.settings.first_start:
            return 0
        if service not in self._first_load_at:
            if any(row.load for row in rows):
                self._first_load_at[service] = now
            found = max(self._found.get(service, 0), len(rows))
            if now - self._started_at < FOUND_S:
                self._found[service] = found
        elif now - self._first_load_at[service] > LEARN_FIRST_S:
            return 0
        return max(self._found.get(service, 0), self._expected(service))

    def _expected(self, service: ServiceName) -> int:
        """Return how many endpoints carry what the quotas let expect."""
        configuration = self._state.configuration
        if configuration is None:
            return 0
        scaled = _scaled_services(configuration)
        tokens_per_s = expected_tokens_per_s(configuration.teams.values())
        speed = median_prefill_speed(self._state.endpoints.of(service))
        return ceil(count_needed(tokens_per_s / max(1, len(scaled)), speed))

    def _present(self, order: EndpointOrder) -> int:
        """Return how many endpoints as ordered take work."""
        rows = self._state.endpoints.of(order.service)
        return count_serving(rows, order.domain, order.reclaimable)

    def _affirm_after(self, order: EndpointOrder, limits: ScalingLimits) -> float:
        """Return after how long an order is given again.

        Notes
        -----
        Endpoints that are there are affirmed seldom. Ones that should have booted
        and are not there were taken away; only asking again shows whether new ones
        are to be had, or the other domains must carry the load.
        """
        if self._present(order) >= order.count:
            return AFFIRM_S
        return min(AFFIRM_S, limits.boot_s + BOOT_MARGIN_S)

    async def _order(self, order: EndpointOrder, limits: ScalingLimits) -> None:
        now = monotonic()
        key = (order.service, order.domain, order.reclaimable)
        last = self._orders.setdefault(key, _OrderState())
        if last.count == order.count and now - last.at < self._affirm_after(
            order, limits
        ):
            return
        if not self._lease.may_act(now):
            return
        if order.count < self._present(order) and not self._knows_load(now):
            return
        before = self._present(order) if last.count is None else last.count
        outcome, detail = await self._cloud.order(self._stamp(), order)
        last.count = order.count if outcome is CloudOutcome.DONE else None
        last.at = now
        if order.count > before:
            last.raised_at = now
        if outcome is CloudOutcome.CONFLICT and order.reclaimable:
            self._exhausted_until[order.service, order.domain] = now + DRY_S
        _LOG.info(
            "endpoints ordered",
            extra={
                "service": order.service,
                "domain": order.domain,
                "count": order.count,
                "reclaimable": order.reclaimable,
                "present": self._present(order),
                "load": sum(
                    row.load for row in self._state.endpoints.of(order.service)
                ),
                "needed": round(self._needed.get(order.service, 0.0), 2),
                "token": self._lease.token,
                "outcome": outcome.value,
                "detail": detail,
            },
        )


def _scaled_services(configuration: Configuration) -> list[ServiceName]:
    """Return the services whose endpoints this system orders."""
    services = configuration.services.values()
    return [service.name for service in services if service.scaling is not None]
