"""Tests of timeouts in a process that is paused for a while."""

import asyncio
import time

import pytest

from poplarrelay.entry.timeouts import CATCH_UP_S, within

PAUSE_S = 0.2


def test_answer_received_during_a_pause_is_returned():
    # Guards against timeouts that discard an answer that is already in the socket.
    async def answer(reader):
        return await reader.readexactly(2) + await reader.readexactly(2)

    async def scenario():
        arrived = asyncio.Event()

        async def serve(reader, writer):
            await reader.readexactly(1)
            writer.write(b"ab")
            writer.write(b"cd")
            await writer.drain()
            arrived.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            reader, writer = await asyncio.open_connection(
                *server.sockets[0].getsockname()
            )
            waiting = asyncio.create_task(within(0.1, answer(reader)))
            await asyncio.sleep(0)
            writer.write(b"?")
            await arrived.wait()
            time.sleep(PAUSE_S)
            assert await waiting == b"abcd"
            writer.close()

    asyncio.run(scenario())


def test_timeout_expires_without_a_pause():
    async def scenario():
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            await within(0.05, asyncio.sleep(30))
        return time.monotonic() - started_at

    assert 0.05 <= asyncio.run(scenario()) < 5


def test_timeout_expires_soon_after_a_pause():
    async def scenario():
        waiting = asyncio.create_task(within(0.1, asyncio.sleep(30)))
        await asyncio.sleep(0)
        time.sleep(PAUSE_S)
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            await waiting
        return time.monotonic() - started_at

    assert asyncio.run(scenario()) >= CATCH_UP_S


def test_failure_is_passed_on():
    async def fail():
        raise ValueError("malformed")

    async def scenario():
        with pytest.raises(ValueError, match="malformed"):
            await within(1.0, fail())

    asyncio.run(scenario())
