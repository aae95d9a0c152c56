"""Nodes, as this node knows them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import DomainId, Incarnation, NodeId

__all__ = ["Member", "MemberStatus"]


class MemberStatus(Enum):
    """Standing of a node among its peers, the more certain end last."""

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
    """A node.

    Attributes
    ----------
    generation : int
        Orders the incarnations of one node.
    version : int
        Raised by the node itself whenever its row changes or a suspicion has to
        be denied.
    epoch : int
        The node's current ticket epoch.
    clock : float
        Seconds since the node's start, by its own clock, when the row was made.
    configuration_next : int
        Offset after the newest configuration record that the node has folded.
    successor : NodeId or None
        The node that took over the outcomes of one that left.
    last_seen_at : float
        Monotonic time of the last direct answer.
    changed_at : float
        Monotonic time of the last change of status.
    told : int
        How often the row has been passed on since it changed.
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
    told: int = 0
