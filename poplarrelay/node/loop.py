"""The tick thread: it owns all tables."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue

from poplarrelay.messages.effects import Effect
from poplarrelay.messages.inbox import Inbox, Message
from poplarrelay.systems.schedule import run_tick
from poplarrelay.tables.world import World

__all__ = ["EXIT_TICK_FAILED", "TickLoop"]

#: Messages taken into one tick, so that a flood cannot hold back the decisions.
MAX_BATCH = 1000
#: Exit code of a process whose tick thread failed.
EXIT_TICK_FAILED = 70

_LOG = logging.getLogger("poplarrelay.loop")


class TickLoop:
    """Runs the systems whenever a message arrives, at the latest every tick.

    Parameters
    ----------
    world : World
        The tables; nobody else may touch them once the loop runs.
    perform : callable
        Carries out an effect without blocking.
    beat : callable
        Is told the time of every tick.
    """

    def __init__(
        self,
        world: World,
        perform: Callable[[Effect], None],
        beat: Callable[[float], None],
    ) -> None:
        self._beat = beat
        self._world = world
        self._perform = perform
        self._messages: SimpleQueue[Message] = SimpleQueue()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tick", daemon=True)

    def submit(self, message: Message) -> None:
        """Give a message to the tick thread; never blocks."""
        self._messages.put(message)

    def start(self) -> None:
        """Start the tick thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current tick."""
        self._stopping.set()

    def _take(self) -> list[Message]:
        batch: list[Message] = []
        try:
            batch.append(self._messages.get(timeout=self._world.settings.timing.tick_s))
            while len(batch) < MAX_BATCH:
                batch.append(self._messages.get_nowait())
        except Empty:
            return batch
        return batch

    def _run(self) -> None:
        try:
            while not self._stopping.is_set():
                batch = self._take()
                now = time.monotonic()
                self._beat(now)
                for effect in run_tick(self._world, Inbox(batch), now):
                    self._perform(effect)
        except BaseException:
            # Without its tick thread the process would accept connections and
            # never answer, like a frozen one. Ending it at once lets peers and
            # callers see the failure.
            _LOG.exception("tick failed")
            logging.shutdown()
            os._exit(EXIT_TICK_FAILED)
