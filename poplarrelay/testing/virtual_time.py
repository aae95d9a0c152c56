"""Events and coroutines in virtual time, for simulations and tests."""

from __future__ import annotations

import asyncio
import heapq
import selectors
from collections.abc import Callable, Coroutine
from functools import partial
from itertools import count
from typing import Any

__all__ = ["VirtualTime", "run_virtual"]


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


class _SkippingSelector(selectors.SelectSelector):
    """Selector that advances a clock instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return no events, after the given virtual time."""
        if timeout is None:
            raise RuntimeError("all coroutines wait, and no timer is set")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop without I/O whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.skipping = _SkippingSelector()
        super().__init__(self.skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.skipping.now


def run_virtual(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that uses no I/O in virtual time, and return its result."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(coroutine)
