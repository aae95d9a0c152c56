"""Bytes without end on each kind of connection: bounds in bytes, time and processor."""

import asyncio
import contextlib
import threading
from time import monotonic

import pytest

from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.http.connection import MAX_INTERIM_RESPONSES, Connection
from poplarrelay.entry.http.dialing import Dialer
from poplarrelay.entry.http.listener import Listener
from poplarrelay.entry.http.pool import JsonClient
from poplarrelay.entry.http.tunnels import TunnelRefused, TunnelTarget, open_tunnel
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.floods import Flood
from poplarrelay.testing.flooding import LoopUse, flood_server

#: Time in seconds after which a client gives up.
TIMEOUT_S = 1.0
#: Largest size in bytes of a body that a client accepts.
MAX_BODY_BYTES = 100_000
#: Largest share of the event loop for one connection, with the cost of its reads.
MAX_SHARE = 0.4
#: Kinds that are larger than a bound on bytes, in place of the bound on time.
TOO_LARGE = [
    Flood.INTERIM_RESPONSES,
    Flood.STATUS_LINE,
    Flood.HEADERS,
    Flood.HEADER,
    Flood.CHUNK_SIZE,
    Flood.CHUNK_EXTENSION,
    Flood.TRAILERS,
    Flood.LARGE_CHUNKS,
    Flood.UNFRAMED_BODY,
    Flood.BODY,
]
TARGET = TunnelTarget(EndpointId("r"), ("127.0.0.1", 1))


async def use(connection):
    """Send a request, and return the error of its answer."""
    try:
        connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
        async with asyncio.timeout(TIMEOUT_S):
            await connection.complete_response(MAX_BODY_BYTES)
    except (ExchangeFailed, TimeoutError) as error:
        return error
    finally:
        connection.abort()
    raise AssertionError("a whole answer")


@pytest.mark.parametrize("fast", [True, False])
@pytest.mark.parametrize("flood", Flood)
def test_answer_without_end_fails_within_its_bounds(flood, fast):
    async def scenario():
        with flood_server(flood.beginning, flood.unit, fast) as server:
            connection = await Connection.open(*server.address, 1.0)
            loop_use, started_at = LoopUse(), monotonic()
            error = await use(connection)
            if fast and flood in TOO_LARGE:
                assert isinstance(error, ExchangeFailed)
            if fast and monotonic() - started_at > 0.5:
                assert loop_use.share < MAX_SHARE
            pending, _ = connection._http.trailing_data
            assert len(pending) < 1_000_000
            assert connection._buffered_bytes < 1_000_000

    asyncio.run(scenario())


@pytest.mark.parametrize("flood", [Flood.TINY_CHUNKS, Flood.EVENTS_OF_ONE_BYTE])
def test_tiny_chunks_leave_the_event_loop_to_others(flood):
    # Guards against one endpoint that delays all callers of a node.
    async def scenario():
        with flood_server(flood.beginning, flood.unit) as server:
            connections = [await Connection.open(*server.address, 1.0) for _ in "ab"]
            loop_use = LoopUse()
            tasks = [asyncio.create_task(use(each)) for each in connections]
            delays = []
            for _ in range(40):
                started_at = asyncio.get_running_loop().time()
                await asyncio.sleep(0.02)
                delays.append(asyncio.get_running_loop().time() - started_at)
            assert loop_use.share < 2 * MAX_SHARE
            assert sorted(delays)[20] < 0.04
            await asyncio.gather(*tasks)

    asyncio.run(scenario())


def test_interim_responses_are_bounded():
    # Guards against interim responses that are read for as long as they come.
    async def scenario():
        flood = Flood.INTERIM_RESPONSES
        with flood_server(flood.beginning, flood.unit) as server:
            connection = await Connection.open(*server.address, 1.0)
            error = await use(connection)
            assert f"more than {MAX_INTERIM_RESPONSES} interim" in str(error)

    asyncio.run(scenario())


def test_few_interim_responses_are_skipped():
    async def scenario():
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        interim = Flood.INTERIM_RESPONSES.unit * MAX_INTERIM_RESPONSES
        with flood_server(interim + answer, b"x") as server:
            connection = await Connection.open(*server.address, 1.0)
            connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
            response = await connection.complete_response(MAX_BODY_BYTES)
            assert (response.status, response.body) == (200, b"ok")

    asyncio.run(scenario())


