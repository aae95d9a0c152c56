"""Nodes that cannot hear each other, and a node whose time of day jumps."""

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


def cut(site, *names):
    """Lose all news between the named nodes and the others; return what heals it."""
    healed = []
    inside = {site.nodes[name].state.me.host for name in names}
    for node in site.nodes.values():
        transport = node._gossip._transport
        host = node.state.me.host
        send = transport.sendto

        def drop(data, address, send=send, host=host):
            if (host in inside) == (address[0] in inside):
                send(data, address)

        node._gossip._transport = Datagrams(drop)
        healed.append((node._gossip, transport))

    def heal():
        for gossip, transport in healed:
            gossip._transport = transport

    return heal


class Datagrams:
    """Stands in for a node's datagram transport while it is cut off."""

    def __init__(self, sendto):
        self.sendto = sendto

    def close(self):
        """Close nothing; the real transport is closed by its node."""


def jumped(by):
    return time.time() + by


async def in_force(site, node, version):
    state = site.nodes[node].state
    await poll_until(lambda: state.me.configuration == version)


def test_nodes_that_are_cut_off_serve_and_find_each_other_again():
    # News between node c and the others is lost. Both sides keep serving, each names
    # only the nodes that it hears, and a change of the configuration reaches both
    # from the store. After the cut all are named again.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            await wait_until_resolved(site, "a", hosts(site, *"abc"))
            heal = cut(site, "c")
            await wait_until_resolved(site, "a", hosts(site, *"ab"))
            await wait_until_resolved(site, "c", hosts(site, *"c"))
            site.configure(5)
            for name in site.nodes:
                await in_force(site, name, 5)
                assert (await site.call("/look/x", node=name)).status == 200
            heal()
            await wait_until_resolved(site, "a", hosts(site, *"abc"))
            await wait_until_resolved(site, "c", hosts(site, *"abc"))

    run_scenario(scenario)


def test_groups_that_are_cut_off_keep_to_one_quota():
    # Two nodes cannot hear each other, and a team floods both for three seconds. Each
    # giving out the whole refill would let through twice the quota.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            tenants = [{"name": "alpha", "apiKeys": [KEY], "ratePerS": 20, "burst": 10}]
            site.configure(2, tenants=tenants)
            runner = await site.add_runner("r1", CALLS, pause_s=0.001)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
                await in_force(site, name, 2)
            await wait_until_resolved(site, "a", hosts(site, *"ab"))
            cut(site, "b")
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


def test_node_whose_time_of_day_jumps_goes_by_the_others():
    # The time of day of one of four hosts jumps ahead by four seconds, nearly a
    # whole window of usage, and back.
    async def scenario():
        async with run_entry_site(nodes=4) as site:
            for name in site.nodes:
                await site.ready(name)
            await wait_until_resolved(site, "d", hosts(site, *"abcd"))
            clock = site.nodes["d"].state.clock
            for jump in (4.0, -4.0, 0.0):
                clock._wall = partial(jumped, jump)
                await poll_until(lambda: abs(clock.now() - time.time()) < 0.5)
                others = [site.nodes[name].state.clock for name in "abc"]
                assert all(abs(c.now() - time.time()) < 0.5 for c in others)

    run_scenario(scenario)
