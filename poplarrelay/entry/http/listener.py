"""HTTP listeners, with one request at a time on each connection.

Notes
-----
A request is judged by the limits in force when its first byte arrives, or by later ones
where they are larger: a connection can be kept over many changes, and a limit that is
lowered does not reject what has begun to arrive.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from math import ceil
from random import random
from time import monotonic

import h11

from poplarrelay.entry.caller_budget import (
    CALLERS,
    LARGE_BYTES,
    CallerBudget,
    Limit,
    Reaction,
)
from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.http.accepting import AcceptedProtocol, Acceptor
from poplarrelay.entry.http.buffers import read_buffer
from poplarrelay.entry.http.connection import BODILESS_STATUSES, Headers, header_value
from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.http.shared_turns import SharedTurns
from poplarrelay.entry.http.sockets import (
    IDLE_SILENCE_MS,
    allow_silence,
    enable_dead_peer_detection,
)
from poplarrelay.entry.http.turns import ParsingTurns

__all__ = [
    "Exchange",
    "Handler",
    "IncomingRequest",
    "Listener",
    "limit_retry_after_s",
]

#: Seconds for which bytes behind the last response are read and discarded, and largest
#: number of these bytes. Closing a connection with unread bytes resets it, and the
#: caller can lose the response.
DISCARD_S, MAX_DISCARDED_BYTES = 1.0, 1_000_000
#: Bytes that are read behind a request in progress. The node reads only to notice that
#: the caller disconnects; behind more bytes, it notices that when it writes.
MAX_EARLY_BYTES = 16_384
#: Bytes that a field of a parsed head takes besides its content.
FIELD_BYTES = 300
#: Bytes of a head from which it is parsed in a shared turn: it can have thousands of
#: fields.
LARGE_HEAD_BYTES = 4096
#: Shortest time in seconds after which a caller that was refused for a limit retries,
#: and the longest one more. Room comes back one request after the other.
LIMIT_RETRY_S, LIMIT_RETRY_SPREAD_S = 0.5, 0.5
#: Largest number of characters of a parser's error that is sent and logged.
MAX_PROBLEM_CHARS = 200

_LOG = logging.getLogger("poplarrelay.entry.listener")


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that has arrived completely.

    Attributes
    ----------
    started_at : float
        Monotonic time at which its first byte arrived.
    has_body : bool
        Whether the request has a body, even an empty one.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    has_body: bool
    started_at: float


class Exchange:
    """Writer of the response to one request.

    Attributes
    ----------
    begun : bool
        Whether the response's head has been written.
    complete : bool
        Whether the whole response has been written to an open connection.
    served : bool
        Whether the request was not refused; set by its handler.
    limit : Limit or None
        Limit of the process that refuses the request, None if it is admitted.
    subject : dict
        Fields that identify the request in log lines.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._on_disconnect: Callable[[], None] | None = None
        self.begun = False
        self.complete = False
        self.served = False
        self.limit: Limit | None = None
        self.subject: dict[str, object] = {}

    @property
    def caller_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self._connection.closed

    @property
    def cut_reason(self) -> CutReason:
        """Return why the connection was closed."""
        return self._connection.cut_reason

    def allow_silence_until(self, at: float) -> None:
        """Keep the connection while the caller reads nothing until a monotonic time."""
        self._connection.allow_silence_until(at)

    async def reserve(self, size: int) -> None:
        """Wait until more bytes of the answer may be held in memory."""
        account = self._connection.account
        await self._connection.budget.reserve_answer(account, size)

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Call back when the caller disconnects, instead of cancelling the handler."""
        self._on_disconnect = callback

    def notify_disconnect(self) -> bool:
        """Run the callback for the caller's disconnect; return whether one is set."""
        if self._on_disconnect is None:
            return False
        self._on_disconnect()
        return True

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        if status not in BODILESS_STATUSES:
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._connection.write_head(status, headers)
        self.begun = True
        if body and self._connection.expects_body(status):
            self._connection.write_event(h11.Data(data=body))
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a response with a chunked body."""
        self._connection.write_head(
            status, [*headers, (b"Transfer-Encoding", b"chunked")]
        )
        self.begun = True

    async def write(self, data: bytes) -> None:
        """Write a part of the body, and wait if the caller reads slowly."""
        self._connection.write_event(h11.Data(data=data))
        await self._connection.writable()

    def finish(self) -> None:
        """End the body."""
        self._connection.write_event(h11.EndOfMessage())
        self.complete = not self._connection.closed

    def abort(self, reason: CutReason = CutReason.BROKEN_OFF) -> None:
        """Reset the connection, so that the caller sees an incomplete response."""
        self._connection.abort(reason)


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head as it was sent."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _parsed_bytes(head: h11.Request) -> int:
    """Return the memory that a parsed head takes."""
    return _head_bytes(head) + FIELD_BYTES * len(head.headers)


def limit_retry_after_s() -> float:
    """Return the time after which a caller that was refused for a limit retries."""
    return LIMIT_RETRY_S + LIMIT_RETRY_SPREAD_S * random()


def _retry_after() -> tuple[bytes, bytes]:
    return b"Retry-After", f"{limit_retry_after_s():.3f}".encode()


#: Parser of closed connections, which is never used.
_CLOSED = h11.Connection(h11.SERVER)

Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]
#: Returns the fields that identify a request in log lines from its headers.
Identify = Callable[[Headers], dict[str, object]]


async def refuse_for_limit(incoming: IncomingRequest, exchange: Exchange) -> None:
    """Answer a request that a limit of the process refuses."""
    await exchange.send(HTTPStatus.SERVICE_UNAVAILABLE, [_retry_after()], b"")


@dataclass(frozen=True, slots=True)
class _LimitTimeout:
    """Wait for a caller whose length is one of the limits.

    Attributes
    ----------
    duration_s : callable
        Returns the length in seconds under some limits.
    since, expires_at : float
        Monotonic times of its start and end.
    """

    duration_s: Callable[[CallerLimits], float]
    call: Callable[[], None]
    since: float
    expires_at: float


def _idle_timeout_s(limits: CallerLimits) -> float:
    return limits.idle_timeout_s


def _header_timeout_s(limits: CallerLimits) -> float:
    return limits.header_timeout_s


class CallerConnection(AcceptedProtocol, asyncio.BufferedProtocol):
    """One accepted connection.

    Attributes
    ----------
    budget : CallerBudget
        Budget of the process.
    account : Account
        What the connection holds of it.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        # h11 cannot change its own limit later.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._first_limits = listener.limits()
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._head_cost = 0
        self._body = bytearray()
        self._unparsed_bytes = 0
        self._started_at = 0.0
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timeout: _LimitTimeout | None = None
        self._write_resumed: asyncio.Future[None] | None = None
        self._write_paused = False
        self._undelivered = False
        self._queued = False
        self._deliver_until = 0.0
        self._discarding = False
        self._discarded_bytes = 0
        self._early_bytes = 0
        self._early_limit_reached = False
        self._reading_paused = False
        self._turns = ParsingTurns(
            self._parse_event, self._update_reading, shared=listener.shared_turns
        )
        self._half_closed = False
        self._cut_reason: CutReason | None = None
        self._answered_at = 0.0
        self._silence_ms = IDLE_SILENCE_MS
        self._subject: dict[str, object] = {}
        self.closed = False
        self.budget = listener.budget
        self.account = self.budget.open(listener.name, self.give_way)

    @property
    def cut_reason(self) -> CutReason:
        """Return why the connection was closed; by default, the caller closed it."""
        return self._cut_reason or CutReason.CALLER_LEFT

    @property
    def idle(self) -> bool:
        """Return whether no request is being answered and none has begun to arrive.

        A request that waits behind an answer which the caller does not take has not
        begun to arrive.
        """
        waiting = self._started_at == 0.0 or self._undelivered
        return self._task is None and waiting

    @property
    def _max_header_bytes(self) -> int:
        limits = self._listener.limits()
        return max(limits.max_header_bytes, self._first_limits.max_header_bytes)

    @property
    def _max_body_bytes(self) -> int:
        limits = self._listener.limits()
        return max(limits.max_body_bytes, self._first_limits.max_body_bytes)

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options and wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self.account.is_open:
            transport.abort()
            return
        # Unsent bytes pause the writer at once: the system's buffer holds enough.
        transport.set_write_buffer_limits(high=0)
        enable_dead_peer_detection(transport.get_extra_info("socket"), self._silence_ms)
        self._listener.connections.add(self)
        self._set_limit_timer(_idle_timeout_s, self.close)

    def allow_silence_until(self, at: float) -> None:
        """Keep the connection while the caller reads nothing until a monotonic time.

        Notes
        -----
        Linux also breaks a connection whose peer answers all probes and has a closed
        window for so long. The time is never lowered: the caller may still take the
        response to an earlier request.
        """
        self._deliver_until = max(self._deliver_until, at)
        silence_ms = ceil(1000 * (at - monotonic()))
        if self.closed or self._transport is None or silence_ms <= self._silence_ms:
            return
        self._silence_ms = silence_ms
        allow_silence(self._transport.get_extra_info("socket"), silence_ms)

    @property
    def _answering(self) -> bool:
        """Return whether the next request must wait, for an answer or for its turn."""
        return self._task is not None or self._undelivered or self._queued

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        buffer = read_buffer()
        if self._answering and not self._discarding:
            return buffer[: max(1, MAX_EARLY_BYTES - self._early_bytes)]
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the received bytes."""
        if self._discarding:
            self._discarded_bytes += nbytes
            self._update_reading()
            return
        if self._answering:
            self._note_early_bytes(self._early_bytes + nbytes)
        if self._started_at == 0.0:
            self._started_at = monotonic()
            self._first_limits = self._listener.limits()
            if not self._answering:
                self._set_limit_timer(_header_timeout_s, self._head_timed_out)
        self._unparsed_bytes += nbytes
        self._http.receive_data(bytes(read_buffer()[:nbytes]))
        self._parse()

    def _note_early_bytes(self, size: int) -> None:
        """Read on behind a request in progress only if few bytes wait there."""
        self._early_bytes = size
        self._early_limit_reached = size >= MAX_EARLY_BYTES
        self._update_reading()

    def _count_unfinished(self) -> None:
        """State the bytes of a request that has not arrived completely."""
        if self._answering or self._discarding:
            return
        size = self._unparsed_bytes + self._head_cost + len(self._body)
        if size >= LARGE_BYTES or self.account.held:
            self.account.hold(size)

    def _update_reading(self) -> None:
        """Read only while the parser keeps up and few early bytes wait."""
        assert self._transport is not None
        pause = (
            self._early_limit_reached
            or self._turns.waiting
            or self._discarded_bytes > MAX_DISCARDED_BYTES
        )
        if pause == self._reading_paused or self._transport.is_closing():
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Treat the end of the caller's bytes as a disconnect.

        Notes
        -----
        A caller that only closes its sending side looks like one that has left, for
        which endpoints must not go on working. A request that runs to its end in any
        case keeps the connection, and its answer is written.
        """
        if self._exchange is None or not self._exchange.notify_disconnect():
            return False
        self._half_closed = True
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop handling the request of a caller that has disconnected."""
        self.closed = True
        self._listener.connections.discard(self)
        self._set_timer(None)
        self._free()
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        if self._task is None or self._exchange is None:
            return
        if not self._exchange.notify_disconnect():
            self._task.cancel()

    def _free(self) -> None:
        """Free what the connection holds, without waiting for a garbage collection.

        Thousands of closed connections could wait for the next one.
        """
        self.account.close()
        self._turns.end()
        self._http = _CLOSED
        self._body = bytearray()
        if self._task is None:
            self._head = None

    def pause_writing(self) -> None:
        """Pause writing, as the caller reads more slowly than the node writes."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Resume writing."""
        self._write_paused = False
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        if self._undelivered:
            self._undelivered = False
            self.account.settle()
            self._next_request()

    async def writable(self) -> None:
        """Wait until the caller has read enough for more to be written."""
        if not self._write_paused or self.closed:
            return
        self._write_resumed = asyncio.get_running_loop().create_future()
        try:
            await self._write_resumed
        finally:
            self._write_resumed = None

    # reading

    def _parse(self) -> None:
        """Parse what has arrived, a large head in a shared turn."""
        if self._answering or self.closed:
            return
        if self._head is None and self._unparsed_bytes > LARGE_HEAD_BYTES:
            self._queue()
            return
        self._turns.run()
        self._count_unfinished()

    def _queue(self) -> None:
        """Parse the next request in a shared turn, and read little meanwhile."""
        self._queued = True
        self._note_early_bytes(self._unparsed_bytes)
        self.account.hold(self._unparsed_bytes)
        self._listener.shared_turns.run(self._begin_queued)

    def _begin_queued(self) -> None:
        self._queued = False
        if self.closed or self._transport is None or self._transport.is_closing():
            return
        self._note_early_bytes(0)
        if self._timer is None:
            # The time for the head of a request that was sent ahead begins now.
            self._set_limit_timer(_header_timeout_s, self._head_timed_out)
        self._turns.run()
        self._count_unfinished()

    def _parse_event(self) -> bool:
        """Parse one event; return whether another one may follow."""
        if self._answering or self.closed or self._discarding:
            return False
        try:
            event = self._http.next_event()
            if not isinstance(event, h11.Event):
                self._check_incomplete_event(event)
                return False
            if isinstance(event, h11.ConnectionClosed):
                return False
            self._handle_event(event)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self._reject(status if status in (400, 431, 501) else 400, str(error))
            return False
        return True

    def _check_incomplete_event(self, event: type[h11.NEED_DATA | h11.PAUSED]) -> None:
        """Reject a head, or the head of a chunk, that is too large before its end."""
        if event is not h11.NEED_DATA:
            return
        received, _ = self._http.trailing_data
        if len(received) > self._max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large")

    def _handle_event(self, event: h11.Event) -> None:
        self._unparsed_bytes = 0
        if isinstance(event, h11.Request):
            self._head = event
            self._head_cost = _parsed_bytes(event)
            self._expect_body(event)
        elif isinstance(event, h11.Data):
            if len(self._body) + len(event.data) > self._max_body_bytes:
                self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
                return
            self._body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._serve()

    def _expect_body(self, head: h11.Request) -> None:
        self._set_limit_timer(_idle_timeout_s, self._body_timed_out)
        headers = list(head.headers)
        if _head_bytes(head) > self._max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large")
            return
        length = header_value(headers, b"content-length")
        if length is not None and header_value(headers, b"transfer-encoding"):
            # The two headers can state different lengths of the body. Then two servers
            # can disagree, and one parses part of the body as the next request (request
            # smuggling).
            self._reject(HTTPStatus.BAD_REQUEST, "two statements of the body's length")
            return
        if length is not None and int(length) > self._max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return
        limit = self.budget.can_admit(self.account, int(length or 0))
        if limit is not None and (
            length or header_value(headers, b"transfer-encoding")
        ):
            self.budget.note(limit, self._listener.name, Reaction.REFUSED)
            self._reject_for(limit)
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
            body=bytes(self._body),
            has_body=bool(
                self._body
                or header_value(headers, b"content-length") is not None
                or header_value(headers, b"transfer-encoding") is not None
            ),
            started_at=self._started_at,
        )
        self._body = bytearray()
        self._note_early_bytes(len(self._http.trailing_data[0]))
        self._exchange = Exchange(self)
        self._exchange.limit = self.account.admit(len(request.body))
        if self._exchange.limit is not None:
            request = replace(request, body=b"")
        self._task = asyncio.create_task(self._run(request, self._exchange))

    async def _run(self, request: IncomingRequest, exchange: Exchange) -> None:
        listener = self._listener
        handler = listener.handler if exchange.limit is None else listener.refuse
        try:
            await handler(request, exchange)
        except asyncio.CancelledError:
            self.abort(self.cut_reason)
        except Exception:
            # The caller must not wait for an answer that will never come, and the
            # failure of one request must not end the process.
            _LOG.exception("request failed")
            if exchange.begun or self.closed:
                self.abort(CutReason.FAILED)
            else:
                await exchange.send(HTTPStatus.BAD_GATEWAY, [], b"")
        finally:
            self._subject = exchange.subject
            self._answered_at = monotonic()
            if not exchange.complete:
                self._note_cut(self._cut_reason, request.started_at, exchange.begun)
            self._task = None
            self._exchange = None
            self.account.finish(exchange.served, self._undelivered_bytes())
            self._next_request()

    def _undelivered_bytes(self) -> int:
        """Return the bytes that are kept until the caller takes its answer."""
        if self._transport is None or not self._write_paused:
            return 0
        return self._transport.get_write_buffer_size() + MAX_EARLY_BYTES

    def _note_cut(
        self, reason: CutReason | None, started_at: float, begun: bool
    ) -> None:
        """Log and count a response that is not complete."""
        if reason is None:
            reason = CutReason.CALLER_LEFT if self.closed else CutReason.FAILED
        extra = {
            **self._subject,
            "why": reason.value,
            "begun": begun,
            "age_ms": round(1000 * (monotonic() - started_at), 1),
        }
        _LOG.info("response cut", extra=extra)
        self._listener.on_cut(reason)

    def _next_request(self) -> None:
        if self.closed or self._transport is None:
            return
        if self._write_paused:
            self._undelivered = True
            self._started_at = 0.0
            self._set_timer(self._deliver_until - monotonic(), self._expire_delivery)
            return
        # The states are not DONE if the handler ended without an answer.
        if (
            self._half_closed
            or self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            self._close_after_response()
            return
        self._http.start_next_cycle()
        self._first_limits = self._listener.limits()
        self._head = None
        self._head_cost = 0
        pending, _ = self._http.trailing_data
        self._started_at = monotonic() if pending else 0.0
        if self._listener.draining and not pending:
            self.close()
            return
        self._unparsed_bytes = len(pending)
        self._set_timer(None)
        if pending:
            self._queue()
        else:
            self._note_early_bytes(0)
            self._set_limit_timer(_idle_timeout_s, self.close)

    def _expire_delivery(self) -> None:
        """Give a caller that has not taken its answer by its deadline a last time."""
        self.account.expire()
        self._set_timer(self._listener.limits().idle_timeout_s, self._abort_late)

    def _abort_late(self) -> None:
        self.abort(CutReason.LIMIT)

    def _close_after_response(self) -> None:
        """Close the connection; after a whole response, first discard what arrives.

        Closing with unread bytes resets the connection, and the caller can lose the
        part of the response that it has not read yet.
        """
        assert self._transport is not None
        if self._http.our_state not in (h11.DONE, h11.MUST_CLOSE):
            self.close()
            return
        self._discarding = True
        self._started_at = 0.0
        self._early_limit_reached = False
        self._update_reading()
        self.account.expire()
        self._transport.write_eof()
        self._set_timer(DISCARD_S, self._close_if_delivered)

    def _close_if_delivered(self) -> None:
        """Close the connection once the whole response has left the process."""
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            self._set_timer(DISCARD_S, self._close_if_delivered)
        else:
            self.close()

    # errors before a request has arrived completely

    def _head_timed_out(self) -> None:
        self._reject(HTTPStatus.REQUEST_TIMEOUT, "head took too long")

    def _body_timed_out(self) -> None:
        self._reject(HTTPStatus.REQUEST_TIMEOUT, "body took too long")

    def give_way(self, limit: Limit) -> None:
        """Close the connection for a limit of the process."""
        if self._transport is None:
            # It was accepted just now, and closes when it is made.
            return
        if self.closed:
            return
        if not self._answering and not self._discarding and self._started_at:
            self._reject_for(limit)
        elif limit is Limit.MEMORY:
            self.abort(CutReason.LIMIT)
        if not self.account.is_open:
            if self._transport.get_write_buffer_size():
                self.abort(CutReason.LIMIT)
            else:
                self.close()

    def _reject_for(self, limit: Limit) -> None:
        """Refuse a request that has not arrived completely, for a limit."""
        self._reject(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f"limit reached: {limit.value}",
            [_retry_after()],
        )

    def _reject(self, status: int, problem: str, more: Headers | None = None) -> None:
        problem = problem[:MAX_PROBLEM_CHARS]
        extra: dict[str, object] = {"status": status, "why": problem}
        if self._head is not None:
            fields = [(bytes(k), bytes(v)) for k, v in self._head.headers]
            extra.update(self._listener.identify(fields))
        extra["max_header_bytes"] = self._max_header_bytes
        extra["max_body_bytes"] = self._max_body_bytes
        _LOG.info("unreadable request", extra=extra)
        self._discarding = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = problem.encode()
            headers: Headers = [
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
                *(more or ()),
            ]
            self.write_event(h11.Response(status_code=status, headers=headers))
            self.write_event(h11.Data(data=body))
            self.write_event(h11.EndOfMessage())
        self._head = None
        self._head_cost = 0
        self._body = bytearray()
        self._http = h11.Connection(h11.SERVER)
        self.account.expire()
        self._update_reading()
        self._set_timer(DISCARD_S, self._close_rejected)

    def _close_rejected(self) -> None:
        """Close the connection, whether its caller has read the refusal or not."""
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self.close()

    # writing

    def write_head(self, status: int, headers: Headers) -> None:
        """Write a response's head; a draining node adds ``Connection: close``."""
        if self._listener.draining:
            headers = [*headers, (b"Connection", b"close")]
        reason = ""
        if status in HTTPStatus._value2member_map_:
            reason = HTTPStatus(status).phrase
        self.write_event(
            h11.Response(status_code=status, headers=headers, reason=reason.encode())
        )

    def expects_body(self, status: int) -> bool:
        """Return whether a response to the current request has a body."""
        is_head = self._head is not None and self._head.method == b"HEAD"
        return not is_head and status not in BODILESS_STATUSES

    def write_event(self, event: h11.Event) -> None:
        """Write one event, unless the caller has disconnected."""
        if self.closed or self._transport is None:
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _set_limit_timer(
        self, duration_s: Callable[[CallerLimits], float], call: Callable[[], None]
    ) -> None:
        """Set a timer whose duration is a limit and follows its changes."""
        after_s = duration_s(self._listener.limits())
        self._set_timer(after_s, call)
        now = monotonic()
        self._timeout = _LimitTimeout(duration_s, call, now, now + after_s)

    def apply_limits(self) -> None:
        """Adapt the timer to changed limits.

        Notes
        -----
        A longer limit counts from the start of the wait. A shorter one counts from now:
        the caller may still rely on the longer one.
        """
        timeout, now = self._timeout, monotonic()
        if timeout is None:
            return
        duration_s = timeout.duration_s(self._listener.limits())
        expires_at = timeout.since + duration_s
        if expires_at < timeout.expires_at:
            expires_at = min(timeout.expires_at, now + duration_s)
        if expires_at != timeout.expires_at:
            self._set_timer(expires_at - now, timeout.call)
            self._timeout = replace(timeout, expires_at=expires_at)

    def _set_timer(
        self, after_s: float | None, call: Callable[[], None] | None = None
    ) -> None:
        self._timeout = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if after_s is not None and call is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(after_s, call)

    def discard(self) -> None:
        """Free the account of a connection that was never made."""
        self._free()

    def close(self, reason: CutReason | None = None) -> None:
        """Close the connection after all written bytes are sent."""
        self._cut_reason = self._cut_reason or reason
        if self._transport is not None:
            self._transport.close()

    def abort(self, reason: CutReason | None = None) -> None:
        """Reset the connection."""
        self._cut_reason = self._cut_reason or reason
        if self._transport is None or self.closed:
            return
        if self._task is None and self._transport.get_write_buffer_size():
            late = reason is CutReason.LIMIT
            reason = CutReason.LIMIT if late else CutReason.UNDELIVERED
            self._note_cut(reason, self._answered_at, True)
        self._transport.abort()


class Listener:
    """HTTP server on one address.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    handler : callable
        Answers one request.
    limits : callable
        Returns the current limits on callers.
    on_cut : callable
        Called with the reason for each response that is not complete.
    name : str
        Name of the listener in the budget.
    budget : CallerBudget or None
        Budget of the process, None for one without limits.
    refuse : callable
        Answers a request that a limit of the process refuses.
    identify : callable
        Returns the fields that identify a request in log lines.

    Attributes
    ----------
    shared_turns : SharedTurns
        Turns of requests that were sent ahead, of large heads and of bodies in many
        pieces; listeners can share them.
    draining : bool
        Whether each answer asks the caller to close the connection.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_cut: Callable[[CutReason], None] = lambda reason: None,
        name: str = CALLERS,
        budget: CallerBudget | None = None,
        refuse: Handler = refuse_for_limit,
        identify: Identify = lambda headers: {},
    ) -> None:
        self._host = host
        self._port = port
        self.name = name
        self.budget = budget or CallerBudget()
        self._acceptor = Acceptor(name, self.budget, lambda: CallerConnection(self))
        self.shared_turns = SharedTurns()
        self.handler = handler
        self.refuse = refuse
        self.identify = identify
        self.limits = limits
        self.on_cut = on_cut
        self.connections: set[CallerConnection] = set()
        self.draining = False

    async def start(self) -> None:
        """Start to accept connections.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._acceptor.start((self._host, self._port))

    @property
    def port(self) -> int:
        """Return the port, even if the system chose it because port 0 was given."""
        return self._acceptor.port

    @property
    def busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self.connections if not connection.idle)

    def drain(self) -> None:
        """Ask callers to close their connections, and still accept requests.

        Notes
        -----
        Callers keep addresses from discovery for some seconds, so the listener still
        accepts connections. Each answer asks the caller to use another node next time.
        """
        self.draining = True

    def apply_limits(self) -> None:
        """Adapt the open connections to changed limits."""
        for connection in list(self.connections):
            connection.apply_limits()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._acceptor.stop()
