"""Archive of the origins of streams in the platform's store.

Notes
-----
Peers keep the origins of streams in memory, so the loss of all nodes would lose them.
Each node sends the origins of its unfinished streams to an archivist, a node picked by
rendezvous hashing, which appends them to a topic in batches. With them it writes the
versions that its history names, and the position in the list of endpoints at which it
knew them. A node reads the archive when no peer knows a stream.

The store keeps records for a limited time, so the origins of streams that run on are
written again. No event of a stream waits for the archive.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import ceil, inf
from typing import Any, Protocol
from zlib import crc32

import orjson

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.entry.stream_versions import (
    STREAM_MEMORY_S,
    StreamOrigin,
    StreamVersionTable,
    VersionHistory,
)
from poplarrelay.exception import (
    HistoryTrimmed,
    PlatformError,
    PlatformRecordMalformed,
)
from poplarrelay.identifiers import (
    EndpointId,
    NodeId,
    Offset,
    SoftwareVersion,
    StoreEra,
    StreamKey,
)
from poplarrelay.platform.records import ENDPOINTS_TOPIC, decode_endpoint
from poplarrelay.platform.store import LogPage, parse_page

__all__ = ["ArchiveSender", "ArchiveStore", "ListPosition", "StreamArchive"]

_LOG = logging.getLogger("poplarrelay.entry.archive")

#: Topic with the origins of streams.
TOPIC = "entry-streams"
#: Minimum seconds between two batches that a node sends to its archivist.
SEND_INTERVAL_S = 0.25
#: Seconds after which an origin that the archivist has not confirmed is sent again.
RESEND_S = 2.0
#: Share of the store's history after which the origin of an unfinished stream is
#: written again.
RENEWAL_SHARE = 0.4
#: Minimum seconds between two appends of an archivist, and pause after a failed one.
APPEND_INTERVAL_S, FAILURE_PAUSE_S = 0.5, 1.0
#: Seconds after which the versions are written again while streams begin.
HISTORY_INTERVAL_S = 5.0
#: Nodes for each archivist.
NODES_PER_ARCHIVIST = 32
#: Origins in one datagram, and in one record.
MAX_BATCH, MAX_ORIGINS_PER_RECORD = 200, 5000
#: Batches of a node whose confirmation is awaited.
MAX_UNCONFIRMED = 64
#: Unfinished streams of a node whose origins are archived.
MAX_UNFINISHED = 20_000
#: Seconds for which a lookup waits for the archive, and within which lookups share a
#: read.
READ_TIMEOUT_S, SHARED_READ_S = 1.0, 0.05
#: Minimum seconds between two attempts to complete the history.
PROOF_INTERVAL_S = 1.0


_FIRST_OFFSET = Offset(0)


class ArchiveSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_archive(self, host: str, message: list[Any]) -> None:
        """Send a message to the archive of a peer."""


class ArchiveStore(Protocol):
    """Log of the platform's store."""

    async def read(self, topic: str, partition: int, start: Offset) -> LogPage:
        """Read records that start at an offset."""

    async def append(self, topic: str, partition: int, records: list[bytes]) -> Offset:
        """Append all records or none."""


@dataclass(frozen=True, slots=True)
class ListPosition:
    """Position up to which a node knows the list of endpoints.

    Attributes
    ----------
    recent : bool
        Whether the list is within its age bound.
    """

    era: StoreEra
    offset: Offset
    recent: bool


@dataclass(frozen=True, slots=True)
class _Claim:
    """Versions of all streams that began before a position in the list of endpoints."""

    era: StoreEra
    offset: Offset
    versions: Mapping[ServiceName, set[SoftwareVersion]]


@dataclass(slots=True)
class _Unfinished:
    """Stream whose caller may resume it.

    Attributes
    ----------
    until : float
        Monotonic time until which it can be resumed, infinite while it runs.
    send_at : float
        Monotonic time at which its origin is sent to the archivist.
    """

    origin: StreamOrigin
    until: float = inf
    send_at: float = -inf


_Groups = list[tuple[str, str, list[str]]]


