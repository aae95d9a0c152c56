"""Table of endpoints: what they say of themselves and what this node sees."""

from __future__ import annotations

from dataclasses import dataclass, field

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.http.pool import Address
from poplarrelay.identifiers import DomainId, EndpointId, StartTime

__all__ = ["Endpoint", "EndpointTable", "Health"]


@dataclass(slots=True)
class Health:
    """Signs of an endpoint's health, as this node's own requests show them.

    Attributes
    ----------
    failure_rate : float
        Moving share of attempts that failed.
    failures_in_row : int
        Failures since the last success.
    avoided_until : float
        Monotonic time until which other endpoints go first.
    first_answer_s : float
        Moving time from sending to the first byte of an answer; 0 before any.
    """

    failure_rate: float = 0.0
    failures_in_row: int = 0
    avoided_until: float = 0.0
    first_answer_s: float = 0.0


@dataclass(slots=True)
class Endpoint:
    """One run of an endpoint.

    Attributes
    ----------
    slots : int
        Requests that it works on at once.
    leaving : bool
        Whether it wants no new work.
    gone : bool
        Whether its record is away; requests under way may still end.
    reclaimable : bool
        Whether the platform may take it away on short notice.
    leaves_at : float or None
        Monotonic time at which it will be gone, if it says so.
    slot_share : int
        Requests that this node keeps at it at most, by the number of nodes.
    running : int
        Requests of this node that are at it.
    elsewhere : int
        Requests of the other nodes at it, as last heard.
    prefill_tokens : int
        Tokens that it has to read of this node's prompts that have had no event yet.
    prefill_elsewhere : int
        The same of other nodes' prompts, as last told by the node that keeps count.
    prefill_reported_at : float
        Monotonic time at which that was told.
    prefill_speed : float
        Prompt tokens that it reads in a second, 0 if that is not known.
    suspended_until : float
        Monotonic time until which a record that went missing while the store was
        away is given the chance to come back.
    started_ms : StartTime or None
        When this run of the endpoint started, by its own clock; None if not known.
    limit_per_s : float or None
        Requests per second that it accepts from all nodes, None without a limit.
    limit_as_of : float
        Monotonic time at which the limit was last set, confirmed or cleared.
    permits : list of float
        Monotonic times at which the permits held by this node expire.
    next_permit_at : float
        Monotonic time at which the next permit is due, by the last answer.
    next_ask_at : float
        Earliest monotonic time at which this node may ask for a permit.
    last_accepting_at : float
        Monotonic time of the last request whose answer shows that the endpoint was
        not leaving then.
    """

    endpoint: EndpointId
    service: ServiceName
    address: Address
    domain: DomainId
    slots: int
    leaving: bool = False
    gone: bool = False
    reclaimable: bool = False
    leaves_at: float | None = None
    slot_share: int = 1_000_000
    running: int = 0
    elsewhere: int = 0
    prefill_tokens: int = 0
    prefill_elsewhere: int = 0
    prefill_reported_at: float = 0.0
    prefill_speed: float = 0.0
    suspended_until: float | None = None
    started_ms: StartTime | None = None
    limit_per_s: float | None = None
    limit_as_of: float = float("-inf")
    permits: list[float] = field(default_factory=list)
    next_permit_at: float = float("-inf")
    next_ask_at: float = float("-inf")
    last_accepting_at: float = float("-inf")
    health: Health = field(default_factory=Health)

    @property
    def accepts_work(self) -> bool:
        """Return whether it may get new requests."""
        return not self.leaving and not self.gone

    @property
    def load(self) -> int:
        """Return the requests at it, of all nodes."""
        return self.running + self.elsewhere

    def update_backlog(self, elsewhere: int, speed: float, now: float) -> None:
        """Take what the node that keeps count of its prompts tells."""
        self.prefill_elsewhere = elsewhere
        self.prefill_reported_at = now
        if speed > 0:
            self.prefill_speed = speed

    def backlog(self, now: float, speed: float) -> float:
        """Return the prompt tokens in line at it, of all nodes.

        Parameters
        ----------
        now : float
            Monotonic time.
        speed : float
            Tokens a second that it has read since it was last told of.
        """
        read = speed * (now - self.prefill_reported_at)
        return self.prefill_tokens + max(0.0, self.prefill_elsewhere - read)

    @property
    def free(self) -> int:
        """Return how many more requests it takes at once."""
        own = min(self.slot_share, self.slots) - self.running
        free = max(0, min(own, self.slots - self.load))
        return free if self.limit_per_s is None else min(free, len(self.permits))

    def acquire_slot(self) -> None:
        """Take a place for a request, and use up a permit if a limit applies."""
        self.running += 1
        if self.limit_per_s is not None and self.permits:
            del self.permits[0]

    def drop_expired_permits(self, now: float) -> None:
        """Drop the permits that have expired."""
        self.permits = [until for until in self.permits if until > now]


@dataclass(slots=True)
class EndpointTable:
    """All endpoints by id, and by service."""

    rows: dict[EndpointId, Endpoint] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[EndpointId, Endpoint]] = field(
        default_factory=dict
    )

    def put(self, endpoint: Endpoint) -> None:
        """Add a row."""
        self.rows[endpoint.endpoint] = endpoint
        self.by_service.setdefault(endpoint.service, {})[endpoint.endpoint] = endpoint

    def drop(self, endpoint: EndpointId) -> None:
        """Remove a row; requests at it keep their reference."""
        row = self.rows.pop(endpoint, None)
        if row is not None:
            row.gone = True
            self.by_service[row.service].pop(endpoint, None)

    def of(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return list(self.by_service.get(service, {}).values())

    def accepting(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service that take new requests."""
        return [row for row in self.of(service) if row.accepts_work]
