"""Streams through an entry node to stand-in endpoints."""

import asyncio

import pytest

from poplarrelay.entry.http.connection import header_value
from poplarrelay.exception import ExchangeFailed
from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import (
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)

# In the site's configuration, streams of the route /draft/ can resume at another
# endpoint. Those of the route /brief/ cannot, and are sent to one endpoint only.


def test_events_are_passed_on_as_they_arrive():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", STREAMS, events=4, pause_s=0.2)
            await site.ready(endpoints=1)
            connection = await site.open("/draft/x")
            head = await connection.response_head()
            assert head.status == 200
            assert header_value(head.headers, b"content-type") == b"text/event-stream"
            first = await connection.body_part()
            assert first == runner.event_of(1)
            rest = await connection.body(100_000)
            assert rest == b"".join(runner.event_of(n) for n in (2, 3, 4))

    run_scenario(scenario)


def test_stream_continues_at_another_endpoint_after_its_last_complete_event():
    # The first endpoint stops in the middle of event 3. The caller gets one stream with
    # every event once and in order, and with the first endpoint's signature.
    async def scenario():
        async with run_entry_site() as site:
            runners = [
                await site.add_runner(f"r{i}", STREAMS, events=6) for i in (1, 2)
            ]
            await site.ready(endpoints=2)
            for runner in runners:
                runner.break_after = 3
            connection = await site.open("/draft/x")
            head = await connection.response_head()
            first = next(runner for runner in runners if runner.received)
            second = next(runner for runner in runners if runner is not first)
            second.break_after = None
            body = await connection.body(100_000)
            assert body == b"".join(first.event_of(n) for n in range(1, 7))
            signature = header_value(head.headers, b"x-poplarrelay-response-signature")
            assert signature == f"sig-{first.endpoint}".encode()
            assert second.ran[0].headers["last-event-id"] == "2"

    run_scenario(scenario)


def test_broken_stream_that_must_not_resume_looks_incomplete():
    # The endpoint stops in the middle of event 3 of a stream that must run only once.
    # The caller's answer must not look complete, and no other endpoint must run it.
    async def scenario():
        async with run_entry_site() as site:
            runners = [
                await site.add_runner(f"r{i}", STREAMS, events=6, break_after=3)
                for i in (1, 2)
            ]
            await site.ready(endpoints=2)
            connection = await site.open("/brief/x")
            await connection.response_head()
            with pytest.raises(ExchangeFailed):
                await connection.body(100_000)
            assert sum(len(runner.ran) for runner in runners) == 1

    run_scenario(scenario)


def test_caller_resumes_after_its_last_event_id():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", STREAMS, events=5)
            await site.ready(endpoints=1)
            answer = await site.call("/draft/x", Last_Event_Id="3")
            assert answer.body == runner.event_of(4) + runner.event_of(5)

    run_scenario(scenario)


def test_silent_stream_continues_at_another_endpoint():
    # An endpoint accepts a stream and sends nothing. A repeatable stream is sent to
    # another endpoint before the caller times out. The connection to the first endpoint
    # is closed, so that the endpoint stops working on the stream.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", STREAMS) for i in (1, 2)]
            await site.ready(endpoints=2)
            for runner in runners:
                runner.faults.append(Fault.HANG)
            connection = await site.open("/draft/x")
            await poll_until(lambda: any(runner.received for runner in runners))
            hanging = next(runner for runner in runners if runner.received)
            healthy = next(runner for runner in runners if runner is not hanging)
            healthy.faults.clear()
            async with asyncio.timeout(10):
                response = await connection.complete_response(100_000)
            assert response.status == 200
            assert len(healthy.ran) == 1
            await poll_until(lambda: not hanging._writers, "first connection closed")

    run_scenario(scenario)


def test_endpoint_connection_closes_when_the_caller_disconnects():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", STREAMS, events=200, pause_s=0.02)
            await site.ready(endpoints=1)
            connection = await site.open("/draft/x")
            await connection.response_head()
            connection.abort()
            await poll_until(
                lambda: runner.disconnected_attempts, "stream cut at the endpoint"
            )

    run_scenario(scenario)


def test_prompts_with_a_shared_part_go_to_one_endpoint():
    # Twenty requests share a long prefix. It is prefilled only once if all of them go
    # to the endpoint that has it in its cache.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", STREAMS) for i in (1, 2, 3)]
            await site.ready(endpoints=3)
            for number in range(20):
                # Each entry is hash:tokens of a prompt part; only the last differs.
                answer = await site.call(
                    "/draft/x",
                    X_Poplarrelay_Prefix_Hash=f"aa:500,bb:4000,{number:x}1:90",
                )
                assert answer.status == 200
            assert sorted(len(runner.ran) for runner in runners) == [0, 0, 20]

    run_scenario(scenario)
