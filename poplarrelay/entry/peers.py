"""Table of nodes: rows of this node's cell, and summaries of the others."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from poplarrelay.entry.cells import (
    Cell,
    CellSummary,
    Member,
    cell_bits,
    cell_of,
    start_of,
    summarise,
)
from poplarrelay.entry.metering import WindowNumber
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.identifiers import Incarnation, NodeId, TeamId

__all__ = ["PeerTable", "SeenPeer", "SeenSummary", "choose_addresses"]

#: Seconds without news after which a node is taken for dead. News reaches all of a
#: cell within three rounds of 0.4 s; one lost round on the way must not count.
SILENCE_S = 1.5
#: Seconds without news after which a node is asked for its row itself, twice before it
#: is taken for dead: news passed on at random misses one node in a thousand so long.
ASK_S = 0.8
#: Seconds without news of a cell after which all of its nodes are taken for dead. A
#: speaker that ends is followed after `REPRESENTATIVE_SILENCE_S`, and what the next one
#: says needs up to another second on its way.
CELL_SILENCE_S = 2.8
#: Seconds without news after which a speaker's place is taken: two and a half rounds.
#: Two that speak at once cost some datagrams; nobody, the sight of a whole cell.
REPRESENTATIVE_SILENCE_S = 1.0
#: Seconds after which a silent node's row is forgotten. Until then its counts are
#: still added up, and it is still told news in case it is only cut off.
FORGET_S = 25.0
#: Most addresses named to a caller.
MOST_ADDRESSES = 64


@dataclass(slots=True)
class SeenPeer:
    """A node's newest row and when it came.

    Attributes
    ----------
    last_seen_at : float
        Monotonic time at which the newest row arrived.
    """

    row: PeerRow
    last_seen_at: float

    def alive(self, now: float) -> bool:
        """Return whether the node has been heard lately."""
        silent = now - self.last_seen_at > SILENCE_S
        return not silent and self.row.state is not NodeState.STOPPED


@dataclass(slots=True)
class SeenSummary:
    """A cell's newest summary and the monotonic time at which it came."""

    summary: CellSummary
    last_seen_at: float

    def fresh(self, now: float) -> bool:
        """Return whether the cell has been heard lately."""
        return now - self.last_seen_at <= CELL_SILENCE_S


