"""Client of the platform's log service: append-only streams with offsets."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from poplarrelay.exception import LogRefused, LogUnavailable
from poplarrelay.identifiers import Offset, StreamName
from poplarrelay.messages.records import (
    Record,
    RecordValue,
    decode_record,
    encode_record,
)
from poplarrelay.providers.http import CallFailed, JsonHttpClient, JsonReply

__all__ = ["HttpLogService", "LogBatch", "LogService"]

#: Maximum number of records in one answer.
READ_LIMIT = 500
#: Seconds until a retry if a refusal has no valid ``Retry-After`` header.
DEFAULT_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class LogBatch:
    """The result of one read.

    Attributes
    ----------
    oldest, next : Offset
        Oldest offset that the log keeps, and the offset of the next append.
    time : float or None
        Time of day at the log service, None if the answer does not state it.
    """

    oldest: Offset
    next: Offset
    time: float | None
    records: tuple[Record, ...]


class LogService(Protocol):
    """Interface of a log service."""

    def append(self, stream: StreamName, values: Sequence[RecordValue]) -> Offset:
        """Append records atomically and return the offset of the first one.

        Raises
        ------
        LogRefused
            If the log refused and appended nothing.
        LogUnavailable
            If it is unknown whether the records were appended.
        """
        ...

    def read(self, stream: StreamName, start: Offset, wait_s: float) -> LogBatch:
        """Return records from `start` on; wait up to `wait_s` for the first.

        Raises
        ------
        LogRefused, LogUnavailable
            If the log refused or gave no valid answer.
        """
        ...


def _retry_after(reply: JsonReply) -> float:
    retry_after = reply.headers.get("Retry-After")
    try:
        return DEFAULT_RETRY_S if retry_after is None else float(retry_after)
    except ValueError:
        return DEFAULT_RETRY_S


class HttpLogService:
    """Client of the log service over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the service.
    timeout_s : float
        Timeout of an append in seconds. For a read, its `wait_s` is added.
    """

    def __init__(
        self, address: str, timeout_s: float, http_client: JsonHttpClient
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._http_client = http_client

    def append(self, stream: StreamName, values: Sequence[RecordValue]) -> Offset:
        """Append records atomically and return the offset of the first one."""
        body = {"records": [encode_record(value) for value in values]}
        path = f"/streams/{stream}/records"
        value = self._call("POST", path, body, self._timeout_s)
        return Offset(int(value["offset"]))

    def read(self, stream: StreamName, start: Offset, wait_s: float) -> LogBatch:
        """Return records from `start` on; wait up to `wait_s` for the first."""
        path = (
            f"/streams/{stream}/records"
            f"?from={start}&wait_ms={int(wait_s * 1000)}&limit={READ_LIMIT}"
        )
        value = self._call("GET", path, None, wait_s + self._timeout_s)
        time = value.get("time")
        records = tuple(
            decode_record(int(item["offset"]), item["value"])
            for item in value["records"]
        )
        return LogBatch(
            Offset(int(value["oldest"])), Offset(int(value["next"])), time, records
        )

    def _call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> dict[str, Any]:
        try:
            reply = self._http_client.call(method, self._address, path, body, timeout_s)
        except CallFailed as error:
            raise LogUnavailable(str(error)) from error
        if reply.status == 429:
            raise LogRefused(_retry_after(reply))
        if not reply.ok or not isinstance(reply.value, dict):
            raise LogUnavailable(f"the log service answered with status {reply.status}")
        return reply.value
