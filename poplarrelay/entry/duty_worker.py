"""The duties that one node holds at a time, and usage reports as one of them."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from time import monotonic

import orjson

from poplarrelay.entry.duty_lease import DutyLease, LeaseChange, is_candidate
from poplarrelay.entry.metering import WindowNumber, merge_counts
from poplarrelay.entry.scaling import SCALING_INTERVAL_S, EndpointScaler
from poplarrelay.entry.state import EntryState
from poplarrelay.exception import AppendRefused, HistoryTrimmed, PlatformUnavailable
from poplarrelay.identifiers import NodeId, Offset, TeamId
from poplarrelay.platform.cloud import (
    CloudClient,
    CloudOutcome,
    DutyStamp,
)
from poplarrelay.platform.store import Producer, Store

__all__ = ["DutyWorker", "UsageLedger"]

_LOG = logging.getLogger("poplarrelay.entry.duty")

#: Group whose only partition in use stands for the duties, and its topic.
GROUP = "entry-duties"
TOPIC = "entry-duties"
DUTY_PARTITION = 0
#: Time in seconds after which a silent holder loses the duty, and between renewals:
#: three renewals fit in, so that two lost ones cost nothing.
TTL_S = 2.2
RENEW_S = 0.55
#: Seconds after the start within which a node goes by the nodes that the store lists,
#: since it has not heard who is alive: all would stand for the duties otherwise, and
#: each that left again would have the store deal them anew.
FIND_PEERS_S = 3.0
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


class DutyWorker:
    """Takes part in the group of nodes that share the duties, and does them.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    store : Store
        Where the duty is held and counts are decided.
    cloud : CloudClient
        Where usage is reported and endpoints are ordered.
    """

    def __init__(self, state: EntryState, store: Store, cloud: CloudClient) -> None:
        self._state = state
        self._store = store
        self._cloud = cloud
        bounds = state.settings.bounds
        ttl_s = max(TTL_S, state.settings.platform.group_ttl_min_ms / 1000)
        # A process of this node may have acted just before a restart.
        last_action_at = float("-inf") if state.settings.first_start else monotonic()
        self._lease = DutyLease(
            ttl_s, bounds.lease_ms / 1000, last_action_at=last_action_at
        )
        self._member = f"{state.me.node}/{state.me.incarnation}"
        self._ledger = UsageLedger()
        self._ledger_next = Offset(0)
        self._prepared_token = -1
        self._sequence = 0
        self._pending: tuple[WindowNumber, dict[TeamId, int]] | None = None
        self._retired = False
        self._started_at = monotonic()
        self._endpoint_scaler = EndpointScaler(
            state, cloud, self._lease, lambda: self._stamp
        )

    @property
    def lease(self) -> DutyLease:
        """Return the lease on the duties."""
        return self._lease

    async def renew_forever(self) -> None:
        """Stay in the group until cancelled."""
        while not self._retired:
            if self._lease.held or self._stands(monotonic()):
                await self._renew()
            await asyncio.sleep(RENEW_S * (0.9 + 0.2 * self._state.rng.random()))

    def _stands(self, now: float) -> bool:
        """Return whether this node stands for the duties."""
        state = self._state
        if now - self._started_at < FIND_PEERS_S:
            return state.listed is not None and is_candidate(
                state.me.node, state.listed
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
            _LOG.debug("renewal failed", extra={"why": str(error)})
            return
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
        """Give the duties to another node, and take none again."""
        self._retired = True
        await self._leave()

    async def _leave(self) -> None:
        self._lease.relinquish()
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
            await self._endpoint_scaler.run_round()
            await asyncio.sleep(SCALING_INTERVAL_S)

    @property
    def _stamp(self) -> DutyStamp:
        """Return what a call bears, and note that this node acts."""
        self._lease.record_action(monotonic())
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
        """Shut out earlier holders, and learn what they have decided.

        Notes
        -----
        Once in a tenure: nobody else can append to the ledger until it ends, since
        the empty append has raised the epoch above that of all earlier holders.
        """
        token = self._lease.token
        if self._prepared_token == token:
            return
        self._sequence = 0
        self._pending = None
        await self._store.append(LEDGER_TOPIC, 0, [], self._producer())
        self._sequence = 1
        await self._read_ledger()
        self._prepared_token = token

    async def _read_ledger(self) -> None:
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

    def _producer(self) -> Producer:
        return Producer("usage", self._lease.token, self._sequence)

    async def _report_usage(self) -> None:
        window_s = self._state.usage.window_s
        wall = self._state.clock.now()
        newest = int((wall - SETTLE_S) // window_s) - 1
        oldest = int((wall - LATEST_S) // window_s)
        if self._pending is not None:
            await self._append_pending()
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
        self._pending = (window, counts)
        await self._append_pending()

    async def _append_pending(self) -> None:
        """Append the counts that have been decided last.

        Notes
        -----
        An append without an answer may be carried out, now or later. Until one is
        answered, only the same record may follow under its sequence number: with
        newer counts, or those of the next window, the store would repeat its first
        answer and keep the first record, and a successor would report other counts
        than this node has.
        """
        assert self._pending is not None
        window, counts = self._pending
        record = UsageLedger.encode(window, counts)
        await self._store.append(LEDGER_TOPIC, 0, [record], self._producer())
        self._sequence += 1
        self._pending = None
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
