"""Keep a copy of each deferred request at a peer in another failure domain.

Notes
-----
A deferred request outlives its caller's connection, so its caller cannot notice that
its home has crashed. It is accepted once a peer holds a copy; the answer is copied as
well. If the home is declared dead or comes back as a new incarnation, the peer runs
the request. A home that was only frozen may run it too: work that must not be repeated,
or has a key, is therefore not run again but ends as unknown.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.identifiers import NodeId, RequestId
from poplarrelay.messages.convert import load_outcome, load_request, store_request
from poplarrelay.messages.effects import (
    AcceptDeferred,
    Decided,
    Decision,
    Effect,
    KeepCopy,
    Reply,
)
from poplarrelay.messages.gossip import CopyMessage, HandoverReply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import CopyAnswered, CopyReceived
from poplarrelay.outcomes import Unknown, UnknownReason
from poplarrelay.systems.concluding import requeue
from poplarrelay.tables.copies import HeldCopy, SentCopy
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import NodePhase, World

__all__ = ["hold_copies", "send_copies", "take_over_copies"]

#: Tries to copy a request before it is accepted without a copy.
MAX_TRIES = 2
#: Seconds between two tries to replace a copy.
RETRY_S = 1.0


def _backup(world: World, avoid: NodeId | None) -> Member | None:
    """Return the peer for a copy, best in another failure domain."""
    ready = [
        m
        for m in world.members.values()
        if m.status is MemberStatus.ALIVE and m.ready and m.node != avoid
    ]
    elsewhere = [m for m in ready if m.domain != world.me.domain]
    pool = elsewhere or ready
    return world.rng.choice(pool) if pool else None


def send_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Copy new deferred requests and their answers, and replace lost copies."""
    for answered in inbox.of(CopyAnswered):
        yield from _take_answer(world, answered, now)
    if world.phase is not NodePhase.SERVING:
        return
    for request in world.requests.values():
        if request.deferred and _due(world, request, now):
            yield from _send(world, request, now)
    for request_id in list(world.sent_copies):
        if request_id not in world.requests:
            del world.sent_copies[request_id]


def _due(world: World, request: Request, now: float) -> bool:
    copy = world.sent_copies.get(request.id)
    if copy is None:
        return True
    if copy.waiting or now < copy.next_at:
        return False
    holder = world.members.get(copy.holder) if copy.holder else None
    lost = holder is None or holder.status in (MemberStatus.DEAD, MemberStatus.LEFT)
    stale = request.state is RequestState.ENDED and not copy.ended
    return lost or stale


def _send(world: World, request: Request, now: float) -> Iterator[Effect]:
    copy = world.sent_copies.setdefault(request.id, SentCopy())
    holder = world.members.get(copy.holder) if copy.holder else None
    if holder is None or holder.status is not MemberStatus.ALIVE:
        holder = _backup(world, copy.holder)
    if holder is None:
        copy.next_at = now + RETRY_S
        yield from _accept(request, copy, copied=False)
        return
    copy.holder, copy.waiting, copy.tries = holder.node, True, copy.tries + 1
    copy.sending_ended = request.state is RequestState.ENDED
    message = CopyMessage(
        node=world.node,
        incarnation=world.incarnation,
        request=store_request(request, now),
    )
    yield KeepCopy(request.id, holder.peers, message)


def _take_answer(world: World, answered: CopyAnswered, now: float) -> Iterator[Effect]:
    request = world.requests.get(answered.request)
    copy = world.sent_copies.get(answered.request)
    if request is None or copy is None:
        return
    copy.waiting = False
    if answered.taken:
        copy.ended = copy.sending_ended
        yield from _accept(request, copy, copied=True)
        return
    copy.holder, copy.next_at = None, now
    if copy.tries >= MAX_TRIES:
        copy.next_at = now + RETRY_S
        yield from _accept(request, copy, copied=False)


def _accept(request: Request, copy: SentCopy, copied: bool) -> Iterator[Effect]:
    if copy.accepted:
        return
    copy.accepted = True
    fields = (("request", request.id), ("copied", copied), ("holder", copy.holder))
    yield Decided(Decision.DEFER, fields)
    yield AcceptDeferred(request.id)


def hold_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Hold copies for peers."""
    for received in inbox.of(CopyReceived):
        taken = world.phase is NodePhase.SERVING
        if taken:
            message = received.copy
            request = RequestId(message.request.id)
            world.held_copies[request] = HeldCopy(
                NodeId(message.node), message.incarnation, message.request, now
            )
        yield Reply(received.call, HandoverReply(taken=taken))


def take_over_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Run the requests whose homes are gone, and keep their answers."""
    for request_id, held in list(world.held_copies.items()):
        if request_id in world.requests:
            del world.held_copies[request_id]
        elif _gone(world, held):
            del world.held_copies[request_id]
            yield from _take_over(world, held, now)
        elif now - held.received_at > world.settings.limits.key_memory_s:
            del world.held_copies[request_id]


def _gone(world: World, held: HeldCopy) -> bool:
    home = world.members.get(held.home)
    if home is None or home.incarnation != held.incarnation:
        return True
    if home.status is MemberStatus.LEFT:
        return home.successor is None
    return home.status is MemberStatus.DEAD


def _take_over(world: World, held: HeldCopy, now: float) -> Iterator[Effect]:
    spent = now - held.received_at
    request = load_request(held.request, now - spent)
    world.requests[request.id] = request
    yield Decided(
        Decision.DEFER,
        (("request", request.id), ("taken_over_from", held.home)),
    )
    if held.request.outcome is not None:
        request.outcome = load_outcome(held.request.outcome)
    elif request.key is not None or not request.work.repeatable:
        request.outcome = Unknown(UnknownReason.HOME_UNREACHABLE)
    if request.outcome is not None:
        request.state = RequestState.ENDED
        request.ended_at = now
        return
    requeue(world, request)
