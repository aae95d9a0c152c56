"""Serve the users' platform: five kinds of request and a reclaim, and end.

Two entry nodes run as processes of their own, in front of stand-ins of the platform's
store, API and endpoints. Exit code 0 only if every answer was whole and every booking
ran once.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import CALLS, STREAMS, EntrySite, run_entry_site

checks: list[bool] = []


def check(what: str, good: bool) -> None:
    """Print what was seen and remember whether it was right."""
    checks.append(good)
    print(f"  {'ok ' if good else 'BAD'}  {what}", flush=True)


def step(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n{text}", flush=True)


async def show_streams(site: EntrySite) -> None:
    """Show three kinds of streams."""
    for number, (name, path) in enumerate(
        (
            ("A long draft, which may resume", "/draft/packet"),
            ("A summary, which may run only once", "/brief/notes"),
            ("A short tag", "/draft/tag"),
        ),
        1,
    ):
        step(f"{number}. {name}")
        answer = await site.call(path)
        runner = next(iter(site.runners.values()))
        whole = b"".join(runner.event_of(n) for n in range(1, 41))
        check(f"status {answer.status}, 40 events", answer.body == whole)


async def show_calls(site: EntrySite) -> None:
    """Show a booking and a reminder, both with a failing endpoint."""
    step("4. A seat booking whose endpoint breaks off: never sent twice")
    for runner in site.runners.values():
        runner.faults.append(Fault.RESET)
    answer = await site.call("/book/seat")
    check(f"status {answer.status}: it may have run", answer.status == 502)
    runs = [r for runner in site.runners.values() for r in runner.ran]
    bookings = [r for r in runs if r.target == "/book/seat"]
    check(f"{len(bookings)} endpoint ran it", len(bookings) == 1)
    for runner in site.runners.values():
        runner.faults.clear()
    step("5. A reminder whose first endpoint breaks off: sent to another")
    desk = [r for name, r in site.runners.items() if name.startswith("desk")]
    desk[0].faults.append(Fault.RESET)
    answers = [await site.call("/look/reminder", node=node) for node in "ab" * 2]
    check("all answered", [a.status for a in answers] == [200] * 4)


async def show_reclaim(site: EntrySite) -> None:
    """Show an endpoint that is taken away while it streams."""
    step("An endpoint is reclaimed under a live stream")
    connection = await site.open("/draft/reclaimed")
    await connection.response_head()
    started = await connection.body_part()
    victim = next(r for r in site.runners.values() if r.events and r.busy)
    site.list_runner(victim.endpoint, STREAMS, state="draining")
    await asyncio.sleep(0.3)
    victim.stop()
    rest = await connection.body(1_000_000)
    other = next(r for r in site.runners.values() if r.events and r is not victim)
    whole = b"".join(other.event_of(n) for n in range(1, 41))
    check("one stream of 40 events to the caller", (started or b"") + rest == whole)
    resumed = [r for r in other.ran if "last-event-id" in r.headers]
    after = [int(r.headers["last-event-id"]) for r in resumed]
    check(
        f"it went on once, after event {after}", len(after) == 1 and 0 < after[0] < 40
    )


async def show_stop(site: EntrySite) -> None:
    """Show a planned stop of a node."""
    step("A node is stopped in order under a live stream")
    connection = await site.open("/draft/last", node="b")
    await connection.response_head()
    node = site.processes["b"]
    node.signal(signal.SIGTERM)
    body = await connection.body(1_000_000)
    check("its stream ends whole", body.endswith(b"data: token 40\n\n"))
    code = await node.process.wait()
    check(f"exit code {code}, nothing cut off", code == 0)


async def play() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory() as folder:
        async with run_entry_site(nodes=0) as site:
            for name in ("engine-1", "engine-2"):
                await site.add_runner(name, STREAMS, events=40, pause_s=0.02)
            for name in ("desk-1", "desk-2"):
                await site.add_runner(name, CALLS)
            print("Starting 2 nodes in front of the platform's stand-ins ...")
            for name in "ab":
                await site.start_process(name, Path(folder))
            await show_streams(site)
            await show_calls(site)
            await show_reclaim(site)
            await show_stop(site)


def main() -> int:
    """Run the demonstration and return the exit code."""
    asyncio.run(play())
    print(f"\n{sum(checks)} of {len(checks)} checks were right", flush=True)
    return 0 if all(checks) else 1


if __name__ == "__main__":
    sys.exit(main())
