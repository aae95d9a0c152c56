"""Signals of the process, from the first line of the program to its end."""

from __future__ import annotations

import contextlib
import signal
import socket
from collections.abc import Callable, Iterator
from types import FrameType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["ProcessSignals"]

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _do_nothing() -> None:
    """Handle a signal that needs no action."""


class ProcessSignals:
    """Handlers of the stop signals and of SIGHUP.

    Attributes
    ----------
    stop_requested : bool
        Whether a stop signal has arrived.

    Notes
    -----
    This module imports nothing else of the package: it is loaded before the modules
    that take most of the start, in which a signal would end the process. A SIGHUP that
    arrives before the settings are read needs no action.
    """

    def __init__(self) -> None:
        self.stop_requested = False
        self._on_stop: Callable[[], object] = _do_nothing
        self._on_reload: Callable[[], object] = _do_nothing

    @classmethod
    def install(cls) -> ProcessSignals:
        """Return handlers that are in force for the rest of the process."""
        signals = cls()
        for number in _STOP_SIGNALS:
            signal.signal(number, signals._stop)
        signal.signal(signal.SIGHUP, signals._reload)
        return signals

    @contextlib.contextmanager
    def attached(
        self,
        loop: asyncio.AbstractEventLoop,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None],
    ) -> Iterator[None]:
        """Let signals call back on an event loop; one that has arrived does so now.

        Notes
        -----
        The handler of a signal runs once the loop's thread executes Python code again.
        The wake-up descriptor ends its wait for events.
        """
        receiver, sender = socket.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        loop.add_reader(receiver, receiver.recv, 4096)
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        self._on_stop = lambda: loop.call_soon_threadsafe(on_stop)
        self._on_reload = lambda: loop.call_soon_threadsafe(on_reload)
        try:
            if self.stop_requested:
                on_stop()
            yield
        finally:
            self._on_stop = self._on_reload = _do_nothing
            signal.set_wakeup_fd(-1)
            loop.remove_reader(receiver)
            receiver.close()
            sender.close()

    def ignore(self) -> None:
        """Ignore all signals: the process ends.

        The interpreter restores the default action of handled signals when it ends, and
        leaves ignored ones alone.
        """
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _stop(self, number: int, frame: FrameType | None) -> None:
        self.stop_requested = True
        self._on_stop()

    def _reload(self, number: int, frame: FrameType | None) -> None:
        self._on_reload()
