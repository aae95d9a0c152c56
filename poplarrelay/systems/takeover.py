"""Hold copies of peers' deferred requests, and take over requests of lost owners.

Notes
-----
If the owner of a request is declared dead or restarts as a new incarnation, a peer
takes over the request. Several peers can have a copy, because a peer that was too busy
to confirm a copy in time has still stored it. A holder therefore first queries the
other peers that may have a copy. A peer that has the outcome, or already runs the
request, takes precedence over the newest copy, and the newest copy over older ones. The
holder waits for a peer that does not reply until that peer is declared dead itself.

The owner may have been paused, not crashed. It then runs the request as well. Work that
must not be repeated, or that has a key, is therefore not run again but ends as unknown.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator

from poplarrelay.identifiers import Incarnation, NodeId, RequestId
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    LogDecision,
    QueryCopies,
    Reply,
)
from poplarrelay.messages.encoding import decode_outcome, decode_request, encode_outcome
from poplarrelay.messages.gossip import (
    CopyMessage,
    CopyQuery,
    CopyReply,
    CopyStatus,
    CopyStatuses,
    RequestMessage,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import CopiesAnswered, CopiesQueried, CopyReceived
from poplarrelay.outcomes import Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude, requeue
from poplarrelay.systems.request_copies import accepted_copy, rank_peers, transfer_to
from poplarrelay.tables.copies import HeldCopy
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import NodePhase, World

__all__ = ["answer_copy_queries", "hold_copies", "take_over_copies"]

#: Maximum number of peers, in rank order, that are queried before a request is taken
#: over.
MAX_QUERIED_PEERS = 4
#: Seconds until a peer that has not replied, or has a newer copy, is queried again.
QUERY_RETRY_S = 0.3
_REACHABLE = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)


def hold_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Store the copies that peers send, and reply to them."""
    for received in inbox.of(CopyReceived):
        reply = yield from _store(world, received.copy, now)
        yield Reply(received.call, reply)


def _store(
    world: World, message: CopyMessage, now: float
) -> Generator[Effect, None, CopyReply]:
    request_id = RequestId(message.request.id)
    own = world.requests.get(request_id)
    if own is not None and message.request.outcome is not None:
        yield from conclude(world, own, decode_outcome(message.request.outcome), now)
    if own is not None and own.outcome is not None:
        return CopyReply(taken=True, moved=True, outcome=encode_outcome(own.outcome))
    if own is not None and not _sender_keeps_request(world, message):
        return CopyReply(taken=True, moved=True)
    if own is not None:
        yield from transfer_to(world, own, _held_copy(message, now), now)
        return CopyReply(taken=True)
    if world.phase is not NodePhase.SERVING:
        return CopyReply(taken=False)
    held = world.held_copies.get(request_id)
    if held is not None and _supersedes(held.request, message.request):
        return CopyReply(taken=False)
    world.held_copies[request_id] = _held_copy(message, now)
    return CopyReply(taken=True)


def _held_copy(message: CopyMessage, now: float) -> HeldCopy:
    return HeldCopy(
        NodeId(message.node),
        Incarnation(message.incarnation),
        message.generation,
        message.request,
        now,
    )


def _sender_keeps_request(world: World, message: CopyMessage) -> bool:
    """Return whether the sender, not this node, must run a request that both have.

    Notes
    -----
    The first owner transfers the request to the peer that took it over. Of two later
    owners, the one with the smaller node name keeps the request. Both sides apply this
    rule, so exactly one of them keeps it.
    """
    # The third part of a request id is the incarnation of its first owner.
    first_owner = message.request.id.split(".")[2:3]
    if first_owner == [message.incarnation]:
        return False
    return first_owner == [world.incarnation] or message.node < world.node


def _supersedes(held: RequestMessage, received: RequestMessage) -> bool:
    """Return whether the copy held takes precedence over one that was received."""
    if (held.outcome is None) is not (received.outcome is None):
        return held.outcome is not None
    return held.copies > received.copies


