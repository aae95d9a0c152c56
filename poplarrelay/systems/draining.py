"""Let this node leave: announce it, drain, hand over to a successor.

Notes
-----
The order of the steps makes leaving safe. First the node announces to its peers that
it is leaving, so discovery no longer lists it. Callers with an older list of addresses
are still served until that list expires. Then the node accepts no new work and lets
running requests end. Before it sends the handover, it releases the right to run its
tickets. It sends the handover to one successor, under one id, until the successor
acknowledges it. So a lost acknowledgement never leaves two owners.
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
from poplarrelay.messages.questions import ShutdownRequested
from poplarrelay.outcomes import Continued, Outcome, Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude, remove_request, requeue
from poplarrelay.systems.gossiping import own_row, raise_version
from poplarrelay.systems.request_copies import accepted_copy
from poplarrelay.tables.claims import KeyExecution, KeyState, TeamKey
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState, WorkKind
from poplarrelay.tables.world import HandoverState, NodePhase, World

__all__ = ["drain", "process_handovers"]

#: Fraction of the time to leave during which new requests are still accepted.
ACCEPT_SHARE = 0.3
#: Seconds before the end at which the handover begins even if requests still run.
HANDOVER_MARGIN_S = 2.0
#: Largest fraction of the time to leave that `HANDOVER_MARGIN_S` takes.
HANDOVER_SHARE = 0.3
#: Seconds between two sends of an unacknowledged handover.
RESEND_S = 0.3


def drain(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Process shutdown requests and run the next step of leaving."""
    for requested in inbox.of(ShutdownRequested):
        yield from _begin_leaving(world, requested.within_s, now)
    if world.phase is not NodePhase.DRAINING:
        return
    yield from _process_acknowledgements(world, inbox)
    if world.handover is None:
        idle = now >= world.reject_from and not _busy(world)
        if idle or now >= world.handover_at:
            yield from _begin_handover(world, now)
    elif not world.handover.acknowledged and now >= world.handover.next_send_at:
        yield from _send_handover(world, now)
    if _handover_acknowledged(world) or now >= world.drain_until:
        yield from _stop(world, now)


def _begin_leaving(world: World, within_s: float, now: float) -> Iterator[Effect]:
    """Begin to leave, or bring the end forward if the node is leaving already."""
    until = now + within_s
    margin = min(HANDOVER_MARGIN_S, HANDOVER_SHARE * within_s)
    world.drain_until = min(world.drain_until, until)
    world.handover_at = min(world.handover_at, until - margin)
    accept = min(world.settings.timing.address_ttl_s, ACCEPT_SHARE * within_s)
    world.reject_from = min(world.reject_from, now + accept)
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
    yield from _announce(world, now)


def _announce(world: World, now: float) -> Iterator[Effect]:
    peers = tuple(
        m.peers
        for m in world.members.values()
        if m.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)
    )
    if peers:
        yield SendGossip(peers, ProbeMessage(sender=own_row(world, now)))


def _is_waiting_deferred(request: Request) -> bool:
    """Return whether a request is deferred, queued and was never started.

    Another node can run such a request as if the caller had sent it there.
    """
    return (
        request.deferred
        and request.state is RequestState.QUEUED
        and not request.started
    )


def _busy(world: World) -> bool:
    return any(not _is_waiting_deferred(request) for request in world.open_requests())


def _successor(world: World) -> Member | None:
    """Return a random ready peer, in another failure domain if there is one."""
    ready = [
        m for m in world.members.values() if m.status is MemberStatus.ALIVE and m.ready
    ]
    other_domains = [m for m in ready if m.domain != world.me.domain]
    candidates = other_domains or ready
    return world.rng.choice(candidates) if candidates else None


