"""End requests whose deadline has passed and forget what is no longer needed."""

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

#: Seconds after its deadline until a running attempt is given up by the tables;
#: the thread that runs it ends it at the deadline itself.
ATTEMPT_GRACE_S = 1.0
#: Seconds between two sweeps of old rows.
SWEEP_INTERVAL_S = 5.0
#: States in which nothing has been sent under the request.
_UNSENT = (RequestState.RECEIVED, RequestState.QUEUED)


def _late_outcome(request: Request) -> Outcome:
    """Return the outcome of a request whose deadline has passed.

    Notes
    -----
    A request that still waits for its claim, or for another node's word, cannot
    say "not run" for its key, which that node may have run.
    """
    if request.started or request.state not in _UNSENT:
        return Unknown(UnknownReason.DEADLINE)
    return NotRun(NotRunReason.DEADLINE, retry_after_s=1.0)


def expire_requests(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """End requests at their deadline, at once and not later."""
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
    """Forget keys, claims and kept answers that are older than the key memory."""
    if now < world.next_sweep_at:
        return
    world.next_sweep_at = now + SWEEP_INTERVAL_S
    memory = world.settings.limits.key_memory_s
    tickets = (
        world.settings.limits.ticket_epochs + 2
    ) * world.settings.timing.ticket_epoch_s
    kept = max(memory, tickets)
    settled = (KeyState.FINISHED, KeyState.BROKEN, KeyState.RELEASED)
    for key, execution in list(world.key_executions.items()):
        if execution.state in settled and now - execution.changed_at > kept:
            del world.key_executions[key]
    for key, claim in list(world.claims.items()):
        if now - claim.read_at > kept and key not in world.key_executions:
            del world.claims[key]
    for request in list(world.requests.values()):
        if request.ended_at is not None and now - request.ended_at > memory:
            del world.requests[request.id]
    for incarnation, at in list(world.inherited_incarnations.items()):
        if now - at > kept:
            del world.inherited_incarnations[incarnation]
    _measure_kept(world)
    yield from ()


def _size(outcome: Outcome | None) -> int:
    if not isinstance(outcome, Answered):
        return 0
    body = 0 if outcome.service is None else len(outcome.service.body)
    return body + sum(len(token) for token in outcome.tokens)


def _measure_kept(world: World) -> None:
    """Note how much is kept for callers that may come back."""
    deferred = [r for r in world.requests.values() if r.ended_at is not None]
    outcomes = [execution.outcome for execution in world.key_executions.values()]
    outcomes += [request.outcome for request in deferred]
    world.kept_answers = len(outcomes)
    world.kept_bytes = sum(_size(outcome) for outcome in outcomes)
