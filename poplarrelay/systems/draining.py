"""Let this node leave: stop being named, drain, hand over.

Notes
-----
The order is what makes it safe. First the node tells its peers that it is leaving,
so discovery stops naming it; callers that hold an older answer are still served for
as long as such answers live. Then it takes no more work and lets what runs end.
Before the handover is sent, the node gives up the right to run its tickets; it is
sent to one successor under one id until that one acknowledges it, so a lost
acknowledgement never leaves two holders.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.identifiers import Incarnation, NodeId, Offset, RequestId
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    LogDecision,
    Reply,
    SendGossip,
    SendHandover,
    StopProcess,
)
from poplarrelay.messages.encoding import (
    decode_outcome,
    decode_request,
    encode_outcome,
    encode_request,
)
from poplarrelay.messages.gossip import (
    HandoverMessage,
    HandoverReply,
    KeyMessage,
    ProbeMessage,
    RequestMessage,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import HandoverAnswered, HandoverReceived
from poplarrelay.messages.questions import ShutdownAsked
from poplarrelay.outcomes import Continued, Outcome, Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude, remove_request, requeue
from poplarrelay.systems.gossiping import own_row, raise_version
from poplarrelay.systems.request_copies import accepted_copy
from poplarrelay.tables.claims import KeyExecution, KeyState, TeamKey
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState, WorkKind
from poplarrelay.tables.world import HandoverState, NodePhase, World

__all__ = ["drain", "take_handovers"]

#: Share of the time to leave in which new requests are still taken.
ACCEPT_SHARE = 0.3
#: Seconds before the end at which what still runs is handed over.
HANDOVER_MARGIN_S = 2.0
#: Largest share of the time to leave that this margin takes.
HANDOVER_SHARE = 0.3
#: Seconds between two repetitions of a handover.
RESEND_S = 0.3


def drain(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Take the order to leave, and go through the steps of leaving."""
    for asked in inbox.of(ShutdownAsked):
        yield from _start(world, asked.within_s, now)
    if world.phase is not NodePhase.DRAINING:
        return
    yield from _follow_acknowledgement(world, inbox)
    if world.handover is None:
        quiet = now >= world.refuse_from and not _busy(world)
        if quiet or now >= world.handover_at:
            yield from _begin_handover(world, now)
    elif not world.handover.acknowledged and now >= world.handover.next_send_at:
        yield from _send_handover(world, now)
    if _done(world) or now >= world.drain_until:
        yield from _stop(world, now)


def _start(world: World, within_s: float, now: float) -> Iterator[Effect]:
    """Begin to leave; a second order may only bring the end forward."""
    until = now + within_s
    margin = min(HANDOVER_MARGIN_S, HANDOVER_SHARE * within_s)
    world.drain_until = min(world.drain_until, until)
    world.handover_at = min(world.handover_at, until - margin)
    accept = min(world.settings.timing.address_ttl_s, ACCEPT_SHARE * within_s)
    world.refuse_from = min(world.refuse_from, now + accept)
    if world.phase in (NodePhase.DRAINING, NodePhase.STOPPED):
        if world.drain_until == until:
            step = (("step", "hurrying"), ("within_s", within_s))
            yield LogDecision(Decision.DRAIN, step)
        return
    world.phase = NodePhase.DRAINING
    world.me.status = MemberStatus.LEAVING
    world.me.ready = False
    raise_version(world)
    yield LogDecision(Decision.DRAIN, (("step", "leaving"), ("within_s", within_s)))
    yield from _tell(world, now)


def _tell(world: World, now: float) -> Iterator[Effect]:
    peers = tuple(
        m.peers
        for m in world.members.values()
        if m.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)
    )
    if peers:
        yield SendGossip(peers, ProbeMessage(sender=own_row(world, now)))


def _waits(request: Request) -> bool:
    """Return whether a request can go on at another node as if it had come there."""
    return (
        request.deferred
        and request.state is RequestState.QUEUED
        and not request.started
    )


def _busy(world: World) -> bool:
    return any(not _waits(request) for request in world.open_requests())


def _successor(world: World) -> Member | None:
    """Return the peer to hand over to, best in another failure domain."""
    ready = [
        m for m in world.members.values() if m.status is MemberStatus.ALIVE and m.ready
    ]
    elsewhere = [m for m in ready if m.domain != world.me.domain]
    pool = elsewhere or ready
    return world.rng.choice(pool) if pool else None


def _begin_handover(world: World, now: float) -> Iterator[Effect]:
    successor = _successor(world)
    if successor is None:
        if not _busy(world) and not _has_memory(world):
            yield from _stop(world, now)
        return
    stored = _take_along(world, now)
    yield from _end_the_rest(world, successor, now)
    # Deferred requests that have ended only now are fetched at the successor as well.
    stored += _take_along(world, now)
    message = HandoverMessage(
        id=f"h.{world.node}.{world.incarnation}",
        node=world.node,
        incarnation=world.incarnation,
        keys=tuple(_stored_keys(world, now)),
        requests=stored,
    )
    world.handover = HandoverState(successor.node, successor.peers, message, now)
    yield LogDecision(
        Decision.HANDOVER,
        (
            ("to", successor.node),
            ("keys", len(message.keys)),
            ("requests", len(message.requests)),
        ),
    )
    yield from _send_handover(world, now)


