"""Row of a node: the state that it sends to the nodes of its cell."""

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
    """Phase of a node's lifetime."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(slots=True)
class PeerRow:
    """State of a node, as the node itself reports it.

    Attributes
    ----------
    incarnation : Incarnation
        Start time of the process in ms, followed by a random part; sorts by start.
    version : int
        Number that the node increases in every round.
    host : str
        IP address of the node; ports are the same on all nodes.
    usage : dict
        Number of requests that began, by window and team.
    used : dict
        Quota that the node has used since its start, by team.
    loads : dict
        Number of the node's requests at each endpoint.
    demand : dict
        Tokens per second that the node's callers request from each service.
    """

    node: NodeId
    incarnation: Incarnation
    version: int
    host: str
    domain: DomainId
    state: NodeState
    configuration: ConfigurationVersion
    usage: dict[WindowNumber, dict[TeamId, int]] = field(default_factory=dict)
    used: dict[TeamId, float] = field(default_factory=dict)
    loads: dict[EndpointId, int] = field(default_factory=dict)
    demand: dict[ServiceName, int] = field(default_factory=dict)

    def newer_than(self, other: PeerRow) -> bool:
        """Return whether this row is newer than another row of the same node."""
        return (self.incarnation, self.version) > (other.incarnation, other.version)


def encode_row(row: PeerRow) -> list[Any]:
    """Return a row as a list for JSON; a list needs no field names."""
    return [
        row.node,
        row.incarnation,
        row.version,
        row.host,
        row.domain,
        row.state.value,
        row.configuration,
        {str(window): counts for window, counts in row.usage.items()},
        {team: round(used) for team, used in row.used.items()},
        row.loads,
        row.demand,
    ]


def decode_row(raw: list[Any]) -> PeerRow:
    """Return the row that a list encodes; raise `ValueError` if it encodes none."""
    node, incarnation, version, host, domain, state, configuration, usage, *rest = raw
    used, loads, demand = rest
    return PeerRow(
        node=NodeId(node),
        incarnation=Incarnation(incarnation),
        version=int(version),
        host=host,
        domain=DomainId(domain),
        state=NodeState(state),
        configuration=ConfigurationVersion(int(configuration)),
        usage={int(window): counts for window, counts in usage.items()},
        used=used,
        loads=loads,
        demand=demand,
    )


def reporter_of(row: PeerRow) -> str:
    """Return the name under which one process of a node reports its usage."""
    return f"{row.node}/{row.incarnation}"
