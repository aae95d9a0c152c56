"""Connections of callers that share the budget of a process."""

import asyncio
import contextlib
import errno
import gc
import socket
import weakref
from typing import cast

import pytest

from poplarrelay.entry.caller_budget import (
    CALLERS,
    REQUEST_BYTES,
    CallerBudget,
    Capacity,
    Limit,
    Reaction,
)
from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.testing.entry_site import poll_until
from poplarrelay.testing.raw_callers import (
    GET,
    answer_small,
    ask,
    connect,
    read_head,
    run_listener,
)

KB, MB = 1_000, 1_000_000


def upload(size, sent):
    head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + b"x" * sent


def test_body_without_room_is_refused_before_it_is_read():
    async def scenario():
        budget = CallerBudget(Capacity(1 * MB, 3 * REQUEST_BYTES))
        async with (
            run_listener(
                budget=budget, identify=lambda h: {"request": "q"}
            ) as listener,
            connect(listener, upload(800 * KB, 0)) as (reader, _),
        ):
            head = await read_head(reader)
            assert " 503 " in head
            retry_s = float(head.lower().partition("retry-after: ")[2].split()[0])
            assert 0.5 <= retry_s <= 1.0
            assert await ask(listener) == "200"
        assert budget.reactions[Limit.MEMORY, CALLERS, Reaction.REFUSED] == 1

    asyncio.run(scenario())


def test_complete_request_without_room_is_refused_and_another_one_served():
    async def scenario():
        release = asyncio.Event()

        async def answer(incoming, exchange):
            await release.wait()
            await answer_small(incoming, exchange)

        budget = CallerBudget(Capacity(1 * MB, 2.5 * REQUEST_BYTES))
        async with run_listener(answer, budget=budget) as listener:
            async with (
                connect(listener, GET) as (first, _),
                connect(listener, GET) as (second, _),
            ):
                await poll_until(lambda: budget.pinned_bytes == 2 * REQUEST_BYTES)
                async with connect(listener, GET + GET) as (third, _):
                    for _ in range(2):
                        head = await read_head(third)
                        assert " 503 " in head
                        assert "retry-after" in head.lower()
                release.set()
                assert " 200 " in await read_head(first)
                assert " 200 " in await read_head(second)
            assert await ask(listener) == "200"

    asyncio.run(scenario())


