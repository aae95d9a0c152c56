"""Nodes that start, stop, freeze and lose contact with each other."""

import asyncio
from random import Random
from time import monotonic

from poplarrelay.entry.http.connection import header_value
from poplarrelay.entry.peers import choose_addresses
from poplarrelay.entry.shutdown import ShutdownSchedule
from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    hosts,
    poll_until,
    resolve_hosts,
    run_entry_site,
    run_scenario,
    wait_until_resolved,
)


def test_resolve_lists_serving_nodes():
    # Guards against callers that get the address of a dead node, or miss a new one. A
    # killed node sends nothing; the others return its address until its row is too old.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await site.ready("a")
            await wait_until_resolved(site, "a", hosts(site, "a", "b", "c"))
            await site.kill_node("c")
            await wait_until_resolved(site, "a", hosts(site, "a", "b"))
            seed = site.nodes["b"].state.settings.listeners.control
            await site.add_node("d", seed)
            await wait_until_resolved(site, "a", hosts(site, "a", "b", "d"))

    run_scenario(scenario)


def test_node_finds_peers_without_reachable_seeds():
    # Guards against a node that stays alone because all its seeds are gone. It finds
    # the others in the directory in the store.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await site.ready("a")
            await site.add_node("lonely", "127.0.0.250:1")
            await site.ready("lonely")
            await wait_until_resolved(site, "lonely", hosts(site, "a", "b", "lonely"))

    run_scenario(scenario)


def test_stopping_node_finishes_streams_and_is_not_resolved():
    # A node gets the stop signal while it relays a stream. Guards against a truncated
    # stream, new callers at this node, and refusals of callers that still have its
    # address. Those are served with `Connection: close`.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            runner = await site.add_runner("r1", STREAMS, events=20, pause_s=0.05)
            await site.add_runner("r2", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=2)
            await wait_until_resolved(site, "a", hosts(site, "a", "b"))
            connection = await site.open("/draft/x", node="b")
            await connection.response_head()
            site.nodes["b"].stop()
            assert (await site.get("readiness", "/api/readyz", "b")).status == 503
            await wait_until_resolved(site, "a", hosts(site, "a"))
            answer = await site.call("/look/x", node="b")
            assert answer.status == 200
            assert (b"Connection", b"close") in answer.headers
            body = await connection.body(1_000_000)
            assert body.endswith(runner.event_of(20))
            await site.wait_until_ended("b")

    run_scenario(scenario)


def test_stopping_node_refuses_streams_it_could_not_finish():
    # A caller still uses the address of a node that got the stop signal 4 s ago. The
    # end of the node could truncate the stream. The refusal says that the request has
    # not run, so the caller can use another node.
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            runner = await site.add_runner("r1", STREAMS)
            await site.add_runner("r2", CALLS)
            await site.ready(endpoints=2)
            signalled_at = monotonic() - 4.0
            schedule = ShutdownSchedule(signalled_at, signalled_at, grace_s=8.0)
            site.nodes["a"].state.shutdown = schedule
            answer = await site.call("/draft/x")
            assert answer.status == 503
            assert header_value(answer.headers, b"retry-after")
            assert runner.received == []
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_stopping_node_ends_within_grace_time():
    # Guards against a node that waits for an endpoint that hangs until the platform
    # kills the node. It must abandon such requests in time.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=3) as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.HANG)
            await site.open("/book/x", X_Poplarrelay_Deadline_Ms="60000")
            await poll_until(lambda: runner.received)
            site.nodes["a"].stop()
            async with asyncio.timeout(3):
                await site.wait_until_ended("a")

    run_scenario(scenario)


def test_node_does_not_count_peers_dead_after_freeze():
    # Guards against a thawed node that returns only its own address to all callers, or
    # that acts on a lease that another node may have got.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            for name in site.nodes:
                await site.ready(name)
            expected = hosts(site, "a", "b", "c")
            nodes = site.nodes.items()
            name = await poll_until(
                lambda: next((n for n, each in nodes if each.duties.lease.held), None)
            )
            await wait_until_resolved(site, name, expected)
            node = site.nodes[name]
            lease = node.duties.lease
            await poll_until(lambda: lease.held)
            for seen in node.state.peers.seen.values():
                seen.last_seen_at -= 60
            # Check immediately: later gossip would hide the effect of the freeze.
            table = node.state.peers
            assert len(choose_addresses(table, 1, monotonic(), Random(1))) == 1
            node.resume_after_freeze(60.0)
            assert not lease.held
            assert await resolve_hosts(site, name) == expected

    run_scenario(scenario)
