"""Process the results of attempts: answer, retry, or end as unknown."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.messages.calls import AttemptEnded, AttemptProgressed, AttemptResult
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    IncrementCounter,
    LogDecision,
    Metric,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from poplarrelay.systems.concluding import conclude, release_endpoint, requeue
from poplarrelay.systems.limits import spend_retry
from poplarrelay.tables.claims import KeyState
from poplarrelay.tables.endpoints import Endpoint, EndpointState
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import World

__all__ = ["process_attempt_results"]

#: Consecutive failures after which an endpoint gets no new work for a pause.
BREAKER_FAILURES = 2
#: Shortest and longest pause after such failures, in seconds.
BREAKER_PAUSE_S = (0.5, 8.0)
#: Weight of the newest attempt in the exponential moving average of attempt times.
ATTEMPT_WEIGHT = 0.2
#: Seconds that a caller waits before it retries after its attempts have failed.
FAILED_RETRY_S = 0.5


def process_attempt_results(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Record the progress of attempts; conclude or retry those that have ended."""
    for progressed in inbox.of(AttemptProgressed):
        request = world.requests.get(progressed.request)
        if request is not None:
            request.tokens = max(request.tokens, progressed.tokens)
            if request.first_token_at is None:
                request.first_token_at = now
    for ended in inbox.of(AttemptEnded):
        request = world.requests.get(ended.request)
        if request is not None and request.state is RequestState.DISPATCHED:
            yield from _end_attempt(world, request, ended, now)


def _end_attempt(
    world: World, request: Request, ended: AttemptEnded, now: float
) -> Iterator[Effect]:
    endpoint = None
    if request.attempt is not None:
        endpoint = world.endpoints.get(request.attempt.endpoint)
    request.tokens = max(request.tokens, ended.tokens)
    if endpoint is not None:
        _update_endpoint_health(world, endpoint, request, ended.result, now)
    if ended.result is AttemptResult.FINISHED:
        outcome = Answered(ended.answer, ended.service, ended.usage)
        yield from conclude(world, request, outcome, now)
        return
    final_outcome = _final_outcome(request, ended.result)
    if not _may_retry(request, ended.result, now, world):
        yield from conclude(world, request, final_outcome, now)
        return
    yield from _retry(world, request, ended, final_outcome, now)


def _update_endpoint_health(
    world: World,
    endpoint: Endpoint,
    request: Request,
    result: AttemptResult,
    now: float,
) -> None:
    """Record an attempt's result at its endpoint; pause it after repeated failures.

    Notes
    -----
    An endpoint that accepts requests and never answers looks idle in its load report
    and would attract all new work. The pause doubles with every further failure. A
    success of the first attempt after the pause resets the count of failures.
    """
    if result is AttemptResult.FINISHED:
        endpoint.failures = 0
        elapsed = now - (request.dispatched_at or request.arrived)
        endpoint.attempt_s += ATTEMPT_WEIGHT * (elapsed - endpoint.attempt_s)
        return
    request.tried.append(endpoint.id)
    if result is AttemptResult.EXPIRED or endpoint.state is not EndpointState.LIVE:
        return
    endpoint.failures += 1
    if endpoint.failures >= BREAKER_FAILURES:
        shortest, longest = BREAKER_PAUSE_S
        pause = min(longest, shortest * 2 ** (endpoint.failures - BREAKER_FAILURES))
        endpoint.closed_until = now + pause * (0.75 + 0.5 * world.rng.random())


def _final_outcome(request: Request, result: AttemptResult) -> Outcome:
    """Return the outcome of a request that gets no further attempt."""
    if result is AttemptResult.EXPIRED:
        return Unknown(UnknownReason.DEADLINE, FAILED_RETRY_S)
    if result is AttemptResult.NOT_STARTED and not request.started:
        return NotRun(NotRunReason.REFUSED, FAILED_RETRY_S)
    return Unknown(UnknownReason.ATTEMPT_BROKEN, FAILED_RETRY_S)


def _may_retry(
    request: Request, result: AttemptResult, now: float, world: World
) -> bool:
    """Return whether another attempt is safe and can still succeed.

    Notes
    -----
    Work that must not be repeated gets another attempt only if no byte of the last
    attempt reached its endpoint. Otherwise the work may have run.
    """
    if result is AttemptResult.BROKEN:
        request.started = True
        if not request.work.repeatable:
            return False
    if result is AttemptResult.EXPIRED:
        request.started = True
        return False
    if request.attempts >= world.settings.limits.max_attempts:
        return False
    return now < request.deadline


def _retry(
    world: World,
    request: Request,
    ended: AttemptEnded,
    final_outcome: Outcome,
    now: float,
) -> Iterator[Effect]:
    attempt = request.attempt
    endpoint = None if attempt is None else world.endpoints.get(attempt.endpoint)
    announced = endpoint is not None and endpoint.state is not EndpointState.LIVE
    if not announced and not spend_retry(world, request.team):
        yield LogDecision(
            Decision.RETRY, (("request", request.id), ("refused", "budget"))
        )
        yield from conclude(world, request, final_outcome, now)
        return
    release_endpoint(world, request, now)
    key = world.team_key(request)
    if key is not None and ended.result is AttemptResult.NOT_STARTED:
        world.key_executions[key].state = KeyState.OPEN
    yield LogDecision(
        Decision.RETRY,
        (
            ("request", request.id),
            ("result", ended.result.value),
            ("tokens", request.tokens),
            ("announced", announced),
        ),
    )
    yield IncrementCounter(Metric.RETRIES, labels=(("result", ended.result.value),))
    requeue(world, request)
