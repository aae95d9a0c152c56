"""Endpoints that leave: every node stops sending requests to them within a bound.

A request reached an endpoint over three seconds after the store had acknowledged its
departure. It ran, but a little later the endpoint's end would have aborted it. The node
mistook an old list for a recent one, or ignored that its list was old. Each test covers
one cause, with a store that works.
"""

from __future__ import annotations

import asyncio
import logging
from time import monotonic

import pytest

from poplarrelay.entry.paths import EndpointPaths
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import EndpointId
from poplarrelay.testing.entry_site import (
    CALLS,
    EntrySite,
    poll_until,
    run_entry_site,
    run_scenario,
)

#: Seconds after the store's acknowledgement from which a leaving endpoint must get no
#: requests, as in the settings of the test's nodes.
BOUND_S = 2.0
TOPIC = "keyed.servers"


def accepts(state: EntryState, name: str) -> bool:
    """Return whether a node sends new requests to an endpoint."""
    rows = state.endpoints.rows.values()
    return any(row.endpoint == name and row.accepts_work for row in rows)


async def start(site: EntrySite) -> None:
    """Add two endpoints, and wait until all nodes have them and each other's rows."""
    for runner in ("r1", "r2"):
        await site.add_runner(runner, CALLS)
    for name in site.nodes:
        await site.ready(name, endpoints=2)
    states = [node.state for node in site.nodes.values()]
    await poll_until(lambda: all(len(s.peers.seen) == len(states) - 1 for s in states))


async def assert_left_within_bound(site: EntrySite, node: str, acked_at: float) -> None:
    """Check that a node stops sending to r1 in time, and still sends to r2."""
    state = site.nodes[node].state
    await poll_until(lambda: not accepts(state, "r1"), "departure known")
    assert monotonic() - acked_at <= BOUND_S
    assert accepts(state, "r2")


@pytest.mark.parametrize("record", ["removed", "leaving"])
def test_one_unanswered_read_does_not_hide_a_departure(record):
    # An endpoint leaves while one read of one node gets no reply, as on a busy link. If
    # the node reads when its list is 1.2 s old, waits 1.2 s for the reply and mistakes
    # this for an outage of the store, it keeps the removed record for 2.3 s more. Its
    # log then says `record did not come back`, others say `record removed`.
    async def scenario():
        async with run_entry_site() as site:
            await start(site)
            store, store_listener = site.store, site.store_listeners["a"]
            before = store.reads[TOPIC]
            await poll_until(lambda: store.reads[TOPIC] > before)
            store_listener.unanswered_reads[TOPIC] = 1
            if record == "removed":
                store.put(TOPIC, "r1", None)
            else:
                site.list_runner("r1", CALLS, state="draining")
            await assert_left_within_bound(site, "a", monotonic())

    run_scenario(scenario)


def test_delayed_gossip_does_not_confirm_a_list():
    # Gossip to node b arrives 2.5 s late and says that a peer has just confirmed the
    # list. If b counts the age from the arrival, it never reads the store and sends to
    # an endpoint that left 2.5 s ago or earlier. b does not know the delay of gossip,
    # so gossip must not delay its reads. The store answers b throughout.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            reading = asyncio.create_task(_keep_reading(site.nodes["a"].state))
            site.delay_gossip("b", 2.5)
            await asyncio.sleep(4.0)
            site.list_runner("r1", CALLS, state="draining")
            await assert_left_within_bound(site, "b", monotonic())
            reading.cancel()

    run_scenario(scenario)


def test_departure_in_dropped_history_is_known_in_time():
    # The store drops its history, including a removal that this node has not read, and
    # refuses a read from the old offset. The node must read the newest records instead.
    async def scenario():
        async with run_entry_site() as site:
            await start(site)
            site.store.put(TOPIC, "r1", None)
            site.store.compact(TOPIC)
            await assert_left_within_bound(site, "a", monotonic())

    run_scenario(scenario)


def test_request_retries_if_endpoint_leaves_while_connecting(monkeypatch):
    # A new connection takes up to 0.6 s. The endpoint's departure becomes known in that
    # time, before the request is sent, so a booking can still use the other endpoint.
    async def scenario():
        async with run_entry_site() as site:
            await start(site)
            rows = site.nodes["a"].state.endpoints.rows
            left = rows[EndpointId("r1")]
            take = EndpointPaths.take

            async def take_and_mark_leaving(paths, endpoint, *args):
                connection = await take(paths, endpoint, *args)
                if endpoint is left:
                    left.leaving = True
                return connection

            monkeypatch.setattr(EndpointPaths, "take", take_and_mark_leaving)
            for _ in range(6):
                assert (await site.call("/book/x")).status == 200
            assert left.leaving
            assert site.runners["r1"].received == []

    run_scenario(scenario)


def test_node_with_old_list_prefers_endpoints_that_answered(caplog):
    # Without peers, and without replies from the store for longer than the bound, any
    # endpoint can have left except one that has just answered. Guards against requests
    # to the others, and against a missing log line.
    async def scenario():
        async with run_entry_site() as site:
            await start(site)
            state = site.nodes["a"].state
            site.store_listeners["a"].silent_topics.add(TOPIC)
            await poll_until(lambda: not state.freshness.within_bound(monotonic()))
            await poll_until(lambda: "endpoints not vouched for" in caplog.text)
            answered, silent = (
                state.endpoints.rows[EndpointId(n)] for n in ("r1", "r2")
            )
            answered.last_accepting_at, silent.last_accepting_at = (
                monotonic(),
                float("-inf"),
            )
            for _ in range(6):
                assert (await site.call("/look/x")).status == 200
            assert len(site.runners["r1"].ran) == 6
            answered.leaving = True
            assert (await site.call("/look/x")).status == 200
            assert len(site.runners["r2"].ran) == 1

    caplog.set_level(logging.INFO)
    run_scenario(scenario)


async def _keep_reading(state: EntryState) -> None:
    """Make a node read the store twice a second, as many nodes together do."""
    while True:
        state.freshness.invalidate()
        await asyncio.sleep(0.5)


def test_departure_reaches_node_without_store_within_half_second():
    # The store does not answer node b, and node a reads that an endpoint leaves. If
    # nodes do not forward departures, b reads a peer's complete list only when its own
    # is 1.6 s old, and gets the departure two seconds after all others.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            site.store_listeners["b"].silent_topics.add(TOPIC)
            await asyncio.sleep(2.0)
            site.list_runner("r1", CALLS, state="draining")
            others = [site.nodes[name].state for name in ("a", "c")]
            await poll_until(lambda: any(not accepts(s, "r1") for s in others))
            known_at = monotonic()
            state = site.nodes["b"].state
            await poll_until(lambda: not accepts(state, "r1"), "departure known")
            assert monotonic() - known_at < 0.5

    run_scenario(scenario)
