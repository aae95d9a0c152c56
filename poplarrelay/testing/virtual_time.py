"""Events in virtual time, for simulations."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any

__all__ = ["VirtualTime"]


class VirtualTime:
    """Clock that jumps from one event to the next.

    Parameters
    ----------
    start : float
        Initial time in seconds.

    Examples
    --------
    >>> time = VirtualTime(0.0)
    >>> time.at(2.0, print, "second")
    >>> time.at(1.0, print, "first")
    >>> time.run(1.5)
    first
    """

    def __init__(self, start: float) -> None:
        self._now = start
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    @property
    def now(self) -> float:
        """Return the current time."""
        return self._now

    def at(self, when: float, action: Callable[..., None], *values: Any) -> None:
        """Call an action with the given values at a time."""
        call: Callable[[], None] = partial(action, *values)
        heapq.heappush(self._events, (when, next(self._numbers), call))

    def after(self, delay_s: float, action: Callable[..., None], *values: Any) -> None:
        """Call an action with the given values after a delay."""
        self.at(self._now + delay_s, action, *values)

    def run(self, until: float) -> None:
        """Play the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self._now, _, action = heapq.heappop(self._events)
            action()
