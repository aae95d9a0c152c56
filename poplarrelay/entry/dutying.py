"""The duties that one node holds: usage reports and orders for endpoints."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import monotonic

import orjson

from poplarrelay.entry.configuration import Configuration, Service, ServiceName
from poplarrelay.entry.demand import expected_tokens_per_s
from poplarrelay.entry.duties import DutyChange, DutyLease
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.metering import WindowNumber, merge_counts
from poplarrelay.entry.sizing import (
    SizingInput,
    count_for_demand,
    domains_taken,
    plan_endpoints,
)
from poplarrelay.entry.state import EntryState
from poplarrelay.exception import AppendRefused, HistoryTrimmed, PlatformUnavailable
from poplarrelay.identifiers import DomainId, NodeId, Offset, TeamId
from poplarrelay.platform.cloud import (
    CloudApi,
    CloudOutcome,
    DutyStamp,
    EndpointOrder,
)
from poplarrelay.platform.store import Appender, Store

__all__ = ["DutyRunner", "UsageLedger"]

_LOG = logging.getLogger("poplarrelay.entry.duty")

#: Group whose only partition in use stands for the duties, and its topic.
GROUP = "entry-duties"
TOPIC = "entry-duties"
DUTY_PARTITION = 0
#: Time in seconds after which a silent holder loses the duty, and between renewals:
#: three renewals fit in, so that two lost ones cost nothing.
TTL_S = 2.2
RENEW_S = 0.55
#: Seconds between looks at what is to be done.
ACT_S = 1.0
#: Topic of the usage counts that have been decided.
LEDGER_TOPIC = "entry-usage"
#: Seconds after a window's end at which its counts are decided. News of the last
#: requests needs about a second to reach the holder.
SETTLE_S = 2.2
#: Seconds after its end for which a window is still decided: beyond what is due, an
#: old window is better reported late than not at all only for a short time.
LATEST_S = 20.0
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
class UsageLedger:
    """Usage counts that are decided for good.

    Attributes
    ----------
    decided : dict
        Counts by window. The first record of a window counts.
    acknowledged : set of int
        Windows whose report the platform has taken from this node.

    Notes
    -----
    Two reports of a window with different counts must never be accepted. A report
    whose answer was lost may have been accepted, so the counts are appended to the
    store before the first report is sent, and every later report of that window, by
    whichever node, repeats them. Appending is fenced by the duty's token: a holder
    that was replaced cannot add to the ledger any more.
    """

    decided: dict[WindowNumber, dict[TeamId, int]] = field(default_factory=dict)
    acknowledged: set[WindowNumber] = field(default_factory=set)

    def take(self, record: bytes) -> None:
        """Take a record of the ledger."""
        value = orjson.loads(record)
        self.decided.setdefault(int(value["window"]), value["counts"])

    @staticmethod
    def encode(window: WindowNumber, counts: dict[TeamId, int]) -> bytes:
        """Return the record of a window."""
        return orjson.dumps({"window": window, "counts": counts})

    def forget(self, before: WindowNumber) -> None:
        """Drop what is too old to be reported."""
        for window in [w for w in self.decided if w < before]:
            del self.decided[window]
        self.acknowledged = {w for w in self.acknowledged if w >= before}


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


class DutyRunner:
    """Takes part in the group of nodes that share the duties, and does them.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    store : Store
        Where the duty is held and counts are decided.
    cloud : CloudApi
        Where usage is reported and endpoints are ordered.
    """

    def __init__(self, state: EntryState, store: Store, cloud: CloudApi) -> None:
        self._state = state
        self._store = store
        self._cloud = cloud
        bounds = state.settings.bounds
        ttl_s = max(TTL_S, state.settings.platform.group_ttl_min_ms / 1000)
        # A process of this node may have acted just before a restart.
        acted_at = float("-inf") if state.settings.first_start else monotonic()
        self._lease = DutyLease(ttl_s, bounds.lease_ms / 1000, acted_at=acted_at)
        self._member = f"{state.me.node}/{state.me.incarnation}"
        self._ledger = UsageLedger()
        self._ledger_next = Offset(0)
        self._prepared_token = -1
        self._sequence = 0
        self._retired = False
        self._orders: dict[tuple[ServiceName, DomainId, bool], _OrderState] = {}
        self._scarce_until = float("-inf")
        self._started_at = monotonic()
        self._found: dict[ServiceName, int] = {}
        self._first_load_at: dict[ServiceName, float] = {}
        self._loads: dict[ServiceName, float] = {}
        self._demands: dict[ServiceName, float] = {}

    @property
    def lease(self) -> DutyLease:
        """Return the lease on the duties."""
        return self._lease

    async def renew_forever(self) -> None:
        """Stay in the group until cancelled."""
        while not self._retired:
            await self._renew()
            await asyncio.sleep(RENEW_S * (0.9 + 0.2 * self._state.rng.random()))

    async def _renew(self) -> None:
        sent_at = monotonic()
        try:
            share = await self._store.join(
                GROUP, self._member, TOPIC, self._lease.ttl_s, self._lease.generation
            )
        except PlatformUnavailable as error:
            _LOG.debug("renewal failed", extra={"why": str(error)})
            return
        holds = DUTY_PARTITION in share.partitions
        change = self._lease.renew(holds, share.generation, sent_at)
        if change is not DutyChange.NONE:
            _LOG.info(
                "duty",
                extra={
                    "change": change.value,
                    "token": self._lease.token,
                    "generation": share.generation,
                },
            )

    async def retire(self) -> None:
        """Give the duties to another node, and take none again."""
        self._retired = True
        await self._leave()

    async def _leave(self) -> None:
        self._lease.give_up()
        while True:
            try:
                await self._store.leave(GROUP, self._member)
                return
            except PlatformUnavailable as error:
                _LOG.warning("duty not handed on yet", extra={"why": str(error)})
                await asyncio.sleep(RENEW_S)

    async def report_forever(self) -> None:
        """Report usage whenever this node holds the duties, until cancelled."""
        while True:
            if self._lease.may_act(monotonic()):
                try:
                    await self._prepare()
                    await self._report_usage()
                except PlatformUnavailable as error:
                    _LOG.info("usage delayed", extra={"why": str(error)})
                except AppendRefused as error:
                    await self._fenced(f"ledger: {error.reason}")
            await asyncio.sleep(ACT_S)

    async def order_forever(self) -> None:
        """Order endpoints whenever this node holds the duties, until cancelled.

        Notes
        -----
        Apart from the reports: while answers of the platform are lost each call
        takes its whole timeout, and orders would wait behind all open windows.
        """
        while True:
            self._smooth_loads()
            configuration = self._state.configuration
            if configuration is not None and self._state.endpoints_known:
                for service in configuration.services.values():
                    if service.scaling is not None:
                        await self._order_endpoints(service)
            await asyncio.sleep(ACT_S)

    @property
    def _stamp(self) -> DutyStamp:
        """Return what a call bears, and note that this node acts."""
        self._lease.note_act(monotonic())
        return DutyStamp(NodeId(self._state.me.node), self._lease.token)

    async def _fenced(self, why: str) -> None:
        """Step back after a refusal that shows a newer holder.

        Notes
        -----
        Leaving the group makes this node join it anew, and hold the duty again only
        under a larger token. Acting on with the old one would be refused for ever.
        """
        _LOG.warning("duty refused", extra={"token": self._lease.token, "why": why})
        await self._leave()

    # usage

    async def _prepare(self) -> None:
        """Shut out earlier holders, and learn what they have decided."""
        if self._prepared_token != self._lease.token:
            self._sequence = 0
            await self._store.append(LEDGER_TOPIC, 0, [], self._appender())
            self._sequence = 1
            self._prepared_token = self._lease.token
        while True:
            try:
                page = await self._store.read(LEDGER_TOPIC, 0, self._ledger_next)
            except HistoryTrimmed as trimmed:
                self._ledger_next = Offset(trimmed.start)
                continue
            for record in page.records:
                self._ledger.take(record)
            self._ledger_next = page.next
            if not page.records or page.next >= page.end:
                return

    def _appender(self) -> Appender:
        return Appender("usage", self._lease.token, self._sequence)

    async def _report_usage(self) -> None:
        window_s = self._state.usage.window_s
        wall = self._state.clock.now()
        newest = int((wall - SETTLE_S) // window_s) - 1
        oldest = int((wall - LATEST_S) // window_s)
        for window in range(oldest, newest + 1):
            if window not in self._ledger.decided:
                if (window + 1) * window_s <= self._state.peers.earliest_start():
                    continue
                await self._decide(window)
            if window not in self._ledger.acknowledged:
                await self._report(window)
            if not self._lease.may_act(monotonic()):
                return
        self._ledger.forget(oldest)

    async def _decide(self, window: WindowNumber) -> None:
        counts = merge_counts(self._state.peers.usage_reports(), window)
        record = UsageLedger.encode(window, counts)
        await self._store.append(LEDGER_TOPIC, 0, [record], self._appender())
        self._sequence += 1
        self._ledger.decided[window] = counts
        _LOG.info("usage decided", extra={"window": window, "counts": counts})

    async def _report(self, window: WindowNumber) -> None:
        counts = self._ledger.decided[window]
        outcome, detail = await self._cloud.report_usage(self._stamp, window, counts)
        _LOG.info(
            "usage reported",
            extra={
                "window": window,
                "outcome": outcome.value,
                "token": self._lease.token,
                "detail": detail,
            },
        )
        if outcome is CloudOutcome.DONE:
            self._ledger.acknowledged.add(window)
        elif outcome is CloudOutcome.CONFLICT:
            await self._fenced(f"usage: {detail}")

    # orders

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
        outcome, detail = await self._cloud.order(self._stamp, order)
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
