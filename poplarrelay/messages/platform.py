"""Messages about the platform and the endpoints."""

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
    """Records of a stream were read, in order.

    Attributes
    ----------
    start : Offset
        First requested offset.
    oldest : Offset
        Oldest offset that the log keeps.
    next : Offset
        Offset that the log assigns to the next append.
    log_time : float or None
        Time of day at the log when it answered, None if the answer does not state it.
    """

    stream: StreamName
    start: Offset
    oldest: Offset
    next: Offset
    log_time: float | None
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class LogFailed:
    """The log did not answer a read of a stream."""

    stream: StreamName


@dataclass(frozen=True, slots=True)
class HostRow:
    """One endpoint in the platform's host list."""

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
    """The platform's host list was read; it lags behind the actual state."""

    rows: tuple[HostRow, ...]


class NoticeSource(Enum):
    """Source of the information that an endpoint is leaving."""

    CLOUD = "cloud"
    ENDPOINT = "endpoint"
    HOST_LIST = "host-list"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """An endpoint, or every endpoint of a failure domain, is leaving."""

    remaining_s: float
    source: NoticeSource
    endpoint: EndpointId | None = None
    domain: DomainId | None = None


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An endpoint sent its load report."""

    endpoint: EndpointId
    report: LoadReport
    models: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """Sending a model order ended.

    Attributes
    ----------
    taken : bool
        Whether the engine accepted the order. False if the engine refused or did not
        answer, or if the order was not sent.
    """

    endpoint: EndpointId
    taken: bool


@dataclass(frozen=True, slots=True)
class StartedHost:
    """A host that the cloud API has started.

    Attributes
    ----------
    endpoint : EndpointId or None
        The endpoint on the host, None until it exists.
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
    """The list of hosts that the cloud API has started was read."""

    hosts: tuple[StartedHost, ...]


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The cloud API refused to start a host."""

    domain: DomainId
    machine_class: str


@dataclass(frozen=True, slots=True)
class LoadFailed:
    """An endpoint did not answer with a load report."""

    endpoint: EndpointId
