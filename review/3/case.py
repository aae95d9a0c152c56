"""A raised limit on bodies does not reach connections that callers keep.

Callers book over kept connections. The operator raises `maxBodyBytes` and
`maxHeaderBytes`; seconds later the callers send larger bodies on the same connections.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import (
    BROKEN,
    CONTACT_S,
    HELD,
    TROUBLE,
    Record,
    ReviewSite,
    main,
    run_site,
)

from poplarrelay.entry.http.connection import Connection
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import CALLS

NODES = "abcd"
CALLERS = 40
#: `maxBodyBytes` before and after the change, and size of the later bodies.
SMALL_LIMIT, LARGE_LIMIT = 4096, 65_536
SMALL_BODY, LARGE_BODY = 1000, 10_000
#: `idleTimeoutMs`; callers use connections again within four fifths of it.
IDLE_TIMEOUT_MS = 15_000
#: `configApplyMs` of the small sites, and the wait from the acknowledgement until the
#: larger bodies are sent, in seconds.
CONFIG_APPLY_S, WAIT_S = 2.0, 5.0
#: Statuses of the system's own that the rule does not count.
ALLOWED = (408, 421, 429)


def configure(site: ReviewSite, version: int, max_body_bytes: int) -> None:
    """Write a configuration with a limit on bodies."""
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": max_body_bytes,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": IDLE_TIMEOUT_MS,
    }
    site.configure(version, limits=limits)


async def book(
    site: ReviewSite, record: Record, connection: Connection, request: str, size: int
) -> tuple[int, bool]:
    """Send a booking on a kept connection; return its status and if a runner signed."""
    headers = site.headers(X_Poplarrelay_Attempt_Id=request)
    headers.append((b"Content-Length", str(size).encode()))
    status, signed = 0, False
    at = record.at(monotonic())
    try:
        async with asyncio.timeout(5.0):
            connection.send(b"POST", b"/book/seat", headers, b"x" * size)
            answer = await connection.complete_response(100_000)
        status = answer.status
        names = {name.lower() for name, _ in answer.headers}
        signed = b"x-poplarrelay-response-signature" in names
        connection.prepare_reuse(answer.headers, monotonic())
    except (ExchangeFailed, TimeoutError) as error:
        record.note(f"{request}: {error!r}")
    record.note(
        f"{request}, {size} bytes, sent at {at:.3f}: answer {status}, signed {signed}"
    )
    return status, signed


async def case(record: Record) -> int:
    """Run the case."""
    async with run_site(lambda site: configure(site, 1, SMALL_LIMIT)) as site:
        if not TROUBLE:
            configure(site, 1, LARGE_LIMIT)
        for index in range(4):
            await site.add_runner(f"r{index}", CALLS, pause_s=0.02)
        await site.start_nodes(NODES)
        beats = asyncio.create_task(site.beat(CALLS))
        await asyncio.sleep(CONTACT_S + 1)
        connections = [
            await Connection.open(*site.address(NODES[n % len(NODES)]), 2.0)
            for n in range(CALLERS)
        ]
        answers = []
        for number, connection in enumerate(connections):
            request = f"first-{number}"
            answers.append(await book(site, record, connection, request, SMALL_BODY))
        if TROUBLE:
            configure(site, 2, LARGE_LIMIT)
            record.note(f"version 2 acknowledged: maxBodyBytes {LARGE_LIMIT}")
        await asyncio.sleep(WAIT_S)
        for number, connection in enumerate(connections):
            request = f"second-{number}"
            answers.append(await book(site, record, connection, request, LARGE_BODY))
        beats.cancel()
        site.note_runs(record)
        denied = Counter(
            status
            for status, signed in answers
            if 300 <= status < 500 and not signed and status not in ALLOWED
        )
        ran = sum(len(runner.ran) for runner in site.runners.values())
        record.note(f"{len(answers)} requests, {ran} run, denied: {dict(denied)}")
        allowed = 5 + len(answers) / 500
        return BROKEN if denied.total() > allowed else HELD


main(case, Path(__file__).resolve().parent)
