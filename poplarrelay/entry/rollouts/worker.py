"""Roll-out decisions of the duties' holder, and the reading of them by all nodes."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from time import monotonic

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.duty_lease import DutyLease
from poplarrelay.entry.fenced_topic import FencedTopic
from poplarrelay.entry.rollouts.coordinator import (
    Capacity,
    RolloutCoordinator,
    RolloutReport,
)
from poplarrelay.entry.rollouts.records import (
    RolloutPhase,
    RolloutProgress,
    RolloutState,
    decode_progress,
    encode_progress_record,
)
from poplarrelay.entry.rollouts.table import LocalRollout
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.store_contact import StoreContact
from poplarrelay.exception import (
    HistoryTrimmed,
    PlatformRecordMalformed,
    PlatformUnavailable,
    ReadInterrupted,
)
from poplarrelay.identifiers import Offset, SoftwareVersion
from poplarrelay.platform.records import (
    STATUS_TOPIC,
    decode_rollout_status,
    encode_rollout_status,
    rollout_key,
    rollout_service,
)
from poplarrelay.platform.store import (
    KeyedRecord,
    Store,
    encode_keyed,
    keyed_topic,
    parse_page,
)

__all__ = [
    "DECISION_INTERVAL_S",
    "PROGRESS_TOPIC",
    "RolloutFollower",
    "RolloutWorker",
]

_LOG = logging.getLogger("poplarrelay.entry.rollouts")

#: Topic with the progress of the latest roll-out of each service.
PROGRESS_TOPIC = keyed_topic("entry-rollouts")
#: Seconds between two decisions of the holder of the duties.
DECISION_INTERVAL_S = 0.2
#: Seconds between checks whether a roll-out has been ordered.
IDLE_S = 0.2
#: Seconds for which a read of the progress waits for a change.
PROGRESS_WAIT_S = 5.0
#: Seconds in which at least half of the nodes report to a new coordinator. A holder
#: that gets no reports gives up the duties.
MAX_SILENCE_S = 3.0
#: Longest pause in seconds after a failed read.
MAX_PAUSE_S = 0.6


class RolloutFollower:
    """Task that reads the progress of roll-outs from the store while one is open.

    Gossip brings changes sooner; the store also brings them to nodes that reach no
    peer.
    """

    def __init__(
        self, state: EntryState, store: Store, contact: StoreContact, rng: Random
    ) -> None:
        self._state = state
        self._store = store
        self._contact = contact
        self._rng = rng
        self._next: Offset | None = None

    def resync(self) -> None:
        """Make the next read fetch the newest record of every service."""
        self._next = None

    async def run(self) -> None:
        """Follow the progress until cancelled."""
        while True:
            if not self._state.rollouts.has_open:
                self._next = None
                await asyncio.sleep(IDLE_S)
                continue
            try:
                await self._read()
            except HistoryTrimmed:
                self._next = None
            except ReadInterrupted:
                pass
            except PlatformUnavailable as error:
                _LOG.debug("rollout progress unread", extra={"why": str(error)})
                await asyncio.sleep(MAX_PAUSE_S * (0.5 + 0.5 * self._rng.random()))

    async def _read(self) -> None:
        if self._next is None:
            records, self._next = await self._store.newest(PROGRESS_TOPIC)
        else:
            start = self._next
            page = await self._contact.wait_for(
                self._store.read(PROGRESS_TOPIC, 0, start, PROGRESS_WAIT_S)
            )
            if self._next != start:
                return
            records = parse_page(page, start)
            self._next = page.next if page.end >= start else None
        apply_progress_records(self._state, records)


def apply_progress_records(state: EntryState, records: list[KeyedRecord]) -> None:
    """Merge records of the progress topic into the node's roll-outs."""
    for record in records:
        if record.value is None:
            continue
        try:
            state.rollouts.merge(decode_progress(record.value), "store")
        except ValueError as error:
            _LOG.error(
                "rollout progress unreadable",
                extra={"service": record.key, "why": str(error)},
            )


