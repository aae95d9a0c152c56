"""Create the rows that nodes gossip, and merge the rows of other nodes."""

from __future__ import annotations

from poplarrelay.identifiers import NodeId
from poplarrelay.messages.encoding import decode_member, encode_member
from poplarrelay.messages.gossip import MemberRow, NoticeRow
from poplarrelay.tables.endpoints import EndpointState
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.world import CONFIGURATION, World

__all__ = ["current_notices", "gossip_rows", "merge_row", "own_row", "raise_version"]

#: Largest number of rows in one message.
MAX_ROWS = 8
#: Number of messages in which a changed row is sent.
MAX_SENDS = 12


def own_row(world: World, now: float) -> MemberRow:
    """Return this node's own row after updating its epoch, clock and offset."""
    me = world.me
    me.epoch = world.epoch(now)
    me.clock = now - world.started_at
    me.configuration_next = world.streams[CONFIGURATION].next
    return encode_member(me)


def raise_version(world: World) -> None:
    """Make this node's own row newer than all its earlier versions."""
    world.me.version += 1


def current_notices(world: World, now: float) -> tuple[NoticeRow, ...]:
    """Return a notice for each endpoint that is known to be leaving."""
    return tuple(
        NoticeRow(endpoint=e.id, remaining_s=max(0.0, e.leaving_at - now))
        for e in world.endpoints.values()
        if e.state is EndpointState.LEAVING and e.leaving_at is not None
    )


def gossip_rows(world: World, full: bool) -> tuple[MemberRow, ...]:
    """Return the member rows to send, the least often sent first.

    Notes
    -----
    A message has a bounded number of rows, and a row is sent a bounded number of times
    after it has changed. So the cost per node does not grow with the number of nodes.
    With `full`, all rows are returned.
    """
    members = list(world.members.values())
    if not full:
        members = [m for m in members if m.times_sent < MAX_SENDS]
        members.sort(key=lambda m: m.times_sent)
        members = members[:MAX_ROWS]
    for member in members:
        member.times_sent += 1
    return tuple(encode_member(member) for member in members)


def _newer(row: Member, known: Member) -> bool:
    if row.incarnation != known.incarnation:
        return row.generation > known.generation
    if row.version != known.version:
        return row.version > known.version
    return row.status.severity > known.status.severity


def merge_row(world: World, row: MemberRow, now: float) -> Member | None:
    """Merge a row that a peer sent about a node.

    Returns
    -------
    member : Member or None
        The merged row if it is newer than the known one, None otherwise.

    Notes
    -----
    Only a node itself raises its version. So only the suspected node can refute a
    suspicion, and an old row cannot restore a node that has left.
    """
    if row.node == world.node:
        _merge_own_row(world, row)
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


def _merge_own_row(world: World, row: MemberRow) -> None:
    """Refute a suspicion, or supersede an older process with this node's name."""
    me = world.me
    if row.incarnation != me.incarnation:
        if row.generation >= me.generation:
            me.generation = row.generation + 1
            raise_version(world)
        return
    reported_status = MemberStatus(row.status)
    reported_as_failed = reported_status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
    if reported_status is MemberStatus.DEAD:
        for copy in world.sent_copies.values():
            copy.maybe_taken_over = True
    if row.version >= me.version and (reported_as_failed or row.version > me.version):
        me.version = row.version + 1
