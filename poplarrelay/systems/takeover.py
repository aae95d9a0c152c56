"""Hold copies of peers' deferred requests, and take requests over from homes that go.

Notes
-----
If a home is declared dead or comes back as a new incarnation, a peer runs its requests.
Several peers may have a copy: one that was too busy to confirm it in time took it all
the same. So a peer first asks the others that may have one. Who has the outcome, or
runs the request already, goes before the newest copy, and that before older ones; a
peer that does not answer is waited for until it is declared dead itself.

A home that was only frozen may run a request too. Work that must not be repeated, or
has a key, is therefore not run again but ends as unknown.
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

#: Peers that are asked before a request is taken over, the first ones by rank.
MAX_ASKED = 4
#: Seconds until a peer is asked again that has not answered, or holds a newer copy.
ASK_AGAIN_S = 0.3
_REACHABLE = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)


def hold_copies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Hold copies for peers."""
    for received in inbox.of(CopyReceived):
        reply = yield from _hold(world, received.copy, now)
        yield Reply(received.call, reply)


def _hold(
    world: World, message: CopyMessage, now: float
) -> Generator[Effect, None, CopyReply]:
    request_id = RequestId(message.request.id)
    mine = world.requests.get(request_id)
    if mine is not None and message.request.outcome is not None:
        yield from conclude(world, mine, decode_outcome(message.request.outcome), now)
    if mine is not None and mine.outcome is not None:
        return CopyReply(taken=True, moved=True, outcome=encode_outcome(mine.outcome))
    if mine is not None and not _leaves_to_sender(world, message):
        return CopyReply(taken=True, moved=True)
    if mine is not None:
        yield from transfer_to(world, mine, _held_copy(message, now), now)
        return CopyReply(taken=True)
    if world.phase is not NodePhase.SERVING:
        return CopyReply(taken=False)
    held = world.held_copies.get(request_id)
    if held is not None and _replaces(held.request, message.request):
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


def _leaves_to_sender(world: World, message: CopyMessage) -> bool:
    """Return whether this node leaves a request to a peer that runs it as well.

    Notes
    -----
    A home that was taken for dead leaves it to whoever took it over. Both sides come
    to the same result, or both could leave it to the other.
    """
    first = message.request.id.split(".")[2:3]
    if first == [message.incarnation]:
        return False
    return first == [world.incarnation] or message.node < world.node


def _replaces(one: RequestMessage, other: RequestMessage) -> bool:
    """Return whether a copy holds where another one of the same request is known."""
    if (one.outcome is None) is not (other.outcome is None):
        return one.outcome is not None
    return one.copies > other.copies


