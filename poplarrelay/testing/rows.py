"""Builders of endpoint rows, peer rows, cell summaries and networks, for tests."""

from __future__ import annotations

from collections.abc import Sequence

from poplarrelay.entry.cells import Cell, CellMember, CellSummary
from poplarrelay.entry.configuration import ConfigurationVersion, ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    Incarnation,
    NodeId,
    StartTime,
)
from poplarrelay.testing.network import Network

__all__ = ["make_endpoint", "make_network", "make_row", "make_summary"]


def make_endpoint(name: str, started_ms: int | None = None) -> Endpoint:
    """Return the row of an endpoint that runs no requests."""
    return Endpoint(
        endpoint=EndpointId(name),
        service=ServiceName("desk"),
        address=("127.0.0.1", 1),
        domain=DomainId("d"),
        slots=8,
        started_ms=None if started_ms is None else StartTime(started_ms),
    )


def make_row(node: str, host: str = "", started: int = 1) -> PeerRow:
    """Return the row of a node that is ready and has no load or usage."""
    return PeerRow(
        node=NodeId(node),
        incarnation=Incarnation(f"{started:013d}-000001"),
        version=1,
        host=host or node,
        domain=DomainId("d"),
        state=NodeState.READY,
        configuration=ConfigurationVersion(1),
    )


def make_summary(
    cell: Cell, representative: str, version: int, hosts: Sequence[str]
) -> CellSummary:
    """Return a representative's summary of ready nodes without load or usage."""
    ready, configuration = NodeState.READY, ConfigurationVersion(1)
    return CellSummary(
        cell=cell,
        representative=NodeId(representative),
        incarnation=Incarnation(f"0000000000001-{representative}"),
        version=version,
        epoch=0,
        started_ms=1,
        members=tuple(CellMember(NodeId(h), h, ready, configuration) for h in hosts),
        usage={},
        used={},
        loads={},
        demand={},
    )


def make_network(
    count: int, loss: float = 0.0, warm_up_s: float = 0.0, seed: int = 1
) -> Network:
    """Return a network that starts with three known seeds and runs for some seconds."""
    network = Network.create(count, loss, seed)
    for _ in network.run(warm_up_s):
        pass
    return network