@dataclass(slots=True)
class StreamArchive:
    """Archive of the origins of this node's streams, and reader of all origins.

    Attributes
    ----------
    own_host : str
        Host of this node.
    nodes : callable
        Returns the hosts of all nodes that can be archivists by id.
    sender : ArchiveSender
        Sends messages to peers.
    store : ArchiveStore
        The platform's store.
    position : callable
        Returns the position of this node's list of endpoints.
    history_s : float
        Seconds for which the store keeps records.
    table, history : StreamVersionTable, VersionHistory
        Known origins, and versions that this node has listed.
    unreadable : bool
        Whether the last read of the archive failed.
    archived, appends, failed_appends, reads, failed_reads, proofs : int
        Origins that this node has written, its appends and reads, and gaps of its
        history that the archive has closed.
    """

    own_host: str
    nodes: Callable[[], Mapping[NodeId, str]]
    sender: ArchiveSender
    store: ArchiveStore
    position: Callable[[], ListPosition]
    history_s: float
    monotonic: Callable[[], float]
    table: StreamVersionTable
    history: VersionHistory
    unreadable: bool = False
    archived: int = 0
    appends: int = 0
    failed_appends: int = 0
    reads: int = 0
    failed_reads: int = 0
    proofs: int = 0
    _unfinished: dict[StreamKey, _Unfinished] = field(default_factory=dict)
    _sent: dict[int, list[StreamKey]] = field(default_factory=dict)
    _begun: bool = False
    _number: int = 0
    _next_send_at: float = -inf
    _next_history_at: float = -inf
    _received: list[tuple[str, int, _Groups]] = field(default_factory=list)
    _due: asyncio.Event = field(default_factory=asyncio.Event)
    _history_at: float = -inf
    _offset: Offset = _FIRST_OFFSET
    _era: StoreEra | None = None
    _claim: _Claim | None = None
    _read_at: float = -inf
    _reading: asyncio.Task[bool] | None = None
    _closing_at: float = -inf
    _closing: asyncio.Task[bool] | None = None

    # unfinished streams

    def begin(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Note a stream that this node has begun or continues."""
        self._begun = True
        if len(self._unfinished) < MAX_UNFINISHED:
            self._unfinished[key] = _Unfinished(origin)

    def withdraw(self, key: StreamKey, doubt: StreamOrigin) -> None:
        """Archive another origin of an unfinished stream, which makes it unknown."""
        if key in self._unfinished:
            self._unfinished[key] = _Unfinished(doubt, self._unfinished[key].until)

    def end(self, key: StreamKey, complete: bool) -> None:
        """Note the end of a stream; a complete one is not resumed."""
        stream = self._unfinished.get(key)
        if stream is None:
            return
        if complete:
            del self._unfinished[key]
        else:
            stream.until = self.monotonic() + STREAM_MEMORY_S

    def tick(self) -> None:
        """Send origins that are due to the archivist."""
        now = self.monotonic()
        if now < self._next_send_at:
            return
        due: list[StreamKey] = []
        for key, stream in list(self._unfinished.items()):
            if stream.until < now:
                del self._unfinished[key]
            elif stream.send_at <= now:
                stream.send_at = now + RESEND_S
                due.append(key)
        if not due and (not self._begun or now < self._next_history_at):
            return
        self._next_send_at = now + SEND_INTERVAL_S
        self._begun = False
        self._next_history_at = now + HISTORY_INTERVAL_S
        for first in range(0, len(due) or 1, MAX_BATCH):
            self._send_batch(due[first : first + MAX_BATCH])

    def _send_batch(self, keys: list[StreamKey]) -> None:
        self._number += 1
        self._sent[self._number] = keys
        self._sent.pop(self._number - MAX_UNCONFIRMED, None)
        grouped: dict[StreamOrigin, list[str]] = {}
        for key in keys:
            grouped.setdefault(self._unfinished[key].origin, []).append(key)
        groups: _Groups = [
            (origin.service, origin.version, found) for origin, found in grouped.items()
        ]
        host = self._archivist()
        if host == self.own_host:
            self._receive_batch(host, self._number, groups)
        else:
            self.sender.send_archive(host, ["batch", self._number, groups])

    def _archivist(self) -> str:
        """Return the host of the node that writes the origins of this node."""
        nodes = self.nodes()
        number = crc32(self.own_host.encode()) % ceil(len(nodes) / NODES_PER_ARCHIVIST)
        return nodes[choose_coordinator(f"streams|{number}", nodes)]

    def _note_archived(self, number: int) -> None:
        renew_at = self.monotonic() + RENEWAL_SHARE * self.history_s
        for key in self._sent.pop(number, ()):
            if key in self._unfinished:
                self._unfinished[key].send_at = renew_at

    # archivist

    def receive(self, host: str, message: list[Any]) -> None:
        """Handle a message from a peer.

        Raises
        ------
        ValueError or TypeError
            If the message is malformed.
        """
        kind, number, *rest = message
        if kind == "batch":
            (groups,) = rest
            self._receive_batch(host, int(number), _checked_groups(groups))
        elif kind == "archived":
            self._note_archived(int(number))
        else:
            raise ValueError(f"unknown kind of message: {kind!r}")

    def _receive_batch(self, host: str, number: int, groups: _Groups) -> None:
        self._received.append((host, number, groups))
        self._due.set()

    async def append_forever(self) -> None:
        """Append the batches that this node receives as an archivist."""
        while True:
            await self._due.wait()
            self._due.clear()
            batches, self._received = self._received, []
            try:
                await self._append(batches)
            except PlatformError as error:
                # The nodes send their origins again.
                self.failed_appends += 1
                _LOG.warning("streams not archived", extra={"why": str(error)})
                await asyncio.sleep(FAILURE_PAUSE_S)
                continue
            for host, number, _ in batches:
                if host == self.own_host:
                    self._note_archived(number)
                else:
                    self.sender.send_archive(host, ["archived", number])
            await asyncio.sleep(APPEND_INTERVAL_S)

    async def _append(self, batches: list[tuple[str, int, _Groups]]) -> None:
        if not self._is_complete(self.monotonic()):
            # Without the claims of earlier nodes, a second loss of all nodes would find
            # none that reaches back far enough.
            await self.close_gap()
        history = self._history_record()
        groups = [group for _, _, found in batches for group in found]
        records = [orjson.dumps({"origins": part}) for part in _split(groups) if part]
        if history is not None:
            records.append(orjson.dumps({"versions": history}))
        if not records:
            return
        await self.store.append(TOPIC, 0, records)
        self.appends += 1
        self.archived += sum(len(keys) for *_, keys in groups)
        if history is not None:
            self._history_at = self.monotonic()

    def _is_complete(self, now: float) -> bool:
        return self.history.covered_s(now) >= STREAM_MEMORY_S

    def _history_record(self) -> dict[str, Any] | None:
        """Return the versions that all streams until now can have, None if unknown."""
        now, position = self.monotonic(), self.position()
        due = now - self._history_at >= HISTORY_INTERVAL_S
        if not due or not position.recent or not self._is_complete(now):
            return None
        services = self.history.services(now)
        return {
            "era": position.era,
            "offset": position.offset,
            "services": {
                service: sorted(versions) for service, versions in services.items()
            },
        }

    # reader

    async def refresh(self) -> bool:
        """Read what has been archived since the last read; return whether it worked."""
        asked_at = self.monotonic()
        if asked_at - self._read_at < SHARED_READ_S:
            return True
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await asyncio.shield(self._reading)
        except TimeoutError:
            self.unreadable = True
            return False

    async def _read(self) -> bool:
        started_at = self.monotonic()
        self.reads += 1
        try:
            while True:
                page = await self._read_page()
                for record in page.records:
                    self._apply(record)
                self._offset = page.next
                if not page.records or page.next >= page.end:
                    break
        except PlatformError as error:
            self.failed_reads += 1
            self.unreadable = True
            _LOG.warning("archive unreadable", extra={"why": str(error)})
            return False
        self._read_at = started_at
        self.unreadable = False
        return True

    async def _read_page(self) -> LogPage:
        era = self.position().era
        if era != self._era:
            # Offsets of another era mean other records.
            self._era, self._offset = era, _FIRST_OFFSET
        try:
            page = await self.store.read(TOPIC, 0, self._offset)
        except HistoryTrimmed as trimmed:
            self._offset = Offset(trimmed.start)
            return await self.store.read(TOPIC, 0, self._offset)
        if page.end < self._offset:
            self._offset = _FIRST_OFFSET
            return await self.store.read(TOPIC, 0, self._offset)
        return page

    def _apply(self, record: bytes) -> None:
        now = self.monotonic()
        try:
            value = orjson.loads(record)
            for service, version, keys in _checked_groups(value.get("origins", ())):
                origin = StreamOrigin(ServiceName(service), SoftwareVersion(version))
                for key in keys:
                    self.table.add(StreamKey(key), origin, now)
            if "versions" in value:
                self._apply_claim(value["versions"])
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            _LOG.warning("archived record unreadable", extra={"why": repr(error)})

    def _apply_claim(self, raw: dict[str, Any]) -> None:
        versions = {
            ServiceName(str(service)): {SoftwareVersion(str(each)) for each in found}
            for service, found in raw["services"].items()
        }
        claim = _Claim(StoreEra(int(raw["era"])), Offset(int(raw["offset"])), versions)
        known = self._claim
        if known is None or (claim.era, claim.offset) > (known.era, known.offset):
            self._claim = claim

    async def close_gap(self) -> bool:
        """Complete this node's history with the archive; return whether that worked.

        Calls share one look at the store, and its result for some time.
        """
        now = self.monotonic()
        if self._is_complete(now):
            return True
        if self._closing is None or (
            self._closing.done() and now - self._closing_at > PROOF_INTERVAL_S
        ):
            self._closing_at = now
            self._closing = asyncio.create_task(self._close_gap())
        return await asyncio.shield(self._closing)

    async def _close_gap(self) -> bool:
        """Complete the history by one look at the store.

        Notes
        -----
        Streams begin at nodes only, and a node knows a version from the list of
        endpoints. So a stream has a version that a claim names, or one that was listed
        after the position of the claim. Without all records from there on, another
        version can have come and gone.
        """
        if not await self.refresh():
            return False
        claim = self._claim
        if claim is None or not self.position().recent:
            return False
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                listed = await self._versions_since(claim.offset)
        except (PlatformError, TimeoutError) as error:
            _LOG.info("history has a gap", extra={"why": repr(error)})
            return False
        if self.position().era != claim.era:
            # The position of the claim means another record in this era.
            return False
        for service, found in claim.versions.items():
            listed.setdefault(service, set()).update(found)
        self.history.close_gap(listed, self.monotonic())
        self.proofs += 1
        _LOG.info(
            "history completed from the archive",
            extra={
                "offset": claim.offset,
                "versions": {service: sorted(each) for service, each in listed.items()},
            },
        )
        return True

    async def _versions_since(
        self, offset: Offset
    ) -> dict[ServiceName, set[SoftwareVersion]]:
        """Return the versions of all records of endpoints from an offset on."""
        found: dict[ServiceName, set[SoftwareVersion]] = {}
        while True:
            page = await self.store.read(ENDPOINTS_TOPIC, 0, offset)
            if page.end < offset:
                raise HistoryTrimmed(page.end)
            for record in parse_page(page, offset):
                if record.value is None:
                    continue
                try:
                    row = decode_endpoint(EndpointId(record.key), record.value)
                except PlatformRecordMalformed:
                    # No node has sent a request to an unreadable endpoint.
                    continue
                found.setdefault(row.service, set()).add(row.version)
            if not page.records or page.next >= page.end:
                return found
            offset = page.next

    def gauges(self) -> dict[str, float]:
        """Return the counters, by name."""
        return {
            "streams_unfinished": float(len(self._unfinished)),
            "streams_archived": float(self.archived),
            "archive_appends": float(self.appends),
            "archive_appends_failed": float(self.failed_appends),
            "archive_reads": float(self.reads),
            "archive_reads_failed": float(self.failed_reads),
            "archive_gaps_closed": float(self.proofs),
        }


def _checked_groups(raw: Any) -> _Groups:
    groups = []
    for service, version, keys in raw:
        if not all(isinstance(each, str) for each in (service, version, *keys)):
            raise TypeError(f"not strings: {service!r}, {version!r}")
        groups.append((service, version, list(keys)))
    return groups


def _split(groups: _Groups) -> list[_Groups]:
    """Return the groups in parts that fit into one record each."""
    parts: list[_Groups] = [[]]
    room = MAX_ORIGINS_PER_RECORD
    for service, version, keys in groups:
        if room < len(keys):
            parts.append([])
            room = MAX_ORIGINS_PER_RECORD
        parts[-1].append((service, version, keys))
        room -= len(keys)
    return parts
