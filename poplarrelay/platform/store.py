"""Client of the platform's store, a log with topics, partitions and groups."""

from __future__ import annotations

import base64
import logging
import struct
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import orjson

from poplarrelay.entry.http.connection import WholeResponse
from poplarrelay.entry.http.pool import Address, JsonClient
from poplarrelay.entry.timeouts import within
from poplarrelay.exception import (
    AppendRefused,
    ExchangeFailed,
    HistoryTrimmed,
    PlatformRecordMalformed,
    PlatformUnavailable,
)
from poplarrelay.identifiers import Offset

__all__ = [
    "ANSWER_TIMEOUT_S",
    "GroupShare",
    "KeyedRecord",
    "LogPage",
    "Producer",
    "Store",
    "keyed_topic",
    "parse_page",
    "split_keyed",
]

_LOG = logging.getLogger("poplarrelay.platform.store")

#: Seconds for a new connection to the store: it answers in 4 ms on a calm day, and
#: a packet lost on the way is sent again after a second.
CONNECT_TIMEOUT_S = 1.2
#: Seconds for an answer beyond the time that a call asked to wait. Slow spells
#: answer in about a quarter of a second.
ANSWER_TIMEOUT_S = 1.2
#: Largest answer: one read returns at most two megabytes of records.
MAX_ANSWER_BYTES = 8_000_000
#: Records asked for in one read.
MAX_RECORDS = 1000

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a partition.

    Attributes
    ----------
    next : Offset
        Where to read on.
    end : Offset
        One past the partition's last record.
    """

    records: tuple[bytes, ...]
    next: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record with a key; without a value the key has been dropped.

    Attributes
    ----------
    offset : Offset
        Its position in the partition; of two records of a key the later one holds.
    """

    key: str
    value: bytes | None
    offset: Offset


@dataclass(frozen=True, slots=True)
class GroupShare:
    """The partitions of a topic that a member of a group holds.

    Attributes
    ----------
    generation : int
        Number of the group's last change.
    partitions : frozenset of int
        What this member holds in it.
    """

    generation: int
    partitions: frozenset[int]


@dataclass(frozen=True, slots=True)
class Producer:
    """Who appends, so that a writer that was replaced cannot append any more.

    Attributes
    ----------
    name : str
        Name of the role, shared by all who take it in turn.
    epoch : int
        Rises whenever another takes the role.
    sequence : int
        Number of this append within the epoch, from 0.
    """

    name: str
    epoch: int
    sequence: int


class Store:
    """Calls to the platform's store.

    Parameters
    ----------
    address : tuple of str and int
        The store's address.

    Notes
    -----
    A call that raises `PlatformUnavailable` without a status may have been carried
    out, or may be carried out seconds later. Reads and joins are simply repeated;
    appends name an `Producer`, so that a repetition is recognised.
    """

    def __init__(self, address: Address) -> None:
        self._client = JsonClient(address, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)
        self._calls: Counter[str] = Counter()

    @property
    def calls(self) -> int:
        """Return how many calls have been made."""
        return self._calls.total()

    @property
    def calls_by_purpose(self) -> dict[str, int]:
        """Return how many calls have been made, by their name and topic."""
        return dict(self._calls)

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float = ANSWER_TIMEOUT_S,
        topic: str = "",
    ) -> WholeResponse:
        self._calls[f"{name} {topic}".strip()] += 1
        try:
            call = self._client.call(method, target, [], body)
            response = await within(timeout_s, call)
        except (ExchangeFailed, TimeoutError) as error:
            raise PlatformUnavailable(name, None, str(error)) from error
        if response.status in (429, 500, 502, 503, 504, 507):
            raise PlatformUnavailable(name, response.status)
        return response

    async def read(
        self,
        topic: str,
        partition: int,
        start: Offset,
        wait_s: float = 0.0,
        answer_s: float = ANSWER_TIMEOUT_S,
    ) -> LogPage:
        """Read records from an offset on, waiting for the first one.

        Raises
        ------
        HistoryTrimmed
            If they are gone.
        PlatformUnavailable
            If the store does not answer.
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
            raise HistoryTrimmed(int(_json(response).get("startOffset", 0)))
        if response.status != 200:
            raise PlatformUnavailable("read", response.status, _text(response))
        end, _ = _OFFSETS.unpack_from(response.body)
        records = _split_records(response.body[_OFFSETS.size :])
        return LogPage(records, Offset(start + len(records)), Offset(end))

    async def newest(
        self, topic: str, answer_s: float = ANSWER_TIMEOUT_S
    ) -> tuple[list[KeyedRecord], Offset]:
        """Return the newest record of each key, and where to read on.

        Notes
        -----
        Pages are not a snapshot. Reading on from the end as of the first page
        brings every change made while later pages were read.
        """
        found: list[KeyedRecord] = []
        after: str | None = None
        resume: int | None = None
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            target = f"/api/log-newest?{urlencode(query)}"
            response = await self._call("newest", "GET", target, b"", answer_s, topic)
            if response.status != 200:
                raise PlatformUnavailable("newest", response.status, _text(response))
            page = _json(response)
            resume = int(page["endOffset"]) if resume is None else resume
            for entry in page["entries"]:
                after = entry["key"]
                record = _listed(entry)
                if record is not None:
                    found.append(record)
            if not page.get("hasMore") or not page["entries"]:
                return found, Offset(resume)

    async def append(
        self,
        topic: str,
        partition: int,
        records: list[bytes],
        producer: Producer | None = None,
    ) -> Offset:
        """Append records, all or none, and return the offset after the last.

        Parameters
        ----------
        topic, partition : str, int
            Where to.
        records : list of bytes
            What to append; nothing is appended by an empty list, which only
            shuts out appenders of lower epochs.
        producer : Producer or None
            Who appends, None where nobody competes.

        Raises
        ------
        AppendRefused
            If a newer appender has taken over.
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
            raise AppendRefused(str(_json(response).get("reason", response.status)))
        if response.status != 200:
            raise PlatformUnavailable("append", response.status, _text(response))
        return Offset(int(_json(response).get("endOffset", 0)))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key; nobody else writes that key."""
        name = key.encode()
        await self.append(topic, 0, [bytes((len(name),)) + name + value])

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> GroupShare:
        """Join a group, or stay in it, and return what the member holds."""
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
            raise PlatformUnavailable("join", response.status, _text(response))
        raw = _json(response)
        held = frozenset(int(row[1]) for row in raw["parts"] if row[0] == topic)
        return GroupShare(int(raw["generation"]), held)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, so that others take over at once."""
        body = orjson.dumps({"group": group, "memberId": member})
        await self._call("leave", "POST", "/api/log-leave", body)

    def close(self) -> None:
        """Drop the kept connections."""
        self._client.close()


