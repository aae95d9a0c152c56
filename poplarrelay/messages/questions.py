"""What callers and operators ask."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from poplarrelay.identifiers import Offset, RequestId, TeamId

__all__ = [
    "AddressesAsked",
    "CallId",
    "ChangeAsked",
    "HistoryAsked",
    "LookupAsked",
    "ShutdownAsked",
    "StatusAsked",
]

#: Names the thread that waits for a reply.
CallId = NewType("CallId", int)


@dataclass(frozen=True, slots=True)
class AddressesAsked:
    """A caller asks which nodes to use."""

    call: CallId
    token_sha256: str


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """An operator asks for the node's view."""

    call: CallId


@dataclass(frozen=True, slots=True)
class HistoryAsked:
    """An operator asks for the newest changes."""

    call: CallId


@dataclass(frozen=True, slots=True)
class LookupAsked:
    """A caller asks for a deferred request.

    Attributes
    ----------
    forwarded : bool
        Asked by a peer.
    """

    call: CallId
    token_sha256: str
    id: RequestId
    team: TeamId | None = None
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class ChangeAsked:
    """An operator publishes a change.

    Attributes
    ----------
    after : int or None
        Offset that the operator has seen in force; None means that the change
        replaces whatever is in force at its position in the log.
    checked : bool
        Whether `after` was given.
    """

    call: CallId
    subject: str
    body: dict[str, object] | None
    after: Offset | None
    checked: bool


@dataclass(frozen=True, slots=True)
class ShutdownAsked:
    """The node is to leave.

    Attributes
    ----------
    within_s : float
        Seconds until the process must have ended.
    """

    within_s: float
