"""Cells: groups of nodes that exchange full rows and send summaries to other cells.

Notes
-----
A node sends its row only to the nodes of its own cell. One node of each cell is its
representative. The representative adds up the rows of the cell and sends the sums and
the list of live nodes to all other cells. Each node therefore receives the rows of
its own cell and one summary for each other cell. With 410 nodes this makes 42 updates
a round instead of 410. On a small site one cell holds all nodes, and no summaries are
needed.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, NamedTuple

from poplarrelay.entry.configuration import ConfigurationVersion, ServiceName
from poplarrelay.entry.metering import WindowNumber
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.identifiers import EndpointId, Incarnation, NodeId, TeamId

__all__ = [
    "Cell",
    "CellMember",
    "CellSummary",
    "cell_bits",
    "cell_of",
    "encoded_version",
    "process_start_ms",
    "summarise",
]

#: Largest average number of nodes in a cell. With three datagrams a round, up to about
#: 40 rows and summaries reach all nodes within a second. A value of 26 stays within
#: this limit with up to 410 nodes, and two dozen nodes form one cell.
MAX_AVERAGE_CELL_SIZE = 26
#: Share of that size below which cells are merged. The gap between both bounds keeps
#: nodes that start and stop near a bound from regrouping all nodes each time.
MERGE_SHARE = 0.6
#: Maximum number of bits of a node's hash that select its cell: 4,096 cells.
MAX_CELL_BITS = 12


class Cell(NamedTuple):
    """A group of nodes whose hashes start with the same bits.

    Attributes
    ----------
    bits : int
        Number of leading bits of the hash that select the cell.
    number : int
        Value of these bits for all nodes of this cell.
    """

    bits: int
    number: int


@lru_cache(maxsize=4096)
def cell_of(node: NodeId, bits: int) -> Cell:
    """Return the cell of a node, computed from the node's id alone.

    Examples
    --------
    >>> cell_of(NodeId("node-1"), 0)
    Cell(bits=0, number=0)
    """
    digest = hashlib.blake2b(node.encode(), digest_size=4).digest()
    return Cell(bits, int.from_bytes(digest, "big") >> (32 - bits))


def cell_bits(nodes: int, before: int) -> int:
    """Return the number of hash bits that divide the nodes into cells.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    before : int
        Number of bits in use so far.

    Examples
    --------
    >>> [cell_bits(nodes, 0) for nodes in (9, 26, 27, 61, 195, 410)]
    [0, 0, 1, 2, 3, 4]
    >>> cell_bits(25, 1), cell_bits(15, 1)
    (1, 0)
    """
    bits = before
    while nodes > MAX_AVERAGE_CELL_SIZE << bits and bits < MAX_CELL_BITS:
        bits += 1
    while bits > 0 and nodes < MERGE_SHARE * (MAX_AVERAGE_CELL_SIZE << (bits - 1)):
        bits -= 1
    return bits


@dataclass(frozen=True, slots=True)
class CellMember:
    """A node of another cell, as reported by the representative of that cell."""

    node: NodeId
    host: str
    state: NodeState
    configuration: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class CellSummary:
    """Sums over the rows of one cell, sent by its representative to other cells.

    Attributes
    ----------
    representative : NodeId
        Node that computed the sums.
    incarnation : Incarnation
        Incarnation of the representative's process.
    version : int
        Raised with each summary of that process.
    epoch : int
        Raised when rows that were part of earlier sums are left out.
    started_ms : int
        Time of day in ms at which the earliest process of the cell started.
    members : tuple of CellMember
        Nodes of the cell that are alive or have left after a clean stop.
    usage, used, loads, demand : dict
        Sums over the rows of the cell; see `PeerRow`.
    """

    cell: Cell
    representative: NodeId
    incarnation: Incarnation
    version: int
    epoch: int
    started_ms: int
    members: tuple[CellMember, ...]
    usage: dict[WindowNumber, dict[TeamId, int]]
    used: dict[TeamId, float]
    loads: dict[EndpointId, int]
    demand: dict[ServiceName, int]

    @property
    def run(self) -> str:
        """Return an id; between summaries with one id, sums fall only by refunds."""
        return f"{self.incarnation}/{self.epoch}"

    @property
    def alive(self) -> int:
        """Return the number of live nodes of the cell."""
        return sum(each.state is not NodeState.STOPPED for each in self.members)

    def encode(self) -> list[Any]:
        """Return the summary as a list for JSON; a list omits the field names."""
        return [
            *self.cell,
            self.representative,
            self.incarnation,
            self.version,
            self.epoch,
            self.started_ms,
            [[m.node, m.host, m.state.value, m.configuration] for m in self.members],
            {str(window): counts for window, counts in self.usage.items()},
            {team: round(used) for team, used in self.used.items()},
            self.loads,
            self.demand,
        ]

    @classmethod
    def decode(cls, raw: list[Any]) -> CellSummary:
        """Return the summary from its JSON list; raise `ValueError` if invalid."""
        bits, number, representative, incarnation, version, epoch, started_ms, *rest = (
            raw
        )
        members, usage, used, loads, demand = rest
        return cls(
            cell=Cell(int(bits), int(number)),
            representative=NodeId(str(representative)),
            incarnation=Incarnation(str(incarnation)),
            version=int(version),
            epoch=int(epoch),
            started_ms=int(started_ms),
            members=tuple(_decode_member(member) for member in members),
            usage={int(window): counts for window, counts in usage.items()},
            used=used,
            loads=loads,
            demand=demand,
        )


def encoded_version(raw: list[Any]) -> tuple[str, int]:
    """Return a summary's incarnation and version from its JSON list."""
    return str(raw[3]), int(raw[4])


