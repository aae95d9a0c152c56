"""The list of endpoints, put together from the newest record of each."""

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

#: Seconds for which a record that went in an outage may come back: it is written
#: again within two seconds of the store's return, if the endpoint lives.
COMEBACK_S = 2.3
#: Seconds for which the removal of a record is remembered. An older record of the
#: endpoint may come that late from a peer's list, whose transfer takes a second or two.
REMEMBERED_S = 60.0


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """What the store held last of an endpoint, as one node tells it to another.

    Attributes
    ----------
    offset : Offset
        Position of the record. Of two of one endpoint the later holds, by whichever
        way and in whatever order they come.
    content : bytes or None
        The record, None if it was removed or names no endpoint to use.
    lapsed : bool
        Whether it went while the store was away, so that it may come back.
    """

    endpoint: EndpointId
    offset: Offset
    content: bytes | None
    lapsed: bool = False

    @property
    def removal(self) -> bool:
        """Return whether there is no record any more."""
        return self.content is None


@dataclass(slots=True)
class _Known:
    """The newest record of an endpoint that this node has seen.

    Attributes
    ----------
    offset : Offset
        Position of the newest record.
    changed : Offset
        Position of the first one that says the same of the endpoint.
    record : EndpointRecord or None
        What it says, None if there is no endpoint to use.
    content : bytes or None
        The bytes of the record at `changed`.
    at : float
        Monotonic time at which this became known.
    started_ms : StartTime or None
        Start of the latest run that has been seen.
    fault : str
        Why the record could not be read, empty if it could.
    """

    offset: Offset
    changed: Offset
    record: EndpointRecord | None
    content: bytes | None
    lapsed: bool
    at: float
    started_ms: StartTime | None
    fault: str


