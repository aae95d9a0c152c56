"""Sound endpoints that fall silent for a moment and go on."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from time import monotonic

import pytest

from poplarrelay.entry.http.connection import Connection
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import (
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)
from poplarrelay.testing.links import PathFault
from poplarrelay.testing.packet_filters import accept_packets, drop_packets

#: Seconds for which a sound endpoint may be silent.
SILENCES_S = (0.5, 1.2, 2.0)
#: Seconds from the last byte to the start of the silence; keep-alive probes are sent
#: every second.
OFFSETS_S = (0.3, 0.95)


async def wait_across_silence(silence_s, offset_s):
    """Return the answer to a request whose server is silent before it answers."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        connection = await Connection.open(host, port, 1.0)
        connection.expect_silence()
        accepted, _ = server.accept()
        with accepted:
            connection.send(b"GET", b"/", [(b"Host", b"x")], b"")
            await asyncio.sleep(offset_s)
            drop_packets(accepted)
            await asyncio.sleep(silence_s)
            accept_packets(accepted)
            # A probe that is due now must find the server again.
            await asyncio.sleep(1.2)
            with contextlib.suppress(OSError):
                accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            try:
                async with asyncio.timeout(2.0):
                    return (await connection.complete_response(100)).status
            finally:
                connection.abort()


def test_connection_with_a_request_survives_silence():
    # Guards against TCP_USER_TIMEOUT, which ends probes whatever their number.
    async def scenario():
        cases = [(s, o) for s in SILENCES_S for o in OFFSETS_S]
        results = await asyncio.gather(*(wait_across_silence(*case) for case in cases))
        assert results == [200] * len(cases)

    run_scenario(scenario)


def test_idle_connection_ends_in_time():
    # Guards against requests on connections that a cut has silenced seconds ago.
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as server:
            host, port = server.getsockname()
            connection = await Connection.open(host, port, 1.0)
            connection.keep_idle(monotonic())
            accepted, _ = server.accept()
            with accepted:
                drop_packets(accepted)
                start = monotonic()
                await poll_until(lambda: not connection.usable(start))
                assert monotonic() - start < 3.0

    run_scenario(scenario)


@pytest.mark.parametrize(("path", "pause_s"), [("/draft/x", 0.05), ("/brief/x", 0.4)])
def test_stream_survives_silence_and_runs_once(path, pause_s):
    # Guards against streams that end, or are repeated, when their host is silent.
    async def scenario():
        async with run_entry_site(use_links=True) as site:
            for name in ("s0", "s1"):
                await site.add_runner(name, STREAMS, events=30, pause_s=pause_s)
            await site.ready(endpoints=2)
            connections = [await site.open(path) for _ in range(4)]
            await asyncio.sleep(0.3)
            site.set_paths("a", PathFault.SILENT, ["s0"])
            await asyncio.sleep(1.0)
            site.set_paths("a", PathFault.NONE, ["s0"])
            runs = [len(runner.ran) for runner in site.runners.values()]
            await asyncio.sleep(1.5)
            assert [len(runner.ran) for runner in site.runners.values()] == runs
            assert sum(runs) == len(connections)
            for connection in connections:
                assert (await connection.response_head()).status == 200
                connection.abort()
            rows = site.nodes["a"].state.endpoints.rows.values()
            assert all(row.health.avoided_until <= monotonic() for row in rows)

    run_scenario(scenario)


def test_unanswered_request_still_ends():
    # Guards against a request that waits forever for a host that is gone.
    async def scenario():
        with pytest.raises(ExchangeFailed):
            await wait_across_silence(5.5, 0.1)

    run_scenario(scenario)
