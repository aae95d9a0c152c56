"""A node's row: what it says of itself to the nodes of its cell."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from poplarrelay.entry.configuration import ConfigurationVersion, ServiceName
from poplarrelay.entry.metering import WindowNumber
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    Incarnation,
    NodeId,
    TeamId,
)

__all__ = ["NodeState", "PeerRow", "decode_row", "encode_row", "reporter_of"]


class NodeState(Enum):
    """Where a node stands in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(slots=True)
class PeerRow:
    """What a node says of itself.

    Attributes
    ----------
    incarnation : Incarnation
        Time of the process's start in ms and a random part; sorts by start.
    version : int
        Raised by the node itself with every round.
    host : str
        Its IP number; ports are the same on all nodes.
    usage : dict
        Requests that began, by window and team.
    spent : dict
        Quota that it has used since its start, by team.
    loads : dict
        Its requests at each endpoint.
    demand : dict
        Tokens a second that its callers ask of each service.
    """

    node: NodeId
    incarnation: Incarnation
    version: int
    host: str
    domain: DomainId
    state: NodeState
    configuration: ConfigurationVersion
    usage: dict[WindowNumber, dict[TeamId, int]] = field(default_factory=dict)
    spent: dict[TeamId, float] = field(default_factory=dict)
    loads: dict[EndpointId, int] = field(default_factory=dict)
    demand: dict[ServiceName, int] = field(default_factory=dict)

    def newer_than(self, other: PeerRow) -> bool:
        """Return whether this row replaces another of the same node."""
        return (self.incarnation, self.version) > (other.incarnation, other.version)


def encode_row(row: PeerRow) -> list[Any]:
    """Return a row as a list for JSON; lists spare the field names."""
    return [
        row.node,
        row.incarnation,
        row.version,
        row.host,
        row.domain,
        row.state.value,
        row.configuration,
        {str(window): counts for window, counts in row.usage.items()},
        {team: round(spent) for team, spent in row.spent.items()},
        row.loads,
        row.demand,
    ]


def decode_row(raw: list[Any]) -> PeerRow:
    """Return the row that a list holds; raises `ValueError` if it is none."""
    node, incarnation, version, host, domain, state, configuration, usage, *rest = raw
    spent, loads, demand = rest
    return PeerRow(
        node=NodeId(node),
        incarnation=Incarnation(incarnation),
        version=int(version),
        host=host,
        domain=DomainId(domain),
        state=NodeState(state),
        configuration=ConfigurationVersion(int(configuration)),
        usage={int(window): counts for window, counts in usage.items()},
        spent=spent,
        loads=loads,
        demand=demand,
    )


def reporter_of(row: PeerRow) -> str:
    """Return the name under which one process of a node reports its use."""
    return f"{row.node}/{row.incarnation}"
