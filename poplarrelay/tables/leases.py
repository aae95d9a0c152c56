"""Leases of duties that only one node may hold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import Incarnation, NodeId, Offset, RecordId

__all__ = ["Duty", "Lease", "LeaseRequest"]


class Duty(Enum):
    """What only one node does at a time.

    SNAPSHOTS
        Writes the configuration again before the log trims it.
    PLACEMENT
        Gives orders to engines, and starts and stops hosts.
    """

    SNAPSHOTS = "snapshots"
    PLACEMENT = "placement"


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease in force for a duty.

    Attributes
    ----------
    offset : Offset
        Position of its record, and its fencing number.
    term_s : float
        Length; 0 if the duty was given up.
    read_at : float
        Monotonic time at which this node read the record.
    """

    offset: Offset
    record: RecordId
    node: NodeId
    incarnation: Incarnation
    term_s: float
    read_at: float


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A record by which this node takes or renews a duty.

    Attributes
    ----------
    counted_from : float
        Monotonic time before the record was sent; the term counts from here, since
        others may count theirs from any later moment.
    """

    record: RecordId
    counted_from: float
    term_s: float