def digest_of(rows: Iterable[Endpoint]) -> str:
    """Return what a list of endpoints comes to; equal lists have equal digests.

    Notes
    -----
    Only what decides where requests go counts: records are written again at every
    heartbeat. Endpoints whose records are away since an outage of the store do not
    count, since the store does not list them.
    """
    facts = sorted(
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
    return hashlib.blake2b(repr(facts).encode(), digest_size=8).hexdigest()


class EndpointList:
    """Keeps the table of endpoints to the newest record of each.

    Parameters
    ----------
    state : EntryState
        The tables.
    reads_failed_s : callable
        Returns for how long reads of the store have failed, 0 if the last did not.
    on_change : callable
        Called after endpoints have changed.
    on_departure : callable
        Is given each endpoint that has left, so that peers hear of it at once.
    on_ended : callable
        Is given the row of each run that has ended, whose idle connections are of no
        use any more.
    clock : callable
        Returns the monotonic time.

    Notes
    -----
    Every fact carries its record's offset in the store, and a record changes nothing
    where a later one is known. A peer's whole list once replaced this node's by its
    age: one that was taken for newer than it was removed endpoints that the store
    held, and brought back others that had left. Offsets need no clock.
    """

    def __init__(
        self,
        state: EntryState,
        reads_failed_s: Callable[[float], float],
        on_change: Callable[[], None],
        on_departure: Callable[[EndpointId], None],
        on_ended: Callable[[Endpoint], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._state = state
        self._reads_failed_s = reads_failed_s
        self._on_change = on_change
        self._on_departure = on_departure
        self._on_ended = on_ended
        self._clock = clock
        self._known: dict[EndpointId, _Known] = {}
        #: Changes before this offset may have been forgotten.
        self._floor = Offset(0)
        self.digest = digest_of(())

    # what is known

    def change(self, endpoint: EndpointId) -> EndpointChange | None:
        """Return the last change of an endpoint, None if it is not known."""
        known = self._known.get(endpoint)
        if known is None:
            return None
        return EndpointChange(endpoint, known.changed, known.content, known.lapsed)

    def since(self, offset: Offset) -> list[EndpointChange] | None:
        """Return all changes from an offset on, None if some are forgotten."""
        if offset < self._floor:
            return None
        changes = [
            EndpointChange(endpoint, known.changed, known.content, known.lapsed)
            for endpoint, known in self._known.items()
            if known.changed >= offset
        ]
        return sorted(changes, key=lambda change: change.offset)

    def all(self) -> list[EndpointChange]:
        """Return the last change of each endpoint that has a record."""
        return [
            EndpointChange(endpoint, known.changed, known.content)
            for endpoint, known in self._known.items()
            if known.content is not None
        ]

    @property
    def unreadable(self) -> dict[EndpointId, str]:
        """Return why records that cannot be used cannot be read."""
        return {e: known.fault for e, known in self._known.items() if known.fault}

    @property
    def earliest_lapse(self) -> Offset | None:
        """Return where the first record stands that may come back, None if none may."""
        lapsed = [k.changed for e, k in self._known.items() if self._suspended(e)]
        return min(lapsed, default=None)

    def _suspended(self, endpoint: EndpointId) -> bool:
        row = self._state.endpoints.rows.get(endpoint)
        return row is not None and row.suspended_until is not None

    # what comes from the store

    def apply_newest(self, records: list[KeyedRecord], as_of: Offset) -> None:
        """Take the newest records of all endpoints, as of an offset."""
        listed = self._take_records(records)
        self._drop_missing(listed, as_of, "removed")
        self._state.endpoints_known = True
        # What was removed before is in no list; only a removal seen here is known.
        self._floor = max(self._floor, as_of)
        self._finish()

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Take records in the order in which they were written."""
        self._take_records(records)
        self._finish()

    def _take_records(self, records: list[KeyedRecord]) -> set[EndpointId]:
        now = self._clock()
        listed: set[EndpointId] = set()
        for record in records:
            endpoint = EndpointId(record.key)
            lapsed = record.value is None and self._was_away(now)
            change = EndpointChange(endpoint, record.offset, record.value, lapsed)
            self._take(change, "removed" if change.removal else "read", now)
            if not change.removal:
                listed.add(endpoint)
        return listed

    def _was_away(self, now: float) -> bool:
        """Return whether the store has just come back, for all nodes.

        Notes
        -----
        Only then may a record that went come back. Neither sign is enough: failed reads
        alone may be this node's own trouble, while peers have confirmed its list; a
        list that is old without a failed read shows a busy node.
        """
        failed = self._reads_failed_s(now) > 0
        freshness = self._state.freshness
        return failed and freshness.age_s(now) > freshness.times.outage_s

    def _drop_missing(self, listed: set[EndpointId], as_of: Offset, why: str) -> None:
        """Take out endpoints whose records are older than a list and not in it."""
        now = self._clock()
        lapsed = self._was_away(now)
        for endpoint, known in list(self._known.items()):
            if known.content is None or endpoint in listed:
                continue
            # Refused where a record later than the list is known.
            gone = EndpointChange(endpoint, Offset(as_of - 1), None, lapsed)
            self._take(gone, why, now)

    # what comes from peers

    def apply_changes(self, changes: Iterable[EndpointChange], peer: str) -> None:
        """Take changes that a peer has passed on."""
        now = self._clock()
        for change in changes:
            self._take(change, f"told by {peer}", now)
        self._finish()

    def replace_all(
        self, changes: Iterable[EndpointChange], as_of: Offset, peer: str
    ) -> None:
        """Take a peer's whole list, which knows every record before an offset."""
        now = self._clock()
        listed = set()
        for change in changes:
            self._take(change, f"told by {peer}", now)
            listed.add(change.endpoint)
        self._drop_missing(listed, as_of, f"not in the list of {peer}")
        self._floor = max(self._floor, as_of)
        self._finish()

    # one change

    def _take(self, change: EndpointChange, why: str, now: float) -> None:
        known = self._known.get(change.endpoint)
        if change.lapsed and self._state.freshness.steady(now):
            # A peer took its own trouble for an outage. The store answered all the
            # while, so this record went for good.
            change = replace(change, lapsed=False)
        if known is not None and not _supersedes(change, known):
            return
        record, fault = self._decode(change, known)
        if known is not None and _says_nothing_new(record, known):
            # Nothing to tell others, but a list must not drop the endpoint.
            known.offset = change.offset
            return
        self._known[change.endpoint] = _Known(
            offset=change.offset,
            changed=change.offset,
            record=record,
            content=None if record is None else change.content,
            lapsed=change.lapsed,
            at=now,
            started_ms=_latest(record, known),
            fault=fault,
        )
        if record is not None:
            self._put(record, change.offset, why)
        elif change.lapsed:
            self._suspend(change, now)
        else:
            self._drop(change, why if change.removal else "record unreadable")

    def _decode(
        self, change: EndpointChange, known: _Known | None
    ) -> tuple[EndpointRecord | None, str]:
        """Return what a record says, or why it names no endpoint to use."""
        if change.content is None:
            return None, ""
        try:
            return decode_endpoint(change.endpoint, change.content), ""
        except PlatformRecordMalformed as error:
            fault = str(error)
        # The same writer writes again at every heartbeat; one line tells it.
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
            self._state.endpoints.drop(record.endpoint)
            self._on_ended(row)
            row = None
            departs = True
            change = "started again"
        if row is None:
            row = _row_of(record)
            self._state.endpoints.put(row)
        elif row.suspended_until is not None:
            change = "record back"
        elif row.leaving != record.leaving:
            change = "leaving" if record.leaving else "back"
        else:
            change = "changed"
        row.leaving = record.leaving
        row.slots = record.slots
        row.reclaimable = record.reclaimable
        row.suspended_until = None
        if record.leaves_in_s is not None:
            row.leaves_at = self._clock() + record.leaves_in_s
        self._log(row, change, offset, why)
        if departs:
            self._on_departure(record.endpoint)

    def _suspend(self, change: EndpointChange, now: float) -> None:
        row = self._state.endpoints.rows.get(change.endpoint)
        if row is None or row.suspended_until is not None:
            return
        row.suspended_until = now + COMEBACK_S
        self._log(row, "kept", change.offset, "record went while the store was away")

    def _drop(self, change: EndpointChange, why: str) -> None:
        row = self._state.endpoints.rows.get(change.endpoint)
        if row is None:
            return
        self._state.endpoints.drop(change.endpoint)
        self._on_ended(row)
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

    # as time passes

    def expire(self, now: float) -> None:
        """Take out endpoints whose records did not come back after an outage."""
        late = [
            row
            for row in self._state.endpoints.rows.values()
            if row.suspended_until is not None and row.suspended_until <= now
        ]
        for row in late:
            known = self._known[row.endpoint]
            known.lapsed = False
            gone = EndpointChange(row.endpoint, known.changed, None)
            self._drop(gone, "record did not come back")
        if late:
            self._finish()

    def forget(self, now: float) -> None:
        """Forget removals that no late list can undo any more."""
        old = [
            endpoint
            for endpoint, known in self._known.items()
            if known.record is None and now - known.at > REMEMBERED_S
        ]
        for endpoint in old:
            changed = self._known.pop(endpoint).changed
            self._floor = max(self._floor, Offset(changed + 1))

    def resync(self) -> None:
        """Forget all offsets: the store counts anew.

        Notes
        -----
        Rows stay in use until the next list shows which of them there are.
        """
        for known in self._known.values():
            known.offset = known.changed = Offset(-1)
        self._floor = Offset(0)
        self._state.freshness.as_of = Offset(0)
        self._state.freshness.invalidate()

    def _finish(self) -> None:
        self.digest = digest_of(self._state.endpoints.rows.values())
        self._on_change()


def _supersedes(change: EndpointChange, known: _Known) -> bool:
    """Return whether a change holds where another is known.

    Notes
    -----
    Of one removal, a node that saw it while the store was there knows better than
    one that took it for the effect of an outage.
    """
    if change.offset != known.offset:
        return change.offset > known.offset
    return change.removal and not change.lapsed and known.lapsed


def _says_nothing_new(record: EndpointRecord | None, known: _Known) -> bool:
    """Return whether a record is a heartbeat, or of a run that another replaced."""
    if record is None:
        return False
    if record == known.record:
        return True
    if known.started_ms is None or record.started_ms is None:
        return False
    return record.started_ms < known.started_ms


def _latest(record: EndpointRecord | None, known: _Known | None) -> StartTime | None:
    """Return the start of the latest run of an endpoint that has been seen."""
    if record is not None and record.started_ms is not None:
        return record.started_ms
    return None if known is None else known.started_ms


def _same_run(row: Endpoint, record: EndpointRecord) -> bool:
    """Return whether a record is of the run of the endpoint that a row is of."""
    return (row.service, row.address, row.domain, row.started_ms) == (
        record.service,
        (record.host, record.port),
        record.domain,
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
        started_ms=record.started_ms,
    )
