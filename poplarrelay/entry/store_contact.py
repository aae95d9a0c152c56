"""Detection of long reads that an outage of the store has left without an answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import TypeVar

from poplarrelay.exception import ReadInterrupted

__all__ = ["StoreContact"]

_LOG = logging.getLogger("poplarrelay.entry.contact")

#: Minimum seconds after which a long read is interrupted. It bounds the rate of reads
#: while calls to the store fail and succeed in turn.
MIN_READ_S = 1.0

ResultT = TypeVar("ResultT")


class StoreContact:
    """Contact of this node with the store, shared by all of its calls.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time.

    Notes
    -----
    A read that waits for a change looks the same whether the store has no change or has
    lost the call. If a call fails and a later one is answered, the store has been away,
    so the reads that waited meanwhile are interrupted and sent again. A shorter wait
    would also bound the delay, but costs calls all the time.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self._clock = clock
        self._has_failed = False
        self._waiting: set[asyncio.Future[None]] = set()

    def note_failure(self) -> None:
        """Record that the store has not answered a call, or has failed to serve it."""
        self._has_failed = True

    def note_answer(self) -> None:
        """Record an answer; the first one after a failure interrupts the long reads."""
        if self._has_failed:
            self._has_failed = False
            self.interrupt()

    def interrupt(self) -> None:
        """End the long reads that wait, so that they are sent again."""
        for interrupted in self._waiting:
            if not interrupted.done():
                interrupted.set_result(None)

    async def wait_for(self, read: Awaitable[ResultT]) -> ResultT:
        """Return the result of a long read.

        Raises
        ------
        ReadInterrupted
            If the store has been away during the read.
        """
        sent_at = self._clock()
        task = asyncio.ensure_future(read)
        interrupted = asyncio.get_running_loop().create_future()
        self._waiting.add(interrupted)
        try:
            await asyncio.wait({task, interrupted}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                left_s = MIN_READ_S - (self._clock() - sent_at)
                await asyncio.wait({task}, timeout=max(0.0, left_s))
            if task.done():
                return task.result()
        finally:
            self._waiting.discard(interrupted)
            task.cancel()
        waited_s = round(self._clock() - sent_at, 2)
        _LOG.info("long read interrupted", extra={"waited_s": waited_s})
        raise ReadInterrupted("read", None, "the store has been away during the read")
