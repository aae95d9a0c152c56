"""Move running requests away from endpoints that are leaving.

Notes
-----
For each running attempt, the cheapest method that fits into the announced time is
chosen: finish at the endpoint, move the engine's KV cache, or recompute at another
endpoint. Finishing has no cost, moving the cache costs transfer time, and recomputing
costs the prompt tokens and the tokens produced so far. Requests to services always
finish at the endpoint: their work is possibly not repeatable, and any other method
could run it twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from poplarrelay.messages.effects import (
    Decision,
    Effect,
    IncrementCounter,
    LogDecision,
    Metric,
    MoveAttempt,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.settings import MovePolicy
from poplarrelay.systems.dispatching import create_attempt, criteria_for
from poplarrelay.systems.routing import DEFAULT_REPORT, choose_endpoint
from poplarrelay.tables.endpoints import Endpoint, EndpointState
from poplarrelay.tables.requests import (
    MoveMethod,
    MovePlan,
    Request,
    RequestState,
    WorkKind,
)
from poplarrelay.tables.world import World

__all__ = ["choose_method", "move_attempts"]

#: Fraction of the announced time within which an answer must be predicted to end for
#: its request to stay. The rest is a margin for prediction errors.
FINISH_SHARE = 0.6
#: Largest fraction of the announced time that moving a cache can take.
MOVE_SHARE = 0.5
#: Fixed time of moving a cache, in seconds.
MOVE_SETUP_S = 0.1


def choose_method(
    request: Request,
    endpoint: Endpoint,
    kv_tokens_per_s: float,
    now: float,
    policy: MovePolicy = MovePolicy.CHEAPEST,
) -> MoveMethod:
    """Return the method by which a running request leaves an endpoint.

    Parameters
    ----------
    request : Request
        A request whose attempt runs at `endpoint`.
    endpoint : Endpoint
        An endpoint that is leaving.
    kv_tokens_per_s : float
        Cached tokens per second that are transferred between engines.
    now : float
        Monotonic time.
    policy : MovePolicy
        Policy that the operators have set.
    """
    if request.work.kind is WorkKind.SERVICE or endpoint.leaving_at is None:
        return MoveMethod.FINISH
    if policy is MovePolicy.RECOMPUTE:
        return MoveMethod.RECOMPUTE
    if policy is MovePolicy.MOVE_CACHE:
        return MoveMethod.MOVE_CACHE
    remaining = endpoint.leaving_at - now
    report = endpoint.report or DEFAULT_REPORT
    remaining_run_s = max(0, request.work.max_tokens - request.tokens) * report.step_s
    if request.first_token_at is None:
        remaining_run_s += request.work.prompt_tokens / max(
            1.0, report.prefill_tokens_per_s
        )
    if remaining_run_s <= FINISH_SHARE * remaining:
        return MoveMethod.FINISH
    if request.first_token_at is None:
        # The engine has computed nothing that is worth moving.
        return MoveMethod.RECOMPUTE
    context = request.work.prompt_tokens + request.tokens
    if MOVE_SETUP_S + context / kv_tokens_per_s <= MOVE_SHARE * remaining:
        return MoveMethod.MOVE_CACHE
    return MoveMethod.RECOMPUTE


def move_attempts(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Choose a method for each attempt at a leaving endpoint, in every tick.

    Notes
    -----
    An answer that was expected to finish at the endpoint but is slower is moved while
    there is still time. Targets are chosen as for new requests, so moves spread over
    the remaining endpoints and avoid failure domains under notice.
    """
    for endpoint in list(world.endpoints.values()):
        if endpoint.state is not EndpointState.LEAVING:
            continue
        for request_id in list(endpoint.running_attempts):
            request = world.requests.get(request_id)
            if request is not None and request.state is RequestState.DISPATCHED:
                yield from _move_attempt(world, request, endpoint, now)


def _move_attempt(
    world: World, request: Request, endpoint: Endpoint, now: float
) -> Iterator[Effect]:
    limits = world.settings.limits
    speed, policy = limits.kv_tokens_per_s, limits.move_policy
    method = choose_method(request, endpoint, speed, now, policy)
    if method is MoveMethod.FINISH:
        return
    # Fair shares apply only to new requests. A running request must move before its
    # endpoint ends, so it can also use slots that are reserved for other teams.
    criteria = replace(criteria_for(world, request, now), exceeds_fair_share=False)
    endpoints = list(world.endpoints.values())
    choice = choose_endpoint(endpoints, request, criteria, world.rng)
    if choice is None:
        return
    endpoint.note_ended(request.id, now)
    recomputed = 0
    if method is MoveMethod.RECOMPUTE and request.first_token_at is not None:
        recomputed = request.work.prompt_tokens + request.tokens
    attempt = create_attempt(world, request, choice, recomputed, now)
    yield LogDecision(
        Decision.MOVE,
        (
            ("request", request.id),
            ("way", method.value),
            ("from", endpoint.id),
            ("to", choice.endpoint.id),
            ("tokens", request.tokens),
            ("remaining_s", round((endpoint.leaving_at or now) - now, 3)),
        ),
    )
    yield IncrementCounter(Metric.MOVES, labels=(("way", method.value),))
    yield MoveAttempt(request.id, MovePlan(method, attempt))
