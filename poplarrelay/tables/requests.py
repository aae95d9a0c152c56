"""Requests that a node has taken, from arrival to outcome."""

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
        """Return the order of service, 0 first."""
        return _RANKS[self]


_RANKS = {RequestClass.URGENT: 0, RequestClass.STANDARD: 1, RequestClass.PATIENT: 2}


class RequestState(Enum):
    """Where a request stands.

    RECEIVED
        Admitted, its right to run not yet settled.
    CLAIMING
        Its claim is on the way to the log.
    ASKING
        Another node holds the claim or ticket and has been asked.
    VERIFYING
        The log is out of reach; the peers have been asked whether any holds the key.
    JOINED
        The same key runs here already; waits for that request's outcome.
    QUEUED
        May run, waits for an endpoint.
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
    """What kind of endpoint runs the work."""

    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Work:
    """What is to be run.

    Attributes
    ----------
    name : str
        Model or service.
    method, path, content_type, body
        The HTTP call of a plain service; `body` is empty for completions.
    prompt : str
        The prompt of a completion.
    max_tokens : int
        Longest answer of a completion.
    resume_from : int
        Token index at which the caller wants the stream to start.
    prompt_tokens : int
        Estimate of the prompt's length in tokens.
    prefix : str
        Digest of the head of the prompt, for affinity.
    repeatable : bool
        Whether running it twice does no harm.
    fingerprint : str
        Digest of everything above, to tell two requests under one key apart.
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
    """One try to run a request at one endpoint.

    Attributes
    ----------
    resume_from : int
        Index of the first token that is still wanted.
    deadline : float
        Monotonic time after which the answer is of no use.
    recomputed : int
        Tokens known by now that the endpoint computes again.
    """

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    address: str
    resume_from: int
    deadline: float
    recomputed: int = 0


class MoveMethod(Enum):
    """How an attempt leaves an endpoint."""

    FINISH = "finish"
    MOVE_CACHE = "move-cache"
    RECOMPUTE = "recompute"


@dataclass(frozen=True, slots=True)
class MovePlan:
    """Order to continue a running attempt elsewhere."""

    way: MoveMethod
    successor: Attempt


@dataclass(slots=True)
class Request:
    """A request that this node has taken.

    Attributes
    ----------
    deadline, arrived : float
        Monotonic times.
    key : IdempotencyKey or None
        The caller's key; None if the work is repeatable or has no key.
    home_clock : float or None
        For a forwarded request, this node's own clock as its sender knew it.
    tokens : int
        Answer tokens received so far.
    tried : list of EndpointId
        Endpoints of attempts that failed, not to be chosen again.
    dispatched_at : float or None
        When the last attempt was sent.
    started : bool
        Whether an attempt may have begun at an endpoint.
    copies : int
        Copies of a deferred request that have been sent to peers, by all its homes.
    """

    id: RequestId
    team: TeamId
    work: Work
    request_class: RequestClass
    arrived: float
    deadline: float
    first_token_s: float
    key: IdempotencyKey | None = None
    home_clock: float | None = None
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
