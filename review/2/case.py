"""Streams that callers take up again after a kill of all nodes are refused.

All runners have one software version. All nodes are killed at the same moment and start
again. Each caller takes its broken stream up again once, some seconds later.
"""

from __future__ import annotations

import asyncio
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import (
    BROKEN,
    CONTACT_S,
    HELD,
    NOT_RUN,
    TROUBLE,
    Record,
    ReviewSite,
    main,
    run_site,
)

from poplarrelay.entry.events import EventSplitter
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import STREAMS, entry_configuration

NODES = "abcdef"
RUNNERS = 6
#: Events of a stream, and seconds before each: a long report of 12 s.
EVENTS, PAUSE_S = 80, 0.15
DEADLINE_S = 15.0
#: Streams that run at the kill, and that begin after it.
STREAMS_BEFORE, STREAMS_AFTER = 40, 24
#: Seconds from the first stream to the kill.
KILL_AFTER_S = 3.0
#: Seconds after which a caller takes its broken stream up again, once: from, to.
RETRY_PAUSE_S = (1.0, 8.0)
MIN_STREAMS = 12


def configure(site: ReviewSite) -> None:
    """Write the example configuration with the deadline of long reports."""
    routes = entry_configuration()["routes"]
    for route in routes:
        if route.get("resumable"):
            route.update(timeoutMs=1000 * DEADLINE_S, targetLatencyMs=1000)
    site.configure(1, routes=routes)


@dataclass
class Caller:
    """Caller of one stream over all its tries.

    Attributes
    ----------
    tries : list of tuple of float, str, int and int
        Time, node, status and events of each try.
    """

    site: ReviewSite
    record: Record
    number: int
    tries: list[tuple[float, str, int, int]] = field(default_factory=list)
    last_id: bytes | None = None
    stream: str = ""
    complete: bool = False

    async def ask(self, node: str) -> None:
        """Ask a node for the stream, or for what follows the last event."""
        at, status, count = monotonic(), 0, 0
        request = f"stream-{self.number}-{len(self.tries)}"
        headers = {"X_Poplarrelay_Attempt_Id": request}
        left_s = DEADLINE_S - (at - self.tries[0][0] if self.tries else 0.0)
        headers["X_Poplarrelay_Deadline_Ms"] = f"{1000 * left_s:.0f}"
        if self.last_id is not None:
            headers["Last_Event_Id"] = self.last_id.decode()
            headers["Resumes"] = self.stream
        splitter = EventSplitter()
        try:
            connection = await self.site.open(
                f"/draft/{self.number}", node, b"report", **headers
            )
            try:
                async with asyncio.timeout(left_s):
                    status = (await connection.response_head()).status
                    while status == 200:
                        part = await connection.body_part()
                        if part is None:
                            self.complete = True
                            break
                        events = splitter.feed(part)
                        count += events.count
                        if events.count and self.last_id is None:
                            self.stream = request
                        self.last_id = events.last_id or self.last_id
            finally:
                connection.abort()
        except (ExchangeFailed, TimeoutError, OSError):
            pass
        self.tries.append((at, node, status, count))
        resumes = headers.get("Resumes", "-")
        self.record.note(
            f"{request} sent at {self.record.at(at):.3f} to {node}, resumes {resumes}: "
            f"answer {status}, {count} events, complete {self.complete}"
        )

    async def run(self) -> None:
        """Ask, and take the stream up again at another node if it breaks."""
        rng = random.Random(self.number)
        await self.ask(NODES[self.number % len(NODES)])
        if not self.complete:
            await asyncio.sleep(rng.uniform(*RETRY_PAUSE_S))
            await self.ask(rng.choice(NODES))


async def kill_all(site: ReviewSite, record: Record) -> dict[str, float]:
    """Kill all nodes at once and start them again; return the times of their starts."""
    for name in NODES:
        site.processes[name].process.kill()
    record.note("all nodes are killed")
    await asyncio.gather(*(site.start_again(name) for name in NODES))
    started_at = dict.fromkeys(NODES, monotonic())
    record.note("all nodes are started again")
    await asyncio.gather(*(site.wait_ready(name) for name in NODES))
    record.note("all nodes are ready")
    return started_at


async def case(record: Record) -> int:
    """Run the case."""
    async with run_site(configure) as site:
        for index in range(RUNNERS):
            await site.add_runner(f"r{index}", STREAMS, events=EVENTS, pause_s=PAUSE_S)
        await site.start_nodes(NODES)
        beats = asyncio.create_task(site.beat(STREAMS))
        await asyncio.sleep(CONTACT_S + 1)
        before = [Caller(site, record, number) for number in range(STREAMS_BEFORE)]
        tasks = [asyncio.create_task(caller.run()) for caller in before]
        await asyncio.sleep(KILL_AFTER_S)
        started_at = dict.fromkeys(NODES, monotonic() - CONTACT_S)
        if TROUBLE:
            started_at = await kill_all(site, record)
            await asyncio.sleep(CONTACT_S)
        after = [Caller(site, record, 100 + n) for n in range(STREAMS_AFTER)]
        for caller in after:
            tasks.append(asyncio.create_task(caller.run()))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        beats.cancel()
        site.note_runs(record)

        def in_touch(at: float, node: str) -> bool:
            return at >= started_at[node] + CONTACT_S

        new = [c.tries[0][3] > 0 for c in after if in_touch(*c.tries[0][:2])]
        taken_up = [
            any(count for *_, count in tries)
            for caller in before
            if (tries := [t for t in caller.tries[1:] if in_touch(*t[:2])])
        ]
        record.note(f"new streams at machines in touch: {sum(new)} of {len(new)} begin")
        record.note(
            f"streams taken up at machines in touch: {sum(taken_up)} of "
            f"{len(taken_up)} go on"
        )
        if not TROUBLE:
            return HELD if all(caller.complete for caller in before) else BROKEN
        if min(len(new), len(taken_up)) < MIN_STREAMS:
            return NOT_RUN
        share_new, share = sum(new) / len(new), sum(taken_up) / len(taken_up)
        return BROKEN if share < 0.5 * share_new else HELD


main(case, Path(__file__).resolve().parent)
