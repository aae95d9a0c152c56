"""Decide which node can run a request that has just arrived, by its key."""

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

#: Seconds after which a caller can retry at another node.
OTHER_NODE_RETRY_S = 0.2


def resolve_key(
    world: World, request: Request, forwarded: bool, now: float
) -> Iterator[Effect]:
    """Decide which node can run a request, and end or forward it accordingly.

    Parameters
    ----------
    world : World
        The tables.
    request : Request
        A request of `world`. Its state stays RECEIVED if it can run
        immediately.
    forwarded : bool
        Whether a peer forwarded the request; it must not be forwarded twice.
    now : float
        Monotonic time.

    Raises
    ------
    MalformedKey
        If the key is neither a caller key nor a ticket.
    KeyReused
        If the key was used before for other work.
    """
    if request.key is None:
        return
    parsed = read_key(request.key)
    if not _has_execution(world, request):
        if now >= world.reject_from:
            reasons = NotRunReason.NODE_LEAVING, UnknownReason.NODE_LEAVING
            yield from _end_unresolved(world, request, parsed, reasons, now)
            return
        if answer_store_full(world):
            reasons = NotRunReason.QUEUE_FULL, UnknownReason.QUEUE_FULL
            yield from _end_unresolved(world, request, parsed, reasons, now)
            return
    execution = world.key_executions.get(TeamKey(request.team, request.key))
    if execution is not None and execution.state is not KeyState.RELEASED:
        yield from _resolve_repeated(world, request, execution, now)
    elif isinstance(parsed, Ticket):
        yield from resolve_ticket(world, request, parsed, forwarded, now)
    else:
        yield from resolve_caller_key(world, request, parsed, now)


def _has_execution(world: World, request: Request) -> bool:
    key = world.team_key(request)
    return key is not None and key in world.key_executions


def _end_unresolved(
    world: World,
    request: Request,
    parsed: CallerKey | Ticket,
    reasons: tuple[NotRunReason, UnknownReason],
    now: float,
) -> Iterator[Effect]:
    """End a request whose key this node does not resolve.

    The outcome is "not run" for a ticket of this process, as long as the process has
    not handed over the right to run its tickets. Any other key may have run.
    """
    own = isinstance(parsed, Ticket) and parsed.incarnation == world.incarnation
    if own and world.handover is None:
        outcome = NotRun(reasons[0], OTHER_NODE_RETRY_S)
        yield from conclude(world, request, outcome, now)
    else:
        unknown = Unknown(reasons[1], OTHER_NODE_RETRY_S)
        yield from conclude(world, request, unknown, now)


def _resolve_repeated(
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