def _begin_handover(world: World, now: float) -> Iterator[Effect]:
    successor = _successor(world)
    if successor is None:
        if not _busy(world) and not _has_state_to_hand_over(world):
            yield from _stop(world, now)
        return
    encoded = _extract_deferred(world, now)
    yield from _end_open_requests(world, successor, now)
    # Deferred requests that ended in the line above are handed over as well, since
    # their callers fetch the outcome at the successor.
    encoded += _extract_deferred(world, now)
    message = HandoverMessage(
        id=f"h.{world.node}.{world.incarnation}",
        node=world.node,
        incarnation=world.incarnation,
        keys=tuple(_encoded_keys(world, now)),
        requests=encoded,
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


def _extract_deferred(world: World, now: float) -> tuple[RequestMessage, ...]:
    transferred = [r for r in world.requests.values() if _is_handed_over(r)]
    encoded = tuple(encode_request(request, now) for request in transferred)
    for request in transferred:
        remove_request(world, request, now)
    return encoded


def _has_state_to_hand_over(world: World) -> bool:
    return bool(world.key_executions) or any(
        r.deferred for r in world.requests.values()
    )


def _is_handed_over(request: Request) -> bool:
    """Return whether a request, or the answer kept for it, is handed over."""
    if not request.deferred:
        return False
    ended = request.state is RequestState.ENDED
    return ended or _is_waiting_deferred(request) or request.work.repeatable


def _end_open_requests(
    world: World, successor: Member | None, now: float
) -> Iterator[Effect]:
    """End all requests that are still open.

    The caller of a completion gets the address at which to continue. Other requests end
    as unknown, since they may have run.
    """
    for request in world.open_requests():
        if request.state is RequestState.ENDED:
            continue
        outcome: Outcome = Unknown(UnknownReason.NODE_LEAVING, retry_after_s=0.0)
        if successor is not None and request.work.kind is WorkKind.COMPLETION:
            outcome = Continued(successor.callers)
        yield from conclude(world, request, outcome, now)


def _encoded_keys(world: World, now: float) -> Iterator[KeyMessage]:
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


def _process_acknowledgements(world: World, inbox: Inbox) -> Iterator[Effect]:
    for answered in inbox.of(HandoverAnswered):
        state = world.handover
        if state is None or answered.id != state.message.id:
            continue
        if answered.reply is not None and answered.reply.taken:
            state.acknowledged = True
            yield LogDecision(Decision.HANDOVER, (("acknowledged_by", answered.node),))


def _handover_acknowledged(world: World) -> bool:
    return world.handover is not None and world.handover.acknowledged


def _stop(world: World, now: float) -> Iterator[Effect]:
    clean = not _busy(world) and (
        _handover_acknowledged(world) or not _has_state_to_hand_over(world)
    )
    if _handover_acknowledged(world) and world.handover is not None:
        world.me.successor = world.handover.successor
    yield from _end_open_requests(world, None, now)
    world.phase = NodePhase.STOPPED
    world.me.status = MemberStatus.LEFT
    raise_version(world)
    yield LogDecision(Decision.DRAIN, (("step", "left"), ("clean", clean)))
    yield from _announce(world, now)
    yield StopProcess(clean)


def process_handovers(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Take over tickets, keys and requests from peers that leave.

    Notes
    -----
    A repeated handover has no further effect: it is only acknowledged again. A node
    that is leaving refuses a handover, so that the rights to run tickets are not passed
    along a chain of leaving nodes.
    """
    for received in inbox.of(HandoverReceived):
        handover = received.handover
        incarnation = Incarnation(handover.incarnation)
        if incarnation not in world.inherited_incarnations:
            if world.phase is not NodePhase.SERVING:
                yield Reply(received.call, HandoverReply(taken=False))
                continue
            yield from _take_over(world, handover, incarnation, now)
        yield Reply(received.call, HandoverReply(taken=True))


def _take_over(
    world: World, handover: HandoverMessage, incarnation: Incarnation, now: float
) -> Iterator[Effect]:
    world.inherited_incarnations[incarnation] = now
    for encoded in handover.keys:
        key = TeamKey.of(encoded.team, encoded.key)
        held = world.key_executions.get(key)
        if held is not None and held.state is not KeyState.RELEASED:
            continue
        world.key_executions[key] = _key_execution(encoded, now)
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
    """Queue a request that was handed over, and mark its key as owned by this node."""
    key = world.team_key(request)
    if key is not None:
        world.key_executions[key] = KeyExecution(
            KeyState.OPEN, request.id, request.work.fingerprint, changed_at=now
        )
    requeue(world, request)


def _key_execution(encoded: KeyMessage, now: float) -> KeyExecution:
    return KeyExecution(
        state=KeyState(encoded.state),
        request=RequestId(""),
        fingerprint=encoded.fingerprint,
        changed_at=now - encoded.age_s,
        claim=None if encoded.claim is None else Offset(encoded.claim),
        outcome=None if encoded.outcome is None else decode_outcome(encoded.outcome),
    )
