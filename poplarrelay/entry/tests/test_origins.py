"""Streams that begin at an endpoint whose next run is not listed yet."""

import asyncio
import time
from math import inf

import pytest

from poplarrelay.entry.origins import OriginCertainty, judge_origin
from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.testing.entry_site import (
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)
from poplarrelay.testing.resuming_callers import ask_nodes, make_callers

CALLERS = 16
SLOTS = 4 * CALLERS
EVENTS, EVENT_S = 40, 0.05


@pytest.mark.parametrize(
    ("connected_at", "listed_at", "current_until", "certainty"),
    [
        (1.0, 2.0, inf, OriginCertainty.CERTAIN),
        (2.0, 1.0, inf, OriginCertainty.OPEN),
        (2.0, 2.0, inf, OriginCertainty.OPEN),
        (1.0, 3.0, 2.0, OriginCertainty.CERTAIN),
        (2.0, 3.0, 2.0, OriginCertainty.DOUBTFUL),
        (2.5, 2.4, 2.0, OriginCertainty.DOUBTFUL),
    ],
)
def test_origin_is_certain_if_the_list_is_later_than_the_connection(
    connected_at, listed_at, current_until, certainty
):
    assert judge_origin(connected_at, listed_at, current_until) is certainty


async def start_unlisted(site, name, version):
    """Start the next run of an endpoint, with another version, without a record."""
    before = site.runners[name]
    port = int(before.address.rsplit(":", 1)[1])
    before.stop()
    label = f" of {version}"
    after = RunnerStandIn(
        name, before.host, events=EVENTS, pause_s=EVENT_S, label=label
    )
    await after.start(port)
    site.runners[name] = after
    return after


def versions_of(caller):
    events = [each for each in caller.content.split(b"\n\n") if each]
    return {event.partition(b"token ")[2].partition(b" ")[2] for event in events}


@pytest.mark.parametrize("listed_before_the_end", [True, False])
def test_stream_of_an_unlisted_run_does_not_go_on_at_the_version_before(
    listed_before_the_end,
):
    # Guards against streams of two versions, within one answer and over the tries.
    async def scenario():
        async with run_entry_site(2) as site:
            names = ["r-0", "r-1"]
            for name in names:
                await site.add_runner(name, STREAMS, events=EVENTS, pause_s=EVENT_S)
                site.list_runner(name, STREAMS, slots=SLOTS)
            for node in "ab":
                await site.ready(node, endpoints=2)
            second = await start_unlisted(site, "r-0", "2")
            callers = make_callers(site, CALLERS)
            running = asyncio.create_task(ask_nodes(callers, "ab"))
            await poll_until(lambda: all(caller.last_id for caller in callers))
            assert second.received
            born = time.time_ns() // 1_000_000
            if listed_before_the_end:
                site.list_runner("r-0", STREAMS, slots=SLOTS, version="2", born=born)
                await asyncio.sleep(EVENT_S)
            second.stop()
            if not listed_before_the_end:
                site.list_runner("r-0", STREAMS, slots=SLOTS, version="2", born=born)
            await running
            broken = [caller for caller in callers if caller.broken]
            assert broken
            await ask_nodes(broken, "ba", "again-")
            assert all(len(versions_of(caller)) == 1 for caller in callers)
            others = [c for c in callers if versions_of(c) != {b"of 2"}]
            assert all(caller.complete for caller in others)

    run_scenario(scenario)
