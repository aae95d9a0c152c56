"""Exchange of the versions that have begun streams with a few peers.

Notes
-----
A caller can resume a stream at any node. The node that begins a stream copies its
origin to the peers that rendezvous hashing picks for the stream, and a node that
resumes it asks them. If no peer knows the stream, the node reads the archive in the
platform's store, which outlives all nodes. A lost copy costs availability only: a node
that finds no origin resumes the stream only if one version alone can have begun it.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from heapq import nlargest
from typing import Any, Protocol

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import UNKNOWN_VERSION, Endpoint
from poplarrelay.entry.origins import OriginCertainty, judge_origin
from poplarrelay.entry.stream_archive import StreamArchive
from poplarrelay.entry.stream_versions import (
    STREAM_MEMORY_S,
    StreamOrigin,
    StreamVersionTable,
    VersionHistory,
)
from poplarrelay.identifiers import NodeId, SoftwareVersion, StreamKey

__all__ = ["ResumptionBroker", "ResumptionSender"]

#: Peers that get a copy of a stream's origin.
COPIES = 3
#: Peers that are asked for an origin. More than have a copy are asked, as nodes may
#: have joined or left since the stream began.
MAX_ASKED = 8
#: Longest delay in seconds of a stream's first event until a peer has confirmed a copy.
MAX_COPY_WAIT_S = 0.05
#: Datagrams in which a copy is sent to a peer that does not confirm it.
SENDS_PER_COPY = 3
#: Seconds after which unanswered lookups are sent again, and after which they end.
LOOKUP_RESEND_S = 0.1
LOOKUP_TIMEOUT_S = 0.25
#: Seconds for which a lookup waits for a list of endpoints that is later than itself.
LIST_WAIT_S = 1.5
#: Size of a node's hash in bytes, and node hashes that are kept.
HASH_BYTES, MAX_HASHES = 8, 4096
_HASH_MASK = 2 ** (8 * HASH_BYTES) - 1
#: Seconds between two looks at the age of the list.
LIST_POLL_S = 0.02
#: Seconds after which a caller retries a stream of which this node cannot know the
#: version now, but may know it later.
UNKNOWN_RETRY_S = 1.0


class _Kind(Enum):
    """Kind of a message, its first element."""

    COPY = "copy"
    CONFIRM = "confirm"
    FIND = "find"
    FOUND = "found"
    MISSING = "missing"


class ResumptionSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_resumption(self, hosts: Sequence[str], message: list[Any]) -> None:
        """Send a message to the given peers."""


@dataclass(slots=True)
class _PendingCopy:
    """Copy of an origin that some peers have not confirmed."""

    origin: StreamOrigin
    unconfirmed: set[str]
    confirmed: asyncio.Event
    sends_left: int = SENDS_PER_COPY - 1


@dataclass(slots=True)
class _Lookup:
    """Lookup of one stream's origin.

    Attributes
    ----------
    unanswered : set of str
        Hosts of the peers that have not replied.
    versions : set of SoftwareVersion
        Versions of the service that the histories of peers without the origin name.
    covered_s : float
        Longest time until now that one of these histories covers without a gap.
    """

    unanswered: set[str]
    done: asyncio.Event = field(default_factory=asyncio.Event)
    origin: StreamOrigin | None = None
    versions: set[SoftwareVersion] = field(default_factory=set)
    covered_s: float = 0.0


@dataclass(slots=True)
class ResumptionBroker:
    """Copies the origins of streams to peers, and looks them up there.

    Attributes
    ----------
    own_host : str
        Host of this node.
    nodes : callable
        Returns the hosts of all live nodes by id, including this node.
    sender : ResumptionSender
        Sends messages to peers.
    list_age_s : callable
        Returns the age of the list of endpoints in seconds.
    monotonic : callable
        Returns the current monotonic time.
    table : StreamVersionTable
        Known origins.
    history : VersionHistory
        Versions that this node has listed.
    archive : StreamArchive or None
        Archive of origins in the platform's store.
    copied, unconfirmed : int
        Streams whose origin was sent to peers, and those whose first event was passed
        on before a peer confirmed.
    lookups, found, found_archived : int
        Origins that peers were asked for, those that a peer knew, and those that only
        the archive had.
    withdrawn : int
        Origins that this node has recorded and found to be doubtful.
    """

    own_host: str
    nodes: Callable[[], Mapping[NodeId, str]]
    sender: ResumptionSender
    list_age_s: Callable[[float], float]
    monotonic: Callable[[], float]
    table: StreamVersionTable = field(default_factory=StreamVersionTable)
    history: VersionHistory = field(default_factory=VersionHistory)
    archive: StreamArchive | None = None
    copied: int = 0
    unconfirmed: int = 0
    lookups: int = 0
    found: int = 0
    found_archived: int = 0
    withdrawn: int = 0
    _pending: dict[StreamKey, _PendingCopy] = field(default_factory=dict)
    _watched: dict[StreamKey, tuple[Endpoint, float]] = field(default_factory=dict)
    _lookups: dict[StreamKey, list[_Lookup]] = field(default_factory=dict)

    def _peers(self, key: StreamKey, count: int) -> list[str]:
        """Return the hosts of the peers that rendezvous hashing picks for a stream.

        Notes
        -----
        The digests of streams and nodes are multiplied: one digest for each pair would
        cost a millisecond at hundreds of nodes.
        """
        nodes = self.nodes()
        others = [node for node, host in nodes.items() if host != self.own_host]
        factor = int(key or "0", 16) | 1
        picked = nlargest(
            count, others, key=lambda node: _node_hash(node) * factor & _HASH_MASK
        )
        return [nodes[node] for node in picked]

    async def record(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Record the origin of a stream, and wait until a peer has a copy.

        The wait is at most `MAX_COPY_WAIT_S`.
        """
        self.table.add(key, origin, self.monotonic())
        self.continue_stream(key, origin)
        pending = self._copy_to_peers(key, origin)
        if pending is None:
            return
        self.copied += 1
        try:
            async with asyncio.timeout(MAX_COPY_WAIT_S):
                await pending.confirmed.wait()
        except TimeoutError:
            self.unconfirmed += 1

    def watch(self, key: StreamKey, row: Endpoint, connected_at: float) -> None:
        """Withdraw the origin of a stream if the list shows that it is doubtful.

        Parameters
        ----------
        key : StreamKey
            Key of the stream.
        row : Endpoint
            Endpoint that has begun it.
        connected_at : float
            Monotonic time at which the connection to the endpoint was opened.
        """
        self._watched[key] = (row, connected_at)

    def _judge(self, row: Endpoint, connected_at: float) -> OriginCertainty:
        now = self.monotonic()
        listed_at = now - self.list_age_s(now)
        return judge_origin(connected_at, listed_at, row.current_until)

    async def settle_origin(
        self, row: Endpoint, connected_at: float
    ) -> OriginCertainty:
        """Return what is known of a stream's origin, after a wait for the list."""
        until = self.monotonic() + LIST_WAIT_S
        while True:
            certainty = self._judge(row, connected_at)
            if certainty is not OriginCertainty.OPEN or self.monotonic() > until:
                return certainty
            await asyncio.sleep(LIST_POLL_S)

    def _check_watched(self) -> None:
        for key, (row, connected_at) in list(self._watched.items()):
            certainty = self._judge(row, connected_at)
            if certainty is OriginCertainty.OPEN:
                continue
            del self._watched[key]
            if certainty is OriginCertainty.DOUBTFUL:
                self.withdrawn += 1
                self._withdraw(key, StreamOrigin(row.service, UNKNOWN_VERSION))

    def _withdraw(self, key: StreamKey, doubt: StreamOrigin) -> None:
        """Tell all who know the origin of a stream that it is unknown.

        A second record that differs from the first one makes the origin unknown.
        """
        self.table.add(key, doubt, self.monotonic())
        if self.archive is not None:
            self.archive.withdraw(key, doubt)
        self._copy_to_peers(key, doubt)

    def continue_stream(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Note that this node sends a stream to its caller, from the start or not."""
        if self.archive is not None:
            self.archive.begin(key, origin)

    def end_stream(self, key: StreamKey, complete: bool) -> None:
        """Note the end of a stream at this node."""
        if self.archive is not None:
            self.archive.end(key, complete)

    def retry_after_s(self) -> float | None:
        """Return after how many seconds an unknown stream can be known, None if never.

        The archive may not answer now, or the list of endpoints may be late.
        """
        unreadable = self.archive is not None and self.archive.unreadable
        late = self.list_age_s(self.monotonic()) > LIST_WAIT_S
        return UNKNOWN_RETRY_S if unreadable or late else None

    def _copy_to_peers(
        self, key: StreamKey, origin: StreamOrigin
    ) -> _PendingCopy | None:
        """Send an origin to the peers that keep it; return None if there are none."""
        hosts = self._peers(key, COPIES)
        if not hosts:
            return None
        pending = _PendingCopy(origin, set(hosts), asyncio.Event())
        self._pending[key] = pending
        self._send_copy(key, pending)
        return pending

    def _send_copy(self, key: StreamKey, pending: _PendingCopy) -> None:
        origin = pending.origin
        message = [_Kind.COPY.value, key, origin.service, origin.version]
        self.sender.send_resumption(sorted(pending.unconfirmed), message)

    def tick(self) -> None:
        """Withdraw doubtful origins, and send again what peers have not confirmed."""
        self._check_watched()
        for key, pending in list(self._pending.items()):
            if pending.sends_left <= 0:
                del self._pending[key]
                continue
            pending.sends_left -= 1
            self._send_copy(key, pending)

    def forget(self, now: float) -> None:
        """Drop the streams and versions that are too old to be resumed."""
        self.table.forget(now)
        self.history.forget(now)

    def gauges(self) -> dict[str, float]:
        """Return the counters, by name."""
        return {
            "streams_known": float(len(self.table)),
            "streams_copied": float(self.copied),
            "streams_unconfirmed": float(self.unconfirmed),
            "streams_withdrawn": float(self.withdrawn),
            "stream_lookups": float(self.lookups),
            "stream_lookups_found": float(self.found),
            "stream_lookups_archived": float(self.found_archived),
            **({} if self.archive is None else self.archive.gauges()),
        }

    # lookups

    async def find(
        self, key: StreamKey | None, service: ServiceName
    ) -> StreamOrigin | None:
        """Return the origin of a stream, None if it cannot be known.

        Parameters
        ----------
        key : StreamKey or None
            Key of the stream, None if the caller does not name it.
        service : ServiceName
            Service that the caller's route leads to.

        Notes
        -----
        If no node knows the origin, it is still certain if a single version has been
        listed since the stream can have begun. The list must be later than the lookup:
        a peer can see a version that this node does not know yet.
        """
        asked_at = self.monotonic()
        if key is not None and (known := self.table.find(key)) is not None:
            return known
        lookup = await self._ask_peers(key or StreamKey(""), service)
        if lookup.origin is not None:
            self.found += 1
            return lookup.origin
        history = self.history
        covered_s = max(lookup.covered_s, history.covered_s(asked_at))
        versions = lookup.versions | history.versions(service, asked_at)
        if self.archive is not None and (
            covered_s < STREAM_MEMORY_S or len(versions) != 1
        ):
            if key is not None and await self.archive.refresh():
                known = self.table.find(key)
                if known is not None:
                    self.found_archived += 1
                    return known
            if covered_s < STREAM_MEMORY_S and await self.archive.close_gap():
                covered_s = STREAM_MEMORY_S
        if covered_s < STREAM_MEMORY_S:
            return None
        while True:
            now = self.monotonic()
            versions = lookup.versions | history.versions(service, now)
            if len(versions) != 1:
                return None
            if now - self.list_age_s(now) > asked_at:
                return StreamOrigin(service, next(iter(versions)))
            if now - asked_at > LIST_WAIT_S:
                return None
            await asyncio.sleep(LIST_POLL_S)

    async def _ask_peers(self, key: StreamKey, service: ServiceName) -> _Lookup:
        hosts = self._peers(key, MAX_ASKED)
        lookup = _Lookup(set(hosts))
        if not hosts:
            return lookup
        self.lookups += 1
        self._lookups.setdefault(key, []).append(lookup)
        message = [_Kind.FIND.value, key, service]
        self.sender.send_resumption(hosts, message)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                try:
                    async with asyncio.timeout(LOOKUP_RESEND_S):
                        await lookup.done.wait()
                except TimeoutError:
                    self.sender.send_resumption(sorted(lookup.unanswered), message)
                    await lookup.done.wait()
        except TimeoutError:
            pass
        finally:
            self._lookups[key].remove(lookup)
            if not self._lookups[key]:
                del self._lookups[key]
        return lookup

    # messages

    def receive(self, host: str, message: list[Any]) -> None:
        """Handle a message from a peer.

        Raises
        ------
        ValueError or TypeError
            If the message is malformed.
        """
        kind, raw_key, *rest = message
        kind, key = _Kind(kind), StreamKey(_text(raw_key))
        if kind is _Kind.COPY:
            self.table.add(key, _origin(*rest), self.monotonic())
            self.sender.send_resumption([host], [_Kind.CONFIRM.value, key])
        elif kind is _Kind.CONFIRM:
            self._receive_confirmation(host, key)
        elif kind is _Kind.FIND:
            self._receive_question(host, key, *rest)
        elif kind is _Kind.FOUND:
            self._receive_origin(key, _origin(*rest))
        else:
            self._receive_miss(host, key, *rest)

    def _receive_confirmation(self, host: str, key: StreamKey) -> None:
        pending = self._pending.get(key)
        if pending is None:
            return
        pending.unconfirmed.discard(host)
        pending.confirmed.set()
        if not pending.unconfirmed:
            del self._pending[key]

    def _receive_question(self, host: str, key: StreamKey, service: str) -> None:
        origin = self.table.find(key)
        reply: list[Any]
        if origin is not None:
            reply = [_Kind.FOUND.value, key, origin.service, origin.version]
        else:
            now = self.monotonic()
            versions = self.history.versions(ServiceName(_text(service)), now)
            covered_s = round(self.history.covered_s(now), 1)
            reply = [_Kind.MISSING.value, key, covered_s, sorted(versions)]
        self.sender.send_resumption([host], reply)

    def _receive_origin(self, key: StreamKey, origin: StreamOrigin) -> None:
        for lookup in self._lookups.get(key, ()):
            lookup.origin = origin
            lookup.done.set()

    def _receive_miss(
        self, host: str, key: StreamKey, covered_s: float, versions: list[str]
    ) -> None:
        known = {SoftwareVersion(_text(version)) for version in versions}
        covered = float(covered_s)
        for lookup in self._lookups.get(key, ()):
            lookup.versions |= known
            lookup.covered_s = max(lookup.covered_s, covered)
            lookup.unanswered.discard(host)
            if not lookup.unanswered:
                lookup.done.set()


@lru_cache(maxsize=MAX_HASHES)
def _node_hash(node: NodeId) -> int:
    digest = hashlib.blake2b(node.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _origin(service: Any, version: Any) -> StreamOrigin:
    return StreamOrigin(ServiceName(_text(service)), SoftwareVersion(_text(version)))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value
