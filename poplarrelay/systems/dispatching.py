"""Send queued requests to endpoints."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.identifiers import TeamId
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    IncrementCounter,
    LogDecision,
    Metric,
    RunAttempt,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.outcomes import NotRun, NotRunReason
from poplarrelay.systems.admitting import effective_rank
from poplarrelay.systems.concluding import conclude, leave_queue
from poplarrelay.systems.limits import exceeds_fair_share, ready_nodes, running_limit
from poplarrelay.systems.routing import Criteria, EndpointChoice, choose_endpoint
from poplarrelay.tables.claims import KeyState
from poplarrelay.tables.requests import Attempt, Request, RequestState, WorkKind
from poplarrelay.tables.world import World

__all__ = ["create_attempt", "criteria_for", "dispatch_queue"]

#: Largest number of prefixes remembered for one endpoint.
MAX_PREFIXES = 512
#: Seconds that a caller waits before it retries if its request would end too late.
TOO_LATE_RETRY_S = 1.0


def criteria_for(world: World, request: Request, now: float) -> Criteria:
    """Return the criteria by which an endpoint is chosen for the request."""
    policy = world.configuration.policies.get(request.team)
    domains = frozenset() if policy is None else policy.failure_domains
    avoided = frozenset(
        domain for domain, until in world.notified_domains.items() if until > now
    )
    return Criteria(
        domains,
        avoided,
        frozenset(request.tried),
        now,
        exceeds_fair_share(world, request.team),
        ready_nodes(world),
        world.settings.limits.routing_policy,
        world.attempts_sent,
    )


def create_attempt(
    world: World, request: Request, choice: EndpointChoice, recomputed: int, now: float
) -> Attempt:
    """Create an attempt and record it at its endpoint and request."""
    endpoint = choice.endpoint
    attempt = Attempt(
        id=world.new_attempt_id(request.id),
        request=request.id,
        endpoint=endpoint.id,
        address=endpoint.address,
        resume_from=max(request.tokens, request.work.resume_from),
        deadline=request.deadline,
        recomputed=recomputed,
    )
    tokens = 0 if choice.cached else request.work.prompt_tokens
    endpoint.note_sent(request.id, tokens, now)
    if request.work.prefix:
        _remember_prefix(endpoint.prefixes, request, now)
    request.attempt = attempt
    request.attempts += 1
    request.dispatched_at = now
    world.attempts_sent += 1
    return attempt


def _remember_prefix(prefixes: dict[str, float], request: Request, now: float) -> None:
    name = f"{request.team}/{request.work.prefix}"
    prefixes.pop(name, None)
    prefixes[name] = now
    if len(prefixes) > MAX_PREFIXES:
        del prefixes[next(iter(prefixes))]


def _dispatch_order(
    world: World, request: Request, now: float
) -> tuple[int, float, float]:
    served = world.team_usage(request.team).served
    return effective_rank(request, now), served, request.arrived


def _recomputed_tokens(request: Request) -> int:
    if request.work.kind is WorkKind.SERVICE:
        return 0
    resumed = max(request.tokens, request.work.resume_from)
    if request.attempts == 0 and resumed == 0:
        return 0
    return request.work.prompt_tokens + resumed


def dispatch_queue(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Send every queued request for which an endpoint is available.

    Notes
    -----
    Requests are served by class. Within a class, the team that was served least for its
    priority is first, so many requests of one team lengthen only that team's queue. If
    a request finds no endpoint, the other requests of the same team, class and model
    are skipped in this tick. This bounds the work of a tick.
    """
    yield from _end_too_late(world, now)
    waiting = [world.requests[request_id] for request_id in world.queue]
    blocked: set[tuple[TeamId, str, int]] = set()
    endpoints = list(world.endpoints.values())
    deferred = _deferred_running(world)
    for request in sorted(waiting, key=lambda r: _dispatch_order(world, r, now)):
        group = (request.team, request.work.name, effective_rank(request, now))
        if group in blocked:
            continue
        if world.team_usage(request.team).running >= running_limit(world, request.team):
            blocked.add(group)
            continue
        if request.deferred and deferred >= world.settings.limits.deferred_threads:
            continue
        criteria = criteria_for(world, request, now)
        choice = choose_endpoint(endpoints, request, criteria, world.rng)
        if choice is None:
            blocked.add(group)
            continue
        deferred += request.deferred
        yield from _dispatch(world, request, choice, now)


def _estimated_run_s(world: World, request: Request) -> float:
    """Return the seconds that the request is estimated to run, 0 if unknown.

    For each endpoint, the estimate is the smaller of the time for the longest allowed
    answer and the average time of recent attempts. The smallest estimate is returned.
    """
    estimates = [
        min(endpoint.report.step_s * request.work.max_tokens, endpoint.attempt_s)
        for endpoint in world.endpoints.values()
        if endpoint.report is not None and endpoint.serves(request.work.name)
    ]
    return min(estimates, default=0.0)


def _end_too_late(world: World, now: float) -> Iterator[Effect]:
    """End queued requests that cannot be answered before their deadline.

    Notes
    -----
    Under overload the oldest requests are served first. Without this check they would
    reach an endpoint too late to be answered in time. Endpoints would compute answers
    that no caller receives, and callers would wait until the deadline for an outcome.
    """
    for request_id in list(world.queue):
        request = world.requests[request_id]
        if request.started or request.work.kind is not WorkKind.COMPLETION:
            continue
        if now + _estimated_run_s(world, request) > request.deadline:
            outcome = NotRun(NotRunReason.DEADLINE, TOO_LATE_RETRY_S)
            yield from conclude(world, request, outcome, now)


def _deferred_running(world: World) -> int:
    return sum(
        1
        for request in world.requests.values()
        if request.deferred and request.state is RequestState.DISPATCHED
    )


def _record_served(world: World, request: Request) -> None:
    policy = world.configuration.policies.get(request.team)
    priority = 1 if policy is None else policy.priority
    usage = world.team_usage(request.team)
    usage.served += (
        request.work.prompt_tokens + request.work.max_tokens + 1
    ) / priority


def _dispatch(
    world: World, request: Request, choice: EndpointChoice, now: float
) -> Iterator[Effect]:
    leave_queue(world, request)
    world.team_usage(request.team).running += 1
    _record_served(world, request)
    attempt = create_attempt(world, request, choice, _recomputed_tokens(request), now)
    request.state = RequestState.DISPATCHED
    key = world.team_key(request)
    if key is not None:
        # From now on an attempt may have been sent. The key is released only if the
        # attempt reports that no byte reached the endpoint.
        world.key_executions[key].state = KeyState.RUNNING
    yield LogDecision(
        Decision.ROUTE,
        (
            ("request", request.id),
            ("team", request.team),
            ("class", request.request_class.value),
            ("endpoint", choice.endpoint.id),
            ("domain", choice.endpoint.domain),
            ("price", choice.endpoint.price),
            ("predicted_s", round(choice.predicted_s, 4)),
            ("cached", choice.cached),
            ("candidates", choice.candidates),
            ("attempt", request.attempts),
            ("resume_from", attempt.resume_from),
        ),
    )
    yield IncrementCounter(Metric.ATTEMPTS, labels=(("team", request.team),))
    yield RunAttempt(
        attempt,
        request.work,
        request.team,
        2 * request.request_class.rank + exceeds_fair_share(world, request.team),
        request.deferred,
        key is not None,
    )
