"""Shared budget for sending a request to a second endpoint."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

#: Part of the bounds that is used. The rest covers sends whose answers a bound's
#: window counts differently, as its edges slide.
SAFE_SHARE = 0.8


@dataclass(slots=True)
class RetryBudget:
    """A node's part of a service's retry budget.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed besides, by all nodes together in one window.
    window_s : float
        Length of the window.

    Notes
    -----
    The budget is divided instead of shared: each node keeps to the ratio of its own
    requests and to an equal part of the slack. So it holds also while the nodes
    cannot talk to each other, as long as each counts no fewer nodes than there are;
    the largest number lately seen is used. Costs one comparison a send.
    """

    ratio: float
    slack: float
    window_s: float
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Note a request that callers sent for the service."""
        self.requests.append(now)

    def take(self, now: float, nodes: int) -> bool:
        """Take one retry, and return whether there was one left.

        Parameters
        ----------
        now : float
            Monotonic time.
        nodes : int
            Nodes that share the budget.
        """
        self._forget(now)
        allowed = SAFE_SHARE * (
            self.ratio * len(self.requests) + self.slack / max(1, nodes)
        )
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        start = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()
