"""Run the attempts of a request on the thread that waits for its outcome."""

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

#: Tokens between two progress reports to the tick thread.
PROGRESS_TOKENS = 32


@dataclass(frozen=True, slots=True)
class Tokens:
    """Consecutive tokens for the caller that arrived together.

    Attributes
    ----------
    first : int
        Index of the first token in the answer.
    """

    first: int
    texts: list[str]


@dataclass(frozen=True, slots=True)
class Ended:
    """The final outcome of a request.

    Attributes
    ----------
    next_index : int
        Index after the last token that was received.
    """

    outcome: Outcome
    next_index: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is not acceptable and was not run."""

    error: CallerError


@dataclass(frozen=True, slots=True)
class Accepted:
    """A deferred request was accepted."""


CallerEvent = Tokens | Ended | Rejected | Accepted


class Runtime(Protocol):
    """Interface of the node that a session uses."""

    engine: Engine
    service: PlainService

    def submit(self, message: Message) -> None:
        """Queue a message for the tick thread."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Start to cancel an attempt without waiting for the result."""
        ...

    def count_dropped(self, reason: str) -> None:
        """Count an event of an endpoint that was not forwarded to the caller."""
        ...


class _DeadlinePassed(PoplarrelayError):
    """The deadline passed while an attempt ran."""


class _RequestEnded(PoplarrelayError):
    """The tick thread ended the request while an attempt ran."""


@dataclass(slots=True)
class _Progress:
    """Tokens and token counts received over all attempts of a request."""

    next_index: int = 0
    texts: list[str] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


@dataclass(frozen=True, slots=True)
class _AttemptEnd:
    """The end of one attempt of a completion.

    Attributes
    ----------
    result : AttemptResult or None
        Result to report to the tick thread if the request does not move. None if the
        request moves as planned, or if the tick thread has already ended it.
    move_plan : MovePlan or None
        Set if the request continues at another endpoint.
    cache_source : CacheSource or None
        Exported cache with which the next attempt can start.
    """

    result: AttemptResult | None = None
    move_plan: MovePlan | None = None
    cache_source: CacheSource | None = None


