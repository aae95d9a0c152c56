"""Table of nodes: each node's row, which only that node may change."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random
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

__all__ = [
    "NodeState",
    "PeerRow",
    "PeerTable",
    "SeenPeer",
    "choose_addresses",
    "decode_row",
    "encode_row",
    "reporter_of",
]

#: Seconds without news after which a node is taken for dead. News reaches all of
#: nine nodes within two rounds of 0.4 s; one lost round on the way must not count.
SILENCE_S = 1.5
#: Seconds after which a silent node's row is forgotten. Until then its counts are
#: still added up, and it is still told news in case it is only cut off.
FORGET_S = 25.0
#: Most addresses named to a caller.
MOST_ADDRESSES = 64


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


@dataclass(slots=True)
class SeenPeer:
    """A node's newest row and when it came.

    Attributes
    ----------
    heard_at : float
        Monotonic time at which the newest row arrived.
    """

    row: PeerRow
    heard_at: float

    def alive(self, now: float) -> bool:
        """Return whether the node has been heard lately."""
        silent = now - self.heard_at > SILENCE_S
        return not silent and self.row.state is not NodeState.STOPPED


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


@dataclass(slots=True)
class PeerTable:
    """The other nodes.

    Attributes
    ----------
    me : PeerRow
        This node's own row.
    """

    me: PeerRow
    seen: dict[NodeId, SeenPeer] = field(default_factory=dict)
    #: Rows of processes that a restart of their node replaced: their counts of
    #: usage still belong to windows that are not reported yet.
    replaced: list[SeenPeer] = field(default_factory=list)

    def hear(self, row: PeerRow, now: float) -> bool:
        """Take a row and return whether it is news."""
        if row.node == self.me.node:
            return False
        known = self.seen.get(row.node)
        if known is None:
            self.seen[row.node] = SeenPeer(row, now)
            return True
        if not row.newer_than(known.row):
            return False
        if row.incarnation != known.row.incarnation:
            self.replaced.append(known)
        self.seen[row.node] = SeenPeer(row, now)
        return True

    def forget(self, now: float) -> None:
        """Drop the rows of nodes that have been silent for long."""
        for node in [n for n, s in self.seen.items() if now - s.heard_at > FORGET_S]:
            del self.seen[node]
        self.replaced = [s for s in self.replaced if now - s.heard_at <= FORGET_S]

    def thaw(self, frozen_s: float) -> None:
        """Give the others time to be heard after this node was frozen.

        Notes
        -----
        Without this a thawed node takes all others for dead and names only itself
        to callers.
        """
        for seen in self.seen.values():
            seen.heard_at += frozen_s

    def alive(self, now: float) -> list[PeerRow]:
        """Return the rows of the nodes that have been heard lately."""
        return [seen.row for seen in self.seen.values() if seen.alive(now)]

    def earliest_start(self) -> float:
        """Return the time of day at which the oldest known process started.

        Notes
        -----
        Nobody can know the counts of windows before it; a report of zeros would
        only be wrong.
        """
        rows = [self.me, *(s.row for s in (*self.seen.values(), *self.replaced))]
        return min(int(row.incarnation.partition("-")[0]) for row in rows) / 1000

    def usage_reports(self) -> list[dict[WindowNumber, dict[TeamId, int]]]:
        """Return the usage counts of all processes, dead ones included."""
        rows = [seen.row for seen in self.seen.values()]
        rows += [seen.row for seen in self.replaced]
        return [self.me.usage, *(row.usage for row in rows)]


def reporter_of(row: PeerRow) -> str:
    """Return the name under which one process of a node reports its use."""
    return f"{row.node}/{row.incarnation}"


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