def _decode_member(raw: list[Any]) -> CellMember:
    node, host, state, configuration = raw
    version = ConfigurationVersion(int(configuration))
    return CellMember(NodeId(str(node)), str(host), NodeState(state), version)


def summarise(
    cell: Cell,
    representative: PeerRow,
    listed: Iterable[PeerRow],
    counted: Iterable[PeerRow],
    version: int,
    epoch: int,
) -> CellSummary:
    """Return the summary of a cell.

    Parameters
    ----------
    cell : Cell
        The cell.
    representative : PeerRow
        Row of the representative; also in `listed` and `counted`.
    listed : iterable of PeerRow
        Rows of nodes that are alive or have left after a clean stop.
    counted : iterable of PeerRow
        Rows of all processes whose usage still counts, including dead ones.
    version, epoch : int
        See `CellSummary`.
    """
    usage: dict[WindowNumber, dict[TeamId, int]] = {}
    used: dict[TeamId, float] = {}
    started_ms = process_start_ms(representative)
    for row in counted:
        started_ms = min(started_ms, process_start_ms(row))
        _add_values(used, row.used)
        for window, counts in row.usage.items():
            _add_values(usage.setdefault(window, {}), counts)
    loads: dict[EndpointId, int] = {}
    demand: dict[ServiceName, int] = {}
    members = []
    for row in listed:
        members.append(CellMember(row.node, row.host, row.state, row.configuration))
        if row.state is not NodeState.STOPPED:
            _add_values(loads, row.loads)
            _add_values(demand, row.demand)
    return CellSummary(
        cell=cell,
        representative=representative.node,
        incarnation=representative.incarnation,
        version=version,
        epoch=epoch,
        started_ms=started_ms,
        members=tuple(members),
        usage=usage,
        used=used,
        loads=loads,
        demand=demand,
    )


def process_start_ms(row: PeerRow) -> int:
    """Return the time of day in ms at which the process of a row started."""
    return int(row.incarnation.partition("-")[0])


def _add_values(sums: dict[Any, Any], values: Mapping[Any, Any]) -> None:
    """Add the values to the sums of the same keys, in place."""
    for key, value in values.items():
        sums[key] = sums.get(key, 0) + value
