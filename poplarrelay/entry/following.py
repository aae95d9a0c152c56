"""Following the platform's store: the configuration and the list of endpoints."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from time import monotonic

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.freshness import NEVER_S, ListFreshness, digest_of
from poplarrelay.entry.state import EntryState
from poplarrelay.exception import (
    HistoryTrimmed,
    PlatformRecordMalformed,
    PlatformUnavailable,
)
from poplarrelay.identifiers import EndpointId, Offset
from poplarrelay.platform.records import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    ENDPOINTS_TOPIC,
    EndpointRecord,
    decode_configuration,
    decode_endpoint,
)
from poplarrelay.platform.store import KeyedRecord, Store, split_page

__all__ = ["Dependency", "TopicFollower", "apply_configuration", "apply_endpoint"]

_LOG = logging.getLogger("poplarrelay.entry.following")

#: Seconds between looks at whether news has made a read due earlier.
LOOK_S = 0.1
#: Seconds after its last read for which a node reads on from there. After longer
#: times it reads the newest record of each key: fewer than all that were written.
READ_ON_S = 4.0
#: Pause after a failed read, in seconds, doubled up to the longest with each failure.
FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 0.6
#: Seconds for which reads must have failed, and the list not been confirmed, for the
#: store to count as having been away: then a record that has gone missing is given the
#: time to come back. Entries lapse after more than three seconds; a kept connection
#: that the store has closed costs some tenths.
OUTAGE_S = 1.0
#: That time. Entries that lapsed during an outage are written again within two
#: seconds of the store's return, if the endpoint lives.
COMEBACK_S = 2.3


class Dependency:
    """Tells the log once when the store is lost and once when it is back."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_at: float | None = None

    def lost_s(self, now: float) -> float:
        """Return for how long calls have failed, 0 if the last one did not."""
        return 0.0 if self._lost_at is None else now - self._lost_at

    def note_answer(self) -> None:
        """Note an answer."""
        now = monotonic()
        if self._lost_at is not None:
            _LOG.warning(
                "dependency regained",
                extra={
                    "dependency": self._name,
                    "after_s": round(now - self._lost_at, 2),
                },
            )
            self._lost_at = None

    def note_failure(self, error: PlatformUnavailable, sent_at: float) -> None:
        """Note a failed call, and when it was sent."""
        if self._lost_at is None:
            self._lost_at = sent_at
            _LOG.warning(
                "dependency lost", extra={"dependency": self._name, "why": str(error)}
            )


def apply_configuration(state: EntryState, content: bytes, source: str) -> bool:
    """Put a configuration in force if it is newer, and return whether it was.

    Notes
    -----
    Versions only rise within a process. A read that is behind, or a peer that is,
    must not bring back a route or a key that operators have taken away.
    """
    try:
        configuration = decode_configuration(content)
    except PlatformRecordMalformed as error:
        _LOG.error("configuration unreadable", extra={"why": str(error)})
        return False
    known = state.configuration
    if known is not None and configuration.version <= known.version:
        return False
    state.configuration = configuration
    state.configuration_record = content
    state.configuration_at = monotonic()
    state.me.configuration = configuration.version
    _LOG.info(
        "configuration in force",
        extra={
            "version": configuration.version,
            "before": None if known is None else known.version,
            "routes": len(configuration.routes),
            "teams": len(configuration.teams),
            "source": source,
        },
    )
    return True


def apply_endpoint(
    state: EntryState, record: EndpointRecord, offset: Offset | None
) -> bool:
    """Take an endpoint's record, and return whether anything changed.

    Parameters
    ----------
    offset : Offset or None
        Where the record stands in the store's topic, None if a peer passed it on.
    """
    row = state.endpoints.rows.get(record.endpoint)
    if row is None:
        row = Endpoint(
            endpoint=record.endpoint,
            service=record.service,
            address=(record.host, record.port),
            domain=record.domain,
            slots=record.slots,
            reclaimable=record.reclaimable,
        )
        state.endpoints.put(row)
        change = "new"
    elif record.leaving and not row.leaving:
        change = "leaving"
    elif row.leaving and not record.leaving:
        change = "back"
    else:
        change = ""
    row.leaving = record.leaving
    row.slots = record.slots
    row.suspended_until = None
    if record.leaves_in_s is not None:
        row.leaves_at = monotonic() + record.leaves_in_s
    if change:
        _LOG.info(
            "endpoint",
            extra={
                "endpoint": record.endpoint,
                "service": record.service,
                "change": change,
                "domain": record.domain,
                "reclaimable": record.reclaimable,
                "leaves_in_s": record.leaves_in_s,
                "offset": offset,
                **_list_facts(state),
            },
        )
    return bool(change)


