"""Take running work off endpoints that are leaving.

Notes
-----
For each running attempt the cheapest way that fits into the announced time is
taken: finish in place, move the engine's KV cache, or compute again elsewhere.
Finishing costs nothing; moving costs transfer time; computing again costs the
prompt and the tokens so far. Work that must not be repeated always finishes in
place, since any other way might run it twice.
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

__all__ = ["choose_way", "move_attempts"]

#: Share of the announced time within which an answer must be predicted to end
#: for it to stay; the rest is room for a wrong prediction.
FINISH_SHARE = 0.6
#: Share of the announced time that moving a cache may take.
MOVE_SHARE = 0.5
#: Fixed time of moving a cache, in seconds.
MOVE_SETUP_S = 0.1


def choose_way(
    request: Request,
    endpoint: Endpoint,
    kv_tokens_per_s: float,
    now: float,
    policy: MovePolicy = MovePolicy.CHEAPEST,
) -> MoveMethod:
    """Return how a running attempt leaves an endpoint.

    Parameters
    ----------
    request : Request
        A request whose attempt runs at `endpoint`.
    endpoint : Endpoint
        An endpoint that is leaving.
    kv_tokens_per_s : float
        Speed at which cached tokens move between engines.
    now : float
        Monotonic time.
    policy : MovePolicy
        The operators' choice.
    """
    if request.work.kind is WorkKind.SERVICE or endpoint.leaving_at is None:
        return MoveMethod.FINISH
    if policy is MovePolicy.RECOMPUTE:
        return MoveMethod.RECOMPUTE
    if policy is MovePolicy.MOVE_CACHE:
        return MoveMethod.MOVE_CACHE
    remaining = endpoint.leaving_at - now
    report = endpoint.report or DEFAULT_REPORT
    left = max(0, request.work.max_tokens - request.tokens) * report.step_s
    if request.first_token_at is None:
        left += request.work.prompt_tokens / max(1.0, report.prefill_tokens_per_s)
    if left <= FINISH_SHARE * remaining:
        return MoveMethod.FINISH
    if request.first_token_at is None:
        # Nothing has been computed that would be worth moving.
        return MoveMethod.RECOMPUTE
    context = request.work.prompt_tokens + request.tokens
    if MOVE_SETUP_S + context / kv_tokens_per_s <= MOVE_SHARE * remaining:
        return MoveMethod.MOVE_CACHE
    return MoveMethod.RECOMPUTE


def move_attempts(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Decide for each attempt on a leaving endpoint, in every tick anew.

    Notes
    -----
    An answer that was to finish in place and turns out slower is moved while
    there is still time. Targets are chosen as for new work, so moves spread over
    what is left, and domains under notice are avoided.
    """
    for endpoint in list(world.endpoints.values()):
        if endpoint.state is not EndpointState.LEAVING:
            continue
        for request_id in list(endpoint.sent):
            request = world.requests.get(request_id)
            if request is not None and request.state is RequestState.DISPATCHED:
                yield from _leave(world, request, endpoint, now)


def _leave(
    world: World, request: Request, endpoint: Endpoint, now: float
) -> Iterator[Effect]:
    limits = world.settings.limits
    speed, policy = limits.kv_tokens_per_s, limits.move_policy
    way = choose_way(request, endpoint, speed, now, policy)
    if way is MoveMethod.FINISH:
        return
    # Fair shares are for new work. Work that runs already must find a place before
    # its endpoint goes, also in the slots that are kept for other teams.
    criteria = replace(criteria_for(world, request, now), exceeds_fair_share=False)
    endpoints = list(world.endpoints.values())
    choice = choose_endpoint(endpoints, request, criteria, world.rng)
    if choice is None:
        return
    endpoint.note_ended(request.id, now)
    recomputed = 0
    if way is MoveMethod.RECOMPUTE and request.first_token_at is not None:
        recomputed = request.work.prompt_tokens + request.tokens
    attempt = create_attempt(world, request, choice, recomputed, now)
    yield LogDecision(
        Decision.MOVE,
        (
            ("request", request.id),
            ("way", way.value),
            ("from", endpoint.id),
            ("to", choice.endpoint.id),
            ("tokens", request.tokens),
            ("remaining_s", round((endpoint.leaving_at or now) - now, 3)),
        ),
    )
    yield IncrementCounter(Metric.MOVES, labels=(("way", way.value),))
    yield MoveAttempt(request.id, MovePlan(way, attempt))
