"""Settle requests whose key is a ticket.

Notes
-----
Only the incarnation that a ticket names runs it, or the node that took over from
it when it left in order. The home keeps every outcome until the ticket has expired
by its own clock, so it always knows whether the ticket ran. A crash takes that
knowledge away, and open tickets end as "unknown", which a claim would do as well.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.exception import MalformedKey
from poplarrelay.messages.effects import Decision, Effect, ForwardRequest, LogDecision
from poplarrelay.messages.encoding import decode_outcome, encode_request
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import ForwardAnswered
from poplarrelay.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude
from poplarrelay.systems.key_ownership import owner_of
from poplarrelay.systems.keys import Ticket
from poplarrelay.tables.claims import KeyExecution, KeyState
from poplarrelay.tables.members import Member
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import World

__all__ = ["follow_forwards", "resolve_ticket"]

#: Epochs that a ticket may be ahead of its home, since epochs are passed on late.
EPOCHS_AHEAD = 1
#: Seconds until a caller may ask again about a ticket whose home is out of reach.
HOME_RETRY_S = 1.0


def resolve_ticket(
    world: World, request: Request, ticket: Ticket, forwarded: bool, now: float
) -> Iterator[Effect]:
    """Run a ticket here, send it to its home, or say that it is unknown.

    Raises
    ------
    MalformedKey
        If the ticket claims an epoch that its home has not reached.
    """
    if ticket.incarnation == world.incarnation:
        yield from _settle_own(world, request, ticket, now)
    elif ticket.incarnation in world.inherited_incarnations:
        yield from _hold(world, request, now)
    elif forwarded:
        yield from _unreachable(world, request, now)
    else:
        owner = owner_of(world, ticket.node, ticket.incarnation)
        yield from _forward(world, request, ticket, owner, now)


def _settle_own(
    world: World, request: Request, ticket: Ticket, now: float
) -> Iterator[Effect]:
    age = world.epoch(now) - ticket.epoch
    if age < -EPOCHS_AHEAD:
        raise MalformedKey("the ticket was not issued by this system")
    if age >= world.settings.limits.ticket_epochs:
        # What ran under the ticket may have been forgotten. Running it could
        # double it, and "not run" could be false.
        outcome = Unknown(UnknownReason.KEY_EXPIRED)
        yield from conclude(world, request, outcome, now)
    elif world.handover is not None:
        # The right to run this process's tickets was given up with the handover.
        owner = world.members.get(world.handover.successor)
        yield from _forward(world, request, ticket, owner, now)
    else:
        yield from _hold(world, request, now)


def _hold(world: World, request: Request, now: float) -> Iterator[Effect]:
    key = world.team_key(request)
    assert key is not None
    execution = world.key_executions.get(key)
    if execution is not None and _came_before(world, request, execution.changed_at):
        # A caller was told "not run" after this request had come, perhaps to
        # another node that sent it on late. It must not run any more.
        outcome = NotRun(NotRunReason.REFUSED, HOME_RETRY_S)
        yield from conclude(world, request, outcome, now)
        return
    fingerprint = request.work.fingerprint
    world.key_executions[key] = KeyExecution(
        KeyState.OPEN, request.id, fingerprint, changed_at=now
    )


def _came_before(world: World, request: Request, at: float) -> bool:
    """Return whether a request may have come before a time of this node's clock.

    Notes
    -----
    A forwarded request may have been stuck on its way for any time, and clocks of
    two hosts cannot be compared. It bears the newest reading of this node's own
    clock that its sender had heard; it certainly came after that, and nothing more
    is certain.
    """
    came = request.arrived
    if request.home_clock is not None:
        came = min(came, world.started_at + request.home_clock)
    return came < at


def _unreachable(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.HOME_UNREACHABLE, HOME_RETRY_S)
    yield from conclude(world, request, outcome, now)


def _forward(
    world: World,
    request: Request,
    ticket: Ticket,
    owner: Member | None,
    now: float,
) -> Iterator[Effect]:
    if owner is None:
        yield from _unreachable(world, request, now)
        return
    request.state = RequestState.ASKING
    fields = (("request", request.id), ("forwarded_to", owner.node))
    yield LogDecision(Decision.ROUTE, fields)
    yield ForwardRequest(
        request.id,
        owner.peers,
        ticket.incarnation,
        encode_request(request, now, owner.clock),
        request.deadline - now,
    )


def follow_forwards(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Take the answers of homes to which requests were sent on."""
    for answered in inbox.of(ForwardAnswered):
        request = world.requests.get(answered.request)
        if request is None or request.state is not RequestState.ASKING:
            continue
        reply = answered.reply
        if reply is None or reply.outcome is None:
            yield from _unreachable(world, request, now)
        else:
            yield from conclude(world, request, decode_outcome(reply.outcome), now)
