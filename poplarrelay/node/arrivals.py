"""Correct the arrival times of requests that were read after a freeze."""

from __future__ import annotations

import threading
import time

__all__ = ["ArrivalClock"]

#: Seconds without a tick after which the process counts as frozen.
FREEZE_S = 0.75
#: Seconds after a freeze for which data that is read can have arrived during the
#: freeze.
BACKLOG_S = 1.0


class ArrivalClock:
    """Corrects arrival times for freezes of the process.

    Notes
    -----
    Requests that arrive while the process is frozen wait in its socket buffers. If
    the node took the time of the read as their arrival time, they would get a new
    deadline. A non-repeatable call could then run although another node has
    returned "not run" to the caller in the meantime. Therefore a request that is
    read right after a freeze gets the start of the freeze as its arrival time.

    Examples
    --------
    >>> clock = ArrivalClock(now=10.0)
    >>> clock.record_tick(10.05)
    >>> clock.record_tick(15.0)
    >>> clock.arrival_time(15.1)
    10.05
    >>> clock.record_tick(15.7), clock.record_tick(16.4), clock.record_tick(16.95)
    (None, None, None)
    >>> clock.arrival_time(17.0)
    17.0
    """

    def __init__(self, now: float | None = None) -> None:
        self._lock = threading.Lock()
        self._last_tick = time.monotonic() if now is None else now
        self._frozen_from = float("-inf")
        self._frozen_to = float("-inf")

    def record_tick(self, now: float) -> None:
        """Record the time of a tick and detect a freeze before it."""
        with self._lock:
            if now - self._last_tick > FREEZE_S:
                self._frozen_from, self._frozen_to = self._last_tick, now
            self._last_tick = now

    def arrival_time(self, read_at: float) -> float:
        """Return the earliest time at which data read at `read_at` can have arrived."""
        with self._lock:
            if read_at - self._last_tick > FREEZE_S:
                return self._last_tick
            if self._frozen_from <= read_at <= self._frozen_to + BACKLOG_S:
                return min(read_at, self._frozen_from)
            return read_at
