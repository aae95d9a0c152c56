"""Show five kinds of request, a reclaim and a stop of a node on the users' platform.

Two entry nodes run as separate processes in front of stand-ins for the platform's
store, API and endpoints. The exit code is 0 only if every answer is complete and every
booking runs once.
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
    """Print a result and record whether it is correct."""
    checks.append(good)
    print(f"  {'ok ' if good else 'BAD'}  {what}", flush=True)


def step(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n{text}", flush=True)


async def show_streams(site: EntrySite) -> None:
    """Show three kinds of streams."""
    for number, (name, path) in enumerate(
        (
            ("A long draft, which can resume at another endpoint", "/draft/packet"),
            ("A summary, which must run only once", "/brief/notes"),
            ("A short tag", "/draft/tag"),
        ),
        1,
    ):
        step(f"{number}. {name}")
        answer = await site.call(path)
        runner = next(iter(site.runners.values()))
        expected = b"".join(runner.event_of(n) for n in range(1, 41))
        check(f"status {answer.status}, 40 events", answer.body == expected)


async def show_calls(site: EntrySite) -> None:
    """Show a booking and a reminder, each with an endpoint that fails."""
    step("4. A seat booking whose endpoint resets the connection: sent only once")
    for runner in site.runners.values():
        runner.faults.append(Fault.RESET)
    answer = await site.call("/book/seat")
    check(f"status {answer.status}: the booking may have run", answer.status == 502)
    runs = [r for runner in site.runners.values() for r in runner.ran]
    bookings = [r for r in runs if r.target == "/book/seat"]
    check(f"{len(bookings)} endpoint ran it", len(bookings) == 1)
    for runner in site.runners.values():
        runner.faults.clear()
    step("5. A reminder whose first endpoint resets the connection: sent to another")
    desks = [r for name, r in site.runners.items() if name.startswith("desk")]
    desks[0].faults.append(Fault.RESET)
    answers = [await site.call("/look/reminder", node=node) for node in "ab" * 2]
    check("all answered", [a.status for a in answers] == [200] * 4)


async def show_reclaim(site: EntrySite) -> None:
    """Show a stream that resumes when its endpoint is reclaimed."""
    step("An endpoint is reclaimed under a live stream")
    connection = await site.open("/draft/reclaimed")
    await connection.response_head()
    started = await connection.body_part()
    reclaimed = next(r for r in site.runners.values() if r.events and r.busy)
    site.list_runner(reclaimed.endpoint, STREAMS, state="draining")
    await asyncio.sleep(0.3)
    reclaimed.stop()
    rest = await connection.body(1_000_000)
    resuming = next(r for r in site.runners.values() if r.events and r is not reclaimed)
    expected = b"".join(resuming.event_of(n) for n in range(1, 41))
    check("one stream of 40 events to the caller", (started or b"") + rest == expected)
    resumed = [r for r in resuming.ran if "last-event-id" in r.headers]
    after = [int(r.headers["last-event-id"]) for r in resumed]
    check(
        f"the stream resumed once, after event {after}",
        len(after) == 1 and 0 < after[0] < 40,
    )


async def show_stop(site: EntrySite) -> None:
    """Show a graceful stop of a node."""
    step("A node is stopped gracefully under a live stream")
    connection = await site.open("/draft/last", node="b")
    await connection.response_head()
    node = site.processes["b"]
    node.signal(signal.SIGTERM)
    body = await connection.body(1_000_000)
    check("the stream ends complete", body.endswith(b"data: token 40\n\n"))
    code = await node.process.wait()
    check(f"exit code {code}, nothing cut off", code == 0)


async def run_demonstration() -> None:
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
    asyncio.run(run_demonstration())
    print(f"\n{sum(checks)} of {len(checks)} checks passed", flush=True)
    return 0 if all(checks) else 1


if __name__ == "__main__":
    sys.exit(main())
