"""Cells: parts of the nodes that tell each other all, and the others a summary.

Notes
-----
A node tells its whole row to the nodes of its own cell alone. One node of each cell
speaks for it: it adds up the rows and tells all others the sums and who is alive. A
node so takes in the rows of its cell and one summary for each other cell: with 410
nodes 42 pieces of news a round instead of 410. One cell holds all nodes of a small
site, and nothing is summed up there.
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
    "CellSummary",
    "Member",
    "cell_bits",
    "cell_of",
    "start_of",
    "summarise",
    "version_of",
]

#: Nodes of a cell on average, at the most. News of up to about 40 rows and summaries
#: together reaches all within a second with three datagrams a round; with 26 that
#: holds up to 410 nodes, and a site of two dozen has one cell.
MOST_IN_CELL = 26
#: Part of that at which cells are joined again. Nodes that come and go around the
#: bound must not regroup all others each time.
JOIN_SHARE = 0.6
#: Bits of a node's hash that may tell cells apart: 4,096 cells.
MOST_BITS = 12


class Cell(NamedTuple):
    """One of the parts into which all nodes are divided.

    Attributes
    ----------
    bits : int
        Bits of the nodes' hashes that tell the parts apart.
    number : int
        Their value in this cell.
    """

    bits: int
    number: int


@lru_cache(maxsize=4096)
def cell_of(node: NodeId, bits: int) -> Cell:
    """Return the cell of a node; all nodes find the same one without asking.

    Examples
    --------
    >>> cell_of(NodeId("node-1"), 0)
    Cell(bits=0, number=0)
    """
    digest = hashlib.blake2b(node.encode(), digest_size=4).digest()
    return Cell(bits, int.from_bytes(digest, "big") >> (32 - bits))


def cell_bits(nodes: int, before: int) -> int:
    """Return how many bits of their hashes divide the nodes into cells.

    Parameters
    ----------
    nodes : int
        How many nodes there are.
    before : int
        Bits that have divided them up to now.

    Examples
    --------
    >>> [cell_bits(nodes, 0) for nodes in (9, 26, 27, 61, 195, 410)]
    [0, 0, 1, 2, 3, 4]
    >>> cell_bits(25, 1), cell_bits(15, 1)
    (1, 0)
    """
    bits = before
    while nodes > MOST_IN_CELL << bits and bits < MOST_BITS:
        bits += 1
    while bits > 0 and nodes < JOIN_SHARE * (MOST_IN_CELL << (bits - 1)):
        bits -= 1
    return bits


@dataclass(frozen=True, slots=True)
class Member:
    """A node of another cell, as its speaker tells of it."""

    node: NodeId
    host: str
    state: NodeState
    configuration: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class CellSummary:
    """What the speaker of a cell tells the nodes of the others.

    Attributes
    ----------
    representative : NodeId
        Who has added it up.
    incarnation : Incarnation
        The speaker's process.
    version : int
        Raised with each summary of that process.
    epoch : int
        Raised when rows were left out that had been in the sums.
    started_ms : int
        Time of day at which the earliest process of the cell started.
    members : tuple of Member
        Nodes of the cell that are alive or have left in order.
    usage, spent, loads, demand : dict
        Sums over the rows of the cell; see `PeerRow`.
    """

    cell: Cell
    representative: NodeId
    incarnation: Incarnation
    version: int
    epoch: int
    started_ms: int
    members: tuple[Member, ...]
    usage: dict[WindowNumber, dict[TeamId, int]]
    spent: dict[TeamId, float]
    loads: dict[EndpointId, int]
    demand: dict[ServiceName, int]

    @property
    def run(self) -> str:
        """Return a name under which its sums never fall but for refunds."""
        return f"{self.incarnation}/{self.epoch}"

    @property
    def alive(self) -> int:
        """Return how many nodes of the cell are alive."""
        return sum(each.state is not NodeState.STOPPED for each in self.members)

    def encode(self) -> list[Any]:
        """Return a form for JSON; lists spare the field names."""
        return [
            *self.cell,
            self.representative,
            self.incarnation,
            self.version,
            self.epoch,
            self.started_ms,
            [[m.node, m.host, m.state.value, m.configuration] for m in self.members],
            {str(window): counts for window, counts in self.usage.items()},
            {team: round(spent) for team, spent in self.spent.items()},
            self.loads,
            self.demand,
        ]

    @classmethod
    def decode(cls, raw: list[Any]) -> CellSummary:
        """Return the summary that a form for JSON holds; raises `ValueError`."""
        bits, number, representative, incarnation, version, epoch, started_ms, *rest = (
            raw
        )
        members, usage, spent, loads, demand = rest
        return cls(
            cell=Cell(int(bits), int(number)),
            representative=NodeId(str(representative)),
            incarnation=Incarnation(str(incarnation)),
            version=int(version),
            epoch=int(epoch),
            started_ms=int(started_ms),
            members=tuple(_decode_member(member) for member in members),
            usage={int(window): counts for window, counts in usage.items()},
            spent=spent,
            loads=loads,
            demand=demand,
        )


def version_of(raw: list[Any]) -> tuple[str, int]:
    """Return a summary's incarnation and version from its form for JSON."""
    return str(raw[3]), int(raw[4])


def _decode_member(raw: list[Any]) -> Member:
    node, host, state, configuration = raw
    version = ConfigurationVersion(int(configuration))
    return Member(NodeId(str(node)), str(host), NodeState(state), version)


def summarise(
    cell: Cell,
    me: PeerRow,
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
    me : PeerRow
        The speaker's row; one of `listed` and of `counted`.
    listed : iterable of PeerRow
        Rows of nodes that are alive or have left in order.
    counted : iterable of PeerRow
        Rows of all processes whose use still counts, dead ones included.
    version, epoch : int
        See `CellSummary`.
    """
    usage: dict[WindowNumber, dict[TeamId, int]] = {}
    spent: dict[TeamId, float] = {}
    started_ms = start_of(me)
    for row in counted:
        started_ms = min(started_ms, start_of(row))
        _add(spent, row.spent)
        for window, counts in row.usage.items():
            _add(usage.setdefault(window, {}), counts)
    loads: dict[EndpointId, int] = {}
    demand: dict[ServiceName, int] = {}
    members = []
    for row in listed:
        members.append(Member(row.node, row.host, row.state, row.configuration))
        if row.state is not NodeState.STOPPED:
            _add(loads, row.loads)
            _add(demand, row.demand)
    return CellSummary(
        cell=cell,
        representative=me.node,
        incarnation=me.incarnation,
        version=version,
        epoch=epoch,
        started_ms=started_ms,
        members=tuple(members),
        usage=usage,
        spent=spent,
        loads=loads,
        demand=demand,
    )


def start_of(row: PeerRow) -> int:
    """Return the time of day in ms at which a row's process started."""
    return int(row.incarnation.partition("-")[0])


def _add(sums: dict[Any, Any], values: Mapping[Any, Any]) -> None:
    """Add numbers by key."""
    for key, value in values.items():
        sums[key] = sums.get(key, 0) + value
