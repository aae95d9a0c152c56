"""State of one request while a node serves it."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import monotonic

from poplarrelay.entry.attempts import StreamProgress
from poplarrelay.entry.configuration import Route, RouteKind, ServiceName, Team
from poplarrelay.entry.http.connection import Connection
from poplarrelay.entry.http.listener import Exchange
from poplarrelay.entry.outcomes import Answered
from poplarrelay.entry.probe_leases import ProbeLease
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.identifiers import (
    EndpointId,
    PartKey,
    RequestFingerprint,
    StreamKey,
    TeamId,
)

__all__ = ["RequestContext"]


@dataclass(slots=True)
class RequestContext:
    """One admitted request, from its arrival to its final answer.

    Attributes
    ----------
    team : Team or None
        The caller's team, None if the caller has none.
    priority : int
        Priority of the request; 0 is served first.
    deadline : float
        Monotonic time of the request's deadline.
    version : int
        Version of the configuration that was in force when the request was admitted.
    teams_configured : bool
        Whether the configuration has teams with keys.
    fingerprint : RequestFingerprint
        Digest of the request, the same for all retries of the caller.
    part_keys : tuple of PartKey
        Keys of the prompt's shared parts.
    probes : bool
        Whether the request may be sent although one of its parts is blocked.
    probe_lease : ProbeLease or None
        Lease under which the next attempt is a discriminating probe.
    stream : StreamKey or None
        Key of the stream that the caller can resume, None before its first event.
    stream_complete : bool
        Whether the whole stream has been sent to the caller.
    tried : list of EndpointId
        Endpoints to which the node has sent the request or tried to send it.
    used_connections : set of Connection
        Connections that have carried the request, or another one with the same id.
    may_have_run : bool
        Whether an endpoint may have run the request.
    execution_started : bool
        Whether an endpoint has shown that it runs the request.
    last_error_response : Answered or None
        The last error response of an endpoint, kept while another endpoint is tried.
    work : float
        Expected tokens that an engine processes for the request.
    within_share : bool
        Whether the request is within its team's share of a service that is short.
    urgent : bool
        Whether the request can join the longest queues of the service.
    quota_cost : float
        Amount that the request has taken from its team's quota.
    quota_left : float or None
        Amount left in the quota after that, None without a quota.
    """

    request: CallerRequest
    exchange: Exchange
    route: Route
    team: Team | None
    priority: int
    service: ServiceName
    deadline: float
    version: int
    progress: StreamProgress
    teams_configured: bool
    fingerprint: RequestFingerprint
    part_keys: tuple[PartKey, ...] = ()
    probes: bool = False
    probe_lease: ProbeLease | None = None
    stream: StreamKey | None = None
    stream_complete: bool = False
    tried: list[EndpointId] = field(default_factory=list)
    used_connections: set[Connection] = field(default_factory=set)
    may_have_run: bool = False
    execution_started: bool = False
    last_error_response: Answered | None = None
    work: float = 0.0
    within_share: bool = True
    urgent: bool = True
    quota_cost: float = 0.0
    quota_left: float | None = None

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - monotonic()

    @property
    def team_name(self) -> TeamId:
        """Return the name of the request's team, empty if it has none."""
        return TeamId("") if self.team is None else self.team.name

    @property
    def streams(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAMING
