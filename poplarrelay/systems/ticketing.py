"""Resolve requests whose key is a ticket.

Notes
-----
A ticket is run only by its owner: the incarnation that the ticket names, or its
successor if the node left after a clean stop. The owner stores every outcome until the
ticket has expired by the owner's clock, and can therefore always tell whether the
ticket ran. A crash loses these outcomes. Open tickets then end as "unknown", as claimed
keys would.
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

__all__ = ["process_forward_replies", "resolve_ticket"]

#: Epochs that a ticket can be ahead of its owner's epoch, since gossip delays epochs.
MAX_EPOCHS_AHEAD = 1
#: Seconds after which a caller can retry a ticket whose owner is unreachable.
OWNER_RETRY_S = 1.0


def resolve_ticket(
    world: World, request: Request, ticket: Ticket, forwarded: bool, now: float
) -> Iterator[Effect]:
    """Run a ticket at this node, forward it to its owner, or end it as unknown.

    Raises
    ------
    MalformedKey
        If the ticket contains an epoch that its owner has not reached.
    """
    if ticket.incarnation == world.incarnation:
        yield from _resolve_own(world, request, ticket, now)
    elif ticket.incarnation in world.inherited_incarnations:
        yield from _open_execution(world, request, now)
    elif forwarded:
        yield from _end_unreachable(world, request, now)
    else:
        owner = owner_of(world, ticket.node, ticket.incarnation)
        yield from _forward(world, request, ticket, owner, now)


def _resolve_own(
    world: World, request: Request, ticket: Ticket, now: float
) -> Iterator[Effect]:
    age = world.epoch(now) - ticket.epoch
    if age < -MAX_EPOCHS_AHEAD:
        raise MalformedKey("the ticket was not issued by this system")
    if age >= world.settings.limits.ticket_epochs:
        # This process may have forgotten the outcome of the ticket. Running it could
        # run the work twice, and "not run" could be false.
        outcome = Unknown(UnknownReason.KEY_EXPIRED)
        yield from conclude(world, request, outcome, now)
    elif world.handover is not None:
        # The handover has passed the right to run this process's tickets on.
        owner = world.members.get(world.handover.successor)
        yield from _forward(world, request, ticket, owner, now)
    else:
        yield from _open_execution(world, request, now)


def _open_execution(world: World, request: Request, now: float) -> Iterator[Effect]:
    key = world.team_key(request)
    assert key is not None
    execution = world.key_executions.get(key)
    if execution is not None and _may_have_arrived_before(
        world, request, execution.changed_at
    ):
        # A caller got "not run" after this request had arrived, possibly at another
        # node that forwarded it late. The request must not run.
        outcome = NotRun(NotRunReason.REFUSED, OWNER_RETRY_S)
        yield from conclude(world, request, outcome, now)
        return
    fingerprint = request.work.fingerprint
    world.key_executions[key] = KeyExecution(
        KeyState.OPEN, request.id, fingerprint, changed_at=now
    )


def _may_have_arrived_before(world: World, request: Request, at: float) -> bool:
    """Return whether a request may have arrived before `at`, by this node's clock.

    Notes
    -----
    A forwarded request can be delayed for any time, and clocks of two hosts cannot be
    compared. The request therefore contains the newest time of this node's clock that
    its sender had received. The request arrived at the sender after that time; nothing
    else is certain about its arrival.
    """
    earliest = request.arrived
    if request.owner_clock is not None:
        earliest = min(earliest, world.started_at + request.owner_clock)
    return earliest < at


def _end_unreachable(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.OWNER_UNREACHABLE, OWNER_RETRY_S)
    yield from conclude(world, request, outcome, now)


def _forward(
    world: World,
    request: Request,
    ticket: Ticket,
    owner: Member | None,
    now: float,
) -> Iterator[Effect]:
    if owner is None:
        yield from _end_unreachable(world, request, now)
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


def process_forward_replies(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Handle the replies of owners to forwarded requests."""
    for answered in inbox.of(ForwardAnswered):
        request = world.requests.get(answered.request)
        if request is None or request.state is not RequestState.ASKING:
            continue
        reply = answered.reply
        if reply is None or reply.outcome is None:
            yield from _end_unreachable(world, request, now)
        else:
            yield from conclude(world, request, decode_outcome(reply.outcome), now)
