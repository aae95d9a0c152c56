"""Tell callers what became of a deferred request, wherever it is kept.

Notes
-----
What a caller was told once must not be taken back: the word "running" from a copy is
worth less than an outcome elsewhere, and "no such request" is final, so it takes the
word of every node that may have the request.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from poplarrelay.exception import AuthenticationFailed, RequestNotFound
from poplarrelay.identifiers import Incarnation, NodeId, RequestId, TeamId
from poplarrelay.messages.effects import Effect, Reply
from poplarrelay.messages.encoding import decode_outcome
from poplarrelay.messages.gossip import RequestMessage
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.questions import LookupAsked
from poplarrelay.outcomes import Outcome
from poplarrelay.systems.admitting import team_of
from poplarrelay.systems.key_ownership import owner_of
from poplarrelay.systems.request_copies import published_outcome, rank_peers
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request
from poplarrelay.tables.world import World

__all__ = [
    "LookupElsewhere",
    "LookupResult",
    "SearchResult",
    "answer_lookups",
    "combine_search",
]

#: Parts of a request id, with dots between them; see `Gateway.new_request_id`.
REQUEST_ID_PARTS = 4
#: Most peers that are asked for a request whose home does not answer.
MAX_PEERS_ASKED = 16
_ASKED = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)


@dataclass(frozen=True, slots=True)
class LookupResult:
    """Where a deferred request stands.

    Attributes
    ----------
    outcome : Outcome or None
        None while it runs.
    copy : bool
        Known from a copy only, or with an unconfirmed outcome; another node may have
        told the outcome.
    """

    outcome: Outcome | None
    copy: bool = False


@dataclass(frozen=True, slots=True)
class LookupElsewhere:
    """Another node has the request, or may have it.

    Attributes
    ----------
    peers : tuple of str
        Nodes to ask, the most likely one first.
    home : str or None
        The one of them that runs the request, as far as this node knows.
    copy : bool
        Whether this node has the request, without an outcome that it may tell.
    complete : bool
        Whether these are all the nodes that may have the request.
    """

    peers: tuple[str, ...]
    team: TeamId
    home: str | None = None
    copy: bool = False
    complete: bool = True


class SearchResult(Enum):
    """What is known when no node has told of an outcome.

    RUNNING
        The request is accepted and has no outcome that a caller may have been told.
    UNKNOWN
        A node that may know more has not answered.
    ABSENT
        There is no such request.
    """

    RUNNING = "running"
    UNKNOWN = "not_known"
    ABSENT = "absent"


def combine_search(
    found: LookupElsewhere, copies: bool, silent: Iterable[str]
) -> SearchResult:
    """Return what a search without an outcome comes to.

    Parameters
    ----------
    found : LookupElsewhere
        What the node itself knew.
    copies : bool
        Whether any node holds a copy.
    silent : iterable of str
        Peers that have not answered.

    Notes
    -----
    A home tells no outcome before the newest copy has it, so its silence alone does
    not put the word of the copies in doubt.
    """
    silent = set(silent)
    if (copies or found.copy) and found.complete and silent <= {found.home}:
        return SearchResult.RUNNING
    if copies or found.copy or silent or not found.complete:
        return SearchResult.UNKNOWN
    return SearchResult.ABSENT


def answer_lookups(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Answer callers who come for a deferred request."""
    for asked in inbox.of(LookupAsked):
        yield Reply(asked.call, _look_up(world, asked))


def _look_up(
    world: World, asked: LookupAsked
) -> LookupResult | LookupElsewhere | RequestNotFound | AuthenticationFailed:
    """Return a request's state; for another team's id, as if it did not exist."""
    try:
        team = asked.team or team_of(world, asked.token_sha256)
    except AuthenticationFailed as error:
        return error
    request = world.requests.get(asked.id)
    if request is not None and request.team == team and request.deferred:
        return _look_up_local(world, request, forwarded=asked.forwarded)
    stored = _stored(world, asked.id)
    mine = stored is not None and stored.team == team
    if stored is not None and mine and stored.outcome is not None:
        return LookupResult(decode_outcome(stored.outcome))
    if asked.forwarded and mine:
        return LookupResult(None, copy=True)
    if request is None and not asked.forwarded:
        elsewhere = _elsewhere(world, asked.id, team, mine)
        if elsewhere is not None:
            return elsewhere
    return RequestNotFound("the team has no such request")


def _look_up_local(
    world: World, request: Request, forwarded: bool
) -> LookupResult | LookupElsewhere:
    """Return the state of a deferred request whose home is this node.

    Notes
    -----
    A peer that receives a copy of the outcome returns it to callers, even if its
    confirmation is lost. Until such a copy is confirmed, "running" from this node is
    therefore no more reliable than from a copy, and those peers have to be asked.
    """
    outcome = published_outcome(world, request)
    unconfirmed = outcome is None and request.outcome is not None
    holders = _possible_holders(world, request.id) if unconfirmed else ()
    if forwarded or not holders:
        return LookupResult(outcome, copy=unconfirmed)
    return LookupElsewhere(holders, request.team, copy=True)


def _possible_holders(world: World, request: RequestId) -> tuple[str, ...]:
    """Return the peers that may hold the newest copy of a request."""
    copy = world.sent_copies.get(request)
    if copy is None:
        return ()
    nodes = [copy.holder, *sorted(copy.failed)]
    return tuple(
        world.members[node].peers
        for node in nodes
        if node is not None and node in world.members
    )


def _stored(world: World, request: RequestId) -> RequestMessage | None:
    """Return a peer's request that is held here, or one that is being handed over."""
    held = world.held_copies.get(request)
    if held is not None:
        return held.request
    if world.handover is None:
        return None
    handed = world.handover.message.requests
    return next((stored for stored in handed if stored.id == request), None)


def _elsewhere(
    world: World, request: RequestId, team: TeamId, copy: bool
) -> LookupElsewhere | None:
    """Return whom to ask: the request's home, and the peers that may hold its copy."""
    parts = request.split(".")
    if len(parts) != REQUEST_ID_PARTS:
        return None
    home = _home(world, NodeId(parts[1]), Incarnation(parts[2]))
    others = [
        member
        for member in world.members.values()
        if member is not home and member.status is not MemberStatus.LEFT
    ]
    likely = rank_peers(request, others)[:MAX_PEERS_ASKED]
    reachable = [member for member in likely if member.status in _ASKED]
    first = [] if home is None else [home]
    peers = tuple(dict.fromkeys(member.peers for member in (*first, *reachable)))
    if not peers and not _awaits_peers(world):
        return None
    return LookupElsewhere(
        peers,
        team,
        home=None if home is None else home.peers,
        copy=copy,
        complete=bool(peers) and len(reachable) == len(likely),
    )


def _awaits_peers(world: World) -> bool:
    """Return whether there are other nodes, none of which has been heard yet."""
    return any(seed != world.me.peers for seed in world.settings.seeds)


def _home(world: World, node: NodeId, incarnation: Incarnation) -> Member | None:
    if incarnation == world.incarnation and world.handover is not None:
        return world.members.get(world.handover.successor)
    return owner_of(world, node, incarnation)
