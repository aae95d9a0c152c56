"""Attempts to run a request at one endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from time import monotonic, time

from poplarrelay.entry.answers import foreign_answer, incomplete_stream
from poplarrelay.entry.endpoints import UNKNOWN_VERSION, Endpoint
from poplarrelay.entry.events import EventSplitter
from poplarrelay.entry.http.connection import (
    Connection,
    Headers,
    ResponseHead,
    header_value,
)
from poplarrelay.entry.http.dialing import Address
from poplarrelay.entry.http.listener import Exchange
from poplarrelay.entry.notices import EndpointNotice
from poplarrelay.entry.outcomes import (
    Answered,
    AttemptResult,
    Broken,
    NotRun,
    StreamBroken,
    Streamed,
)
from poplarrelay.entry.paths import EndpointPaths
from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.exception import (
    ConnectionsExhausted,
    EndpointDown,
    ExchangeFailed,
    ForeignAnswer,
    IncompleteStream,
)
from poplarrelay.identifiers import SoftwareVersion, TeamId
from poplarrelay.platform.headers import (
    AttemptHeaders,
    answer_marks,
    attempt_headers,
    endpoint_notice,
    not_executed,
    response_headers,
    stated_limit,
)

__all__ = ["RUNNING_EVENTS", "Attempt", "AttemptPlan", "StreamProgress"]

#: Events after which an endpoint has got beyond the beginning of an answer.
RUNNING_EVENTS = 2
#: Maximum size of an answer that is held in memory until it is complete.
MAX_ANSWER_BYTES = 8_000_000
#: Maximum size of an event of a stream, which is held in memory until it is complete.
MAX_EVENT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Parameters of one attempt.

    Attributes
    ----------
    deadline : float
        Monotonic time of the request's deadline.
    fetch_from : tuple of str and int, or None
        Address from which the endpoint can fetch the KV cache of the prompt's shared
        parts.
    pass_credentials : bool
        Whether the caller's credentials are forwarded, because the endpoint checks them
        itself.
    silence_timeout_s : float or None
        Seconds without data after which the attempt fails. None means no limit: if
        no further attempt is allowed, ending this one early has no benefit.
    repeatable : bool
        Whether the request may run more than once.
    is_blocked : callable
        Returns whether the request must not be sent any more.
    used_connections : set of Connection
        Connections that have carried the request and must not carry it again; the
        attempt adds its own.
    streams : bool
        Whether the answer is a stream of events, which is forwarded as it arrives.
    sticky : bool
        Whether the attempt continues a stream that the endpoint's version has begun.
    """

    endpoint: Endpoint
    deadline: float
    silence_timeout_s: float | None
    team: TeamId | None
    priority: int | None
    fetch_from: Address | None = None
    pass_credentials: bool = False
    repeatable: bool = True
    streams: bool = False
    sticky: bool = False
    is_blocked: Callable[[], bool] = lambda: False
    used_connections: set[Connection] = field(default_factory=set)


