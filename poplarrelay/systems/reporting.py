"""Answer questions about requests and about the node itself."""

from __future__ import annotations

from collections import Counter as CountOf
from collections.abc import Iterator
from dataclasses import dataclass

from poplarrelay.exception import AuthenticationFailed, RequestNotFound
from poplarrelay.identifiers import Incarnation, NodeId, RequestId, TeamId
from poplarrelay.messages.convert import load_outcome
from poplarrelay.messages.effects import Effect, Reply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.questions import HistoryAsked, RequestLookedUp, StatusAsked
from poplarrelay.outcomes import Outcome
from poplarrelay.systems.admitting import team_of
from poplarrelay.systems.homes import home_of
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import RequestState
from poplarrelay.tables.world import CLAIMS, CONFIGURATION, World

__all__ = [
    "LookupElsewhere",
    "LookupResult",
    "NodeStatus",
    "answer_lookups",
    "answer_status",
]


#: Parts of a request id, with dots between them; see `Gateway.new_request_id`.
REQUEST_ID_PARTS = 4
#: Most peers that are asked for a request whose home does not answer.
MAX_PEERS_ASKED = 16


@dataclass(frozen=True, slots=True)
class LookupResult:
    """Where a deferred request stands; `outcome` is None while it runs."""

    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class LookupElsewhere:
    """Another node has the request.

    Attributes
    ----------
    peers : tuple of str
        Nodes to ask, the most likely one first.
    """

    peers: tuple[str, ...]
    team: TeamId


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """A node's view of itself and of the others.

    Attributes
    ----------
    configuration_next : int
        Offset after the newest configuration record folded.
    in_force : dict of str to int
        Offset in force for each template and deployment.
    members : dict of str to dict
        Status, failure domain and configuration offset of each other node.
    endpoints : dict of str to dict
        State, failure domain and running attempts of this node.
    requests : dict of str to int
        Requests by state.
    duties : dict of str to dict
        Holder and fencing number of each duty's lease.
    """

    node: str
    incarnation: str
    failure_domain: str
    phase: str
    ready: bool
    log_available: bool
    claims_next: int
    configuration_next: int
    in_force: dict[str, int]
    members: dict[str, dict[str, object]]
    endpoints: dict[str, dict[str, object]]
    requests: dict[str, int]
    keys: int
    duties: dict[str, dict[str, object]]


def answer_lookups(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Answer callers who come for a deferred request."""
    for asked in inbox.of(RequestLookedUp):
        yield Reply(asked.call, _look_up(world, asked))


def _look_up(
    world: World, asked: RequestLookedUp
) -> LookupResult | LookupElsewhere | RequestNotFound | AuthenticationFailed:
    """Return a request's state; for another team's id, as if it did not exist."""
    try:
        team = asked.team or team_of(world, asked.token_sha256)
    except AuthenticationFailed as error:
        return error
    request = world.requests.get(asked.id)
    if request is not None and request.team == team and request.deferred:
        return LookupResult(request.outcome)
    held = world.held_copies.get(asked.id)
    if held is not None and held.request.team == team:
        outcome = held.request.outcome
        return LookupResult(None if outcome is None else load_outcome(outcome))
    if request is None and not asked.forwarded:
        peers = _peers_to_ask(world, asked.id)
        if peers:
            return LookupElsewhere(peers, team)
    return RequestNotFound("the team has no such request")


def _peers_to_ask(world: World, request: RequestId) -> tuple[str, ...]:
    """Return the request's home, and the peers that may hold its copy."""
    parts = request.split(".")
    if len(parts) != REQUEST_ID_PARTS:
        return ()
    home = _home(world, NodeId(parts[1]), Incarnation(parts[2]))
    first = [] if home is None else [home.peers]
    others = [
        member.peers
        for member in world.members.values()
        if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)
    ]
    return tuple(dict.fromkeys([*first, *others[:MAX_PEERS_ASKED]]))


def _home(world: World, node: NodeId, incarnation: Incarnation) -> Member | None:
    if incarnation == world.incarnation and world.handover is not None:
        return world.members.get(world.handover.successor)
    return home_of(world, node, incarnation)


def answer_status(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Answer operators who ask for the node's view."""
    for asked in inbox.of(StatusAsked):
        yield Reply(asked.call, _status(world))
    for wanted in inbox.of(HistoryAsked):
        yield Reply(wanted.call, tuple(world.configuration.history))


def _status(world: World) -> NodeStatus:
    return NodeStatus(
        node=world.node,
        incarnation=world.incarnation,
        failure_domain=world.me.domain,
        phase=world.phase.value,
        ready=world.me.ready,
        log_available=world.streams[CONFIGURATION].available,
        claims_next=world.streams[CLAIMS].next,
        configuration_next=world.streams[CONFIGURATION].next,
        in_force={
            subject: entry.offset
            for subject, entry in world.configuration.entries.items()
            if entry.value is not None
        },
        members={
            member.node: {
                "status": member.status.value,
                "ready": member.ready,
                "failure_domain": member.domain,
                "configuration_next": member.configuration_next,
                "peers": member.peers,
            }
            for member in world.members.values()
        },
        endpoints={
            endpoint.id: {
                "state": endpoint.state.value,
                "failure_domain": endpoint.domain,
                "running": len(endpoint.sent),
                "price": endpoint.price,
                "models": sorted(endpoint.loaded or endpoint.names),
            }
            for endpoint in world.endpoints.values()
        },
        requests=_by_state(world),
        keys=len(world.uses),
        duties={
            duty: {"holder": lease.node, "fencing": lease.offset}
            for duty, lease in world.leases.items()
        },
    )


def _by_state(world: World) -> dict[str, int]:
    counted = CountOf(request.state for request in world.requests.values())
    return {state.value: counted.get(state, 0) for state in RequestState}
