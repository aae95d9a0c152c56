"""Responses that end before they are complete, as listeners count them."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.http.listener import Listener
from poplarrelay.testing.entry_site import poll_until

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
#: More bytes than the buffers of a loopback connection take.
LARGE_BODY = b"x" * 20_000_000


@asynccontextmanager
async def connected(handler):
    """Yield a listener, the reasons that it counts, and a caller's connection."""
    reasons: list[CutReason] = []
    listener = Listener("127.0.0.1", 0, handler, on_cut=reasons.append)
    await listener.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
    try:
        yield listener, reasons, reader, writer
    finally:
        writer.close()
        listener.stop()


async def begin_and_wait(request, exchange):
    exchange.start(200, [])
    await asyncio.Event().wait()


async def begin_and_fail(request, exchange):
    exchange.start(200, [])
    raise RuntimeError("in a test")


async def begin_and_break_off(request, exchange):
    exchange.start(200, [])
    exchange.abort()


async def answer(request, exchange):
    await exchange.send(200, [], LARGE_BODY)


@pytest.mark.parametrize(
    ("handler", "reason"),
    [
        (begin_and_fail, CutReason.FAILED),
        (begin_and_break_off, CutReason.BROKEN_OFF),
    ],
)
def test_response_that_the_handler_ends_is_counted(handler, reason):
    async def scenario():
        async with connected(handler) as (_, reasons, _, writer):
            writer.write(REQUEST)
            await poll_until(lambda: reasons == [reason])

    asyncio.run(scenario())


def test_departure_of_the_caller_and_the_end_of_the_node_are_told_apart():
    async def scenario():
        async with connected(begin_and_wait) as (listener, reasons, reader, writer):
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            await poll_until(lambda: reasons == [CutReason.CALLER_LEFT])
        async with connected(begin_and_wait) as (listener, reasons, reader, writer):
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            for connection in list(listener.connections):
                connection.close(CutReason.STOPPED)
            await poll_until(lambda: reasons == [CutReason.STOPPED])

    asyncio.run(scenario())


def test_response_that_the_caller_has_not_taken_is_counted():
    async def scenario():
        async with connected(answer) as (listener, reasons, reader, writer):
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            (connection,) = listener.connections
            await poll_until(lambda: connection.idle)
            connection.close(CutReason.STOPPED)
            connection.abort(CutReason.STOPPED)
            assert reasons == [CutReason.UNDELIVERED]

    asyncio.run(scenario())


def test_complete_response_is_not_counted():
    async def scenario():
        async def short(request, exchange):
            await exchange.send(200, [], b"answer")

        async with connected(short) as (listener, reasons, reader, writer):
            writer.write(REQUEST)
            assert (await reader.readuntil(b"answer")).endswith(b"answer")
            writer.close()
            await poll_until(lambda: not listener.connections)
            assert reasons == []

    asyncio.run(scenario())
