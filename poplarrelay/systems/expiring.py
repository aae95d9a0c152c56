"""End requests whose deadline has passed, and remove expired rows."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.messages.effects import Effect, IncrementCounter, Metric
from poplarrelay.messages.inbox import Inbox
from poplarrelay.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from poplarrelay.systems.concluding import conclude
from poplarrelay.tables.claims import KeyState
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import World

__all__ = ["expire_requests", "forget_old_rows"]

#: Seconds after the deadline until a request with a running attempt is ended here.
#: The thread that runs the attempt ends it at the deadline itself.
ATTEMPT_GRACE_S = 1.0
#: Seconds between two sweeps of old rows.
SWEEP_INTERVAL_S = 5.0
#: States in which nothing has been sent for the request.
_UNSENT = (RequestState.RECEIVED, RequestState.QUEUED)


def _late_outcome(request: Request) -> Outcome:
    """Return the outcome of a request whose deadline has passed.

    Notes
    -----
    A request that still waits for its claim or for another node's reply does not end
    as "not run", because another node may have run its key.
    """
    if request.started or request.state not in _UNSENT:
        return Unknown(UnknownReason.DEADLINE)
    return NotRun(NotRunReason.DEADLINE, retry_after_s=1.0)


def expire_requests(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """End the requests whose deadline has passed."""
    for request in world.open_requests():
        limit = request.deadline
        if request.state is RequestState.DISPATCHED:
            limit += ATTEMPT_GRACE_S
        if now < limit or request.state is RequestState.ENDED:
            continue
        yield IncrementCounter(
            Metric.LATE, labels=(("class", request.request_class.value),)
        )
        yield from conclude(world, request, _late_outcome(request), now)


def forget_old_rows(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Remove keys, claims and stored answers that are older than the key memory."""
    if now < world.next_sweep_at:
        return
    world.next_sweep_at = now + SWEEP_INTERVAL_S
    key_memory_s = world.settings.limits.key_memory_s
    ticket_memory_s = (
        world.settings.limits.ticket_epochs + 2
    ) * world.settings.timing.ticket_epoch_s
    retention_s = max(key_memory_s, ticket_memory_s)
    final_states = (KeyState.FINISHED, KeyState.BROKEN, KeyState.RELEASED)
    for key, execution in list(world.key_executions.items()):
        if execution.state in final_states and now - execution.changed_at > retention_s:
            del world.key_executions[key]
    for key, claim in list(world.claims.items()):
        if now - claim.read_at > retention_s and key not in world.key_executions:
            del world.claims[key]
    for request in list(world.requests.values()):
        if request.ended_at is not None and now - request.ended_at > key_memory_s:
            del world.requests[request.id]
    for incarnation, at in list(world.inherited_incarnations.items()):
        if now - at > retention_s:
            del world.inherited_incarnations[incarnation]
    _measure_stored_answers(world)
    yield from ()


def _size(outcome: Outcome | None) -> int:
    if not isinstance(outcome, Answered):
        return 0
    body = 0 if outcome.service is None else len(outcome.service.body)
    return body + sum(len(token) for token in outcome.tokens)


def _measure_stored_answers(world: World) -> None:
    """Update the number and size of the answers stored for callers that retry."""
    deferred = [r for r in world.requests.values() if r.ended_at is not None]
    outcomes = [execution.outcome for execution in world.key_executions.values()]
    outcomes += [request.outcome for request in deferred]
    world.stored_answers = len(outcomes)
    world.stored_bytes = sum(_size(outcome) for outcome in outcomes)
