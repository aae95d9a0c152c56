"""Client connections, with one request and response at a time."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count
from time import monotonic
from typing import Protocol

import h11

from poplarrelay.entry.caller_budget import SMALL_ANSWER_BYTES
from poplarrelay.entry.http.buffers import read_buffer
from poplarrelay.entry.http.dialing import Dialer
from poplarrelay.entry.http.sockets import (
    BUSY_SILENCE_MS,
    IDLE_SILENCE_MS,
    allow_silence,
    enable_dead_peer_detection,
)
from poplarrelay.entry.http.turns import ParsingTurns
from poplarrelay.exception import ExchangeFailed

__all__ = [
    "BODILESS_STATUSES",
    "CompleteResponse",
    "Connection",
    "ConnectionObserver",
    "Headers",
    "ResponseHead",
    "fetch",
    "header_value",
]

Headers = list[tuple[bytes, bytes]]

_NUMBERS = count(1)
#: Number of unread body bytes at which reading from the socket pauses, so that a slow
#: consumer slows the sender down instead of filling memory.
PAUSE_AT_BYTES = 32_768
#: Largest size in bytes of a response's head, and largest number of interim responses
#: before it.
MAX_HEAD_BYTES, MAX_INTERIM_RESPONSES = 65_536, 100
#: Statuses of responses that never have a body.
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
#: Share of the announced keep-alive time for which an idle connection is reused. The
#: rest covers the network delay: bytes that arrive after the server has closed the
#: connection are lost, and the client cannot tell whether the server read them.
KEEP_ALIVE_SHARE = 0.6
#: Seconds for which an idle connection without an announced keep-alive time is reused.
DEFAULT_IDLE_S = 4.0


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; the name must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes
    ----------
    framed : bool
        Whether the body has a stated length, is chunked, or is empty because of the
        status. Any other body ends when the connection is closed.
    """

    status: int
    headers: Headers
    framed: bool


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that has arrived completely."""

    status: int
    headers: Headers
    body: bytes


class ConnectionObserver(Protocol):
    """Observes a connection."""

    def heard(self) -> None:
        """Note that the server has sent bytes."""

    def lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""


class Connection(asyncio.BufferedProtocol):
    """One HTTP/1.1 connection to a server.

    Attributes
    ----------
    opened_at : float
        Monotonic time at which it was opened.
    number : int
        Number of the connection in its process, for the log.
    request_count : int
        Number of requests sent on it.
    carrier : str or None
        Host of the peer that relays the connection, None for a direct connection.
    observer : ConnectionObserver or None
        Observer of the connection.
    """

    def __init__(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._events: deque[h11.Event] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._closed = False
        self._busy = False
        self._sent = False
        self._reading_paused = False
        self._turns = ParsingTurns(
            self._parse_event, self._turn_changed, self._fail_behind
        )
        self._held = False
        self._interim_responses = 0
        self._at_end = False
        self._idle_until = 0.0
        self._retired = False
        self._sent_at = 0.0
        self._received_at = 0.0
        self.opened_at = 0.0
        self.number = next(_NUMBERS)
        self.request_count = 0
        self.carrier: str | None = None
        self.observer: ConnectionObserver | None = None

    @property
    def unanswered_since(self) -> float | None:
        """Return the monotonic time of a request without any answer yet, else None."""
        if not self._sent or self._received_at >= self._sent_at:
            return None
        return self._sent_at

    @property
    def quiet_since(self) -> float | None:
        """Return the monotonic time of the last byte sent or received for a request.

        None if no request is in progress.
        """
        return max(self._sent_at, self._received_at) if self._sent else None

    @classmethod
    async def open(
        cls, host: str, port: int, timeout_s: float, dialer: Dialer | None = None
    ) -> Connection:
        """Connect to a server.

        Raises
        ------
        ExchangeFailed
            If connecting fails or times out.
        """
        dialer = dialer or Dialer()
        try:
            async with asyncio.timeout(timeout_s):
                return await dialer.connect(cls, (host, port))
        except (OSError, TimeoutError) as error:
            raise ExchangeFailed(f"cannot connect: {error!r}", sent=False) from error

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = monotonic()
        enable_dead_peer_detection(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        self.data_received(bytes(read_buffer()[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes."""
        self._received_at = monotonic()
        if self.observer is not None:
            self.observer.heard()
        if not self._busy:
            # Without a request in progress, bytes such as a second answer to the last
            # request would be mistaken for the answer to the next one.
            self._fail("received bytes without a request in progress")
            return
        self._parse(data)

    def eof_received(self) -> bool:
        """Handle end-of-file, which ends a body without a stated length."""
        self._closed = self._failure is None
        self._at_end = True
        if self._busy:
            self._parse(b"")
        if self._turns.waiting:
            return True
        self._fail("closed by the server")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        if self._failure is None and isinstance(exc, ConnectionError):
            # Unanswered keep-alive probes give a TimeoutError instead, which does not
            # show that the server closed the connection.
            self._closed = True
        self._fail(f"connection lost: {exc!r}")
        # Freed without a garbage collection.
        self._turns.end()
        if self.observer is not None:
            observer, self.observer = self.observer, None
            observer.lost(exc)

    # reading

    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail(f"invalid HTTP response: {error}")
            return
        self._turns.run()

    def _parse_event(self) -> bool:
        """Parse one event; return whether another one may follow."""
        if self._failure is not None:
            return False
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._fail(f"invalid HTTP response: {error}")
            return False
        if not isinstance(event, h11.Event) or isinstance(event, h11.ConnectionClosed):
            return False
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail(f"more than {MAX_INTERIM_RESPONSES} interim responses")
            return True
        self._events.append(event)
        if isinstance(event, h11.Data):
            self._buffered_bytes += len(event.data)
            self._update_reading()
        self._wake()
        return not isinstance(event, h11.EndOfMessage)

    def _fail_behind(self) -> None:
        self._fail("response in more pieces than can be parsed")

    def _turn_changed(self) -> None:
        if self._at_end and not self._turns.waiting:
            self._fail("closed by the server")
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only if the parser and the consumer have caught up."""
        if self._transport is None or self._failure is not None:
            return
        full = self._buffered_bytes > PAUSE_AT_BYTES
        if self._reading_paused:
            full = full or self._buffered_bytes >= PAUSE_AT_BYTES // 2
        pause = full or self._turns.waiting or self._held
        if pause == self._reading_paused:
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def hold_reading(self, hold: bool) -> None:
        """Read nothing while what carries the connection must catch up."""
        self._held = hold
        self._update_reading()

    def _fail(self, problem: str) -> None:
        """Abort the connection; every later use fails with the first problem."""
        if self._failure is None:
            self._failure = problem
        self._turns.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next(self) -> h11.Event:
        while not self._events:
            if self._failure is not None:
                raise ExchangeFailed(self._failure, self._sent, self._closed)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._buffered_bytes -= len(event.data)
            self._update_reading()
        return event

    # request and response

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a complete request.

        Raises
        ------
        ExchangeFailed
            If the connection has failed before; nothing is sent then.
        """
        if self._failure is not None or self._transport is None:
            raise ExchangeFailed(self._failure or "not connected", sent=False)
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(request) or b""]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._busy = True
        self._interim_responses = 0
        self._sent = True
        self._sent_at = monotonic()
        self.request_count += 1
        self._transport.write(b"".join(parts))

    async def response_head(self) -> ResponseHead:
        """Wait for the response's head."""
        event = await self._next()
        if not isinstance(event, h11.Response):
            raise ExchangeFailed(
                f"{type(event).__name__} instead of a response head", self._sent
            )
        headers = [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
        framed = (
            event.status_code in BODILESS_STATUSES
            or header_value(headers, b"content-length") is not None
            or header_value(headers, b"transfer-encoding") is not None
        )
        return ResponseHead(event.status_code, headers, framed)

    async def body_part(self) -> bytes | None:
        """Wait for the next bytes of the body; return None at its end."""
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    async def body(
        self, limit: int, reserve: Callable[[int], Awaitable[None]] | None = None
    ) -> bytes:
        """Wait for the complete body.

        Parameters
        ----------
        limit : int
            Largest size in bytes.
        reserve : callable or None
            Awaited with the size of each part of a large body before the next one is
            read.

        Raises
        ------
        ExchangeFailed
            If the body is truncated or is larger than the limit.
        """
        parts: list[bytes] = []
        size = 0
        while (part := await self.body_part()) is not None:
            parts.append(part)
            size += len(part)
            if reserve is not None and size > SMALL_ANSWER_BYTES:
                await reserve(len(part))
            if size > limit:
                self.abort()
                raise ExchangeFailed(
                    f"response body is larger than {limit} bytes", sent=True
                )
        return b"".join(parts)

    async def complete_response(self, limit: int) -> CompleteResponse:
        """Wait for the complete response."""
        head = await self.response_head()
        return CompleteResponse(head.status, head.headers, await self.body(limit))

    # after the response

    def prepare_reuse(self, response_headers: Headers, now: float) -> bool:
        """Prepare the connection for another request; return whether that is possible.

        Notes
        -----
        The connection is aborted if bytes follow the complete response, as they belong
        to no request. It is also aborted if bytes of the request are still unsent: the
        next request would be appended to them.
        """
        if self._failure is not None or self._transport is None:
            return False
        if self._retired:
            self.abort()
            return False
        pending, _ = self._http.trailing_data
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
            or pending
            or self._transport.get_write_buffer_size() > 0
        ):
            self.abort()
            return False
        self._http.start_next_cycle()
        self._busy = False
        self._sent = False
        self._idle_until = now + _idle_s(response_headers)
        return True

    def keep_idle(self, now: float) -> None:
        """Allow a new connection to wait for its first request."""
        self._idle_until = now + DEFAULT_IDLE_S

    def expect_silence(self, expected: bool = True) -> None:
        """Keep the connection while the server is silent for some seconds, or not.

        An idle connection must end sooner: a request sent on it would be lost.
        """
        if self._transport is not None and self._failure is None:
            sock = self._transport.get_extra_info("socket")
            allow_silence(sock, BUSY_SILENCE_MS if expected else IDLE_SILENCE_MS)

    @property
    def ended(self) -> bool:
        """Return whether the connection has failed or was closed."""
        return self._failure is not None

    def usable(self, now: float) -> bool:
        """Return whether an idle connection can be used for a request now."""
        return self._failure is None and now < self._idle_until

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the end of the connection, have not been read yet.

        Notes
        -----
        On an idle connection they belong to no request. The event loop reads them
        later, when they would be taken for the answer to a request sent meanwhile.
        """
        if self._held or self._transport is None:
            return True
        poller = select.poll()
        sock = self._transport.get_extra_info("socket")
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def retire(self) -> None:
        """Abort the connection, or after the request in progress."""
        self._retired = True
        if not self._busy:
            self.abort()

    def abort(self, reason: str = "dropped") -> None:
        """Abort the connection."""
        self._fail(reason)


def _idle_s(headers: Headers) -> float:
    value = header_value(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return KEEP_ALIVE_SHARE * int(seconds)
    return DEFAULT_IDLE_S


async def fetch(
    connection: Connection,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    limit: int,
) -> CompleteResponse:
    """Send a request and return its response; abort the connection if that fails."""
    try:
        connection.send(method, target, headers, body)
        return await connection.complete_response(limit)
    except BaseException:
        connection.abort()
        raise
