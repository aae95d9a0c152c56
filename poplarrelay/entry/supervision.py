"""Supervision of the background tasks of a process: failed ones start again."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from time import monotonic

__all__ = ["TaskSupervisor"]

_LOG = logging.getLogger("poplarrelay.entry")

#: Seconds until a failed task starts again, which double with each failure up to the
#: second value.
FIRST_PAUSE_S, MAX_PAUSE_S = 0.1, 5.0
#: Seconds for which a task must have run for the next pause to be the first one again.
SOUND_S = 30.0


class TaskSupervisor:
    """Runs background tasks until they are cancelled.

    Parameters
    ----------
    may_end : callable
        Returns whether tasks may return; otherwise this counts as a failure.

    Attributes
    ----------
    failures : Counter of str
        Number of failures by the name of the task or step.

    Notes
    -----
    A failure does not end the process. The record that a task cannot handle would end
    all nodes one after the other, with all requests that they serve.
    """

    def __init__(self, may_end: Callable[[], bool]) -> None:
        self._may_end = may_end
        self._tasks: list[asyncio.Task[None]] = []
        self.failures: Counter[str] = Counter()

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task.

        Parameters
        ----------
        name : str
            Name for log lines and metrics.
        run : callable
            Returns the awaitable that does the task's work; called for each start.
        """
        self._tasks.append(asyncio.create_task(self._supervise(name, run)))

    def run_step(self, name: str, step: Callable[[], None]) -> None:
        """Run one step of a periodic task; a failure is logged and counted."""
        try:
            step()
        except Exception:
            self._note_failure(name)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            started_at = monotonic()
            try:
                await run()
                if self._may_end():
                    return
                _LOG.critical("task ended", extra={"task": name})
                self.failures[name] += 1
            except Exception:
                self._note_failure(name)
            if monotonic() - started_at > SOUND_S:
                pause_s = FIRST_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def _note_failure(self, name: str) -> None:
        self.failures[name] += 1
        extra = {"task": name, "failures": self.failures[name]}
        _LOG.critical("task failed", extra=extra, exc_info=True)