def _take_along(world: World, now: float) -> tuple[RequestMessage, ...]:
    handed = [r for r in world.requests.values() if _goes_along(r)]
    stored = tuple(encode_request(request, now) for request in handed)
    for request in handed:
        remove_request(world, request, now)
    return stored


def _has_memory(world: World) -> bool:
    return bool(world.key_executions) or any(
        r.deferred for r in world.requests.values()
    )


def _goes_along(request: Request) -> bool:
    """Return whether a deferred request, or its kept answer, is handed over."""
    if not request.deferred:
        return False
    ended = request.state is RequestState.ENDED
    return ended or _waits(request) or request.work.repeatable


def _end_the_rest(
    world: World, successor: Member | None, now: float
) -> Iterator[Effect]:
    """End what has not ended by the time of the handover.

    The caller of a completion is told where to go on; anything else may have run.
    """
    for request in world.open_requests():
        if request.state is RequestState.ENDED:
            continue
        outcome: Outcome = Unknown(UnknownReason.NODE_LEAVING, retry_after_s=0.0)
        if successor is not None and request.work.kind is WorkKind.COMPLETION:
            outcome = Continued(successor.callers)
        yield from conclude(world, request, outcome, now)


def _stored_keys(world: World, now: float) -> Iterator[KeyMessage]:
    states = {
        KeyState.FINISHED: "finished",
        KeyState.RELEASED: "released",
        KeyState.BROKEN: "broken",
    }
    for key, execution in world.key_executions.items():
        yield KeyMessage(
            team=key.team,
            key=key.key,
            state=states.get(execution.state, "broken"),  # type: ignore[arg-type]
            fingerprint=execution.fingerprint,
            claim=execution.claim,
            outcome=None
            if execution.outcome is None
            else encode_outcome(execution.outcome),
            age_s=now - execution.changed_at,
        )


def _send_handover(world: World, now: float) -> Iterator[Effect]:
    state = world.handover
    assert state is not None
    state.next_send_at = now + RESEND_S
    yield SendHandover(state.successor, state.peer, state.message)


def _follow_acknowledgement(world: World, inbox: Inbox) -> Iterator[Effect]:
    for answered in inbox.of(HandoverAnswered):
        state = world.handover
        if state is None or answered.id != state.message.id:
            continue
        if answered.reply is not None and answered.reply.taken:
            state.acknowledged = True
            yield LogDecision(Decision.HANDOVER, (("acknowledged_by", answered.node),))


def _done(world: World) -> bool:
    return world.handover is not None and world.handover.acknowledged


def _stop(world: World, now: float) -> Iterator[Effect]:
    clean = not _busy(world) and (_done(world) or not _has_memory(world))
    if _done(world) and world.handover is not None:
        world.me.successor = world.handover.successor
    yield from _end_the_rest(world, None, now)
    world.phase = NodePhase.STOPPED
    world.me.status = MemberStatus.LEFT
    raise_version(world)
    yield LogDecision(Decision.DRAIN, (("step", "left"), ("clean", clean)))
    yield from _tell(world, now)
    yield StopProcess(clean)


def take_handovers(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Take over from peers that leave.

    Notes
    -----
    A repetition takes effect once: an incarnation that was adopted already is only
    acknowledged again. A node that is leaving itself refuses, so that the rights
    do not wander along a chain of leaving nodes.
    """
    for received in inbox.of(HandoverReceived):
        handover = received.handover
        incarnation = Incarnation(handover.incarnation)
        if incarnation not in world.inherited_incarnations:
            if world.phase is not NodePhase.SERVING:
                yield Reply(received.call, HandoverReply(taken=False))
                continue
            yield from _adopt(world, handover, incarnation, now)
        yield Reply(received.call, HandoverReply(taken=True))


def _adopt(
    world: World, handover: HandoverMessage, incarnation: Incarnation, now: float
) -> Iterator[Effect]:
    world.inherited_incarnations[incarnation] = now
    for stored in handover.keys:
        key = TeamKey.of(stored.team, stored.key)
        held = world.key_executions.get(key)
        if held is not None and held.state is not KeyState.RELEASED:
            continue
        world.key_executions[key] = _key_execution(stored, now)
    for row in handover.requests:
        request = decode_request(row, now)
        if request.id in world.requests:
            continue
        world.requests[request.id] = request
        if request.deferred:
            world.sent_copies[request.id] = accepted_copy(request)
        if request.outcome is not None:
            request.state = RequestState.ENDED
            request.ended_at = now
        else:
            _resume(world, request, now)
    yield LogDecision(
        Decision.HANDOVER,
        (
            ("from", NodeId(handover.node)),
            ("keys", len(handover.keys)),
            ("requests", len(handover.requests)),
        ),
    )


def _resume(world: World, request: Request, now: float) -> None:
    """Queue a request that was handed over, with the right to run its key."""
    key = world.team_key(request)
    if key is not None:
        world.key_executions[key] = KeyExecution(
            KeyState.OPEN, request.id, request.work.fingerprint, changed_at=now
        )
    requeue(world, request)


def _key_execution(stored: KeyMessage, now: float) -> KeyExecution:
    return KeyExecution(
        state=KeyState(stored.state),
        request=RequestId(""),
        fingerprint=stored.fingerprint,
        changed_at=now - stored.age_s,
        claim=None if stored.claim is None else Offset(stored.claim),
        outcome=None if stored.outcome is None else decode_outcome(stored.outcome),
    )
