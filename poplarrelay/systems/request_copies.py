"""Keep a copy of each deferred request at a peer in another failure domain.

Notes
-----
A deferred request outlives its caller's connection, so its caller cannot notice that
its home has crashed. What callers are told must survive that crash: a request is
accepted once a peer holds a copy, and its outcome is told once that copy has it. Only
where no peer takes a copy is a request accepted, and its outcome told, all the same.

A peer that is busy may take a copy long after the home has turned to another one.
Copies are numbered, so that an old one neither replaces a newer one nor is run in
its place; see `poplarrelay.systems.takeover`.

References
----------
D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998: the ranking of peers.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from poplarrelay.identifiers import DomainId, NodeId, RequestId
from poplarrelay.messages.effects import (
    AcceptDeferred,
    Decision,
    Effect,
    EndRequest,
    LogDecision,
    StoreCopy,
)
from poplarrelay.messages.encoding import decode_outcome, encode_request
from poplarrelay.messages.gossip import CopyMessage, CopyReply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import CopyAnswered
from poplarrelay.outcomes import Outcome, Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude, remove_request
from poplarrelay.tables.copies import HeldCopy, SentCopy
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import NodePhase, World

__all__ = [
    "accepted_copy",
    "published_outcome",
    "rank_peers",
    "send_copies",
    "transfer_to",
]

#: Peers that are asked in a row to take a copy before a request goes on without one.
MAX_TRIES = 3
#: Seconds until peers are asked again after that.
RETRY_S = 1.0
_PHASES = (NodePhase.SERVING, NodePhase.DRAINING)


def rank_peers(
    request: RequestId, peers: Iterable[Member], home: DomainId | None = None
) -> list[Member]:
    """Return peers in the order in which they are asked to take a copy.

    Parameters
    ----------
    request : RequestId
        The request.
    peers : iterable of Member
        The peers.
    home : DomainId or None
        The home's failure domain; its peers come last.

    Notes
    -----
    Every node finds the same order without being told, so few have to be asked for
    a copy whose home is gone, however many nodes there are.
    """
    return sorted(
        peers, key=lambda peer: (peer.domain == home, _rank(request, peer.node))
    )


def _rank(request: RequestId, node: NodeId) -> bytes:
    return hashlib.blake2b(f"{request} {node}".encode(), digest_size=8).digest()


def accepted_copy(request: Request) -> SentCopy:
    """Return the row of a request that came from its former home."""
    return SentCopy(accepted=True, published=request.outcome is not None)


def published_outcome(world: World, request: Request) -> Outcome | None:
    """Return what callers may be told of one of this node's deferred requests."""
    copy = world.sent_copies.get(request.id)
    return request.outcome if copy is not None and copy.published else None


def send_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Copy new deferred requests and their answers, and replace lost copies."""
    for answered in inbox.of(CopyAnswered):
        yield from _take_answer(world, answered, now)
    if world.phase not in _PHASES:
        return
    for request in list(world.requests.values()):
        if request.deferred and _due(world, request, now):
            yield from _send(world, request, now)
    for request_id in list(world.sent_copies):
        if request_id not in world.requests:
            del world.sent_copies[request_id]


def _due(world: World, request: Request, now: float) -> bool:
    copy = world.sent_copies.get(request.id)
    if copy is None:
        return True
    if copy.waiting:
        return False
    ended = request.state is RequestState.ENDED
    if now < copy.next_at and (copy.published or not ended):
        return False
    holder = world.members.get(copy.holder) if copy.holder else None
    gone = (MemberStatus.LEAVING, MemberStatus.DEAD, MemberStatus.LEFT)
    lost = holder is None or holder.status in gone
    return lost or copy.maybe_taken_over or (ended and not copy.ended)


def _send(world: World, request: Request, now: float) -> Iterator[Effect]:
    copy = world.sent_copies.setdefault(request.id, SentCopy())
    holder = _next_holder(world, request, copy)
    if holder is None:
        copy.holder = None
        copy.failed.clear()
        copy.next_at = now + RETRY_S
        yield from _accept(request, copy, copied=False)
        return
    request.copies += 1
    copy.holder, copy.waiting = holder.node, True
    copy.sending_ended = request.state is RequestState.ENDED
    message = CopyMessage(
        node=world.node,
        incarnation=world.incarnation,
        generation=world.me.generation,
        request=encode_request(request, now),
    )
    yield StoreCopy(request.id, holder.peers, message)


def _next_holder(world: World, request: Request, copy: SentCopy) -> Member | None:
    """Return the peer to ask, best the one that holds a copy already."""
    if len(copy.failed) >= MAX_TRIES:
        return None
    ready = [
        member
        for member in world.members.values()
        if member.status is MemberStatus.ALIVE
        and member.ready
        and member.node not in copy.failed
    ]
    for member in ready:
        if member.node == copy.holder:
            return member
    return next(iter(rank_peers(request.id, ready, world.me.domain)), None)


def _take_answer(world: World, answered: CopyAnswered, now: float) -> Iterator[Effect]:
    request = world.requests.get(answered.request)
    copy = world.sent_copies.get(answered.request)
    if request is None or copy is None:
        return
    copy.waiting = False
    reply = answered.reply
    if reply is not None and reply.moved:
        yield from _follow(world, request, copy, reply, now)
    elif reply is not None and reply.taken:
        copy.failed.clear()
        copy.maybe_taken_over = False
        copy.ended = copy.sending_ended
        yield from _accept(request, copy, copied=True)
    elif copy.holder is not None:
        copy.failed.add(copy.holder)
        copy.holder, copy.next_at = None, now


def _accept(request: Request, copy: SentCopy, copied: bool) -> Iterator[Effect]:
    """Tell the caller what may be told now."""
    ended = copy.ended if copied else request.state is RequestState.ENDED
    news = not copy.accepted or (ended and not copy.published)
    copy.published = copy.published or ended
    if news:
        yield LogDecision(
            Decision.DEFER,
            (
                ("request", request.id),
                ("copied", copied),
                ("holder", copy.holder),
                ("copies", request.copies),
                ("ended", ended),
            ),
        )
    if not copy.accepted:
        copy.accepted = True
        yield AcceptDeferred(request.id)


def _follow(
    world: World, request: Request, copy: SentCopy, reply: CopyReply, now: float
) -> Iterator[Effect]:
    """Leave a request to the peer that took it over while this node was away."""
    home = world.members.get(copy.holder) if copy.holder else None
    copy.maybe_taken_over = False
    if reply.outcome is not None:
        outcome = decode_outcome(reply.outcome)
        if request.state is not RequestState.ENDED:
            yield from conclude(world, request, outcome, now)
        elif not copy.published:
            request.outcome = outcome
        copy.ended = True
        yield from _accept(request, copy, copied=True)
    elif home is not None:
        yield from _accept(request, copy, copied=True)
        stored = encode_request(request, now)
        held = HeldCopy(
            home.node, home.incarnation, home.generation, stored, received_at=now
        )
        yield from transfer_to(world, request, held, now)


def transfer_to(
    world: World, request: Request, held: HeldCopy, now: float
) -> Iterator[Effect]:
    """Leave a request to the peer that runs it too, and keep a copy for that one."""
    yield LogDecision(Decision.DEFER, (("request", request.id), ("left_to", held.home)))
    world.held_copies[request.id] = held
    remove_request(world, request, now)
    # Ends the attempt that may still run here.
    outcome = Unknown(UnknownReason.HOME_UNREACHABLE)
    yield EndRequest(request.id, outcome, deferred=True)
