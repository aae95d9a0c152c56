"""Client of the platform's store, a log with topics, partitions and consumer groups."""

from __future__ import annotations

import base64
import logging
import struct
from collections import Counter
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import urlencode

import orjson

from poplarrelay.entry.http.connection import CompleteResponse, header_value
from poplarrelay.entry.http.pool import Address, JsonClient
from poplarrelay.entry.store_era import MAX_ERA, EraTracker
from poplarrelay.entry.timeouts import within
from poplarrelay.exception import (
    AppendRefused,
    ExchangeFailed,
    HistoryTrimmed,
    PlatformRecordMalformed,
    PlatformUnavailable,
    StoreRestored,
)
from poplarrelay.identifiers import Offset, StoreEra

__all__ = [
    "ANSWER_TIMEOUT_S",
    "CallObserver",
    "GroupAssignment",
    "KeyedRecord",
    "LogPage",
    "Producer",
    "Store",
    "encode_keyed",
    "keyed_topic",
    "parse_page",
    "split_keyed",
]

_LOG = logging.getLogger("poplarrelay.platform.store")

#: Timeout in seconds of a new connection to the store. The store normally answers in
#: 4 ms, and a lost packet is sent again after one second.
CONNECT_TIMEOUT_S = 1.2
#: Timeout in seconds of an answer, in addition to the time that a call asks the store
#: to wait. A slow store answers in about a quarter of a second.
ANSWER_TIMEOUT_S = 1.2
#: Largest size of an answer in bytes; one read returns at most 2 MB of records.
MAX_ANSWER_BYTES = 8_000_000
#: Largest number of records requested in one read.
MAX_RECORDS = 1000

#: Statuses that show a failure of the store. It refuses calls beyond its rate limit and
#: appends beyond its size while it works.
_FAILURE_STATUSES = frozenset((500, 502, 503, 504))

#: Header with the number of times that the store was restored from an older copy.
_ERA = b"store-era"

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a partition.

    Attributes
    ----------
    next : Offset
        Offset at which the next read starts.
    end : Offset
        Offset after the partition's last record.
    """

    records: tuple[bytes, ...]
    next: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record with a key; a record without a value deletes the key.

    Attributes
    ----------
    offset : Offset
        Position in the partition. Of two records with the same key, the later one is
        valid.
    """

    key: str
    value: bytes | None
    offset: Offset


@dataclass(frozen=True, slots=True)
class GroupAssignment:
    """Partitions of a topic that are assigned to a member of a group.

    Attributes
    ----------
    generation : int
        Number of the group's last change.
    partitions : frozenset of int
        Partitions that are assigned to this member since that change.
    """

    generation: int
    partitions: frozenset[int]


@dataclass(frozen=True, slots=True)
class Producer:
    """Identity of a writer, so that the store refuses appends of a replaced writer.

    Attributes
    ----------
    name : str
        Name of the role, shared by all writers that hold the role one after another.
    epoch : int
        Number that increases each time another writer gets the role.
    sequence : int
        Number of this append within the epoch, from 0.
    """

    name: str
    epoch: int
    sequence: int


