"""List of endpoints, built from the newest record of each endpoint."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from time import monotonic

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.state import EntryState
from poplarrelay.exception import PlatformRecordMalformed
from poplarrelay.identifiers import EndpointId, Offset, StartTime
from poplarrelay.platform.records import EndpointRecord, decode_endpoint
from poplarrelay.platform.store import KeyedRecord

__all__ = ["EndpointChange", "EndpointList", "digest_of"]

_LOG = logging.getLogger("poplarrelay.entry.listing")

#: Seconds for which an endpoint stays in use after its record lapsed in an outage. A
#: live endpoint writes its record again within two seconds of the end of the outage.
LAPSE_GRACE_S = 2.3
#: The same after a restore of the store, which can have lost the record.
RESTORE_GRACE_S = 5.0
#: Seconds for which the removal of a record is kept. A peer's list can bring an older
#: record of the endpoint after the removal, as its transfer takes a second or two.
REMOVAL_MEMORY_S = 60.0


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Last change of an endpoint's record in the store, as nodes exchange it.

    Attributes
    ----------
    offset : Offset
        Position of the record. Of two changes of one endpoint, the one with the later
        offset is valid, independent of their senders and order of arrival.
    content : bytes or None
        The record; None if it was removed or cannot be used.
    lapsed : bool
        Whether the record was removed during an outage of the store. The endpoint can
        still be alive and write it again.
    """

    endpoint: EndpointId
    offset: Offset
    content: bytes | None
    lapsed: bool = False

    @property
    def removal(self) -> bool:
        """Return whether the change removes the record."""
        return self.content is None


@dataclass(slots=True)
class _KnownRecord:
    """Newest record of an endpoint that this node has received.

    Attributes
    ----------
    offset : Offset
        Position of the newest record.
    change_offset : Offset
        Position of the earliest record with the same meaning as the newest one.
    record : EndpointRecord or None
        The decoded record; None if it was removed or cannot be used.
    content : bytes or None
        The bytes of the record at `change_offset`.
    lapsed : bool
        Whether the record was removed during an outage of the store.
    learned_at : float
        Monotonic time at which this node received the change.
    started_ms : StartTime or None
        Start time of the endpoint's latest known run.
    fault : str
        Reason why the record cannot be decoded, empty if it can.
    restored : bool
        Whether the store was restored since the record was read, and no record of the
        endpoint has been read from the restored store.
    """

    offset: Offset
    change_offset: Offset
    record: EndpointRecord | None
    content: bytes | None
    lapsed: bool
    learned_at: float
    started_ms: StartTime | None
    fault: str
    restored: bool = False


def digest_of(rows: Iterable[Endpoint]) -> str:
    """Return a digest of a list of endpoints; equal lists have equal digests.

    Notes
    -----
    The digest covers only the fields that determine where requests are sent, since
    records are written again at every heartbeat. It leaves out endpoints whose records
    lapsed in an outage, since the store does not list them.
    """
    compared_fields = sorted(
        (
            row.endpoint,
            row.service,
            *row.address,
            row.slots,
            row.leaving,
            row.reclaimable,
        )
        for row in rows
        if row.suspended_until is None
    )
    return hashlib.blake2b(repr(compared_fields).encode(), digest_size=8).hexdigest()


