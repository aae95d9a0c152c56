"""True time on a host whose own time of day may jump."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from statistics import median
from time import CLOCK_BOOTTIME, clock_gettime, monotonic, time

__all__ = ["ClusterClock", "FreezeDetector"]

#: Fewest peers whose clocks outvote this host's own.
LEAST_VOTERS = 2
#: Difference in seconds below which clocks count as equal; news takes some
#: milliseconds, and hosts' clocks are never quite the same.
TOLERANCE_S = 0.25
#: Seconds for which a peer's reading is used.
READING_LIVES_S = 3.0
#: Readings of a peer that are kept.
MOST_READINGS = 4


class ClusterClock:
    """The time of day on which most nodes agree.

    Notes
    -----
    The clock of a single host may jump by seconds, and usage would be counted into
    the wrong window. Each node compares its clock with those that peers send; where
    the median differs, the median counts. While less than half of the hosts are
    wrong, the median is right.

    Nobody can tell how long a reading was on its way, and each delay makes a peer's
    clock seem to be behind. So of each peer's readings the one that was least delayed
    counts: in a busy link the latest ones moved a node's time by more than half a
    second, and usage was counted into the wrong window.
    """

    def __init__(self, wall: Callable[[], float] = time) -> None:
        self._wall = wall
        self._readings: dict[str, deque[tuple[float, float]]] = {}
        self._correction = 0.0
        #: When the last reading came, and this host's clock against the monotonic one.
        self._uncounted: tuple[float, float] | None = None

    @property
    def own(self) -> float:
        """Return this host's time of day, as it is."""
        return self._wall()

    @property
    def correction(self) -> float:
        """Return what is added to this host's time of day."""
        self._vote()
        return self._correction

    def now(self) -> float:
        """Return the time of day on which most nodes agree."""
        return self._wall() + self.correction

    def receive(self, peer: str, peer_wall: float, at: float) -> None:
        """Take the time of day that a peer has just sent.

        Parameters
        ----------
        peer : str
            Its name.
        peer_wall : float
            What its own clock showed.
        at : float
            Monotonic time of arrival.
        """
        # The reading is kept against the monotonic clock, which never jumps.
        kept = self._readings.setdefault(peer, deque(maxlen=MOST_READINGS))
        kept.append((peer_wall - at, at))
        self._uncounted = (at, self._wall() - at)

    def _vote(self) -> None:
        """Take the median of all readings, if any has come since the last time.

        Notes
        -----
        Only when the time is asked for: with a vote for each reading a node among
        195 spent 0.7% of a core on it.
        """
        if self._uncounted is None:
            return
        at, own = self._uncounted
        self._uncounted = None
        readings = []
        for peer, kept in list(self._readings.items()):
            offset = _least_delayed(kept, at)
            if offset is None:
                del self._readings[peer]
            else:
                readings.append(offset)
        if len(readings) < LEAST_VOTERS:
            return
        difference = median([*readings, own]) - own
        self._correction = difference if abs(difference) > TOLERANCE_S else 0.0


def _least_delayed(readings: Iterable[tuple[float, float]], now: float) -> float | None:
    """Return by how much a peer's clock is ahead of the monotonic one, if known."""
    alive = [offset for offset, heard in readings if now - heard < READING_LIVES_S]
    return max(alive, default=None)


class FreezeDetector:
    """Notices that the process has not run for a while.

    Notes
    -----
    A frozen or suspended process knows nothing of what happened meanwhile: leases
    may have lapsed and endpoints may have left. The monotonic clock stops during a
    suspension, the boot clock does not.
    """

    def __init__(self, threshold_s: float) -> None:
        self._threshold_s = threshold_s
        self._last = self._reading()

    @staticmethod
    def _reading() -> float:
        return max(clock_gettime(CLOCK_BOOTTIME), monotonic())

    def check(self) -> float:
        """Return for how long the process has been frozen, 0 if it has not."""
        now = self._reading()
        gap = now - self._last
        self._last = now
        return gap if gap > self._threshold_s else 0.0
