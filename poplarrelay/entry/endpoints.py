"""Table of endpoints: their own records and this node's observations."""

from __future__ import annotations

from dataclasses import dataclass, field

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.http.dialing import Address
from poplarrelay.entry.scheduling.occupancy import Load
from poplarrelay.identifiers import DomainId, EndpointId, SoftwareVersion, StartTime

__all__ = ["UNKNOWN_VERSION", "Endpoint", "EndpointTable", "Health", "RunKey"]

#: Id and start of an endpoint, which identify its run.
RunKey = tuple[EndpointId, StartTime | None]

#: Prompts that may wait for a slot at an engine, as a share of its slots.
QUEUE_SHARE = 0.5
#: Seconds for which a coordinator's count of requests is used.
LOAD_VALID_S = 0.5
#: Version of an endpoint that states none.
UNKNOWN_VERSION = SoftwareVersion("")


@dataclass(slots=True)
class Health:
    """Health of an endpoint, as measured by this node's own requests.

    Attributes
    ----------
    failure_rate : float
        Moving average of the share of attempts that failed.
    failures_in_row : int
        Failures since the last success.
    avoided_until : float
        Monotonic time until which other endpoints are preferred.
    first_byte_s : float
        Moving average of the time from sending a request to the first byte of its
        response; 0 before the first response.
    """

    failure_rate: float = 0.0
    failures_in_row: int = 0
    avoided_until: float = 0.0
    first_byte_s: float = 0.0


@dataclass(slots=True)
class Endpoint:
    """One run of an endpoint.

    Attributes
    ----------
    slots : int
        Number of requests that the endpoint processes at the same time.
    leaving : bool
        Whether the endpoint's record says that it accepts no new requests.
    departure_stated : bool
        Whether this run has stated in an answer, to any node, that it leaves.
    gone : bool
        Whether its record was removed; requests in progress can still finish.
    reclaimable : bool
        Whether the platform can reclaim the endpoint at short notice.
    leaves_at : float or None
        Monotonic time at which the endpoint will be gone, if its record states one.
    slot_share : int
        Maximum number of requests that this node runs at the endpoint at the same time.
        It depends on the number of nodes.
    running : int
        Requests of this node that are running at the endpoint.
    running_at_other_nodes : int
        Requests of the other nodes at the endpoint, by their latest reports.
    prefill_tokens : int
        Uncached tokens in this node's prompts that have had no first event yet.
    other_nodes_prefill_tokens : int
        The same for the prompts of other nodes, by the latest report of the endpoint's
        coordinator.
    prefill_reported_at : float
        Monotonic time of that report.
    prefill_speed : float
        Prompt tokens that the endpoint prefills per second, 0 if unknown.
    ends_per_s : float
        Requests of all nodes that recently ended at the endpoint, per second, by the
        latest report of its coordinator.
    counted_at : float
        Monotonic time at which the coordinator last reported the requests.
    suspended_until : float
        Monotonic time until which a record that vanished during an outage of the store
        can be restored.
    version : SoftwareVersion
        Version of the endpoint's software.
    barred : bool
        Whether a roll-out keeps all requests from the endpoint's version.
    warm_at : float
        Monotonic time from which the endpoint is no longer slow after its start.
    current_until : float
        Monotonic time at which the list still showed this run, before it showed one of
        another version under the id; infinite if it has not.
    started_ms : StartTime or None
        Start of this run of the endpoint, by the endpoint's own clock; None if unknown.
    limit_per_s : float or None
        Requests per second that the endpoint accepts from all nodes, None if unlimited.
    limit_updated_at : float
        Monotonic time at which the limit was last set, confirmed or cleared.
    permits : list of float
        Monotonic times at which the permits held by this node expire.
    next_permit_at : float
        Monotonic time at which the next permit is due, by the latest reply.
    next_permit_request_at : float
        Earliest monotonic time at which this node may request a permit.
    backoff_until : float
        Monotonic time until which the endpoint wants no requests from this node.
    last_accepting_at : float
        Monotonic time of the last request whose response shows that the endpoint was
        not leaving at that time.
    """

    endpoint: EndpointId
    service: ServiceName
    address: Address
    domain: DomainId
    slots: int
    leaving: bool = False
    departure_stated: bool = False
    gone: bool = False
    reclaimable: bool = False
    leaves_at: float | None = None
    slot_share: int = 1_000_000
    running: int = 0
    running_at_other_nodes: int = 0
    prefill_tokens: int = 0
    other_nodes_prefill_tokens: int = 0
    prefill_reported_at: float = 0.0
    prefill_speed: float = 0.0
    ends_per_s: float = 0.0
    counted_at: float = float("-inf")
    suspended_until: float | None = None
    version: SoftwareVersion = UNKNOWN_VERSION
    barred: bool = False
    warm_at: float = float("-inf")
    current_until: float = float("inf")
    started_ms: StartTime | None = None
    limit_per_s: float | None = None
    limit_updated_at: float = float("-inf")
    permits: list[float] = field(default_factory=list)
    next_permit_at: float = float("-inf")
    next_permit_request_at: float = float("-inf")
    backoff_until: float = float("-inf")
    last_accepting_at: float = float("-inf")
    health: Health = field(default_factory=Health)

    @property
    def run(self) -> RunKey:
        """Return the id and the start of this run."""
        return self.endpoint, self.started_ms

    @property
    def departing(self) -> bool:
        """Return whether the endpoint leaves, by its record or by an answer."""
        return self.leaving or self.departure_stated

    @property
    def accepts_work(self) -> bool:
        """Return whether new requests can be sent to the endpoint."""
        return self.accepts()

    def accepts(self, sticky: bool = False) -> bool:
        """Return whether a request can be sent to the endpoint.

        Parameters
        ----------
        sticky : bool
            Whether the request continues a stream that this version has begun. A
            roll-out that bars a version still lets its streams end there.
        """
        if self.departing or self.gone:
            return False
        return sticky or not self.barred

    @property
    def load(self) -> int:
        """Return the number of requests of all nodes at the endpoint."""
        return self.running + self.running_at_other_nodes

    def update_backlog(
        self,
        other_nodes_tokens: int,
        speed: float,
        now: float,
        load: Load | None = None,
    ) -> None:
        """Store a report of the coordinator that counts the endpoint's requests."""
        self.other_nodes_prefill_tokens = other_nodes_tokens
        self.prefill_reported_at = now
        if speed > 0:
            self.prefill_speed = speed
        self.counted_at = now if load is not None else float("-inf")
        if load is not None:
            self.running_at_other_nodes = load.requests
            self.ends_per_s = load.ends_per_s

    def backlog(self, now: float, speed: float) -> float:
        """Return the uncached prompt tokens of all nodes queued at the endpoint.

        Parameters
        ----------
        now : float
            Monotonic time.
        speed : float
            Assumed prefill rate since the latest report, in tokens per second.
        """
        processed = speed * (now - self.prefill_reported_at)
        return self.prefill_tokens + max(
            0.0, self.other_nodes_prefill_tokens - processed
        )

    @property
    def free(self) -> int:
        """Return how many more requests this node can send to the endpoint now."""
        share_left = min(self.slot_share, self.slots) - self.running
        free = max(0, min(share_left, self.slots - self.load))
        return free if self.limit_per_s is None else min(free, len(self.permits))

    def in_backoff(self, now: float) -> bool:
        """Return whether the endpoint wants no requests from this node now."""
        return now < self.backoff_until

    def has_room(self, now: float) -> bool:
        """Return whether this node can send a request to the endpoint now."""
        return self.free > 0 and not self.in_backoff(now)

    def has_queue_room(self, now: float) -> bool:
        """Return whether this node can send a prompt that waits for a slot there.

        Notes
        -----
        An engine queues some more prompts than it runs and starts the urgent ones
        first, whichever node they come from. The queues of single nodes do not.
        """
        if self.in_backoff(now) or self.limit_per_s is not None:
            return self.has_room(now)
        if self.running >= min(self.slot_share, self.slots):
            return False
        return self.load < self.slots + int(QUEUE_SHARE * self.slots)

    def is_unused_here(self, now: float) -> bool:
        """Return whether this node has no request at an endpoint that accepts one.

        Notes
        -----
        A node whose coordinators are silent sees only slots that are taken, as they
        grant each one that becomes free. One request at each endpoint keeps its callers
        from being locked out; an endpoint queues some more than it runs.
        """
        if self.in_backoff(now) or self.limit_per_s is not None:
            return self.has_room(now)
        return self.running == 0

    def slot_wait_s(self, now: float) -> float:
        """Return the seconds until a slot is expected to be free for a new prompt."""
        ahead = self.load - self.slots + 1
        if ahead <= 0 or now - self.counted_at > LOAD_VALID_S:
            return 0.0
        return ahead / self.ends_per_s if self.ends_per_s > 0 else float("inf")

    def acquire_slot(self) -> None:
        """Take a slot for a request, and use one permit if a limit applies."""
        self.running += 1
        if self.limit_per_s is not None and self.permits:
            del self.permits[0]

    def drop_expired_permits(self, now: float) -> None:
        """Remove the permits that have expired."""
        self.permits = [until for until in self.permits if until > now]


