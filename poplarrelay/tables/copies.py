"""Copies of deferred requests: those sent to peers, and those held for them."""

from __future__ import annotations

from dataclasses import dataclass, field

from poplarrelay.identifiers import Incarnation, NodeId
from poplarrelay.messages.gossip import RequestMessage

__all__ = ["HeldCopy", "SentCopy"]


@dataclass(slots=True)
class SentCopy:
    """Where the copy of one of this node's deferred requests is.

    Attributes
    ----------
    holder : NodeId or None
        The peer that holds it, or is asked to.
    waiting : bool
        Whether the peer's answer is awaited.
    failed : set of NodeId
        Peers that have not taken it since the last one that has.
    next_at : float
        Monotonic time of the next try, after all have failed.
    accepted : bool
        Whether the caller has been told that the request is accepted.
    ended, sending_ended : bool
        Whether the copy that is held, or on its way, has the outcome.
    published : bool
        Whether callers may be told the outcome.
    maybe_taken_over : bool
        Whether a peer may have taken the request over, since this node was taken for
        dead.
    """

    holder: NodeId | None = None
    waiting: bool = False
    failed: set[NodeId] = field(default_factory=set)
    next_at: float = 0.0
    accepted: bool = False
    ended: bool = False
    sending_ended: bool = False
    published: bool = False
    maybe_taken_over: bool = False


@dataclass(slots=True)
class HeldCopy:
    """A copy that this node holds for a peer.

    Attributes
    ----------
    home, incarnation, generation : NodeId, Incarnation, int
        The peer that runs the request.
    ruled_out : set of NodeId
        Peers that have nothing newer, as far as they were asked since the home went.
    asked : set of NodeId
        Peers whose answers are awaited.
    next_ask_at : float
        Monotonic time of the next question.
    """

    home: NodeId
    incarnation: Incarnation
    generation: int
    request: RequestMessage
    received_at: float
    ruled_out: set[NodeId] = field(default_factory=set)
    asked: set[NodeId] = field(default_factory=set)
    next_ask_at: float = 0.0
