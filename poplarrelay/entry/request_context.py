"""What a node knows of one request while it serves it."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import monotonic

from poplarrelay.entry.attempts import StreamProgress
from poplarrelay.entry.configuration import Route, RouteKind, ServiceName, Team
from poplarrelay.entry.http.listener import Exchange
from poplarrelay.entry.outcomes import Answered
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.identifiers import EndpointId, RequestFingerprint, TeamId

__all__ = ["RequestContext"]


@dataclass(slots=True)
class RequestContext:
    """One admitted request, from its arrival to its final answer.

    Attributes
    ----------
    priority : int
        Rank of the request; 0 goes first.
    until : float
        Monotonic time at which nobody waits for the answer any more.
    version : int
        The configuration that admitted it.
    teams_configured : bool
        Whether the configuration has teams with keys.
    fingerprint : RequestFingerprint
        Digest of the request, the same for all of the caller's retries.
    tried : list of EndpointId
        Where it has been sent, or was to be sent.
    may_have_run : bool
        Whether an endpoint may have worked on it.
    execution_started : bool
        Whether an endpoint has shown that it does.
    last_error_response : Answered or None
        An endpoint's own bad answer, kept while another one is tried.
    quota_cost : float
        What it has taken from its team's quota.
    quota_left : float or None
        What was left then, None without a quota.
    """

    request: CallerRequest
    exchange: Exchange
    route: Route
    team: Team | None
    priority: int
    service: ServiceName
    until: float
    version: int
    progress: StreamProgress
    teams_configured: bool
    fingerprint: RequestFingerprint
    tried: list[EndpointId] = field(default_factory=list)
    may_have_run: bool = False
    execution_started: bool = False
    last_error_response: Answered | None = None
    quota_cost: float = 0.0
    quota_left: float | None = None

    @property
    def remaining_s(self) -> float:
        """Return the time until nobody waits for the answer any more."""
        return self.until - monotonic()

    @property
    def team_name(self) -> TeamId:
        """Return the name of its team, empty if it has none."""
        return TeamId("") if self.team is None else self.team.name

    @property
    def streams(self) -> bool:
        """Return whether the answer is a series of events."""
        return self.route.kind is RouteKind.STREAMING
