"""Lease and fencing token of a duty, which one node holds at a time."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from poplarrelay.entry.store_era import FIRST_ERA
from poplarrelay.identifiers import NodeId, StoreEra

__all__ = ["CANDIDATES", "DutyLease", "LeaseChange", "is_candidate"]

#: Share of the lease term that a holder uses, counted from the time at which it sent
#: the renewal. The rest covers clocks of different speeds and calls in flight.
SAFE_SHARE = 0.7
#: Seconds that a new holder waits in addition to the platform's bound, for the same
#: reasons.
WAIT_MARGIN_S = 0.4

#: Number of nodes that are candidates for the duties. Each candidate renews twice a
#: second, and the platform charges for each call: when all of 195 nodes were
#: candidates, a quarter of all calls were renewals. If half of all nodes are
#: unreachable, all nine candidates are among them with a probability of one in five
#: hundred.
CANDIDATES = 9
#: Bits of a fencing token that hold the group's generation; the era is above them.
GENERATION_BITS = 32


def is_candidate(node: NodeId, others: Iterable[NodeId]) -> bool:
    """Return whether a node is a candidate for the duties.

    Parameters
    ----------
    node : NodeId
        The node.
    others : iterable of NodeId
        The other nodes that are alive.

    Notes
    -----
    The candidates are the first nodes in the order of their hashes, which all nodes
    compute without communication. If nodes disagree on which nodes are alive, there
    are a few more candidates. That only costs calls: the store gives the duties to
    one member.

    Examples
    --------
    >>> is_candidate(NodeId("a"), [])
    True
    >>> nodes = [NodeId(str(number)) for number in range(50)]
    >>> sum(is_candidate(node, [n for n in nodes if n != node]) for node in nodes)
    9
    """
    rank = _rank(node)
    return sum(_rank(other) < rank for other in others) < CANDIDATES


def _rank(node: NodeId) -> bytes:
    return hashlib.blake2b(f"duties|{node}".encode(), digest_size=8).digest()


class LeaseChange(Enum):
    """Change of the lease by a renewal."""

    NONE = "none"
    TAKEN = "taken"
    LOST = "lost"


@dataclass(slots=True)
class DutyLease:
    """Lease of this node on a duty, by the renewals that the store has answered.

    Attributes
    ----------
    ttl_s : float
        Seconds after a renewal at which the store can give the duty to another node.
    wait_s : float
        Minimum seconds between this node's last action in an earlier lease term and its
        first action in a new one. Without it, when a duty moves to another node and
        immediately back, both nodes could act within the time in which the platform
        allows only one change of holder. A node that has not acted recently does not
        wait.
    generation : int
        Generation of the group in the last answer of the store.
    token : int
        Fencing token of the lease term: the store's era, and the group's generation in
        which the term began. Within an era generations only increase, and the duty
        cannot move to another member without a new one. Therefore two terms never have
        the same token, and later terms have larger ones.
    held : bool
        Whether the last answer of the store gave the duty to this node, and the node
        has not relinquished it since.
    last_action_at : float
        Monotonic time of the last action. A process that has just started uses its
        start time, because it can have acted before a restart.
    earliest_action_at : float
        Monotonic time from which this node can act in its lease term.
    renewed_at : float
        Monotonic time at which the last answered renewal was sent.
    era : StoreEra
        Era of the store in which the generation counts.
    """

    ttl_s: float
    wait_s: float
    generation: int = 0
    token: int = 0
    held: bool = False
    last_action_at: float = 0.0
    earliest_action_at: float = 0.0
    renewed_at: float = float("-inf")
    era: StoreEra = FIRST_ERA

    def renew(self, holds: bool, generation: int, sent_at: float) -> LeaseChange:
        """Update the lease by the store's answer to a renewal.

        Parameters
        ----------
        holds : bool
            Whether the answer lists the duty for this node.
        generation : int
            The group's generation.
        sent_at : float
            Monotonic time at which the renewal was sent. The store counts the lease
            term from a later time.
        """
        expired = self.held and sent_at - self.renewed_at > SAFE_SHARE * self.ttl_s
        was_held = self.held
        generation_reset = generation < self.generation
        self.generation = generation
        self.renewed_at = sent_at
        if not holds:
            self.held = False
            return LeaseChange.LOST if was_held else LeaseChange.NONE
        if was_held and not expired and not generation_reset:
            return LeaseChange.NONE
        # After the lease has expired, another node can have held the duty in between.
        self.held = True
        self.earliest_action_at = self.last_action_at + self.wait_s + WAIT_MARGIN_S
        self.token = (self.era << GENERATION_BITS) | generation
        return LeaseChange.TAKEN

    def may_act(self, now: float) -> bool:
        """Return whether this node may act on the duty now."""
        return (
            self.held
            and now - self.renewed_at < SAFE_SHARE * self.ttl_s
            and now >= self.earliest_action_at
        )

    def record_action(self, now: float) -> None:
        """Record that this node acts on the duty."""
        self.last_action_at = now

    def begin_era(self, era: StoreEra) -> None:
        """Stop holding the duty, as the store has forgotten newer lease terms."""
        self.relinquish()
        self.era = era
        self.generation = 0

    def relinquish(self) -> None:
        """Stop holding the duty, for example after a pause of the process.

        Another node can have got the lease during the pause.
        """
        self.held = False
