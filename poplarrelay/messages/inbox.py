"""What the systems take in: facts from I/O threads."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NewType, TypeVar, cast

from poplarrelay.identifiers import (
    AttemptId,
    DomainId,
    EndpointId,
    IdempotencyKey,
    NodeId,
    Offset,
    RequestId,
    StreamName,
    TeamId,
)
from poplarrelay.messages.gossip import (
    HandoverMessage,
    HandoverReply,
    KeyQuestion,
    KeyReply,
    ProbeMessage,
)
from poplarrelay.messages.records import Record, SnapshotRecord
from poplarrelay.outcomes import NO_USAGE, ServiceAnswer, Usage
from poplarrelay.tables.endpoints import EndpointKind, LoadReport
from poplarrelay.tables.requests import RequestClass, Work

__all__ = [
    "AddressesAsked",
    "AttemptEnded",
    "AttemptProgressed",
    "AttemptResult",
    "CallId",
    "CallerGone",
    "ChangeAsked",
    "ConfigurationAsked",
    "ConfigurationReceived",
    "ForwardAnswered",
    "HandoverAnswered",
    "HandoverReceived",
    "HistoryAsked",
    "HostRow",
    "HostsListed",
    "Inbox",
    "KeyAnswered",
    "KeyAsked",
    "LoadFailed",
    "LoadReported",
    "LogFailed",
    "Message",
    "NoticeHeard",
    "NoticeSource",
    "OrderAnswered",
    "PeersAnswered",
    "ProbeAnswered",
    "ProbeFailed",
    "ProbeReceived",
    "RecordsRead",
    "RequestArrived",
    "RequestLookedUp",
    "ShutdownAsked",
    "StartRefused",
    "StartedHost",
    "StartedListed",
    "StatusAsked",
]

#: Names the thread that waits for a reply.
CallId = NewType("CallId", int)


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
        For a forwarded request, see `StoredRequest`.
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
class CallerGone:
    """The caller closed its connection before the answer was whole."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records of a stream, in order.

    Attributes
    ----------
    start : Offset
        The first offset that was asked for.
    oldest : Offset
        The oldest offset that the source still keeps.
    next : Offset
        The source's next offset.
    log_time : float or None
        The log's time of day when it answered.
    """

    stream: StreamName
    start: Offset
    oldest: Offset
    next: Offset
    log_time: float | None
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class LogFailed:
    """The log gave no answer for a stream."""

    stream: StreamName


@dataclass(frozen=True, slots=True)
class HostRow:
    """One endpoint of the platform's host list."""

    endpoint: EndpointId
    kind: EndpointKind
    address: str
    domain: DomainId
    names: frozenset[str]
    price: float
    reclaimable: bool
    checks_fencing: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list, which lags."""

    rows: tuple[HostRow, ...]


class NoticeSource(Enum):
    """Who said that an endpoint is leaving."""

    CLOUD = "cloud"
    ENDPOINT = "endpoint"
    HOST_LIST = "host-list"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class NoticeHeard:
    """An endpoint, or all of a failure domain, is leaving."""

    remaining_s: float
    source: NoticeSource
    endpoint: EndpointId | None = None
    domain: DomainId | None = None


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An endpoint's load report."""

    endpoint: EndpointId
    report: LoadReport
    models: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order was answered, or not.

    Attributes
    ----------
    taken : bool
        False if the engine refused, or gave no answer, or nothing was sent.
    """

    endpoint: EndpointId
    taken: bool


@dataclass(frozen=True, slots=True)
class StartedHost:
    """A host that the cloud API has started.

    Attributes
    ----------
    endpoint : EndpointId or None
        The endpoint on it, once there is one.
    """

    token: str
    model: str
    machine_class: str
    domain: DomainId
    starting: bool
    stopping: bool
    endpoint: EndpointId | None = None


@dataclass(frozen=True, slots=True)
class StartedListed:
    """All hosts that the cloud API has started."""

    hosts: tuple[StartedHost, ...]


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The cloud API refused to start a host."""

    domain: DomainId
    machine_class: str


@dataclass(frozen=True, slots=True)
class LoadFailed:
    """An endpoint gave no load report."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ProbeReceived:
    """A peer's probe; the caller waits for a `ProbeMessage`."""

    call: CallId
    probe: ProbeMessage


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A peer answered a probe, directly or through another peer."""

    node: NodeId | None
    answer: ProbeMessage


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A peer did not answer a probe, nor did the peers asked to try."""

    node: NodeId | None


