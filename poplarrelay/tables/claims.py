"""Claims of idempotency keys, and the keys that this process runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import (
    IdempotencyKey,
    Incarnation,
    NodeId,
    Offset,
    RecordId,
    RequestId,
    TeamId,
)
from poplarrelay.messages.records import ClaimRecord
from poplarrelay.outcomes import Outcome

__all__ = ["Claim", "KeyExecution", "KeyState", "TeamKey"]


@dataclass(frozen=True, slots=True)
class TeamKey:
    """An idempotency key of a team; equal keys of two teams are different keys."""

    team: TeamId
    key: IdempotencyKey

    @classmethod
    def of(cls, team: str, key: str) -> TeamKey:
        """Return the key for the plain strings of a message or record."""
        return cls(TeamId(team), IdempotencyKey(key))


@dataclass(slots=True)
class Claim:
    """The claim in force for a key.

    Attributes
    ----------
    offset : Offset
        Offset of the claim's record in its stream.
    node : NodeId
        The node that can run the key.
    incarnation : Incarnation
        The run of that node's process that can run the key.
    fingerprint : str
        Digest of the work that the key was claimed for.
    read_at : float
        Monotonic time at which this node folded the record.
    """

    offset: Offset
    record: RecordId
    node: NodeId
    incarnation: Incarnation
    fingerprint: str
    read_at: float

    @classmethod
    def from_record(cls, offset: Offset, record: ClaimRecord, read_at: float) -> Claim:
        """Return the claim that a record contains."""
        return cls(
            offset=offset,
            record=RecordId(record.id),
            node=NodeId(record.node),
            incarnation=Incarnation(record.incarnation),
            fingerprint=record.fingerprint,
            read_at=read_at,
        )


class KeyState(Enum):
    """State of a key at the process that can run it.

    OPEN
        No attempt has been sent, and the key is not released.
    RUNNING
        An attempt has been sent, or its sending is in progress.
    FINISHED
        The work ran, and its outcome is stored.
    RELEASED
        The key was released before any attempt was sent. This process does not run
        it again without a new claim.
    BROKEN
        An attempt was sent, and it is not known whether the work ran.
    """

    OPEN = "open"
    RUNNING = "running"
    FINISHED = "finished"
    RELEASED = "released"
    BROKEN = "broken"


@dataclass(slots=True)
class KeyExecution:
    """A key that this process can run, or has run.

    Attributes
    ----------
    request : RequestId
        The request that runs under the key, or that ran last.
    fingerprint : str
        Digest of the work of that request.
    changed_at : float
        Monotonic time of the last change of `state`.
    claim : Offset or None
        Offset of the claim that gives the right to run the key; None for a ticket,
        or while the claim is in flight.
    replaced_claim : Offset or None
        Offset of the claim that the claim in flight replaces.
    record : RecordId or None
        Id of the claim's record; None for a ticket.
    outcome : Outcome or None
        Stored for repetitions of the request.
    """

    state: KeyState
    request: RequestId
    fingerprint: str
    changed_at: float
    claim: Offset | None = None
    replaced_claim: Offset | None = None
    record: RecordId | None = None
    outcome: Outcome | None = None
