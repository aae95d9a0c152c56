"""Nodes that have lost their own paths to endpoints that others reach."""

from __future__ import annotations

import asyncio
import logging
from time import monotonic

import pytest

from poplarrelay.testing.entry_site import STREAMS, run_entry_site, run_scenario
from poplarrelay.testing.links import PathFault
from poplarrelay.testing.path_faults import (
    KINDS,
    add_endpoints,
    send_requests,
    served_share,
    unserved,
)

#: Seconds from the start of a cut within which its nodes must serve again.
CONTACT_S = 3.0
#: Smallest served share at nodes without a path, as a part of that at the others.
MIN_RELATIVE_SHARE = 2 / 3

FAULTS = [fault for fault in PathFault if fault is not PathFault.NONE]


def refuse_endpoints(dialer, addresses=None):
    """Refuse a node's connections to endpoints, by default all, not those to peers."""
    connect = dialer.connect

    async def connect_to_peers(make_protocol, address):
        name = f"{address[0]}:{address[1]}"
        if name in addresses if addresses else address[0] == "127.0.0.1":
            raise ConnectionRefusedError(111, "Connect call failed")
        return await connect(make_protocol, address)

    dialer.connect = connect_to_peers


def divert_endpoints(dialer, address):
    """Connect a node to another address in place of endpoints."""
    connect = dialer.connect

    async def connect_elsewhere(make_protocol, wanted):
        diverted = address if wanted[0] == "127.0.0.1" else wanted
        return await connect(make_protocol, diverted)

    dialer.connect = connect_elsewhere


async def swallow(reader, writer):
    """Read all bytes of a connection, and answer none."""
    while await reader.read(65_536):
        pass
    writer.close()


async def close_at_first_bytes(reader, writer):
    """Close a connection as soon as it carries bytes."""
    await reader.read(1)
    writer.close()


async def send_across_cut(site, cut, cut_s=CONTACT_S + 6.0, per_s=4):
    """Send requests to all nodes before and during a cut; return the later ones."""
    await add_endpoints(site)
    await send_requests(site, list(site.nodes), 1.0, per_s)
    cut()
    start = monotonic()
    requests = await send_requests(site, list(site.nodes), cut_s, per_s)
    return [each for each in requests if each.at >= start + CONTACT_S]


@pytest.mark.parametrize("fault", FAULTS)
def test_callers_of_nodes_without_a_path_are_served_like_others(fault):
    # Guards against nodes that fail requests which any peer could have sent.
    async def scenario():
        async with run_entry_site(nodes=4, use_links=True) as site:
            requests = await send_across_cut(site, lambda: site.set_paths("ab", fault))
            for kind in KINDS:
                others = served_share(requests, "cd", kind)
                share = served_share(requests, "ab", kind)
                assert share >= MIN_RELATIVE_SHARE * others, unserved(requests, "ab")
                assert others > 0.9, unserved(requests, "cd")

    run_scenario(scenario)


def test_node_whose_new_connections_are_refused_is_served():
    # Guards against a refused connection that counts as the end of the endpoint.
    async def scenario():
        async with run_entry_site(nodes=3, use_links=True) as site:

            def cut():
                refuse_endpoints(site.nodes["a"]._dialer)
                site.set_paths("a", PathFault.RESET)

            requests = await send_across_cut(site, cut)
            for kind in KINDS:
                assert served_share(requests, "a", kind) >= MIN_RELATIVE_SHARE, kind
                assert served_share(requests, "bc", kind) > 0.9

    run_scenario(scenario)


@pytest.mark.parametrize("middlebox", [swallow, close_at_first_bytes])
def test_node_whose_paths_accept_connections_and_carry_no_bytes_is_served(middlebox):
    # Guards against an open connection that counts as proof of its path.
    async def scenario():
        async with run_entry_site(nodes=4, use_links=True) as site:
            server = await asyncio.start_server(middlebox, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()[:2]

            def cut():
                for node in "ab":
                    divert_endpoints(site.nodes[node]._dialer, address)
                site.set_paths("ab", PathFault.RESET)

            requests = await send_across_cut(site, cut)
            server.close()
            for kind in KINDS:
                others = served_share(requests, "cd", kind)
                share = served_share(requests, "ab", kind)
                assert share >= MIN_RELATIVE_SHARE * others, unserved(requests, "ab")
                assert others > 0.9, unserved(requests, "cd")

    run_scenario(scenario)


def test_endpoint_is_not_gone_because_two_nodes_have_lost_their_paths(caplog):
    # Guards against a peer without a path of its own that confirms an endpoint's end.
    caplog.set_level(logging.INFO, "poplarrelay.entry.survey")

    async def scenario():
        async with run_entry_site(nodes=4, use_links=True) as site:
            names = await add_endpoints(site)
            await send_requests(site, "abcd", 1.0, 8)
            engines = [name for name in names if name.startswith(STREAMS)]
            for node in "ab":
                addresses = {site.links[name].address for name in engines}
                refuse_endpoints(site.nodes[node]._dialer, addresses)
            site.set_paths("ab", PathFault.RESET, engines)
            requests = await send_requests(site, "abcd", 6.0, 8)
            gone = [r for r in caplog.records if r.message == "engine reported gone"]
            assert gone == []
            assert served_share(requests, "cd") > 0.95, unserved(requests, "cd")
            assert served_share(requests, "ab") > 0.8, unserved(requests, "ab")

    run_scenario(scenario)


def test_one_unanswered_request_shows_that_a_node_is_cut_off():
    # Guards against cuts that are found only by the next requests that fail.
    async def scenario():
        async with run_entry_site(nodes=3, use_links=True) as site:
            await add_endpoints(site)
            await send_requests(site, "abc", 1.5, 20)
            site.set_paths("a", PathFault.SILENT)
            connection = await site.open("/book/x", "a")
            reachability = site.nodes["a"]._paths.reachability
            async with asyncio.timeout(CONTACT_S):
                while not reachability.isolated(monotonic()):
                    await asyncio.sleep(0.01)
            assert (await site.call("/book/x", "a")).status == 200
            connection.abort()

    run_scenario(scenario)


def test_endpoint_that_ends_behind_a_proxy_is_no_lost_path():
    # Guards against a tunnel that the proxy closes at once as proof of the path.
    async def scenario():
        async with run_entry_site(nodes=3, use_links=True) as site:
            names = await add_endpoints(site)
            await send_requests(site, "abc", 1.0, 8)
            for name in names[::2]:
                site.runners[name].stop()
            await send_requests(site, "abc", 2.0, 8)
            for node in site.nodes.values():
                assert node._paths.statistics["paths_lost"] == 0

    run_scenario(scenario)
