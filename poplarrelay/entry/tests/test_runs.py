"""Endpoints that restart under their id, and records of other writers."""

from __future__ import annotations

import asyncio

import pytest

from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)

R1 = EndpointId("r1")


def test_idle_connection_to_previous_run_is_not_reused():
    # An endpoint crashes and restarts at its address. A request over an idle connection
    # to the previous run would fail, and the caller could not tell whether it has run.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            site.list_runner("r1", CALLS, born=1000)
            await site.ready(endpoints=1)
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: rows[R1].started_ms == 1000)
            assert (await site.call("/pay/x")).status == 200
            again = await site.restart_runner("r1", CALLS)
            await poll_until(lambda: rows[R1].started_ms not in (None, 1000))
            for _ in range(3):
                assert (await site.call("/book/x")).status == 200
            assert len(again.ran) == 3

    run_scenario(scenario)


def test_request_at_previous_run_is_not_repeated_at_next_run():
    # An endpoint restarts during a request that must not be repeated. The new run has
    # no record of the request and would run it a second time.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            site.list_runner("r1", CALLS, born=1000)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.HANG)
            call = asyncio.create_task(site.call("/book/x"))
            await poll_until(lambda: runner.received)
            again = await site.restart_runner("r1", CALLS)
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: rows[R1].started_ms not in (None, 1000))
            assert (await call).status in (502, 504)
            assert not again.received

    run_scenario(scenario)


def test_stream_resumes_at_next_run():
    # The only endpoint restarts in the middle of a resumable stream. Guards against
    # lost and repeated events.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", STREAMS, events=12, pause_s=0.05)
            site.list_runner("r1", STREAMS, born=1000)
            await site.ready(endpoints=1)
            call = asyncio.create_task(site.call("/draft/x"))
            await poll_until(lambda: runner.received)
            await asyncio.sleep(0.2)
            await site.restart_runner("r1", STREAMS)
            answer = await call
            assert answer.status == 200
            numbers = [
                int(line.split(b":")[1])
                for line in answer.body.splitlines()
                if line.startswith(b"id:")
            ]
            assert numbers == sorted(set(numbers))
            assert len(numbers) == 12

    run_scenario(scenario)


@pytest.mark.parametrize("record", ["not a record", {"service": CALLS}, ["a"], 7])
def test_unreadable_records_remove_no_other_endpoint(record):
    # Another writer writes records under its own id and under the id of an endpoint.
    # Guards against nodes that reject all records because of one.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            for name in ("r1", "r2"):
                await site.add_runner(name, CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=2)
            site.store.put("keyed.servers", "x9", record)
            site.store.put("keyed.servers", "r1", record)
            site.store.put_raw("keyed.servers", b"\x07r2")
            states = [node.state for node in site.nodes.values()]
            await poll_until(
                lambda: all(set(s.endpoints.rows) == {"r2"} for s in states)
            )
            for name in site.nodes:
                assert (await site.call("/look/x", node=name)).status == 200
            site.list_runner("r1", CALLS)
            await poll_until(lambda: all(len(s.endpoints.rows) == 2 for s in states))

    run_scenario(scenario)


def test_restarted_endpoint_gets_one_request_for_previous_run():
    # An endpoint restarts at its address under another id, and the list still shows the
    # previous run. It refuses requests for that run immediately, so it seems idle.
    # Guards against all callers being sent there until the next read of the list.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            runners[0].endpoint = EndpointId("r9")
            answers = [await site.call("/pay/x") for _ in range(12)]
            refused = [a for a in answers if a.status != 200]
            assert len(refused) <= 1
            assert len(runners[0].received) <= 1

    run_scenario(scenario)


def test_ended_run_is_avoided_until_list_shows_next_run():
    # Guards against one more refused request each time an avoidance ends.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            runners[0].endpoint = EndpointId("r9")
            for _ in range(20):
                await site.call("/pay/x")
                await asyncio.sleep(0.06)
            assert len(runners[0].received) <= 1

    run_scenario(scenario)
