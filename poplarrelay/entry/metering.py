"""Count the requests of each team that began in each window of the wall clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import ceil

from poplarrelay.identifiers import TeamId

__all__ = ["UsageCounts", "WindowNumber", "merge_counts"]

WindowNumber = int

#: Number of windows that are kept and sent to the other nodes: at least this many, and
#: as many as this many seconds have.
MIN_KEPT_WINDOWS = 4
MIN_KEPT_S = 20.0
#: Margin in seconds for differences of the nodes' clocks and for the age of their rows.
COUNTS_MARGIN_S = 1.0


@dataclass(slots=True)
class UsageCounts:
    """Requests that began to run at one node, by window and team.

    Attributes
    ----------
    window_s : float
        Length of a window in seconds. Window k begins k lengths after the start of
        1970.
    windows : dict of int to dict of TeamId to int
        Counts by team, by window.
    """

    window_s: float
    windows: dict[WindowNumber, dict[TeamId, int]] = field(default_factory=dict)

    @property
    def kept_windows(self) -> int:
        """Return the number of windows that are kept, including the present one."""
        return max(MIN_KEPT_WINDOWS, ceil(MIN_KEPT_S / self.window_s))

    def window_of(self, wall: float) -> WindowNumber:
        """Return the number of the window that contains a wall-clock time."""
        return int(wall // self.window_s)

    def oldest_kept(self, wall: float) -> WindowNumber:
        """Return the oldest window of which all nodes still have the counts.

        Nodes whose clock is ahead drop a window earlier, and their rows take some time
        to arrive.
        """
        return self.window_of(wall + COUNTS_MARGIN_S) - self.kept_windows + 1

    def note(self, team: TeamId, wall: float) -> None:
        """Count a request that began to run."""
        window = self.window_of(wall)
        counts = self.windows.setdefault(window, {})
        counts[team] = counts.get(team, 0) + 1
        for old in [w for w in self.windows if w <= window - self.kept_windows]:
            del self.windows[old]


def merge_counts(
    reports: list[dict[WindowNumber, dict[TeamId, int]]], window: WindowNumber
) -> dict[TeamId, int]:
    """Return the sum of all nodes' counts of one window.

    Examples
    --------
    >>> merge_counts([{7: {"a": 1}}, {7: {"a": 2, "b": 3}, 8: {"a": 9}}], 7)
    {'a': 3, 'b': 3}
    """
    total: dict[TeamId, int] = defaultdict(int)
    for report in reports:
        for team, count in report.get(window, {}).items():
            total[team] += count
    return dict(total)
