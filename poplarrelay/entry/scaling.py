"""Order endpoints from the platform; only the holder of the duties does this."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace
from math import ceil
from time import monotonic

from poplarrelay.entry.configuration import (
    Configuration,
    ScalingLimits,
    Service,
    ServiceName,
)
from poplarrelay.entry.demand import expected_tokens_per_s
from poplarrelay.entry.duty_lease import DutyLease
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.scheduling.choosing import median_prefill_speed
from poplarrelay.entry.scheduling.sizing import (
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
    DutyHolder,
    EndpointOrder,
)

__all__ = ["SCALING_INTERVAL_S", "EndpointScaler"]

_LOG = logging.getLogger("poplarrelay.entry.duty")

#: Seconds between rounds. A reclaim notice comes about two seconds ahead, and the
#: orders for it follow within the first quarter of that time.
SCALING_INTERVAL_S = 0.25
#: Seconds after which an order is repeated. An order whose answer was lost can take
#: effect after a newer one, and would stay in force without the repetition.
ORDER_REPEAT_S = 8.0
#: Seconds after its boot time within which an ordered endpoint should be listed.
BOOT_MARGIN_S = 1.5
#: Seconds after which reclaimable endpoints are ordered again in an exhausted domain.
EXHAUSTED_S = 2.5
#: Minimum time for which an on-demand endpoint is kept, in boot times. An endpoint that
#: is released as soon as it serves costs its boot and gives no service.
MIN_KEPT_BOOTS = 1.5
#: Seconds after the first start of the system in which the existing endpoints are
#: counted. By then all of them have written their records, and no ordered endpoint
#: serves yet.
INITIAL_COUNT_S = 4.0
#: Seconds after the first request from which the load alone determines the orders.
INITIAL_LOAD_S = 8.0
#: Seconds for which a restarted process counts requests before it orders fewer
#: endpoints.
RESTART_LOAD_S = 4.0
#: Share of the difference by which the needed number falls per second when the demand
#: falls. It rises immediately: a late order delays answers, and an early cancellation
#: wastes a boot.
FALLING_SHARE_PER_S = 0.06
#: Seconds over which the mean of the needed number is computed, which determines the
#: on-demand endpoints. A few long prompts change the demand of a small service by a
#: third within seconds.
MEAN_NEEDED_S = 4.0


@dataclass(slots=True)
class _OrderState:
    """Last order of one kind of endpoint in one domain.

    Attributes
    ----------
    count : int or None
        Ordered number, None if it is not certain that the platform accepted the order.
    at : float
        Monotonic time of the order.
    raised_at : float
        Monotonic time of the last order that raised the number.
    """

    count: int | None = None
    at: float = float("-inf")
    raised_at: float = float("-inf")


class EndpointScaler:
    """Orders endpoints for the services that are scaled by this system.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    cloud : CloudClient
        Client of the platform that starts and stops endpoints.
    lease : DutyLease
        Lease that decides whether this node may send orders.
    stamp : callable
        Returns the stamp of an order, and records that this node acts on the duty.
    """

    def __init__(
        self,
        state: EntryState,
        cloud: CloudClient,
        lease: DutyLease,
        stamp: Callable[[], DutyHolder],
    ) -> None:
        self._state = state
        self._cloud = cloud
        self._lease = lease
        self._stamp = stamp
        self._orders: dict[tuple[ServiceName, DomainId, bool], _OrderState] = {}
        self._exhausted_until: dict[tuple[ServiceName, DomainId], float] = {}
        self._started_at = monotonic()
        self._initial_counts: dict[ServiceName, int] = {}
        self._first_load_at: dict[ServiceName, float] = {}
        self._needed: dict[ServiceName, float] = {}
        self._mean_needed: dict[ServiceName, float] = {}
        self._smoothed_at = monotonic()

    async def run_round(self) -> None:
        """Update the needed numbers, and send due orders if the lease allows it."""
        self._smooth_needs(monotonic())
        configuration = self._state.configuration
        if configuration is None or not self._state.endpoints_known:
            return
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._order_endpoints(service)

    def _endpoints_of(self, service: ServiceName) -> list[Endpoint]:
        """Return a service's endpoints; during a roll-out, one of the two sets."""
        rows = self._state.endpoints.of(service)
        return self._state.rollouts.counted(service, rows)

    def _smooth_needs(self, now: float) -> None:
        configuration = self._state.configuration
        elapsed_s = now - self._smoothed_at
        falling = min(1.0, FALLING_SHARE_PER_S * elapsed_s)
        self._smoothed_at = now
        if configuration is None:
            return
        for name in _scaled_services(configuration):
            needed = self._count_needed(name, now)
            # A rise counts immediately because the demand is already a mean over
            # seconds.
            before = max(needed, self._needed.get(name, needed))
            self._needed[name] = before + falling * (needed - before)
            mean_needed = self._mean_needed.get(name, needed)
            weight = min(1.0, elapsed_s / MEAN_NEEDED_S)
            self._mean_needed[name] = mean_needed + weight * (needed - mean_needed)

    def _count_needed(self, service: ServiceName, now: float) -> float:
        """Return how many endpoints are needed for the demand of all callers."""
        rows = self._endpoints_of(service)
        demand = self._state.total_demand(service, now)
        load = float(sum(row.load for row in self._state.endpoints.of(service)))
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
            # The next holder of the duty sends its own orders.
            self._orders.clear()
            return
        if not limits.domain_prices:
            # Without prices, the service is scaled where it runs.
            domains = {row.domain for row in self._endpoints_of(service.name)}
            limits = replace(limits, domain_prices=dict.fromkeys(domains, 1.0))
        plan: Plan = ()
        # If an order shows that a domain is exhausted, the plan for the others changes.
        for _ in limits.domain_prices:
            exhausted_domains = self._exhausted_domains(service, monotonic())
            plan = self._plan(service, limits, exhausted_domains)
            for part in plan:
                order = EndpointOrder(service.name, part.domain, part.reclaimable, True)
                if part.domain not in exhausted_domains or self._is_reduction(order):
                    await self._order(order, limits)
            if self._exhausted_domains(service, monotonic()) <= exhausted_domains:
                break
        for part in plan:
            order = EndpointOrder(service.name, part.domain, part.on_demand, False)
            if part.on_demand != self._present(
                order
            ) and not self._is_too_new_to_release(order, limits):
                await self._order(order, limits)

    def _plan(
        self,
        service: Service,
        limits: ScalingLimits,
        exhausted_domains: Collection[DomainId],
    ) -> Plan:
        now = monotonic()
        rows = self._endpoints_of(service.name)
        domains = limits.domain_prices
        sizing_input = SizingInput(
            limits,
            rows,
            self._needed.get(service.name, 0.0),
            self._mean_needed.get(service.name, 0.0),
            self._initial_minimum(service.name, rows, now),
            exhausted_domains,
            [d for d in domains if self._overdue(service.name, d, limits, now)],
            {d: self._count_ordered(service.name, d, True) for d in domains},
            {d: self._count_ordered(service.name, d, False) for d in domains},
        )
        return plan_endpoints(sizing_input)

    def _count_ordered(
        self, service: ServiceName, domain: DomainId, reclaimable: bool
    ) -> int:
        """Return how many endpoints serve or have been ordered, the larger number."""
        present = self._present(EndpointOrder(service, domain, 0, reclaimable))
        last = self._orders.get((service, domain, reclaimable))
        return present if last is None else max(present, last.count or 0)

    def _overdue(
        self, service: ServiceName, domain: DomainId, limits: ScalingLimits, now: float
    ) -> bool:
        """Return whether ordered reclaimable endpoints should serve by now and do not.

        Notes
        -----
        If ordered endpoints have not appeared after their boot time, the platform has
        reclaimed them or the order was lost. Other endpoints must replace them.
        """
        last = self._orders.get((service, domain, True))
        if last is None or last.count is None:
            return False
        is_late = now - last.raised_at > limits.boot_s + BOOT_MARGIN_S
        present = self._present(EndpointOrder(service, domain, 0, True))
        return is_late and present < last.count

    def _is_too_new_to_release(
        self, order: EndpointOrder, limits: ScalingLimits
    ) -> bool:
        """Return whether an order would release on-demand endpoints too early."""
        last = self._orders.get((order.service, order.domain, False))
        if last is None or not self._is_reduction(order):
            return False
        return monotonic() - last.raised_at < MIN_KEPT_BOOTS * limits.boot_s

    def _exhausted_domains(self, service: Service, now: float) -> set[DomainId]:
        """Return the domains where no reclaimable endpoints are available.

        Notes
        -----
        A reclaim of many endpoints takes all endpoints of a domain, and usually no new
        ones are available there for some time. If replacements are ordered in other
        domains when the notice arrives, two of their four seconds of boot time fall
        before the reclaim.
        """
        ordered = {
            domain: last.count
            for (name, domain, reclaimable), last in self._orders.items()
            if name == service.name and reclaimable
        }
        rows = self._endpoints_of(service.name)
        exhausted = reclaimed_domains(rows, ordered)
        for domain in exhausted:
            # The ordered endpoints are gone, even if the platform still counts them.
            last = self._orders.get((service.name, domain, True))
            if last is not None:
                last.count = None
        exhausted |= {
            domain
            for (name, domain), until in self._exhausted_until.items()
            if name == service.name and now < until
        }
        return exhausted

    def _is_reduction(self, order: EndpointOrder) -> bool:
        """Return whether an order is for fewer endpoints than the last of its kind."""
        last = self._orders.get((order.service, order.domain, order.reclaimable))
        return last is not None and last.count is not None and order.count < last.count

    def _load_is_known(self, now: float) -> bool:
        """Return whether this process knows the load well enough to order less.

        Notes
        -----
        After a restart of all nodes, no node has a request at first. The first holder
        of the duty would release endpoints that are needed a moment later.
        """
        if self._state.settings.first_start:
            return True
        return now - self._started_at > RESTART_LOAD_S

    def _initial_minimum(
        self, service: ServiceName, rows: Sequence[Endpoint], now: float
    ) -> int:
        """Return the minimum number of endpoints to have before the load is known.

        Notes
        -----
        There is no load yet when the system starts for the first time. The number of
        endpoints that operators have started and the teams' quotas show what to
        expect. When only the load determined the orders, there were two engines for the
        first seconds of 437 requests per second. When the number of existing endpoints
        determined them, there were sixteen engines for a load that needed three dozen.
        """
        if not self._state.settings.first_start:
            return 0
        if service not in self._first_load_at:
            if any(row.load for row in rows):
                self._first_load_at[service] = now
            initial_count = max(self._initial_counts.get(service, 0), len(rows))
            if now - self._started_at < INITIAL_COUNT_S:
                self._initial_counts[service] = initial_count
        elif now - self._first_load_at[service] > INITIAL_LOAD_S:
            return 0
        return max(self._initial_counts.get(service, 0), self._count_expected(service))

    def _count_expected(self, service: ServiceName) -> int:
        """Return how many endpoints are needed for the load that the quotas allow."""
        configuration = self._state.configuration
        if configuration is None:
            return 0
        scaled = _scaled_services(configuration)
        tokens_per_s = expected_tokens_per_s(configuration.teams.values())
        speed = median_prefill_speed(self._endpoints_of(service))
        return ceil(count_needed(tokens_per_s / max(1, len(scaled)), speed))

    def _present(self, order: EndpointOrder) -> int:
        """Return how many endpoints of the order's domain and kind serve."""
        rows = self._endpoints_of(order.service)
        return count_serving(rows, order.domain, order.reclaimable)

    def _repeat_after_s(self, order: EndpointOrder, limits: ScalingLimits) -> float:
        """Return the seconds after which an order is repeated.

        Notes
        -----
        An order is repeated rarely if its endpoints serve. Endpoints that should have
        booted and do not serve have been reclaimed. Only another order shows whether
        new ones are available or other domains must take the load.
        """
        if self._present(order) >= order.count:
            return ORDER_REPEAT_S
        return min(ORDER_REPEAT_S, limits.boot_s + BOOT_MARGIN_S)

    async def _order(self, order: EndpointOrder, limits: ScalingLimits) -> None:
        now = monotonic()
        key = (order.service, order.domain, order.reclaimable)
        last = self._orders.setdefault(key, _OrderState())
        if last.count == order.count and now - last.at < self._repeat_after_s(
            order, limits
        ):
            return
        if not self._lease.may_act(now):
            return
        if order.count < self._present(order) and not self._load_is_known(now):
            return
        before = self._present(order) if last.count is None else last.count
        outcome, detail = await self._cloud.order(self._stamp(), order)
        last.count = order.count if outcome is CloudOutcome.DONE else None
        last.at = now
        if order.count > before:
            last.raised_at = now
        if outcome is CloudOutcome.CONFLICT and order.reclaimable:
            self._exhausted_until[order.service, order.domain] = now + EXHAUSTED_S
        _LOG.info(
            "endpoints ordered",
            extra={
                "service": order.service,
                "domain": order.domain,
                "count": order.count,
                "reclaimable": order.reclaimable,
                "present": self._present(order),
                "load": sum(row.load for row in self._endpoints_of(order.service)),
                "needed": round(self._needed.get(order.service, 0.0), 2),
                "token": self._lease.token,
                "outcome": outcome.value,
                "detail": detail,
            },
        )


def _scaled_services(configuration: Configuration) -> list[ServiceName]:
    """Return the names of the services that have scaling limits."""
    services = configuration.services.values()
    return [service.name for service in services if service.scaling is not None]