def answer_copy_queries(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Tell peers what this node has of requests whose home is gone."""
    for asked in inbox.of(CopiesQueried):
        standings = tuple(
            _status(world, RequestId(request)) for request in asked.query.requests
        )
        yield Reply(asked.call, CopyStatuses(standings=standings))


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
    """Run the requests whose homes are gone, and keep their answers."""
    for answered in inbox.of(CopiesAnswered):
        _take_statuses(world, answered, now)
    if world.handover is not None:
        return
    questions: dict[NodeId, list[RequestId]] = {}
    for request_id, held in list(world.held_copies.items()):
        _follow_successor(world, held)
        if request_id in world.requests:
            del world.held_copies[request_id]
        elif _gone(world, held, now):
            if held.asked or now < held.next_ask_at:
                continue
            unsure = _unsure(world, request_id, held)
            if not unsure:
                del world.held_copies[request_id]
                yield from _take_over(world, held, now)
            for peer in unsure:
                held.asked.add(peer.node)
                questions.setdefault(peer.node, []).append(request_id)
        elif now - held.received_at > world.settings.limits.key_memory_s:
            del world.held_copies[request_id]
    for node, requests in questions.items():
        query = CopyQuery(requests=tuple(requests))
        yield QueryCopies(node, world.members[node].peers, query)


def _gone(world: World, held: HeldCopy, now: float) -> bool:
    """Return whether the home of a copy will not run its request any more.

    Notes
    -----
    A copy may arrive before the news of the process that sent it. So a home that is
    not known, or only as an older process, is not gone.
    """
    home = world.members.get(held.home)
    if home is None:
        return now - held.received_at > world.settings.timing.forget_dead_s
    if home.incarnation != held.incarnation:
        return home.generation > held.generation
    if home.status is MemberStatus.LEFT:
        return home.successor is None
    return home.status is MemberStatus.DEAD


def _follow_successor(world: World, held: HeldCopy) -> None:
    """Take the successor of a home that has left for the home of its copy."""
    home = world.members.get(held.home)
    if home is None or home.incarnation != held.incarnation:
        return
    if home.status is MemberStatus.LEFT and home.successor is not None:
        successor = world.members.get(home.successor)
        if successor is not None:
            _rehome(held, successor)


def _rehome(held: HeldCopy, home: Member) -> None:
    held.home, held.incarnation = home.node, home.incarnation
    held.generation = home.generation
    held.ruled_out.clear()


def _unsure(world: World, request_id: RequestId, held: HeldCopy) -> list[Member]:
    """Return the peers that may have more of a request than this node."""
    if held.request.outcome is not None:
        return []
    peers = [
        member
        for member in world.members.values()
        if member.status in _REACHABLE and member.node != held.home
    ]
    home = world.members.get(held.home)
    domain = None if home is None else home.domain
    first = rank_peers(request_id, peers, domain)[:MAX_ASKED]
    return [peer for peer in first if peer.node not in held.ruled_out]


def _take_statuses(world: World, answered: CopiesAnswered, now: float) -> None:
    """Note what a peer has of each request that it was asked for."""
    standings = () if answered.reply is None else answered.reply.standings
    by_request = {RequestId(status.request): status for status in standings}
    for request_id in answered.requests:
        held = world.held_copies.get(request_id)
        if held is None:
            continue
        held.asked.discard(answered.node)
        status = by_request.get(request_id)
        if status is None or not _settle(world, held, answered.node, status):
            held.next_ask_at = now + ASK_AGAIN_S


def _settle(world: World, held: HeldCopy, node: NodeId, status: CopyStatus) -> bool:
    """Take a peer's standing, and return whether it need not be asked again."""
    if status.outcome is not None:
        found = {"outcome": status.outcome, "copies": status.copies}
        held.request = held.request.model_copy(update=found)
    elif status.state == "home":
        member = world.members.get(node)
        if member is not None:
            _rehome(held, member)
    elif status.state == "absent" or _goes_before(world, held, node, status):
        held.ruled_out.add(node)
    else:
        return False
    return True


def _goes_before(
    world: World, held: HeldCopy, node: NodeId, status: CopyStatus
) -> bool:
    """Return whether this node's copy is the newer one; by name where both are."""
    mine = (held.request.copies, world.node)
    return mine > (status.copies, node)


def _take_over(world: World, held: HeldCopy, now: float) -> Iterator[Effect]:
    spent = now - held.received_at
    request = decode_request(held.request, now - spent)
    world.requests[request.id] = request
    yield LogDecision(
        Decision.DEFER,
        (
            ("request", request.id),
            ("taken_over_from", held.home),
            ("copies", request.copies),
            ("asked", ",".join(sorted(held.ruled_out))),
        ),
    )
    if request.outcome is None and not _repeatable(request):
        request.outcome = Unknown(UnknownReason.HOME_UNREACHABLE)
    world.sent_copies[request.id] = accepted_copy(request)
    if request.outcome is not None:
        request.state = RequestState.ENDED
        request.ended_at = now
        return
    requeue(world, request)


def _repeatable(request: Request) -> bool:
    return request.key is None and request.work.repeatable
