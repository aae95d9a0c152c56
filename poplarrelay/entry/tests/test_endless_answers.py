"""Nodes beside endpoints, a store and a cloud API that send bytes without end."""

import asyncio
from collections import Counter
from time import monotonic

import pytest

from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.floods import Flood
from poplarrelay.standins.users.runner import Fault
from poplarrelay.standins.users.store import StoreListener
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)

pytestmark = pytest.mark.processes

#: Seconds after its route's time-out by which a request must have its final answer.
LATE_S = 0.5
#: Seconds between two calls.
GAP_S = 0.05
CALL_TIMEOUT_S = 1.5
#: Calls of one test, and by how many fewer may be served than beside resets.
CALLS_IN_TURN, MAX_DIFFERENCE = 40, 4


async def call_in_turn(site, path, count):
    """Send calls one after the other; return their statuses and longest time."""
    statuses, longest_s = [], 0.0
    for _ in range(count):
        started_at = monotonic()
        statuses.append((await site.call(path)).status)
        longest_s = max(longest_s, monotonic() - started_at)
        await asyncio.sleep(GAP_S)
    return statuses, longest_s


def longest_lines(node):
    """Return the three log lines of a node that state the longest times."""
    lines = [line for line in node.lines() if "took_ms" in line]
    return sorted(lines, key=lambda line: line["took_ms"])[-3:]


async def call_beside(site, path, folder, flood, own_answer):
    """Call a node beside two endpoints in trouble, which flood or reset their calls."""
    for name in ("bad1", "bad2"):
        runner = await site.add_runner(name, CALLS)
        runner.flood, runner.floods_own_answer = flood, own_answer
        runner.faults.extend([Fault.RESET] * CALLS_IN_TURN)
    for name in ("r1", "r2"):
        await site.add_runner(name, CALLS)
    await site.start_process("a", folder)
    statuses, longest_s = await call_in_turn(site, path, CALLS_IN_TURN)
    assert longest_s < CALL_TIMEOUT_S + LATE_S
    return Counter(statuses)[200]


@pytest.mark.parametrize("own_answer", [False, True])
@pytest.mark.parametrize("path", ["/look/x", "/book/x"])
@pytest.mark.parametrize(
    "flood", [Flood.INTERIM_RESPONSES, Flood.TINY_CHUNKS, Flood.HEADERS, Flood.BODY]
)
def test_endpoints_that_answer_without_end_are_avoided_as_resetting_ones(
    path, flood, own_answer, tmp_path
):
    # Guards against an endpoint in trouble that takes half of all calls.
    async def scenario():
        served = {}
        for trouble in (flood, None):
            folder = tmp_path / str(trouble)
            folder.mkdir()
            async with run_entry_site(nodes=0) as site:
                served[trouble] = await call_beside(
                    site, path, folder, trouble, own_answer
                )
        assert served[flood] >= served[None] - MAX_DIFFERENCE

    run_scenario(scenario)


@pytest.mark.parametrize("flood", [Flood.TINY_CHUNKS, Flood.BODY, Flood.EVENT])
def test_bytes_without_end_that_are_no_answer_end_at_their_head(flood, tmp_path):
    # Guards against a call that waits for the end of a body that is not its answer.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            runner = await site.add_runner("bad", CALLS)
            runner.flood, runner.floods_own_answer = flood, False
            await site.add_runner("r", CALLS)
            await site.start_process("a", tmp_path)
            statuses, _ = await call_in_turn(site, "/look/x", 20)
            assert set(statuses) == {200}
            statuses, longest_s = await call_in_turn(site, "/book/x", 20)
            assert set(statuses) == {200, 502}
            assert longest_s < CALL_TIMEOUT_S

    run_scenario(scenario)


@pytest.mark.parametrize("flood", [Flood.INTERIM_RESPONSES, Flood.TINY_CHUNKS])
def test_service_that_answers_without_end_does_not_delay_the_others(flood, tmp_path):
    # Guards against the event loop of a node that only parses such answers.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            for name in ("bad1", "bad2", "bad3"):
                runner = await site.add_runner(name, STREAMS)
                runner.flood = flood
            await site.add_runner("r", CALLS)
            await site.start_process("a", tmp_path)
            streams = [asyncio.create_task(site.call("/draft/x")) for _ in range(6)]
            statuses, longest_s = await call_in_turn(site, "/look/x", 40)
            assert set(statuses) == {200}
            assert longest_s < 0.3
            for answer in await asyncio.gather(*streams):
                assert answer.status in (502, 503, 504)

    run_scenario(scenario)


def test_event_without_end_breaks_its_stream_off(tmp_path):
    # Guards against memory that grows until the stream's deadline.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            runner = await site.add_runner("bad", STREAMS)
            runner.flood = Flood.EVENT
            node = await site.start_process("a", tmp_path)
            answer = await site.call("/brief/x")
            assert answer.status == 502
            await poll_until(lambda: "attempt" in node.messages())
            lines = [line for line in node.lines() if line["message"] == "attempt"]
            assert "event is larger than" in lines[0]["why"]

    run_scenario(scenario)


@pytest.mark.parametrize("flood", [Flood.INTERIM_RESPONSES, Flood.TINY_CHUNKS])
@pytest.mark.parametrize("server", ["store", "cloud"])
def test_node_serves_beside_a_store_or_cloud_that_answers_without_end(
    server, flood, tmp_path
):
    # Guards against dependencies in trouble that keep the event loop busy.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r", CALLS)
            node = await site.start_process("a", tmp_path)
            flooding: StoreListener | CloudStandIn
            flooding = site.store_listeners["a"] if server == "store" else site.cloud
            flooding.flood = flood
            statuses, longest_s = await call_in_turn(site, "/look/x", 40)
            assert set(statuses) == {200}
            assert longest_s < 0.3, longest_lines(node)
            flooding.flood = None
            site.configure(2)
            await poll_until(lambda: [x for x in node.lines() if x.get("version") == 2])
            assert node.process.returncode is None

    run_scenario(scenario)
