"""Keep a copy of each deferred request at a peer in another failure domain.

Notes
-----
A deferred request outlives its caller's connection, so its caller cannot notice that
its owner has crashed. Every reply that a caller has received must stay valid after that
crash. A request is therefore accepted when a peer has stored a copy, and its outcome is
published when that copy contains it. If no peer stores a copy, the request is accepted
and its outcome is published without one.

A busy peer can store a copy long after the owner has sent one to another peer. Copies
are numbered: an old copy neither replaces a newer one nor is run in its place; see
`poplarrelay.systems.takeover`.

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

#: Peers that are sent a copy, one after another, before a request continues without.
MAX_TRIES = 3
#: Seconds until the next attempt to send a copy after these peers have failed.
RETRY_S = 1.0
_SENDING_PHASES = (NodePhase.SERVING, NodePhase.DRAINING)


def rank_peers(
    request: RequestId, peers: Iterable[Member], owner_domain: DomainId | None = None
) -> list[Member]:
    """Return peers in the order in which they are sent a copy.

    Parameters
    ----------
    request : RequestId
        The request.
    peers : iterable of Member
        The peers.
    owner_domain : DomainId or None
        The owner's failure domain; peers in this domain come last.

    Notes
    -----
    Every node computes the same order without communication. If the owner is gone,
    only a few peers are queried for its copy, regardless of the number of nodes.
    """
    return sorted(
        peers, key=lambda peer: (peer.domain == owner_domain, _rank(request, peer.node))
    )


def _rank(request: RequestId, node: NodeId) -> bytes:
    return hashlib.blake2b(f"{request} {node}".encode(), digest_size=8).digest()


def accepted_copy(request: Request) -> SentCopy:
    """Return the `SentCopy` of a request that this node has from a former owner."""
    return SentCopy(accepted=True, published=request.outcome is not None)


def published_outcome(world: World, request: Request) -> Outcome | None:
    """Return the published outcome of a deferred request of this node, or None."""
    copy = world.sent_copies.get(request.id)
    return request.outcome if copy is not None and copy.published else None


def send_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Send copies of new deferred requests and outcomes, and replace lost copies."""
    for answered in inbox.of(CopyAnswered):
        yield from _handle_reply(world, answered, now)
    if world.phase not in _SENDING_PHASES:
        return
    for request in list(world.requests.values()):
        if request.deferred and _needs_copy(world, request, now):
            yield from _send(world, request, now)
    for request_id in list(world.sent_copies):
        if request_id not in world.requests:
            del world.sent_copies[request_id]


def _needs_copy(world: World, request: Request, now: float) -> bool:
    copy = world.sent_copies.get(request.id)
    if copy is None:
        return True
    if copy.in_flight:
        return False
    ended = request.state is RequestState.ENDED
    if now < copy.next_attempt_at and (copy.published or not ended):
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
        copy.next_attempt_at = now + RETRY_S
        yield from _accept_and_publish(request, copy, copied=False)
        return
    request.copies += 1
    copy.holder, copy.in_flight = holder.node, True
    copy.sending_ended = request.state is RequestState.ENDED
    message = CopyMessage(
        node=world.node,
        incarnation=world.incarnation,
        generation=world.me.generation,
        request=encode_request(request, now),
    )
    yield StoreCopy(request.id, holder.peers, message)


def _next_holder(world: World, request: Request, copy: SentCopy) -> Member | None:
    """Return the peer to send a copy to, the present holder if it is available."""
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


def _handle_reply(world: World, answered: CopyAnswered, now: float) -> Iterator[Effect]:
    request = world.requests.get(answered.request)
    copy = world.sent_copies.get(answered.request)
    if request is None or copy is None:
        return
    copy.in_flight = False
    reply = answered.reply
    if reply is not None and reply.moved:
        yield from _transfer_to_peer(world, request, copy, reply, now)
    elif reply is not None and reply.taken:
        copy.failed.clear()
        copy.maybe_taken_over = False
        copy.ended = copy.sending_ended
        yield from _accept_and_publish(request, copy, copied=True)
    elif copy.holder is not None:
        copy.failed.add(copy.holder)
        copy.holder, copy.next_attempt_at = None, now


def _accept_and_publish(
    request: Request, copy: SentCopy, copied: bool
) -> Iterator[Effect]:
    """Accept the request, and publish its outcome if that is possible now."""
    ended = copy.ended if copied else request.state is RequestState.ENDED
    changed = not copy.accepted or (ended and not copy.published)
    copy.published = copy.published or ended
    if changed:
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


def _transfer_to_peer(
    world: World, request: Request, copy: SentCopy, reply: CopyReply, now: float
) -> Iterator[Effect]:
    """Transfer a request to the peer that took it over when this node was unreachable.

    If the peer already has the outcome, this node adopts that outcome instead, unless
    it has published its own.
    """
    owner = world.members.get(copy.holder) if copy.holder else None
    copy.maybe_taken_over = False
    if reply.outcome is not None:
        outcome = decode_outcome(reply.outcome)
        if request.state is not RequestState.ENDED:
            yield from conclude(world, request, outcome, now)
        elif not copy.published:
            request.outcome = outcome
        copy.ended = True
        yield from _accept_and_publish(request, copy, copied=True)
    elif owner is not None:
        yield from _accept_and_publish(request, copy, copied=True)
        stored = encode_request(request, now)
        held = HeldCopy(
            owner.node, owner.incarnation, owner.generation, stored, received_at=now
        )
        yield from transfer_to(world, request, held, now)


def transfer_to(
    world: World, request: Request, held: HeldCopy, now: float
) -> Iterator[Effect]:
    """Transfer a request to the peer that also runs it, and hold a copy for it."""
    yield LogDecision(
        Decision.DEFER, (("request", request.id), ("left_to", held.owner))
    )
    world.held_copies[request.id] = held
    remove_request(world, request, now)
    # End the attempt that may still be running at this node.
    outcome = Unknown(UnknownReason.OWNER_UNREACHABLE)
    yield EndRequest(request.id, outcome, deferred=True)
