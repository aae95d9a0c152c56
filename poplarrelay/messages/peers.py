"""What peers ask and answer."""

from __future__ import annotations

from dataclasses import dataclass

from poplarrelay.identifiers import NodeId, RequestId
from poplarrelay.messages.gossip import (
    CopyMessage,
    CopyQuery,
    CopyReply,
    CopyStatuses,
    HandoverMessage,
    HandoverReply,
    KeyQuery,
    KeyReply,
    ProbeMessage,
)
from poplarrelay.messages.questions import CallId
from poplarrelay.messages.records import SnapshotRecord

__all__ = [
    "AllPeersAnswered",
    "ConfigurationAsked",
    "ConfigurationReceived",
    "CopiesAnswered",
    "CopiesQueried",
    "CopyAnswered",
    "CopyReceived",
    "ForwardAnswered",
    "HandoverAnswered",
    "HandoverReceived",
    "KeyAnswered",
    "KeyQueried",
    "ProbeAnswered",
    "ProbeFailed",
    "ProbeReceived",
]


@dataclass(frozen=True, slots=True)
class ProbeReceived:
    """A peer's probe; the caller waits for a `ProbeMessage`."""

    call: CallId
    probe: ProbeMessage


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A peer answered a probe, directly or through another peer."""

    node: NodeId | None
    answer: ProbeMessage


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A peer did not answer a probe, nor did the peers asked to try."""

    node: NodeId | None


@dataclass(frozen=True, slots=True)
class KeyQueried:
    """A peer asks what became of a key."""

    call: CallId
    query: KeyQuery


@dataclass(frozen=True, slots=True)
class KeyAnswered:
    """The answer to a question about a key, None if the home is unreachable."""

    request: RequestId
    reply: KeyReply | None


@dataclass(frozen=True, slots=True)
class AllPeersAnswered:
    """All peers were asked about a key.

    Attributes
    ----------
    absent : bool
        Whether every peer answered that it knows nothing of the key.
    """

    request: RequestId
    absent: bool


@dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """A ticket's home ended a forwarded request.

    Attributes
    ----------
    reached : bool
        Whether the home answered at all.
    reply : KeyReply or None
        What it answered.
    """

    request: RequestId
    reached: bool
    reply: KeyReply | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationAsked:
    """A peer asks for all configuration in force."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """A peer's configuration in force."""

    snapshot: SnapshotRecord


@dataclass(frozen=True, slots=True)
class CopyReceived:
    """A peer gives a copy of a deferred request to keep."""

    call: CallId
    copy: CopyMessage


@dataclass(frozen=True, slots=True)
class CopyAnswered:
    """A peer answered whether it keeps a copy; None if it gave no answer."""

    request: RequestId
    reply: CopyReply | None


@dataclass(frozen=True, slots=True)
class CopiesQueried:
    """A peer asks what this node has of requests whose home is gone."""

    call: CallId
    query: CopyQuery


@dataclass(frozen=True, slots=True)
class CopiesAnswered:
    """A peer answered an inquiry; None if it gave no answer."""

    node: NodeId
    requests: tuple[RequestId, ...]
    reply: CopyStatuses | None


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """A leaving peer hands over."""

    call: CallId
    handover: HandoverMessage


@dataclass(frozen=True, slots=True)
class HandoverAnswered:
    """The successor's answer, None if it gave none."""

    node: NodeId
    id: str
    reply: HandoverReply | None
