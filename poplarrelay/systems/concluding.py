"""End requests: return the outcome to the caller and to requests that joined."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.messages.effects import (
    Decision,
    Effect,
    EndRequest,
    IncrementCounter,
    LogDecision,
    Metric,
    ObserveValue,
)
from poplarrelay.outcomes import Answered, Continued, NotRun, Outcome
from poplarrelay.tables.claims import KeyExecution, KeyState
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import World

__all__ = [
    "conclude",
    "leave_queue",
    "outcome_tag",
    "release_endpoint",
    "remove_request",
    "requeue",
]


def outcome_tag(outcome: Outcome) -> str:
    """Return the name of an outcome in logs, metrics and answers."""
    if isinstance(outcome, Answered):
        return "answered"
    if isinstance(outcome, NotRun):
        return "not_run"
    return "continued" if isinstance(outcome, Continued) else "unknown"


def _reason(outcome: Outcome) -> str | None:
    if isinstance(outcome, Answered | Continued):
        return None
    return outcome.reason.value


def release_endpoint(world: World, request: Request, now: float) -> None:
    """Remove a request from the load of the endpoint that runs it."""
    if request.attempt is None:
        return
    endpoint = world.endpoints.get(request.attempt.endpoint)
    if endpoint is not None:
        endpoint.note_ended(request.id, now)
    world.team_usage(request.team).running -= 1
    request.attempt = None


def requeue(world: World, request: Request) -> None:
    """Add a request that can run to the queue."""
    request.state = RequestState.QUEUED
    world.queue.append(request.id)
    world.team_usage(request.team).queued += 1


def leave_queue(world: World, request: Request) -> None:
    """Remove a request from the queue, if it is queued."""
    if request.id in world.queue:
        world.queue.remove(request.id)
        world.team_usage(request.team).queued -= 1


def remove_request(world: World, request: Request, now: float) -> None:
    """Remove a request that continues at another node from this node's tables."""
    leave_queue(world, request)
    release_endpoint(world, request, now)
    key = world.team_key(request)
    execution = None if key is None else world.key_executions.get(key)
    if key is not None and execution is not None and execution.request == request.id:
        resolved = execution.state in (KeyState.FINISHED, KeyState.BROKEN)
        if not resolved:
            del world.key_executions[key]
    del world.requests[request.id]


def _update_key(execution: KeyExecution, outcome: Outcome, now: float) -> None:
    """Set the state of a key by the outcome of its request.

    A key is released, for any outcome, if no attempt was sent under it. This process
    has then not run the key, and a later request can claim or run it.
    """
    unsent = execution.state is KeyState.OPEN
    execution.changed_at = now
    execution.outcome = outcome
    if isinstance(outcome, Answered):
        execution.state = KeyState.FINISHED
    elif unsent or isinstance(outcome, NotRun | Continued):
        execution.state = KeyState.RELEASED
    else:
        execution.state = KeyState.BROKEN


def _report_end(request: Request, outcome: Outcome, now: float) -> Iterator[Effect]:
    tag = outcome_tag(outcome)
    request_class = request.request_class.value
    labels = (("class", request_class), ("outcome", tag), ("team", request.team))
    yield IncrementCounter(Metric.OUTCOMES, labels=labels)
    yield LogDecision(
        Decision.END,
        (
            ("request", request.id),
            ("team", request.team),
            ("outcome", tag),
            ("reason", _reason(outcome)),
            ("attempts", request.attempts),
            ("seconds", round(now - request.arrived, 4)),
        ),
    )
    if request.first_token_at is not None:
        elapsed = request.first_token_at - request.arrived
        yield ObserveValue(Metric.FIRST_TOKEN, elapsed, (("class", request_class),))
    if isinstance(outcome, Answered) and outcome.usage.recomputed_tokens:
        recomputed = outcome.usage.recomputed_tokens
        yield IncrementCounter(Metric.RECOMPUTED, recomputed, (("cause", "resumed"),))


def conclude(
    world: World, request: Request, outcome: Outcome, now: float
) -> Iterator[Effect]:
    """End a request, its key, and the requests that joined it.

    Parameters
    ----------
    world : World
        The tables.
    request : Request
        The request to end; nothing happens if it has ended already.
    outcome : Outcome
        Outcome of the request. An `Answered` outcome is final, and the caller gets it
        immediately.
    now : float
        Monotonic time.
    """
    if request.state is RequestState.ENDED:
        return
    leave_queue(world, request)
    release_endpoint(world, request, now)
    was_joined = request.state is RequestState.JOINED
    request.state = RequestState.ENDED
    request.outcome = outcome
    request.ended_at = now
    yield from _report_end(request, outcome, now)
    fetched = _is_fetched(world, request, outcome)
    yield EndRequest(request.id, outcome, deferred=fetched)
    key = world.team_key(request)
    execution = None if key is None or was_joined else world.key_executions.get(key)
    if execution is not None and execution.request == request.id:
        _update_key(execution, outcome, now)
    for duplicate_id in world.duplicates.pop(request.id, ()):
        duplicate = world.requests.get(duplicate_id)
        if duplicate is not None:
            yield from conclude(world, duplicate, outcome, now)
    if not fetched:
        world.requests.pop(request.id, None)


def _is_fetched(world: World, request: Request, outcome: Outcome) -> bool:
    """Return whether the caller fetches the outcome by the request's id.

    Notes
    -----
    A deferred request that ends without an answer is rejected immediately only if no
    copy has been sent to a peer. Otherwise a peer could run the request after its
    caller got "not run".
    """
    if not request.deferred:
        return False
    return isinstance(outcome, Answered) or request.id in world.sent_copies
