"""Requests of callers and operators to the tick thread."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from poplarrelay.identifiers import Offset, RequestId, TeamId

__all__ = [
    "AddressesRequested",
    "CallId",
    "ChangeRequested",
    "HistoryRequested",
    "LookupRequested",
    "ShutdownRequested",
    "StatusRequested",
]

#: Identifier of a call whose thread waits for a reply.
CallId = NewType("CallId", int)


@dataclass(frozen=True, slots=True)
class AddressesRequested:
    """A caller requests the addresses of nodes to use."""

    call: CallId
    token_sha256: str


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """An operator requests the status that this node sees."""

    call: CallId


@dataclass(frozen=True, slots=True)
class HistoryRequested:
    """An operator requests the newest configuration changes."""

    call: CallId


@dataclass(frozen=True, slots=True)
class LookupRequested:
    """A caller requests the state of a deferred request.

    Attributes
    ----------
    forwarded : bool
        Whether a peer forwarded the lookup.
    """

    call: CallId
    token_sha256: str
    id: RequestId
    team: TeamId | None = None
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator publishes a configuration change.

    Attributes
    ----------
    after : int or None
        Log offset of the change that the operator has seen in force, None for none.
    check_after : bool
        Whether the operator stated `after`. If not, the change replaces the one that
        is in force at its position in the log.
    """

    call: CallId
    subject: str
    body: dict[str, object] | None
    after: Offset | None
    check_after: bool


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """An operator or a signal requests that the node leaves.

    Attributes
    ----------
    within_s : float
        Seconds within which the process must end.
    """

    within_s: float