class EndpointList:
    """List that updates the table of endpoints with the newest record of each.

    Parameters
    ----------
    state : EntryState
        Tables of this node.
    reads_failed_s : callable
        Returns for how long reads of the store have failed, 0 if the last succeeded.
    on_change : callable
        Called after endpoints have changed.
    on_departure : callable
        Called with each endpoint that leaves, to announce it to peers immediately.
    on_run_ended : callable
        Called with the row of each run that has ended, to close its idle connections.
    clock : callable
        Returns the monotonic time.

    Notes
    -----
    Every change has the offset of its record in the store. A change is ignored if a
    later one is known. Offsets need no clock: when lists of peers were compared by age,
    a list that seemed newer than it was removed endpoints that the store held, and
    restored endpoints that had left.
    """

    def __init__(
        self,
        state: EntryState,
        reads_failed_s: Callable[[float], float],
        on_change: Callable[[], None],
        on_departure: Callable[[EndpointId], None],
        on_run_ended: Callable[[Endpoint], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._state = state
        self._reads_failed_s = reads_failed_s
        self._on_change = on_change
        self._on_departure = on_departure
        self._on_run_ended = on_run_ended
        self._clock = clock
        self._known: dict[EndpointId, _KnownRecord] = {}
        #: Some changes before this offset can be missing from `_known`.
        self._complete_from = Offset(0)
        self.digest = digest_of(())

    # queries

    def change(self, endpoint: EndpointId) -> EndpointChange | None:
        """Return the last change of an endpoint, None if there is none."""
        known = self._known.get(endpoint)
        if known is None:
            return None
        return EndpointChange(
            endpoint, known.change_offset, known.content, known.lapsed
        )

    def since(self, offset: Offset) -> list[EndpointChange] | None:
        """Return all changes from an offset on, None if some can be missing."""
        if offset < self._complete_from:
            return None
        changes = [
            EndpointChange(endpoint, known.change_offset, known.content, known.lapsed)
            for endpoint, known in self._known.items()
            if known.change_offset >= offset
        ]
        return sorted(changes, key=lambda change: change.offset)

    def all(self) -> list[EndpointChange]:
        """Return the last change of each endpoint that has a record."""
        return [
            EndpointChange(endpoint, known.change_offset, known.content)
            for endpoint, known in self._known.items()
            if known.content is not None
        ]

    @property
    def unreadable(self) -> dict[EndpointId, str]:
        """Return the endpoints whose records cannot be decoded, with the reasons."""
        return {e: known.fault for e, known in self._known.items() if known.fault}

    @property
    def earliest_lapse(self) -> Offset | None:
        """Return the earliest offset of a lapsed record, None if there is none."""
        lapsed = [k.change_offset for e, k in self._known.items() if self._suspended(e)]
        return min(lapsed, default=None)

    def _suspended(self, endpoint: EndpointId) -> bool:
        row = self._state.endpoints.rows.get(endpoint)
        return row is not None and row.suspended_until is not None

    # records from the store

    def apply_newest(self, records: list[KeyedRecord], as_of: Offset) -> None:
        """Apply the newest records of all endpoints before the offset `as_of`."""
        listed = self._apply_each(records)
        self._remove_missing(listed, as_of, "removed")
        self._state.endpoints_known = True
        # Removals before this offset that this node has not received are unknown: the
        # store does not list removed records.
        self._complete_from = max(self._complete_from, as_of)
        self._finish_update()

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Apply records in the order in which they were written."""
        self._apply_each(records)
        self._finish_update()

    def _apply_each(self, records: list[KeyedRecord]) -> set[EndpointId]:
        now = self._clock()
        listed: set[EndpointId] = set()
        for record in records:
            endpoint = EndpointId(record.key)
            lapsed = record.value is None and self._store_was_unavailable(now)
            change = EndpointChange(endpoint, record.offset, record.value, lapsed)
            self._apply(change, "removed" if change.removal else "read", now)
            if not change.removal:
                listed.add(endpoint)
        return listed

    def _store_was_unavailable(self, now: float) -> bool:
        """Return whether an outage of the store for all nodes has just ended.

        Notes
        -----
        Only then can the endpoint of a removed record still be alive. Both conditions
        are necessary: failed reads alone can affect only this node, while peers confirm
        its list; an old list without a failed read means that this node was busy.
        """
        failed = self._reads_failed_s(now) > 0
        freshness = self._state.freshness
        return failed and freshness.age_s(now) > freshness.times.outage_s

    def _remove_missing(self, listed: set[EndpointId], as_of: Offset, why: str) -> None:
        """Remove endpoints that a list lacks, unless their record is later than it."""
        now = self._clock()
        lapsed = self._store_was_unavailable(now)
        for endpoint, known in list(self._known.items()):
            if known.content is None or endpoint in listed:
                continue
            # `_apply` ignores this change if a record later than the list is known.
            removal_change = EndpointChange(
                endpoint, Offset(as_of - 1), None, lapsed or known.restored
            )
            self._apply(removal_change, why, now)

    # changes from peers

    def apply_changes(self, changes: Iterable[EndpointChange], peer: str) -> None:
        """Apply changes that a peer has sent."""
        now = self._clock()
        for change in changes:
            self._apply(change, f"told by {peer}", now)
        self._finish_update()

    def replace_all(
        self, changes: Iterable[EndpointChange], as_of: Offset, peer: str
    ) -> None:
        """Apply a peer's complete list, which covers every record before an offset."""
        now = self._clock()
        listed = set()
        for change in changes:
            self._apply(change, f"told by {peer}", now)
            listed.add(change.endpoint)
        self._remove_missing(listed, as_of, f"not in the list of {peer}")
        self._complete_from = max(self._complete_from, as_of)
        self._finish_update()

    # applying one change

    def _apply(self, change: EndpointChange, why: str, now: float) -> None:
        known = self._known.get(change.endpoint)
        if change.lapsed and self._state.freshness.no_recent_outage(now):
            # The peer mistook its own failed reads for an outage. The store was
            # available, so the removal is final.
            change = replace(change, lapsed=False)
        if known is not None and not _supersedes(change, known):
            return
        record, fault = self._decode(change, known)
        if known is not None and known.restored and _revives(record, known):
            # The restored store has an older record, until the departure is written
            # again. A record that follows is a new one.
            known.offset = known.change_offset = change.offset
            known.restored = False
            return
        if known is not None and _is_redundant(record, known):
            # There is nothing to send to peers. The later offset prevents an older list
            # from removing the endpoint.
            known.offset = change.offset
            if known.restored:
                known.change_offset, known.restored = change.offset, False
            return
        self._known[change.endpoint] = _KnownRecord(
            offset=change.offset,
            change_offset=change.offset,
            record=record,
            content=None if record is None else change.content,
            lapsed=change.lapsed,
            learned_at=now,
            started_ms=_latest_start(record, known),
            fault=fault,
        )
        if record is not None:
            self._put(record, change.offset, why)
        elif change.lapsed:
            restored = known is not None and known.restored
            grace_s = RESTORE_GRACE_S if restored else LAPSE_GRACE_S
            self._suspend(change, now, grace_s)
        else:
            self._drop(change, why if change.removal else "record unreadable")

    def _decode(
        self, change: EndpointChange, known: _KnownRecord | None
    ) -> tuple[EndpointRecord | None, str]:
        """Return the decoded record, or the reason why it cannot be decoded."""
        if change.content is None:
            return None, ""
        try:
            return decode_endpoint(change.endpoint, change.content), ""
        except PlatformRecordMalformed as error:
            fault = str(error)
        # The record is written again at every heartbeat; log each fault once.
        if known is None or known.fault != fault:
            _LOG.error(
                "endpoint unreadable",
                extra={
                    "endpoint": change.endpoint,
                    "offset": change.offset,
                    "why": fault,
                },
            )
        return None, fault

    def _put(self, record: EndpointRecord, offset: Offset, why: str) -> None:
        row = self._state.endpoints.rows.get(record.endpoint)
        departs = row is not None and record.leaving and not row.leaving
        change = "new"
        if row is not None and not _same_run(row, record):
            if row.version != record.version:
                # The list is confirmed again only when all new records are applied.
                row.current_until = self._state.freshness.confirmed_at
            self._state.endpoints.drop(record.endpoint)
            self._on_run_ended(row)
            row = None
            departs = True
            change = "started again"
        if row is None:
            row = _row_of(record)
            self._state.restore_notices(row)
            self._state.endpoints.put(row)
        elif row.suspended_until is not None:
            change = "record back"
        elif row.leaving != record.leaving:
            change = "leaving" if record.leaving else "back"
        else:
            change = "changed"
        self._state.versions.note([row], self._clock())
        row.leaving = record.leaving
        row.slots = record.slots
        row.reclaimable = record.reclaimable
        row.suspended_until = None
        row.warm_at = self._clock() + record.cold_s
        if record.leaves_in_s is not None:
            row.leaves_at = self._clock() + record.leaves_in_s
        self._log(row, change, offset, why)
        if departs:
            self._on_departure(record.endpoint)

    def _suspend(self, change: EndpointChange, now: float, grace_s: float) -> None:
        row = self._state.endpoints.rows.get(change.endpoint)
        if row is None or row.suspended_until is not None:
            return
        row.suspended_until = now + grace_s
        self._log(row, "kept", change.offset, "record went while the store was away")

    def _drop(self, change: EndpointChange, why: str) -> None:
        row = self._state.endpoints.rows.get(change.endpoint)
        if row is None:
            return
        self._state.endpoints.drop(change.endpoint)
        self._on_run_ended(row)
        self._log(row, "gone", change.offset, why)
        self._on_departure(change.endpoint)

    def _log(self, row: Endpoint, change: str, offset: Offset, why: str) -> None:
        now = self._clock()
        freshness = self._state.freshness
        _LOG.info(
            "endpoint",
            extra={
                "endpoint": row.endpoint,
                "service": row.service,
                "version": row.version,
                "change": change,
                "why": why,
                "leaving": row.leaving,
                "domain": row.domain,
                "reclaimable": row.reclaimable,
                "leaves_in_s": None if row.leaves_at is None else row.leaves_at - now,
                "offset": offset,
                "list_age_s": round(freshness.reported_age_s(now), 2),
                "reads_failed_s": round(self._reads_failed_s(now), 2),
            },
        )

    # expiry

    def expire(self, now: float) -> None:
        """Remove endpoints whose records were not written again after an outage."""
        expired = [
            row
            for row in self._state.endpoints.rows.values()
            if row.suspended_until is not None and row.suspended_until <= now
        ]
        for row in expired:
            known = self._known[row.endpoint]
            known.lapsed = False
            removal_change = EndpointChange(row.endpoint, known.change_offset, None)
            self._drop(removal_change, "record did not come back")
        if expired:
            self._finish_update()

    def forget(self, now: float) -> None:
        """Delete old removals, which no delayed list of a peer can undo."""
        old = [
            endpoint
            for endpoint, known in self._known.items()
            if known.record is None and now - known.learned_at > REMOVAL_MEMORY_S
        ]
        for endpoint in old:
            change_offset = self._known.pop(endpoint).change_offset
            self._complete_from = max(self._complete_from, Offset(change_offset + 1))

    def resync(self) -> None:
        """Reset all offsets after the store has restarted its count.

        Notes
        -----
        Rows stay in use until the next list shows which endpoints exist.
        """
        for known in self._known.values():
            known.offset = known.change_offset = Offset(-1)
        self._complete_from = Offset(0)
        self._state.freshness.known_offset = Offset(0)
        self._state.freshness.invalidate()

    def note_restore(self) -> None:
        """Reset all offsets after the store was restored from an older copy.

        Notes
        -----
        The restored store can lack the newest records and removals until they are
        written again. Until then, a record that is missing does not remove its
        endpoint, and an older one does not make a departed endpoint usable.
        """
        for known in self._known.values():
            known.restored = True
        rows = self._state.endpoints.rows.values()
        # Also for nodes that start before the departures are written again.
        leaving = [row for row in rows if row.leaving]
        self._state.departures.add(leaving, self._clock())
        self.resync()

    def _finish_update(self) -> None:
        self.digest = digest_of(self._state.endpoints.rows.values())
        self._on_change()


def _supersedes(change: EndpointChange, known: _KnownRecord) -> bool:
    """Return whether a change replaces the known record.

    Notes
    -----
    For the same removal, the change from a node that read it while the store was
    available replaces the change from a node that attributed it to an outage.
    """
    if change.offset != known.offset:
        return change.offset > known.offset
    return change.removal and not change.lapsed and known.lapsed


def _revives(record: EndpointRecord | None, known: _KnownRecord) -> bool:
    """Return whether a record makes a run usable that is known to have departed."""
    if record is None or record.leaving or record.started_ms != known.started_ms:
        return False
    return known.record.leaving if known.record else not known.lapsed


def _is_redundant(record: EndpointRecord | None, known: _KnownRecord) -> bool:
    """Return whether a record is a heartbeat or belongs to an earlier run."""
    if record is None:
        return False
    if record == known.record:
        return True
    if known.started_ms is None or record.started_ms is None:
        return False
    return record.started_ms < known.started_ms


def _latest_start(
    record: EndpointRecord | None, known: _KnownRecord | None
) -> StartTime | None:
    """Return the start time of an endpoint's latest known run."""
    if record is not None and record.started_ms is not None:
        return record.started_ms
    return None if known is None else known.started_ms


def _same_run(row: Endpoint, record: EndpointRecord) -> bool:
    """Return whether a record and a row belong to the same run of the endpoint."""
    return (row.service, row.address, row.domain, row.version, row.started_ms) == (
        record.service,
        (record.host, record.port),
        record.domain,
        record.version,
        record.started_ms,
    )


def _row_of(record: EndpointRecord) -> Endpoint:
    return Endpoint(
        endpoint=record.endpoint,
        service=record.service,
        address=(record.host, record.port),
        domain=record.domain,
        slots=record.slots,
        reclaimable=record.reclaimable,
        version=record.version,
        started_ms=record.started_ms,
    )
