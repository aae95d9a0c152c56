"""Stand-in of the platform's store: topics, conditional appends, groups, outages."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import struct
from bisect import bisect_right
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass, field
from enum import Enum
from time import monotonic
from typing import Any
from urllib.parse import parse_qs

import orjson

from poplarrelay.entry.http.connection import Headers
from poplarrelay.entry.http.listener import Exchange, IncomingRequest, Listener
from poplarrelay.standins.users.floods import Flood, flood_caller

__all__ = ["Outage", "StoreCopy", "StoreListener", "StoreStandIn"]

#: Number of partitions of every topic.
PARTITIONS = 12
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class Outage(Enum):
    """How a listener of the store fails."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"


@dataclass(slots=True)
class _Partition:
    """Records from offset `start` on, and the newest record of each key.

    `newest` has them also after `StoreStandIn.compact` removed the records.
    """

    records: list[bytes] = field(default_factory=list)
    start: int = 0
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    last_answers: dict[tuple[str, int, int], dict[str, Any]] = field(
        default_factory=dict
    )

    @property
    def end(self) -> int:
        return self.start + len(self.records)

    def add(self, record: bytes, keyed: bool) -> None:
        if keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, self.end)
        self.records.append(record)


@dataclass(slots=True)
class _Group:
    """Members with the time of their last join, and the owner of each partition."""

    generation: int = 0
    joined_at: dict[str, float] = field(default_factory=dict)
    ttl_s: dict[str, float] = field(default_factory=dict)
    owners: dict[int, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of everything that the store keeps."""

    partitions: dict[tuple[str, int], _Partition]
    groups: dict[str, _Group]


class StoreListener:
    """Address of the store with its own faults.

    Attributes
    ----------
    outage : Outage
        Current outage at this address. Calls that wait when a silent outage begins are
        not answered, also after its end.
    lose_answers : bool
        Whether calls at this address are carried out but not answered.
    silent_topics : set of str
        Topics whose calls get no answer, for example reads. Calls for other topics
        are answered.
    flood : Flood or None
        Bytes without end that it sends in place of its answers.
    floods_fast : bool
        Whether it sends them as fast as they are read.
    unanswered_reads : Counter of str
        Number of next calls for a topic, for example reads, that get no answer.
    """

    def __init__(self, store: StoreStandIn, host: str) -> None:
        self._store = store
        self._host = host
        self._listener = Listener(host, 0, self._handle)
        self._outage = Outage.NONE
        self._silences = 0
        self.lose_answers = False
        self.flood: Flood | None = None
        self.floods_fast = True
        self.silent_topics: set[str] = set()
        self.unanswered_reads: Counter[str] = Counter()

    async def start(self) -> None:
        """Start to listen."""
        await self._listener.start()

    @property
    def outage(self) -> Outage:
        """Return the current outage."""
        return self._outage

    @outage.setter
    def outage(self, outage: Outage) -> None:
        self._silences += outage is Outage.SILENT
        self._outage = outage

    def begin_outage(self, outage: Outage) -> None:
        """Begin an outage and drop all connections, with their waiting calls."""
        self.outage = outage
        self._drop_connections()

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._listener.stop()
        self._drop_connections()

    def _drop_connections(self) -> None:
        for connection in list(self._listener.connections):
            connection.abort()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self._host}:{self._listener.port}"

    async def _handle(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        if self.flood is not None:
            await flood_caller(exchange, self.flood, self.floods_fast)
            return
        if self.outage is Outage.BUSY:
            await exchange.send(503, self._store.headers, b"")
            return
        if self.outage is Outage.RESET:
            exchange.abort()
            return
        silences = self._silences
        target = incoming.target.decode()
        unanswered = any(f"topic={topic}&" in target for topic in self.silent_topics)
        for topic in [t for t, left in self.unanswered_reads.items() if left > 0]:
            if f"topic={topic}&" in target:
                self.unanswered_reads[topic] -= 1
                unanswered = True
        if unanswered or self.outage is Outage.SILENT:
            await self._wait_until_closed()
        status, body = await self._store.call(incoming)
        if self.lose_answers or self._silences != silences:
            await self._wait_until_closed()
        await exchange.send(status, self._store.headers, body)

    async def _wait_until_closed(self) -> None:
        # The listener cancels this wait when the caller closes the connection.
        await asyncio.Event().wait()


class StoreStandIn:
    """The platform's store; its addresses are `StoreListener` objects."""

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}
        self._appended = asyncio.Event()
        self.calls: dict[str, int] = {}
        #: Newest value of each key that operators and endpoints have written, by topic.
        self._written: dict[str, dict[str, Any]] = {}
        #: Number of restores, None to state no era.
        self.era: int | None = None
        #: Topics of which all calls are refused, as if their partitions were down.
        self.refused_topics: set[str] = set()
        #: Number of reads by topic.
        self.reads: Counter[str] = Counter()

    @property
    def headers(self) -> Headers:
        """Return the headers of all answers."""
        headers: Headers = [(b"Content-Type", b"application/json")]
        if self.era is not None:
            headers.append((b"Store-Era", str(self.era).encode()))
        return headers

    def copy(self) -> StoreCopy:
        """Return a copy of the present records and groups."""
        return StoreCopy(deepcopy(self._partitions), deepcopy(self._groups))

    def restore(self, copy: StoreCopy) -> None:
        """Replace all records and groups by those of a copy, and begin an era."""
        self._partitions = deepcopy(copy.partitions)
        self._groups = deepcopy(copy.groups)
        self.era = (self.era or 0) + 1
        self._wake()

    def write_again(self) -> None:
        """Write what operators and endpoints have written, where a restore lost it."""
        for topic, values in self._written.items():
            for key, value in list(values.items()):
                if self.newest_values(topic).get(key) != value:
                    self.put(topic, key, value)

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    # records that operators and endpoints write

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write the newest value of a key; None removes the key."""
        self._written.setdefault(topic, {})[key] = value
        name = key.encode()
        content = b"" if value is None else orjson.dumps(value)
        record = bytes((len(name),)) + name + content
        self._partition(topic, 0).add(record, keyed=True)
        self._wake()

    def put_raw(self, topic: str, record: bytes) -> None:
        """Append a record without checks, as other writers can; its key can be cut."""
        self._partition(topic, 0).add(record, keyed=False)
        self._wake()

    def compact(self, topic: str) -> None:
        """Remove all records of a topic except the newest of each key."""
        partition = self._partition(topic, 0)
        partition.start = partition.end
        partition.records.clear()
        self._wake()

    def records(self, topic: str, part: int = 0) -> list[bytes]:
        """Return the records that a partition holds."""
        return list(self._partition(topic, part).records)

    def newest_values(self, topic: str) -> dict[str, Any]:
        """Return the newest readable value of each key of a keyed topic."""
        values = {}
        for key, (content, _) in self._partition(topic, 0).newest.items():
            with contextlib.suppress(orjson.JSONDecodeError):
                values[key] = orjson.loads(content)
        return values

    def rebalance(self, group: str) -> None:
        """Reassign the partitions of a group, as the store can do without a request.

        Partition 0 goes to the member that follows its owner by name, so its owner
        changes if the group has two members or more.
        """
        member_group = self._groups.get(group)
        if member_group is None or not member_group.joined_at:
            return
        names = sorted(member_group.joined_at)
        first = bisect_right(names, member_group.owners.get(0, ""))
        member_group.owners = {
            p: names[(first + p) % len(names)] for p in range(PARTITIONS)
        }
        member_group.generation += 1

    def _wake(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    # calls

    async def call(self, incoming: IncomingRequest) -> tuple[int, bytes]:
        """Carry out a call; return the status and body of its answer."""
        path, _, query = incoming.target.decode().partition("?")
        values = {name: given[0] for name, given in parse_qs(query).items()}
        name = path.rsplit("/", 1)[-1]
        self.calls[name] = self.calls.get(name, 0) + 1
        call = {
            "log-append": self._append,
            "log-read": self._read,
            "log-newest": self._newest,
            "log-join": self._join,
            "log-leave": self._leave,
        }.get(name)
        if call is None:
            return 404, b"{}"
        if values.get("topic") in self.refused_topics:
            return 503, b"{}"
        return await call(values, incoming.body)

    async def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic = query["topic"]
        partition = self._partition(topic, int(query["part"]))
        producer = query.get("producer")
        append_id: tuple[str, int, int] | None = None
        if producer is not None:
            epoch = int(query["epoch"])
            sequence = int(query.get("sequence", 0))
            append_id = (producer, epoch, sequence)
            refusal = _check_append_id(partition, append_id)
            if refusal is not None:
                return refusal
            if append_id in partition.last_answers and body:
                return 200, orjson.dumps(partition.last_answers[append_id])
        if "at" in query and int(query["at"]) != partition.end:
            return 412, orjson.dumps({"endOffset": partition.end})
        first = partition.end
        for record in _split_records(body):
            partition.add(record, topic.startswith("keyed."))
        answer = {"offset": first, "endOffset": partition.end}
        if append_id is not None:
            partition.epochs[append_id[0]] = append_id[1]
            partition.sequences[append_id[0]] = append_id[2]
            partition.last_answers[append_id] = answer
        self._wake()
        return 200, orjson.dumps(answer)

    async def _read(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic, part = query["topic"], int(query["part"])
        partition = self._partition(topic, part)
        self.reads[topic] += 1
        source = int(query["source"])
        deadline = monotonic() + int(query.get("waitMs", 0)) / 1000
        while source == partition.end and monotonic() < deadline:
            appended = self._appended
            try:
                async with asyncio.timeout(deadline - monotonic()):
                    await appended.wait()
            except TimeoutError:
                break
            partition = self._partition(topic, part)
        if not partition.start <= source <= partition.end:
            return 410, orjson.dumps({"startOffset": partition.start})
        selected = partition.records[source - partition.start :]
        selected = selected[: int(query.get("maxFetch", 1024))]
        parts = [_OFFSETS.pack(partition.end, partition.start)]
        parts += [_LENGTH.pack(len(record)) + record for record in selected]
        return 200, b"".join(parts)

    async def _newest(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        partition = self._partition(query["topic"], int(query["part"]))
        self.reads[query["topic"]] += 1
        entries = [
            {"key": key, "data": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(partition.newest.items())
            if key > query.get("after", "")
        ]
        answer = {
            "entries": entries[:500],
            "hasMore": len(entries) > 500,
            "endOffset": partition.end,
        }
        return 200, orjson.dumps(answer)

    # groups

    async def _join(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        call = orjson.loads(body)
        group = self._groups.setdefault(call["group"], _Group())
        member = call["memberId"]
        now = monotonic()
        self._expire(group, now)
        if member not in group.joined_at:
            group.generation += 1
        group.joined_at[member] = now
        group.ttl_s[member] = call["ttlMs"] / 1000
        for part in range(PARTITIONS):
            group.owners.setdefault(part, member)
        held_partitions = [
            [call["topicList"][0], part, 0]
            for part, owner in sorted(group.owners.items())
            if owner == member
        ]
        answer = {
            "generation": group.generation,
            "ttlMs": call["ttlMs"],
            "parts": held_partitions,
        }
        return 200, orjson.dumps(answer)

    async def _leave(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        call = orjson.loads(body)
        group = self._groups.setdefault(call["group"], _Group())
        if call["memberId"] in group.joined_at:
            self._remove(group, call["memberId"])
        return 200, b"{}"

    def _expire(self, group: _Group, now: float) -> None:
        for member, joined_at in list(group.joined_at.items()):
            if now - joined_at > group.ttl_s[member]:
                self._remove(group, member)

    def _remove(self, group: _Group, member: str) -> None:
        del group.joined_at[member]
        group.generation += 1
        group.owners = {p: o for p, o in group.owners.items() if o != member}


def _check_append_id(
    partition: _Partition, append_id: tuple[str, int, int]
) -> tuple[int, bytes] | None:
    producer, epoch, sequence = append_id
    known_epoch = partition.epochs.get(producer, -1)
    if epoch < known_epoch:
        return 409, orjson.dumps({"reason": "fenced"})
    if epoch > known_epoch or append_id in partition.last_answers:
        return None
    if sequence != partition.sequences[producer] + 1:
        expected = partition.sequences[producer] + 1
        return 409, orjson.dumps({"reason": "seq", "sequence": expected})
    return None


def _split_records(body: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
