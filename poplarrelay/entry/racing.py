"""Staggered attempts of which the first success is used."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

__all__ = ["first_success"]

#: Seconds after the start of the next attempt was due in which a result that has
#: arrived meanwhile is still used. After a pause of the process, timers run first.
CATCH_UP_S = 0.005

ResultT = TypeVar("ResultT")


async def first_success(
    attempts: Sequence[Callable[[], Coroutine[Any, Any, ResultT]]],
    stagger_s: float,
    discard: Callable[[ResultT], None],
    is_final: Callable[[Exception], bool] = lambda error: False,
) -> ResultT:
    """Return the first result of several attempts.

    Each attempt starts when the one before has failed or has taken `stagger_s`.

    Parameters
    ----------
    attempts : sequence of callable
        Functions that start an attempt.
    stagger_s : float
        Seconds between the starts of attempts.
    discard : callable
        Called with the result of an attempt that was not the first.
    is_final : callable
        Returns whether an error ends all attempts.

    Raises
    ------
    ExceptionGroup
        If all attempts fail; it has their errors. A final error is raised as it is.
    """
    running: set[asyncio.Task[ResultT]] = set()
    errors: list[Exception] = []
    waiting = list(attempts)
    try:
        while waiting or running:
            if waiting:
                running.add(asyncio.create_task(waiting.pop(0)()))
            done = await _wait(running, stagger_s if waiting else None)
            for task in done:
                error = task.exception()
                if error is None:
                    running.discard(task)
                    return task.result()
                if not isinstance(error, Exception) or is_final(error):
                    raise error
                errors.append(error)
            running -= done
        raise ExceptionGroup("all attempts failed", errors)
    finally:
        for task in running:
            if not task.cancel() and not task.cancelled() and task.exception() is None:
                discard(task.result())


async def _wait(
    tasks: set[asyncio.Task[ResultT]], timeout_s: float | None
) -> set[asyncio.Task[ResultT]]:
    """Wait for the first task, and return those that are done."""
    first = asyncio.FIRST_COMPLETED
    done, _ = await asyncio.wait(tasks, timeout=timeout_s, return_when=first)
    if not done and timeout_s is not None:
        done, _ = await asyncio.wait(tasks, timeout=CATCH_UP_S, return_when=first)
    return done