def keyed_topic(name: str) -> str:
    """Return the name of a topic that keeps the newest record of each key.

    Examples
    --------
    >>> keyed_topic("hosts")
    'keyed.hosts'
    """
    return f"keyed.{name}"


def split_keyed(record: bytes, offset: Offset) -> KeyedRecord:
    """Return the key and the value of a record of a keyed topic.

    Raises
    ------
    PlatformRecordMalformed
        If there is no whole key in it.
    """
    size = record[0] if record else 0
    name = record[1 : 1 + size]
    if not name or len(name) < size:
        raise PlatformRecordMalformed(f"record {offset}", "no whole key")
    try:
        key = name.decode()
    except UnicodeDecodeError as error:
        raise PlatformRecordMalformed(f"record {offset}", repr(error)) from error
    return KeyedRecord(key, record[1 + size :] or None, offset)


def parse_page(page: LogPage, start: Offset) -> list[KeyedRecord]:
    """Return the records of a page of a keyed topic that was read from an offset.

    Notes
    -----
    Records without a readable key belong to nobody and are left out. One of them used
    to end the process: a stranger's record took every node out of service at once.
    """
    found = []
    for offset, record in enumerate(page.records, start):
        try:
            found.append(split_keyed(record, Offset(offset)))
        except PlatformRecordMalformed as error:
            _LOG.error("record unreadable", extra={"why": str(error)})
    return found


def _listed(entry: dict[str, Any]) -> KeyedRecord | None:
    """Return a record of a list of the newest ones, None if it cannot be read."""
    try:
        value = base64.b64decode(entry["data"], validate=True)
        return KeyedRecord(entry["key"], value or None, Offset(int(entry["offset"])))
    except (KeyError, TypeError, ValueError) as error:
        _LOG.error("record unreadable", extra={"why": repr(error)})
        return None


def _split_records(content: bytes) -> tuple[bytes, ...]:
    records: list[bytes] = []
    at = 0
    while at + _LENGTH.size <= len(content):
        (size,) = _LENGTH.unpack_from(content, at)
        at += _LENGTH.size
        if at + size > len(content):
            # Half a record: it is read again from its offset.
            break
        records.append(content[at : at + size])
        at += size
    return tuple(records)


def _json(response: WholeResponse) -> dict[str, Any]:
    try:
        value = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise PlatformUnavailable("answer", response.status, str(error)) from error
    return value if isinstance(value, dict) else {}


def _text(response: WholeResponse) -> str:
    return response.body[:200].decode("utf-8", "replace")
