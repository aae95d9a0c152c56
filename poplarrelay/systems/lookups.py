"""Answer callers' lookups of deferred requests, on any node.

Notes
-----
A later lookup must not contradict an earlier one. An outcome at one node therefore
takes precedence over "running" from a copy at another node. "No such request" is final,
and is returned only if every node that may have the request has replied that it does
not have it.
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
from poplarrelay.messages.questions import LookupRequested
from poplarrelay.outcomes import Outcome
from poplarrelay.systems.admitting import team_of
from poplarrelay.systems.key_ownership import owner_of
from poplarrelay.systems.request_copies import published_outcome, rank_peers
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request
from poplarrelay.tables.world import World

__all__ = [
    "LookupAtPeers",
    "LookupResult",
    "SearchResult",
    "answer_lookups",
    "combine_search",
]

#: Number of parts of a request id, separated by dots; see `Gateway.new_request_id`.
REQUEST_ID_PARTS = 4
#: Most peers that are queried for a request, besides its owner.
MAX_QUERIED_PEERS = 16
_REACHABLE = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)


@dataclass(frozen=True, slots=True)
class LookupResult:
    """State of a deferred request at one node.

    Attributes
    ----------
    outcome : Outcome or None
        None while the request is running.
    copy : bool
        Whether the node has only a copy of the request, or an outcome that no peer has
        confirmed. Another node may already have returned an outcome.
    """

    outcome: Outcome | None
    copy: bool = False


@dataclass(frozen=True, slots=True)
class LookupAtPeers:
    """The other nodes that have the request, or may have it.

    Attributes
    ----------
    peers : tuple of str
        Addresses of the nodes to query, the most likely one first.
    team : TeamId
        Team of the caller.
    owner : str or None
        Address of the request's owner, None if this node has no row of it.
    copy : bool
        Whether this node has the request, but no outcome that it can return.
    complete : bool
        Whether `peers` contains all nodes that may have the request.
    """

    peers: tuple[str, ...]
    team: TeamId
    owner: str | None = None
    copy: bool = False
    complete: bool = True


class SearchResult(Enum):
    """Result of a search in which no node has returned an outcome.

    RUNNING
        The request is accepted, and no caller can have received an outcome yet.
    UNKNOWN
        A node that may have the outcome has not answered.
    ABSENT
        There is no such request.
    """

    RUNNING = "running"
    UNKNOWN = "not_known"
    ABSENT = "absent"


def combine_search(
    found: LookupAtPeers, copies: bool, unanswered: Iterable[str]
) -> SearchResult:
    """Return the result of a search in which no node has returned an outcome.

    Parameters
    ----------
    found : LookupAtPeers
        Result of the lookup at the node that searches.
    copies : bool
        Whether any queried node has a copy.
    unanswered : iterable of str
        Peers that have not answered.

    Notes
    -----
    An owner returns no outcome before the newest copy contains it. The result of the
    copies is therefore reliable if only the owner has not answered.
    """
    unanswered = set(unanswered)
    if (copies or found.copy) and found.complete and unanswered <= {found.owner}:
        return SearchResult.RUNNING
    if copies or found.copy or unanswered or not found.complete:
        return SearchResult.UNKNOWN
    return SearchResult.ABSENT


def answer_lookups(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Answer callers' lookups of deferred requests."""
    for lookup in inbox.of(LookupRequested):
        yield Reply(lookup.call, _look_up(world, lookup))


def _look_up(
    world: World, lookup: LookupRequested
) -> LookupResult | LookupAtPeers | RequestNotFound | AuthenticationFailed:
    """Return the state of a request; a request of another team counts as absent."""
    try:
        team = lookup.team or team_of(world, lookup.token_sha256)
    except AuthenticationFailed as error:
        return error
    request = world.requests.get(lookup.id)
    if request is not None and request.team == team and request.deferred:
        return _look_up_local(world, request, forwarded=lookup.forwarded)
    stored = _stored_request(world, lookup.id)
    same_team = stored is not None and stored.team == team
    if stored is not None and same_team and stored.outcome is not None:
        return LookupResult(decode_outcome(stored.outcome))
    if lookup.forwarded and same_team:
        return LookupResult(None, copy=True)
    if request is None and not lookup.forwarded:
        at_peers = _nodes_to_query(world, lookup.id, team, same_team)
        if at_peers is not None:
            return at_peers
    return RequestNotFound("the team has no such request")


def _look_up_local(
    world: World, request: Request, forwarded: bool
) -> LookupResult | LookupAtPeers:
    """Return the state of a deferred request that this node owns.

    Notes
    -----
    A peer that receives a copy of the outcome returns it to callers, even if its
    confirmation is lost. Until such a copy is confirmed, "running" from this node is
    therefore no more reliable than from a copy, and those peers have to be queried.
    """
    outcome = published_outcome(world, request)
    unconfirmed = outcome is None and request.outcome is not None
    holders = _possible_holders(world, request.id) if unconfirmed else ()
    if forwarded or not holders:
        return LookupResult(outcome, copy=unconfirmed)
    return LookupAtPeers(holders, request.team, copy=True)


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


def _stored_request(world: World, request: RequestId) -> RequestMessage | None:
    """Return the copy of a peer's request, or a request that is being handed over."""
    held = world.held_copies.get(request)
    if held is not None:
        return held.request
    if world.handover is None:
        return None
    handed = world.handover.message.requests
    return next((stored for stored in handed if stored.id == request), None)


def _nodes_to_query(
    world: World, request: RequestId, team: TeamId, copy: bool
) -> LookupAtPeers | None:
    """Return the nodes to query: the request's owner and the peers that may hold it."""
    parts = request.split(".")
    if len(parts) != REQUEST_ID_PARTS:
        return None
    owner = _owner(world, NodeId(parts[1]), Incarnation(parts[2]))
    others = [
        member
        for member in world.members.values()
        if member is not owner and member.status is not MemberStatus.LEFT
    ]
    likely = rank_peers(request, others)[:MAX_QUERIED_PEERS]
    reachable = [member for member in likely if member.status in _REACHABLE]
    first = [] if owner is None else [owner]
    peers = tuple(dict.fromkeys(member.peers for member in (*first, *reachable)))
    if not peers and not _expects_peers(world):
        return None
    return LookupAtPeers(
        peers,
        team,
        owner=None if owner is None else owner.peers,
        copy=copy,
        complete=bool(peers) and len(reachable) == len(likely),
    )


def _expects_peers(world: World) -> bool:
    """Return whether the settings name a seed other than this node."""
    return any(seed != world.me.peers for seed in world.settings.seeds)


def _owner(world: World, node: NodeId, incarnation: Incarnation) -> Member | None:
    if incarnation == world.incarnation and world.handover is not None:
        return world.members.get(world.handover.successor)
    return owner_of(world, node, incarnation)
