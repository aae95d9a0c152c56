"""Rows that nodes tell each other, and how two accounts of a node are merged."""

from __future__ import annotations

from poplarrelay.identifiers import NodeId
from poplarrelay.messages.encoding import decode_member, encode_member
from poplarrelay.messages.gossip import MemberRow, NoticeRow
from poplarrelay.tables.endpoints import EndpointState
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.world import CONFIGURATION, World

__all__ = ["current_notices", "gossip_rows", "merge_row", "own_row", "raise_version"]

#: Rows that one message carries.
MAX_ROWS = 8
#: Times that a changed row is passed on.
MAX_TOLD = 12


def own_row(world: World, now: float) -> MemberRow:
    """Return this node's own row, brought up to date."""
    me = world.me
    me.epoch = world.epoch(now)
    me.clock = now - world.started_at
    me.configuration_next = world.streams[CONFIGURATION].next
    return encode_member(me)


def raise_version(world: World) -> None:
    """Make this node's own row newer than all that was said of it before."""
    world.me.version += 1


def current_notices(world: World, now: float) -> tuple[NoticeRow, ...]:
    """Return the endpoints known to be leaving."""
    return tuple(
        NoticeRow(endpoint=e.id, remaining_s=max(0.0, e.leaving_at - now))
        for e in world.endpoints.values()
        if e.state is EndpointState.LEAVING and e.leaving_at is not None
    )


def gossip_rows(world: World, full: bool) -> tuple[MemberRow, ...]:
    """Return the member rows to pass on, those told least often first.

    Notes
    -----
    A message carries a bounded number of rows, and a row is passed on a bounded
    number of times after it changed, so the cost per node does not grow with the
    number of nodes.
    """
    members = list(world.members.values())
    if not full:
        members = [m for m in members if m.told < MAX_TOLD]
        members.sort(key=lambda m: m.told)
        members = members[:MAX_ROWS]
    for member in members:
        member.told += 1
    return tuple(encode_member(member) for member in members)


def _newer(row: Member, known: Member) -> bool:
    if row.incarnation != known.incarnation:
        return row.generation > known.generation
    if row.version != known.version:
        return row.version > known.version
    return row.status.severity > known.status.severity


def merge_row(world: World, row: MemberRow, now: float) -> Member | None:
    """Merge what a peer said of a node.

    Returns
    -------
    member : Member or None
        The row, if it told something new.

    Notes
    -----
    Only a node itself raises its version. So a suspicion is undone only by the
    suspected node, and an old account cannot bring back a node that has left.
    """
    if row.node == world.node:
        _hear_of_self(world, row)
        return None
    member = decode_member(row, now)
    known = world.members.get(NodeId(row.node))
    if known is not None and not _newer(member, known):
        if member.incarnation == known.incarnation:
            known.epoch = max(known.epoch, member.epoch)
            known.clock = max(known.clock, member.clock)
            known.configuration_next = max(
                known.configuration_next, member.configuration_next
            )
        return None
    if known is not None and member.incarnation == known.incarnation:
        member.last_seen_at = known.last_seen_at
        if member.status is known.status:
            member.changed_at = known.changed_at
    world.members[member.node] = member
    return member


def _hear_of_self(world: World, row: MemberRow) -> None:
    """Deny a suspicion, or outrank an older process under this node's name."""
    me = world.me
    if row.incarnation != me.incarnation:
        if row.generation >= me.generation:
            me.generation = row.generation + 1
            raise_version(world)
        return
    said = MemberStatus(row.status)
    doubted = said in (MemberStatus.SUSPECT, MemberStatus.DEAD)
    if said is MemberStatus.DEAD:
        for copy in world.sent_copies.values():
            copy.maybe_taken_over = True
    if row.version >= me.version and (doubted or row.version > me.version):
        me.version = row.version + 1
