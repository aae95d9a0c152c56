"""Tables of an entry node; only its event loop uses them."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import inf
from random import Random
from time import monotonic

from poplarrelay.entry.backoff import BackoffTable
from poplarrelay.entry.brittleness import BrittlenessTable
from poplarrelay.entry.budgets import RetryBudget
from poplarrelay.entry.clock import ClusterClock
from poplarrelay.entry.configuration import Configuration, ServiceName, Team
from poplarrelay.entry.crashes import CrashTable
from poplarrelay.entry.demand import DemandMeter
from poplarrelay.entry.departures import DepartureTable
from poplarrelay.entry.endpoints import Endpoint, EndpointTable
from poplarrelay.entry.list_freshness import ListFreshness, ListTimes
from poplarrelay.entry.metering import UsageCounts
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.entry.peers import PeerTable
from poplarrelay.entry.quarantine import QuarantineTable
from poplarrelay.entry.quotas import Bucket
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.entry.scheduling.coordinators import choose_coordinator, eligible_nodes
from poplarrelay.entry.scheduling.forecast_errors import ForecastErrors
from poplarrelay.entry.scheduling.shares import ShareMarker
from poplarrelay.entry.scheduling.slot_limits import max_slots_per_node
from poplarrelay.entry.scheduling.team_demand import (
    TeamDemand,
    contended_services,
    share_fractions,
)
from poplarrelay.entry.scheduling.weights import team_weight
from poplarrelay.entry.settings import EntrySettings, parse_address
from poplarrelay.entry.shutdown import ShutdownSchedule
from poplarrelay.entry.store_era import EraTracker
from poplarrelay.entry.stream_versions import VersionHistory
from poplarrelay.identifiers import DomainId, Incarnation, NodeId, PartKey, TeamId

__all__ = ["EntryState"]

#: Seconds over which the rate of ended requests is averaged.
RATE_WINDOW_S = 3.0
#: Seconds for which the largest number of live nodes applies to shared budgets.
NODE_COUNT_WINDOW_S = 30.0


@dataclass(slots=True)
class EntryState:
    """Tables of one node.

    Attributes
    ----------
    configuration : Configuration or None
        Configuration in force on this node, None before the first one.
    configuration_record : bytes
        Encoded record of that configuration, which is sent to peers.
    configuration_at : float
        Monotonic time at which that configuration came into force.
    freshness : ListFreshness
        Age of the list of endpoints.
    endpoints_known : bool
        Whether the list of endpoints has been read at least once.
    shutdown : ShutdownSchedule or None
        Times of the graceful shutdown, None before the stop signal.
    started_at : float
        Monotonic time at which the node started.
    listed_nodes : mapping of NodeId to str, or None
        Hosts of the other nodes that the directory in the platform's store lists; None
        before it has been read.
    end_times : dict of ServiceName to deque of float
        Monotonic times at which requests ended; they give the rate of freed slots.
    demand : DemandMeter
        Demand of this node's callers.
    team_demand : TeamDemand
        Demand of this node's callers by team.
    markers : dict of ServiceName to ShareMarker
        Shares of the teams, for the services that are short of capacity.
    forecast_errors : ForecastErrors
        Errors of the forecasts of first events.
    eras : EraTracker
        Latest era of the store.
    departures : DepartureTable
        Runs of endpoints that have stated their departure in an answer.
    backoffs : BackoffTable
        Pauses that endpoints have asked this node for.
    brittleness : BrittlenessTable
        Endpoints that fall over when they must reject many requests.
    crashes : CrashTable
        Crashes of endpoints during requests.
    quarantine : QuarantineTable
        Parts of prompts that crash endpoints.
    versions : VersionHistory
        Software versions that the endpoints of each service have recently had.
    rollouts : RolloutTable
        Roll-outs of services to other versions.
    on_configuration : callable
        Called when a configuration has come into force.
    streams_unknown : int
        Resumed streams that were refused because nobody knew their version.
    answers_foreign : int
        Attempts that got other bytes in place of an answer.
    streams_incomplete : int
        Attempts whose endpoint ended the body of a stream inside an event.
    recent_node_counts : list of tuple of float and int
        Times at which the number of live nodes changed, with the new number.
    """

    settings: EntrySettings
    rng: Random
    clock: ClusterClock
    peers: PeerTable
    usage: UsageCounts
    freshness: ListFreshness
    rollouts: RolloutTable
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    configuration: Configuration | None = None
    configuration_record: bytes = b""
    configuration_at: float = 0.0
    on_configuration: Callable[[], None] = lambda: None
    endpoints_known: bool = False
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    buckets: dict[TeamId, Bucket] = field(default_factory=dict)
    end_times: dict[ServiceName, deque[float]] = field(default_factory=dict)
    demand: DemandMeter = field(default_factory=DemandMeter)
    team_demand: TeamDemand = field(default_factory=TeamDemand)
    markers: dict[ServiceName, ShareMarker] = field(default_factory=dict)
    forecast_errors: ForecastErrors = field(default_factory=ForecastErrors)
    eras: EraTracker = field(init=False)
    departures: DepartureTable = field(init=False)
    backoffs: BackoffTable = field(init=False)
    brittleness: BrittlenessTable = field(init=False)
    crashes: CrashTable = field(default_factory=CrashTable)
    quarantine: QuarantineTable = field(default_factory=QuarantineTable)
    versions: VersionHistory = field(default_factory=VersionHistory)
    streams_unknown: int = 0
    answers_foreign: int = 0
    streams_incomplete: int = 0
    shutdown: ShutdownSchedule | None = None
    started_at: float = field(default_factory=monotonic)
    listed_nodes: Mapping[NodeId, str] | None = None
    recent_node_counts: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.eras = EraTracker(self.clock.now)
        self.departures = DepartureTable(self.endpoints.rows)
        self.backoffs = BackoffTable(self.endpoints.rows)
        self.brittleness = BrittlenessTable(self.endpoints)
        self.quarantine.may_probe = self._may_probe

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, incarnation: Incarnation, rng: Random
    ) -> EntryState:
        """Return empty tables for a node that starts."""
        usage = UsageCounts(settings.bounds.usage_window_s)
        me = PeerRow(
            node=NodeId(settings.node),
            incarnation=incarnation,
            version=0,
            host=parse_address(settings.listeners.callers)[0],
            domain=DomainId(settings.failure_domain),
            state=NodeState.STARTING,
            configuration=0,  # type: ignore[arg-type]
            usage=usage.windows,
        )
        clock = ClusterClock()
        return cls(
            settings=settings,
            rng=rng,
            clock=clock,
            peers=PeerTable(me),
            usage=usage,
            freshness=ListFreshness(rng, ListTimes.from_config(settings.bounds)),
            rollouts=RolloutTable(settings.bounds.canary_share, clock.now, rng),
            # Nothing has served before the first start of the whole system.
            versions=VersionHistory(-inf if settings.first_start else inf),
        )

    @property
    def me(self) -> PeerRow:
        """Return this node's own row."""
        return self.peers.me

    @property
    def ready(self) -> bool:
        """Return whether this node accepts callers."""
        return self.me.state is NodeState.READY

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply changed settings.

        Notes
        -----
        Retry budgets keep their history. A budget without it would allow the retries of
        a full window again after every reload.
        """
        self.settings = settings
        self.freshness.times = ListTimes.from_config(settings.bounds)
        self.rollouts.canary_share = settings.bounds.canary_share
        for budget in self.budgets.values():
            budget.ratio = settings.bounds.retry_ratio
            budget.slack = settings.bounds.retry_slack
            budget.window_s = settings.bounds.retry_window_s

    def restore_notices(self, row: Endpoint) -> None:
        """Apply to a new row what its run has stated in answers."""
        row.departure_stated = self.departures.includes(row)
        self.backoffs.restore(row)

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return a service's retry budget; create it if necessary."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
            self.budgets[service] = found
        return found

    def bucket(self, team: Team, now: float) -> Bucket | None:
        """Return a team's quota bucket, None if the team has no quota."""
        if team.quota is None:
            return None
        found = self.buckets.get(team.name)
        if found is None:
            found = Bucket.starting(
                team.quota, now, self.total_nodes, self.settings.first_start
            )
            self.buckets[team.name] = found
        return found

    def note_end(self, service: ServiceName, now: float) -> None:
        """Record that a request of a service has ended."""
        self.end_times.setdefault(service, deque(maxlen=500)).append(now)

    def end_rate(self, service: ServiceName, now: float) -> float:
        """Return the recent rate of ended requests of a service, per second."""
        times = self.end_times.get(service, ())
        return sum(1 for at in times if now - at <= RATE_WINDOW_S) / RATE_WINDOW_S

    def count_nodes(self, now: float) -> int:
        """Return the largest recent number of live nodes, including this one."""
        alive = 1 + len(self.peers.alive(now))
        recent = [
            (at, n)
            for at, n in self.recent_node_counts
            if now - at < NODE_COUNT_WINDOW_S
        ]
        if not recent or recent[-1][1] != alive:
            recent.append((now, alive))
        self.recent_node_counts = recent
        return max(n for _, n in recent)

    @property
    def total_nodes(self) -> int:
        """Return the number of nodes, including silent ones and this one.

        Notes
        -----
        A node that stopped cleanly does not count. A silent node counts: it can be
        partitioned and still serve callers.
        """
        states = self.peers.states()
        stopped = sum(state is NodeState.STOPPED for state in states.values())
        return 1 + max(len(states), len(self.listed_nodes or ())) - stopped

    def coordinators(self) -> dict[NodeId, str]:
        """Return the hosts of nodes that can be coordinators of endpoints."""
        now = monotonic()
        nodes = eligible_nodes(
            [self.me, *self.peers.alive(now)],
            self.peers.states().keys(),
            self.listed_nodes or {},
            now - self.started_at,
        )
        return nodes or {self.me.node: self.me.host}

    def _may_probe(self, key: PartKey) -> bool:
        return choose_coordinator(key, self.coordinators()) == self.me.node

    def reachable_fractions(self) -> tuple[float, float]:
        """Return the fractions of all nodes that are alive, and that one node is.

        Notes
        -----
        The live nodes include this one. If each node scales a limit by the first
        fraction, partitioned groups of nodes together stay within the limit.
        """
        alive = 1 + len(self.peers.alive(monotonic()))
        total = max(alive, self.total_nodes)
        return alive / total, 1 / total

    def total_demand(self, service: ServiceName, now: float) -> float:
        """Return the demand of the callers of all nodes, in tokens per second."""
        reports = [self.me, *self.peers.rows_and_summaries(now)]
        return float(sum(report.demand.get(service, 0) for report in reports))

    @property
    def fair_shares(self) -> bool:
        """Return whether contended services are divided between the teams."""
        configuration = self.configuration
        if configuration is None or not configuration.has_contenders:
            return False
        return self.settings.scheduling.fair_shares

    @property
    def prompt_shares(self) -> bool:
        """Return whether the queues of prompts at engines are divided as well."""
        return self.fair_shares and self.settings.scheduling.prompt_shares

    def update_shares(self, now: float) -> None:
        """Compute the shares of the teams in the services that are short."""
        sums: Counter[ServiceName] = Counter()
        for report in [self.me, *self.peers.rows_and_summaries(now)]:
            sums.update(report.demand)
        contended = contended_services(sums) if self.prompt_shares else set()
        for service in [each for each in self.markers if each not in contended]:
            del self.markers[service]
        teams = {} if self.configuration is None else self.configuration.teams
        weights = {name: team_weight(team, teams) for name, team in teams.items()}
        for service in contended:
            marker = self.markers.setdefault(service, ShareMarker())
            marker.fractions = share_fractions(sums, service, weights)

    def sum_loads(self, now: float) -> None:
        """Sum the other nodes' requests at each endpoint, and divide its slots."""
        nodes = self.count_nodes(now)
        for row in self.endpoints.rows.values():
            row.running_at_other_nodes = 0
            row.slot_share = max_slots_per_node(row.slots, nodes)
        for report in self.peers.rows_and_summaries(now):
            for endpoint, count in report.loads.items():
                found = self.endpoints.rows.get(endpoint)
                if found is not None:
                    found.running_at_other_nodes += count
