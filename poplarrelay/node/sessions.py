"""Run a request's attempts on the thread that waits for its answer."""

from __future__ import annotations

import time
from collections.abc import Generator, Iterator
from contextlib import closing
from dataclasses import dataclass, field
from typing import Protocol

from poplarrelay.engines.protocols import (
    CacheSource,
    CompletionEvent,
    EndReason,
    Engine,
    EngineEnd,
    PlainService,
)
from poplarrelay.exception import (
    CallerError,
    EndpointBroken,
    EndpointRefused,
    PoplarrelayError,
)
from poplarrelay.identifiers import RequestId
from poplarrelay.messages.calls import (
    AttemptEnded,
    AttemptProgressed,
    AttemptResult,
    CallerDisconnected,
)
from poplarrelay.messages.effects import (
    AcceptDeferred,
    EndRequest,
    RejectRequest,
    RunAttempt,
)
from poplarrelay.messages.inbox import Message
from poplarrelay.node.mailboxes import Mailbox
from poplarrelay.outcomes import Answered, Outcome, ServiceAnswer, Usage
from poplarrelay.tables.requests import Attempt, MoveMethod, MovePlan, WorkKind

__all__ = [
    "Accepted",
    "CallerEvent",
    "Ended",
    "Rejected",
    "Runtime",
    "Session",
    "Tokens",
]

#: Tokens between two reports of progress to the tick thread.
PROGRESS_TOKENS = 32


@dataclass(frozen=True, slots=True)
class Tokens:
    """Tokens for the caller that came together.

    Attributes
    ----------
    first : int
        Index of the first one.
    """

    first: int
    texts: list[str]


@dataclass(frozen=True, slots=True)
class Ended:
    """The final outcome; `tokens` is the index after the last token."""

    outcome: Outcome
    tokens: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not acceptable."""

    error: CallerError


@dataclass(frozen=True, slots=True)
class Accepted:
    """A deferred request was accepted."""


CallerEvent = Tokens | Ended | Rejected | Accepted


class Runtime(Protocol):
    """What a session needs of the node."""

    engine: Engine
    service: PlainService

    def submit(self, message: Message) -> None:
        """Give a message to the tick thread."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt without waiting for it."""
        ...

    def drop(self, why: str) -> None:
        """Count an event that was not passed on."""
        ...


class _DeadlinePassed(PoplarrelayError):
    """The deadline passed while an attempt ran."""


class _RequestEnded(PoplarrelayError):
    """The tick thread ended the request while an attempt ran."""


@dataclass(slots=True)
class _Progress:
    """What has been received over all attempts of a request."""

    next_index: int = 0
    parts: list[str] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


@dataclass(frozen=True, slots=True)
class _Step:
    """How one attempt of a completion ended.

    Attributes
    ----------
    result : AttemptResult or None
        None if nobody needs to be told.
    plan : MovePlan or None
        Set if the request goes on elsewhere.
    source : CacheSource or None
        The cache that the next attempt can start from.
    """

    result: AttemptResult | None = None
    plan: MovePlan | None = None
    source: CacheSource | None = None