def _list_facts(state: EntryState) -> dict[str, object]:
    """Return how old the list was before a change, and by which read it was known."""
    age_s = state.freshness.age_s(monotonic())
    return {
        "list_age_s": round(min(age_s, NEVER_S), 2),
        "list_read": state.freshness.read,
    }


def drop_endpoint(
    state: EntryState, endpoint: EndpointId, why: str, offset: Offset | None = None
) -> bool:
    """Take an endpoint out, and return whether it was in."""
    row = state.endpoints.rows.get(endpoint)
    if row is None:
        return False
    state.endpoints.drop(endpoint)
    _LOG.info(
        "endpoint",
        extra={
            "endpoint": endpoint,
            "service": row.service,
            "change": "gone",
            "why": why,
            "offset": offset,
            **_list_facts(state),
        },
    )
    return True


class TopicFollower:
    """Keeps up with one keyed topic.

    Parameters
    ----------
    store : Store
        The platform's store.
    topic : str
        Which topic.
    dependency : Dependency
        Notes answers and failures.
    apply : callable
        Takes the records read; its second argument says whether they are the
        newest of all keys, so that keys missing from them are gone.
    wait_s : float
        How long a read waits for the next record, 0 to answer at once.
    freshness : ListFreshness or None
        Tells when the next read is due, and is told of each; without it reads
        follow each other at once.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        dependency: Dependency,
        apply: Callable[[list[KeyedRecord], bool], None],
        wait_s: float,
        freshness: ListFreshness | None,
        rng: Random,
    ) -> None:
        self._store = store
        self._topic = topic
        self._dependency = dependency
        self._apply = apply
        self._wait_s = wait_s
        self._freshness = freshness
        self._rng = rng
        self._next: Offset | None = None
        self._read_at = float("-inf")

    def start_over(self) -> None:
        """Read the newest record of every key before going on."""
        self._next = None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        failures = 0
        while True:
            sent_at = monotonic()
            try:
                await self._read()
            except HistoryTrimmed:
                self._next = None
                continue
            except PlatformUnavailable as error:
                self._dependency.note_failure(error, sent_at)
                pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**failures)
                failures = min(failures + 1, 6)
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                continue
            failures = 0
            self._dependency.note_answer()
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        if self._freshness is None:
            return
        while (due_in_s := self._freshness.due_in_s(monotonic())) > 0:
            await asyncio.sleep(min(due_in_s, LOOK_S))
        if monotonic() - self._read_at > READ_ON_S:
            self.start_over()

    async def _read(self) -> None:
        sent_at = monotonic()
        caught_up = await self._read_records()
        self._read_at = sent_at
        if caught_up and self._freshness is not None:
            self._freshness.note_read(sent_at)

    async def _read_records(self) -> bool:
        """Read what is new, and return whether that was all."""
        if self._next is None:
            records, start = await self._store.newest(self._topic)
            self._next = start
            self._log_read(None, start, len(records))
            self._apply(records, True)
            return True
        start = self._next
        page = await self._store.read(self._topic, 0, start, self._wait_s)
        if self._next != start:
            return False
        self._next = page.next
        if page.end < start:
            # The store knows less than before: offsets mean nothing any more.
            self._next = None
            return False
        if page.records:
            self._log_read(start, page.next, len(page.records))
            self._apply(split_page(page, start), False)
        return page.next >= page.end

    def _log_read(self, start: Offset | None, end: Offset, records: int) -> None:
        _LOG.info(
            "topic read",
            extra={
                "topic": self._topic,
                "start": "newest of all keys" if start is None else start,
                "next": end,
                "records": records,
            },
        )


class StoreView:
    """Applies what followers read to the node's tables.

    Parameters
    ----------
    state : EntryState
        The tables.
    reads : Dependency
        The reads of the endpoints' topic.
    on_change : callable
        Called after endpoints or the configuration have changed.
    """

    def __init__(
        self, state: EntryState, reads: Dependency, on_change: Callable[[], None]
    ) -> None:
        self._state = state
        self._reads = reads
        self._on_change = on_change
        self.records: dict[EndpointId, bytes] = {}

    def take_configuration(self, records: list[KeyedRecord], newest: bool) -> None:
        """Take records of the operators' topic."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                apply_configuration(self._state, record.value, "store")
        self._on_change()

    def take_endpoints(self, records: list[KeyedRecord], newest: bool) -> None:
        """Take records of the endpoints' topic."""
        now = monotonic()
        after_outage = self._was_away(now)
        listed: set[EndpointId] = set()
        for record in records:
            endpoint = EndpointId(record.key)
            if record.value is None:
                self._missing(endpoint, now, after_outage, record.offset)
                continue
            listed.add(endpoint)
            self.put(endpoint, record.value, record.offset)
        if newest:
            for endpoint in [e for e in self._state.endpoints.rows if e not in listed]:
                self._missing(endpoint, now, after_outage, None)
            self._state.endpoints_known = True
        self.note_change()

    def _was_away(self, now: float) -> bool:
        """Return whether the store has just come back, for all nodes.

        Notes
        -----
        An old list alone does not show it. A node whose kept connections had been
        closed took some tenths longer to read, and sent requests to an endpoint
        whose record was rightly gone for 2.3 s more. Nor do failed reads alone: a
        node that the store refuses may have had its list confirmed all the while.
        """
        lost_s = self._reads.lost_s(now)
        return lost_s > OUTAGE_S and self._state.freshness.age_s(now) > OUTAGE_S

    def note_change(self) -> None:
        """Note that the list may have changed."""
        self._state.freshness.digest = digest_of(self._state.endpoints.rows.values())
        self._on_change()

    def put(
        self, endpoint: EndpointId, content: bytes, offset: Offset | None = None
    ) -> None:
        """Take one endpoint's record."""
        if self.records.get(endpoint) == content:
            return
        try:
            record = decode_endpoint(endpoint, content)
        except PlatformRecordMalformed as error:
            _LOG.error("endpoint unreadable", extra={"why": str(error)})
            return
        self.records[endpoint] = content
        apply_endpoint(self._state, record, offset)

    def _missing(
        self,
        endpoint: EndpointId,
        now: float,
        after_outage: bool,
        offset: Offset | None,
    ) -> None:
        row = self._state.endpoints.rows.get(endpoint)
        if row is not None and after_outage:
            if row.suspended_until is None:
                row.suspended_until = now + COMEBACK_S
                self._log_kept(row, now, offset)
            return
        self.remove(endpoint, "record removed", offset)

    def _log_kept(self, row: Endpoint, now: float, offset: Offset | None) -> None:
        _LOG.warning(
            "endpoint kept",
            extra={
                "endpoint": row.endpoint,
                "service": row.service,
                "why": "its record went while reads failed",
                "for_s": COMEBACK_S,
                "reads_failed_s": round(self._reads.lost_s(now), 2),
                "offset": offset,
                **_list_facts(self._state),
            },
        )

    def remove(
        self, endpoint: EndpointId, why: str, offset: Offset | None = None
    ) -> None:
        """Take an endpoint out."""
        self.records.pop(endpoint, None)
        drop_endpoint(self._state, endpoint, why, offset)

    def expire(self, now: float) -> None:
        """Take out endpoints whose records did not come back after an outage."""
        late = [
            row.endpoint
            for row in self._state.endpoints.rows.values()
            if row.suspended_until is not None and row.suspended_until <= now
        ]
        for endpoint in late:
            self.remove(endpoint, "record did not come back")
        if late:
            self.note_change()


def topics() -> tuple[str, str]:
    """Return the topics of the configuration and of the endpoints."""
    return CONFIGURATION_TOPIC, ENDPOINTS_TOPIC
