"""A duty that one node holds at a time: its lease and its fencing token."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import NodeId

__all__ = ["CANDIDATES", "DutyLease", "LeaseChange", "is_candidate"]

#: Part of the lease that a holder uses, counted from when it sent the renewal. The
#: rest covers clocks that run at different speeds and calls already on their way.
SAFE_SHARE = 0.7
#: Time in seconds beyond the platform's bound that a new holder waits, for the same.
WAIT_MARGIN_S = 0.4

#: Nodes that stand for the duties. Each renews twice a second at the platform's price:
#: with 195 nodes a quarter of all calls were renewals. Nine leave one in five hundred
#: chances that all of them are cut off where half of all nodes are.
CANDIDATES = 9


def is_candidate(me: NodeId, others: Iterable[NodeId]) -> bool:
    """Return whether a node stands for the duties.

    Parameters
    ----------
    me : NodeId
        The node.
    others : iterable of NodeId
        The other nodes that are alive.

    Notes
    -----
    The first by their hashes, which all nodes find without asking. Where they
    disagree on who is alive a few more stand, which costs calls and nothing else:
    the store gives the duties to one member.

    Examples
    --------
    >>> is_candidate(NodeId("a"), [])
    True
    >>> nodes = [NodeId(str(number)) for number in range(50)]
    >>> sum(is_candidate(node, [n for n in nodes if n != node]) for node in nodes)
    9
    """
    rank = _rank(me)
    return sum(_rank(node) < rank for node in others) < CANDIDATES


def _rank(node: NodeId) -> bytes:
    return hashlib.blake2b(f"duties|{node}".encode(), digest_size=8).digest()


class LeaseChange(Enum):
    """What a renewal changed."""

    NONE = "none"
    TAKEN = "taken"
    LOST = "lost"


@dataclass(slots=True)
class DutyLease:
    """Whether this node holds a duty, as far as it can know.

    Attributes
    ----------
    ttl_s : float
        Time after a renewal at which the store may give the duty to another.
    wait_s : float
        Time that must lie between this node's last act in an earlier tenure and its
        first in a new one. A duty that goes from one node to another and back at
        once would otherwise let both act within the time in which the platform
        allows only one change. A node that has not acted lately need not wait.
    last_action_at : float
        Monotonic time of the last act; a process that has just started may have
        acted before a restart, and begins with its time of start.
    clear_at : float
        Monotonic time from which this node may act in its tenure.
    token : int
        Fencing token of the tenure: the group's generation in which it began.
        Generations only rise, and the duty cannot reach another member without
        one, so two tenures never share a token and later ones have larger.
    """

    ttl_s: float
    wait_s: float
    generation: int = 0
    token: int = 0
    held: bool = False
    last_action_at: float = 0.0
    clear_at: float = 0.0
    renewed_at: float = float("-inf")

    def renew(self, holds: bool, generation: int, sent_at: float) -> LeaseChange:
        """Take the store's answer to a renewal.

        Parameters
        ----------
        holds : bool
            Whether the answer lists the duty for this node.
        generation : int
            The group's generation.
        sent_at : float
            Monotonic time at which the renewal was sent; the store counts from a
            later moment.
        """
        lapsed = self.held and sent_at - self.renewed_at > SAFE_SHARE * self.ttl_s
        was_held = self.held
        rebuilt = generation < self.generation
        self.generation = generation
        self.renewed_at = sent_at
        if not holds:
            self.held = False
            return LeaseChange.LOST if was_held else LeaseChange.NONE
        if was_held and not lapsed and not rebuilt:
            return LeaseChange.NONE
        # After a lapse another node may have held it in between.
        self.held = True
        self.clear_at = self.last_action_at + self.wait_s + WAIT_MARGIN_S
        self.token = generation
        return LeaseChange.TAKEN

    def may_act(self, now: float) -> bool:
        """Return whether this node may act on the duty at this moment."""
        return (
            self.held
            and now - self.renewed_at < SAFE_SHARE * self.ttl_s
            and now >= self.clear_at
        )

    def record_action(self, now: float) -> None:
        """Note that this node acts on the duty."""
        self.last_action_at = now

    def relinquish(self) -> None:
        """Stop holding it, as after a freeze: the lease may have passed on."""
        self.held = False
