"""Orders for endpoints, which the holder of the duties gives."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import monotonic

from poplarrelay.entry.configuration import Configuration, Service, ServiceName
from poplarrelay.entry.demand import expected_tokens_per_s
from poplarrelay.entry.duties import DutyLease
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.sizing import (
    SizingInput,
    count_for_demand,
    domains_taken,
    plan_endpoints,
)
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import DomainId
from poplarrelay.platform.cloud import (
    CloudApi,
    CloudOutcome,
    DutyStamp,
    EndpointOrder,
)

__all__ = ["EndpointOrders"]

_LOG = logging.getLogger("poplarrelay.entry.duty")

#: Seconds between orders that say the same. An order whose answer was lost may be
#: carried out after a newer one, and would stay in force otherwise.
AFFIRM_S = 8.0
#: Seconds beyond its boot time after which an ordered endpoint should be listed.
BOOT_MARGIN_S = 1.5
#: Seconds after which reclaimable endpoints are asked for again when there were none.
SCARCE_S = 2.5
#: Seconds for which they are expected to be scarce after a notice.
NOTICE_SCARCE_S = 1.5
#: Seconds for which on-demand endpoints are kept: twice the boot of one.
KEEP_ON_DEMAND_S = 8.0
#: Seconds after the first start within which all endpoints that were there have
#: written their records, and none that were ordered serve.
FOUND_S = 4.0
#: Seconds of load after which the load decides alone.
LEARN_FIRST_S = 8.0
#: Seconds of requests that a restarted process sees before it orders by them.
LEARN_LOAD_S = 4.0
#: Weights of a second's load in the smoothed one, rising and falling: late orders
#: cost answers, early cancellations cost boots.
RISING, FALLING = 0.5, 0.06


@dataclass(slots=True)
class _OrderState:
    """What was last ordered of one kind in one domain.

    Attributes
    ----------
    count : int or None
        The number, None if it is not certain that the order was taken.
    """

    count: int | None = None
    at: float = float("-inf")


class EndpointOrders:
    """Orders endpoints for the services whose number this system chooses.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    cloud : CloudApi
        Where endpoints are ordered.
    lease : DutyLease
        Tells whether this node may give orders.
    stamp : callable
        Returns what an order bears, and notes that this node acts.
    """

    def __init__(
        self,
        state: EntryState,
        cloud: CloudApi,
        lease: DutyLease,
        stamp: Callable[[], DutyStamp],
    ) -> None:
        self._state = state
        self._cloud = cloud
        self._lease = lease
        self._stamp = stamp
        self._orders: dict[tuple[ServiceName, DomainId, bool], _OrderState] = {}
        self._scarce_until = float("-inf")
        self._started_at = monotonic()
        self._found: dict[ServiceName, int] = {}
        self._first_load_at: dict[ServiceName, float] = {}
        self._loads: dict[ServiceName, float] = {}
        self._demands: dict[ServiceName, float] = {}

    async def run_round(self) -> None:
        """Take the load, and give the orders that are due if this node may."""
        self._smooth_loads()
        configuration = self._state.configuration
        if configuration is None or not self._state.endpoints_known:
            return
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._order_endpoints(service)

    def _smooth_loads(self) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        for name in _scaled_services(configuration):
            load = float(sum(row.load for row in self._state.endpoints.of(name)))
            before = self._loads.get(name, load)
            weight = RISING if load > before else FALLING
            self._loads[name] = before + weight * (load - before)
            # Already an average over seconds: a rise counts at once.
            demand = self._state.total_demand(name, monotonic())
            before = max(demand, self._demands.get(name, demand))
            self._demands[name] = before + FALLING * (demand - before)

    async def _order_endpoints(self, service: Service) -> None:
        assert service.scaling is not None
        now = monotonic()
        if not self._lease.may_act(now):
            # Whoever holds the duty next has orders of its own.
            self._orders.clear()
            return
        rows = self._state.endpoints.of(service.name)
        self._expect_scarcity(service.name, rows, now)
        scarce = now < self._scarce_until
        load = self._loads.get(service.name, 0.0)
        least = self._least_at_start(service.name, rows, load, now)
        demand = self._demands.get(service.name, 0.0)
        plan = plan_endpoints(
            SizingInput(service.scaling, rows, load, scarce, least, demand)
        )
        for part in plan:
            order = EndpointOrder(service.name, part.domain, part.on_demand, False)
            if part.on_demand != self._present(order):
                await self._order_on_demand(order, load)
        for part in plan:
            count = part.reclaimable
            if monotonic() < self._scarce_until:
                room = max(0, service.scaling.most - part.on_demand)
                count = self._kept_while_scarce(service.name, part.domain, room)
            order = EndpointOrder(service.name, part.domain, count, True)
            if monotonic() >= self._scarce_until or self._lowers(order):
                await self._order(order, load)

    async def _order_on_demand(self, order: EndpointOrder, load: float) -> None:
        """Order on-demand endpoints, and keep for a while what was ordered.

        Notes
        -----
        The load swings within seconds. An endpoint that is given up as soon as it
        has booted was paid for its boot alone, and is missed at the next wave.
        """
        last = self._orders.get((order.service, order.domain, False))
        lowers = last is not None and self._lowers(order)
        if last is not None and lowers and monotonic() - last.at < KEEP_ON_DEMAND_S:
            return
        await self._order(order, load)

    def _lowers(self, order: EndpointOrder) -> bool:
        """Return whether an order asks for less than the last one of its kind."""
        last = self._orders.get((order.service, order.domain, order.reclaimable))
        return last is not None and last.count is not None and order.count < last.count

    def _kept_while_scarce(
        self, service: ServiceName, domain: DomainId, room: int
    ) -> int:
        """Return how many reclaimable endpoints stay ordered while none can be had.

        Notes
        -----
        What was ordered before may be booting, and is needed more than ever. It is
        given up only where on-demand endpoints need its room.
        """
        last = self._orders.get((service, domain, True))
        return room if last is None or last.count is None else min(last.count, room)

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
        self, service: ServiceName, rows: Sequence[Endpoint], load: float, now: float
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
            if load > 0:
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
        return count_for_demand(tokens_per_s / max(1, len(scaled)))

    def _present(self, order: EndpointOrder) -> int:
        """Return how many endpoints as ordered take work."""
        return sum(
            row.domain == order.domain
            and row.reclaimable is order.reclaimable
            and row.accepts_work
            for row in self._state.endpoints.of(order.service)
        )

    def _expect_scarcity(
        self, service: ServiceName, rows: Sequence[Endpoint], now: float
    ) -> None:
        """Expect that no reclaimable endpoints are to be had after a notice.

        Notes
        -----
        A wave takes all reclaimable endpoints of a domain at once, and mostly no
        new ones are to be had for a while, anywhere. Replacing them at the notice
        gains its two seconds on a boot of four.
        """
        ordered = {
            domain: last.count
            for (name, domain, reclaimable), last in self._orders.items()
            if name == service and reclaimable
        }
        if domains_taken(rows, ordered):
            self._scarce_until = max(self._scarce_until, now + NOTICE_SCARCE_S)

    def _affirm_after(self, order: EndpointOrder) -> float:
        """Return after how long an order is given again.

        Notes
        -----
        Endpoints that are there are affirmed seldom. Ones that should have booted
        and are not there were taken away; only asking again shows whether new ones
        are to be had, or the other domains must carry the load.
        """
        configuration = self._state.configuration
        service = configuration and configuration.services.get(order.service)
        if (
            self._present(order) >= order.count
            or not service
            or service.scaling is None
        ):
            return AFFIRM_S
        return min(AFFIRM_S, service.scaling.boot_s + BOOT_MARGIN_S)

    async def _order(self, order: EndpointOrder, load: float) -> None:
        now = monotonic()
        key = (order.service, order.domain, order.reclaimable)
        last = self._orders.setdefault(key, _OrderState())
        if last.count == order.count and now - last.at < self._affirm_after(order):
            return
        if not self._lease.may_act(now):
            return
        if order.count < self._present(order) and not self._knows_load(now):
            return
        outcome, detail = await self._cloud.order(self._stamp(), order)
        last.count = order.count if outcome is CloudOutcome.DONE else None
        last.at = now
        if outcome is CloudOutcome.CONFLICT and order.reclaimable:
            self._scarce_until = now + SCARCE_S
        _LOG.info(
            "endpoints ordered",
            extra={
                "service": order.service,
                "domain": order.domain,
                "count": order.count,
                "reclaimable": order.reclaimable,
                "load": round(load, 1),
                "token": self._lease.token,
                "outcome": outcome.value,
                "detail": detail,
            },
        )


def _scaled_services(configuration: Configuration) -> list[ServiceName]:
    """Return the services whose endpoints this system orders."""
    services = configuration.services.values()
    return [service.name for service in services if service.scaling is not None]