class Session:
    """Carries out the tick thread's instructions for one request.

    Parameters
    ----------
    runtime : Runtime
        The node.
    request : RequestId
        The request.
    mailbox : Mailbox
        Where its instructions arrive.

    Notes
    -----
    Tokens do not pass through the tick thread. The session checks the attempt and
    the index of each event, so the caller gets every index once and in order,
    whatever late or doubled events an engine sends.
    """

    def __init__(self, runtime: Runtime, request: RequestId, mailbox: Mailbox) -> None:
        self._runtime = runtime
        self._request = request
        self._mailbox = mailbox
        self._progress = _Progress()
        self._running: Attempt | None = None
        self._exporting: MovePlan | None = None
        self._finished: Answered | None = None
        self._keyed = False

    def events(self) -> Iterator[CallerEvent]:
        """Return what the caller gets, up to the final outcome."""
        ended = False
        try:
            while not ended:
                instruction = self._mailbox.next()
                if isinstance(instruction, RunAttempt):
                    yield from self.run_attempt(instruction)
                    if self._finished is not None:
                        ended = True
                        yield Ended(self._finished, self._progress.next_index)
                else:
                    ended = True
                    yield self._final(instruction)
        finally:
            if not ended:
                self._abandon()

    def _final(
        self, instruction: EndRequest | RejectRequest | AcceptDeferred
    ) -> CallerEvent:
        if isinstance(instruction, EndRequest):
            return Ended(instruction.outcome, self._progress.next_index)
        if isinstance(instruction, RejectRequest):
            return Rejected(instruction.error)
        return Accepted()

    def _abandon(self) -> None:
        if self._running is not None:
            self._runtime.cancel(self._running)
        self._runtime.submit(CallerDisconnected(self._request))

    def run_attempt(self, order: RunAttempt) -> Iterator[CallerEvent]:
        """Run one attempt and tell the tick thread how it ended.

        Notes
        -----
        The deadline is compared right before anything is sent: the process may
        have been frozen since the tick thread decided, and the caller is told
        by then that the request is over.
        """
        attempt = order.attempt
        self._keyed = order.keyed
        if time.monotonic() >= attempt.deadline:
            self._end(attempt, AttemptResult.NOT_STARTED)
            return
        self._running = attempt
        if order.work.kind is WorkKind.SERVICE:
            self._call_service(order)
        else:
            yield from self._complete(order)
        self._running = None

    # -- plain services ----------------------------------------------------

    def _call_service(self, order: RunAttempt) -> None:
        attempt = order.attempt
        try:
            answer = self._runtime.service.call(attempt, order.work, order.team)
        except EndpointRefused:
            self._end(attempt, AttemptResult.NOT_STARTED)
        except EndpointBroken:
            late = time.monotonic() >= attempt.deadline
            result = AttemptResult.EXPIRED if late else AttemptResult.BROKEN
            self._end(attempt, result)
        else:
            self._end(attempt, AttemptResult.FINISHED, service=answer)

    # -- completions -------------------------------------------------------

    def _complete(self, order: RunAttempt) -> Iterator[CallerEvent]:
        attempt, source = order.attempt, None
        while True:
            self._running = attempt
            progress = self._progress
            progress.next_index = max(progress.next_index, attempt.resume_from)
            step = yield from self._step(order, attempt, source)
            if step.plan is None:
                if step.result is not None:
                    self._end(attempt, step.result)
                return
            source = step.source
            attempt = self._next_attempt(step.plan)

    def _step(
        self, order: RunAttempt, attempt: Attempt, source: CacheSource | None
    ) -> Generator[CallerEvent, None, _Step]:
        """Run one attempt to its end, its failure, or its move."""
        self._exporting = None
        try:
            return (yield from self._relay(order, attempt, source))
        except EndpointRefused:
            return _Step(AttemptResult.NOT_STARTED, self._pending_plan())
        except EndpointBroken:
            if time.monotonic() >= attempt.deadline:
                return _Step(AttemptResult.EXPIRED)
            return _Step(AttemptResult.BROKEN, self._pending_plan())
        except _DeadlinePassed:
            self._runtime.cancel(attempt)
            return _Step(AttemptResult.EXPIRED)
        except _RequestEnded:
            self._runtime.cancel(attempt)
            return _Step()

    def _pending_plan(self) -> MovePlan | None:
        """Return the plan of a move that a failure has overtaken."""
        return self._mailbox.take_plan() or self._exporting

    def _next_attempt(self, plan: MovePlan) -> Attempt:
        successor = plan.successor
        return Attempt(
            id=successor.id,
            request=successor.request,
            endpoint=successor.endpoint,
            address=successor.address,
            resume_from=self._progress.next_index,
            deadline=successor.deadline,
            recomputed=successor.recomputed,
        )

    def _relay(
        self, order: RunAttempt, attempt: Attempt, source: CacheSource | None
    ) -> Generator[CallerEvent, None, _Step]:
        """Pass on the tokens of one attempt.

        Raises
        ------
        EndpointRefused, EndpointBroken
            As the engine's stream does, or if an index is missing.
        """
        stream = self._runtime.engine.complete(
            attempt, order.work, order.team, order.urgency, source
        )
        with closing(stream):
            for events in stream:
                end = events.pop() if isinstance(events[-1], EngineEnd) else None
                yield from self._accept_all(attempt, events)
                if isinstance(end, EngineEnd):
                    return self._take_end(attempt, end)
                self._check_running(attempt)
                plan = self._mailbox.take_plan()
                if plan is not None and not self._export(attempt, plan):
                    self._runtime.cancel(attempt)
                    return _Step(plan=plan)
        raise EndpointBroken("the stream was cut")

    def _export(self, attempt: Attempt, plan: MovePlan) -> bool:
        """Begin to move the cache; the stream goes on to the exported end."""
        if plan.way is not MoveMethod.MOVE_CACHE:
            return False
        self._exporting = plan
        return self._runtime.engine.export_cache(attempt)

    def _take_end(self, attempt: Attempt, end: EngineEnd) -> _Step:
        """Refuse an end that is not this attempt's or leaves tokens out.

        Without this check, a stream that lost its tail would look whole.
        """
        if end.attempt != attempt.id:
            raise EndpointBroken("the end belongs to another attempt")
        if end.count != self._progress.next_index:
            raise EndpointBroken("the end does not match the tokens")
        if end.reason is EndReason.EXPORTED:
            if self._exporting is None:
                raise EndpointBroken("the cache was exported unasked")
            source = CacheSource(attempt.address, end.export)
            return _Step(plan=self._exporting, source=source)
        self._add_usage(attempt, end)
        return _Step(AttemptResult.FINISHED)

    def _accept_all(
        self, attempt: Attempt, events: list[CompletionEvent]
    ) -> Iterator[Tokens]:
        """Pass on the tokens that are next; what came before a fault is kept."""
        first = self._progress.next_index
        fault: EndpointBroken | None = None
        texts: list[str] = []
        try:
            for event in events:
                if self._is_next(attempt, event, first + len(texts)):
                    texts.append(event.text)  # type: ignore[union-attr]
        except EndpointBroken as error:
            fault = error
        if texts:
            self._progress.next_index += len(texts)
            self._progress.parts.extend(texts)
            self._report(attempt, first)
            yield Tokens(first, texts)
        if fault is not None:
            raise fault

    def _is_next(
        self, attempt: Attempt, event: CompletionEvent, next_index: int
    ) -> bool:
        """Return whether an event is this attempt's next token.

        Raises
        ------
        EndpointBroken
            If a token is missing before it, or the stream goes on after its end.
        """
        if isinstance(event, EngineEnd):
            raise EndpointBroken("the stream goes on after its end")
        if event.attempt != attempt.id:
            self._runtime.drop("foreign")
            return False
        if event.index < next_index:
            self._runtime.drop("repeated")
            return False
        if event.index > next_index:
            raise EndpointBroken("a token is missing")
        return True

    def _report(self, attempt: Attempt, before: int) -> None:
        """Tell the tick thread of the first token, and then now and then."""
        count = self._progress.next_index
        first = len(self._progress.parts) == count - before
        if first or count // PROGRESS_TOKENS > before // PROGRESS_TOKENS:
            self._runtime.submit(AttemptProgressed(self._request, attempt.id, count))

    def _check_running(self, attempt: Attempt) -> None:
        if time.monotonic() >= attempt.deadline:
            raise _DeadlinePassed("the deadline has passed")
        if self._mailbox.concluded is not None:
            raise _RequestEnded("the request has ended")

    def _add_usage(self, attempt: Attempt, end: EngineEnd) -> None:
        progress = self._progress
        progress.prompt_tokens = end.prompt_tokens
        progress.cached_tokens = end.cached_tokens
        if attempt.recomputed:
            progress.recomputed_tokens += max(0, attempt.recomputed - end.cached_tokens)

    def _end(
        self,
        attempt: Attempt,
        result: AttemptResult,
        service: ServiceAnswer | None = None,
    ) -> None:
        progress = self._progress
        finished = result is AttemptResult.FINISHED
        answer = tuple(progress.parts) if finished else ()
        usage = Usage(
            prompt_tokens=progress.prompt_tokens,
            completion_tokens=progress.next_index,
            cached_tokens=progress.cached_tokens,
            recomputed_tokens=progress.recomputed_tokens,
        )
        if finished and not self._keyed and self._mailbox.concluded is None:
            # Nobody else can hold this request, so its caller need not wait for
            # the tick thread to note that it has ended.
            self._finished = Answered(answer, service, usage)
        self._runtime.submit(
            AttemptEnded(
                request=self._request,
                attempt=attempt.id,
                result=result,
                tokens=progress.next_index,
                answer=answer,
                service=service,
                usage=usage,
            )
        )
