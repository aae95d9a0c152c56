"""Messages about requests and their attempts."""

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
    """A request arrived from a caller, or from a peer that forwards it.

    Attributes
    ----------
    token_sha256 : str
        SHA-256 of the bearer token; empty if a peer states the `team`.
    timeout_s : float or None
        Seconds from `received` to the caller's deadline, None if the caller set none.
    received : float
        Monotonic time at which the request's head was read.
    age_s : float
        Seconds that the request spent at another node before.
    owner_clock : float or None
        Set for a forwarded request; see `RequestMessage`.
    deferred : bool
        Whether the caller fetches the answer later by request id.
    forwarded : bool
        Whether a peer forwarded the request; it must not be forwarded again.
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
    owner_clock: float | None = None


class AttemptResult(Enum):
    """How an attempt ended.

    FINISHED
        The complete answer arrived.
    NOT_STARTED
        No byte reached the endpoint, or the endpoint refused before it started.
    BROKEN
        The answer was cut off, stalled or invalid after the first byte was sent.
    EXPIRED
        The deadline passed while the attempt ran.
    """

    FINISHED = "finished"
    NOT_STARTED = "not-started"
    BROKEN = "broken"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """An attempt's first token arrived, or a later count of its tokens is reported."""

    request: RequestId
    attempt: AttemptId
    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes
    ----------
    tokens : int
        Number of answer tokens received in all attempts of the request.
    answer : tuple of str
        All tokens of the answer if the attempt finished, else empty.
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
    """The caller closed its connection before the answer was complete."""

    request: RequestId
