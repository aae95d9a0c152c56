"""The members of the cluster: the nodes that this node has rows of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import DomainId, Incarnation, NodeId

__all__ = ["Member", "MemberStatus"]


class MemberStatus(Enum):
    """Membership status of a node, in the order of precedence, lowest first."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"

    @property
    def severity(self) -> int:
        """Return the precedence of the status at equal versions."""
        return _SEVERITY[self]


_SEVERITY = {status: rank for rank, status in enumerate(MemberStatus)}


@dataclass(slots=True)
class Member:
    """The row of a node.

    Attributes
    ----------
    generation : int
        Orders the incarnations of one node.
    version : int
        Version of the row. The node itself raises it on every change of its row, and
        to refute a suspicion.
    epoch : int
        The node's current ticket epoch.
    clock : float
        Seconds since the node's start, by its own clock, when the row was created.
    configuration_next : int
        Offset after the newest configuration record that the node has folded.
    successor : NodeId or None
        The node that has taken over the outcomes of this node, if this node left.
    last_seen_at : float
        Monotonic time of the last direct reply.
    changed_at : float
        Monotonic time of the last change of status.
    times_sent : int
        Number of times that the row has been sent since its last change.
    """

    node: NodeId
    incarnation: Incarnation
    generation: int
    version: int
    status: MemberStatus
    domain: DomainId
    callers: str
    peers: str
    ready: bool = False
    epoch: int = 0
    clock: float = 0.0
    configuration_next: int = 0
    successor: NodeId | None = None
    last_seen_at: float = float("-inf")
    changed_at: float = 0.0
    times_sent: int = 0