class RolloutWorker:
    """Decides on roll-outs while this node holds the duties.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    store : Store
        Store with the progress and the states that operators read.
    lease : DutyLease
        Lease that decides whether this node may act.

    Notes
    -----
    The progress is written before the state that operators read, and the state follows
    from the progress. A new holder therefore continues where the previous one stopped,
    and no state is followed by an earlier one of the same order.
    """

    def __init__(self, state: EntryState, store: Store, lease: DutyLease) -> None:
        self._state = state
        self._store = store
        self._lease = lease
        self._progress_topic = FencedTopic(store, PROGRESS_TOPIC, "rollouts")
        self._status_topic = FencedTopic(store, STATUS_TOPIC, "rollouts")
        self._prepared_token = -1
        self._coordinators: dict[ServiceName, tuple[Offset, RolloutCoordinator]] = {}
        self._written: dict[ServiceName, RolloutProgress] = {}
        #: Monotonic time at which nodes could first learn to report to this holder.
        self._asked_at = float("inf")
        self._stated: dict[ServiceName, tuple[SoftwareVersion, RolloutState]] = {}

    def note_restore(self) -> None:
        """Read and write the progress and the states again after a restore."""
        self._prepared_token = -1
        self._stated = {}
        self._written = {}

    def receive(self, report: RolloutReport) -> None:
        """Store a node's report on an order that is in force."""
        local = self._state.rollouts.get(report.service)
        if local is not None and local.progress.order.offset == report.offset:
            coordinator = self._coordinator(local)
            coordinator.receive(report, self._state.clock.now())

    def _coordinator(self, local: LocalRollout) -> RolloutCoordinator:
        order = local.progress.order
        known = self._coordinators.get(order.service)
        if known is None or known[0] != order.offset:
            share = self._state.settings.bounds.canary_share
            known = (order.offset, RolloutCoordinator(share))
            self._coordinators[order.service] = known
        return known[1]

    async def run_round(self) -> None:
        """Decide and write once, if the lease allows it.

        Raises
        ------
        AppendRefused
            If another node holds the duties.
        PlatformUnavailable
            If the store does not answer.
        """
        self._revert_bad_versions()
        if not self._lease.may_act(monotonic()) or not self._has_work():
            return
        await self._prepare()
        for topic in (self._progress_topic, self._status_topic):
            await topic.flush()
        for local in self._state.rollouts:
            await self._advance(local)

    def _revert_bad_versions(self) -> None:
        """Revert what the reports to this node convict, also without the lease.

        While the store is unavailable, no node holds the lease, and the reports still
        arrive here.
        """
        state = self._state
        for local in state.rollouts:
            if local.is_open and local.progress.coordinator == state.me.host:
                why = self._coordinator(local).convict(state.clock.now())
                if why:
                    state.rollouts.revert(local.progress.order.service, why)

    def is_cut_off(self) -> bool:
        """Return whether other nodes do not report to this holder in time."""
        state = self._state
        return any(
            local.is_open
            and local.progress.token == self._lease.token
            and monotonic() - self._asked_at > MAX_SILENCE_S
            and not self._coordinator(local).is_informed(state.total_nodes)
            for local in state.rollouts
        )

    def _has_work(self) -> bool:
        return any(
            local.is_open or self._is_unstated(local.progress)
            for local in self._state.rollouts
        )

    def _is_unstated(self, progress: RolloutProgress) -> bool:
        stated = (progress.order.target, progress.phase.state)
        return self._stated.get(progress.order.service) != stated

    async def _prepare(self) -> None:
        """Refuse the writes of earlier holders, then read what they have written."""
        token = self._lease.token
        if self._prepared_token == token:
            return
        for topic in (self._progress_topic, self._status_topic):
            await topic.prepare(token)
        records, _ = await self._store.newest(PROGRESS_TOPIC)
        apply_progress_records(self._state, records)
        self._stated = {}
        self._written = {}
        self._asked_at = float("inf")
        records, _ = await self._store.newest(STATUS_TOPIC)
        for record in records:
            self._read_status(record)
        self._prepared_token = token

    def _read_status(self, record: KeyedRecord) -> None:
        service = rollout_service(record.key)
        if service is None or record.value is None:
            return
        try:
            self._stated[service] = decode_rollout_status(service, record.value)
        except PlatformRecordMalformed as error:
            _LOG.error("rollout state unreadable", extra={"why": str(error)})

    async def _advance(self, local: LocalRollout) -> None:
        """Decide on one roll-out, and write its progress and its state."""
        if not self._lease.may_act(monotonic()):
            return
        progress = self._decide(local)
        service = progress.order.service
        if self._needs_write(service, progress):
            await self._write_progress(progress)
        await self._write_states(progress)

    def _decide(self, local: LocalRollout) -> RolloutProgress:
        state = self._state
        rows = state.endpoints.of(local.progress.order.service)
        target, others = local.split(rows)
        coordinator = self._coordinator(local)
        now = state.clock.now()
        own = state.rollouts.report(local, state.me.node, state.me.incarnation, rows)
        coordinator.receive(own, now)
        nodes = [state.me.node, *(row.node for row in state.peers.alive(monotonic()))]
        before = local.progress
        progress = coordinator.decide(
            before,
            Capacity.from_rows(target, others),
            local.had_others,
            nodes,
            state.total_nodes,
            now,
        )
        if progress is not before and progress.phase is RolloutPhase.COMPLETED:
            replaced = frozenset(row.version for row in others)
            progress = progress.bar(replaced)
        return progress.by(self._lease.token, state.me.host)

    def _needs_write(self, service: ServiceName, progress: RolloutProgress) -> bool:
        """Return whether the store lacks the order, the phase or this coordinator."""
        written = self._written.get(service)
        return written is None or (
            written.order.offset,
            written.phase,
            written.token,
        ) != (progress.order.offset, progress.phase, progress.token)

    async def _write_progress(self, progress: RolloutProgress) -> None:
        service = progress.order.service

        def note_written() -> None:
            if not self._written:
                self._asked_at = monotonic()
            self._written[service] = progress
            self._state.rollouts.merge(progress, "this node")

        self._lease.record_action(monotonic())
        record = encode_keyed(service, encode_progress_record(progress))
        await self._progress_topic.append([record], note_written)

    async def _write_states(self, progress: RolloutProgress) -> None:
        """Write the state that operators read, unless it is written already."""
        service, target = progress.order.service, progress.order.target
        stated = self._stated.get(service)
        if (
            stated is not None
            and stated[0] != target
            and stated[1] is RolloutState.IN_PROGRESS
        ):
            # A newer order replaces a roll-out that was not completed.
            await self._write_state(service, stated[0], RolloutState.REVERTED)
        if self._is_unstated(progress):
            await self._write_state(service, target, progress.phase.state)

    async def _write_state(
        self, service: ServiceName, target: SoftwareVersion, state: RolloutState
    ) -> None:
        def note_written() -> None:
            self._stated[service] = (target, state)
            _LOG.info(
                "rollout stated",
                extra={"service": service, "target": target, "state": state.value},
            )

        self._lease.record_action(monotonic())
        record = encode_keyed(
            rollout_key(service), encode_rollout_status(state, target)
        )
        await self._status_topic.append([record], note_written)
