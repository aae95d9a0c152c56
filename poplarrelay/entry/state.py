"""Tables of an entry node, owned by its event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from time import monotonic

from poplarrelay.entry.budgets import RetryBudget
from poplarrelay.entry.clock import ClusterClock
from poplarrelay.entry.configuration import Configuration, ServiceName, Team
from poplarrelay.entry.crashes import CrashTable
from poplarrelay.entry.demand import DemandMeter
from poplarrelay.entry.endpoints import EndpointTable
from poplarrelay.entry.list_freshness import ListFreshness, ListTimes
from poplarrelay.entry.metering import UsageCounts
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.entry.peers import PeerTable
from poplarrelay.entry.quotas import Bucket
from poplarrelay.entry.settings import EntrySettings, parse_address
from poplarrelay.entry.slot_limits import max_slots_per_node
from poplarrelay.identifiers import DomainId, Incarnation, NodeId, TeamId

__all__ = ["EntryState"]

#: Seconds over which the rate of ended requests is taken.
RATE_WINDOW_S = 3.0
#: Seconds for which the largest number of nodes seen counts for shared budgets.
NODES_MEMORY_S = 30.0


@dataclass(slots=True)
class EntryState:
    """All tables of one node.

    Attributes
    ----------
    configuration : Configuration or None
        What is in force here, None before any is known.
    configuration_record : bytes
        Its record, to be passed on to peers.
    configuration_at : float
        Monotonic time at which it came into force.
    freshness : ListFreshness
        How old the list of endpoints is.
    endpoints_known : bool
        Whether the list of endpoints has been read once.
    stopping_at : float or None
        Monotonic time of the stop signal, None before it.
    listed : collection of NodeId or None
        Other nodes that the directory in the platform's store lists; None before it
        has been read.
    ends : dict of ServiceName to deque of float
        Times at which requests ended, for the rate at which places come free.
    demand : DemandMeter
        What this node's callers ask for.
    crashes : CrashTable
        Crashes of endpoints during requests.
    """

    settings: EntrySettings
    rng: Random
    clock: ClusterClock
    peers: PeerTable
    usage: UsageCounts
    freshness: ListFreshness
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    configuration: Configuration | None = None
    configuration_record: bytes = b""
    configuration_at: float = 0.0
    endpoints_known: bool = False
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    buckets: dict[TeamId, Bucket] = field(default_factory=dict)
    ends: dict[ServiceName, deque[float]] = field(default_factory=dict)
    demand: DemandMeter = field(default_factory=DemandMeter)
    crashes: CrashTable = field(default_factory=CrashTable)
    stopping_at: float | None = None
    listed: Collection[NodeId] | None = None
    most_nodes: list[tuple[float, int]] = field(default_factory=list)

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, incarnation: Incarnation, rng: Random
    ) -> EntryState:
        """Return the empty tables of a node that starts."""
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
        return cls(
            settings=settings,
            rng=rng,
            clock=ClusterClock(),
            peers=PeerTable(me),
            usage=usage,
            freshness=ListFreshness(rng, ListTimes.from_config(settings.bounds)),
        )

    @property
    def me(self) -> PeerRow:
        """Return this node's own row."""
        return self.peers.me

    @property
    def ready(self) -> bool:
        """Return whether this node takes callers."""
        return self.me.state is NodeState.READY

    def apply_settings(self, settings: EntrySettings) -> None:
        """Put changed settings in force.

        Notes
        -----
        Budgets keep what they remember: one that forgot its retries at every reload
        would allow a whole window of them again.
        """
        self.settings = settings
        self.freshness.times = ListTimes.from_config(settings.bounds)
        for budget in self.budgets.values():
            budget.ratio = settings.bounds.retry_ratio
            budget.slack = settings.bounds.retry_slack
            budget.window_s = settings.bounds.retry_window_s

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return a service's retry budget, made if there is none."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
            self.budgets[service] = found
        return found

    def bucket(self, team: Team, now: float) -> Bucket | None:
        """Return a team's bucket, None if it has no quota."""
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
        """Note that a request of a service has ended."""
        self.ends.setdefault(service, deque(maxlen=500)).append(now)

    def end_rate(self, service: ServiceName, now: float) -> float:
        """Return how many requests of a service have lately ended in a second."""
        times = self.ends.get(service, ())
        return sum(1 for at in times if now - at <= RATE_WINDOW_S) / RATE_WINDOW_S

    def count_nodes(self, now: float) -> int:
        """Return the largest number of nodes that have lately been alive together."""
        alive = 1 + len(self.peers.alive(now))
        kept = [(at, n) for at, n in self.most_nodes if now - at < NODES_MEMORY_S]
        if not kept or kept[-1][1] != alive:
            kept.append((now, alive))
        self.most_nodes = kept
        return max(n for _, n in kept)

    @property
    def total_nodes(self) -> int:
        """Return how many nodes there are, as far as this one knows.

        Notes
        -----
        A node that was stopped in order has left; one that is only silent may be
        serving callers behind a cut.
        """
        states = self.peers.states()
        stopped = sum(state is NodeState.STOPPED for state in states.values())
        return 1 + max(len(states), len(self.listed or ())) - stopped

    def coordinators(self) -> dict[NodeId, str]:
        """Return the hosts of the nodes that keep count of engines' prompts."""
        rows = [self.me, *self.peers.alive(monotonic())]
        ready = {r.node: r.host for r in rows if r.state is NodeState.READY}
        return ready or {self.me.node: self.me.host}

    def reachable_fractions(self) -> tuple[float, float]:
        """Return the fractions of all nodes that this node hears, and that one node is.

        Notes
        -----
        The node counts itself as heard. Scaling a limit by the first fraction keeps
        groups of nodes that are cut off from each other within the limit together.
        """
        alive = 1 + len(self.peers.alive(monotonic()))
        total = max(alive, self.total_nodes)
        return alive / total, 1 / total

    def total_demand(self, service: ServiceName, now: float) -> float:
        """Return the tokens a second that the callers of all nodes ask for."""
        told = [self.me, *self.peers.counted(now)]
        return float(sum(each.demand.get(service, 0) for each in told))

    def sum_loads(self, now: float) -> None:
        """Add up what the other nodes have at each endpoint, and divide its slots."""
        nodes = self.count_nodes(now)
        for row in self.endpoints.rows.values():
            row.elsewhere = 0
            row.slot_share = max_slots_per_node(row.slots, nodes)
        for told in self.peers.counted(now):
            for endpoint, count in told.loads.items():
                found = self.endpoints.rows.get(endpoint)
                if found is not None:
                    found.elsewhere += count
