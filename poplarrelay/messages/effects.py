"""What the systems order: typed effects, carried out by I/O threads."""

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
        No caller's thread waits for it; one of the node's own runs it.
    keyed : bool
        The outcome belongs to a key, so the tick thread settles it before the
        caller is told.
    """

    attempt: Attempt
    work: Work
    team: TeamId
    urgency: int
    deferred: bool = False
    keyed: bool = False


@dataclass(frozen=True, slots=True)
class MoveAttempt:
    """Continue a running attempt elsewhere."""

    request: RequestId
    plan: MovePlan


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Give the waiting thread the request's final outcome.

    Attributes
    ----------
    deferred : bool
        The caller waits to hear that the request is accepted, and fetches the
        outcome later; only a thread that runs the request hears of it now.
    """

    request: RequestId
    outcome: Outcome
    deferred: bool = False


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Tell the waiting thread that the request is not acceptable."""

    request: RequestId
    error: CallerError


@dataclass(frozen=True, slots=True)
class AcceptDeferred:
    """Tell the waiting thread that the answer can be fetched by id later."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a thread that waits for a call."""

    call: CallId
    value: object


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record, together with others that wait for the same stream.

    Attributes
    ----------
    until : float
        Monotonic time after which the append is of no use.
    """

    stream: StreamName
    value: RecordValue
    until: float


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Read all configuration in force from a peer."""

    peer: str


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Read the platform's host list."""


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Read an endpoint's load report."""

    endpoint: EndpointId
    address: str


@dataclass(frozen=True, slots=True)
class SendModelOrder:
    """Order an engine to have just these models loaded.

    Attributes
    ----------
    fencing : Offset
        Fencing number of the lease under which the order is given.
    expires_at : float
        Monotonic time after which it must not be sent.
    """

    endpoint: EndpointId
    address: str
    fencing: Offset
    holder: NodeId
    models: tuple[str, ...]
    expires_at: float


@dataclass(frozen=True, slots=True)
class ListStartedHosts:
    """Read the hosts that the cloud API has started."""


@dataclass(frozen=True, slots=True)
class StartHost:
    """Start a host; the same token never starts a second one.

    Attributes
    ----------
    expires_at : float
        Monotonic time after which it must not be sent.
    """

    token: str
    model: str
    machine_class: str
    domain: DomainId
    expires_at: float


@dataclass(frozen=True, slots=True)
class StopHost:
    """Stop a host, with a notice to what runs there."""

    token: str
    grace_s: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class ProbePeer:
    """Probe a peer, and through others if it does not answer.

    Attributes
    ----------
    node : NodeId or None
        None for a seed whose name is not known yet.
    helpers : tuple of str
        Peers to try through.
    """

    node: NodeId | None
    peer: str
    message: ProbeMessage
    helpers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send news to peers at once, without waiting for a round of probes."""

    peers: tuple[str, ...]
    message: ProbeMessage


@dataclass(frozen=True, slots=True)
class QueryKey:
    """Ask the process that holds a key what became of it."""

    request: RequestId
    peer: str
    query: KeyQuery


@dataclass(frozen=True, slots=True)
class QueryAllPeers:
    """Ask all peers whether any knows a key."""

    request: RequestId
    peers: tuple[str, ...]
    query: KeyQuery


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Send a request to the home that its ticket names."""

    request: RequestId
    peer: str
    incarnation: str
    stored: RequestMessage
    timeout_s: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Give a peer a copy of a deferred request to keep."""

    request: RequestId
    peer: str
    message: CopyMessage


@dataclass(frozen=True, slots=True)
class QueryCopies:
    """Ask a peer what it has of requests whose home is gone."""

    node: NodeId
    peer: str
    query: CopyQuery


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Hand over to a successor."""

    node: NodeId
    peer: str
    message: HandoverMessage


@dataclass(frozen=True, slots=True)
class StopProcess:
    """End the process.

    Attributes
    ----------
    clean : bool
        Whether nothing was cut off.
    """

    clean: bool


class Decision(Enum):
    """Kinds of decisions that get a log line."""

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
    """A decision for the log; never with a token, prompt or answer.

    Attributes
    ----------
    fields : tuple of (str, value)
        What the decision was about and why.
    """

    decision: Decision
    fields: tuple[tuple[str, str | int | float | bool | None], ...]


class Metric(Enum):
    """Counters and histograms that the systems feed."""

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
