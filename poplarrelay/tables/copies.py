"""Copies of deferred requests: those sent to peers, and those held for them."""

from __future__ import annotations

from dataclasses import dataclass

from poplarrelay.identifiers import NodeId
from poplarrelay.messages.gossip import StoredRequest

__all__ = ["HeldCopy", "SentCopy"]


@dataclass(slots=True)
class SentCopy:
    """Where the copy of one of this node's deferred requests is.

    Attributes
    ----------
    holder : NodeId or None
        The peer that holds it.
    waiting : bool
        Whether the peer's answer is awaited.
    accepted : bool
        Whether the caller has been told that the request is accepted.
    ended, sending_ended : bool
        Whether the copy that is held, or on its way, has the outcome.
    """

    holder: NodeId | None = None
    waiting: bool = False
    tries: int = 0
    next_at: float = 0.0
    accepted: bool = False
    ended: bool = False
    sending_ended: bool = False


@dataclass(frozen=True, slots=True)
class HeldCopy:
    """A copy that this node holds for a peer."""

    home: NodeId
    incarnation: str
    request: StoredRequest
    received_at: float
