"""The tick thread, which alone reads and writes the tables."""

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

#: Most messages in one tick; without a limit, a flood would delay the decisions.
MAX_BATCH = 1000
#: Exit code of a process whose tick thread failed.
EXIT_TICK_FAILED = 70

_LOG = logging.getLogger("poplarrelay.loop")


class TickLoop:
    """Runs the systems when a message arrives, and at least once per tick interval.

    Parameters
    ----------
    world : World
        The tables. No other thread can use them while the loop runs.
    perform : callable
        Called with every effect; must not block.
    on_tick : callable
        Called with the monotonic time of every tick.
    """

    def __init__(
        self,
        world: World,
        perform: Callable[[Effect], None],
        on_tick: Callable[[float], None],
    ) -> None:
        self._on_tick = on_tick
        self._world = world
        self._perform = perform
        self._messages: SimpleQueue[Message] = SimpleQueue()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tick", daemon=True)

    def submit(self, message: Message) -> None:
        """Queue a message for the tick thread without blocking."""
        self._messages.put(message)

    def start(self) -> None:
        """Start the tick thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current tick."""
        self._stopping.set()

    def _take_batch(self) -> list[Message]:
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
                batch = self._take_batch()
                now = time.monotonic()
                self._on_tick(now)
                for effect in run_tick(self._world, Inbox(batch), now):
                    self._perform(effect)
        except BaseException:
            # Without a tick thread, the process would accept connections and never
            # answer. An immediate exit shows the failure to peers and callers.
            _LOG.exception("tick failed")
            logging.shutdown()
            os._exit(EXIT_TICK_FAILED)
