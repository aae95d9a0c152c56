"""Limits per team: queued requests, running requests and retries."""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil

from poplarrelay.configuration.policy import TeamPolicy
from poplarrelay.identifiers import TeamId
from poplarrelay.messages.effects import Effect
from poplarrelay.outcomes import NotRun, NotRunReason
from poplarrelay.systems.concluding import conclude, requeue
from poplarrelay.tables.endpoints import EndpointState
from poplarrelay.tables.members import MemberStatus
from poplarrelay.tables.requests import Request
from poplarrelay.tables.world import World

__all__ = [
    "answer_store_full",
    "enqueue",
    "exceeds_fair_share",
    "fill_retry_budget",
    "node_share",
    "queue_refusal",
    "ready_nodes",
    "running_limit",
    "spend_retry",
]

#: Shortest and longest time before a retry after a full queue, in seconds.
QUEUE_RETRY_RANGE_S = (0.5, 10.0)
#: Seconds that each queued request adds to the time before a retry.
QUEUE_RETRY_STEP_S = 0.02
#: Smallest retry budget of a team, in retries.
MIN_RETRY_BUDGET = 10.0
#: Factor on an equal share of a team's limit that a node can use.
SHARE_SLACK = 1.25


def node_share(world: World, limit: int) -> int:
    """Return this node's share of a team's limit.

    Notes
    -----
    Callers spread over the nodes that discovery lists, so equal shares keep the sum
    near the limit, and no request waits for messages between nodes. The slack covers
    the case that by chance more of the team's callers use this node.
    """
    return max(1, ceil(SHARE_SLACK * limit / ready_nodes(world)))


def ready_nodes(world: World) -> int:
    """Return the number of nodes that accept work, including this one."""
    others = (
        member.status is MemberStatus.ALIVE and member.ready
        for member in world.members.values()
    )
    return 1 + sum(others)


def exceeds_fair_share(world: World, team: TeamId) -> bool:
    """Return whether a team has used up its fair share of this node's slots.

    Notes
    -----
    The fair share is the node's part of all slots, divided among the deployed teams by
    priority. A team can run more requests while slots are free, but it cannot use the
    slots reserved for other teams.
    """
    policies = world.configuration.policies
    policy = policies.get(team)
    if policy is None:
        return True
    slots = sum(
        endpoint.report.slots
        for endpoint in world.endpoints.values()
        if endpoint.report is not None and endpoint.state is EndpointState.LIVE
    )
    total = sum(each.priority for each in policies.values())
    fair = slots * policy.priority / total / ready_nodes(world)
    return world.team_usage(team).running >= max(1.0, fair)


def _policy(world: World, team: TeamId) -> TeamPolicy | None:
    return world.configuration.policies.get(team)


def queue_refusal(world: World, team: TeamId) -> NotRun | None:
    """Return the outcome of a request that exceeds the queue limit, None if it fits."""
    policy = _policy(world, team)
    usage = world.team_usage(team)
    if policy is None or usage.queued < node_share(world, policy.max_queued):
        return None
    low, high = QUEUE_RETRY_RANGE_S
    retry_after_s = min(high, low + QUEUE_RETRY_STEP_S * usage.queued)
    return NotRun(NotRunReason.QUEUE_FULL, retry_after_s)


def answer_store_full(world: World) -> bool:
    """Return whether no more answers can be kept for later requests of callers.

    Notes
    -----
    The outcome of a key must be kept as long as callers can use the key again. So when
    the store is full, new keys are refused, and no kept answer is removed.
    """
    limits = world.settings.limits
    return (
        world.stored_answers >= limits.answers_kept
        or world.stored_bytes >= limits.answers_kept_bytes
    )


def enqueue(world: World, request: Request, now: float) -> Iterator[Effect]:
    """Add a request to its team's queue, or end it as not run if the queue is full."""
    refusal = queue_refusal(world, request.team)
    if refusal is None:
        requeue(world, request)
    else:
        yield from conclude(world, request, refusal, now)


def running_limit(world: World, team: TeamId) -> int:
    """Return how many requests of a team can run from this node at a time."""
    policy = _policy(world, team)
    return 0 if policy is None else node_share(world, policy.max_running)


def fill_retry_budget(world: World, policy: TeamPolicy) -> None:
    """Add an accepted request's share to its team's retry budget."""
    usage = world.team_usage(policy.team)
    bound = max(MIN_RETRY_BUDGET, float(node_share(world, policy.max_running)))
    usage.retry_tokens = min(bound, usage.retry_tokens + policy.retry_ratio)


def spend_retry(world: World, team: TeamId) -> bool:
    """Take one retry from the team's budget; return False if the budget is used up.

    Notes
    -----
    When many endpoints fail at the same time, all their requests in flight need a
    retry. The budget bounds the additional attempts, so the remaining endpoints are not
    overloaded as well.
    """
    usage = world.team_usage(team)
    if usage.retry_tokens < 1.0:
        return False
    usage.retry_tokens -= 1.0
    return True