@dataclass(slots=True)
class PeerTable:
    """The other nodes.

    Attributes
    ----------
    me : PeerRow
        This node's own row.
    seen : dict of NodeId to SeenPeer
        The other nodes of this node's cell.
    bits : int
        Bits that divide all nodes into cells; see `cells`.
    summaries : dict of Cell to SeenSummary
        The other cells.
    contacts : dict of NodeId to str
        Hosts of nodes that others name as being in this node's cell.
    """

    me: PeerRow
    seen: dict[NodeId, SeenPeer] = field(default_factory=dict)
    #: Rows of processes that a restart of their node replaced: their counts of
    #: usage still belong to windows that are not reported yet.
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
        """Return whether a node is of this node's cell."""
        return self.bits == 0 or cell_of(node, self.bits) == self.cell

    # hearing

    def wants_row(self, node: str, incarnation: str, version: int) -> bool:
        """Return whether a row would be news, before it is decoded.

        Notes
        -----
        Three of four rows that arrive, and four of five summaries, are known already;
        decoding them took a node among 83 an eighth of its processor time.
        """
        if node == self.me.node or not self.in_cell(NodeId(node)):
            return False
        known = self.seen.get(NodeId(node))
        if known is None:
            return True
        row = known.row
        return (incarnation, version) > (row.incarnation, row.version)

    def wants_summary(self, incarnation: str, version: int) -> bool:
        """Return whether a summary would be news, before it is decoded."""
        return version > self._versions.get(Incarnation(incarnation), -1)

    def receive(self, row: PeerRow, now: float) -> bool:
        """Take a row and return whether it is news; only of this node's cell."""
        if row.node == self.me.node or not self.in_cell(row.node):
            return False
        known = self.seen.get(row.node)
        if known is None:
            self.contacts.pop(row.node, None)
            self.seen[row.node] = SeenPeer(row, now)
            return True
        if not row.newer_than(known.row):
            return False
        if row.incarnation != known.row.incarnation:
            self.replaced.append(known)
        self.seen[row.node] = SeenPeer(row, now)
        return True

    def receive_summary(self, summary: CellSummary, now: float) -> bool:
        """Take a summary and return whether it is news.

        Notes
        -----
        A copy of an old speaker's last summary may still be on its way when the next
        speaker is heard; without the versions kept here it would count as news again,
        and name nodes that are gone.
        """
        if not self.wants_summary(summary.incarnation, summary.version):
            return False
        self._versions[summary.incarnation] = summary.version
        if summary.cell == self.cell:
            self._take_contacts(summary)
            return False
        known = self.summaries.get(summary.cell)
        if known is not None and known.summary.incarnation != summary.incarnation:
            goes_first = summary.representative <= known.summary.representative
            if not goes_first and now - known.last_seen_at <= REPRESENTATIVE_SILENCE_S:
                return False
        self.summaries[summary.cell] = SeenSummary(summary, now)
        return True

    def _take_contacts(self, summary: CellSummary) -> None:
        """Note nodes of this node's own cell that it has not heard itself."""
        for member in summary.members:
            known = member.node == self.me.node or member.node in self.seen
            if not known and self.in_cell(member.node):
                self.contacts[member.node] = member.host

    def forget(self, now: float) -> None:
        """Drop the rows of nodes that have been silent for long."""
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
        """Give the others time to be heard after this node was frozen.

        Notes
        -----
        Without this a thawed node takes all others for dead and names only itself
        to callers.
        """
        for peer in self.seen.values():
            peer.last_seen_at += frozen_s
        for cell in self.summaries.values():
            cell.last_seen_at += frozen_s

    def regroup(self, nodes: int, now: float) -> bool:
        """Divide the nodes anew if their number asks for it, and return whether so.

        Notes
        -----
        Nodes learn of a new number one after the other. Until all have, summaries of
        the old cells still tell who is alive, but their sums are not used.
        """
        bits = cell_bits(nodes, self.bits)
        if bits == self.bits:
            return False
        self.bits = bits
        elsewhere = [s for n, s in self.seen.items() if not self.in_cell(n)]
        for seen in elsewhere:
            del self.seen[seen.row.node]
        self.replaced = [s for s in self.replaced if self.in_cell(s.row.node)]
        for cell in {cell_of(seen.row.node, bits) for seen in elsewhere}:
            if cell not in self.summaries:
                self._stand_in(cell, [seen.row for seen in elsewhere], now)
        for summary in [seen.summary for seen in self.summaries.values()]:
            self._take_contacts(summary)
        self._epoch += 1
        return True

    def _stand_in(self, cell: Cell, rows: list[PeerRow], now: float) -> None:
        """Keep who was alive in a cell until its speaker is heard.

        Notes
        -----
        Without it a node knows nobody elsewhere right after it has regrouped, and has
        nobody to tell its summary: cells would find each other through seeds alone.
        """
        listed = [row for row in rows if cell_of(row.node, cell.bits) == cell]
        summary = summarise(cell, listed[0], listed, (), version=0, epoch=0)
        # So old that whatever the cell's speaker says replaces it.
        self.summaries[cell] = SeenSummary(
            summary, now - REPRESENTATIVE_SILENCE_S - 0.01
        )

    # asking

    def alive_rows(self, now: float) -> list[PeerRow]:
        """Return the rows of the nodes of this cell that have been heard lately."""
        return [seen.row for seen in self.seen.values() if seen.alive(now)]

    def overdue(self, now: float) -> list[str]:
        """Return the hosts of nodes of this cell that will soon count as dead.

        Those that have been silent for longest come first.
        """
        late = [
            seen
            for seen in self.seen.values()
            if now - seen.last_seen_at > ASK_S and seen.alive(now)
        ]
        return [seen.row.host for seen in sorted(late, key=lambda s: s.last_seen_at)]

    def alive(self, now: float) -> list[PeerRow | Member]:
        """Return all nodes that have been heard lately, of this cell or told of."""
        found: list[PeerRow | Member] = list(self.alive_rows(now))
        if self.summaries:
            found += self.alive_elsewhere(now)
        return found

    def alive_elsewhere(self, now: float) -> list[Member]:
        """Return the nodes of the other cells that are alive."""
        told = {
            member.node: member
            for seen in self.summaries.values()
            if seen.fresh(now)
            for member in seen.summary.members
            if member.state is not NodeState.STOPPED
        }
        told.pop(self.me.node, None)
        return [member for node, member in told.items() if node not in self.seen]

    def knows(self, node: NodeId, now: float) -> bool:
        """Return whether a node of another cell has been told of lately."""
        return any(
            member.node == node
            for seen in self.summaries.values()
            if seen.fresh(now)
            for member in seen.summary.members
        )

    def states(self) -> dict[NodeId, NodeState]:
        """Return the last known state of each other node, silent ones included."""
        found = {
            member.node: member.state
            for seen in self.summaries.values()
            for member in seen.summary.members
        }
        found.update((node, seen.row.state) for node, seen in self.seen.items())
        found.pop(self.me.node, None)
        return found

    def counted(self, now: float) -> list[PeerRow | CellSummary]:
        """Return the live rows and fresh summaries, which count nobody twice."""
        found: list[PeerRow | CellSummary] = list(self.alive_rows(now))
        for seen in self.summaries.values():
            if seen.summary.cell.bits == self.bits and seen.fresh(now):
                found.append(seen.summary)
        return found

    def earliest_start(self) -> float:
        """Return the time of day at which the oldest known process started.

        Notes
        -----
        Nobody can know the counts of windows before it; a report of zeros would
        only be wrong.
        """
        rows = [self.me, *(s.row for s in (*self.seen.values(), *self.replaced))]
        starts = [start_of(row) for row in rows]
        starts += [seen.summary.started_ms for seen in self.summaries.values()]
        return min(starts) / 1000

    def usage_reports(self) -> list[dict[WindowNumber, dict[TeamId, int]]]:
        """Return the usage counts of all processes, dead ones included."""
        rows = [self.me, *(s.row for s in (*self.seen.values(), *self.replaced))]
        reports = [row.usage for row in rows]
        for seen in self.summaries.values():
            if seen.summary.cell.bits == self.bits:
                reports.append(seen.summary.usage)
        return reports

    # speaking

    def is_representative(self, now: float) -> bool:
        """Return whether this node is the one that speaks for its cell."""
        if self.bits == 0:
            return False
        return not any(
            node < self.me.node
            and now - seen.last_seen_at <= REPRESENTATIVE_SILENCE_S
            and seen.row.state is not NodeState.STOPPED
            for node, seen in self.seen.items()
        )

    def own_summary(self, now: float) -> CellSummary:
        """Return what this node's cell comes to."""
        others = [s for s in self.seen.values() if now - s.last_seen_at <= SILENCE_S]
        left = [
            seen
            for seen in self.seen.values()
            if seen.row.state is NodeState.STOPPED and seen not in others
        ]
        listed = [self.me, *(seen.row for seen in (*others, *left))]
        every = (*self.seen.values(), *self.replaced)
        counted = [self.me, *(seen.row for seen in every)]
        return summarise(
            self.cell, self.me, listed, counted, self.me.version, self._epoch
        )


def choose_addresses(table: PeerTable, port: int, now: float, rng: Random) -> list[str]:
    """Return the addresses that a caller may connect to.

    Parameters
    ----------
    table : PeerTable
        The nodes.
    port : int
        The callers' port, the same on all nodes.
    now : float
        Monotonic time.
    rng : random.Random
        Draws a sample where there are too many.

    Notes
    -----
    Nodes that are ready; draining ones only where nothing else is left, since they
    still serve for a moment and no answer at all would count as a failure.
    """
    rows = [table.me, *table.alive(now)]
    chosen = [row for row in rows if row.state is NodeState.READY]
    if not chosen:
        chosen = [row for row in rows if row.state is NodeState.DRAINING]
    if len(chosen) > MOST_ADDRESSES:
        chosen = rng.sample(chosen, MOST_ADDRESSES)
    return [f"{row.host}:{port}" for row in chosen]
