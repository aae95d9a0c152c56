"""Endpoints that leave: within which time every node stops sending to them.

What callers saw: a request reached an endpoint over three seconds after the store had
acknowledged its departure; it ran, and a little later it would have been cut off. The
node chose the endpoint from a list that it took for fresh, or knew to be old and used
as if it were not. Each test plays one way into that, with the store sound throughout.
"""

from __future__ import annotations

import asyncio
import logging
from time import monotonic

import pytest

from poplarrelay.entry.http.pool import ConnectionPool
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import EndpointId
from poplarrelay.testing.entry_site import (
    CALLS,
    EntrySite,
    poll_until,
    run_entry_site,
    run_scenario,
)

#: Seconds after the store's acknowledgement from which a leaving endpoint may get
#: nothing more, as in the settings of the test's nodes.
BOUND_S = 2.0
TOPIC = "keyed.servers"


def accepts(state: EntryState, name: str) -> bool:
    """Return whether a node sends new requests to an endpoint."""
    rows = state.endpoints.rows.values()
    return any(row.endpoint == name and row.accepts_work for row in rows)


async def start(site: EntrySite) -> None:
    """Add two endpoints, and wait until all nodes know them and each other."""
    for runner in ("r1", "r2"):
        await site.add_runner(runner, CALLS)
    for name in site.nodes:
        await site.ready(name, endpoints=2)
    states = [node.state for node in site.nodes.values()]
    await poll_until(lambda: all(len(s.peers.seen) == len(states) - 1 for s in states))


async def assert_left_within_bound(site: EntrySite, node: str, acked_at: float) -> None:
    """Check that a node stops sending to r1 in time, and goes on sending to r2."""
    state = site.nodes[node].state
    await poll_until(lambda: not accepts(state, "r1"), "departure known")
    assert monotonic() - acked_at <= BOUND_S
    assert accepts(state, "r2")


@pytest.mark.parametrize("record", ["removed", "leaving"])
def test_one_unanswered_read_does_not_hide_a_departure(record):
    # One read of one node gets no answer, as on a busy link. Meanwhile an endpoint
    # leaves. The node read the list when it was up to 1.2 s old, waited 1.2 s for the
    # answer, took its own trouble for an outage of the store, and kept a record that
    # had rightly gone for 2.3 s more (`record did not come back` in its log, where
    # all other nodes said `record removed`).
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


def test_news_that_waited_on_the_way_does_not_make_a_list_fresh():
    # News to node b waits for 2.5 s before b reads it. Each tells that a peer has
    # confirmed the list just now; b counted that from the arrival, never read the
    # store, and sent to an endpoint that had left 2.5 s and more before. The store
    # answers b all the time: an age that b cannot know must not keep it from asking.
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


def test_departure_in_a_history_that_was_dropped_is_known_in_time():
    # The store drops its history, and with it the removal of an endpoint's record that
    # this node has not read yet. Reading on is refused, so the newest records are read.
    async def scenario():
        async with run_entry_site() as site:
            await start(site)
            site.store.put(TOPIC, "r1", None)
            site.store.compact(TOPIC)
            await assert_left_within_bound(site, "a", monotonic())

    run_scenario(scenario)


def test_request_whose_endpoint_leaves_while_it_connects_goes_elsewhere(monkeypatch):
    # A new connection takes up to 0.6 s, and the endpoint's departure becomes known in
    # that time. Nothing has been sent: a booking may still go to the other endpoint.
    async def scenario():
        async with run_entry_site() as site:
            await start(site)
            rows = site.nodes["a"].state.endpoints.rows
            left = rows[EndpointId("r1")]
            take = ConnectionPool.take

            async def take_late(pool, address):
                connection = await take(pool, address)
                if address == left.address:
                    left.leaving = True
                return connection

            monkeypatch.setattr(ConnectionPool, "take", take_late)
            for _ in range(6):
                assert (await site.call("/book/x")).status == 200
            assert left.leaving
            assert site.runners["r1"].received == []

    run_scenario(scenario)


def test_node_that_cannot_vouch_for_its_list_prefers_endpoints_that_answered(caplog):
    # The store answers nobody for longer than the bound, and there are no peers. Any
    # endpoint may have left but the one that has just answered; the log says so.
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
    """Let a node read the store twice a second, as many nodes together do."""
    while True:
        state.freshness.invalidate()
        await asyncio.sleep(0.5)


def test_departure_reaches_a_node_that_the_store_refuses_within_tenths():
    # The store does not answer node b. An endpoint leaves, and node a reads it. b asked
    # a peer for its whole list when its own was 1.6 s old; news of the departure itself
    # was not passed on, so b was the last to know by two seconds.
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
