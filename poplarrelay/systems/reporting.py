"""Answer operators' requests for the node's status and configuration history."""

from __future__ import annotations

from collections import Counter as CountOf
from collections.abc import Iterator
from dataclasses import dataclass

from poplarrelay.messages.effects import Effect, Reply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.questions import HistoryRequested, StatusRequested
from poplarrelay.tables.requests import RequestState
from poplarrelay.tables.world import CLAIMS, CONFIGURATION, World

__all__ = ["NodeStatus", "answer_status"]


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """State of a node, and of the other nodes and endpoints as it knows them.

    Attributes
    ----------
    configuration_next : int
        Offset after the newest folded configuration record.
    in_force : dict of str to int
        Offset in force for each template and deployment.
    members : dict of str to dict
        Status, failure domain and configuration offset of each other node.
    endpoints : dict of str to dict
        State, failure domain and number of this node's running attempts, by endpoint.
    requests : dict of str to int
        Requests by state.
    duties : dict of str to dict
        Holder and fencing token of each duty's lease.
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


def answer_status(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Reply to requests for the node's status or its configuration history."""
    for requested in inbox.of(StatusRequested):
        yield Reply(requested.call, _status(world))
    for history_request in inbox.of(HistoryRequested):
        yield Reply(history_request.call, tuple(world.configuration.history))


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
                "running": len(endpoint.running_attempts),
                "price": endpoint.price,
                "models": sorted(endpoint.loaded or endpoint.names),
            }
            for endpoint in world.endpoints.values()
        },
        requests=_by_state(world),
        keys=len(world.key_executions),
        duties={
            duty: {"holder": lease.node, "fencing": lease.offset}
            for duty, lease in world.leases.items()
        },
    )


def _by_state(world: World) -> dict[str, int]:
    counted = CountOf(request.state for request in world.requests.values())
    return {state.value: counted.get(state, 0) for state in RequestState}
