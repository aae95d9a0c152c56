"""Choose the node that counts the requests at an endpoint."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable, Mapping
from typing import Protocol

from poplarrelay.entry.peer_rows import NodeState
from poplarrelay.identifiers import NodeId

__all__ = ["LISTED_GRACE_S", "Member", "choose_coordinator", "eligible_nodes"]

#: Seconds after the start of a node in which listed nodes count as alive although it
#: has not heard from them. Rows and summaries of all nodes arrive within this time.
LISTED_GRACE_S = 3.0
#: States of nodes that can be coordinators. A leaving node would lose its counts soon.
COORDINATING_STATES = frozenset((NodeState.STARTING, NodeState.READY))


class Member(Protocol):
    """A live node."""

    @property
    def node(self) -> NodeId:
        """Return the id of the node."""

    @property
    def host(self) -> str:
        """Return the host of the node."""

    @property
    def state(self) -> NodeState:
        """Return the phase of the node's lifetime."""


def eligible_nodes(
    alive: Iterable[Member],
    known: Collection[NodeId],
    listed: Mapping[NodeId, str],
    uptime_s: float,
) -> dict[NodeId, str]:
    """Return the hosts of the nodes that can be coordinators, by id.

    Parameters
    ----------
    alive : iterable of Member
        The live nodes, including this one.
    known : collection of NodeId
        Nodes that this node has heard of since its start, including dead ones.
    listed : mapping of NodeId to str
        Hosts of the nodes that the directory in the store lists.
    uptime_s : float
        Seconds since the start of this node.

    Notes
    -----
    When all nodes restart at once, each one first hears of a few others only, so each
    would choose other coordinators and the counts would be split between them. The
    directory is the same for all nodes.
    """
    nodes = {m.node: m.host for m in alive if m.state in COORDINATING_STATES}
    if uptime_s < LISTED_GRACE_S:
        nodes |= {n: host for n, host in listed.items() if n not in known}
    return nodes


def choose_coordinator(key: str, nodes: Mapping[NodeId, str]) -> NodeId:
    """Return the coordinator of an endpoint, or of what else the key names.

    Notes
    -----
    Rendezvous hashing: nodes with the same list of nodes choose the same coordinator
    without messages, and the loss of a node moves only the endpoints that it
    coordinates.
    """
    return max(nodes, key=lambda n: (zlib.crc32(f"{n}|{key}".encode()), n))
