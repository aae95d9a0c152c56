"""Simulation of roll-outs in virtual time, with the decisions of the real nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from random import Random
from typing import Any

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint, EndpointTable
from poplarrelay.entry.rollouts.coordinator import (
    Capacity,
    RolloutCoordinator,
    RolloutReport,
)
from poplarrelay.entry.rollouts.evidence import LatencyKind, RouteName
from poplarrelay.entry.rollouts.records import (
    RolloutOrder,
    RolloutPhase,
    RolloutProgress,
)
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.entry.rollouts.verdict import SequentialTest, VersionTest
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    Incarnation,
    NodeId,
    Offset,
    SoftwareVersion,
)
from poplarrelay.testing.virtual_time import VirtualTime

__all__ = [
    "Onset",
    "Outcome",
    "RolloutScenario",
    "VersionFault",
    "is_overexposed",
    "simulate_rollout",
]

SERVICE = ServiceName("drafts")
OLD, NEW = SoftwareVersion("1"), SoftwareVersion("2")
#: Share of failures of every version, by route.
ROUTES = {RouteName("book"): 0.004, RouteName("remind"): 0.14, RouteName("draft"): 0.0}
#: Endpoints, slots, requests per second, and seconds of a request and of its first
#: event, of the simulated services.
SERVICES: tuple[tuple[int, int, float, float, float | None], ...] = (
    (4, 6, 100.0, 0.03, None),
    (45, 24, 226.0, 2.0, 0.2),
    (9, 24, 60.0, 1.2, 0.15),
)
#: Seconds of simulated time before the order, and after the deadline.
BEFORE_S, AFTER_S = 3.0, 4.0
TICK_S = 0.1
ROUND_S = 0.4
DECISION_S = 0.2
#: Nodes that get progress in one round, or after a change.
FANOUT = 4
#: Seconds that a message takes, at least and at most, and share of lost ones.
MESSAGE_S = (0.001, 0.05)
LOST_SHARE = 0.02
#: Seconds after which the duties pass to another node when their holder ends.
FAILOVER_S = 2.2


class Onset(Enum):
    """When a fault of the target version shows."""

    AT_ONCE = "at once"
    LATE = "late"
    UNDER_LOAD = "under load"
    ONE_ROUTE = "one route"


@dataclass(frozen=True, slots=True)
class VersionFault:
    """Fault of the target version.

    Attributes
    ----------
    failure_share, slow_share : float
        Share of the answers that are failures, and that are slow.
    slowdown : float
        Factor by which slow answers take longer.
    late_s : float
        Seconds after the order from which a late fault shows.
    """

    onset: Onset
    failure_share: float = 0.0
    slow_share: float = 0.0
    slowdown: float = 1.0
    late_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RolloutScenario:
    """One simulated roll-out.

    Attributes
    ----------
    per_s : float
        Requests per second.
    service_s : float
        Mean duration of a request in seconds.
    first_event_s : float or None
        Mean time until the first event of a stream, None for calls.
    boot_s : float
        Seconds from the order until the endpoints of the target version serve.
    cut_from_peers, cut_from_store : float
        Share of the nodes that reach no other node, and no store.
    killed : float
        Share of the nodes that are killed and restarted during the roll-out.
    holder_dies : bool
        Whether the holder of the duties ends during the roll-out.
    store_away : tuple of float
        Seconds after the order at which the store goes away and returns.
    grey_old : bool
        Whether an endpoint of the old version fails four in ten of its requests.
    """

    seed: int
    nodes: int
    endpoints: int
    slots: int
    per_s: float
    service_s: float
    first_event_s: float | None
    duration_s: float
    boot_s: float
    fault: VersionFault | None = None
    cut_from_peers: float = 0.0
    cut_from_store: float = 0.0
    killed: float = 0.0
    holder_dies: bool = False
    store_away: tuple[float, float] = (inf, inf)
    grey_old: bool = False
    canary_share: float = 0.1

    @classmethod
    def random(cls, seed: int, bad: bool, nodes: int) -> RolloutScenario:
        """Return a scenario drawn from a seed."""
        rng = Random(f"{seed}/{bad}/{nodes}")
        endpoints, slots, per_s, service_s, first_event_s = rng.choice(SERVICES)
        duration_s = rng.choice([10.0, 12.0, 20.0, 30.0])
        trouble = rng.choice(["", "", "peers", "store", "kills", "holder", "away"])
        away_at = rng.uniform(0.0, duration_s - 4.0)
        return cls(
            seed=seed,
            nodes=nodes,
            endpoints=endpoints,
            slots=slots,
            per_s=per_s,
            service_s=service_s,
            first_event_s=first_event_s,
            duration_s=duration_s,
            boot_s=rng.uniform(0.2, 0.3 * duration_s),
            fault=_random_fault(rng, duration_s) if bad else None,
            cut_from_peers=0.1 if trouble == "peers" else 0.0,
            cut_from_store=0.2 if trouble == "store" else 0.0,
            killed=0.3 if trouble == "kills" else 0.0,
            holder_dies=trouble == "holder",
            store_away=(away_at, away_at + 2.0) if trouble == "away" else (inf, inf),
            grey_old=rng.random() < 0.2,
        )


def _random_fault(rng: Random, duration_s: float) -> VersionFault:
    onset = rng.choice(list(Onset))
    late_s = rng.uniform(0.2, 0.9) * duration_s
    if rng.random() < 0.5:
        return VersionFault(onset, rng.uniform(0.05, 0.6), late_s=late_s)
    slow_share = rng.choice([1.0, rng.uniform(0.2, 1.0)])
    return VersionFault(onset, 0.0, slow_share, rng.uniform(3.0, 10.0), late_s)


@dataclass(slots=True)
class Outcome:
    """What a simulated roll-out showed; times are seconds after the order.

    Attributes
    ----------
    phase : RolloutPhase
        Last phase that was written to the store.
    why : str
        Reason for that phase.
    moved_s : float
        Time at which the target version's share was raised.
    ended_s : float
        Time at which that phase was written.
    sent_target, sent : int
        Requests that reached the target version, and the service, until the deadline.
    bad_answers : list of float
        Times of the bad answers.
    last_target_s : float
        Time of the last request that was sent to the target version.
    running_at_others : int
        Requests that ran at other versions when the roll-out was completed.
    refused : int
        Requests for which no endpoint was allowed.
    """

    phase: RolloutPhase = RolloutPhase.CANARY
    why: str = ""
    moved_s: float = inf
    ended_s: float = inf
    sent_target: int = 0
    sent: int = 0
    bad_answers: list[float] = field(default_factory=list)
    last_target_s: float = -inf
    running_at_others: int = 0
    refused: int = 0

    @property
    def bad_in_canary(self) -> int:
        """Return the number of bad answers before the target's share was raised."""
        return sum(at < self.moved_s for at in self.bad_answers)

    @property
    def exposure(self) -> float:
        """Return the share of the requests that the target version got."""
        return self.sent_target / max(1, self.sent)

    @property
    def rollback_s(self) -> float:
        """Return the seconds from the 50th bad answer to the target's last request."""
        if len(self.bad_answers) < 50:
            return 0.0
        return max(0.0, self.last_target_s - sorted(self.bad_answers)[49])


