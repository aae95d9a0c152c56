"""Simulation of a quota over many nodes in virtual time, with the real buckets."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from math import inf
from random import Random

from poplarrelay.entry.cells import cell_bits, cell_of
from poplarrelay.entry.charging import (
    ESTIMATE_ERROR_SHARE,
    OVERRUN_SHARE,
    RESUMED_SHARE,
    UNREPORTED_SHARE,
)
from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.quotas import Bucket, raise_refill
from poplarrelay.identifiers import NodeId
from poplarrelay.testing.virtual_time import VirtualTime

__all__ = ["QuotaOutcome", "QuotaScenario", "simulate_quota"]

#: Seconds between a node's reports, and until the nodes of its cell and of other cells
#: have received one, at least and at most.
ROUND_S = 0.4
CELL_DELAY_S = (0.02, 0.7)
OTHER_CELL_DELAY_S = (0.3, 1.6)
ANNOUNCE_S = 0.05
#: Seconds within which the processes of all nodes start.
START_SPREAD_S = 0.3
#: Cost of a stream that is taken up, and seconds after the restart in which they are.
RESUMED_COST, RESUMED_WITHIN_S = 13_000.0, 0.3
#: Seconds without a report after which a node does not count as alive.
SILENCE_S = 1.5
#: Shares of the requests, with the median cost and the spread of each kind.
KINDS = (
    (0.14, 9000.0, 0.8),
    (0.28, 900.0, 0.6),
    (0.28, 2000.0, 0.6),
    (0.3, 200.0, 0.0),
)
MAX_COST = 70_000.0
MEAN_COST = 3100.0


@dataclass(frozen=True, slots=True)
class QuotaScenario:
    """Demand of one team, and faults.

    Attributes
    ----------
    per_s : float
        Quota in tokens per second; the burst is one second of it.
    load : float
        Demand as a multiple of the quota.
    flood : tuple of float
        Start, end and factor of a flood.
    killed_at : float
        Time at which all nodes are killed; they serve again one second later.
    cut : tuple of float
        Start, end and share of a partition of the nodes.
    resumed : int
        Streams that are taken up after the nodes serve again.
    """

    nodes: int
    seed: int
    per_s: float = 336_000.0
    load: float = 0.55
    flood: tuple[float, float, float] = (inf, inf, 1.0)
    killed_at: float = inf
    cut: tuple[float, float, float] = (inf, inf, 0.0)
    resumed: int = 0
    length_s: float = 20.0
    overrun: float = 0.1
    slack: float = 140_000.0
    window_s: float = 8.0

    @property
    def quota(self) -> Quota:
        """Return the quota."""
        return Quota(self.per_s, self.per_s, True, 200.0)

    @property
    def bound(self) -> float:
        """Return how much may be used in a window."""
        nominal = self.per_s * self.window_s + self.per_s
        return nominal * (1 + self.overrun) + self.slack


@dataclass(slots=True)
class QuotaOutcome:
    """Result of a simulation.

    Attributes
    ----------
    owed, refused : int
        Requests within the quota by a single bucket that all requests pass, and those
        of them that were refused.
    owed_tokens, refused_tokens : float
        Their cost.
    admitted : float
        Cost of all admitted requests.
    most_in_window : float
        Largest use in a window, as a share of the bound.
    resumed : int
        Streams taken up that were admitted.
    reports : int
        Announcements between two rounds.
    owed_by_second, refused_by_second : Counter
        Requests within the quota, and those of them that were refused, by second.
    """

    owed: int = 0
    refused: int = 0
    owed_tokens: float = 0.0
    refused_tokens: float = 0.0
    admitted: float = 0.0
    most_in_window: float = 0.0
    resumed: int = 0
    reports: int = 0
    owed_by_second: Counter[int] = field(default_factory=Counter)
    refused_by_second: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class _Node:
    name: NodeId
    run: int
    started_at: float
    bucket: Bucket
    seen: dict[str, tuple[float, float]] = field(default_factory=dict)
    announced: bool = False


class _Simulation:
    def __init__(self, scenario: QuotaScenario) -> None:
        self._scenario = scenario
        self._rng = Random(scenario.seed)
        self._time = VirtualTime(0.0)
        names = [NodeId(f"node-{number}") for number in range(scenario.nodes)]
        self._bits = cell_bits(scenario.nodes, 0)
        self._cells: dict[int, list[int]] = {}
        for number, name in enumerate(names):
            cell = cell_of(name, self._bits).number
            self._cells.setdefault(cell, []).append(number)
        self._cell_of = {n: c for c, members in self._cells.items() for n in members}
        self._nodes = [self._new_node(name, 0, True) for name in names]
        self._down = False
        self._window: deque[tuple[float, float]] = deque()
        self._in_window = 0.0
        self._oracle = Bucket.starting(scenario.quota, 0.0, 1, True)
        self.outcome = QuotaOutcome()

    def _new_node(self, name: NodeId, run: int, first: bool) -> _Node:
        bounds = self._scenario
        bucket = Bucket.starting(bounds.quota, self._time.now, bounds.nodes, first)
        started_at = self._time.now + self._rng.uniform(0, START_SPREAD_S)
        return _Node(name, run, started_at, bucket)

    def run(self) -> None:
        scenario = self._scenario
        for number in range(scenario.nodes):
            self._time.at(self._rng.uniform(0, ROUND_S), self._round, number)
        self._time.at(0.0, self._arrive)
        if scenario.killed_at < inf:
            self._time.at(scenario.killed_at, self._kill)
        self._time.run(scenario.length_s)

    def _kill(self) -> None:
        self._down = True
        self._time.after(1.0, self._restart)

    def _restart(self) -> None:
        self._down = False
        self._nodes = [self._new_node(n.name, n.run + 1, False) for n in self._nodes]
        for _ in range(self._scenario.resumed):
            delay_s = self._rng.uniform(0, RESUMED_WITHIN_S)
            self._time.after(delay_s, self._take_up)

    def _take_up(self) -> None:
        """Try to go on with a stream at a random node."""
        number = self._rng.randrange(self._scenario.nodes)
        share = ESTIMATE_ERROR_SHARE + RESUMED_SHARE
        self.outcome.resumed += self._take(number, RESUMED_COST, share)

    # requests

    def _arrive(self) -> None:
        scenario, rng = self._scenario, self._rng
        begins, ends, factor = scenario.flood
        load = scenario.load * (factor if begins <= self._time.now < ends else 1.0)
        self._time.after(
            rng.expovariate(load * scenario.per_s / MEAN_COST), self._arrive
        )
        if self._down:
            return
        cost = self._draw_cost()
        owed = self._oracle.take(scenario.quota, cost, self._time.now, 1) is None
        number = rng.randrange(scenario.nodes)
        admitted = self._take(number, cost)
        if owed:
            self.outcome.owed += 1
            self.outcome.owed_tokens += cost
            self.outcome.owed_by_second[int(self._time.now)] += 1
            if not admitted:
                self.outcome.refused += 1
                self.outcome.refused_tokens += cost
                self.outcome.refused_by_second[int(self._time.now)] += 1

    def _draw_cost(self) -> float:
        kinds = [(median, spread) for _, median, spread in KINDS]
        weights = [share for share, _, _ in KINDS]
        median, spread = self._rng.choices(kinds, weights)[0]
        return min(MAX_COST, median * self._rng.lognormvariate(0.0, spread))

    def _take(
        self, number: int, cost: float, tolerance_share: float = ESTIMATE_ERROR_SHARE
    ) -> bool:
        scenario = self._scenario
        bucket = self._nodes[number].bucket
        quota = raise_refill(scenario.quota, OVERRUN_SHARE * scenario.overrun)
        tolerance = tolerance_share * scenario.slack
        if (
            bucket.take(quota, cost, self._time.now, scenario.nodes, tolerance)
            is not None
        ):
            return False
        self.outcome.admitted += cost
        self._window.append((self._time.now, cost))
        self._in_window += cost
        while self._window[0][0] <= self._time.now - scenario.window_s:
            self._in_window -= self._window.popleft()[1]
        share = self._in_window / scenario.bound
        self.outcome.most_in_window = max(self.outcome.most_in_window, share)
        unreported = bucket.used - bucket.reported
        limit = UNREPORTED_SHARE * scenario.slack / scenario.nodes
        node = self._nodes[number]
        if bucket.is_low(quota) and unreported > limit and not node.announced:
            node.announced = True
            delay_s = max(ANNOUNCE_S, 0.005 * len(self._cells[self._cell_of[number]]))
            self._time.after(delay_s, self._announce, number)
        return True

    # reports

    def _is_cut(self, sender: int, receiver: int) -> bool:
        begins, ends, share = self._scenario.cut
        if not begins <= self._time.now < ends:
            return False
        limit = share * self._scenario.nodes
        return (sender < limit) != (receiver < limit)

    def _announce(self, number: int) -> None:
        if self._down:
            return
        self.outcome.reports += 1
        self._nodes[number].announced = False
        self._send_row(number, (0.001, 0.01))

    def _round(self, number: int) -> None:
        pause_s = ROUND_S * self._rng.uniform(0.9, 1.1)
        self._time.after(pause_s, self._round, number)
        if self._down:
            return
        self._send_row(number, CELL_DELAY_S)
        cell = self._cell_of[number]
        if self._bits and number == self._representative(number):
            self._send_summary(number, cell)

    def _representative(self, number: int) -> int:
        """Return the first node of the cell that the node can reach."""
        cell = self._cells[self._cell_of[number]]
        return next(other for other in cell if not self._is_cut(number, other))

    def _send_row(self, number: int, delays_s: tuple[float, float]) -> None:
        node = self._nodes[number]
        node.bucket.reported = node.bucket.used
        for other in self._cells[self._cell_of[number]]:
            if other != number and not self._is_cut(number, other):
                at = self._time.now + self._rng.uniform(*delays_s)
                self._time.at(at, self._receive, other, node, node.bucket.used)

    def _receive(self, number: int, sender: _Node, used: float) -> None:
        node = self._nodes[number]
        reporter = f"{sender.name}/{sender.run}"
        known, _ = node.seen.get(reporter, (0.0, 0.0))
        if self._down or used < known or sender.run != node.run:
            return
        node.seen[reporter] = (used, self._time.now)
        baseline = used if sender.started_at < node.started_at else 0.0
        node.bucket.receive(reporter, used, baseline, self._time.now)

    def _send_summary(self, number: int, cell: int) -> None:
        node = self._nodes[number]
        total = node.bucket.used + sum(used for used, _ in node.seen.values())
        alive = 1 + sum(
            self._time.now - at <= SILENCE_S for _, at in node.seen.values()
        )
        for other in range(self._scenario.nodes):
            if self._cell_of[other] != cell and not self._is_cut(number, other):
                at = self._time.now + self._rng.uniform(*OTHER_CELL_DELAY_S)
                self._time.at(
                    at, self._receive_summary, other, node, cell, total, alive
                )

    def _receive_summary(
        self, number: int, sender: _Node, cell: int, total: float, alive: int
    ) -> None:
        node = self._nodes[number]
        if self._down or sender.run != node.run:
            return
        run = f"{sender.name}/{sender.run}"
        node.bucket.record_cell_usage(f"cell-{cell}", run, total, alive, self._time.now)


def simulate_quota(scenario: QuotaScenario) -> QuotaOutcome:
    """Play a scenario and return its outcome."""
    simulation = _Simulation(scenario)
    simulation.run()
    return simulation.outcome