def answer_copy_queries(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Reply to peers' queries about requests whose owner is gone."""
    for queried in inbox.of(CopiesQueried):
        statuses = tuple(
            _status(world, RequestId(request)) for request in queried.query.requests
        )
        yield Reply(queried.call, CopyStatuses(standings=statuses))


def _status(world: World, request_id: RequestId) -> CopyStatus:
    request = world.requests.get(request_id)
    if request is not None:
        outcome = None if request.outcome is None else encode_outcome(request.outcome)
        return CopyStatus(
            request=request_id, state="home", copies=request.copies, outcome=outcome
        )
    held = world.held_copies.get(request_id)
    if held is None:
        return CopyStatus(request=request_id, state="absent")
    return CopyStatus(
        request=request_id,
        state="held",
        copies=held.request.copies,
        outcome=held.request.outcome,
    )


def take_over_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Take over the requests whose owners are gone, and expire old copies."""
    for answered in inbox.of(CopiesAnswered):
        _handle_statuses(world, answered, now)
    if world.handover is not None:
        return
    queries: dict[NodeId, list[RequestId]] = {}
    for request_id, held in list(world.held_copies.items()):
        _update_owner(world, held)
        if request_id in world.requests:
            del world.held_copies[request_id]
        elif _owner_is_gone(world, held, now):
            if held.queried or now < held.next_query_at:
                continue
            peers = _peers_to_query(world, request_id, held)
            if not peers:
                del world.held_copies[request_id]
                yield from _take_over(world, held, now)
            for peer in peers:
                held.queried.add(peer.node)
                queries.setdefault(peer.node, []).append(request_id)
        elif now - held.received_at > world.settings.limits.key_memory_s:
            del world.held_copies[request_id]
    for node, requests in queries.items():
        query = CopyQuery(requests=tuple(requests))
        yield QueryCopies(node, world.members[node].peers, query)


def _owner_is_gone(world: World, held: HeldCopy, now: float) -> bool:
    """Return whether the owner of a copy no longer runs its request.

    Notes
    -----
    A copy can arrive before the gossip about the process that sent it. If this node
    has no row of the owner, or the row of an older process, the owner is not gone.
    """
    owner = world.members.get(held.owner)
    if owner is None:
        return now - held.received_at > world.settings.timing.forget_dead_s
    if owner.incarnation != held.incarnation:
        return owner.generation > held.generation
    if owner.status is MemberStatus.LEFT:
        return owner.successor is None
    return owner.status is MemberStatus.DEAD


def _update_owner(world: World, held: HeldCopy) -> None:
    """Set the successor of an owner that has left as the owner of its copy."""
    owner = world.members.get(held.owner)
    if owner is None or owner.incarnation != held.incarnation:
        return
    if owner.status is MemberStatus.LEFT and owner.successor is not None:
        successor = world.members.get(owner.successor)
        if successor is not None:
            _set_owner(held, successor)


def _set_owner(held: HeldCopy, owner: Member) -> None:
    held.owner, held.incarnation = owner.node, owner.incarnation
    held.generation = owner.generation
    held.ruled_out.clear()


def _peers_to_query(
    world: World, request_id: RequestId, held: HeldCopy
) -> list[Member]:
    """Return the peers that may have the outcome or a newer copy of a request."""
    if held.request.outcome is not None:
        return []
    peers = [
        member
        for member in world.members.values()
        if member.status in _REACHABLE and member.node != held.owner
    ]
    owner = world.members.get(held.owner)
    domain = None if owner is None else owner.domain
    first = rank_peers(request_id, peers, domain)[:MAX_QUERIED_PEERS]
    return [peer for peer in first if peer.node not in held.ruled_out]


def _handle_statuses(world: World, answered: CopiesAnswered, now: float) -> None:
    """Apply a peer's status of each request that it was queried about."""
    statuses = () if answered.reply is None else answered.reply.standings
    by_request = {RequestId(status.request): status for status in statuses}
    for request_id in answered.requests:
        held = world.held_copies.get(request_id)
        if held is None:
            continue
        held.queried.discard(answered.node)
        status = by_request.get(request_id)
        if status is None or not _apply_status(world, held, answered.node, status):
            held.next_query_at = now + QUERY_RETRY_S


def _apply_status(
    world: World, held: HeldCopy, node: NodeId, status: CopyStatus
) -> bool:
    """Apply a peer's status; return whether no further query to it is needed."""
    if status.outcome is not None:
        found = {"outcome": status.outcome, "copies": status.copies}
        held.request = held.request.model_copy(update=found)
    elif status.state == "home":
        member = world.members.get(node)
        if member is not None:
            _set_owner(held, member)
    elif status.state == "absent" or _takes_precedence(world, held, node, status):
        held.ruled_out.add(node)
    else:
        return False
    return True


def _takes_precedence(
    world: World, held: HeldCopy, node: NodeId, status: CopyStatus
) -> bool:
    """Return whether this node's copy takes precedence over the copy of a peer.

    The newer copy does, or that of the greater node name if both are equally new.
    """
    own = (held.request.copies, world.node)
    return own > (status.copies, node)


def _take_over(world: World, held: HeldCopy, now: float) -> Iterator[Effect]:
    elapsed = now - held.received_at
    request = decode_request(held.request, now - elapsed)
    world.requests[request.id] = request
    yield LogDecision(
        Decision.DEFER,
        (
            ("request", request.id),
            ("taken_over_from", held.owner),
            ("copies", request.copies),
            ("asked", ",".join(sorted(held.ruled_out))),
        ),
    )
    if request.outcome is None and not _repeatable(request):
        request.outcome = Unknown(UnknownReason.OWNER_UNREACHABLE)
    world.sent_copies[request.id] = accepted_copy(request)
    if request.outcome is not None:
        request.state = RequestState.ENDED
        request.ended_at = now
        return
    requeue(world, request)


def _repeatable(request: Request) -> bool:
    return request.key is None and request.work.repeatable
