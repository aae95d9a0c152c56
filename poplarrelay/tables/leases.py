"""Leases of duties; only one node can hold a duty at a time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import Incarnation, NodeId, Offset, RecordId

__all__ = ["Duty", "Lease", "LeaseRequest"]


class Duty(Enum):
    """A task that only one node does at a time.

    SNAPSHOTS
        Write a snapshot of the configuration before the log trims its records.
    PLACEMENT
        Order engines to load models, and start and stop hosts.
    """

    SNAPSHOTS = "snapshots"
    PLACEMENT = "placement"


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease in force for a duty.

    Attributes
    ----------
    offset : Offset
        Offset of the lease's record, which is also its fencing token.
    term_s : float
        Lease term in seconds; 0 if the holder released the duty.
    read_at : float
        Monotonic time at which this node folded the record.
    """

    offset: Offset
    record: RecordId
    node: NodeId
    incarnation: Incarnation
    term_s: float
    read_at: float


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A lease record that this node has sent, to take or renew a duty.

    Attributes
    ----------
    counted_from : float
        Monotonic time just before the record was sent. This node counts the term from
        here, because other nodes count it from when they read the record, later.
    """

    record: RecordId
    counted_from: float
    term_s: float
