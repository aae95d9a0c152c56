"""Work that one node at a time does for all: usage reports and endpoint orders."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from time import monotonic

import orjson

from poplarrelay.entry.duty_lease import DutyLease, LeaseChange, is_candidate
from poplarrelay.entry.fenced_topic import FencedTopic
from poplarrelay.entry.metering import WindowNumber, merge_counts
from poplarrelay.entry.rollouts.worker import DECISION_INTERVAL_S, RolloutWorker
from poplarrelay.entry.scaling import SCALING_INTERVAL_S, EndpointScaler
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.store_era import FIRST_ERA
from poplarrelay.exception import AppendRefused, HistoryTrimmed, PlatformUnavailable
from poplarrelay.identifiers import NodeId, Offset, StoreEra, TeamId
from poplarrelay.platform.cloud import (
    CloudClient,
    CloudOutcome,
    DutyHolder,
)
from poplarrelay.platform.store import Store

__all__ = ["DutyWorker", "UsageLedger"]

_LOG = logging.getLogger("poplarrelay.entry.duty")

#: Consumer group and topic in the store. The node to which the group assigns
#: `DUTY_PARTITION` holds the duties.
GROUP = "entry-duties"
TOPIC = "entry-duties"
DUTY_PARTITION = 0
#: Seconds after which a holder that sends no renewal loses the duties, and seconds
#: between renewals. Three renewals fit into the first, so two can be lost.
LEASE_TTL_S = 2.2
RENEWAL_INTERVAL_S = 0.55
#: Seconds after the start during which a node uses the list of nodes in the store,
#: since it does not know yet which peers are alive. Without the list all nodes would be
#: candidates, and each one that leaves the group again makes the store rebalance it.
PEER_DISCOVERY_S = 3.0
#: Seconds between rounds of usage reports.
REPORT_INTERVAL_S = 1.0
#: Topic of the usage counts that are final.
LEDGER_TOPIC = "entry-usage"
#: Seconds from the end of a window until its counts are decided. Gossip about the last
#: requests takes about a second to reach the holder.
DECISION_DELAY_S = 2.2
#: Seconds from the end of a window until it is no longer reported. A late report is
#: still useful for a short time after it was due.
MAX_WINDOW_AGE_S = 20.0


@dataclass(slots=True)
class UsageLedger:
    """Final usage counts by window.

    Attributes
    ----------
    decided : dict
        Counts by window, from the first record of each window.
    acknowledged : set of int
        Windows whose report from this node the platform has accepted.
    eras : set of StoreEra
        Eras in which the records that were read have been written.
    decided_through : int
        Latest window that holders of earlier eras may have decided, whose counts a
        restore of the store can have lost. These windows are not decided again.

    Notes
    -----
    The platform must never accept two reports of one window with different counts. A
    report can be accepted although its response is lost. Therefore the holder appends
    the counts to the store before the first report, and all later reports of the window
    from any node repeat these counts. The fencing token of the duties protects the
    ledger: a holder that was replaced cannot append to it. A restored store has lost
    the newest records. The first holder of an era therefore excludes all windows that
    had ended when it heard of the era: a window without a report is better than one
    with two.
    """

    decided: dict[WindowNumber, dict[TeamId, int]] = field(default_factory=dict)
    acknowledged: set[WindowNumber] = field(default_factory=set)
    eras: set[StoreEra] = field(default_factory=set)
    decided_through: WindowNumber = -1

    def add_record(self, record: bytes) -> None:
        """Add a record of the ledger unless its window is known already."""
        value = orjson.loads(record)
        if "era" in value:
            self.eras.add(StoreEra(int(value["era"])))
        through = value.get("decided_through")
        if through is not None:
            self.decided_through = max(self.decided_through, int(through))
            return
        self.decided.setdefault(int(value["window"]), value["counts"])

    @staticmethod
    def encode(
        window: WindowNumber, counts: dict[TeamId, int], era: StoreEra = FIRST_ERA
    ) -> bytes:
        """Return the ledger record of a window."""
        return orjson.dumps({"window": window, "counts": counts, "era": era})

    @staticmethod
    def encode_era(era: StoreEra, through: WindowNumber) -> bytes:
        """Return the first ledger record of an era, which excludes earlier windows.

        Older versions read it as the counts of a window that is never reported.
        """
        return orjson.dumps(
            {"window": -1, "counts": {}, "era": era, "decided_through": through}
        )

    def drop_before(self, before: WindowNumber) -> None:
        """Drop all windows before the given one."""
        for window in [w for w in self.decided if w < before]:
            del self.decided[window]
        self.acknowledged = {w for w in self.acknowledged if w >= before}


class DutyWorker:
    """Member of the duty group, which does the work while it holds the duties.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    store : Store
        Store with the duty group and the usage ledger.
    cloud : CloudClient
        Client that sends usage reports and endpoint orders.
    """

    def __init__(self, state: EntryState, store: Store, cloud: CloudClient) -> None:
        self._state = state
        self._store = store
        self._cloud = cloud
        bounds = state.settings.bounds
        ttl_s = max(LEASE_TTL_S, state.settings.platform.group_ttl_min_ms / 1000)
        # After a restart, the previous process may have acted a moment ago.
        last_action_at = float("-inf") if state.settings.first_start else monotonic()
        self._lease = DutyLease(
            ttl_s, bounds.lease_ms / 1000, last_action_at=last_action_at
        )
        self._member = f"{state.me.node}/{state.me.incarnation}"
        self._ledger = UsageLedger()
        self._ledger_next = Offset(0)
        self._ledger_topic = FencedTopic(store, LEDGER_TOPIC, "usage")
        self._prepared_token = -1
        self._retired = False
        self._started_at = monotonic()
        self._endpoint_scaler = EndpointScaler(
            state, cloud, self._lease, lambda: self._stamp
        )
        self._rollouts = RolloutWorker(state, store, self._lease)

    @property
    def lease(self) -> DutyLease:
        """Return the lease on the duties."""
        return self._lease

    @property
    def rollouts(self) -> RolloutWorker:
        """Return the worker that decides on roll-outs."""
        return self._rollouts

    async def renew_forever(self) -> None:
        """Renew the group membership until cancelled or retired."""
        while not self._retired:
            if self._lease.held or self._is_candidate(monotonic()):
                await self._renew()
            await asyncio.sleep(
                RENEWAL_INTERVAL_S * (0.9 + 0.2 * self._state.rng.random())
            )

    def _is_candidate(self, now: float) -> bool:
        """Return whether this node is a candidate for the duties."""
        state = self._state
        if now - self._started_at < PEER_DISCOVERY_S:
            return state.listed_nodes is not None and is_candidate(
                state.me.node, state.listed_nodes
            )
        alive = [peer.node for peer in state.peers.alive(now)]
        return is_candidate(state.me.node, alive)

    async def _renew(self) -> None:
        sent_at = monotonic()
        try:
            share = await self._store.join(
                GROUP, self._member, TOPIC, self._lease.ttl_s, self._lease.generation
            )
        except PlatformUnavailable as error:
            _LOG.debug("duty renewal failed", extra={"why": str(error)})
            return
        if self._lease.era != self._state.eras.latest:
            self._lease.begin_era(self._state.eras.latest)
        holds = DUTY_PARTITION in share.partitions
        change = self._lease.renew(holds, share.generation, sent_at)
        if change is not LeaseChange.NONE:
            _LOG.info(
                "duty",
                extra={
                    "change": change.value,
                    "token": self._lease.token,
                    "generation": share.generation,
                },
            )

    async def retire(self) -> None:
        """Leave the duty group permanently, so that another node gets the duties."""
        self._retired = True
        await self._leave()

    async def _leave(self) -> None:
        self._lease.relinquish()
        while True:
            try:
                await self._store.leave(GROUP, self._member)
                return
            except PlatformUnavailable as error:
                _LOG.warning("leaving duty group failed", extra={"why": str(error)})
                await asyncio.sleep(RENEWAL_INTERVAL_S)

    def note_restore(self) -> None:
        """Begin again after the store was restored from an older copy."""
        self._lease.begin_era(self._state.eras.latest)
        self._ledger_next = Offset(0)
        self._ledger.eras.clear()
        self._prepared_token = -1
        self._rollouts.note_restore()

    async def report_forever(self) -> None:
        """Report usage while this node holds the duties, until cancelled."""
        while True:
            if self._lease.may_act(monotonic()):
                try:
                    await self._prepare_ledger()
                    await self._report_usage()
                except PlatformUnavailable as error:
                    _LOG.info("usage report delayed", extra={"why": str(error)})
                except AppendRefused as error:
                    await self._step_down(f"ledger: {error.reason}")
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def order_forever(self) -> None:
        """Order endpoints while this node holds the duties, until cancelled.

        Notes
        -----
        This loop is separate from the usage reports. While responses of the platform
        are lost, each report blocks until it times out. In a common loop, the orders
        would have to wait for the reports of all open windows.
        """
        while True:
            await self._endpoint_scaler.run_round()
            await asyncio.sleep(SCALING_INTERVAL_S)

    async def advance_rollouts_forever(self) -> None:
        """Decide on roll-outs while this node holds the duties, until cancelled."""
        while True:
            try:
                await self._rollouts.run_round()
                if self._lease.held and self._rollouts.is_cut_off():
                    await self._step_down("rollouts: no reports")
            except PlatformUnavailable as error:
                _LOG.info("rollout delayed", extra={"why": str(error)})
            except AppendRefused as error:
                await self._step_down(f"rollouts: {error.reason}")
            await asyncio.sleep(DECISION_INTERVAL_S)

    @property
    def _stamp(self) -> DutyHolder:
        """Return the stamp for a call to the platform, and record an action."""
        self._lease.record_action(monotonic())
        return DutyHolder(NodeId(self._state.me.node), self._lease.token)

    async def _step_down(self, why: str) -> None:
        """Leave the group after a refusal that indicates a newer holder.

        Notes
        -----
        This node joins the group again later, and can then hold the duties only with a
        larger token. Calls with the old token would always be refused.
        """
        _LOG.warning("duty refused", extra={"token": self._lease.token, "why": why})
        await self._leave()

    # usage

    async def _prepare_ledger(self) -> None:
        """Refuse appends of earlier holders to the ledger, then read it.

        This runs once per lease term.
        """
        token = self._lease.token
        if self._prepared_token == token:
            return
        await self._ledger_topic.prepare(token)
        await self._read_ledger()
        await self._begin_era()
        self._prepared_token = token

    async def _begin_era(self) -> None:
        """Exclude the windows that a restored ledger may have lost, once per era."""
        eras = self._state.eras
        if not eras.stated or eras.latest in self._ledger.eras:
            return
        era, through = eras.latest, self._state.usage.window_of(eras.seen_at) - 1

        def note_begun() -> None:
            self._ledger.eras.add(era)
            self._ledger.decided_through = max(self._ledger.decided_through, through)
            _LOG.info("usage era", extra={"era": era, "decided_through": through})

        record = UsageLedger.encode_era(era, through)
        await self._ledger_topic.append([record], note_begun)

    async def _read_ledger(self) -> None:
        while True:
            try:
                page = await self._store.read(LEDGER_TOPIC, 0, self._ledger_next)
            except HistoryTrimmed as trimmed:
                self._ledger_next = Offset(trimmed.start)
                continue
            for record in page.records:
                self._ledger.add_record(record)
            self._ledger_next = page.next
            if not page.records or page.next >= page.end:
                break
        _LOG.info(
            "ledger read",
            extra={
                "next": self._ledger_next,
                "windows": sorted(self._ledger.decided),
                "token": self._lease.token,
                "era": self._state.eras.latest,
                "decided_through": self._ledger.decided_through,
            },
        )

    async def _report_usage(self) -> None:
        window_s = self._state.usage.window_s
        wall = self._state.clock.now()
        newest = int((wall - DECISION_DELAY_S) // window_s) - 1
        oldest = int((wall - MAX_WINDOW_AGE_S) // window_s)
        await self._ledger_topic.flush()
        for window in range(oldest, newest + 1):
            if window not in self._ledger.decided:
                if not self._may_decide(window, wall):
                    continue
                await self._decide_window(window)
            if window not in self._ledger.acknowledged:
                await self._report_window(window)
            if not self._lease.may_act(monotonic()):
                return
        self._ledger.drop_before(oldest)

    def _may_decide(self, window: WindowNumber, wall: float) -> bool:
        """Return whether the counts of a window are complete and were never decided."""
        usage, peers = self._state.usage, self._state.peers
        began = (window + 1) * usage.window_s > peers.earliest_start()
        kept = window >= usage.oldest_kept(wall)
        return began and kept and window > self._ledger.decided_through

    async def _decide_window(self, window: WindowNumber) -> None:
        counts = merge_counts(self._state.peers.usage_reports(), window)

        def note_decided() -> None:
            self._ledger.decided[window] = counts
            _LOG.info("usage decided", extra={"window": window, "counts": counts})

        record = UsageLedger.encode(window, counts, self._state.eras.latest)
        await self._ledger_topic.append([record], note_decided)

    async def _report_window(self, window: WindowNumber) -> None:
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
            await self._step_down(f"usage: {detail}")
