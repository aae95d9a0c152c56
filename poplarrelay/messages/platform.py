"""Facts about the platform and the endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from poplarrelay.identifiers import DomainId, EndpointId, Offset, StreamName
from poplarrelay.messages.records import Record
from poplarrelay.tables.endpoints import EndpointKind, LoadReport

__all__ = [
    "HostRow",
    "HostsListed",
    "LoadFailed",
    "LoadReported",
    "LogFailed",
    "NoticeReceived",
    "NoticeSource",
    "OrderAnswered",
    "RecordsRead",
    "StartRefused",
    "StartedHost",
    "StartedHostsListed",
]


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
class NoticeReceived:
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
class StartedHostsListed:
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
