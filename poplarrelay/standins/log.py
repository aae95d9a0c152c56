"""Stand-in for the log service."""

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

#: Longest wait of a read, in seconds.
MAX_WAIT_S = 30.0


class LogFaults(BaseModel):
    """Faults of the log.

    Attributes
    ----------
    refuse : bool
        Answer every call with 503.
    hang_s : float
        Keep every call waiting before it is looked at.
    lose_answers : int
        Take so many appends and then keep their answers back for `lost_s`.
    slow_s : float
        Seconds that every append takes.
    clock_skew_s : float
        Seconds that the log's clock is ahead.
    """

    refuse: bool = False
    hang_s: float = 0.0
    lose_answers: int = 0
    lost_s: float = 3.0
    slow_s: float = 0.0
    clock_skew_s: float = 0.0


class AppendBody(BaseModel):
    """Records to append."""

    records: list[dict[str, Any]] = Field(min_length=1, max_length=1000)


class _Stream:
    def __init__(self) -> None:
        self.oldest = 0
        self.records: deque[tuple[float, dict[str, Any]]] = deque()
        self.changed = threading.Condition()

    @property
    def next(self) -> int:
        return self.oldest + len(self.records)


class LogStandIn(StandIn[LogFaults]):
    """Append-only streams with offsets, retention and a rate limit.

    Parameters
    ----------
    retention_s : float
        Seconds for which records are kept.
    appends_per_s : float
        Appends (of any number of records) taken in a second.
    """

    def __init__(self, retention_s: float, appends_per_s: float) -> None:
        super().__init__(LogFaults())
        self._retention_s = retention_s
        self._appends_per_s = appends_per_s
        self._budget = appends_per_s
        self._filled_at = time.monotonic()
        self._streams: dict[str, _Stream] = {}
        self._appends = 0

    def _stream(self, name: str) -> _Stream:
        with self.lock:
            return self._streams.setdefault(name, _Stream())

    def _disturb(self) -> None:
        faults = self.current_faults
        if faults.hang_s:
            time.sleep(faults.hang_s)
        if faults.refuse:
            raise refuse(503, "outage")

    def _take_budget(self) -> None:
        with self.lock:
            now = time.monotonic()
            refill = (now - self._filled_at) * self._appends_per_s
            self._budget = min(self._appends_per_s, self._budget + refill)
            self._filled_at = now
            if self._budget < 1.0:
                raise refuse(429, "rate-limit", 1.0 / self._appends_per_s)
            self._budget -= 1.0
            self._appends += 1

    def _time(self) -> float:
        return time.time() + self.current_faults.clock_skew_s

    @cherrypy.expose
    def streams(self, stream: str, _records: str, **query: str) -> bytes:
        """Read from a stream or append to it."""
        require_method("GET", "POST")
        self._disturb()
        if cherrypy.request.method == "POST":
            return self._append(self._stream(stream))
        return self._read(self._stream(stream), query)

    def _append(self, stream: _Stream) -> bytes:
        body = read_json(AppendBody, MAX_BODY_BYTES)
        self._take_budget()
        if self.current_faults.slow_s:
            time.sleep(self.current_faults.slow_s)
        with stream.changed:
            offset = stream.next
            now = self._time()
            stream.records.extend((now, value) for value in body.records)
            stream.changed.notify_all()
        if self._loses_answer():
            time.sleep(self.current_faults.lost_s)
        return answer_json({"offset": offset})

    def _loses_answer(self) -> bool:
        with self.lock:
            if self.current_faults.lose_answers <= 0:
                return False
            self.current_faults.lose_answers -= 1
            return True

    def _trim(self, stream: _Stream) -> None:
        limit = self._time() - self._retention_s
        while stream.records and stream.records[0][0] < limit:
            stream.records.popleft()
            stream.oldest += 1

    def _read(self, stream: _Stream, query: dict[str, str]) -> bytes:
        start = int(query.get("from", 0))
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000)
        limit = int(query.get("limit", 500))
        with stream.changed:
            stream.changed.wait_for(lambda: stream.next > start, timeout=wait_s)
            self._trim(stream)
            first = max(start, stream.oldest)
            skip = first - stream.oldest
            kept = list(stream.records)[skip : skip + limit]
            oldest, following = stream.oldest, stream.next
        self._disturb()
        return answer_json(
            {
                "oldest": oldest,
                "next": following,
                "time": self._time(),
                "records": [
                    {"offset": first + index, "time": at, "value": value}
                    for index, (at, value) in enumerate(kept)
                ],
            }
        )

    @cherrypy.expose
    def statistics(self) -> bytes:
        """Tell how much was appended."""
        with self.lock:
            lengths = {name: stream.next for name, stream in self._streams.items()}
            return answer_json({"appends": self._appends, "records": lengths})