@dataclass(frozen=True, slots=True)
class KeyAsked:
    """A peer asks what became of a key."""

    call: CallId
    question: KeyQuestion


@dataclass(frozen=True, slots=True)
class KeyAnswered:
    """The answer to a question about a key, None if the home is unreachable."""

    request: RequestId
    reply: KeyReply | None


@dataclass(frozen=True, slots=True)
class PeersAnswered:
    """All peers were asked about a key.

    Attributes
    ----------
    absent : bool
        Whether every peer answered that it knows nothing of the key.
    """

    request: RequestId
    absent: bool


@dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """A ticket's home ended a forwarded request.

    Attributes
    ----------
    reached : bool
        Whether the home answered at all.
    reply : KeyReply or None
        What it answered.
    """

    request: RequestId
    reached: bool
    reply: KeyReply | None = None


@dataclass(frozen=True, slots=True)
class AddressesAsked:
    """A caller asks which nodes to use."""

    call: CallId
    token_sha256: str


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """An operator asks for the node's view."""

    call: CallId


@dataclass(frozen=True, slots=True)
class HistoryAsked:
    """An operator asks for the newest changes."""

    call: CallId


@dataclass(frozen=True, slots=True)
class RequestLookedUp:
    """A caller asks for a deferred request.

    Attributes
    ----------
    forwarded : bool
        Asked by a peer.
    """

    call: CallId
    token_sha256: str
    id: RequestId
    team: TeamId | None = None
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class ChangeAsked:
    """An operator publishes a change.

    Attributes
    ----------
    after : int or None
        Offset that the operator has seen in force; None means that the change
        replaces whatever is in force when it is checked.
    checked : bool
        Whether `after` was given.
    """

    call: CallId
    subject: str
    body: dict[str, object] | None
    after: Offset | None
    checked: bool


@dataclass(frozen=True, slots=True)
class ConfigurationAsked:
    """A peer asks for all configuration in force."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """A peer's configuration in force."""

    snapshot: SnapshotRecord


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """A leaving peer hands over."""

    call: CallId
    handover: HandoverMessage


@dataclass(frozen=True, slots=True)
class HandoverAnswered:
    """The successor's answer, None if it gave none."""

    node: NodeId
    id: str
    reply: HandoverReply | None


@dataclass(frozen=True, slots=True)
class ShutdownAsked:
    """The node is to leave.

    Attributes
    ----------
    within_s : float
        Seconds until the process must have ended.
    """

    within_s: float


Message = (
    RequestArrived
    | AttemptProgressed
    | AttemptEnded
    | CallerGone
    | RecordsRead
    | LogFailed
    | HostsListed
    | NoticeHeard
    | LoadReported
    | OrderAnswered
    | StartedListed
    | StartRefused
    | LoadFailed
    | ProbeReceived
    | ProbeAnswered
    | ProbeFailed
    | KeyAsked
    | KeyAnswered
    | PeersAnswered
    | ForwardAnswered
    | AddressesAsked
    | StatusAsked
    | HistoryAsked
    | RequestLookedUp
    | ChangeAsked
    | ConfigurationAsked
    | ConfigurationReceived
    | HandoverReceived
    | HandoverAnswered
    | ShutdownAsked
)

MessageT = TypeVar("MessageT")


class Inbox:
    """The messages of one tick, by type and in order of arrival.

    Examples
    --------
    >>> inbox = Inbox([ShutdownAsked(5.0)])
    >>> [message.within_s for message in inbox.of(ShutdownAsked)]
    [5.0]
    """

    def __init__(self, messages: list[Message] | None = None) -> None:
        self._by_type: dict[type, list[Message]] = defaultdict(list)
        for message in messages or ():
            self._by_type[type(message)].append(message)

    def add_all(self, messages: Iterable[Message]) -> None:
        """Add messages that a system derived from others in the same tick."""
        for message in messages:
            self._by_type[type(message)].append(message)

    def of(self, kind: type[MessageT]) -> list[MessageT]:
        """Return the messages of one type."""
        return cast("list[MessageT]", self._by_type.get(kind, []))
