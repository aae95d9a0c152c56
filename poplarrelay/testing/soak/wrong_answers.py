"""Endpoints that send bytes which are not the answer to the request in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from poplarrelay.standins.users.runner import Fault, RunnerStandIn

if TYPE_CHECKING:
    from poplarrelay.testing.soak.run import SoakRun

__all__ = ["answer_wrongly"]

_ID = b"X-Poplarrelay-Attempt-Id: {id}\r\n"
_NOT_RUN = b"X-Poplarrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
_SIGNED = b"X-Poplarrelay-Response-Signature: s\r\n"
#: Responses in place of an answer.
SPOILED = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nspoiled",
    b"HTTP/1.1 200 OK\r\n" + _ID + b"Content-Length: 7\r\n\r\nspoiled",
    b"HTTP/1.1 503 Full\r\n" + _NOT_RUN,
    b"HTTP/1.1 421 Other\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Poplarrelay-Attempt-Id: other\r\n"
    + _SIGNED
    + b"Content-Length: 7\r\n\r\nspoiled",
)
#: Responses behind an answer, where the next one on the connection is due.
LATE = (
    SPOILED[0],
    b"HTTP/1.1 503 Full\r\n" + _ID + _NOT_RUN,
    b"HTTP/1.1 421 Other\r\n" + _ID + b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + _ID + _SIGNED + b"Content-Length: 4\r\n\r\nlate",
)
#: Attempts of a route that the fault concerns, enough to reach an endpoint twice.
ATTEMPTS = 5
#: Successive requests that all endpoints reject, and longest gap in seconds between two
#: changes of what an endpoint sends.
REJECTIONS, MAX_GAP_S = 2, 0.15


async def answer_wrongly(run: SoakRun, rng: Random, duration_s: float) -> None:
    """Spoil and double answers, and end streams inside an event.

    Parameters
    ----------
    run : SoakRun
        The run.
    rng : random.Random
        Source of the random choices.
    duration_s : float
        Seconds until the end of the fault.
    """
    names = sorted(run.listed)
    affected = [run.site.runners[n] for n in rng.sample(names, len(names) // 2)]
    end = monotonic() + duration_s
    with _more_attempts(run):
        while monotonic() < end:
            for runner in affected:
                _disturb(runner, rng)
            if rng.random() < 0.5:
                for name in run.listed:
                    run.site.runners[name].faults.extend([Fault.SHED] * REJECTIONS)
            await asyncio.sleep(rng.uniform(0, MAX_GAP_S))
    for runner in affected:
        runner.raw_answers.clear()
        runner.late_answers.clear()
        runner.break_after, runner.break_ends_body = None, False


def _disturb(runner: RunnerStandIn, rng: Random) -> None:
    runner.raw_answers[:] = rng.choices(SPOILED, k=rng.choice((0, 0, 1)))
    runner.late_answers[:] = rng.choices(LATE, k=rng.choice((0, 1, 2)))
    if runner.events:
        runner.break_ends_body = True
        runner.break_after = rng.choice((None, rng.randint(1, runner.events)))


@contextmanager
def _more_attempts(run: SoakRun) -> Iterator[None]:
    """Publish a configuration with more attempts, and the former one at the end."""
    former, run.max_attempts = run.max_attempts, {"pay": ATTEMPTS}
    run.publish()
    try:
        yield
    finally:
        run.max_attempts = former
        run.publish()
