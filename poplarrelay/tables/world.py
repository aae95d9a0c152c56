"""All tables of one node."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random

from poplarrelay.identifiers import (
    AttemptId,
    DomainId,
    EndpointId,
    IdempotencyKey,
    Incarnation,
    NodeId,
    Offset,
    RecordId,
    RequestId,
    StreamName,
    TeamId,
)
from poplarrelay.messages.gossip import HandoverMessage
from poplarrelay.messages.questions import CallId
from poplarrelay.messages.records import Record
from poplarrelay.settings import NodeSettings
from poplarrelay.tables.capacity import Demand
from poplarrelay.tables.claims import Claim, KeyExecution, TeamKey
from poplarrelay.tables.configuration import ConfigurationTable
from poplarrelay.tables.copies import HeldCopy, SentCopy
from poplarrelay.tables.endpoints import Endpoint
from poplarrelay.tables.leases import Lease, LeaseRequest
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState

__all__ = [
    "CLAIMS",
    "CONFIGURATION",
    "HandoverState",
    "NodePhase",
    "PendingChange",
    "StreamPosition",
    "TeamUsage",
    "World",
]


#: Stream of templates and deployments.
CONFIGURATION = StreamName("configuration")
#: Stream of claims of idempotency keys.
CLAIMS = StreamName("claims")


#: Offset of the first record of every stream.
FIRST_OFFSET = Offset(0)


class NodePhase(Enum):
    """Phase of the node's process, from start to stop."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(slots=True)
class StreamPosition:
    """Progress of this node in folding a stream of the log.

    Attributes
    ----------
    next : Offset
        Offset of the next record to fold.
    caught_up : bool
        Whether this node has read the stream to its end at least once.
    read_at : float
        Monotonic time of the last successful read from the log.
    failed_at : float
        Monotonic time of the last failure.
    """

    next: Offset = FIRST_OFFSET
    caught_up: bool = False
    read_at: float = float("-inf")
    failed_at: float = float("-inf")

    @property
    def available(self) -> bool:
        """Return whether the last call to the log succeeded."""
        return self.read_at > self.failed_at


@dataclass(slots=True)
class TeamUsage:
    """Current usage of this node by one team.

    Attributes
    ----------
    running, queued : int
        Numbers of the team's running and queued requests.
    served : float
        Work served to the team divided by its priority, for fair sharing.
    retry_tokens : float
        Remaining retry budget of the team.
    """

    running: int = 0
    queued: int = 0
    served: float = 0.0
    retry_tokens: float = 10.0


@dataclass(slots=True)
class PendingChange:
    """An operator's change that has been sent to the log.

    Attributes
    ----------
    call : CallId
        The call that waits for the result.
    subject : str
        Name of the template or deployment to change.
    until : float
        Monotonic time at which the call is answered without a result.
    body : dict or None
        New value of the subject; None removes it.
    resendable : bool
        Whether the change can be sent again if it loses to an earlier change.
    """

    call: CallId
    subject: str
    until: float
    body: dict[str, object] | None
    resendable: bool


@dataclass(slots=True)
class HandoverState:
    """The handover from this node, which is leaving, to its successor.

    Attributes
    ----------
    peer : str
        Address of the successor.
    message : HandoverMessage
        The message, resent until the successor acknowledges it.
    next_send_at : float
        Monotonic time at which the message is sent next.
    """

    successor: NodeId
    peer: str
    message: HandoverMessage
    next_send_at: float
    acknowledged: bool = False


