"""Settle who may run a request that has just arrived."""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.exception import KeyReused
from poplarrelay.messages.effects import Effect
from poplarrelay.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from poplarrelay.systems.claiming import resolve_caller_key
from poplarrelay.systems.concluding import conclude
from poplarrelay.systems.keys import CallerKey, Ticket, read_key
from poplarrelay.systems.limits import answer_store_full
from poplarrelay.systems.ticketing import resolve_ticket
from poplarrelay.tables.claims import KeyExecution, KeyState, TeamKey
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import World

__all__ = ["resolve_key"]

#: Seconds until a caller may ask again at another node.
ELSEWHERE_RETRY_S = 0.2


def resolve_key(
    world: World, request: Request, forwarded: bool, now: float
) -> Iterator[Effect]:
    """Decide who may run a request.

    Parameters
    ----------
    world : World
        The tables.
    request : Request
        A request of `world`. Its state stays RECEIVED if it may run at once.
    forwarded : bool
        Whether a peer sent it on, so that it must not be sent on again.
    now : float
        Monotonic time.

    Raises
    ------
    MalformedKey
        If the key has an unknown form.
    KeyReused
        If the key came before with other work.
    """
    if request.key is None:
        return
    form = read_key(request.key)
    if not _known(world, request):
        if now >= world.refuse_from:
            reasons = NotRunReason.NODE_LEAVING, UnknownReason.NODE_LEAVING
            yield from _leave_alone(world, request, form, reasons, now)
            return
        if answer_store_full(world):
            reasons = NotRunReason.QUEUE_FULL, UnknownReason.QUEUE_FULL
            yield from _leave_alone(world, request, form, reasons, now)
            return
    execution = world.key_executions.get(TeamKey(request.team, request.key))
    if execution is not None and execution.state is not KeyState.RELEASED:
        yield from _repeat(world, request, execution, now)
    elif isinstance(form, Ticket):
        yield from resolve_ticket(world, request, form, forwarded, now)
    else:
        yield from resolve_caller_key(world, request, form, now)


def _known(world: World, request: Request) -> bool:
    key = world.team_key(request)
    return key is not None and key in world.key_executions


def _leave_alone(
    world: World,
    request: Request,
    form: CallerKey | Ticket,
    reasons: tuple[NotRunReason, UnknownReason],
    now: float,
) -> Iterator[Effect]:
    """End a request with a key that this node does not look into.

    The node's own tickets are certain not to have run, until it has handed over
    the right to run them.
    """
    own = isinstance(form, Ticket) and form.incarnation == world.incarnation
    if own and world.handover is None:
        outcome = NotRun(reasons[0], ELSEWHERE_RETRY_S)
        yield from conclude(world, request, outcome, now)
    else:
        unknown = Unknown(reasons[1], ELSEWHERE_RETRY_S)
        yield from conclude(world, request, unknown, now)


def _repeat(
    world: World, request: Request, execution: KeyExecution, now: float
) -> Iterator[Effect]:
    if execution.fingerprint != request.work.fingerprint:
        raise KeyReused("the key came before with other work")
    if execution.state is KeyState.BROKEN:
        outcome = Unknown(UnknownReason.ATTEMPT_BROKEN)
        yield from conclude(world, request, outcome, now)
    elif execution.state is KeyState.FINISHED and execution.outcome is not None:
        yield from conclude(world, request, execution.outcome, now)
    else:
        request.state = RequestState.JOINED
        world.duplicates.setdefault(execution.request, []).append(request.id)
