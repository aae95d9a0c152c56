"""Records that nodes append to the platform's log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter, ValidationError

from poplarrelay.identifiers import Offset
from poplarrelay.settings import StrictModel

__all__ = [
    "ChangeRecord",
    "ClaimRecord",
    "LeaseRecord",
    "Record",
    "RecordValue",
    "SnapshotEntry",
    "SnapshotLease",
    "SnapshotRecord",
    "UnreadableRecord",
    "encode_record",
    "decode_record",
]


class ChangeRecord(StrictModel):
    """An operator's change of one template or deployment.

    Attributes
    ----------
    id : str
        Identifier that the writer chooses. An append with the same id is a retry.
    subject : str
        ``template/NAME`` or ``deployment/TEAM``.
    after : int or None
        Offset of the change that this one replaces, None for the first.
    body : dict or None
        The new value, None to remove it.
    """

    kind: Literal["change"] = "change"
    id: str
    subject: str = Field(pattern=r"^(template|deployment)/[A-Za-z0-9_-]+$")
    after: int | None
    body: dict[str, Any] | None


class SnapshotEntry(StrictModel):
    """State of one subject in a snapshot; `body` is None if it was removed."""

    subject: str
    offset: int
    body: dict[str, Any] | None


class SnapshotLease(StrictModel):
    """Lease of one duty in a snapshot."""

    duty: str
    offset: int
    record: str
    node: str
    incarnation: str
    term_s: float


class SnapshotRecord(StrictModel):
    """Snapshot of the configuration in force at one offset.

    Attributes
    ----------
    covers : int
        The snapshot includes the effect of every record below this offset and of no
        record at or above it.
    """

    kind: Literal["snapshot"] = "snapshot"
    id: str
    covers: int
    entries: tuple[SnapshotEntry, ...]
    leases: tuple[SnapshotLease, ...] = ()


class ClaimRecord(StrictModel):
    """A process claims the right to run an idempotency key.

    Attributes
    ----------
    after : int or None
        Offset of the released claim that this one replaces.
    """

    kind: Literal["claim"] = "claim"
    id: str
    team: str
    key: str
    node: str
    incarnation: str
    fingerprint: str
    after: int | None


class LeaseRecord(StrictModel):
    """A process takes, renews or releases the lease of a duty.

    Attributes
    ----------
    after : int or None
        Offset of the lease record that this one replaces.
    term_s : float
        Lease term in seconds; 0 releases the lease.
    """

    kind: Literal["lease"] = "lease"
    id: str
    duty: str
    node: str
    incarnation: str
    after: int | None
    term_s: float = Field(ge=0)


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that matches no known kind, written by another program."""

    problem: str


RecordValue = (
    ChangeRecord | SnapshotRecord | ClaimRecord | LeaseRecord | UnreadableRecord
)

_ADAPTER: TypeAdapter[Any] = TypeAdapter(
    Annotated[
        ChangeRecord | SnapshotRecord | ClaimRecord | LeaseRecord,
        Field(discriminator="kind"),
    ]
)


@dataclass(frozen=True, slots=True)
class Record:
    """A record and its offset in the stream."""

    offset: Offset
    value: RecordValue


def decode_record(offset: int, value: Any) -> Record:
    """Return the typed record for a decoded JSON value.

    Notes
    -----
    An invalid record must not stop the fold on one node and pass on another. It
    becomes an `UnreadableRecord`, which the folds of all nodes ignore.
    """
    try:
        return Record(Offset(offset), _ADAPTER.validate_python(value))
    except ValidationError as error:
        problem = f"{error.error_count()} faults"
        return Record(Offset(offset), UnreadableRecord(problem))


def encode_record(value: RecordValue) -> dict[str, Any]:
    """Return the JSON form of a record's value."""
    if isinstance(value, UnreadableRecord):
        return {"kind": "unreadable"}
    return value.model_dump(mode="json")
