"""Typed effects that the systems issue and I/O threads execute."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.exception import CallerError
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    NodeId,
    Offset,
    RequestId,
    StreamName,
    TeamId,
)
from poplarrelay.messages.gossip import (
    CopyMessage,
    CopyQuery,
    HandoverMessage,
    KeyQuery,
    ProbeMessage,
    RequestMessage,
)
from poplarrelay.messages.questions import CallId
from poplarrelay.messages.records import RecordValue
from poplarrelay.outcomes import Outcome
from poplarrelay.tables.requests import Attempt, MovePlan, Work

__all__ = [
    "AcceptDeferred",
    "AppendRecord",
    "Decision",
    "Effect",
    "EndRequest",
    "FetchConfiguration",
    "ForwardRequest",
    "IncrementCounter",
    "ListHosts",
    "ListStartedHosts",
    "LogDecision",
    "Metric",
    "MoveAttempt",
    "ObserveValue",
    "PollLoad",
    "ProbePeer",
    "QueryAllPeers",
    "QueryCopies",
    "QueryKey",
    "RejectRequest",
    "Reply",
    "RunAttempt",
    "SendGossip",
    "SendHandover",
    "SendModelOrder",
    "StartHost",
    "StopHost",
    "StopProcess",
    "StoreCopy",
]


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """Run an attempt.

    Attributes
    ----------
    deferred : bool
        Whether the request is deferred. No caller's thread waits for the attempt, so
        a thread of the node's pool runs it.
    keyed : bool
        Whether the outcome belongs to an idempotency key. The tick thread then
        records the outcome before the caller receives it.
    """

    attempt: Attempt
    work: Work
    team: TeamId
    priority: int
    deferred: bool = False
    keyed: bool = False


@dataclass(frozen=True, slots=True)
class MoveAttempt:
    """Continue a running attempt at another endpoint."""

    request: RequestId
    plan: MovePlan


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Send the request's final outcome to the waiting thread.

    Attributes
    ----------
    deferred : bool
        Whether the caller waits only for the acceptance of the request and fetches the
        outcome later. Only the thread that runs the request receives the outcome now.
    """

    request: RequestId
    outcome: Outcome
    deferred: bool = False


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Notify the waiting thread that the request is not acceptable."""

    request: RequestId
    error: CallerError


@dataclass(frozen=True, slots=True)
class AcceptDeferred:
    """Notify the waiting thread that the caller can fetch the answer later by id."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to the thread that waits for a call."""

    call: CallId
    value: object


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record, in one batch with other records queued for the same stream.

    Attributes
    ----------
    expires_at : float
        Monotonic time after which the append is not sent.
    """

    stream: StreamName
    value: RecordValue
    expires_at: float


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Request all configuration in force from a peer."""

    peer: str


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Request the platform's host list."""


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Request an endpoint's load report."""

    endpoint: EndpointId
    address: str


@dataclass(frozen=True, slots=True)
class SendModelOrder:
    """Order an engine to have exactly these models loaded.

    Attributes
    ----------
    fencing : Offset
        Fencing token of the lease under which the order is issued.
    expires_at : float
        Monotonic time after which the order must not be sent.
    """

    endpoint: EndpointId
    address: str
    fencing: Offset
    holder: NodeId
    models: tuple[str, ...]
    expires_at: float


@dataclass(frozen=True, slots=True)
class ListStartedHosts:
    """Request the list of hosts that the cloud API has started."""


@dataclass(frozen=True, slots=True)
class StartHost:
    """Start a host; a repeated token does not start a second host.

    Attributes
    ----------
    expires_at : float
        Monotonic time after which the order must not be sent.
    """

    token: str
    model: str
    machine_class: str
    domain: DomainId
    expires_at: float


@dataclass(frozen=True, slots=True)
class StopHost:
    """Stop a host after a reclaim notice to the endpoint on it."""

    token: str
    grace_s: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class ProbePeer:
    """Probe a peer directly, then through other peers if it does not answer.

    Attributes
    ----------
    node : NodeId or None
        The probed node, None for a seed whose name is not known yet.
    helpers : tuple of str
        Addresses of the peers that relay the probe.
    """

    node: NodeId | None
    peer: str
    message: ProbeMessage
    helpers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send gossip to peers immediately, without waiting for the next probe round."""

    peers: tuple[str, ...]
    message: ProbeMessage


@dataclass(frozen=True, slots=True)
class QueryKey:
    """Request the state of a key from the process that holds it."""

    request: RequestId
    peer: str
    query: KeyQuery


@dataclass(frozen=True, slots=True)
class QueryAllPeers:
    """Ask all peers whether one of them has a key."""

    request: RequestId
    peers: tuple[str, ...]
    query: KeyQuery


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Forward a request to the owner that its ticket names."""

    request: RequestId
    peer: str
    incarnation: str
    message: RequestMessage
    timeout_s: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Send a copy of a deferred request to a peer that stores it."""

    request: RequestId
    peer: str
    message: CopyMessage


@dataclass(frozen=True, slots=True)
class QueryCopies:
    """Ask a peer for its state of requests whose owner has failed."""

    node: NodeId
    peer: str
    query: CopyQuery


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Send a handover to the successor of this node."""

    node: NodeId
    peer: str
    message: HandoverMessage


@dataclass(frozen=True, slots=True)
class StopProcess:
    """End the process.

    Attributes
    ----------
    clean : bool
        Whether no request was interrupted and no state was left without a handover.
    """

    clean: bool


class Decision(Enum):
    """Kinds of decisions that are logged."""

    ADMIT = "admit"
    CLAIM = "claim"
    CONFIGURATION = "configuration"
    DEFER = "defer"
    DRAIN = "drain"
    END = "end"
    ENDPOINT = "endpoint"
    HANDOVER = "handover"
    LEASE = "lease"
    MEMBER = "member"
    MOVE = "move"
    PLACEMENT = "placement"
    RETRY = "retry"
    ROUTE = "route"


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision; the fields never contain a token, prompt or answer.

    Attributes
    ----------
    fields : tuple of (str, value)
        Subject of the decision and its reason.
    """

    decision: Decision
    fields: tuple[tuple[str, str | int | float | bool | None], ...]


class Metric(Enum):
    """Counters and histograms that the systems update."""

    ACCEPTED = "requests_accepted"
    OUTCOMES = "request_outcomes"
    ATTEMPTS = "attempts"
    RETRIES = "retries"
    MOVES = "moves"
    RECOMPUTED = "recomputed_tokens"
    LATE = "late_answers"
    FIRST_TOKEN = "first_token_seconds"
    REJECTED = "requests_rejected"


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a counter."""

    metric: Metric
    amount: float = 1.0
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ObserveValue:
    """Add a value to a histogram."""

    metric: Metric
    value: float
    labels: tuple[tuple[str, str], ...] = ()


Effect = (
    RunAttempt
    | MoveAttempt
    | EndRequest
    | RejectRequest
    | AcceptDeferred
    | Reply
    | AppendRecord
    | FetchConfiguration
    | ListHosts
    | PollLoad
    | SendModelOrder
    | ListStartedHosts
    | StartHost
    | StopHost
    | ProbePeer
    | SendGossip
    | QueryKey
    | QueryAllPeers
    | ForwardRequest
    | StoreCopy
    | QueryCopies
    | SendHandover
    | StopProcess
    | LogDecision
    | IncrementCounter
    | ObserveValue
)
