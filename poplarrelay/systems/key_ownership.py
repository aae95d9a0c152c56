"""Find the owner of an incarnation's keys, and answer queries about keys."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.identifiers import Incarnation, NodeId
from poplarrelay.messages.effects import Effect, Reply
from poplarrelay.messages.encoding import encode_outcome
from poplarrelay.messages.gossip import KeyQuery, KeyReply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import KeyQueried
from poplarrelay.tables.claims import KeyExecution, KeyState, TeamKey
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.world import CLAIMS, World

__all__ = ["answer_key_queries", "key_reply", "owner_of"]


def owner_of(world: World, node: NodeId, incarnation: Incarnation) -> Member | None:
    """Return the node that answers for the keys of an incarnation, or None.

    Notes
    -----
    The row of a node that left after a clean stop names its successor. A node that was
    declared dead can in fact be paused or partitioned. It still counts as the owner as
    long as its row has the same incarnation; a restarted process has no state of its
    predecessor.
    """
    member = world.members.get(node)
    if member is None or member.incarnation != incarnation:
        return None
    if member.status is not MemberStatus.LEFT:
        return member
    if member.successor is None:
        return None
    return world.members.get(member.successor)


def answer_key_queries(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Reply to peers' queries about keys."""
    for queried in inbox.of(KeyQueried):
        yield Reply(queried.call, key_reply(world, queried.query, now))


def key_reply(world: World, query: KeyQuery, now: float) -> KeyReply:
    """Return the reply of this process to a query about a key."""
    key = TeamKey.of(query.team, query.key)
    execution = world.key_executions.get(key)
    if not query.incarnation:
        in_use = execution is not None and execution.state is not KeyState.RELEASED
        incomplete = not world.streams[CLAIMS].caught_up
        known = in_use or incomplete or key in world.claims
        return KeyReply(state="running" if known else "absent")
    answers_for = Incarnation(query.incarnation)
    if (
        answers_for != world.incarnation
        and answers_for not in world.inherited_incarnations
    ):
        return KeyReply(state="absent")
    if execution is None:
        return KeyReply(state="absent")
    if execution.fingerprint != query.fingerprint:
        return KeyReply(state="mismatch")
    return _reply_by_state(world, key, execution, query, now)


def _reply_by_state(
    world: World, key: TeamKey, execution: KeyExecution, query: KeyQuery, now: float
) -> KeyReply:
    if execution.state is KeyState.FINISHED and execution.outcome is not None:
        return KeyReply(state="finished", outcome=encode_outcome(execution.outcome))
    if execution.state is KeyState.BROKEN:
        return KeyReply(state="broken")
    if execution.state is KeyState.RELEASED or _claims_again(
        world, key, execution, query
    ):
        released_ago = (
            now - execution.changed_at if execution.state is KeyState.RELEASED else 0.0
        )
        return KeyReply(state="released", released_ago_s=released_ago)
    return KeyReply(state="running")


def _claims_again(
    world: World, key: TeamKey, execution: KeyExecution, query: KeyQuery
) -> bool:
    """Return whether this process has released a claim and claims the key again.

    Notes
    -----
    The query names the claim that the sender has read. If this process has sent a new
    claim after that one, it has released that claim before. Both processes can then
    claim the key, and the order of the log decides.
    """
    if execution.claim is not None or query.claim is None:
        return False
    claim = world.claims.get(key)
    return claim is not None and claim.record != execution.record
