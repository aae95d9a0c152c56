"""Table of nodes: rows of nodes in this node's cell, summaries of other cells."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from poplarrelay.entry.cells import (
    Cell,
    CellMember,
    CellSummary,
    cell_bits,
    cell_of,
    process_start_ms,
    summarise,
)
from poplarrelay.entry.metering import WindowNumber
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.identifiers import Incarnation, NodeId, TeamId

__all__ = ["PeerTable", "SeenPeer", "SeenSummary", "choose_addresses"]

#: Seconds without a new row after which a node counts as dead. A row reaches all nodes
#: of a cell within three rounds of 0.4 s, and one lost round must not make a
#: node count as dead.
SILENCE_S = 1.5
#: Seconds without a new row after which a node is asked for its row, twice before it
#: counts as dead. Random forwarding misses one node in a thousand for this long.
OVERDUE_S = 0.8
#: Seconds without a summary of a cell after which all its nodes count as dead. Another
#: node replaces a dead representative after `REPRESENTATIVE_SILENCE_S`, and its summary
#: takes up to another second to arrive.
CELL_SILENCE_S = 2.8
#: Seconds without a new row after which another node replaces the representative: two
#: and a half rounds. Two representatives at the same time cost some datagrams; without
#: one, the other cells lose the state of all nodes of the cell.
REPRESENTATIVE_SILENCE_S = 1.0
#: Seconds after which the row of a silent node is deleted. Until then its counts are
#: still in the sums, and it still gets gossip, in case it is only unreachable.
FORGET_S = 25.0
#: Maximum number of addresses in one reply to a caller.
MAX_ADDRESSES = 64
#: Most nodes, cells and earlier processes of nodes that the table has rows of. Cells
#: have a few dozen nodes.
MAX_ROWS = 512


@dataclass(slots=True)
class SeenPeer:
    """Newest row of a node and its time of arrival.

    Attributes
    ----------
    last_seen_at : float
        Monotonic time at which the newest row arrived.
    """

    row: PeerRow
    last_seen_at: float

    def alive(self, now: float) -> bool:
        """Return whether the node's row is recent and the node has not stopped."""
        silent = now - self.last_seen_at > SILENCE_S
        return not silent and self.row.state is not NodeState.STOPPED


@dataclass(slots=True)
class SeenSummary:
    """Newest summary of a cell and the monotonic time of its arrival."""

    summary: CellSummary
    last_seen_at: float

    def fresh(self, now: float) -> bool:
        """Return whether the summary is recent."""
        return now - self.last_seen_at <= CELL_SILENCE_S


