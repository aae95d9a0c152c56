"""Answers and streams with neither a length nor chunks."""

import pytest

from poplarrelay.exception import ExchangeFailed
from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import CALLS, STREAMS, run_entry_site, run_scenario

EVENTS = 6


def test_whole_answer_without_a_length_is_passed_on():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS, framed=False)
            await site.ready(endpoints=1)
            for path in ("/look/x", "/book/x"):
                answer = await site.call(path, X_Poplarrelay_Attempt_Id="one")
                assert answer.status == 200
                assert answer.body == runner.body_of("one")

    run_scenario(scenario)


@pytest.mark.parametrize("use_links", [False, True])
def test_reset_answer_without_a_length_is_not_passed_on(use_links):
    # Guards against a part of an answer that looks whole.
    async def scenario():
        async with run_entry_site(use_links=use_links) as site:
            runner = await site.add_runner("r1", CALLS, framed=False)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.RESET_UNFRAMED)
            assert (await site.call("/book/x")).status == 502
            assert len(runner.ran) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/draft/x", "/brief/x"])
def test_whole_stream_without_chunks_is_passed_on(path):
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", STREAMS, events=EVENTS, framed=False)
            await site.ready(endpoints=1)
            answer = await site.call(path)
            assert answer.body == b"".join(map(runner.event_of, range(1, EVENTS + 1)))

    run_scenario(scenario)


def test_stream_without_chunks_that_ends_inside_an_event_goes_on_elsewhere():
    # Guards against a broken stream that is taken as whole.
    async def scenario():
        async with run_entry_site() as site:
            runners = [
                await site.add_runner(f"r{n}", STREAMS, events=EVENTS, framed=False)
                for n in (1, 2)
            ]
            await site.ready(endpoints=2)
            for runner in runners:
                runner.break_after = 3
            connection = await site.open("/draft/x")
            await connection.response_head()
            first = next(runner for runner in runners if runner.received)
            for runner in runners:
                runner.break_after = 3 if runner is first else None
            body = await connection.body(100_000)
            assert body == b"".join(map(first.event_of, range(1, EVENTS + 1)))

    run_scenario(scenario)


@pytest.mark.parametrize("event", [1, 3])
def test_stream_without_chunks_that_ends_inside_an_event_looks_broken_off(event):
    # Guards against a caller that takes a part of a stream for the whole one.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner(
                "r1", STREAMS, events=EVENTS, framed=False, break_after=event
            )
            await site.ready(endpoints=1)
            if event == 1:
                assert (await site.call("/brief/x")).status == 502
            else:
                with pytest.raises(ExchangeFailed):
                    await site.call("/brief/x")
            assert len(runner.ran) == 1

    run_scenario(scenario)


def test_stream_without_chunks_and_without_events_is_no_whole_stream():
    # Guards against an endpoint that crashes after the head of its answer.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", STREAMS, framed=False, crash_parts={"bad"})
            await site.ready(endpoints=1)
            prefix = "bad:10,own:10"
            answer = await site.call("/brief/x", X_Poplarrelay_Prefix_Hash=prefix)
            assert answer.status == 502

    run_scenario(scenario)
