"""Tell when a request really came, not when it was first read."""

from __future__ import annotations

import threading
import time

__all__ = ["ArrivalClock"]

#: A pause of the tick thread from which on the process counts as frozen.
FREEZE_S = 0.75
#: Seconds after a freeze within which what is read may have come during it.
BACKLOG_S = 1.0


class ArrivalClock:
    """Corrects times of arrival for freezes of the process.

    Notes
    -----
    A frozen process finds requests in its socket buffers when it is thawed. Read as
    if they had just come, they would get a new deadline, and a booking whose caller
    was told "not run" by another node meanwhile would run after all. So whatever is
    read right after a freeze counts as having come when the freeze began.

    Examples
    --------
    >>> clock = ArrivalClock(now=10.0)
    >>> clock.beat(10.05)
    >>> clock.beat(15.0)
    >>> clock.arrived(15.1)
    10.05
    >>> clock.beat(15.7), clock.beat(16.4), clock.beat(16.95)
    (None, None, None)
    >>> clock.arrived(17.0)
    17.0
    """

    def __init__(self, now: float | None = None) -> None:
        self._lock = threading.Lock()
        self._last_beat = time.monotonic() if now is None else now
        self._frozen_from = float("-inf")
        self._frozen_to = float("-inf")

    def beat(self, now: float) -> None:
        """Note that the tick thread runs."""
        with self._lock:
            if now - self._last_beat > FREEZE_S:
                self._frozen_from, self._frozen_to = self._last_beat, now
            self._last_beat = now

    def arrived(self, received: float) -> float:
        """Return when something that was read at `received` came at the earliest."""
        with self._lock:
            if received - self._last_beat > FREEZE_S:
                return self._last_beat
            if self._frozen_from <= received <= self._frozen_to + BACKLOG_S:
                return min(received, self._frozen_from)
            return received
