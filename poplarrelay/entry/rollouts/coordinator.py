"""Decisions on a roll-out's next phase, from the evidence of all nodes."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from math import ceil
from typing import Any

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.rollouts.evidence import (
    Evidence,
    Side,
    decode_evidence,
    encode_evidence,
    subtract_evidence,
    sum_evidence,
)
from poplarrelay.entry.rollouts.exposure import RAMP_S, USED_SHARE
from poplarrelay.entry.rollouts.records import RolloutPhase, RolloutProgress
from poplarrelay.entry.rollouts.verdict import (
    MIN_BASE_ANSWERS,
    Conviction,
    SequentialTest,
    VersionTest,
)
from poplarrelay.identifiers import Incarnation, NodeId, Offset

__all__ = ["Capacity", "RolloutCoordinator", "RolloutReport"]

#: Answers of the target version without which its requests do not increase, or fewer if
#: the service has few requests.
MIN_ANSWERS = 10
#: Part of the expected answers that suffices for a service with few requests.
MIN_ANSWERS_SHARE = 0.2
#: Share of the nodes whose reports a coordinator needs to give the target version more
#: requests. A new coordinator has no reports at first.
MIN_REPORTS_SHARE = 0.5
#: Seconds between two starting points of the recent evidence, and number of them. A
#: fault that begins late would be outweighed by the good answers before it.
RECENT_INTERVAL_S = 1.5
RECENT_STARTS = 4
#: Largest share of the time between order and deadline in which the traffic moves.
MAX_MOVE_SHARE = 0.5
#: Seconds before the deadline at which a roll-out is completed although requests still
#: run at the other versions, to leave time for the writes to the store.
COMPLETION_MARGIN_S = 1.0
#: Seconds that the move takes in addition to the ramp and the longest request.
MOVE_MARGIN_S = 0.8
#: Seconds before the deadline at which the move can begin at the latest.
LATEST_MOVE_S = RAMP_S + COMPLETION_MARGIN_S + MOVE_MARGIN_S
#: Slots of the target version per running request of the service without which the
#: other versions are not replaced.
MIN_CAPACITY = 1.1


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """Report of one node to the coordinator.

    Attributes
    ----------
    phase : RolloutPhase
        Phase that the node knows.
    target_only : bool
        Whether the node sends all new requests to the target version.
    running_at_others : int
        Requests of the node that run at endpoints of other versions.
    longest_s : float
        Duration of the node's longest recent requests, in seconds.
    evidence : Evidence
        Answers that the node has received since the order.
    """

    node: NodeId
    incarnation: Incarnation
    service: ServiceName
    offset: Offset
    phase: RolloutPhase
    target_only: bool
    running_at_others: int
    longest_s: float
    evidence: Evidence

    def encode(self) -> list[Any]:
        """Return the report as a list for JSON."""
        return [
            self.node,
            self.incarnation,
            self.service,
            self.offset,
            self.phase.name,
            self.target_only,
            self.running_at_others,
            round(self.longest_s, 2),
            encode_evidence(self.evidence),
        ]

    @classmethod
    def decode(cls, raw: list[Any]) -> RolloutReport:
        """Return the report from its JSON list; raise `ValueError` if invalid."""
        node, incarnation, service, offset, phase, target_only, *rest = raw
        running, longest_s, evidence = rest
        return cls(
            NodeId(str(node)),
            Incarnation(str(incarnation)),
            ServiceName(str(service)),
            Offset(int(offset)),
            RolloutPhase[phase],
            bool(target_only),
            int(running),
            float(longest_s),
            decode_evidence(evidence),
        )


@dataclass(frozen=True, slots=True)
class Capacity:
    """Endpoints and load of a service, as the coordinator sees them.

    Attributes
    ----------
    target_slots, other_slots : int
        Slots of the accepting endpoints of the target version, and of the others.
    running : int
        Requests of all nodes that run at endpoints of the service.
    """

    target_slots: int
    other_slots: int
    running: int

    @classmethod
    def from_rows(
        cls, target: Iterable[Endpoint], others: Iterable[Endpoint]
    ) -> Capacity:
        """Return the capacity of the listed endpoints."""
        target, others = list(target), list(others)
        return cls(
            sum(row.slots for row in target if row.accepts_work),
            sum(row.slots for row in others if row.accepts_work),
            sum(row.load for row in (*target, *others)),
        )

    @property
    def suffices(self) -> bool:
        """Return whether the target version can serve all requests."""
        return self.target_slots > 0 and (
            self.target_slots >= self.other_slots
            or self.target_slots >= MIN_CAPACITY * self.running
        )


@dataclass(slots=True)
class RolloutCoordinator:
    """Decides on the phases of one roll-out.

    Attributes
    ----------
    canary_share : float
        Largest share of the requests for an unproven version.
    test : VersionTest
        Test of the target version.
    move_test : VersionTest
        Stricter test, which the target version must pass before it gets more requests.

    Notes
    -----
    The move begins as late as the deadline permits. The share of an unproven version
    then stays small for as long as possible, and a fault that begins late is found
    while few requests are affected. The duration of the longest requests decides how
    late that is, since they must end before the other endpoints are stopped.
    """

    canary_share: float
    test: VersionTest = field(default_factory=SequentialTest)
    move_test: VersionTest = field(default_factory=lambda: SequentialTest(0.01))
    _reports: dict[tuple[NodeId, Incarnation], RolloutReport] = field(
        default_factory=dict
    )
    _received_at: dict[NodeId, float] = field(default_factory=dict)
    _total: Evidence = field(default_factory=Evidence)
    _starts: deque[Evidence] = field(
        default_factory=lambda: deque(maxlen=RECENT_STARTS)
    )
    _next_start_at: float = float("-inf")

    def receive(self, report: RolloutReport, time_of_day: float) -> None:
        """Store the latest report of a node's process."""
        before = self._reports.get((report.node, report.incarnation))
        if before is not None:
            self._total.add(before.evidence, sign=-1)
        self._total.add(report.evidence)
        self._reports[report.node, report.incarnation] = report
        self._received_at[report.node] = time_of_day

    def is_informed(self, total_nodes: int) -> bool:
        """Return whether enough nodes have reported for more than a revert."""
        return len(self._received_at) >= MIN_REPORTS_SHARE * total_nodes

    def decide(
        self,
        progress: RolloutProgress,
        capacity: Capacity,
        had_others: bool,
        nodes: Collection[NodeId],
        total_nodes: int,
        time_of_day: float,
    ) -> RolloutProgress:
        """Return the progress in the phase that follows now, or unchanged.

        Parameters
        ----------
        progress : RolloutProgress
            Progress of the roll-out.
        capacity : Capacity
            Endpoints and load of the service.
        had_others : bool
            Whether endpoints of another version have been listed since the order.
        nodes : collection of NodeId
            Nodes that are alive.
        total_nodes : int
            Number of nodes, including silent ones.
        time_of_day : float
            Current time in seconds.
        """
        if progress.phase.is_final:
            return progress
        evidence = self._total
        why = self.convict(time_of_day)
        if why:
            return progress.advance(RolloutPhase.REVERTED, why, time_of_day)
        if not self.is_informed(total_nodes):
            return progress
        if progress.phase is RolloutPhase.CANARY:
            phase, why = self._after_canary(
                progress, capacity, had_others, evidence, time_of_day
            )
        else:
            phase, why = self._after_move(progress, capacity, nodes, time_of_day)
        if phase is progress.phase:
            return progress
        return progress.advance(phase, why, time_of_day)

    def convict(self, time_of_day: float) -> str:
        """Return why all evidence, or the recent part, shows a bad version."""
        evidence = self._total
        conviction = self.test.judge(evidence)
        for start in self._starts:
            if conviction is None:
                conviction = self._judge_recent(evidence, start)
        if time_of_day >= self._next_start_at:
            self._next_start_at = time_of_day + RECENT_INTERVAL_S
            self._starts.append(sum_evidence([evidence]))
        return "" if conviction is None else conviction.why

    def _judge_recent(self, evidence: Evidence, start: Evidence) -> Conviction | None:
        """Return what the answers since an earlier total show.

        Notes
        -----
        The other versions' recent answers alone are no fair basis while the traffic
        moves: the last ones to arrive are the longest, which are not the failed ones.
        """
        recent = subtract_evidence(evidence, start)
        against_all = Evidence(
            recent.sent,
            {**recent.counts, Side.OTHERS: evidence.counts[Side.OTHERS]},
        )
        conviction = self.test.judge(against_all)
        if recent.answers(Side.OTHERS) >= MIN_BASE_ANSWERS and conviction is not None:
            return self.test.judge(recent)
        return conviction

    def _after_canary(
        self,
        progress: RolloutProgress,
        capacity: Capacity,
        had_others: bool,
        evidence: Evidence,
        time_of_day: float,
    ) -> tuple[RolloutPhase, str]:
        left_s = progress.deadline - time_of_day
        if not had_others and capacity.target_slots > 0:
            return RolloutPhase.COMPLETED, "every endpoint runs the target"
        longest_s = max((r.longest_s for r in self._reports.values()), default=0.0)
        lead_s = min(
            LATEST_MOVE_S + longest_s, MAX_MOVE_SHARE * progress.order.duration_s
        )
        if left_s > lead_s:
            return RolloutPhase.CANARY, ""
        missing = self._missing(capacity, evidence)
        if not missing:
            return RolloutPhase.MOVING, "no fault found"
        if left_s > min(LATEST_MOVE_S, lead_s):
            return RolloutPhase.CANARY, ""
        return RolloutPhase.REVERTED, missing

    def _missing(self, capacity: Capacity, evidence: Evidence) -> str:
        """Return what the target version lacks to get more requests."""
        if capacity.target_slots == 0:
            return "no endpoint of the target"
        if not capacity.suffices:
            return f"too few slots of the target: {capacity.target_slots}"
        answers = evidence.answers(Side.TARGET)
        total = answers + evidence.answers(Side.OTHERS)
        expected = USED_SHARE * self.canary_share * total
        if answers < min(MIN_ANSWERS, ceil(MIN_ANSWERS_SHARE * expected)):
            return f"too few answers of the target: {answers}"
        doubt = self.move_test.judge(evidence)
        return "" if doubt is None else f"in doubt, {doubt.why}"

    def _after_move(
        self,
        progress: RolloutProgress,
        capacity: Capacity,
        nodes: Collection[NodeId],
        time_of_day: float,
    ) -> tuple[RolloutPhase, str]:
        if capacity.target_slots == 0:
            return RolloutPhase.REVERTED, "no endpoint of the target is left"
        ramp_ends_at = progress.since + RAMP_S
        if time_of_day <= ramp_ends_at:
            return RolloutPhase.MOVING, ""
        busy = [node for node in nodes if not self._has_left_others(node, ramp_ends_at)]
        if not busy:
            return RolloutPhase.COMPLETED, "all requests have moved"
        if time_of_day >= progress.deadline - COMPLETION_MARGIN_S:
            return RolloutPhase.COMPLETED, f"deadline, {len(busy)} nodes not done"
        return RolloutPhase.MOVING, ""

    def _has_left_others(self, node: NodeId, since: float) -> bool:
        """Return whether a node has since reported that it uses the target only."""
        if self._received_at.get(node, float("-inf")) <= since:
            return False
        latest = max(
            (report for (name, _), report in self._reports.items() if name == node),
            key=lambda report: report.incarnation,
        )
        return latest.target_only and latest.running_at_others == 0
