"""Stand-in for the log service: append-only streams of records."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import Any

import cherrypy
from pydantic import BaseModel, Field

from poplarrelay.standins.base import MAX_BODY_BYTES, StandIn, refuse
from poplarrelay.web.exchange import answer_json, read_json, require_method

__all__ = ["LogFaults", "LogStandIn"]

#: Longest time that a read waits for new records, in seconds.
MAX_WAIT_S = 30.0


class LogFaults(BaseModel):
    """Faults of the log service.

    Attributes
    ----------
    refuse : bool
        Answer every call with 503.
    hang_s : float
        Seconds by which every call is delayed before it is processed.
    lose_answers : int
        Number of appends that are stored but answered only after `lost_s` seconds.
    slow_s : float
        Extra seconds that every append takes.
    clock_skew_s : float
        Seconds by which the clock of the log is ahead.
    """

    refuse: bool = False
    hang_s: float = 0.0
    lose_answers: int = 0
    lost_s: float = 3.0
    slow_s: float = 0.0
    clock_skew_s: float = 0.0


class AppendBody(BaseModel):
    """Body of an append: the records in order."""

    records: list[dict[str, Any]] = Field(min_length=1, max_length=1000)


class _Stream:
    def __init__(self) -> None:
        self.oldest_offset = 0
        self.records: deque[tuple[float, dict[str, Any]]] = deque()
        self.appended = threading.Condition()

    @property
    def next_offset(self) -> int:
        return self.oldest_offset + len(self.records)


class LogStandIn(StandIn[LogFaults]):
    """Append-only streams with offsets, retention and a rate limit.

    Parameters
    ----------
    retention_s : float
        Seconds after which a record is removed.
    appends_per_s : float
        Appends accepted per second. An append of many records counts once.
    """

    def __init__(self, retention_s: float, appends_per_s: float) -> None:
        super().__init__(LogFaults())
        self._retention_s = retention_s
        self._appends_per_s = appends_per_s
        self._available_appends = appends_per_s
        self._refilled_at = time.monotonic()
        self._streams: dict[str, _Stream] = {}
        self._appends = 0

    def _stream(self, name: str) -> _Stream:
        with self.lock:
            return self._streams.setdefault(name, _Stream())

    def _apply_faults(self) -> None:
        faults = self.current_faults
        if faults.hang_s:
            time.sleep(faults.hang_s)
        if faults.refuse:
            raise refuse(503, "outage")

    def _limit_rate(self) -> None:
        with self.lock:
            now = time.monotonic()
            refill = (now - self._refilled_at) * self._appends_per_s
            self._available_appends = min(
                self._appends_per_s, self._available_appends + refill
            )
            self._refilled_at = now
            if self._available_appends < 1.0:
                raise refuse(429, "rate-limit", 1.0 / self._appends_per_s)
            self._available_appends -= 1.0
            self._appends += 1

    def _time(self) -> float:
        return time.time() + self.current_faults.clock_skew_s

    @cherrypy.expose
    def streams(self, stream: str, _records: str, **query: str) -> bytes:
        """Append to a stream (POST) or read from it."""
        require_method("GET", "POST")
        self._apply_faults()
        if cherrypy.request.method == "POST":
            return self._append(self._stream(stream))
        return self._read(self._stream(stream), query)

    def _append(self, stream: _Stream) -> bytes:
        body = read_json(AppendBody, MAX_BODY_BYTES)
        self._limit_rate()
        if self.current_faults.slow_s:
            time.sleep(self.current_faults.slow_s)
        with stream.appended:
            offset = stream.next_offset
            now = self._time()
            stream.records.extend((now, value) for value in body.records)
            stream.appended.notify_all()
        if self._consume_lost_answer():
            time.sleep(self.current_faults.lost_s)
        return answer_json({"offset": offset})

    def _consume_lost_answer(self) -> bool:
        with self.lock:
            if self.current_faults.lose_answers <= 0:
                return False
            self.current_faults.lose_answers -= 1
            return True

    def _trim(self, stream: _Stream) -> None:
        cutoff = self._time() - self._retention_s
        while stream.records and stream.records[0][0] < cutoff:
            stream.records.popleft()
            stream.oldest_offset += 1

    def _read(self, stream: _Stream, query: dict[str, str]) -> bytes:
        start = int(query.get("from", 0))
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000)
        limit = int(query.get("limit", 500))
        with stream.appended:
            stream.appended.wait_for(lambda: stream.next_offset > start, timeout=wait_s)
            self._trim(stream)
            first = max(start, stream.oldest_offset)
            skip = first - stream.oldest_offset
            selected = list(stream.records)[skip : skip + limit]
            oldest_offset, next_offset = stream.oldest_offset, stream.next_offset
        self._apply_faults()
        return answer_json(
            {
                "oldest": oldest_offset,
                "next": next_offset,
                "time": self._time(),
                "records": [
                    {"offset": first + index, "time": at, "value": value}
                    for index, (at, value) in enumerate(selected)
                ],
            }
        )

    @cherrypy.expose
    def statistics(self) -> bytes:
        """Return the number of appends, and of records by stream."""
        with self.lock:
            lengths = {
                name: stream.next_offset for name, stream in self._streams.items()
            }
            return answer_json({"appends": self._appends, "records": lengths})
