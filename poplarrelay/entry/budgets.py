"""Retry budget of a service: how often requests are sent to another endpoint."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

#: Share of the budget that is used. The rest covers requests and retries that an
#: observer counts in a different window, since the windows slide.
SAFE_SHARE = 0.8


@dataclass(slots=True)
class RetryBudget:
    """One node's part of a service's retry budget.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries of all nodes together in one window.
    window_s : float
        Length of the sliding window in seconds.
    requests, retries : deque of float
        Monotonic times of the requests and retries in the window.

    Notes
    -----
    The budget is divided among the nodes: each node applies the ratio to its own
    requests and uses an equal part of the slack. The bound therefore also holds while
    nodes cannot reach each other, if no node counts fewer nodes than exist. For this
    reason, callers of `take` pass the largest number of nodes seen recently. A retry
    costs one comparison.
    """

    ratio: float
    slack: float
    window_s: float
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a caller's request for the service."""
        self.requests.append(now)

    def take(self, now: float, nodes: int) -> bool:
        """Use one retry if the budget allows it, and return whether it does.

        Parameters
        ----------
        now : float
            Monotonic time.
        nodes : int
            Number of nodes that the slack is divided among.
        """
        self._drop_old(now)
        allowed = SAFE_SHARE * (
            self.ratio * len(self.requests) + self.slack / max(1, nodes)
        )
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        window_start = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < window_start:
                times.popleft()
