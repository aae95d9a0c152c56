"""Timeouts that do not expire only because the process itself was paused."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ["within"]

#: Length in seconds of the last part of a timeout. After a longer pause of the process,
#: data that has arrived is read in this time.
CATCH_UP_S = 0.01

ResultT = TypeVar("ResultT")


async def within(timeout_s: float, awaitable: Awaitable[ResultT]) -> ResultT:
    """Return the result of an awaitable, or cancel it after a timeout.

    Parameters
    ----------
    timeout_s : float
        Timeout in seconds.
    awaitable : awaitable
        Awaitable to wait for.

    Raises
    ------
    TimeoutError
        If there is no result within the timeout.

    Notes
    -----
    After a pause of the process, the event loop runs the due timers before all
    callbacks for data in its sockets have run. `asyncio.timeout` then discards answers
    that have already arrived. Here the last part of the timeout starts only when the
    process runs again.
    """
    future = asyncio.ensure_future(awaitable)
    final_s = min(CATCH_UP_S, timeout_s)
    try:
        await asyncio.wait([future], timeout=timeout_s - final_s)
        if not future.done():
            await asyncio.wait([future], timeout=final_s)
        if future.done():
            return future.result()
        raise TimeoutError(f"no result within {timeout_s} s")
    finally:
        future.cancel()
