"""The platform's log service: append-only streams with offsets."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from poplarrelay.exception import LogRefused, LogUnavailable
from poplarrelay.identifiers import Offset, StreamName
from poplarrelay.messages.records import Record, RecordValue, encode_record, read_record
from poplarrelay.providers.http import CallFailed, JsonHttpClient, JsonReply

__all__ = ["HttpLogService", "LogBatch", "LogService"]

#: Records in one answer.
READ_LIMIT = 500
#: Refusals without a hint are tried again after this many seconds.
DEFAULT_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Records that were read.

    Attributes
    ----------
    oldest, next : Offset
        Oldest offset kept, and the offset that the next append gets.
    time : float or None
        The log's time of day.
    """

    oldest: Offset
    next: Offset
    time: float | None
    records: tuple[Record, ...]


class LogService(Protocol):
    """What the nodes need of a log service."""

    def append(self, stream: StreamName, values: Sequence[RecordValue]) -> Offset:
        """Append records in one step and return the first one's offset.

        Raises
        ------
        LogRefused
            If nothing was appended.
        LogUnavailable
            If it is not known whether anything was.
        """
        ...

    def read(self, stream: StreamName, start: Offset, wait_s: float) -> LogBatch:
        """Return records from `start` on, waiting for the first one.

        Raises
        ------
        LogRefused, LogUnavailable
            If there was no answer.
        """
        ...


def _retry_after(reply: JsonReply) -> float:
    hint = reply.headers.get("Retry-After")
    try:
        return DEFAULT_RETRY_S if hint is None else float(hint)
    except ValueError:
        return DEFAULT_RETRY_S


class HttpLogService:
    """The log service over its HTTP interface.

    Parameters
    ----------
    address : str
        ``host:port`` of the service.
    timeout_s : float
        Seconds that an append, or a read beyond its wait, may take.
    """

    def __init__(
        self, address: str, timeout_s: float, http_client: JsonHttpClient
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._http_client = http_client

    def append(self, stream: StreamName, values: Sequence[RecordValue]) -> Offset:
        """Append records in one step and return the first one's offset."""
        body = {"records": [encode_record(value) for value in values]}
        path = f"/streams/{stream}/records"
        value = self._call("POST", path, body, self._timeout_s)
        return Offset(int(value["offset"]))

    def read(self, stream: StreamName, start: Offset, wait_s: float) -> LogBatch:
        """Return records from `start` on, waiting for the first one."""
        path = (
            f"/streams/{stream}/records"
            f"?from={start}&wait_ms={int(wait_s * 1000)}&limit={READ_LIMIT}"
        )
        value = self._call("GET", path, None, wait_s + self._timeout_s)
        time = value.get("time")
        records = tuple(
            read_record(int(item["offset"]), item["value"]) for item in value["records"]
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
            raise LogUnavailable(f"status {reply.status}")
        return reply.value
