"""Turns of work that callers cause beyond one small request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import perf_counter

__all__ = ["SharedTurns"]

#: Pieces of work that begin in one turn, and seconds after which no other one begins.
PIECES_PER_TURN, TURN_S = 8, 0.002
#: Longest pause in seconds after a turn.
MAX_PAUSE_S = 0.05


class SharedTurns:
    """Divides the event loop between such work of all connections and the rest.

    A turn is followed by a pause that is as long as the turn was, so this work gets one
    half of the event loop at most.

    Notes
    -----
    A caller that waits for each answer has one request in the loop at a time. One that
    sends hundreds ahead, or heads and chunks that are slow to parse, would have some
    work ready whenever the loop turns.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._running = False

    def run(self, piece: Callable[[], None]) -> None:
        """Do a piece of work in its turn.

        Parameters
        ----------
        piece : callable
            Does nothing if its connection has closed meanwhile.
        """
        self._waiting.append(piece)
        if not self._running:
            self._running = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        loop, started_at = asyncio.get_running_loop(), perf_counter()
        for _ in range(min(PIECES_PER_TURN, len(self._waiting))):
            self._waiting.popleft()()
            if perf_counter() - started_at > TURN_S:
                break
        # Handlers of requests begin in the next iteration of the loop.
        loop.call_soon(loop.call_soon, self._end_turn, started_at)

    def _end_turn(self, started_at: float) -> None:
        pause_s = min(perf_counter() - started_at, MAX_PAUSE_S)
        asyncio.get_running_loop().call_later(pause_s, self._next_turn)

    def _next_turn(self) -> None:
        if self._waiting:
            self._turn()
        else:
            self._running = False
