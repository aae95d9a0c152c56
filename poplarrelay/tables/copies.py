"""Copies of deferred requests: copies sent to peers, and copies held for peers."""

from __future__ import annotations

from dataclasses import dataclass, field

from poplarrelay.identifiers import Incarnation, NodeId
from poplarrelay.messages.gossip import RequestMessage

__all__ = ["HeldCopy", "SentCopy"]


@dataclass(slots=True)
class SentCopy:
    """State of the copy of one of this node's deferred requests.

    Attributes
    ----------
    holder : NodeId or None
        The peer that holds the copy, or to which the copy is in flight.
    in_flight : bool
        Whether the reply of `holder` is outstanding.
    failed : set of NodeId
        Peers that have not stored the copy since a peer last stored it.
    next_attempt_at : float
        Monotonic time of the next attempt after no peer has stored the copy.
    accepted : bool
        Whether the caller has been sent the acceptance of the request.
    ended : bool
        Whether the copy at `holder` contains the outcome.
    sending_ended : bool
        Whether the copy in flight contains the outcome.
    published : bool
        Whether the outcome can be returned to callers.
    maybe_taken_over : bool
        Whether a peer may have taken over the request, because peers declared this
        node dead.
    """

    holder: NodeId | None = None
    in_flight: bool = False
    failed: set[NodeId] = field(default_factory=set)
    next_attempt_at: float = 0.0
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
    owner : NodeId
        The peer that runs the request.
    incarnation : Incarnation
        The run of the owner's process that runs the request.
    generation : int
        Orders the incarnations of the owner.
    received_at : float
        Monotonic time at which the copy was received.
    ruled_out : set of NodeId
        Peers that have replied, since the owner is gone, that they have no newer copy.
    queried : set of NodeId
        Peers whose replies are outstanding.
    next_query_at : float
        Monotonic time of the next query.
    """

    owner: NodeId
    incarnation: Incarnation
    generation: int
    request: RequestMessage
    received_at: float
    ruled_out: set[NodeId] = field(default_factory=set)
    queried: set[NodeId] = field(default_factory=set)
    next_query_at: float = 0.0
