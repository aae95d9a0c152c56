"""Sending a request to one endpoint and taking what comes back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from time import monotonic

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.events import EventSplitter
from poplarrelay.entry.http.connection import (
    Connection,
    Headers,
    ResponseHead,
    header_value,
)
from poplarrelay.entry.http.listener import Exchange
from poplarrelay.entry.http.pool import Address, ConnectionPool
from poplarrelay.entry.outcomes import (
    Answered,
    AttemptResult,
    Broken,
    NotRun,
    StreamBroken,
    Streamed,
)
from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import TeamId
from poplarrelay.platform.headers import (
    AttemptHeaders,
    attempt_headers,
    echoed_request,
    not_executed,
    response_headers,
    stated_limit,
)

__all__ = ["Attempt", "AttemptPlan", "StreamProgress"]

#: Largest answer that is held in memory until it is whole.
MAX_ANSWER_BYTES = 8_000_000


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """How one attempt is made.

    Attributes
    ----------
    until : float
        Monotonic time at which nobody waits any more.
    fetch_from : tuple of str and int, or None
        Where the endpoint may fetch the KV cache of the prompt's shared part.
    pass_credentials : bool
        Whether the endpoint checks callers itself.
    patience_s : float or None
        Silence after which the endpoint is given up for another one, None to wait
        until the end: where no second attempt is allowed, nothing is gained.
    """

    endpoint: Endpoint
    until: float
    patience_s: float | None
    team: TeamId | None
    priority: int | None
    fetch_from: Address | None = None
    pass_credentials: bool = False


@dataclass(slots=True)
class StreamProgress:
    """What of a stream the caller has.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last event that was passed on, or where the caller asked to go on.
    """

    last_id: bytes | None
    passed_bytes: int = 0
    first_event_at: float | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request at an endpoint.

    Attributes
    ----------
    on_begun : callable
        Is told the time from sending to the first byte that shows that it runs.
    on_limit : callable
        Called with the limit stated in the answer and the monotonic time at which
        the request was sent.
    """

    request: CallerRequest
    exchange: Exchange
    plan: AttemptPlan
    pool: ConnectionPool
    on_begun: Callable[[float], None]
    on_limit: Callable[[StatedLimit, float], None]
    progress: StreamProgress = field(default_factory=lambda: StreamProgress(None))
    _connection: Connection | None = None
    _sent_at: float = 0.0

    async def run(self) -> AttemptResult:
        """Send the request and pass on the answer, or return what went wrong."""
        try:
            return await self._run()
        except ExchangeFailed as failure:
            refused = isinstance(failure.__cause__, ConnectionRefusedError)
            if refused and not failure.sent:
                return NotRun(str(failure), arrived=False, gone=True)
            return self._failed(str(failure), failure.sent, closed=failure.closed)
        except TimeoutError:
            return self._failed("silent", sent=self._sent_at > 0, silent=True)
        finally:
            # Also when the caller has left: an endpoint drops a request whose
            # connection closes, and works on for nobody otherwise.
            if self._connection is not None:
                self._connection.abort()

    def _failed(
        self, why: str, sent: bool, silent: bool = False, closed: bool = False
    ) -> AttemptResult:
        if not sent:
            return NotRun(why, arrived=False)
        if self.exchange.begun:
            return StreamBroken(why, silent, closed)
        return Broken(why, silent, closed)

    async def _run(self) -> AttemptResult:
        await self._send()
        assert self._connection is not None
        async with asyncio.timeout(self.plan.patience_s):
            head = await self._connection.response_head()
        echoed = echoed_request(head.headers)
        if echoed is not None and echoed != self.request.request:
            # A late second answer to the request before on this connection.
            raise ExchangeFailed("answer to another request", sent=True)
        stated = stated_limit(head.headers)
        if head.status == 200 or stated.per_s is not None:
            # Answers with another status may omit the header while a limit applies.
            self.on_limit(stated, self._sent_at)
        if head.status == 200 and not _closes(head):
            # An endpoint that leaves closes its connections with every answer.
            self.plan.endpoint.last_accepting_at = self._sent_at
        if head.status == 200 and _is_event_stream(head):
            return await self._pass_on(head)
        return await self._collect(head)

    async def _send(self) -> None:
        plan = self.plan
        self._connection = await self.pool.take(plan.endpoint.address)
        if not plan.endpoint.accepts_work:
            # It left while this node connected, which takes up to 0.6 s. Nothing has
            # been sent, so the request may go to any other endpoint.
            raise ExchangeFailed("the endpoint left meanwhile", sent=False)
        remaining_s = plan.until - monotonic()
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
        self._sent_at = monotonic()

    async def _collect(self, head: ResponseHead) -> AttemptResult:
        """Take a whole answer; half an answer must never look like one."""
        assert self._connection is not None
        async with asyncio.timeout(self.plan.patience_s):
            body = await self._connection.body(MAX_ANSWER_BYTES)
        self._give_back(head.headers)
        if not_executed(head.status, head.headers):
            return NotRun(
                f"refused with {head.status}",
                arrived=True,
                gone=head.status == HTTPStatus.MISDIRECTED_REQUEST,
            )
        self.on_begun(monotonic() - self._sent_at)
        headers = response_headers(head.headers)
        return Answered(head.status, headers, body, head.framed)

    async def _pass_on(self, head: ResponseHead) -> AttemptResult:
        """Pass events on as they come, whole ones only."""
        assert self._connection is not None
        splitter = EventSplitter()
        while True:
            async with asyncio.timeout(self.plan.patience_s):
                part = await self._connection.body_part()
            if part is None:
                break
            events = splitter.feed(part)
            if events.content:
                await self._write(head, events.content, events.last_id)
        if splitter.rest:
            if not head.framed:
                # The connection ended inside an event: a crash, not an end.
                raise ExchangeFailed("ended inside an event", sent=True, closed=True)
            await self._write(head, splitter.rest, None)
        self._give_back(head.headers)
        self._start(head)
        self.exchange.finish()
        return Streamed(self.progress.passed_bytes, head.framed)

    def _start(self, head: ResponseHead) -> None:
        if not self.exchange.begun:
            self.exchange.start(head.status, response_headers(head.headers))

    async def _write(
        self, head: ResponseHead, content: bytes, last_id: bytes | None
    ) -> None:
        if self.progress.first_event_at is None:
            self.progress.first_event_at = monotonic()
            self.on_begun(self.progress.first_event_at - self._sent_at)
        self._start(head)
        if last_id is not None:
            self.progress.last_id = last_id
        self.progress.passed_bytes += len(content)
        await self.exchange.write(content)

    def _give_back(self, headers: Headers) -> None:
        assert self._connection is not None
        if self.plan.endpoint.gone:
            # Another run may listen at the same address; a request sent over this
            # connection would be lost, and nobody could tell whether it ran.
            return
        self.pool.give_back(self.plan.endpoint.address, self._connection, headers)
        self._connection = None


def _closes(head: ResponseHead) -> bool:
    value = header_value(head.headers, b"connection") or b""
    return b"close" in value.lower()


def _is_event_stream(head: ResponseHead) -> bool:
    kind = header_value(head.headers, b"content-type") or b""
    return kind.strip().lower().startswith(b"text/event-stream")
