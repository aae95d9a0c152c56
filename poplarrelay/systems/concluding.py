"""End requests: give the outcome to the caller and to whoever waits for it."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.messages.effects import (
    Conclude,
    Count,
    Counter,
    Decided,
    Decision,
    Effect,
    Observe,
)
from poplarrelay.outcomes import Answered, Continued, NotRun, Outcome
from poplarrelay.tables.claims import KeyState, KeyUse
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import World

__all__ = [
    "conclude",
    "leave_queue",
    "let_go",
    "outcome_tag",
    "release_endpoint",
    "requeue",
]


def outcome_tag(outcome: Outcome) -> str:
    """Return the outcome's name in logs, metrics and answers."""
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
    """Take a request off the books of the endpoint that runs it."""
    if request.attempt is None:
        return
    endpoint = world.endpoints.get(request.attempt.endpoint)
    if endpoint is not None:
        endpoint.note_ended(request.id, now)
    world.team_use(request.team).running -= 1
    request.attempt = None


def requeue(world: World, request: Request) -> None:
    """Put a request that may run into the queue."""
    request.state = RequestState.QUEUED
    world.queue.append(request.id)
    world.team_use(request.team).queued += 1


def leave_queue(world: World, request: Request) -> None:
    """Take a request out of the queue, if it waits there."""
    if request.id in world.queue:
        world.queue.remove(request.id)
        world.team_use(request.team).queued -= 1


def let_go(world: World, request: Request, now: float) -> None:
    """Take a request that goes on at another node off this node's tables."""
    leave_queue(world, request)
    release_endpoint(world, request, now)
    key = world.keyed(request)
    use = None if key is None else world.uses.get(key)
    if key is not None and use is not None and use.request == request.id:
        settled = use.state in (KeyState.FINISHED, KeyState.BROKEN)
        if not settled:
            del world.uses[key]
    del world.requests[request.id]


def _settle_key(use: KeyUse, outcome: Outcome, now: float) -> None:
    """Note what became of a key.

    A key under which nothing was sent is released whatever its caller was told:
    this process has not run it, so a later request may settle it anew.
    """
    unsent = use.state is KeyState.OPEN
    use.changed_at = now
    use.outcome = outcome
    if isinstance(outcome, Answered):
        use.state = KeyState.FINISHED
    elif unsent or isinstance(outcome, NotRun | Continued):
        use.state = KeyState.RELEASED
    else:
        use.state = KeyState.BROKEN


def _record(request: Request, outcome: Outcome, now: float) -> Iterator[Effect]:
    tag = outcome_tag(outcome)
    request_class = request.request_class.value
    labels = (("class", request_class), ("outcome", tag), ("team", request.team))
    yield Count(Counter.OUTCOMES, labels=labels)
    yield Decided(
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
        yield Observe(Counter.FIRST_TOKEN, elapsed, (("class", request_class),))
    if isinstance(outcome, Answered) and outcome.usage.recomputed_tokens:
        recomputed = outcome.usage.recomputed_tokens
        yield Count(Counter.RECOMPUTED, recomputed, (("cause", "resumed"),))


def conclude(
    world: World, request: Request, outcome: Outcome, now: float
) -> Iterator[Effect]:
    """End a request, its key, and the requests that joined it.

    Parameters
    ----------
    world : World
        The tables.
    request : Request
        A request without outcome; one that has ended is left as it is.
    outcome : Outcome
        What it came to. An `Answered` outcome is final, and the caller gets it
        at once: an answer is never held back.
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
    yield from _record(request, outcome, now)
    fetched = _is_fetched(world, request, outcome)
    yield Conclude(request.id, outcome, deferred=fetched)
    key = world.keyed(request)
    use = None if key is None or was_joined else world.uses.get(key)
    if use is not None and use.request == request.id:
        _settle_key(use, outcome, now)
    for waiting in world.joined.pop(request.id, ()):
        follower = world.requests.get(waiting)
        if follower is not None:
            yield from conclude(world, follower, outcome, now)
    if not fetched:
        world.requests.pop(request.id, None)


def _is_fetched(world: World, request: Request, outcome: Outcome) -> bool:
    """Return whether the caller gets the outcome by the request's id.

    Notes
    -----
    A deferred request that is given up before any peer has heard of it is refused at
    once. Afterwards a peer could run what its caller was told had not run.
    """
    if not request.deferred:
        return False
    return isinstance(outcome, Answered) or request.id in world.sent_copies
