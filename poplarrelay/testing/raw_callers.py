"""Listeners and raw connections of callers, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.http.listener import (
    Exchange,
    Handler,
    IncomingRequest,
    Listener,
)

__all__ = ["GET", "answer_small", "ask", "connect", "read_head", "run_listener"]

#: A request without a body.
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
#: Receive buffer of a caller in bytes, so that the kernel does not hold a whole answer.
RECEIVE_BYTES = 65_536
#: Seconds within which the head of an answer must arrive.
HEAD_TIMEOUT_S = 5.0


async def answer_small(incoming: IncomingRequest, exchange: Exchange) -> None:
    """Answer a request at once."""
    exchange.served = True
    await exchange.send(200, [], b"done")


@contextlib.asynccontextmanager
async def run_listener(
    handler: Handler = answer_small,
    limits: Callable[[], CallerLimits] = CallerLimits,
    **options: Any,
) -> AsyncIterator[Listener]:
    """Run a listener on a free port; `options` are further ones of `Listener`."""
    listener = Listener("127.0.0.1", 0, handler, limits, **options)
    await listener.start()
    try:
        yield listener
    finally:
        listener.stop()
        for connection in list(listener.connections):
            connection.abort()


@contextlib.asynccontextmanager
async def connect(
    listener: Listener, content: bytes = b""
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to a listener and send some bytes."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", listener.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    writer.write(content)
    try:
        yield reader, writer
    finally:
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> str:
    """Return the head of an answer."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HEAD_TIMEOUT_S)
    return head.decode()


async def ask(listener: Listener) -> str:
    """Send one request on a new connection, and return the status of its answer."""
    async with connect(listener, GET) as (reader, _):
        return (await read_head(reader)).split()[1]