@pytest.mark.parametrize("flood", Flood)
def test_json_client_gives_up_in_time(flood):
    # The store, the cloud API and peers are called through this client.
    async def scenario():
        with flood_server(flood.beginning, flood.unit) as server:
            client = JsonClient(server.address, 1.0, MAX_BODY_BYTES)
            started_at = monotonic()
            with pytest.raises((ExchangeFailed, TimeoutError)):
                async with asyncio.timeout(TIMEOUT_S):
                    await client.call("GET", "/", [], b"")
            assert monotonic() - started_at < TIMEOUT_S + 0.5

    asyncio.run(scenario())


@pytest.mark.parametrize("flood", Flood)
def test_peer_that_answers_without_end_is_given_up_in_time(flood):
    async def scenario():
        with flood_server(flood.beginning, flood.unit) as server:
            started_at = monotonic()
            with contextlib.suppress(TunnelRefused):
                connection = await open_tunnel(Dialer(), server.address, TARGET, 0.5)
                await use(connection)
            assert monotonic() - started_at < 0.5 + TIMEOUT_S + 0.5

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "content", [Flood.INTERIM_RESPONSES.unit, Flood.TINY_CHUNKS.unit]
)
@pytest.mark.parametrize("frame_bytes", [1, 1000])
def test_frames_of_a_tunnel_without_end_are_bounded(content, frame_bytes):
    async def scenario():
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        start = Flood.TINY_CHUNKS.beginning
        data = (content * 1000)[: len(content) * 1000 // frame_bytes * frame_bytes]
        parts = [data[i : i + frame_bytes] for i in range(0, len(data), frame_bytes)]
        unit = b"".join(len(part).to_bytes(4) + part for part in parts)
        beginning = head + len(start).to_bytes(4) + start
        if content == Flood.INTERIM_RESPONSES.unit:
            beginning = head
        with flood_server(beginning, unit) as server:
            connection = await open_tunnel(Dialer(), server.address, TARGET, 1.0)
            loop_use, started_at = LoopUse(), monotonic()
            error = await use(connection)
            assert isinstance(error, ExchangeFailed | TimeoutError)
            if monotonic() - started_at > 0.5:
                assert loop_use.share < MAX_SHARE

    asyncio.run(scenario())


HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = CallerLimits(
    max_header_bytes=10_000,
    max_body_bytes=1_000_000,
    header_timeout_s=0.8,
    idle_timeout_s=0.8,
)


@pytest.mark.parametrize("fast", [True, False])
@pytest.mark.parametrize(
    ("beginning", "unit"),
    [
        (b"", b"x"),
        (b"", b"\r\n"),
        (b"POST / HTTP/1.1\r\n", b"X-A: b\r\n"),
        (b"POST / HTTP/1.1\r\nX-A: ", b"x"),
        (CHUNKED, b"0"),
        (CHUNKED + b"1;", b"x"),
        (CHUNKED, b"1\r\nx\r\n"),
        (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
        (HEAD + b"Content-Length: 900000\r\n\r\n", b""),
        (HEAD + b"Content-Length: 999999999\r\n\r\n", b"x"),
    ],
)
def test_request_without_end_is_rejected_within_its_bounds(beginning, unit, fast):
    async def scenario():
        async def handle(request, exchange):
            await exchange.send(200, [], b"")

        listener = Listener("127.0.0.1", 0, handle, lambda: LIMITS)
        await listener.start()
        loop_use = LoopUse()
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        block = unit * (65_536 // len(unit) if fast and unit else 1)
        done = threading.Event()
        sock = writer.get_extra_info("socket").dup()
        sock.setblocking(True)

        def flood():
            with contextlib.suppress(OSError):
                sock.sendall(beginning)
                while not done.wait(0 if fast else 0.02):
                    sock.sendall(block)

        thread = threading.Thread(target=flood, daemon=True)
        thread.start()
        started_at = monotonic()
        async with asyncio.timeout(4.0):
            with contextlib.suppress(ConnectionError):
                assert (await reader.read(20)).startswith(b"HTTP/1.1 4")
            while listener.connections:
                await asyncio.sleep(0.02)
        if monotonic() - started_at > 0.5:
            assert loop_use.share < MAX_SHARE
        done.set()
        writer.close()
        sock.close()
        listener.stop()

    asyncio.run(scenario())
