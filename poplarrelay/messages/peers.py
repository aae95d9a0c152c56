"""Messages about requests and replies of peers."""

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
    "ConfigurationRequested",
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
    """A probe arrived from a peer, which waits for a `ProbeMessage` as reply."""

    call: CallId
    probe: ProbeMessage


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A peer answered a probe, directly or through another peer."""

    node: NodeId | None
    answer: ProbeMessage


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A peer did not answer a probe, neither directly nor through other peers."""

    node: NodeId | None


@dataclass(frozen=True, slots=True)
class KeyQueried:
    """A peer requests the state of a key."""

    call: CallId
    query: KeyQuery


@dataclass(frozen=True, slots=True)
class KeyAnswered:
    """A key's holder replied to a query; `reply` is None if it is unreachable."""

    request: RequestId
    reply: KeyReply | None


@dataclass(frozen=True, slots=True)
class AllPeersAnswered:
    """A query about a key was sent to all peers.

    Attributes
    ----------
    absent : bool
        Whether every peer answered that it does not have the key.
    """

    request: RequestId
    absent: bool


@dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """Forwarding a request to its ticket's owner ended.

    Attributes
    ----------
    reached : bool
        Whether the owner replied.
    reply : KeyReply or None
        The owner's reply.
    """

    request: RequestId
    reached: bool
    reply: KeyReply | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationRequested:
    """A peer requests all configuration in force."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """A peer sent its configuration in force."""

    snapshot: SnapshotRecord


@dataclass(frozen=True, slots=True)
class CopyReceived:
    """A peer sent a copy of a deferred request to store."""

    call: CallId
    copy: CopyMessage


@dataclass(frozen=True, slots=True)
class CopyAnswered:
    """Storing a copy at a peer ended; `reply` is None if the peer did not reply."""

    request: RequestId
    reply: CopyReply | None


@dataclass(frozen=True, slots=True)
class CopiesQueried:
    """A peer requests this node's state of requests whose owner has failed."""

    call: CallId
    query: CopyQuery


@dataclass(frozen=True, slots=True)
class CopiesAnswered:
    """A query for copies ended; `reply` is None if the peer did not reply."""

    node: NodeId
    requests: tuple[RequestId, ...]
    reply: CopyStatuses | None


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """A leaving peer sent a handover."""

    call: CallId
    handover: HandoverMessage


@dataclass(frozen=True, slots=True)
class HandoverAnswered:
    """A handover was sent; `reply` is None if the successor did not reply."""

    node: NodeId
    id: str
    reply: HandoverReply | None
