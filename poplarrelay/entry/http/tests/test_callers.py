"""Callers that send early, close their sending side or read slowly."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.http.listener import Listener
from poplarrelay.testing.entry_site import poll_until

BODY = b"x" * 7_000_000
#: Receive buffer of a caller in bytes, so that the kernel does not hold a whole answer.
RECEIVE_BYTES = 65_536


@asynccontextmanager
async def connected(handler):
    """Yield a listener, the reasons that it counts, and a caller's connection."""
    reasons: list[CutReason] = []
    listener = Listener("127.0.0.1", 0, handler, on_cut=reasons.append)
    await listener.start()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.connect(("127.0.0.1", listener.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    try:
        yield listener, reasons, reader, writer
    finally:
        writer.close()
        listener.stop()


def request(target, size=0, *headers):
    lines = [f"POST {target} HTTP/1.1", "Host: a", f"Content-Length: {size}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + b"x" * size


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    size = int(head.partition("content-length: ")[2].split("\r\n")[0])
    return int(head.split()[1]), await reader.readexactly(size)


def test_many_early_bytes_wait_for_the_request_in_progress():
    # Guards against a reset of a request because of the one that follows it.
    async def scenario():
        release = asyncio.Event()

        async def answer(incoming, exchange):
            await release.wait()
            await exchange.send(200, [], str(len(incoming.body)).encode())

        async with connected(answer) as (_, reasons, reader, writer):
            for number in range(4):
                writer.write(request(f"/{number}", 900_000))
            await asyncio.sleep(0.3)
            release.set()
            for _ in range(4):
                assert await read_answer(reader) == (200, b"900000")
            assert reasons == []

    asyncio.run(scenario())


def test_paused_caller_uses_bounded_memory():
    async def scenario():
        async def wait(incoming, exchange):
            await asyncio.Event().wait()

        async with connected(wait) as (listener, _, _, writer):
            writer.write(request("/", 10))
            writer.write(b"x" * 50_000_000)
            await asyncio.sleep(0.5)
            (connection,) = listener.connections
            pending, _ = connection._http.trailing_data
            assert len(pending) < 1_000_000

    asyncio.run(scenario())


@pytest.mark.parametrize("runs_to_end", [False, True])
def test_half_closed_caller_gets_the_answer_of_work_that_runs_to_its_end(runs_to_end):
    # Guards against an answer that is ready and not delivered.
    async def scenario():
        ended = []

        async def answer(incoming, exchange):
            if runs_to_end:
                exchange.on_disconnect(lambda: None)
            await asyncio.sleep(0.2)
            ended.append(True)
            await exchange.send(200, [], b"done")

        async with connected(answer) as (listener, reasons, reader, writer):
            writer.write(request("/"))
            await poll_until(lambda: listener.busy)
            writer.write_eof()
            if runs_to_end:
                assert await read_answer(reader) == (200, b"done")
                assert reasons == []
            else:
                assert await reader.read() == b""
                assert reasons == [CutReason.CALLER_LEFT]
            await poll_until(lambda: not listener.connections)
            assert bool(ended) is runs_to_end

    asyncio.run(scenario())


def test_bytes_behind_the_last_answer_do_not_reset_it():
    # Guards against a close with unread bytes, whose reset destroys a written answer.
    async def scenario():
        async def answer(incoming, exchange):
            await exchange.send(200, [], BODY)

        async with connected(answer) as (_, reasons, reader, writer):
            writer.write(request("/", 0, "Connection: close"))
            await reader.readuntil(b"\r\n\r\n")
            received = len(await reader.read(100_000))
            while received < len(BODY):
                writer.write(b"early bytes")
                part = await reader.read(100_000)
                assert part, f"{received} of {len(BODY)} bytes"
                received += len(part)
            assert reasons == []

    asyncio.run(scenario())


def test_answer_that_cannot_be_written_ends_with_a_failure_status():
    # Guards against a connection that closes without any answer.
    async def scenario():
        async def answer(incoming, exchange):
            await exchange.send(200, [(b"bad header", b"line\r\nbreak")], b"")

        async with connected(answer) as (_, reasons, reader, writer):
            writer.write(request("/"))
            assert await read_answer(reader) == (502, b"")
            assert await reader.read() == b""
            assert reasons == []

    asyncio.run(scenario())
