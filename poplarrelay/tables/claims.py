"""Claims of idempotency keys, as folded from the log, and ticket homes."""

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
    """An idempotency key; keys of two teams never meet."""

    team: TeamId
    key: IdempotencyKey

    @classmethod
    def of(cls, team: str, key: str) -> TeamKey:
        """Return the key for plain strings, as they travel."""
        return cls(TeamId(team), IdempotencyKey(key))


@dataclass(slots=True)
class Claim:
    """The claim in force for a key.

    Attributes
    ----------
    offset : int
        Position of the claim's record in its stream.
    node, incarnation
        The process that may run the key.
    """

    offset: Offset
    record: RecordId
    node: NodeId
    incarnation: Incarnation
    fingerprint: str
    read_at: float

    @classmethod
    def from_record(cls, offset: Offset, record: ClaimRecord, read_at: float) -> Claim:
        """Return the claim that a record makes."""
        return cls(
            offset=offset,
            record=RecordId(record.id),
            node=NodeId(record.node),
            incarnation=Incarnation(record.incarnation),
            fingerprint=record.fingerprint,
            read_at=read_at,
        )


class KeyState(Enum):
    """What became of a key at the process that may run it.

    OPEN
        Held, neither run nor given up.
    RUNNING
        An attempt has been or may have been sent.
    FINISHED
        Ran; the outcome is kept.
    RELEASED
        Given up before any attempt was sent, and never to be used again by this
        process without a new claim.
    BROKEN
        May have run.
    """

    OPEN = "open"
    RUNNING = "running"
    FINISHED = "finished"
    RELEASED = "released"
    BROKEN = "broken"


@dataclass(slots=True)
class KeyExecution:
    """A key that this process may run, or has run.

    Attributes
    ----------
    request : RequestId
        The request that runs under the key or ran last.
    claim : Offset or None
        The claim that gives the right; None under a ticket, or while the claim
        is on the way.
    after : Offset or None
        Offset of the claim that the claim on the way replaces.
    record : RecordId or None
        The claim's record id; None under a ticket.
    outcome : Outcome or None
        Kept for repetitions of the request.
    """

    state: KeyState
    request: RequestId
    fingerprint: str
    changed_at: float
    claim: Offset | None = None
    after: Offset | None = None
    record: RecordId | None = None
    outcome: Outcome | None = None
