"""Turns of parsing, so that no connection keeps the event loop for itself."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import perf_counter

from poplarrelay.entry.http.shared_turns import SharedTurns

__all__ = ["ParsingTurns"]

#: Seconds of one turn.
TURN_S = 0.002
#: Largest share of the event loop for a connection that needs more than one turn.
MAX_LOOP_SHARE = 0.1
#: Seconds between two turns of such a connection.
PAUSE_S = TURN_S * (1 / MAX_LOOP_SHARE - 1)
#: Turns in a row after which a connection that has not parsed one read is given up.
MAX_TURNS_BEHIND = 20


def _do_nothing() -> None:
    """Replace the callbacks of a connection that has closed."""


def _end_step() -> bool:
    return False


class ParsingTurns:
    """Divides the parsing of one connection's bytes into short turns.

    Parameters
    ----------
    step : callable
        Parses one element; returns whether another one may follow.
    on_change : callable
        Called when the connection begins or ends to wait for its next turn. It must not
        be read from meanwhile.
    give_up : callable
        Called when parsing has not caught up for too many turns in a row.
    shared : SharedTurns or None
        Turns that connections share, for all but the first turn of a read.

    Notes
    -----
    One read of a few hundred kilobytes can hold ten thousand elements, such as interim
    responses or chunks of one byte. Parsed at once, they would delay all other
    connections by most of a second.
    """

    def __init__(
        self,
        step: Callable[[], bool],
        on_change: Callable[[], None],
        give_up: Callable[[], None] = lambda: None,
        shared: SharedTurns | None = None,
    ) -> None:
        self._step = step
        self._on_change = on_change
        self._give_up = give_up
        self._shared = shared
        self._turns_behind = 0
        self._timer: asyncio.TimerHandle | None = None
        self._waiting = False

    @property
    def waiting(self) -> bool:
        """Return whether the next turn is due later."""
        return self._waiting

    def run(self) -> None:
        """Parse what has been received, or the beginning of it."""
        if self._waiting:
            return
        end = perf_counter() + TURN_S
        while self._step():
            if perf_counter() >= end:
                break
        else:
            self._turns_behind = 0
            return
        self._turns_behind += 1
        if self._turns_behind > MAX_TURNS_BEHIND:
            self._give_up()
        self._waiting = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PAUSE_S, self._end_pause)
        self._on_change()

    def _end_pause(self) -> None:
        self._timer = None
        if self._shared is None:
            self._next_turn()
        else:
            self._shared.run(self._next_turn)

    def _next_turn(self) -> None:
        if not self._waiting:
            return
        self._waiting = False
        self.run()
        if not self._waiting:
            self._on_change()

    def end(self) -> None:
        """Parse nothing more, and drop the references to the connection."""
        self.cancel()
        self._step, self._on_change, self._give_up = _end_step, _do_nothing, _do_nothing

    def cancel(self) -> None:
        """Parse nothing more."""
        self._waiting = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
