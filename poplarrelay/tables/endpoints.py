"""Model engines and plain services, as this node knows them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from poplarrelay.identifiers import DomainId, EndpointId, RequestId

__all__ = ["Endpoint", "EndpointKind", "EndpointState", "LoadChange", "LoadReport"]


class EndpointKind(Enum):
    """What an endpoint serves."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(Enum):
    """Whether an endpoint takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says of its load; old when it arrives.

    Attributes
    ----------
    running, queued : int
        Requests in the batch and waiting for it.
    slots : int
        Requests that fit in the batch.
    queued_tokens : int
        Prompt tokens not yet computed.
    prefill_tokens_per_s : float
        Speed at which prompt tokens are computed.
    step_s : float
        Time between two tokens of one request.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    queued_tokens: int = 0
    prefill_tokens_per_s: float = 1.0
    step_s: float = 0.02


@dataclass(frozen=True, slots=True)
class LoadChange:
    """A request that this node sent to an endpoint, or that ended there.

    Attributes
    ----------
    requests : int
        1 or -1.
    tokens : int
        Prompt tokens that were added to compute.
    """

    at: float
    requests: int
    tokens: int = 0


@dataclass(slots=True)
class Endpoint:
    """An endpoint.

    Attributes
    ----------
    names : frozenset of str
        Models or services that it serves.
    price : float
        Price of its host per hour.
    leaving_at : float or None
        Monotonic time at which it goes, if it was announced.
    sent : dict of RequestId to int
        Running attempts of this node and the prompt tokens that each adds.
    polled_at, used_at : float
        Monotonic times of the last poll and of the last request sent.
    poll_jitter : float
        Factor on the interval of polls, so that nodes do not poll together.
    changes : deque of LoadChange
        What this node has changed and the last report does not show yet.
    failures, poll_failures : int
        Failed attempts and failed polls, each in a row.
    attempt_s : float
        Moving average of the time that an attempt takes.
    closed_until : float
        Monotonic time until which no work is sent after failures.
    prefixes : dict of str to float
        Prefixes sent here, and when.
    loaded : frozenset of str or None
        Models that the engine reports as loaded; None if it does not say.
    ordering : bool
        Whether an order is on its way.
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
    polling: bool = False
    sent: dict[RequestId, int] = field(default_factory=dict)
    changes: deque[LoadChange] = field(default_factory=deque)
    failures: int = 0
    poll_failures: int = 0
    attempt_s: float = 1.0
    closed_until: float = 0.0
    prefixes: dict[str, float] = field(default_factory=dict)
    loaded: frozenset[str] | None = None
    ordering: bool = False
    next_order_at: float = 0.0

    def note_sent(self, request: RequestId, tokens: int, now: float) -> None:
        """Note that a request was sent here, with prompt tokens to compute."""
        self.sent[request] = tokens
        self.used_at = now
        self.changes.append(LoadChange(now, 1, tokens))

    def note_ended(self, request: RequestId, now: float) -> None:
        """Note that a request has ended here, or has left."""
        if self.sent.pop(request, None) is not None:
            self.changes.append(LoadChange(now, -1))

    def note_report(self, report: LoadReport, now: float, lag_s: float) -> None:
        """Take a report, which shows the load as it was `lag_s` seconds ago."""
        self.report = report
        self.reported_at = now
        while self.changes and self.changes[0].at <= now - lag_s:
            self.changes.popleft()

    def serves(self, name: str) -> bool:
        """Return whether work for a model or service can be sent here."""
        names = self.names if self.loaded is None else self.loaded
        return name in names
