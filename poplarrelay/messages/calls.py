"""Facts about requests and their attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import AttemptId, IdempotencyKey, RequestId, TeamId
from poplarrelay.outcomes import NO_USAGE, ServiceAnswer, Usage
from poplarrelay.tables.requests import RequestClass, Work

__all__ = [
    "AttemptEnded",
    "AttemptProgressed",
    "AttemptResult",
    "CallerDisconnected",
    "RequestArrived",
]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller, or a node on a caller's behalf, brings a request.

    Attributes
    ----------
    token_sha256 : str
        Digest of the bearer token; empty if `team` is given by a peer.
    timeout_s : float or None
        The caller's own deadline, counted from `received`.
    received : float
        Monotonic time at which the request's head was read.
    age_s : float
        Seconds that it spent at another node before.
    home_clock : float or None
        For a forwarded request, see `RequestMessage`.
    deferred : bool
        The caller will fetch the answer by id later.
    forwarded : bool
        Sent on by a peer, so it must not be sent on again.
    """

    id: RequestId
    token_sha256: str
    work: Work
    request_class: RequestClass
    timeout_s: float | None
    received: float
    key: IdempotencyKey | None = None
    deferred: bool = False
    forwarded: bool = False
    team: TeamId | None = None
    age_s: float = 0.0
    home_clock: float | None = None


class AttemptResult(Enum):
    """How an attempt ended.

    FINISHED
        With its whole answer.
    NOT_STARTED
        No byte reached the endpoint, or it refused before starting.
    BROKEN
        Cut, stalled or faulty after the first byte went out.
    EXPIRED
        The deadline passed while it ran.
    """

    FINISHED = "finished"
    NOT_STARTED = "not-started"
    BROKEN = "broken"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """The first token of an attempt, or a later count of its tokens."""

    request: RequestId
    attempt: AttemptId
    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over.

    Attributes
    ----------
    tokens : int
        Answer tokens received over all attempts of the request.
    answer : tuple of str
        All tokens of the answer, if finished.
    """

    request: RequestId
    attempt: AttemptId
    result: AttemptResult
    tokens: int = 0
    answer: tuple[str, ...] = ()
    service: ServiceAnswer | None = None
    usage: Usage = NO_USAGE


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the answer was whole."""

    request: RequestId
