"""A part that crashes runners makes the nodes refuse all sound prompts.

Light traffic: two sound prompts a second, which share the system prompt as their first
part. Two prompts with a part that crashes runners come at once, then one every 1.5 s.
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

from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import STREAMS

NODES = "abcd"
RUNNERS = 8
#: Seconds from a crash until the next run of a runner.
RECOVERY_S = 2.0
#: Seconds between two sound prompts, and between two bad ones.
SOUND_EVERY_S, BAD_EVERY_S = 0.5, 1.5
#: Seconds before the first bad prompt, and from then until the last one.
BEFORE_S, WITH_BAD_S = 13.0, 20.0
DEADLINE_S = 3.0
#: Part that all prompts share, and number of the parts that some share.
SYSTEM_PART, SUBJECTS = "5c1e07a2", 59
BAD_PART = "0bad0bad"
#: Crash from which the rule counts, and prompts that it needs.
COUNTED_CRASH, MIN_PROMPTS = 5, 20


@dataclass
class Load:
    """Prompts to all nodes, and what their callers got.

    Attributes
    ----------
    sound, bad : list of tuple of float and bool
        Time of each first try, and whether its stream began.
    """

    site: ReviewSite
    record: Record
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    sound: list[tuple[float, bool]] = field(default_factory=list)
    bad: list[tuple[float, bool]] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def ask(self, request: str, number: int, node: str, part: str) -> int:
        """Send a prompt; return the status, negative if the stream broke off."""
        status = events = 0
        at = self.record.at(monotonic())
        try:
            connection = await self.site.open(
                f"/draft/{number}",
                node,
                f"prompt {number}".encode(),
                X_Poplarrelay_Attempt_Id=request,
                X_Poplarrelay_Model="m",
                X_Poplarrelay_Token_Usage="912,20",
                X_Poplarrelay_Prefix_Hash=(
                    f"{SYSTEM_PART}:512,{part}:300,{number:08x}:100"
                ),
                X_Poplarrelay_Deadline_Ms=f"{1000 * DEADLINE_S:.0f}",
            )
            try:
                async with asyncio.timeout(DEADLINE_S):
                    status = (await connection.response_head()).status
                    while (data := await connection.body_part()) is not None:
                        events += data.count(b"\n\n")
            finally:
                connection.abort()
        except (ExchangeFailed, TimeoutError, OSError):
            status = -status
        self.record.note(
            f"{request} sent at {at:.3f} to {node}: answer {status}, {events} events"
        )
        return status

    async def _send_sound(self, number: int) -> None:
        at, node = monotonic(), NODES[number % len(NODES)]
        subject = f"{self.rng.randrange(SUBJECTS):08x}"
        status = await self.ask(f"sound-{number}", number, node, subject)
        self.sound.append((at, status == 200))
        self.ended.set()

    async def _send_bad(self, number: int, node: str) -> None:
        """Send a bad prompt, and once more at the next node unless it is refused."""
        at = monotonic()
        status = await self.ask(f"bad-{number}", number, node, BAD_PART)
        self.bad.append((at, status == 200))
        if status in (200, 503):
            return
        following = NODES[(NODES.index(node) + 1) % len(NODES)]
        await self.ask(f"bad-{number}-again", number, following, BAD_PART)

    def _start(self, coroutine) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    async def run_sound(self, for_s: float) -> None:
        """Send sound prompts for some seconds."""
        end, number = monotonic() + for_s, 0
        while monotonic() < end:
            number += 1
            self._start(self._send_sound(number))
            await asyncio.sleep(SOUND_EVERY_S)

    async def run_bad(self, for_s: float) -> None:
        """Send bad prompts, the first two when a sound answer has just ended."""
        end, number = monotonic() + for_s, 100_000
        self.ended.clear()
        await self.ended.wait()
        self._start(self._send_bad(number, "a"))
        while monotonic() < end:
            number += 1
            self._start(self._send_bad(number, NODES[number % len(NODES)]))
            await asyncio.sleep(BAD_EVERY_S)


def judge(load: Load, record: Record) -> int:
    """Return whether the rule held: sound prompts begin half as often as before."""
    crashes = sorted(
        request.at
        for runner in load.site.runners.values()
        for request in runner.ran
        if f"{BAD_PART}:" in request.headers.get("x-poplarrelay-prefix-hash", "")
    )
    record.note(f"bad prompts ran at {[round(record.at(at), 2) for at in crashes]}")
    first, last = load.bad[0][0], max(at for at, _ in load.bad)
    before = [began for at, began in load.sound if at < first]
    since = first
    if TROUBLE:
        if not crashes:
            return NOT_RUN
        since = crashes[min(COUNTED_CRASH, len(crashes)) - 1] + 2 * CONTACT_S
    after = [began for at, began in load.sound if since <= at <= last]
    record.note(f"sound prompts before: {sum(before)} of {len(before)} began")
    record.note(
        f"sound prompts from {record.at(since):.2f} to {record.at(last):.2f}: "
        f"{sum(after)} of {len(after)} began at the first try"
    )
    if min(len(before), len(after)) < MIN_PROMPTS:
        return NOT_RUN
    share_before, share_after = sum(before) / len(before), sum(after) / len(after)
    return BROKEN if share_after < 0.5 * share_before else HELD


async def case(record: Record) -> int:
    """Run the case."""
    async with run_site(lambda site: site.configure(1)) as site:
        crash_parts = {BAD_PART} if TROUBLE else set()
        for index in range(RUNNERS):
            name = f"r{index}"
            await site.add_runner(
                name, STREAMS, events=4, pause_s=0.03, crash_parts=crash_parts
            )
            site.restart_after_crash(name, STREAMS, RECOVERY_S)
        await site.start_nodes(NODES)
        beats = asyncio.create_task(site.beat(STREAMS))
        await asyncio.sleep(CONTACT_S + 1)
        load = Load(site, record)
        sound = asyncio.create_task(load.run_sound(BEFORE_S + WITH_BAD_S))
        await asyncio.sleep(BEFORE_S)
        await load.run_bad(WITH_BAD_S)
        await sound
        await asyncio.gather(*load.tasks)
        beats.cancel()
        site.note_runs(record)
        return judge(load, record)


main(case, Path(__file__).resolve().parent)