@dataclass(slots=True)
class EndpointTable:
    """All endpoints, by id and by service."""

    rows: dict[EndpointId, Endpoint] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[EndpointId, Endpoint]] = field(
        default_factory=dict
    )

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace the row of an endpoint."""
        self.rows[endpoint.endpoint] = endpoint
        self.by_service.setdefault(endpoint.service, {})[endpoint.endpoint] = endpoint

    def drop(self, endpoint: EndpointId) -> None:
        """Remove a row and mark it as gone.

        Requests in progress keep their reference to the row.
        """
        row = self.rows.pop(endpoint, None)
        if row is not None:
            row.gone = True
            self.by_service[row.service].pop(endpoint, None)

    def count_running(self, endpoint: EndpointId) -> int:
        """Return the number of this node's requests at an endpoint."""
        row = self.rows.get(endpoint)
        return 0 if row is None else row.running

    def at_address(self, address: Address) -> Endpoint | None:
        """Return the endpoint that is listed at an address, None if there is none."""
        return next((r for r in self.rows.values() if r.address == address), None)

    def of(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return list(self.by_service.get(service, {}).values())

    def accepting(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        return [row for row in self.of(service) if row.accepts_work]

    def continuing(
        self, service: ServiceName, version: SoftwareVersion
    ) -> list[Endpoint]:
        """Return the endpoints that can continue the streams of a version."""
        return [
            row
            for row in self.of(service)
            if row.version == version and row.accepts(sticky=True)
        ]
