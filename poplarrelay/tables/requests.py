"""Requests that a node has received, from arrival to outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from poplarrelay.identifiers import (
    AttemptId,
    EndpointId,
    IdempotencyKey,
    RequestId,
    TeamId,
)
from poplarrelay.outcomes import Outcome

__all__ = [
    "Attempt",
    "MoveMethod",
    "MovePlan",
    "Request",
    "RequestClass",
    "RequestState",
    "Work",
    "WorkKind",
]


class RequestClass(Enum):
    """How soon a caller needs the answer."""

    URGENT = "urgent"
    STANDARD = "standard"
    PATIENT = "patient"

    @property
    def rank(self) -> int:
        """Return the rank of the class; rank 0 is served first."""
        return _RANKS[self]


_RANKS = {RequestClass.URGENT: 0, RequestClass.STANDARD: 1, RequestClass.PATIENT: 2}


class RequestState(Enum):
    """State of a request.

    RECEIVED
        Admitted; it is not yet decided which node can run it.
    CLAIMING
        Its claim is in flight to the log.
    ASKING
        Another node holds the claim or ticket; the request to that node is in flight.
    VERIFYING
        The log is unreachable; all peers have been queried for the key.
    JOINED
        Another request with the same key is in progress at this node; this one waits
        for its outcome.
    QUEUED
        Can run, and waits for an endpoint.
    DISPATCHED
        An attempt is running.
    ENDED
        Has its outcome.
    """

    RECEIVED = "received"
    CLAIMING = "claiming"
    ASKING = "asking"
    VERIFYING = "verifying"
    JOINED = "joined"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ENDED = "ended"


class WorkKind(Enum):
    """Whether the work is a completion or a call of a plain service."""

    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Work:
    """The work of a request.

    Attributes
    ----------
    name : str
        Model or service.
    method, path, content_type, body
        The HTTP call of a plain service; `body` is empty for completions.
    prompt : str
        The prompt of a completion.
    max_tokens : int
        Most tokens in the answer of a completion.
    resume_from : int
        Index of the first token of the stream that the caller asks for.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    prefix : str
        Digest of the start of the prompt, for affinity.
    repeatable : bool
        Whether the work can safely run twice.
    fingerprint : str
        Digest of all fields above, to detect a key that is reused for other work.
    """

    kind: WorkKind
    name: str
    method: str = "POST"
    path: str = ""
    content_type: str = ""
    body: bytes = b""
    prompt: str = ""
    max_tokens: int = 0
    resume_from: int = 0
    prompt_tokens: int = 0
    prefix: str = ""
    repeatable: bool = True
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request at one endpoint.

    Attributes
    ----------
    resume_from : int
        Index of the first token that the attempt still has to produce.
    deadline : float
        Monotonic time after which the answer is of no use to the caller.
    recomputed : int
        Recomputed tokens: tokens already received that the endpoint computes again.
    """

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    address: str
    resume_from: int
    deadline: float
    recomputed: int = 0


class MoveMethod(Enum):
    """How a running request is moved from its endpoint to another one."""

    FINISH = "finish"
    MOVE_CACHE = "move-cache"
    RECOMPUTE = "recompute"


@dataclass(frozen=True, slots=True)
class MovePlan:
    """Plan to continue a running request at another endpoint."""

    method: MoveMethod
    successor: Attempt


@dataclass(slots=True)
class Request:
    """A request that this node has received.

    Attributes
    ----------
    arrived, deadline : float
        Monotonic times of arrival and of the deadline.
    first_token_s : float
        Target for the time to the first token, in seconds.
    key : IdempotencyKey or None
        The caller's key; None if the work is repeatable or has no key.
    owner_clock : float or None
        For a forwarded request, the newest time of this node's clock that the sender
        had received, in seconds since this node's start.
    copies : int
        Number of copies of a deferred request sent to peers so far, by its present
        and former owners.
    started : bool
        Whether an attempt may have started at an endpoint.
    tokens : int
        Answer tokens received so far.
    tried : list of EndpointId
        Endpoints of failed attempts, not to be chosen again.
    claim_until : float
        Monotonic time at which this node stops waiting for the claim.
    dispatched_at : float or None
        Monotonic time at which the last attempt was sent.
    """

    id: RequestId
    team: TeamId
    work: Work
    request_class: RequestClass
    arrived: float
    deadline: float
    first_token_s: float
    key: IdempotencyKey | None = None
    owner_clock: float | None = None
    deferred: bool = False
    copies: int = 0
    state: RequestState = RequestState.RECEIVED
    attempt: Attempt | None = None
    attempts: int = 0
    started: bool = False
    tokens: int = 0
    first_token_at: float | None = None
    tried: list[EndpointId] = field(default_factory=list)
    claim_until: float = 0.0
    dispatched_at: float | None = None
    outcome: Outcome | None = None
    ended_at: float | None = None
