"""Times of a graceful shutdown, from the moment of the stop signal."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ShutdownSchedule"]

#: Seconds after the stop signal in which requests are accepted that can last longer
#: than the node.
LONG_REQUESTS_S = 3.0
#: Shares of the grace time after which the node closes, and by which written responses
#: must have been taken. A long request may be ended in the last sixth of the grace time
#: only; the last twelfth is for the end of the process.
CLOSE_SHARE, DELIVERED_SHARE = 5 / 6, 11 / 12


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a graceful shutdown.

    Attributes
    ----------
    sent_after, handled_at : float
        Monotonic times between which the stop signal was sent.
    grace_s : float
        Seconds from the signal after which the process may be killed.

    Notes
    -----
    A busy or paused process handles a signal late, and cannot know when it was sent.

    Examples
    --------
    >>> schedule = ShutdownSchedule(99.9, 100.0, 8.0)
    >>> schedule.accepts(deadline=106.6, now=105.0)
    True
    >>> schedule.accepts(deadline=115.0, now=102.0)
    True
    >>> schedule.accepts(deadline=115.0, now=103.0)
    False
    """

    sent_after: float
    handled_at: float
    grace_s: float

    @property
    def close_at(self) -> float:
        """Return the time at which requests in progress are ended."""
        return min(self.handled_at + CLOSE_SHARE * self.grace_s, self.delivered_at)

    @property
    def delivered_at(self) -> float:
        """Return the time at which connections are reset."""
        return self.sent_after + DELIVERED_SHARE * self.grace_s

    def accepts(self, deadline: float, now: float) -> bool:
        """Return whether a request that has arrived can be served.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the request ends at the latest.
        now : float
            Monotonic time.
        """
        return deadline <= self.close_at or now <= self.sent_after + LONG_REQUESTS_S