@dataclass(slots=True)
class StreamProgress:
    """Part of a stream that has been forwarded to the caller.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last forwarded event, or the id after which the caller asked to
        resume.
    version : SoftwareVersion or None
        Version of the endpoint that sent the first event, in this answer or in an
        earlier one that the caller resumes; None before that.
    origin : Endpoint or None
        Endpoint that sent the first event in this answer, None if none did.
    connected_at : float
        Monotonic time at which the connection to it was opened.
    """

    last_id: bytes | None
    forwarded_bytes: int = 0
    first_event_at: float | None = None
    version: SoftwareVersion | None = None
    origin: Endpoint | None = None
    connected_at: float = 0.0


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request at an endpoint.

    Attributes
    ----------
    on_started : callable
        Called with the seconds from sending the request until its complete answer, or
        the first event of its stream, was received.
    on_limit : callable
        Called with the limit stated in the answer and the monotonic time at which
        the request was sent.
    on_head : callable
        Called with the status of the answer and with what its head states about new
        requests.
    on_running : callable
        Called when the endpoint has sent a second event, or a whole framed answer.
    on_origin : callable
        Awaited with the endpoint's version before the first event of a new stream is
        passed on.
    """

    request: CallerRequest
    exchange: Exchange
    plan: AttemptPlan
    paths: EndpointPaths
    on_started: Callable[[float], None]
    on_limit: Callable[[StatedLimit, float], None]
    on_head: Callable[[int, EndpointNotice], None]
    on_running: Callable[[], None]
    on_origin: Callable[[SoftwareVersion], Awaitable[None]]
    progress: StreamProgress = field(default_factory=lambda: StreamProgress(None))
    _connection: Connection | None = None
    _sent_at: float = 0.0
    _first_event_at: float = 0.0
    _last_event_at: float = 0.0
    _events: int = 0
    _reused: bool = False
    _connection_number: int | None = None
    _carrier: str | None = None
    _version: SoftwareVersion = UNKNOWN_VERSION

    @property
    def sent_at(self) -> float:
        """Return the monotonic time at which the request was sent, 0 before."""
        return self._sent_at

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the request was sent."""
        return monotonic() - self._sent_at

    @property
    def events(self) -> int:
        """Return the number of complete events that the endpoint has sent."""
        return self._events

    @property
    def event_interval_s(self) -> float | None:
        """Return the mean seconds between two events, None for less than two."""
        if self._events < 2:
            return None
        return (self._last_event_at - self._first_event_at) / (self._events - 1)

    @property
    def sent(self) -> bool:
        """Return whether the request has been sent."""
        return self._sent_at > 0

    @property
    def reused(self) -> bool:
        """Return whether the request was sent on a kept connection."""
        return self._reused

    @property
    def connection_number(self) -> int | None:
        """Return the number of the connection that it was sent on, None before."""
        return self._connection_number

    @property
    def alone_on_connection(self) -> bool:
        """Return whether a connection to the endpoint has carried nothing else.

        Whatever comes on it comes in place of the answer, and is no late answer to
        another request.
        """
        return self.sent and not self._reused and self._carrier is None

    @property
    def carrier(self) -> str | None:
        """Return the host of the peer that relays it, None for a direct connection."""
        return self._carrier

    async def run(self) -> AttemptResult:
        """Send the request and return its answer, or how the attempt failed.

        A stream is forwarded to the caller as it arrives.
        """
        try:
            return await self._run()
        except ExchangeFailed as failure:
            if isinstance(failure, EndpointDown):
                return NotRun(str(failure), arrived=False, gone=True)
            if isinstance(failure, ConnectionsExhausted):
                return NotRun(str(failure), arrived=False, local=True)
            return self._failed(
                str(failure),
                failure.sent,
                closed=failure.closed,
                inside_event=isinstance(failure, IncompleteStream)
                and failure.inside_event,
                foreign=isinstance(failure, ForeignAnswer),
            )
        except TimeoutError:
            return self._failed("silent", self.sent, silent=True)
        finally:
            # An endpoint drops a request when its connection closes. Without this, it
            # would continue to work for a caller that has disconnected.
            if self._connection is not None:
                self._connection.abort()

    def _failed(
        self,
        reason: str,
        sent: bool,
        silent: bool = False,
        closed: bool = False,
        inside_event: bool = False,
        foreign: bool = False,
    ) -> AttemptResult:
        if not sent:
            return NotRun(reason, arrived=False)
        kind = StreamBroken if self.exchange.begun else Broken
        return kind(reason, silent, closed, inside_event, foreign)

    async def _run(self) -> AttemptResult:
        await self._send()
        assert self._connection is not None
        async with asyncio.timeout(self.plan.silence_timeout_s):
            head = await self._connection.response_head()
        marks = answer_marks(head.headers)
        problem = foreign_answer(self.request.request, head.status, marks)
        if problem is not None:
            raise ForeignAnswer(problem)
        self.on_head(head.status, endpoint_notice(head.status, head.headers, time()))
        stated = stated_limit(head.headers)
        if head.status == 200 or stated.per_s is not None:
            # Answers with another status may omit the header while a limit applies.
            self.on_limit(stated, self._sent_at)
        if head.status == 200 and not _closes(head):
            # A leaving endpoint closes its connections with every answer.
            self.plan.endpoint.last_accepting_at = self._sent_at
        if head.status == 200 and self.plan.streams and _is_event_stream(head):
            return await self._forward_stream(head)
        return await self._collect(head)

    async def _send(self) -> None:
        plan = self.plan
        self._connection = await self.paths.take(
            plan.endpoint,
            plan.repeatable,
            plan.silence_timeout_s is not None,
            plan.used_connections,
        )
        self._carrier = self._connection.carrier
        if not plan.endpoint.accepts(plan.sticky):
            # The endpoint left while this node connected, which takes up to 0.6 s.
            # Nothing has been sent, so the request can go to any other endpoint.
            raise ExchangeFailed("endpoint left during connect", sent=False)
        if plan.is_blocked():
            raise ExchangeFailed("blocked during connect", sent=False)
        if plan.endpoint.in_backoff(monotonic()):
            raise ExchangeFailed("endpoint asked for a pause", sent=False)
        remaining_s = plan.deadline - monotonic()
        headers = attempt_headers(
            self.request,
            AttemptHeaders(
                endpoint=plan.endpoint.endpoint,
                remaining_s=remaining_s,
                team=plan.team,
                priority=plan.priority,
                resume_after=self.progress.last_id,
                fetch_from=plan.fetch_from,
                pass_credentials=plan.pass_credentials,
            ),
        )
        self._connection.send(
            self.request.method, self.request.target, headers, self.request.body
        )
        plan.used_connections.add(self._connection)
        self._sent_at = monotonic()
        self._version = plan.endpoint.version
        self._reused = self._connection.request_count > 1
        self._connection_number = self._connection.number

    async def _collect(self, head: ResponseHead) -> AttemptResult:
        """Return a complete answer; a truncated answer must never count as complete."""
        assert self._connection is not None
        async with asyncio.timeout(self.plan.silence_timeout_s) as timeout:

            async def reserve(size: int) -> None:
                # The endpoint is not silent while the node reads nothing.
                ends_at, waits_since = timeout.when(), monotonic()
                timeout.reschedule(None)
                await self.exchange.reserve(size)
                if ends_at is not None:
                    timeout.reschedule(ends_at + monotonic() - waits_since)

            body = await self._connection.body(MAX_ANSWER_BYTES, reserve)
        self._return_connection(head.headers)
        if not_executed(head.status, head.headers):
            return NotRun(
                f"refused with {head.status}",
                arrived=True,
                gone=head.status == HTTPStatus.MISDIRECTED_REQUEST,
            )
        self.on_started(monotonic() - self._sent_at)
        if head.framed and head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.on_running()
        headers = response_headers(head.headers)
        return Answered(head.status, headers, body, head.framed)

    async def _forward_stream(self, head: ResponseHead) -> AttemptResult:
        """Forward events as they arrive, complete events only."""
        assert self._connection is not None
        splitter = EventSplitter()
        while True:
            async with asyncio.timeout(self.plan.silence_timeout_s):
                part = await self._connection.body_part()
            if part is None:
                break
            events = splitter.feed(part)
            if splitter.rest_size > MAX_EVENT_BYTES:
                raise ExchangeFailed(
                    f"event is larger than {MAX_EVENT_BYTES} bytes", sent=True
                )
            if events.content:
                self._note_events(events.count)
                await self._forward_events(head, events.content, events.last_id)
        inside_event = splitter.inside_event
        problem = incomplete_stream(head.framed, self._events, inside_event)
        if problem is not None:
            raise IncompleteStream(problem, not head.framed, inside_event)
        if splitter.rest:
            await self._forward_events(head, splitter.rest, None)
        self._return_connection(head.headers)
        self._start(head)
        self.exchange.finish()
        if head.framed:
            self.on_running()
        return Streamed(self.progress.forwarded_bytes, head.framed)

    def _note_events(self, count: int) -> None:
        self._last_event_at = monotonic()
        if not self._events:
            self._first_event_at = self._last_event_at
        before, self._events = self._events, self._events + count
        if before < RUNNING_EVENTS <= self._events:
            self.on_running()

    def _start(self, head: ResponseHead) -> None:
        if not self.exchange.begun:
            self.exchange.start(head.status, response_headers(head.headers))

    async def _forward_events(
        self, head: ResponseHead, content: bytes, last_id: bytes | None
    ) -> None:
        if self.progress.first_event_at is None:
            self.progress.first_event_at = monotonic()
            self.on_started(self.progress.first_event_at - self._sent_at)
        if self.progress.version is None:
            assert self._connection is not None
            self.progress.version = self._version
            self.progress.origin = self.plan.endpoint
            self.progress.connected_at = self._connection.opened_at
            await self.on_origin(self._version)
        self._start(head)
        if last_id is not None:
            self.progress.last_id = last_id
        self.progress.forwarded_bytes += len(content)
        await self.exchange.write(content)

    def _return_connection(self, headers: Headers) -> None:
        assert self._connection is not None
        if self.plan.endpoint.gone:
            # Another run may listen at the same address. A request sent over this
            # connection would be lost, and its outcome would be unknown.
            return
        self.paths.release(self.plan.endpoint, self._connection, headers)
        self._connection = None


def _closes(head: ResponseHead) -> bool:
    value = header_value(head.headers, b"connection") or b""
    return b"close" in value.lower()


def _is_event_stream(head: ResponseHead) -> bool:
    content_type = header_value(head.headers, b"content-type") or b""
    return content_type.strip().lower().startswith(b"text/event-stream")