class Session:
    """Follows the tick thread's instructions for one request.

    Parameters
    ----------
    runtime : Runtime
        The node.
    request : RequestId
        Id of the request.
    mailbox : Mailbox
        Receives the instructions for the request.

    Notes
    -----
    Tokens do not pass through the tick thread. An engine can send late or repeated
    events. Therefore the session checks the attempt and the index of each event, and
    the caller gets every index once and in order.
    """

    def __init__(self, runtime: Runtime, request: RequestId, mailbox: Mailbox) -> None:
        self._runtime = runtime
        self._request = request
        self._mailbox = mailbox
        self._progress = _Progress()
        self._running: Attempt | None = None
        self._export_plan: MovePlan | None = None
        self._direct_answer: Answered | None = None
        self._keyed = False

    def events(self) -> Iterator[CallerEvent]:
        """Return the events for the caller, up to the final outcome."""
        ended = False
        try:
            while not ended:
                instruction = self._mailbox.next()
                if isinstance(instruction, RunAttempt):
                    yield from self.run_attempt(instruction)
                    if self._direct_answer is not None:
                        ended = True
                        yield Ended(self._direct_answer, self._progress.next_index)
                else:
                    ended = True
                    yield self._final_event(instruction)
        finally:
            if not ended:
                self._abandon()

    def _final_event(
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

    def run_attempt(self, instruction: RunAttempt) -> Iterator[CallerEvent]:
        """Run one attempt and report its result to the tick thread.

        Notes
        -----
        The session checks the deadline right before it sends the attempt. The process
        may have been frozen since the tick thread's decision. After the deadline, the
        caller may already have the request's end, so the attempt must not start.
        """
        attempt = instruction.attempt
        self._keyed = instruction.keyed
        if time.monotonic() >= attempt.deadline:
            self._report_end(attempt, AttemptResult.NOT_STARTED)
            return
        self._running = attempt
        if instruction.work.kind is WorkKind.SERVICE:
            self._call_service(instruction)
        else:
            yield from self._run_completion(instruction)
        self._running = None

    # -- plain services ----------------------------------------------------

    def _call_service(self, instruction: RunAttempt) -> None:
        attempt = instruction.attempt
        try:
            answer = self._runtime.service.call(
                attempt, instruction.work, instruction.team
            )
        except EndpointRefused:
            self._report_end(attempt, AttemptResult.NOT_STARTED)
        except EndpointBroken:
            late = time.monotonic() >= attempt.deadline
            result = AttemptResult.EXPIRED if late else AttemptResult.BROKEN
            self._report_end(attempt, result)
        else:
            self._report_end(attempt, AttemptResult.FINISHED, service=answer)

    # -- completions -------------------------------------------------------

    def _run_completion(self, instruction: RunAttempt) -> Iterator[CallerEvent]:
        attempt, source = instruction.attempt, None
        while True:
            self._running = attempt
            progress = self._progress
            progress.next_index = max(progress.next_index, attempt.resume_from)
            attempt_end = yield from self._run_until_end(instruction, attempt, source)
            if attempt_end.move_plan is None:
                if attempt_end.result is not None:
                    self._report_end(attempt, attempt_end.result)
                return
            source = attempt_end.cache_source
            attempt = self._next_attempt(attempt_end.move_plan)

    def _run_until_end(
        self, instruction: RunAttempt, attempt: Attempt, source: CacheSource | None
    ) -> Generator[CallerEvent, None, _AttemptEnd]:
        """Run one attempt until it ends, fails or is moved."""
        self._export_plan = None
        try:
            return (yield from self._relay_tokens(instruction, attempt, source))
        except EndpointRefused:
            return _AttemptEnd(AttemptResult.NOT_STARTED, self._pending_move_plan())
        except EndpointBroken:
            if time.monotonic() >= attempt.deadline:
                return _AttemptEnd(AttemptResult.EXPIRED)
            return _AttemptEnd(AttemptResult.BROKEN, self._pending_move_plan())
        except _DeadlinePassed:
            self._runtime.cancel(attempt)
            return _AttemptEnd(AttemptResult.EXPIRED)
        except _RequestEnded:
            self._runtime.cancel(attempt)
            return _AttemptEnd()

    def _pending_move_plan(self) -> MovePlan | None:
        """Return the plan of a move that was not complete when the attempt failed."""
        return self._mailbox.take_move_plan() or self._export_plan

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

    def _relay_tokens(
        self, instruction: RunAttempt, attempt: Attempt, source: CacheSource | None
    ) -> Generator[CallerEvent, None, _AttemptEnd]:
        """Forward the tokens of one attempt to the caller.

        Raises
        ------
        EndpointRefused, EndpointBroken
            If the engine's stream raises it, a token is missing, or the end is not
            valid.
        """
        stream = self._runtime.engine.complete(
            attempt, instruction.work, instruction.team, instruction.priority, source
        )
        with closing(stream):
            for events in stream:
                end = events.pop() if isinstance(events[-1], EngineEnd) else None
                yield from self._accept_tokens(attempt, events)
                if isinstance(end, EngineEnd):
                    return self._check_end(attempt, end)
                self._check_running(attempt)
                plan = self._mailbox.take_move_plan()
                if plan is not None and not self._start_export(attempt, plan):
                    self._runtime.cancel(attempt)
                    return _AttemptEnd(move_plan=plan)
        raise EndpointBroken("the stream closed without an end event")

    def _start_export(self, attempt: Attempt, plan: MovePlan) -> bool:
        """Start the export if the plan moves the cache; return whether it started.

        The stream continues until its end event says that the cache is exported.
        """
        if plan.method is not MoveMethod.MOVE_CACHE:
            return False
        self._export_plan = plan
        return self._runtime.engine.export_cache(attempt)

    def _check_end(self, attempt: Attempt, end: EngineEnd) -> _AttemptEnd:
        """Return the end of the attempt for a valid end event of its stream.

        Without these checks, a stream that lost its last tokens would look complete.

        Raises
        ------
        EndpointBroken
            If the end event is of another attempt, its token count is wrong, or it
            names an exported cache without a request for the export.
        """
        if end.attempt != attempt.id:
            raise EndpointBroken("the end event belongs to another attempt")
        if end.count != self._progress.next_index:
            raise EndpointBroken("the token count of the end event is wrong")
        if end.reason is EndReason.EXPORTED:
            if self._export_plan is None:
                raise EndpointBroken("the engine exported the cache without a request")
            source = CacheSource(attempt.address, end.export)
            return _AttemptEnd(move_plan=self._export_plan, cache_source=source)
        self._record_usage(attempt, end)
        return _AttemptEnd(AttemptResult.FINISHED)

    def _accept_tokens(
        self, attempt: Attempt, events: list[CompletionEvent]
    ) -> Iterator[Tokens]:
        """Forward the next tokens; tokens before a faulty event are forwarded too."""
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
            self._progress.texts.extend(texts)
            self._report_progress(attempt, first)
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
            If a token is missing before the event, or the event follows the end.
        """
        if isinstance(event, EngineEnd):
            raise EndpointBroken("the stream continues after its end event")
        if event.attempt != attempt.id:
            self._runtime.count_dropped("foreign")
            return False
        if event.index < next_index:
            self._runtime.count_dropped("repeated")
            return False
        if event.index > next_index:
            raise EndpointBroken("a token index is missing from the stream")
        return True

    def _report_progress(self, attempt: Attempt, previous_count: int) -> None:
        """Report progress at the first token, then every `PROGRESS_TOKENS` tokens."""
        count = self._progress.next_index
        is_first_report = len(self._progress.texts) == count - previous_count
        if (
            is_first_report
            or count // PROGRESS_TOKENS > previous_count // PROGRESS_TOKENS
        ):
            self._runtime.submit(AttemptProgressed(self._request, attempt.id, count))

    def _check_running(self, attempt: Attempt) -> None:
        if time.monotonic() >= attempt.deadline:
            raise _DeadlinePassed("the deadline passed during the attempt")
        if self._mailbox.end_request is not None:
            raise _RequestEnded("the request ended during the attempt")

    def _record_usage(self, attempt: Attempt, end: EngineEnd) -> None:
        progress = self._progress
        progress.prompt_tokens = end.prompt_tokens
        progress.cached_tokens = end.cached_tokens
        if attempt.recomputed:
            progress.recomputed_tokens += max(0, attempt.recomputed - end.cached_tokens)

    def _report_end(
        self,
        attempt: Attempt,
        result: AttemptResult,
        service: ServiceAnswer | None = None,
    ) -> None:
        progress = self._progress
        finished = result is AttemptResult.FINISHED
        answer = tuple(progress.texts) if finished else ()
        usage = Usage(
            prompt_tokens=progress.prompt_tokens,
            completion_tokens=progress.next_index,
            cached_tokens=progress.cached_tokens,
            recomputed_tokens=progress.recomputed_tokens,
        )
        if finished and not self._keyed and self._mailbox.end_request is None:
            # Without a key, no other caller or node has this request. Its caller
            # does not have to wait until the tick thread has recorded the end.
            self._direct_answer = Answered(answer, service, usage)
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