class CallObserver(Protocol):
    """Observer of the calls to the store."""

    def note_answer(self) -> None:
        """Record that the store has answered a call."""

    def note_failure(self) -> None:
        """Record that the store has not answered a call, or has failed to serve it."""


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    address : tuple of str and int
        Address of the store.
    observer : CallObserver or None
        Called with the result of each call.
    eras : EraTracker or None
        Tracker of the eras that the answers state.

    Notes
    -----
    A call whose arguments or answer are of an earlier era raises `StoreRestored`.
    If a call raises `PlatformUnavailable` without a status, the store may have executed
    it, or may execute it seconds later. Reads and joins can be repeated. Appends carry
    a `Producer`, so that the store recognises a repeated append.
    """

    def __init__(
        self,
        address: Address,
        observer: CallObserver | None = None,
        eras: EraTracker | None = None,
    ) -> None:
        self._client = JsonClient(address, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)
        self._observer = observer
        self._eras = eras or EraTracker()
        self._calls: Counter[str] = Counter()

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""
        return self._calls.total()

    @property
    def calls_by_purpose(self) -> dict[str, int]:
        """Return the number of calls made so far, by call name and topic."""
        return dict(self._calls)

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float = ANSWER_TIMEOUT_S,
        topic: str = "",
    ) -> CompleteResponse:
        self._calls[f"{name} {topic}".strip()] += 1
        stated, era = self._eras.stated, self._eras.latest
        try:
            call = self._client.call(method, target, [], body)
            response = await within(timeout_s, call)
        except (ExchangeFailed, TimeoutError) as error:
            self._notify(answered=False)
            raise PlatformUnavailable(name, None, str(error)) from error
        current = self._observe_era(response)
        self._notify(answered=response.status not in _FAILURE_STATUSES)
        if not current or (stated and self._eras.latest != era):
            raise StoreRestored(name, None, "the store was restored meanwhile")
        if response.status in (429, 500, 502, 503, 504, 507):
            raise PlatformUnavailable(name, response.status)
        return response

    def _observe_era(self, response: CompleteResponse) -> bool:
        """Return whether an answer is of the latest era, or states none."""
        era = _stated_era(response)
        return era is None or self._eras.observe(era, "store")

    def _notify(self, answered: bool) -> None:
        if self._observer is None:
            return
        if answered:
            self._observer.note_answer()
        else:
            self._observer.note_failure()

    async def read(
        self,
        topic: str,
        partition: int,
        start: Offset,
        wait_s: float = 0.0,
        answer_s: float = ANSWER_TIMEOUT_S,
    ) -> LogPage:
        """Read records that start at an offset.

        Parameters
        ----------
        topic, partition : str, int
            Partition to read.
        start : Offset
            Offset of the first record.
        wait_s : float
            Seconds for which the store waits if there is no record yet.
        answer_s : float
            Timeout in seconds of the answer, in addition to the wait.

        Raises
        ------
        HistoryTrimmed
            If the store has deleted the record at the offset.
        PlatformUnavailable
            If the store does not answer, or answers with an error.
        """
        query = {
            "topic": topic,
            "part": partition,
            "source": start,
            "maxFetch": MAX_RECORDS,
        }
        if wait_s > 0:
            query["waitMs"] = int(1000 * wait_s)
        target = f"/api/log-read?{urlencode(query)}"
        longest_s = wait_s + answer_s
        response = await self._call("read", "GET", target, b"", longest_s, topic)
        if response.status == 410:
            raise HistoryTrimmed(int(_decode_json(response).get("startOffset", 0)))
        if response.status != 200:
            raise PlatformUnavailable("read", response.status, _body_text(response))
        if len(response.body) < _OFFSETS.size:
            raise PlatformUnavailable("read", response.status, "answer is too short")
        end, _ = _OFFSETS.unpack_from(response.body)
        records = _split_records(response.body[_OFFSETS.size :])
        return LogPage(records, Offset(start + len(records)), Offset(end))

    async def newest(
        self, topic: str, answer_s: float = ANSWER_TIMEOUT_S
    ) -> tuple[list[KeyedRecord], Offset]:
        """Return the newest record of each key, and the offset at which to continue.

        Notes
        -----
        The pages together are not a snapshot. The returned offset is the end of the
        partition when the first page was read, so a read from there returns every
        change made while later pages were read.
        """
        records: list[KeyedRecord] = []
        era = self._eras.latest
        after: str | None = None
        resume_offset: int | None = None
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            target = f"/api/log-newest?{urlencode(query)}"
            response = await self._call("newest", "GET", target, b"", answer_s, topic)
            if response.status != 200:
                raise PlatformUnavailable(
                    "newest", response.status, _body_text(response)
                )
            if after is not None and self._eras.latest != era:
                raise StoreRestored("newest", None, "restored between two pages")
            page = _decode_json(response)
            resume_offset = (
                int(page["endOffset"]) if resume_offset is None else resume_offset
            )
            for entry in page["entries"]:
                after = entry["key"]
                record = _decode_entry(entry)
                if record is not None:
                    records.append(record)
            if not page.get("hasMore") or not page["entries"]:
                return records, Offset(resume_offset)

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[bytes],
        producer: Producer | None = None,
    ) -> Offset:
        """Append all records or none, and return the offset after the last record.

        Parameters
        ----------
        topic, partition : str, int
            Partition to append to.
        records : list of bytes
            Records to append. An empty list only makes the store refuse producers of
            lower epochs.
        producer : Producer or None
            Identity of the writer, None if there are no competing writers.

        Raises
        ------
        AppendRefused
            If a producer with a higher epoch has replaced this one.
        """
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["sequence"] = producer.sequence
        body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        target = f"/api/log-append?{urlencode(query)}"
        response = await self._call("append", "POST", target, body, topic=topic)
        if response.status in (409, 412):
            raise AppendRefused(
                str(_decode_json(response).get("reason", response.status))
            )
        if response.status != 200:
            raise PlatformUnavailable("append", response.status, _body_text(response))
        return Offset(int(_decode_json(response).get("endOffset", 0)))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a new record of a key that only this process writes."""
        await self.append(topic, 0, [encode_keyed(key, value)])

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> GroupAssignment:
        """Join a group or renew a membership; return the assigned partitions."""
        body = orjson.dumps(
            {
                "group": group,
                "memberId": member,
                "topicList": [topic],
                "ttlMs": int(1000 * ttl_s),
                "generation": generation,
            }
        )
        response = await self._call("join", "POST", "/api/log-join", body)
        if response.status != 200:
            raise PlatformUnavailable("join", response.status, _body_text(response))
        raw = _decode_json(response)
        held = frozenset(int(row[1]) for row in raw["parts"] if row[0] == topic)
        return GroupAssignment(int(raw["generation"]), held)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, so that its partitions are assigned to others immediately."""
        body = orjson.dumps({"group": group, "memberId": member})
        await self._call("leave", "POST", "/api/log-leave", body)

    def close(self) -> None:
        """Abort the idle connections."""
        self._client.close()


def keyed_topic(name: str) -> str:
    """Return the full name of a topic that keeps the newest record of each key.

    Examples
    --------
    >>> keyed_topic("hosts")
    'keyed.hosts'
    """
    return f"keyed.{name}"


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic."""
    name = key.encode()
    return bytes((len(name),)) + name + value


