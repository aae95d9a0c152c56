"""Model engines and plain services, with the state that this node has of them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from poplarrelay.identifiers import DomainId, EndpointId, RequestId

__all__ = ["Endpoint", "EndpointKind", "EndpointState", "LoadChange", "LoadReport"]


class EndpointKind(Enum):
    """The kind of work that an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(Enum):
    """Whether an endpoint accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint reports; it is already out of date when it arrives.

    Attributes
    ----------
    running, queued : int
        Numbers of requests in the batch and waiting for it.
    slots : int
        Most requests in the batch.
    queued_tokens : int
        Prompt tokens that still need prefill.
    prefill_tokens_per_s : float
        Rate of prefill.
    step_s : float
        Time between two tokens of one request, in seconds.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    queued_tokens: int = 0
    prefill_tokens_per_s: float = 1.0
    step_s: float = 0.02


@dataclass(frozen=True, slots=True)
class LoadChange:
    """A change of an endpoint's load that this node has caused.

    Attributes
    ----------
    at : float
        Monotonic time of the change.
    requests : int
        1 if a request was sent, -1 if one ended.
    tokens : int
        Prompt tokens that the request adds to the endpoint's prefill.
    """

    at: float
    requests: int
    tokens: int = 0


@dataclass(slots=True)
class Endpoint:
    """An endpoint, with this node's state of it.

    Attributes
    ----------
    names : frozenset of str
        Models or services that the endpoint serves.
    price : float
        Price of its host per hour.
    leaving_at : float or None
        Monotonic time at which the endpoint leaves, if that was announced.
    running_attempts : dict of RequestId to int
        Attempts that this node has running at the endpoint, with the prompt tokens
        that each adds.
    polled_at, used_at : float
        Monotonic times of the last poll and of the last request sent.
    poll_jitter : float
        Factor on the poll interval, so that nodes do not poll at the same time.
    changes : deque of LoadChange
        Changes by this node that the last report does not include yet.
    failures, poll_failures : int
        Numbers of consecutive failed attempts and of consecutive failed polls.
    attempt_s : float
        Moving average of the duration of an attempt, in seconds.
    closed_until : float
        Monotonic time until which no work is sent after failures.
    prefixes : dict of str to float
        Prompt prefixes sent to the endpoint, with the monotonic time of each.
    loaded : frozenset of str or None
        Models that the engine reports as loaded; None if it does not report them.
    order_in_flight : bool
        Whether an order to the engine is in flight.
    """

    id: EndpointId
    kind: EndpointKind
    address: str
    domain: DomainId
    names: frozenset[str]
    price: float
    reclaimable: bool = True
    checks_fencing: bool = False
    state: EndpointState = EndpointState.LIVE
    leaving_at: float | None = None
    listed: bool = True
    report: LoadReport | None = None
    reported_at: float | None = None
    polled_at: float = float("-inf")
    poll_jitter: float = 1.0
    used_at: float = float("-inf")
    poll_in_flight: bool = False
    running_attempts: dict[RequestId, int] = field(default_factory=dict)
    changes: deque[LoadChange] = field(default_factory=deque)
    failures: int = 0
    poll_failures: int = 0
    attempt_s: float = 1.0
    closed_until: float = 0.0
    prefixes: dict[str, float] = field(default_factory=dict)
    loaded: frozenset[str] | None = None
    order_in_flight: bool = False
    next_order_at: float = 0.0

    def note_sent(self, request: RequestId, tokens: int, now: float) -> None:
        """Record a request sent to this endpoint, with its prompt tokens."""
        self.running_attempts[request] = tokens
        self.used_at = now
        self.changes.append(LoadChange(now, 1, tokens))

    def note_ended(self, request: RequestId, now: float) -> None:
        """Record that a request has ended at this endpoint or moved to another one."""
        if self.running_attempts.pop(request, None) is not None:
            self.changes.append(LoadChange(now, -1))

    def note_report(self, report: LoadReport, now: float, lag_s: float) -> None:
        """Store a report, which shows the load as it was `lag_s` seconds ago."""
        self.report = report
        self.reported_at = now
        while self.changes and self.changes[0].at <= now - lag_s:
            self.changes.popleft()

    def serves(self, name: str) -> bool:
        """Return whether this endpoint can run work for a model or service."""
        names = self.names if self.loaded is None else self.loaded
        return name in names
