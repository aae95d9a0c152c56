"""Listeners: incoming connections, one request at a time on each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from time import monotonic

import h11

from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.http.connection import Headers, header_value
from poplarrelay.entry.http.sockets import guard_against_silence

__all__ = ["Exchange", "Handler", "IncomingRequest", "Listener"]

#: Seconds for which the rest of a refused body is read and dropped. Closing with
#: unread bytes resets the connection, and the caller may lose the refusal.
DISCARD_S = 1.0
#: Statuses whose responses have no body.
BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
#: Bytes that a caller may send ahead of the answer to its request. Callers here wait
#: for answers; reading goes on only to notice that they leave.
MAX_AHEAD_BYTES = 65_536
#: Connections waiting to be accepted.
BACKLOG = 1024

_LOG = logging.getLogger("poplarrelay.entry.listener")


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that has arrived completely.

    Attributes
    ----------
    started_at : float
        Monotonic time of its first byte.
    has_body : bool
        Whether it came with a body, be it empty.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    has_body: bool
    started_at: float


class Exchange:
    """The answer to one request, written as it is made.

    Attributes
    ----------
    begun : bool
        Whether a head has been written.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._on_gone: Callable[[], None] | None = None
        self.begun = False

    @property
    def caller_gone(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self._connection.closed

    def on_gone(self, callback: Callable[[], None] | None) -> None:
        """Call back when the caller leaves, instead of cancelling the handler."""
        self._on_gone = callback

    def gone(self) -> bool:
        """Tell that the caller has left; return whether somebody took notice."""
        if self._on_gone is None:
            return False
        self._on_gone()
        return True

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole response."""
        if status not in BODILESS:
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._connection.write_head(status, headers)
        self.begun = True
        if body and self._connection.expects_body(status):
            self._connection.write_event(h11.Data(data=body))
        self._connection.write_event(h11.EndOfMessage())

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose body follows in parts."""
        self._connection.write_head(
            status, [*headers, (b"Transfer-Encoding", b"chunked")]
        )
        self.begun = True

    async def write(self, data: bytes) -> None:
        """Write a part of the body, at the pace at which the caller reads."""
        self._connection.write_event(h11.Data(data=data))
        await self._connection.writable()

    def finish(self) -> None:
        """End the body."""
        self._connection.write_event(h11.EndOfMessage())

    def abort(self) -> None:
        """Break the connection, so that what was written cannot look whole."""
        self._connection.abort()


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head as it was sent."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        limits = listener.limits()
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._started_at = 0.0
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._resumed: asyncio.Future[None] | None = None
        self._paused = False
        self._discarding = False
        self._ahead = 0
        self.closed = False

    @property
    def idle(self) -> bool:
        """Return whether no byte of a request is here and none is answered."""
        return self._task is None and self._started_at == 0.0

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        guard_against_silence(transport.get_extra_info("socket"))
        self._listener.connections.add(self)
        self._set_timer(self._limits.idle_timeout_s, self.close)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._discarding:
            return
        if self._task is not None:
            self._ahead += len(data)
            if self._ahead > MAX_AHEAD_BYTES:
                self.abort()
                return
        if self._started_at == 0.0:
            self._started_at = monotonic()
            if self._task is None:
                self._set_timer(self._limits.header_timeout_s, self._head_late)
        self._http.receive_data(data)
        self._parse()

    def eof_received(self) -> bool:
        """Take the caller's close for its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that has left."""
        self.closed = True
        self._listener.connections.discard(self)
        self._set_timer(None)
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)
        if self._task is None or self._exchange is None:
            return
        if not self._exchange.gone():
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads slower than the answer comes."""
        self._paused = True

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._paused = False
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)

    async def writable(self) -> None:
        """Wait until the caller has read enough."""
        if not self._paused or self.closed:
            return
        self._resumed = asyncio.get_running_loop().create_future()
        try:
            await self._resumed
        finally:
            self._resumed = None

    # reading

    def _parse(self) -> None:
        if self._task is not None or self.closed:
            return
        try:
            while self._task is None:
                event = self._http.next_event()
                if not isinstance(event, h11.Event):
                    return
                if isinstance(event, h11.ConnectionClosed):
                    return
                self._take(event)
                if self._discarding:
                    return
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self._refuse(status if status in (400, 431, 501) else 400, str(error))

    def _take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._expect_body(event)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > self._limits.max_body_bytes:
                self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
                return
            self._parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._serve()

    def _expect_body(self, head: h11.Request) -> None:
        self._set_timer(self._limits.idle_timeout_s, self._body_late)
        headers = list(head.headers)
        if _head_bytes(head) > self._limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large")
            return
        length = header_value(headers, b"content-length")
        if length is not None and header_value(headers, b"transfer-encoding"):
            # Two statements of the body's length: whoever believes the other one
            # would read a part of this body as the next request.
            self._refuse(HTTPStatus.BAD_REQUEST, "two statements of the body's length")
            return
        if length is not None and int(length) > self._limits.max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return
        if self._http.they_are_waiting_for_100_continue:
            self.write_event(h11.InformationalResponse(status_code=100, headers=[]))

    def _serve(self) -> None:
        assert self._head is not None
        self._set_timer(None)
        headers = [(bytes(k), bytes(v)) for k, v in self._head.headers.raw_items()]
        request = IncomingRequest(
            method=bytes(self._head.method),
            target=bytes(self._head.target),
            headers=headers,
            body=b"".join(self._parts),
            has_body=bool(
                self._parts
                or header_value(headers, b"content-length") is not None
                or header_value(headers, b"transfer-encoding") is not None
            ),
            started_at=self._started_at,
        )
        self._parts = []
        self._size = 0
        self._exchange = Exchange(self)
        self._task = asyncio.create_task(self._run(request, self._exchange))

    async def _run(self, request: IncomingRequest, exchange: Exchange) -> None:
        try:
            await self._listener.handler(request, exchange)
        except asyncio.CancelledError:
            self.abort()
        except Exception:
            # The caller must not wait for an answer that nobody makes any more,
            # and one broken request must not end the process.
            _LOG.exception("request failed")
            if exchange.begun or self.closed:
                self.abort()
            else:
                await exchange.send(HTTPStatus.BAD_GATEWAY, [], b"")
        finally:
            self._task = None
            self._exchange = None
            self._next_request()

    def _next_request(self) -> None:
        if self.closed or self._transport is None:
            return
        # A handler that ended without an answer leaves states other than DONE.
        if self._http.our_state is not h11.DONE or (
            self._http.their_state is not h11.DONE
        ):
            self.close()
            return
        self._http.start_next_cycle()
        self._ahead = 0
        self._limits = self._listener.limits()
        self._head = None
        pending, _ = self._http.trailing_data
        self._started_at = monotonic() if pending else 0.0
        if self._listener.draining and not pending:
            self.close()
            return
        timeout_s = (
            self._limits.header_timeout_s if pending else self._limits.idle_timeout_s
        )
        self._set_timer(timeout_s, self._head_late if pending else self.close)
        self._parse()

    # refusals made before a request is whole

    def _head_late(self) -> None:
        self._refuse(HTTPStatus.REQUEST_TIMEOUT, "head took too long")

    def _body_late(self) -> None:
        self._refuse(HTTPStatus.REQUEST_TIMEOUT, "body took too long")

    def _refuse(self, status: int, problem: str) -> None:
        _LOG.info("unreadable request", extra={"status": status, "why": problem})
        self._discarding = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = problem.encode()
            headers: Headers = [
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ]
            self.write_event(h11.Response(status_code=status, headers=headers))
            self.write_event(h11.Data(data=body))
            self.write_event(h11.EndOfMessage())
        self._set_timer(DISCARD_S, self.close)

    # writing

    def write_head(self, status: int, headers: Headers) -> None:
        """Write a response's head; a draining node asks the caller to move on."""
        if self._listener.draining:
            headers = [*headers, (b"Connection", b"close")]
        reason = ""
        if status in HTTPStatus._value2member_map_:
            reason = HTTPStatus(status).phrase
        self.write_event(
            h11.Response(status_code=status, headers=headers, reason=reason.encode())
        )

    def expects_body(self, status: int) -> bool:
        """Return whether a response to the request at hand carries its body."""
        is_head = self._head is not None and self._head.method == b"HEAD"
        return not is_head and status not in BODILESS

    def write_event(self, event: h11.Event) -> None:
        """Write one event, unless the caller has left."""
        if self.closed or self._transport is None:
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _set_timer(
        self, after_s: float | None, call: Callable[[], None] | None = None
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if after_s is not None and call is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(after_s, call)

    def close(self) -> None:
        """Close after what has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()


class Listener:
    """A listening address.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    handler : callable
        Answers one request.
    limits : callable
        Returns the limits on callers in force.

    Attributes
    ----------
    draining : bool
        Whether callers are asked to go elsewhere after each answer.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self.handler = handler
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.draining = False

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), self._host, self._port, backlog=BACKLOG
        )

    @property
    def port(self) -> int:
        """Return the port, also where the settings left it open."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def busy(self) -> int:
        """Return how many connections have a request on the way."""
        return sum(1 for connection in self.connections if not connection.idle)

    def drain(self) -> None:
        """Ask callers to go elsewhere after each answer.

        Notes
        -----
        Callers keep answers of discovery for a while, so the address goes on
        accepting; each answer asks the caller to use another one next time.
        """
        self.draining = True

    def stop(self) -> None:
        """Stop accepting."""
        if self._server is not None:
            self._server.close()
