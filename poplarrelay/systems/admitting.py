"""Admit requests: check their team, deployment, limits and deadline."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from poplarrelay.configuration.policy import TeamPolicy
from poplarrelay.exception import (
    AuthenticationFailed,
    CallerError,
    MalformedHeader,
    UnknownModel,
    UnknownService,
)
from poplarrelay.identifiers import TeamId
from poplarrelay.messages.calls import CallerDisconnected, RequestArrived
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    EndRequest,
    IncrementCounter,
    LogDecision,
    Metric,
    RejectRequest,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude, outcome_tag
from poplarrelay.systems.key_resolution import resolve_key
from poplarrelay.systems.limits import (
    answer_store_full,
    enqueue,
    fill_retry_budget,
    queue_refusal,
)
from poplarrelay.tables.requests import Request, RequestState, Work, WorkKind
from poplarrelay.tables.world import NodePhase, World

__all__ = ["admit_requests", "cancel_abandoned", "effective_rank", "team_of"]

#: Seconds that a caller waits before it retries at another node.
OTHER_NODE_RETRY_S = 0.2
#: Fraction of the time from arrival to deadline after which a waiting request is
#: served as if it were urgent.
PROMOTION_SHARE = 0.5


def team_of(world: World, token_sha256: str) -> TeamId:
    """Return the team that a token belongs to.

    Raises
    ------
    AuthenticationFailed
        If no deployment in force has the token.
    """
    team = world.configuration.team_of_token.get(token_sha256)
    if team is None:
        raise AuthenticationFailed("the token belongs to no team")
    return team


def _checked_work(policy: TeamPolicy, work: Work) -> Work:
    if work.kind is WorkKind.COMPLETION:
        if work.name not in policy.models:
            raise UnknownModel("the team's deployment has no such model")
        return work
    service = policy.services.get(work.name)
    if service is None:
        raise UnknownService("the team's deployment has no such service")
    repeatable = work.method.upper() in service.repeatable_methods
    return replace(work, repeatable=repeatable)


def _to_request(policy: TeamPolicy, arrived: RequestArrived) -> Request:
    targets = policy.classes.get(arrived.request_class)
    if targets is None:
        raise MalformedHeader("the team's deployment has no such request class")
    timeout = targets.deadline_s
    if arrived.timeout_s is not None:
        timeout = min(timeout, arrived.timeout_s)
    work = _checked_work(policy, arrived.work)
    if arrived.key is not None:
        # A repeated request with this key can ask for the answer from its start.
        work = replace(work, resume_from=0)
    return Request(
        id=arrived.id,
        team=policy.team,
        work=work,
        request_class=arrived.request_class,
        arrived=arrived.received - arrived.age_s,
        deadline=arrived.received + timeout,
        first_token_s=targets.first_token_s,
        key=arrived.key,
        owner_clock=arrived.owner_clock,
        deferred=arrived.deferred,
    )


def _unchecked_outcome(
    arrived: RequestArrived, not_run: NotRunReason, unknown: UnknownReason
) -> NotRun | Unknown:
    """Return the outcome of a request that this node rejects without checking its key.

    Notes
    -----
    A request with a key can already have run at another node. If its caller received
    "not run", the caller would order the work again under another key. So only a
    request without a key gets "not run".
    """
    if arrived.key is None:
        return NotRun(not_run, OTHER_NODE_RETRY_S)
    return Unknown(unknown, OTHER_NODE_RETRY_S)


def _not_ready_outcome(
    world: World, arrived: RequestArrived
) -> NotRun | Unknown | None:
    if world.me.ready or world.phase is NodePhase.DRAINING:
        return None
    return _unchecked_outcome(
        arrived, NotRunReason.NODE_NOT_READY, UnknownReason.NODE_NOT_READY
    )


def _refusal(
    world: World, request: Request, arrived: RequestArrived, now: float
) -> NotRun | Unknown | None:
    """Return the outcome of a request that is rejected on arrival, None if it is not.

    Notes
    -----
    The deadline is checked first. A process that was paused finds requests in its
    socket buffers whose callers have disconnected. Running them would occupy
    endpoints with answers that no caller reads.
    """
    if now >= request.deadline:
        return _unchecked_outcome(
            arrived, NotRunReason.DEADLINE, UnknownReason.DEADLINE
        )
    if request.key is not None:
        return None
    if now >= world.reject_from:
        return NotRun(NotRunReason.NODE_LEAVING, OTHER_NODE_RETRY_S)
    if request.deferred and answer_store_full(world):
        return NotRun(NotRunReason.QUEUE_FULL, OTHER_NODE_RETRY_S)
    return queue_refusal(world, request.team)


def admit_requests(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Admit or reject the requests that have arrived."""
    for arrived in inbox.of(RequestArrived):
        try:
            yield from _admit(world, arrived, now)
        except CallerError as error:
            world.requests.pop(arrived.id, None)
            yield IncrementCounter(Metric.REJECTED, labels=(("type", error.slug),))
            yield LogDecision(
                Decision.ADMIT, (("request", arrived.id), ("rejected", error.slug))
            )
            yield RejectRequest(arrived.id, error)


def _refuse(arrived: RequestArrived, outcome: NotRun | Unknown) -> Iterator[Effect]:
    labels = (
        ("class", arrived.request_class.value),
        ("outcome", outcome_tag(outcome)),
    )
    yield IncrementCounter(Metric.OUTCOMES, labels=labels)
    yield LogDecision(
        Decision.ADMIT, (("request", arrived.id), ("refused", outcome.reason.value))
    )
    yield EndRequest(arrived.id, outcome)


def _admit(world: World, arrived: RequestArrived, now: float) -> Iterator[Effect]:
    unready = _not_ready_outcome(world, arrived)
    if unready is not None:
        yield from _refuse(arrived, unready)
        return
    team = arrived.team or team_of(world, arrived.token_sha256)
    policy = world.configuration.policies.get(team)
    if policy is None:
        raise AuthenticationFailed("the team has no deployment")
    request = _to_request(policy, arrived)
    refusal = _refusal(world, request, arrived, now)
    if refusal is not None:
        yield from _refuse(arrived, refusal)
        return
    fill_retry_budget(world, policy)
    world.requests[request.id] = request
    yield from resolve_key(world, request, arrived.forwarded, now)
    labels = (("class", request.request_class.value), ("team", team))
    yield IncrementCounter(Metric.ACCEPTED, labels=labels)
    if request.state is RequestState.RECEIVED:
        yield from enqueue(world, request, now)


def cancel_abandoned(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """End requests whose callers have disconnected.

    Notes
    -----
    A request with a key that may have started is not cancelled. Its outcome is kept
    for a caller that retries with the same key.
    """
    for disconnected in inbox.of(CallerDisconnected):
        request = world.requests.get(disconnected.request)
        if request is None or request.state is RequestState.ENDED:
            continue
        waiting = request.state is RequestState.QUEUED
        if request.key is None or (waiting and request.id not in world.duplicates):
            outcome: NotRun | Unknown = Unknown(UnknownReason.DEADLINE)
            if waiting and not request.started:
                outcome = NotRun(NotRunReason.DEADLINE)
            yield from conclude(world, request, outcome, now)


def effective_rank(request: Request, now: float) -> int:
    """Return the rank by which waiting requests are served, 0 first.

    Notes
    -----
    Urgent work is served first. A request that has waited for half of its time is
    served as if it were urgent, so patient work is delayed but never starved.
    """
    waited = now - request.arrived
    if waited > PROMOTION_SHARE * (request.deadline - request.arrived):
        return 0
    return request.request_class.rank
