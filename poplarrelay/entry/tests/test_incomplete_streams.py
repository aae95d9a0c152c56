"""Streams whose endpoint ends the body regularly inside an event."""

import contextlib

import pytest

from poplarrelay.entry.answers import incomplete_stream
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import (
    STREAMS,
    hosts,
    poll_until,
    run_entry_site,
    run_scenario,
    wait_until_resolved,
)
from poplarrelay.testing.links import PathFault

EVENTS = 6
#: Ends inside an event: where, and how many bytes of it are sent.
ENDS = [(1, None), (3, None), (3, 2), (EVENTS, 2), (EVENTS, -1), (EVENTS, -2)]


#: Calls of a node whose path is lost, of which one must reach the endpoint.
MAX_CALLS = 20


async def add_breaking_runners(site, count, event, sent, **changes):
    """Start endpoints that end their streams inside an event."""
    runners = [
        await site.add_runner(
            f"r{number}",
            STREAMS,
            events=EVENTS,
            break_after=event,
            break_bytes=sent,
            break_ends_body=True,
            pause_s=0.03,
            **changes,
        )
        for number in range(1, count + 1)
    ]
    await site.ready(endpoints=count)
    return runners


@pytest.mark.parametrize(
    ("framed", "events", "inside", "complete"),
    [
        (True, 3, False, True),
        (True, 3, True, False),
        (True, 0, True, False),
        (True, 0, False, True),
        (False, 3, False, True),
        (False, 3, True, False),
        (False, 0, False, False),
    ],
)
def test_complete_stream_ends_between_events(framed, events, inside, complete):
    assert (incomplete_stream(framed, events, inside) is None) is complete


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize(("event", "sent"), ENDS)
def test_stream_that_ends_inside_an_event_goes_on_elsewhere(event, sent, line_end):
    # Guards against a broken stream that looks complete because its chunks are.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_breaking_runners(
                site, 2, event, sent, line_end=line_end
            )
            connection = await site.open("/draft/x")
            await poll_until(lambda: any(runner.received for runner in runners))
            for runner in runners:
                if not runner.received:
                    runner.break_after = None
            answer = await connection.complete_response(100_000)
            assert answer.body == b"".join(
                map(runners[0].event_of, range(1, EVENTS + 1))
            )
            assert sum(len(runner.ran) for runner in runners) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("states_length", [False, True])
@pytest.mark.parametrize(("event", "sent"), ENDS)
@pytest.mark.parametrize("path", ["/brief/x", "/draft/x"])
def test_stream_that_cannot_go_on_looks_broken_off(path, event, sent, states_length):
    # Guards against a caller that takes a part of a stream for the whole one.
    async def scenario():
        async with run_entry_site() as site:
            (runner,) = await add_breaking_runners(
                site, 1, event, sent, states_length=states_length
            )
            if event == 1:
                assert (await site.call(path)).status == 502
            else:
                with pytest.raises(ExchangeFailed):
                    await site.call(path)
            if path == "/brief/x":
                assert len(runner.ran) == 1

    run_scenario(scenario)


def test_end_inside_an_event_is_no_crash_and_counts_once_in_the_usage():
    # Guards against prompts that are blocked for what one endpoint does.
    async def scenario():
        async with run_entry_site() as site:
            await add_breaking_runners(site, 1, 1, 5)
            prefix = "shared:10,own:10"
            for _ in range(4):
                answer = await site.call("/brief/x", X_Poplarrelay_Prefix_Hash=prefix)
                assert answer.status == 502
            state = site.nodes["a"].state
            assert not state.quarantine.records
            assert state.streams_incomplete == 4
            counted = sum(
                count for row in state.usage.windows.values() for count in row.values()
            )
            assert counted == 4

    run_scenario(scenario)


def test_peer_that_carries_an_incomplete_stream_is_not_blamed(caplog):
    # Guards against a peer that is avoided for what it has relayed as it came.
    async def scenario():
        caplog.set_level("INFO")
        async with run_entry_site(2, use_links=True) as site:
            await add_breaking_runners(site, 1, 3, None)
            for node in "ab":
                await site.ready(node, endpoints=1)
            await wait_until_resolved(site, "a", hosts(site, "a", "b"))
            site.set_paths("a", PathFault.RESET)
            carried = []
            for _ in range(MAX_CALLS):
                with contextlib.suppress(ExchangeFailed):
                    await site.call("/brief/x")
                records = [r for r in caplog.records if r.getMessage() == "attempt"]
                # A call is refused if no tunnel is open in time.
                carried = [r for r in records if r.carrier is not None]
                if carried:
                    break
            assert carried
            assert all(r.result == "StreamBroken" for r in carried)
            assert not any(r.path_failed for r in carried)

    run_scenario(scenario)
