"""Endpoints that state in their answers that they leave."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from time import monotonic

import pytest

from poplarrelay.entry.http.connection import CompleteResponse
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.runner import Fault, RunnerStandIn
from poplarrelay.standins.users.store import Outage
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    EntrySite,
    poll_until,
    run_entry_site,
    run_scenario,
)

#: Seconds after the first such answer from which the endpoint must get no requests.
BOUND_S = 2.0
#: Seconds for which requests are sent in each test.
SENDING_S = 4.0
LEFT = EndpointId("r0")


async def add_endpoints(site: EntrySite, service: str) -> list[RunnerStandIn]:
    """Start three endpoints, and wait until all nodes list them and each other."""
    runners = [await site.add_runner(f"r{n}", service) for n in range(3)]
    for name in site.nodes:
        await site.ready(name, endpoints=3)
    states = [node.state for node in site.nodes.values()]
    await poll_until(lambda: all(len(s.peers.seen) == len(states) - 1 for s in states))
    return runners


async def send(
    site: EntrySite, path: str, for_s: float, nodes: Sequence[str] = ()
) -> list[int]:
    """Send requests to all nodes in turn, or to the given ones; return the statuses."""
    names = list(nodes or site.nodes)
    end = monotonic() + for_s
    sent: list[asyncio.Task[CompleteResponse]] = []
    while monotonic() < end:
        call = site.call(path, names[len(sent) % len(names)])
        sent.append(asyncio.create_task(call))
        await asyncio.sleep(1 / 30)
    return [answer.status for answer in await asyncio.gather(*sent)]


def accepts(state: EntryState) -> bool:
    """Return whether a node sends new requests to the endpoint."""
    row = state.endpoints.rows.get(LEFT)
    return row is not None and row.accepts_work


def late_arrivals(runner: RunnerStandIn, since: int = 0) -> list[float]:
    """Return how late requests came, in seconds after the first one from `since`."""
    times = [request.at for request in runner.received[since:]]
    return [at - times[0] for at in times if at > times[0] + BOUND_S]


@pytest.mark.parametrize("outage", [Outage.NONE, Outage.SILENT])
@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/look/x", CALLS),
        ("/book/x", CALLS),
        ("/draft/x", STREAMS),
        ("/brief/x", STREAMS),
    ],
)
def test_endpoint_that_states_its_departure_gets_no_requests(path, service, outage):
    # Guards against nodes that learn of departures from the store alone.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            runners = await add_endpoints(site, service)
            for listener in site.store_listeners.values():
                listener.outage = outage
            runners[0].leaving = True
            statuses = await send(site, path, SENDING_S)
            assert runners[0].received
            assert late_arrivals(runners[0]) == []
            assert set(statuses) == {200}

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [Fault.SHED, Fault.ERROR])
def test_departure_in_an_answer_that_is_no_success_counts(fault):
    # Guards against departures that are read from successful answers only.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, CALLS)
            runners[0].leaving = True
            runners[0].faults = [fault] * 1000
            await send(site, "/look/x", SENDING_S)
            assert runners[0].received
            assert late_arrivals(runners[0]) == []

    run_scenario(scenario)


def test_departure_in_an_answer_to_another_request_does_not_count():
    # Guards against endpoints that are given up for bytes that may be another's.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, CALLS)
            runners[0].leaving = True
            runners[0].faults = [Fault.WRONG_ATTEMPT_ID] * 1000
            await send(site, "/look/x", SENDING_S)
            assert runners[0].received
            assert late_arrivals(runners[0]) != []
            rows = site.nodes["a"].state.endpoints.rows.values()
            assert not any(row.departing for row in rows)

    run_scenario(scenario)


def test_departure_counts_when_a_stream_is_still_running():
    # Guards against departures that are applied only when the stream has ended.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, STREAMS)
            for runner in runners:
                runner.events, runner.pause_s = 60, 0.1
            runners[0].leaving = True
            state = site.nodes["a"].state
            sending = asyncio.create_task(send(site, "/draft/x", 1.0))
            await poll_until(lambda: not accepts(state))
            assert runners[0].active_streams
            sending.cancel()

    run_scenario(scenario)


def test_record_written_later_does_not_undo_a_stated_departure():
    # Guards against a heartbeat or a full read that brings the record `ready` again.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, CALLS)
            runners[0].leaving = True
            state = site.nodes["a"].state
            await send(site, "/look/x", 0.5)
            assert not accepts(state)
            site.list_runner(LEFT, CALLS, slots=7)
            await poll_until(lambda: state.endpoints.rows[LEFT].slots == 7)
            assert not accepts(state)
            site.store.put("keyed.servers", LEFT, None)
            await poll_until(lambda: LEFT not in state.endpoints.rows)
            site.list_runner(LEFT, CALLS)
            await poll_until(lambda: LEFT in state.endpoints.rows)
            assert not accepts(state)

    run_scenario(scenario)


def test_next_run_of_an_endpoint_that_left_gets_requests():
    # Guards against a departure that is kept for the next run under the same id.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, CALLS)
            runners[0].leaving = True
            state = site.nodes["a"].state
            await send(site, "/look/x", 0.5)
            assert not accepts(state)
            restarted = await site.restart_runner(LEFT, CALLS)
            await poll_until(lambda: accepts(state))
            await send(site, "/look/x", 1.0)
            assert restarted.received

    run_scenario(scenario)


def test_peers_learn_of_a_stated_departure():
    # Guards against nodes that find out one by one, each with requests of its callers.
    async def scenario():
        async with run_entry_site(nodes=5) as site:
            runners = await add_endpoints(site, CALLS)
            runners[0].leaving = True
            states = [node.state for node in site.nodes.values()]
            sending = asyncio.create_task(send(site, "/look/x", SENDING_S, nodes="a"))
            await poll_until(lambda: not accepts(states[0]))
            known_at = monotonic()
            await poll_until(lambda: not any(accepts(state) for state in states))
            assert monotonic() - known_at < 1.0
            sending.cancel()

    run_scenario(scenario)


def test_node_that_starts_later_learns_of_a_stated_departure():
    # Guards against a departure that only the nodes know that ran at the time.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            runners = await add_endpoints(site, CALLS)
            runners[0].leaving = True
            await send(site, "/look/x", 0.5)
            seed = site.nodes["a"].state.settings.listeners.control
            late = await site.add_node("late", seed)
            await site.ready("late", endpoints=3)
            await poll_until(lambda: not accepts(late.state))
            assert len(late.state.peers.seen) == 2

    run_scenario(scenario)


def test_departure_stated_at_a_reused_address_is_that_of_its_present_endpoint():
    # Guards against a 421 that is taken only for news of the endpoint that was asked.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, CALLS)
            other = RunnerStandIn("r9", "127.0.0.1", leaving=True)
            port = int(runners[0].address.rsplit(":", 1)[1])
            runners[0].stop()
            await other.start(port)
            site.runners["r9"] = other
            site.list_runner("r9", CALLS)
            state = site.nodes["a"].state
            await site.ready(endpoints=4)
            present = state.endpoints.rows[EndpointId("r9")]
            # Only the refusals of requests for the former endpoint can tell.
            present.running = present.slots
            while not other.received:
                await site.call("/look/x")
            assert not any(request.ran for request in other.received)
            assert not present.accepts_work

    run_scenario(scenario)