@dataclass(slots=True)
class World:
    """Tables of one node, used only by its tick thread.

    Attributes
    ----------
    rng : Random
        Source of every random choice of the systems.
    me : Member
        This node's own row.
    unfolded_records : list of Record
        Configuration records read so far, until they include a snapshot to start from.
    endpoints : dict of EndpointId to Endpoint
        Endpoints by id.
    leases : dict of str to Lease
        Leases in force by duty, folded from the log.
    lease_requests : dict of RecordId to LeaseRequest
        Lease records that this node has sent.
    queue : list of RequestId
        Requests that can run and wait for an endpoint.
    claims : dict of TeamKey to Claim
        Claims in force, folded from the log.
    key_executions : dict of TeamKey to KeyExecution
        Keys that this process can run, or has run.
    claiming : set of RequestId
        Requests whose claim is in flight to the log.
    next_query_at : dict of RequestId to float
        Requests whose key is running at another node, with the monotonic time of the
        next query to that node.
    sent_copies : dict of RequestId to SentCopy
        Copies of this node's deferred requests at peers.
    held_copies : dict of RequestId to HeldCopy
        Copies of peers' deferred requests at this node.
    duplicates : dict of RequestId to list of RequestId
        Requests that wait for the outcome of another request, by that request.
    notified_domains : dict of DomainId to float
        Failure domains with a reclaim notice, with the monotonic time until which
        they are avoided.
    inherited_incarnations : dict of Incarnation to float
        Incarnations that left and handed their tickets to this node, with the
        monotonic time of the handover.
    reject_from : float
        Monotonic time from which a leaving node rejects new requests.
    stored_answers, stored_bytes : int
        Number and size of the answers stored for repetitions and for deferred
        requests, at the last sweep.
    log_clock : float or None
        The log's time of day minus this process's monotonic time.
    """

    settings: NodeSettings
    incarnation: Incarnation
    rng: Random
    started_at: float
    me: Member
    phase: NodePhase = NodePhase.STARTING
    drain_until: float = float("inf")
    streams: dict[StreamName, StreamPosition] = field(default_factory=dict)
    configuration: ConfigurationTable = field(default_factory=ConfigurationTable)
    unfolded_records: list[Record] = field(default_factory=list)
    pending_changes: dict[RecordId, PendingChange] = field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    requests: dict[RequestId, Request] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    lease_requests: dict[RecordId, LeaseRequest] = field(default_factory=dict)
    next_lease_request_at: dict[str, float] = field(default_factory=dict)
    lease_attempt_at: dict[str, float] = field(default_factory=dict)
    released_duties: set[str] = field(default_factory=set)
    next_snapshot_at: float = 0.0
    next_capacity_at: float = 0.0
    demand: dict[str, Demand] = field(default_factory=dict)
    refused_starts: dict[tuple[DomainId, str], float] = field(default_factory=dict)
    queue: list[RequestId] = field(default_factory=list)
    claims: dict[TeamKey, Claim] = field(default_factory=dict)
    key_executions: dict[TeamKey, KeyExecution] = field(default_factory=dict)
    claiming: set[RequestId] = field(default_factory=set)
    next_query_at: dict[RequestId, float] = field(default_factory=dict)
    sent_copies: dict[RequestId, SentCopy] = field(default_factory=dict)
    held_copies: dict[RequestId, HeldCopy] = field(default_factory=dict)
    duplicates: dict[RequestId, list[RequestId]] = field(default_factory=dict)
    members: dict[NodeId, Member] = field(default_factory=dict)
    teams: dict[TeamId, TeamUsage] = field(default_factory=dict)
    notified_domains: dict[DomainId, float] = field(default_factory=dict)
    inherited_incarnations: dict[Incarnation, float] = field(default_factory=dict)
    handover: HandoverState | None = None
    reject_from: float = float("inf")
    stored_answers: int = 0
    stored_bytes: int = 0
    handover_at: float = float("inf")
    log_clock: float | None = None
    next_probe_at: float = 0.0
    next_hosts_at: float = 0.0
    next_fetch_at: float = 0.0
    next_sweep_at: float = 0.0
    probe_round: int = 0
    attempts_sent: int = 0
    peer_last_seen_at: float = float("-inf")
    probe_ring: list[NodeId] = field(default_factory=list)
    _counter: count[int] = field(default_factory=count)

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        incarnation: Incarnation,
        generation: int,
        now: float,
        seed: int,
    ) -> World:
        """Return the empty tables of a starting node.

        Parameters
        ----------
        settings : NodeSettings
            The node's settings.
        incarnation : Incarnation
            Random id of this run of the process.
        generation : int
            Orders this run among the runs of the same node.
        now : float
            Monotonic time.
        seed : int
            Seed of every random choice that the systems make.
        """
        me = Member(
            node=NodeId(settings.node),
            incarnation=incarnation,
            generation=generation,
            version=1,
            status=MemberStatus.ALIVE,
            domain=DomainId(settings.failure_domain),
            callers=settings.callers.address,
            peers=settings.peers.address,
        )
        return cls(
            settings=settings,
            incarnation=incarnation,
            rng=Random(seed),
            started_at=now,
            me=me,
            streams={CONFIGURATION: StreamPosition(), CLAIMS: StreamPosition()},
        )

    @property
    def node(self) -> NodeId:
        """Return this node's name."""
        return self.me.node

    @property
    def accepts_work(self) -> bool:
        """Return whether this node accepts new requests of callers."""
        return self.phase is NodePhase.SERVING and self.me.ready

    def epoch(self, now: float) -> int:
        """Return the ticket epoch: the epoch lengths since the process's start."""
        return int((now - self.started_at) / self.settings.timing.ticket_epoch_s)

    def new_attempt_id(self, request: RequestId) -> AttemptId:
        """Return a new attempt id."""
        return AttemptId(f"{request}/{next(self._counter)}")

    def new_record_id(self) -> RecordId:
        """Return a new record id."""
        return RecordId(f"{self.incarnation}-{next(self._counter)}")

    def team_usage(self, team: TeamId) -> TeamUsage:
        """Return the row of a team; create it if there is none."""
        return self.teams.setdefault(team, TeamUsage())

    def team_key(self, request: Request) -> TeamKey | None:
        """Return the request's key within its team; None without a key."""
        if request.key is None:
            return None
        return TeamKey(request.team, IdempotencyKey(request.key))

    def open_requests(self) -> list[Request]:
        """Return the requests that have no outcome yet."""
        return [r for r in self.requests.values() if r.state is not RequestState.ENDED]
