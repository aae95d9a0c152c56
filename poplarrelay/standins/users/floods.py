"""Bytes without end that a server in trouble sends in place of an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

from poplarrelay.entry.http.listener import Exchange

__all__ = ["Flood", "flood_caller", "send_flood"]

#: Size in bytes of one write of a fast flood, and seconds between two bytes or units of
#: a slow one.
BLOCK_BYTES, SLOW_PAUSE_S = 65_536, 0.02

_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class Flood(Enum):
    """What a server sends until its client closes the connection."""

    INTERIM_RESPONSES = "interim responses"
    STATUS_LINE = "status line"
    HEADERS = "headers"
    HEADER = "header"
    BLANK_LINES = "blank lines"
    CHUNK_SIZE = "chunk size"
    CHUNK_EXTENSION = "chunk extension"
    TINY_CHUNKS = "tiny chunks"
    LARGE_CHUNKS = "large chunks"
    TRAILERS = "trailers"
    BODY = "body"
    UNFRAMED_BODY = "body without a length"
    EVENT = "event"
    EVENTS_OF_ONE_BYTE = "tiny chunks of an event"

    @property
    def beginning(self) -> bytes:
        """Return the bytes before the part that never ends."""
        return _PARTS[self][0]

    @property
    def unit(self) -> bytes:
        """Return the bytes that are sent again and again."""
        return _PARTS[self][1]


_PARTS = {
    Flood.INTERIM_RESPONSES: (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    Flood.STATUS_LINE: (b"HTTP/1.1 200 ", b"x"),
    Flood.HEADERS: (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    Flood.HEADER: (b"HTTP/1.1 200 OK\r\nX-A: ", b"x"),
    Flood.BLANK_LINES: (b"", b"\r\n"),
    Flood.CHUNK_SIZE: (_CHUNKED, b"0"),
    Flood.CHUNK_EXTENSION: (_CHUNKED + b"1;", b"x"),
    Flood.TINY_CHUNKS: (_CHUNKED, b"1\r\nx\r\n"),
    Flood.LARGE_CHUNKS: (_CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    Flood.TRAILERS: (_CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    Flood.BODY: (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", b"x"),
    Flood.UNFRAMED_BODY: (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    Flood.EVENT: (_STREAM + b"6\r\ndata: \r\n", b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    Flood.EVENTS_OF_ONE_BYTE: (_STREAM + b"6\r\ndata: \r\n", b"1\r\nx\r\n"),
}


async def send_flood(
    write: Callable[[bytes], None],
    drain: Callable[[], Awaitable[None]],
    is_closed: Callable[[], bool],
    flood: Flood,
    fast: bool,
    headers: bytes = b"",
) -> None:
    """Send bytes until the client closes the connection.

    Parameters
    ----------
    write, drain, is_closed : callable
        Write bytes, wait until more can be written, and return whether the connection
        is closed.
    flood : Flood
        What is sent.
    fast : bool
        Whether it is sent as fast as the client reads.
    headers : bytes
        Lines that a response with a whole status line begins with.
    """
    write(flood.beginning.replace(_STATUS_LINE, _STATUS_LINE + headers, 1))
    unit = flood.unit
    if fast:
        unit *= BLOCK_BYTES // len(unit)
    while not is_closed():
        write(unit)
        await drain()
        # Where no backpressure stops the sender, other tasks must run as well.
        await asyncio.sleep(0 if fast else SLOW_PAUSE_S)


async def flood_caller(exchange: Exchange, flood: Flood, fast: bool) -> None:
    """Send bytes without end in place of the response to a request."""
    connection = exchange._connection
    transport = connection._transport
    assert transport is not None
    await send_flood(
        transport.write,
        connection.writable,
        lambda: exchange.caller_disconnected,
        flood,
        fast,
    )
