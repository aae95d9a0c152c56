"""Bounds of a team: queue, running requests, retries."""

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

#: Lowest and highest hint for coming back after a full queue, in seconds.
QUEUE_RETRY_RANGE_S = (0.5, 10.0)
#: Seconds that one waiting request adds to that hint.
QUEUE_RETRY_STEP_S = 0.02
#: Smallest retry budget of a team, in retries.
MIN_RETRY_BUDGET = 10.0
#: What a node takes above an equal share of a team's limit.
SHARE_SLACK = 1.25


def node_share(world: World, limit: int) -> int:
    """Return this node's share of a team's limit.

    Notes
    -----
    Callers spread over the nodes that discovery names, so an equal share keeps
    the sum near the limit with no message between nodes on a request's path. The
    slack lets a node take a chance majority of the team's callers.
    """
    return max(1, ceil(SHARE_SLACK * limit / ready_nodes(world)))


def ready_nodes(world: World) -> int:
    """Return the nodes that take work, this one included."""
    others = (
        member.status is MemberStatus.ALIVE and member.ready
        for member in world.members.values()
    )
    return 1 + sum(others)


def exceeds_fair_share(world: World, team: TeamId) -> bool:
    """Return whether a team runs more from this node than its fair share.

    Notes
    -----
    The fair share is the node's part of all slots, divided among the deployed
    teams by priority. A team may run more as long as there is room; it only loses
    the right to the last slots.
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
    """Return the outcome for one more waiting request, None if it fits."""
    policy = _policy(world, team)
    usage = world.team_usage(team)
    if policy is None or usage.queued < node_share(world, policy.max_queued):
        return None
    low, high = QUEUE_RETRY_RANGE_S
    retry_after_s = min(high, low + QUEUE_RETRY_STEP_S * usage.queued)
    return NotRun(NotRunReason.QUEUE_FULL, retry_after_s)


def answer_store_full(world: World) -> bool:
    """Return whether no more answers can be kept for callers that come back.

    Notes
    -----
    What ran under a key must be remembered for as long as the key may be used
    again. So when the memory is full, new keys are refused and none is forgotten.
    """
    limits = world.settings.limits
    return (
        world.kept_answers >= limits.answers_kept
        or world.kept_bytes >= limits.answers_kept_bytes
    )


def enqueue(world: World, request: Request, now: float) -> Iterator[Effect]:
    """Put a request that may run into its team's queue, or end it as not run."""
    refusal = queue_refusal(world, request.team)
    if refusal is None:
        requeue(world, request)
    else:
        yield from conclude(world, request, refusal, now)


def running_limit(world: World, team: TeamId) -> int:
    """Return how many requests of a team may run from this node."""
    policy = _policy(world, team)
    return 0 if policy is None else node_share(world, policy.max_running)


def fill_retry_budget(world: World, policy: TeamPolicy) -> None:
    """Let an accepted request add to its team's retry budget."""
    usage = world.team_usage(policy.team)
    bound = max(MIN_RETRY_BUDGET, float(node_share(world, policy.max_running)))
    usage.retry_tokens = min(bound, usage.retry_tokens + policy.retry_ratio)


def spend_retry(world: World, team: TeamId) -> bool:
    """Take one retry from the team's budget; False if there is none.

    Notes
    -----
    When many endpoints fail at once, every request in flight wants a retry. The
    budget bounds the attempts that this adds, so the endpoints that are left are
    not overloaded as well.
    """
    usage = world.team_usage(team)
    if usage.retry_tokens < 1.0:
        return False
    usage.retry_tokens -= 1.0
    return True
