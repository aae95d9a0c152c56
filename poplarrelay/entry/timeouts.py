"""Timeouts that do not expire by the process's own standstill."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ["within"]

#: Seconds at the end of a timeout, or after a standstill that lasts longer, in which
#: what has arrived is read.
CATCH_UP_S = 0.01

ResultT = TypeVar("ResultT")


async def within(timeout_s: float, awaitable: Awaitable[ResultT]) -> ResultT:
    """Return what an awaitable comes to, or cancel it after a time.

    Parameters
    ----------
    timeout_s : float
        Seconds to wait.
    awaitable : awaitable
        What to wait for.

    Raises
    ------
    TimeoutError
        If it takes longer.

    Notes
    -----
    After a standstill the event loop runs due timers before the callbacks that follow
    from what lies in its sockets, so `asyncio.timeout` gives up answers that are there
    already. So the last part of the time begins only when the process runs.
    """
    future = asyncio.ensure_future(awaitable)
    last_s = min(CATCH_UP_S, timeout_s)
    try:
        await asyncio.wait([future], timeout=timeout_s - last_s)
        if not future.done():
            await asyncio.wait([future], timeout=last_s)
        if future.done():
            return future.result()
        raise TimeoutError(f"no result within {timeout_s} s")
    finally:
        future.cancel()
