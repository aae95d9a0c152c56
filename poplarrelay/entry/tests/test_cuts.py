"""Network partitions between nodes, and a node whose wall clock jumps."""

import asyncio
import time
from functools import partial

from poplarrelay.testing.entry_site import (
    CALLS,
    KEY,
    hosts,
    poll_until,
    run_entry_site,
    run_scenario,
    wait_until_resolved,
)


def partition(site, *names):
    """Drop gossip between the named nodes and the others; return an undo function."""
    transports = []
    inside = {site.nodes[name].state.me.host for name in names}
    for node in site.nodes.values():
        transport = node._gossip._transport
        host = node.state.me.host
        send = transport.sendto

        def drop(data, address, send=send, host=host):
            if (host in inside) == (address[0] in inside):
                send(data, address)

        node._gossip._transport = Datagrams(drop)
        transports.append((node._gossip, transport))

    def end_partition():
        for gossip, transport in transports:
            gossip._transport = transport

    return end_partition


class Datagrams:
    """Datagram transport of a node during a partition."""

    def __init__(self, sendto):
        self.sendto = sendto

    def close(self):
        """Close nothing; the node closes the real transport."""


def shifted_time(by):
    return time.time() + by


async def wait_for_configuration(site, node, version):
    state = site.nodes[node].state
    await poll_until(lambda: state.me.configuration == version)


def test_partitioned_nodes_serve_and_rejoin():
    # Gossip between node c and the others is lost. Both sides keep serving, discovery
    # returns only reachable nodes, and both sides get a new configuration from the
    # store. After the partition, discovery returns all nodes again.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            await wait_until_resolved(site, "a", hosts(site, *"abc"))
            end_partition = partition(site, "c")
            await wait_until_resolved(site, "a", hosts(site, *"ab"))
            await wait_until_resolved(site, "c", hosts(site, *"c"))
            site.configure(5)
            for name in site.nodes:
                await wait_for_configuration(site, name, 5)
                assert (await site.call("/look/x", node=name)).status == 200
            end_partition()
            await wait_until_resolved(site, "a", hosts(site, *"abc"))
            await wait_until_resolved(site, "c", hosts(site, *"abc"))

    run_scenario(scenario)


def test_partitioned_nodes_together_stay_within_one_quota():
    # Two nodes are partitioned, and a team floods both for three seconds. If each node
    # gave out the full refill, twice the quota would pass.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            tenants = [{"name": "alpha", "apiKeys": [KEY], "ratePerS": 20, "burst": 10}]
            site.configure(2, tenants=tenants)
            runner = await site.add_runner("r1", CALLS, pause_s=0.001)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
                await wait_for_configuration(site, name, 2)
            await wait_until_resolved(site, "a", hosts(site, *"ab"))
            partition(site, "b")
            await wait_until_resolved(site, "a", hosts(site, *"a"))
            await wait_until_resolved(site, "b", hosts(site, *"b"))
            loop = asyncio.get_running_loop()
            before, start = len(runner.ran), loop.time()

            async def flood(name):
                while loop.time() - start < 3.0:
                    await site.call("/look/x", node=name)

            await asyncio.gather(*(flood(name) for name in "aabb"))
            elapsed = loop.time() - start
            assert len(runner.ran) - before <= 1.25 * (20 * elapsed + 10)

    run_scenario(scenario)


def test_node_whose_wall_clock_jumps_follows_the_other_nodes():
    # The wall clock of one of four hosts jumps ahead by four seconds, nearly the length
    # of a usage window, and back. Its node must follow the clocks of the other nodes.
    async def scenario():
        async with run_entry_site(nodes=4) as site:
            for name in site.nodes:
                await site.ready(name)
            await wait_until_resolved(site, "d", hosts(site, *"abcd"))
            clock = site.nodes["d"].state.clock
            for jump in (4.0, -4.0, 0.0):
                clock._wall = partial(shifted_time, jump)
                await poll_until(lambda: abs(clock.now() - time.time()) < 0.5)
                others = [site.nodes[name].state.clock for name in "abc"]
                assert all(abs(c.now() - time.time()) < 0.5 for c in others)

    run_scenario(scenario)