@dataclass(slots=True)
class PeerTable:
    """Table of the other nodes.

    Attributes
    ----------
    me : PeerRow
        This node's own row.
    seen : dict of NodeId to SeenPeer
        Rows of the other nodes of this node's cell.
    bits : int
        Bits of the node hashes that divide the nodes into cells; see `cells`.
    summaries : dict of Cell to SeenSummary
        Summaries of the other cells.
    contacts : dict of NodeId to str
        Hosts of nodes that summaries list in this node's cell and whose rows this node
        has not received.
    """

    me: PeerRow
    seen: dict[NodeId, SeenPeer] = field(default_factory=dict)
    #: Rows of earlier processes of restarted nodes. Their usage counts still belong to
    #: windows that are not reported yet.
    replaced: list[SeenPeer] = field(default_factory=list)
    bits: int = 0
    summaries: dict[Cell, SeenSummary] = field(default_factory=dict)
    contacts: dict[NodeId, str] = field(default_factory=dict)
    _versions: dict[Incarnation, int] = field(default_factory=dict)
    _epoch: int = 0

    @property
    def cell(self) -> Cell:
        """Return this node's cell."""
        return cell_of(self.me.node, self.bits)

    def in_cell(self, node: NodeId) -> bool:
        """Return whether a node belongs to this node's cell."""
        return self.bits == 0 or cell_of(node, self.bits) == self.cell

    # received rows and summaries

    def is_newer_row(self, node: str, incarnation: str, version: int) -> bool:
        """Return whether a row that is not decoded yet is newer than the known one.

        Notes
        -----
        Three of four rows that arrive, and four of five summaries, are known already.
        To decode them took an eighth of the processor time of a node among 83.
        """
        if node == self.me.node or not self.in_cell(NodeId(node)):
            return False
        known = self.seen.get(NodeId(node))
        if known is None:
            return True
        row = known.row
        return (incarnation, version) > (row.incarnation, row.version)

    def is_newer_summary(self, incarnation: str, version: int) -> bool:
        """Return whether a summary that is not decoded yet is newer."""
        return version > self._versions.get(Incarnation(incarnation), -1)

    def receive(self, row: PeerRow, now: float) -> bool:
        """Store a row if it is newer and of this cell; return whether it was stored."""
        if row.node == self.me.node or not self.in_cell(row.node):
            return False
        known = self.seen.get(row.node)
        if known is None and len(self.seen) >= MAX_ROWS:
            return False
        if known is None:
            self.contacts.pop(row.node, None)
            self.seen[row.node] = SeenPeer(row, now)
            return True
        if not row.newer_than(known.row):
            return False
        if row.incarnation != known.row.incarnation:
            self.replaced.append(known)
            del self.replaced[:-MAX_ROWS]
        self.seen[row.node] = SeenPeer(row, now)
        return True

    def receive_summary(self, summary: CellSummary, now: float) -> bool:
        """Store a summary if it is newer; return whether it was stored.

        Notes
        -----
        The last summary of an old representative can arrive after the first one of its
        successor. The versions stored here reject it; otherwise it would replace the
        new summary and list nodes that are gone.
        """
        if not self.is_newer_summary(summary.incarnation, summary.version):
            return False
        self._versions[summary.incarnation] = summary.version
        if summary.cell == self.cell:
            self._add_contacts(summary)
            return False
        known = self.summaries.get(summary.cell)
        if known is None and len(self.summaries) >= MAX_ROWS:
            return False
        if known is not None and known.summary.incarnation != summary.incarnation:
            has_precedence = summary.representative <= known.summary.representative
            if (
                not has_precedence
                and now - known.last_seen_at <= REPRESENTATIVE_SILENCE_S
            ):
                return False
        self.summaries[summary.cell] = SeenSummary(summary, now)
        return True

    def _add_contacts(self, summary: CellSummary) -> None:
        """Add nodes of this cell whose rows this node has not received."""
        for member in summary.members:
            known = member.node == self.me.node or member.node in self.seen
            full = len(self.contacts) >= MAX_ROWS
            if not known and not full and self.in_cell(member.node):
                self.contacts[member.node] = member.host

    def forget(self, now: float) -> None:
        """Delete rows and summaries that have become too old."""
        silent = [n for n, s in self.seen.items() if now - s.last_seen_at > FORGET_S]
        for node in silent:
            del self.seen[node]
        kept = [s for s in self.replaced if now - s.last_seen_at <= FORGET_S]
        if silent or len(kept) < len(self.replaced):
            self._epoch += 1
        self.replaced = kept
        for cell, old in list(self.summaries.items()):
            limit_s = FORGET_S if cell.bits == self.bits else CELL_SILENCE_S
            if now - old.last_seen_at > limit_s:
                del self.summaries[cell]
        if len(self._versions) > 4 * (len(self.summaries) + 4):
            current = {s.summary.incarnation for s in self.summaries.values()}
            self._versions = {
                run: n for run, n in self._versions.items() if run in current
            }

    def resume_after_freeze(self, frozen_s: float) -> None:
        """Extend the time of arrival of all rows and summaries by a freeze.

        Notes
        -----
        Without this, a resumed node counts all others as dead and returns only its
        own address to callers.
        """
        for peer in self.seen.values():
            peer.last_seen_at += frozen_s
        for cell in self.summaries.values():
            cell.last_seen_at += frozen_s

    def regroup(self, nodes: int, now: float) -> bool:
        """Change the number of cells if the number of nodes requires it.

        Returns
        -------
        bool
            Whether the cells have changed.

        Notes
        -----
        Nodes change the cells one after the other. Until all have, summaries of the
        old cells still show which nodes are alive, but their sums are not used.
        """
        bits = cell_bits(nodes, self.bits)
        if bits == self.bits:
            return False
        self.bits = bits
        outside_cell = [s for n, s in self.seen.items() if not self.in_cell(n)]
        for seen in outside_cell:
            del self.seen[seen.row.node]
        self.replaced = [s for s in self.replaced if self.in_cell(s.row.node)]
        for cell in {cell_of(seen.row.node, bits) for seen in outside_cell}:
            if cell not in self.summaries:
                self._add_provisional_summary(
                    cell, [seen.row for seen in outside_cell], now
                )
        for summary in [seen.summary for seen in self.summaries.values()]:
            self._add_contacts(summary)
        self._epoch += 1
        return True

    def _add_provisional_summary(
        self, cell: Cell, rows: list[PeerRow], now: float
    ) -> None:
        """Add a summary of the live nodes of a cell until its representative sends one.

        Notes
        -----
        Without it, a node has no nodes of other cells right after a regrouping and
        cannot send them its summary. Cells would find each other only through seeds.
        """
        listed = [row for row in rows if cell_of(row.node, cell.bits) == cell]
        summary = summarise(cell, listed[0], listed, (), version=0, epoch=0)
        # Old enough that any summary of the cell's representative replaces it.
        self.summaries[cell] = SeenSummary(
            summary, now - REPRESENTATIVE_SILENCE_S - 0.01
        )

    # queries

    def alive_rows(self, now: float) -> list[PeerRow]:
        """Return the rows of the live nodes of this cell."""
        return [seen.row for seen in self.seen.values() if seen.alive(now)]

    def overdue(self, now: float) -> list[str]:
        """Return the hosts of nodes of this cell that will soon count as dead.

        The hosts that have been silent for the longest time come first.
        """
        late = [
            seen
            for seen in self.seen.values()
            if now - seen.last_seen_at > OVERDUE_S and seen.alive(now)
        ]
        return [seen.row.host for seen in sorted(late, key=lambda s: s.last_seen_at)]

    def alive(self, now: float) -> list[PeerRow | CellMember]:
        """Return the live nodes of this cell and of the other cells."""
        found: list[PeerRow | CellMember] = list(self.alive_rows(now))
        if self.summaries:
            found += self.alive_in_other_cells(now)
        return found

    def alive_in_other_cells(self, now: float) -> list[CellMember]:
        """Return the live nodes of the other cells, from recent summaries."""
        alive_members = {
            member.node: member
            for seen in self.summaries.values()
            if seen.fresh(now)
            for member in seen.summary.members
            if member.state is not NodeState.STOPPED
        }
        alive_members.pop(self.me.node, None)
        return [
            member for node, member in alive_members.items() if node not in self.seen
        ]

    def in_fresh_summary(self, node: NodeId, now: float) -> bool:
        """Return whether a recent summary of another cell lists a node."""
        return any(
            member.node == node
            for seen in self.summaries.values()
            if seen.fresh(now)
            for member in seen.summary.members
        )

    def states(self) -> dict[NodeId, NodeState]:
        """Return the last known state of each other node, including silent nodes."""
        found = {
            member.node: member.state
            for seen in self.summaries.values()
            for member in seen.summary.members
        }
        found.update((node, seen.row.state) for node, seen in self.seen.items())
        found.pop(self.me.node, None)
        return found

    def rows_and_summaries(self, now: float) -> list[PeerRow | CellSummary]:
        """Return the rows of live nodes and recent summaries; each node counts once."""
        found: list[PeerRow | CellSummary] = list(self.alive_rows(now))
        for seen in self.summaries.values():
            if seen.summary.cell.bits == self.bits and seen.fresh(now):
                found.append(seen.summary)
        return found

    def earliest_start(self) -> float:
        """Return the time of day at which the oldest known process started.

        Notes
        -----
        No node has counts of windows before this time. A report of zeros for them
        would be wrong.
        """
        rows = [self.me, *(s.row for s in (*self.seen.values(), *self.replaced))]
        starts = [process_start_ms(row) for row in rows]
        starts += [seen.summary.started_ms for seen in self.summaries.values()]
        return min(starts) / 1000

    def usage_reports(self) -> list[dict[WindowNumber, dict[TeamId, int]]]:
        """Return the usage counts of all processes, including dead ones."""
        rows = [self.me, *(s.row for s in (*self.seen.values(), *self.replaced))]
        reports = [row.usage for row in rows]
        for seen in self.summaries.values():
            if seen.summary.cell.bits == self.bits:
                reports.append(seen.summary.usage)
        return reports

    # summary of this cell

    def is_representative(self, now: float) -> bool:
        """Return whether this node is the representative of its cell."""
        if self.bits == 0:
            return False
        return not any(
            node < self.me.node
            and now - seen.last_seen_at <= REPRESENTATIVE_SILENCE_S
            and seen.row.state is not NodeState.STOPPED
            for node, seen in self.seen.items()
        )

    def own_summary(self, now: float) -> CellSummary:
        """Return the summary of this node's cell."""
        others = [s for s in self.seen.values() if now - s.last_seen_at <= SILENCE_S]
        left = [
            seen
            for seen in self.seen.values()
            if seen.row.state is NodeState.STOPPED and seen not in others
        ]
        listed = [self.me, *(seen.row for seen in (*others, *left))]
        all_seen = (*self.seen.values(), *self.replaced)
        counted = [self.me, *(seen.row for seen in all_seen)]
        return summarise(
            self.cell, self.me, listed, counted, self.me.version, self._epoch
        )


def choose_addresses(table: PeerTable, port: int, now: float, rng: Random) -> list[str]:
    """Return the addresses of nodes to which a caller can connect.

    Parameters
    ----------
    table : PeerTable
        Table of the nodes.
    port : int
        Port for callers, the same on all nodes.
    now : float
        Monotonic time.
    rng : random.Random
        Random generator that samples the nodes if there are too many.

    Notes
    -----
    The addresses are those of ready nodes. Draining nodes are returned only if no node
    is ready: they still serve for a moment, and a reply without addresses would count
    as a failure.
    """
    rows = [table.me, *table.alive(now)]
    chosen = [row for row in rows if row.state is NodeState.READY]
    if not chosen:
        chosen = [row for row in rows if row.state is NodeState.DRAINING]
    if len(chosen) > MAX_ADDRESSES:
        chosen = rng.sample(chosen, MAX_ADDRESSES)
    return [f"{row.host}:{port}" for row in chosen]