def split_keyed(record: bytes, offset: Offset) -> KeyedRecord:
    """Split a record of a keyed topic into its key and its value.

    Raises
    ------
    PlatformRecordMalformed
        If the record does not contain a complete UTF-8 key.
    """
    size = record[0] if record else 0
    name = record[1 : 1 + size]
    if not name or len(name) < size:
        raise PlatformRecordMalformed(f"record {offset}", "no complete key")
    try:
        key = name.decode()
    except UnicodeDecodeError as error:
        raise PlatformRecordMalformed(f"record {offset}", repr(error)) from error
    return KeyedRecord(key, record[1 + size :] or None, offset)


def parse_page(page: LogPage, start: Offset) -> list[KeyedRecord]:
    """Split the records of a page of a keyed topic; the page begins at an offset.

    Notes
    -----
    Records without a readable key are logged and skipped. When such a record raised an
    error here, a single record from a foreign writer ended the processes of all nodes.
    """
    records = []
    for offset, record in enumerate(page.records, start):
        try:
            records.append(split_keyed(record, Offset(offset)))
        except PlatformRecordMalformed as error:
            _LOG.error("record unreadable", extra={"why": str(error)})
    return records


def _decode_entry(entry: dict[str, Any]) -> KeyedRecord | None:
    """Decode an entry of a list of newest records; return None if it is invalid."""
    try:
        value = base64.b64decode(entry["data"], validate=True)
        return KeyedRecord(entry["key"], value or None, Offset(int(entry["offset"])))
    except (KeyError, TypeError, ValueError) as error:
        _LOG.error("record unreadable", extra={"why": repr(error)})
        return None


def _split_records(content: bytes) -> tuple[bytes, ...]:
    records: list[bytes] = []
    at = 0
    while at + _LENGTH.size <= len(content) and len(records) < MAX_RECORDS:
        (size,) = _LENGTH.unpack_from(content, at)
        at += _LENGTH.size
        if at + size > len(content):
            # The last record is truncated: the next read starts at its offset.
            break
        records.append(content[at : at + size])
        at += size
    return tuple(records)


def _decode_json(response: CompleteResponse) -> dict[str, Any]:
    try:
        value = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise PlatformUnavailable("answer", response.status, str(error)) from error
    return value if isinstance(value, dict) else {}


def _stated_era(response: CompleteResponse) -> StoreEra | None:
    """Return the era stated in an answer, None if there is no valid one."""
    value = header_value(response.headers, _ERA)
    if value is None:
        return None
    if not value.isdigit() or int(value) > MAX_ERA:
        _LOG.error("store era unreadable", extra={"value": value.decode("latin-1")})
        return None
    return StoreEra(int(value))


def _body_text(response: CompleteResponse) -> str:
    return response.body[:200].decode("utf-8", "replace")
