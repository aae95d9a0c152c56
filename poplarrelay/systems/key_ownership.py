"""Find the process that answers for an incarnation, and answer for this one."""

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
    """Return the member that answers for an incarnation, None if there is none.

    Notes
    -----
    A node that left in order names its successor. One that was declared dead may
    only be frozen or cut off, so it is still asked as long as its row has the
    same incarnation; a restarted process knows nothing of its predecessor.
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
    """Tell peers what became of keys."""
    for asked in inbox.of(KeyQueried):
        yield Reply(asked.call, key_reply(world, asked.query, now))


def key_reply(world: World, query: KeyQuery, now: float) -> KeyReply:
    """Return what became of a key, as far as this process answers for it."""
    key = TeamKey.of(query.team, query.key)
    execution = world.key_executions.get(key)
    if not query.incarnation:
        in_use = execution is not None and execution.state is not KeyState.RELEASED
        unsure = not world.streams[CLAIMS].caught_up
        known = in_use or unsure or key in world.claims
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
    if execution.state is KeyState.RELEASED or _gave_up(world, key, execution, query):
        ago = (
            now - execution.changed_at if execution.state is KeyState.RELEASED else 0.0
        )
        return KeyReply(state="released", released_ago_s=ago)
    return KeyReply(state="running")


def _gave_up(
    world: World, key: TeamKey, execution: KeyExecution, query: KeyQuery
) -> bool:
    """Return whether a key in use here is being claimed anew.

    Notes
    -----
    The asker names the claim that it has read. If this process claims anew after
    that claim, it gave that claim up before, so both race for the next one in the
    log, and the log's order decides.
    """
    if execution.claim is not None or query.claim is None:
        return False
    claim = world.claims.get(key)
    return claim is not None and claim.record != execution.record
