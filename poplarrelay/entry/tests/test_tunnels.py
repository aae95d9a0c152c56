"""Tunnels through a peer to an endpoint, with every way in which they can end."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import struct
from http import HTTPStatus

import pytest

from poplarrelay.entry.http.connection import Connection
from poplarrelay.entry.http.dialing import Dialer
from poplarrelay.entry.http.tunnels import (
    TunnelListener,
    TunnelRefused,
    TunnelTarget,
    open_tunnel,
)
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.runner import Fault, RunnerStandIn
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)
from poplarrelay.testing.links import PathFault
from poplarrelay.testing.path_faults import add_endpoints, send_requests, served_share

HOST = "127.0.0.1"


class Carrier:
    """A listener that relays to any address."""

    def __init__(self):
        self.listener = TunnelListener(self.open, self.is_path_lost)
        self.refusal = None
        self.path_lost = False

    async def open(self, target, make_protocol):
        if self.refusal is not None:
            raise TunnelRefused("refused", self.refusal)
        return await Dialer().connect(make_protocol, target.address)

    async def is_path_lost(self, target):
        return self.path_lost

    @property
    def address(self):
        return HOST, self.listener.port


@contextlib.asynccontextmanager
async def run_carrier(**options):
    runner, carrier = RunnerStandIn("r1", HOST, **options), Carrier()
    await runner.start()
    await carrier.listener.start((HOST, 0))
    host, port = runner.address.split(":")
    target = TunnelTarget(EndpointId("r1"), (host, int(port)))
    try:
        yield runner, carrier, target
    finally:
        carrier.listener.stop()
        runner.stop()


async def open_through(carrier, target):
    return await open_tunnel(Dialer(), carrier.address, target, 1.0)


def send(connection):
    headers = [(b"Host", b"x"), (b"X-Poplarrelay-Attempt-Id", b"q1")]
    connection.send(b"POST", b"/x", [*headers, (b"Content-Length", b"0")], b"")


async def exchange(connection):
    send(connection)
    async with asyncio.timeout(3.0):
        return await connection.complete_response(1_000_000)


def test_requests_pass_one_after_the_other():
    async def scenario():
        async with run_carrier() as (runner, carrier, target):
            connection = await open_through(carrier, target)
            for _ in range(3):
                response = await exchange(connection)
                assert response.body == runner.body_of("q1")
                assert connection.prepare_reuse(response.headers, 0.0)
            assert runner.connections == 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", list(Fault))
def test_endpoint_looks_the_same_through_a_tunnel(fault):
    # Guards against tunnels that hide how an endpoint fails.
    async def outcome(connection):
        try:
            async with asyncio.timeout(0.5):
                response = await exchange(connection)
        except ExchangeFailed as failure:
            return failure.sent, failure.closed
        except TimeoutError:
            return "silent"
        await asyncio.sleep(0.1)
        reusable = connection.prepare_reuse(response.headers, 0.0)
        return response.status, response.body, reusable

    async def scenario():
        async with run_carrier() as (runner, carrier, target):
            outcomes = []
            for tunnelled in (False, True):
                if tunnelled:
                    connection = await open_through(carrier, target)
                else:
                    host, port = target.address
                    connection = await Connection.open(host, port, 1.0)
                runner.faults = [fault]
                outcomes.append(await outcome(connection))
                connection.abort()
            assert outcomes[0] == outcomes[1]

    run_scenario(scenario)


def test_answer_without_length_is_incomplete_if_the_carrier_ends():
    # Guards against a truncated answer that looks complete since the carrier closed.
    async def scenario():
        async with run_carrier() as (_, carrier, target):
            raw = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"

            async def answer_and_wait(reader, writer):
                await reader.read(100)
                writer.write(raw)
                await reader.read()

            server = await asyncio.start_server(answer_and_wait, HOST, 0)
            address = server.sockets[0].getsockname()
            connection = await open_through(
                carrier, TunnelTarget(target.endpoint, address)
            )
            send(connection)
            assert (await connection.response_head()).status == 200
            (side,) = carrier.listener._sides
            side._transport.close()
            with pytest.raises(ExchangeFailed) as caught:
                await connection.body(100)
            assert not caught.value.closed
            server.close()

    run_scenario(scenario)


def test_reset_by_the_carriers_own_path_is_no_reset_by_the_endpoint():
    # Guards against a peer's lost path that counts as a crash of the endpoint.
    async def scenario():
        async with run_carrier() as (_, carrier, target):

            async def reset(reader, writer):
                await reader.read(100)
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

            server = await asyncio.start_server(reset, HOST, 0)
            address = server.sockets[0].getsockname()
            for path_lost in (False, True):
                carrier.path_lost = path_lost
                connection = await open_through(
                    carrier, TunnelTarget(target.endpoint, address)
                )
                with pytest.raises(ExchangeFailed) as caught:
                    await exchange(connection)
                assert caught.value.sent
                assert caught.value.closed is not path_lost
            server.close()

    run_scenario(scenario)


def test_endpoint_notices_a_caller_that_leaves():
    # Guards against endpoints that go on working for nobody behind a tunnel.
    async def scenario():
        async with run_carrier(events=100, pause_s=0.05) as (runner, carrier, target):
            connection = await open_through(carrier, target)
            send(connection)
            await poll_until(lambda: runner.busy)
            connection.abort()
            async with asyncio.timeout(0.5):
                while runner.busy:
                    await asyncio.sleep(0.01)

    run_scenario(scenario)


def test_slow_reader_slows_the_endpoint_down():
    # Guards against a carrier that collects a whole answer in its memory.
    async def scenario():
        async with run_carrier() as (_, carrier, target):
            sent = 0

            async def flood(reader, writer):
                nonlocal sent
                await reader.read(100)
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
                with contextlib.suppress(ConnectionError):
                    while sent < 400:
                        writer.write(bytes(100_000))
                        await writer.drain()
                        sent += 1

            server = await asyncio.start_server(flood, HOST, 0)
            address = server.sockets[0].getsockname()
            connection = await open_through(
                carrier, TunnelTarget(target.endpoint, address)
            )
            send(connection)
            assert (await connection.response_head()).status == 200
            await asyncio.sleep(0.5)
            assert sent < 400
            connection.abort()
            server.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    "status", [HTTPStatus.BAD_GATEWAY, HTTPStatus.SERVICE_UNAVAILABLE]
)
def test_refusal_of_the_carrier_is_no_answer_of_the_endpoint(status):
    async def scenario():
        async with run_carrier() as (_, carrier, target):
            carrier.refusal = status
            with pytest.raises(TunnelRefused) as caught:
                await open_through(carrier, target)
            assert caught.value.status == status
            assert not caught.value.sent

    run_scenario(scenario)


def test_retired_tunnel_ends_after_its_request():
    # Guards against requests on the tunnels of a carrier that stops.
    async def scenario():
        async with run_carrier(pause_s=0.2) as (_, carrier, target):
            busy, idle = [await open_through(carrier, target) for _ in range(2)]
            send(busy)
            await asyncio.sleep(0.05)
            carrier.listener.retire()
            response = await busy.complete_response(1000)
            assert response.status == 200
            assert not busy.prepare_reuse(response.headers, 0.0)
            await poll_until(lambda: carrier.listener.busy == 0)
            assert not idle.usable(0.0)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONNECT nowhere HTTP/1.1\r\nHost: x\r\nEndpoint-Id: r1\r\n\r\n",
        b"CONNECT h:1 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONNECT h:99999999 HTTP/1.1\r\nHost: x\r\nEndpoint-Id: r1\r\n\r\n",
        b"\x00\x01\x02\r\n\r\n",
        b"CONNECT " + b"x" * 10_000,
    ],
)
def test_malformed_request_for_a_tunnel_is_refused(raw):
    async def scenario():
        async with run_carrier() as (_, carrier, _target):
            reader, writer = await asyncio.open_connection(*carrier.address)
            writer.write(raw)
            async with asyncio.timeout(2.0):
                response = await reader.read()
            assert not response.startswith(b"HTTP/1.1 2")
            writer.close()

    run_scenario(scenario)


def test_one_dead_endpoint_starts_no_tunnels_for_others():
    # Guards against tunnels, or attempts at a dead endpoint, that multiply.
    async def scenario():
        async with run_entry_site(nodes=3, use_links=True) as site:
            await add_endpoints(site)
            await send_requests(site, "abc", 0.5, 20)
            dead = site.runners[f"{CALLS}-0"]
            dead.stop()
            site.links[f"{CALLS}-0"].stop()
            requests = await send_requests(site, "abc", 3.0, 20)
            assert served_share(requests, "abc") > 0.95
            for node in site.nodes.values():
                assert node._paths.reachability.lost == []
                assert node._paths.statistics["tunnels_opened"] == 0

    run_scenario(scenario)


def test_paths_are_direct_again_after_a_cut():
    # Guards against tunnels that stay, and a storm of new connections after a cut.
    async def scenario():
        async with run_entry_site(nodes=3, use_links=True) as site:
            await add_endpoints(site)
            await send_requests(site, "abc", 1.0, 20)
            site.set_paths("a", PathFault.SILENT)
            await send_requests(site, "abc", 4.0, 20)
            tunnels = [site.nodes[name]._tunnels for name in "bc"]
            assert sum(each.carried for each in tunnels) > 0
            site.set_paths("a", PathFault.NONE)
            opened = site.nodes["a"]._paths.statistics["direct_opened"]
            requests = await send_requests(site, "abc", 2.0, 20)
            assert served_share(requests, "a") > 0.95
            await poll_until(lambda: sum(each.busy for each in tunnels) == 0)
            assert site.nodes["a"]._paths.reachability.lost == []
            reopened = site.nodes["a"]._paths.statistics["direct_opened"] - opened
            assert reopened <= 30

    run_scenario(scenario)


@pytest.mark.processes
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
def test_node_is_served_while_its_carriers_end_or_stop(number, tmp_path):
    # Guards against tunnels through peers that are killed, stopping or frozen.
    async def scenario():
        async with run_entry_site(nodes=0, use_links=True) as site:
            await site.start_processes("abcd", tmp_path)
            for service in (CALLS, STREAMS):
                for index in range(3):
                    await site.add_runner(f"{service}-{index}", service)
            await asyncio.sleep(1.5)
            await send_requests(site, "a", 1.0, 20)
            site.set_paths("a", PathFault.SILENT)
            await send_requests(site, "a", 3.0, 20)
            site.processes["b"].signal(number)
            requests = await send_requests(site, "a", 4.0, 20)
            site.processes["b"].signal(signal.SIGCONT)
            assert served_share(requests, "a") > 0.8

    run_scenario(scenario)