@pytest.mark.parametrize("content", [b"", b"GET / HTTP/1.1\r\nHost", upload(10_000, 1)])
def test_ordinary_callers_get_their_turn_among_silent_ones(content):
    async def scenario():
        budget = CallerBudget(Capacity(connections={CALLERS: 32}))
        async with (
            run_listener(budget=budget) as listener,
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(100):
                await stack.enter_async_context(connect(listener, content))
            for _ in range(10):
                assert await ask(listener) == "200"
            assert len(listener.connections) <= 32
            closed = budget.reactions[Limit.CONNECTIONS, CALLERS, Reaction.CLOSED]
            assert closed >= 100 - 32

    asyncio.run(scenario())


def test_unfinished_request_that_gives_way_is_refused():
    async def scenario():
        budget = CallerBudget(Capacity(held_bytes=500 * KB, pinned_bytes=400 * KB))
        async with run_listener(budget=budget) as listener:
            async with (
                connect(listener, upload(160 * KB, 150 * KB)) as (first, _),
                connect(listener, upload(160 * KB, 150 * KB)),
                connect(listener, upload(160 * KB, 150 * KB)),
            ):
                await poll_until(lambda: budget.held_bytes > 440 * KB)
                async with connect(listener, upload(160 * KB, 150 * KB)):
                    assert " 503 " in await read_head(first)
                    assert budget.held_bytes <= 500 * KB
            await poll_until(lambda: not listener.connections)
            assert budget.held_bytes == 0

    asyncio.run(scenario())


def test_heads_of_many_fields_count_with_all_that_they_take():
    async def scenario():
        fields = b"".join(b"a%d:\r\n" % number for number in range(1500))
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + fields + b"\r\n"
        budget = CallerBudget(Capacity(held_bytes=10 * MB, pinned_bytes=MB))
        async with run_listener(budget=budget) as listener, connect(listener, head):
            await poll_until(lambda: budget.held_bytes > 400 * KB)

    asyncio.run(scenario())


def test_answer_that_is_never_taken_ends_after_its_deadline():
    async def scenario():
        reasons: list[CutReason] = []

        async def answer(incoming, exchange):
            exchange.served = True
            exchange.allow_silence_until(asyncio.get_running_loop().time() + 0.3)
            await exchange.send(200, [], b"x" * 8_000_000)

        budget = CallerBudget(Capacity(held_bytes=20 * MB, pinned_bytes=15 * MB))
        limits = CallerLimits(idle_timeout_s=0.3)
        async with run_listener(
            answer, lambda: limits, budget=budget, on_cut=reasons.append
        ) as listener:
            async with connect(listener, GET):
                await poll_until(lambda: budget.pinned_bytes > 1 * MB)
                await poll_until(lambda: not listener.connections)
            assert reasons == [CutReason.LIMIT]
            assert budget.held_bytes == 0

    asyncio.run(scenario())


def test_lowered_limits_close_silent_connections_and_keep_served_ones():
    async def scenario():
        budget = CallerBudget(Capacity(connections={CALLERS: 100}))
        async with (
            run_listener(budget=budget) as listener,
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(30):
                await stack.enter_async_context(connect(listener))
            async with connect(listener, GET) as (reader, writer):
                await read_head(reader)
                await poll_until(lambda: budget.connections(CALLERS) == 31)
                budget.resize(Capacity(connections={CALLERS: 16}))
                await poll_until(lambda: len(listener.connections) == 16)
                await reader.readexactly(4)
                writer.write(GET)
                assert " 200 " in await read_head(reader)

    asyncio.run(scenario())


def test_system_without_descriptors_pauses_accepting():
    # Guards against one error, with a traceback, for each place in the backlog.
    async def scenario():
        errors: list[dict] = []
        accepts: list[None] = []

        class Exhausted:
            def __init__(self, sock):
                self.sock = sock

            def __getattr__(self, name):
                return getattr(self.sock, name)

            def accept(self):
                accepts.append(None)
                if len(accepts) <= 2:
                    raise OSError(errno.EMFILE, "Too many open files")
                return self.sock.accept()

        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        budget = CallerBudget(Capacity(connections={CALLERS: 100}))
        async with (
            run_listener(budget=budget) as listener,
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(12):
                await stack.enter_async_context(connect(listener))
            await poll_until(lambda: len(listener.connections) == 12)
            accepts.clear()
            acceptor = listener._acceptor
            acceptor._socket = cast(socket.socket, Exhausted(acceptor._socket))
            assert await ask(listener) == "200"
            assert len(accepts) <= 5
            assert errors == []
            closed = budget.reactions[Limit.DESCRIPTORS, CALLERS, Reaction.CLOSED]
            assert closed == 12

    asyncio.run(scenario())


@pytest.mark.parametrize("content", [b"", upload(200 * KB, 100 * KB), 3000 * GET, GET])
def test_closed_connection_is_freed_without_a_garbage_collection(content):
    # Guards against buffers of thousands of closed connections.
    async def scenario():
        async with run_listener() as listener:
            async with connect(listener, content) as (_, writer):
                await poll_until(lambda: listener.connections)
                await asyncio.sleep(0.05)
                (connection,) = listener.connections
                reference = weakref.ref(connection)
                del connection
                writer.transport.abort()
                await poll_until(lambda: not listener.connections)
            await asyncio.sleep(0.05)
            assert reference() is None

    gc.collect()
    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()


def test_large_answers_wait_for_room():
    async def scenario():
        most = 0

        async def answer(incoming, exchange):
            nonlocal most
            for _ in range(10):
                await exchange.reserve(100 * KB)
                most = max(most, budget.held_bytes)
                await asyncio.sleep(0.001)
            await answer_small(incoming, exchange)

        budget = CallerBudget(Capacity(held_bytes=1.5 * MB, pinned_bytes=1.2 * MB))
        async with run_listener(answer, budget=budget) as listener:
            statuses = await asyncio.gather(*(ask(listener) for _ in range(8)))
            assert statuses == 8 * ["200"]
            assert most <= 1.5 * MB + 1 * MB
            assert budget.held_bytes == 0

    asyncio.run(scenario())