@dataclass(slots=True)
class _Node:
    """A node: its tables, and what it reaches."""

    name: NodeId
    incarnation: Incarnation
    table: RolloutTable
    endpoints: EndpointTable
    reaches_peers: bool = True
    reaches_store: bool = True
    coordinator: RolloutCoordinator | None = None


class _Simulation:
    """State of one simulated roll-out."""

    def __init__(self, scenario: RolloutScenario, test: VersionTest) -> None:
        self._scenario = scenario
        self._test = test
        self._rng = Random(scenario.seed)
        self._time = VirtualTime(-BEFORE_S)
        self._active: dict[EndpointId, int] = {}
        self._stored: RolloutProgress | None = None
        self._order = RolloutOrder(SERVICE, NEW, scenario.duration_s, Offset(7))
        self._nodes = [self._new_node(number, 0) for number in range(scenario.nodes)]
        for node in self._nodes[: round(scenario.cut_from_peers * scenario.nodes)]:
            node.reaches_peers = False
        cut = round(scenario.cut_from_store * scenario.nodes)
        for node in self._nodes[scenario.nodes - cut :]:
            node.reaches_store = False
        self._holder = scenario.nodes // 2
        self.outcome = Outcome()

    def _new_node(self, number: int, run: int) -> _Node:
        table = RolloutTable(
            self._scenario.canary_share, lambda: self._time.now, self._rng, self._test
        )
        node = _Node(
            NodeId(f"node-{number}"), Incarnation(f"{run}"), table, EndpointTable()
        )
        for index in range(self._scenario.endpoints):
            self._add_endpoint(node, index, OLD)
        node.table.mark_endpoints(node.endpoints, self._time.now)
        return node

    def _add_endpoint(self, node: _Node, index: int, version: SoftwareVersion) -> None:
        row = Endpoint(
            EndpointId(f"{version}-{index}"),
            SERVICE,
            ("10.0.0.1", 1),
            DomainId("north"),
            self._scenario.slots,
            version=version,
        )
        node.endpoints.put(row)

    # events

    def run(self) -> None:
        """Play the roll-out."""
        scenario, rng = self._scenario, self._rng
        end = scenario.duration_s + AFTER_S
        self._time.at(0.0, self._give_order)
        self._time.at(scenario.boot_s, self._add_target)
        for number in range(scenario.nodes):
            self._time.at(rng.uniform(-1.0, 0.0), self._round, number)
        self._time.at(0.05, self._decide)
        self._time.at(-BEFORE_S, self._arrive)
        for number in range(scenario.nodes):
            if rng.random() < scenario.killed:
                at = rng.uniform(0.0, scenario.duration_s)
                self._time.at(at, self._restart, number)
        if scenario.holder_dies:
            at = rng.uniform(0.0, scenario.duration_s - FAILOVER_S)
            self._time.at(at, self._change_holder)
        self._time.run(end)

    def _give_order(self) -> None:
        for node in self._nodes:
            if node.reaches_store:
                delay_s = self._rng.uniform(*MESSAGE_S)
                self._time.at(delay_s, self._read_order, node)

    def _read_order(self, node: _Node) -> None:
        node.table.receive_order(self._order)
        node.table.mark_endpoints(node.endpoints, self._time.now)

    def _add_target(self) -> None:
        for number in range(len(self._nodes)):
            delay_s = self._rng.uniform(0.0, 1.0)
            self._time.after(delay_s, self._add_target_endpoints, number)

    def _add_target_endpoints(self, number: int) -> None:
        node = self._nodes[number]
        for index in range(self._scenario.endpoints):
            self._add_endpoint(node, index, NEW)
        node.table.mark_endpoints(node.endpoints, self._time.now)

    def _restart(self, number: int) -> None:
        before = self._nodes[number]
        node = self._new_node(number, 1)
        node.reaches_peers = before.reaches_peers
        node.reaches_store = before.reaches_store
        self._nodes[number] = node
        if self._time.now > self._scenario.boot_s + 1.0:
            self._add_target_endpoints(number)
        if node.reaches_store and not self._store_is_away():
            self._read_order(node)
            if self._stored is not None:
                node.table.merge(self._stored, "store")
            node.table.mark_endpoints(node.endpoints, self._time.now)

    # requests

    def _arrive(self) -> None:
        rng, scenario = self._rng, self._scenario
        self._time.after(rng.expovariate(scenario.per_s), self._arrive)
        node = rng.choice(self._nodes)
        rows = node.table.eligible(
            SERVICE, node.endpoints.accepting(SERVICE), self._time.now
        )
        if not rows:
            self.outcome.refused += 1
            return
        pair = rng.sample(list(rows), min(2, len(rows)))
        row = min(pair, key=lambda row: self._active.get(row.endpoint, 0))
        row.acquire_slot()
        node.table.note_acquired(row)
        self._start(node, row, rng.choice(list(ROUTES)))

    def _start(self, node: _Node, row: Endpoint, route: RouteName) -> None:
        rng, scenario = self._rng, self._scenario
        active = self._active[row.endpoint] = self._active.get(row.endpoint, 0) + 1
        fault = self._fault(row, route, active)
        failed = rng.random() < ROUTES[route]
        failed |= scenario.grey_old and row.endpoint == "1-0" and rng.random() < 0.4
        took_s = scenario.service_s * rng.lognormvariate(-0.125, 0.5)
        bad = False
        if fault is not None:
            bad = rng.random() < fault.failure_share
            failed |= bad
            if rng.random() < fault.slow_share:
                took_s *= fault.slowdown
                bad = True
        target = row.version == NEW
        if 0 <= self._time.now <= scenario.duration_s:
            self.outcome.sent += 1
            self.outcome.sent_target += target
        if target:
            self.outcome.last_target_s = self._time.now
        if scenario.first_event_s is not None and not failed:
            first_s = took_s * scenario.first_event_s / scenario.service_s
            self._time.after(first_s, self._begin, node, row, route, first_s)
        latency = None if failed or scenario.first_event_s is not None else took_s
        end_at = self._time.now + took_s * (rng.random() if failed else 1.0)
        took_s = end_at - self._time.now
        self._time.at(end_at, self._end, node, row, route, failed, bad, latency, took_s)

    def _begin(
        self, node: _Node, row: Endpoint, route: RouteName, first_s: float
    ) -> None:
        """Handle the first event of a stream."""
        node.table.note_latency(row, route, LatencyKind.FIRST_EVENT, first_s)

    def _fault(
        self, row: Endpoint, route: RouteName, active: int
    ) -> VersionFault | None:
        """Return the fault of the target version if it shows for a request."""
        fault = self._scenario.fault
        if fault is None or row.version != NEW:
            return None
        load = self._scenario.per_s * self._scenario.service_s
        shows = {
            Onset.AT_ONCE: True,
            Onset.LATE: self._time.now >= fault.late_s,
            Onset.UNDER_LOAD: active >= 0.3 * load / self._scenario.endpoints,
            Onset.ONE_ROUTE: route == next(iter(ROUTES)),
        }[fault.onset]
        return fault if shows else None

    def _end(
        self,
        node: _Node,
        row: Endpoint,
        route: RouteName,
        failed: bool,
        bad: bool,
        latency: float | None,
        took_s: float,
    ) -> None:
        row.running -= 1
        self._active[row.endpoint] -= 1
        if bad:
            self.outcome.bad_answers.append(self._time.now)
        node.table.note_duration(SERVICE, took_s)
        node.table.note_answer(row, route, failed)
        if latency is not None:
            node.table.note_latency(row, route, LatencyKind.ANSWER, latency)

    # messages

    def _send(self, receiver: _Node, action: Callable[..., None], *values: Any) -> None:
        if receiver.reaches_peers and self._rng.random() >= LOST_SHARE:
            self._time.after(self._rng.uniform(*MESSAGE_S), action, *values)

    def _round(self, number: int) -> None:
        pause_s = ROUND_S * self._rng.uniform(0.9, 1.1)
        self._time.after(pause_s, self._round, number)
        node = self._nodes[number]
        node.table.mark_endpoints(node.endpoints, self._time.now)
        node.table.judge_own_evidence()
        self._gossip(node)
        local = node.table.get(SERVICE)
        if local is None or not local.is_open or not node.reaches_peers:
            return
        rows = node.endpoints.of(SERVICE)
        report = node.table.report(local, node.name, node.incarnation, rows).encode()
        holder = self._nodes[self._holder]
        if local.progress.coordinator == holder.name:
            self._send(holder, self._receive_report, holder, report)

    def _receive_report(self, holder: _Node, raw: list[Any]) -> None:
        if holder.coordinator is not None:
            holder.coordinator.receive(RolloutReport.decode(raw), self._time.now)

    def _gossip(self, node: _Node) -> None:
        node.table.urgent = False
        records = node.table.outgoing()
        if not records or not node.reaches_peers:
            return
        for peer in self._rng.sample(self._nodes, min(FANOUT, len(self._nodes))):
            self._send(peer, self._receive, peer, records)

    def _receive(self, node: _Node, records: list[Any]) -> None:
        node.table.receive(records, "peer")
        if node.table.urgent:
            node.table.mark_endpoints(node.endpoints, self._time.now)
            node.table.urgent = False
            self._time.after(TICK_S, self._gossip, node)

    # the holder of the duties and the store

    def _store_is_away(self) -> bool:
        begins, ends = self._scenario.store_away
        return begins <= self._time.now < ends

    def _change_holder(self) -> None:
        self._restart(self._holder)
        before = self._holder
        self._holder = -1

        def take_over() -> None:
            self._holder = (before + 1) % len(self._nodes)

        self._time.after(FAILOVER_S, take_over)

    def _decide(self) -> None:
        self._time.after(DECISION_S, self._decide)
        if self._holder < 0 or self._store_is_away():
            return
        node = self._nodes[self._holder]
        local = node.table.get(SERVICE)
        if local is None or not node.reaches_store:
            return
        if node.coordinator is None:
            node.coordinator = RolloutCoordinator(
                self._scenario.canary_share, self._test
            )
        rows = node.endpoints.of(SERVICE)
        target, others = local.split(rows)
        own = node.table.report(local, node.name, node.incarnation, rows)
        node.coordinator.receive(own, self._time.now)
        names = [each.name for each in self._nodes if each.reaches_peers]
        capacity = Capacity.from_rows(target, others)
        progress = node.coordinator.decide(
            local.progress,
            capacity,
            local.had_others,
            names,
            len(names),
            self._time.now,
        )
        if progress.phase is RolloutPhase.COMPLETED:
            progress = progress.bar([OLD])
        self._write(node, progress.by(1, node.name))

    def _write(self, holder: _Node, progress: RolloutProgress) -> None:
        if self._stored is not None and self._stored.phase.is_final:
            return
        if self._stored is None or self._stored.phase is not progress.phase:
            self._note_phase(progress)
        self._stored = progress
        holder.table.merge(progress, "this node")
        for node in self._nodes:
            if node.reaches_store:
                delay_s = self._rng.uniform(*MESSAGE_S)
                self._time.after(delay_s, self._read_progress, node, progress)

    def _note_phase(self, progress: RolloutProgress) -> None:
        outcome = self.outcome
        outcome.phase, outcome.ended_s = progress.phase, self._time.now
        outcome.why = progress.why
        if progress.phase is RolloutPhase.MOVING:
            outcome.moved_s = self._time.now
        if progress.phase is RolloutPhase.COMPLETED:
            outcome.running_at_others = sum(
                active
                for endpoint, active in self._active.items()
                if endpoint.startswith(OLD)
            )

    def _read_progress(self, node: _Node, progress: RolloutProgress) -> None:
        if not self._store_is_away():
            node.table.merge(progress, "store")
            node.table.mark_endpoints(node.endpoints, self._time.now)


def simulate_rollout(
    scenario: RolloutScenario, test: VersionTest | None = None
) -> Outcome:
    """Play a roll-out in virtual time and return its outcome.

    Parameters
    ----------
    scenario : RolloutScenario
        The roll-out.
    test : VersionTest or None
        Test of the target version, the sequential test by default.

    Examples
    --------
    >>> scenario = RolloutScenario(1, 9, 4, 6, 100.0, 0.03, None, 10.0, 1.0)
    >>> simulate_rollout(scenario).phase
    <RolloutPhase.COMPLETED: 3>
    """
    simulation = _Simulation(scenario, test or SequentialTest())
    simulation.run()
    return simulation.outcome


def is_overexposed(scenario: RolloutScenario, outcome: Outcome, slack: float) -> bool:
    """Return whether a bad version got more requests than the bound allows."""
    allowed = scenario.canary_share * outcome.sent + slack
    return scenario.fault is not None and outcome.sent_target > allowed
