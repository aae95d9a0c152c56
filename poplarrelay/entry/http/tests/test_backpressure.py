"""Callers that send requests ahead, or take their answers slowly or never."""

import asyncio
import contextlib

from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.http.listener import MAX_EARLY_BYTES
from poplarrelay.testing.raw_callers import GET, ask, connect, read_head, run_listener


def pending_bytes(connection):
    return len(connection._http.trailing_data[0])


def test_requests_behind_an_answer_that_is_not_taken_wait():
    # Guards against answers and requests that pile up behind a caller who never reads.
    async def scenario():
        begun = []

        async def answer(incoming, exchange):
            begun.append(incoming)
            await exchange.send(200, [], b"x" * 100_000)

        async with (
            run_listener(answer) as listener,
            connect(listener, 20_000 * GET) as (reader, _),
        ):
            sizes, number = [], -1
            while number < len(begun):
                number = len(begun)
                await asyncio.sleep(0.2)
                (connection,) = listener.connections
                sizes.append(pending_bytes(connection))
            assert number < 200
            assert max(sizes) <= 3 * MAX_EARLY_BYTES
            transport = connection._transport
            assert transport is not None
            assert transport.get_write_buffer_size() <= 110_000
            for _ in range(number + 50):
                assert "200 OK" in await read_head(reader)
                await reader.readexactly(100_000)

    asyncio.run(scenario())


def test_bytes_behind_requests_in_sequence_are_bounded():
    # Guards against an allowance for early bytes that begins anew with each request.
    async def scenario():
        async def answer(incoming, exchange):
            await asyncio.sleep(0.001)
            await exchange.send(200, [], b"")

        async with (
            run_listener(answer) as listener,
            connect(listener, 30_000 * GET) as (reader, _),
        ):
            most = 0
            for _ in range(300):
                await read_head(reader)
                (connection,) = listener.connections
                most = max(most, pending_bytes(connection))
            assert most <= 3 * MAX_EARLY_BYTES

    asyncio.run(scenario())


def test_requests_sent_ahead_leave_the_loop_to_others():
    # Guards against a caller whose next request is always ready.
    async def scenario():
        async with run_listener() as listener, contextlib.AsyncExitStack() as stack:
            for _ in range(10):
                reader, _ = await stack.enter_async_context(
                    connect(listener, 50_000 * GET)
                )
                stack.push_async_callback(_cancel, _discard(reader))
            for _ in range(20):
                assert await ask(listener) == "200"

    def _discard(reader):
        async def read():
            while await reader.read(65_536):
                pass

        return asyncio.create_task(read())

    async def _cancel(task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_caller_that_reads_slowly_gets_its_whole_answer():
    async def scenario():
        async def answer(incoming, exchange):
            exchange.served = True
            exchange.allow_silence_until(asyncio.get_running_loop().time() + 5)
            await exchange.send(200, [], b"x" * 3_000_000)

        limits = CallerLimits(idle_timeout_s=0.2)
        async with (
            run_listener(answer, limits=lambda: limits) as listener,
            connect(listener, GET) as (reader, _),
        ):
            await asyncio.sleep(1.0)
            await read_head(reader)
            received = 0
            while received < 3_000_000:
                part = await reader.read(200_000)
                assert part
                received += len(part)
                await asyncio.sleep(0.02)

    asyncio.run(scenario())
