"""Decisions of the coordinator on a roll-out's phases."""

import pytest

from poplarrelay.entry.rollouts.coordinator import (
    Capacity,
    RolloutCoordinator,
    RolloutReport,
)
from poplarrelay.entry.rollouts.evidence import Evidence
from poplarrelay.entry.rollouts.records import RolloutPhase
from poplarrelay.identifiers import Incarnation, NodeId, Offset
from poplarrelay.testing.rollouts import SERVICE, make_evidence, make_progress

NODES = [NodeId("a"), NodeId("b")]
ROOM = Capacity(target_slots=18, other_slots=18, running=5)
GOOD = make_evidence((40, 0), (400, 1))


def report(node, evidence=GOOD, target_only=False, running=0, longest_s=0.1):
    return RolloutReport(
        node,
        Incarnation("1"),
        SERVICE,
        Offset(1),
        RolloutPhase.CANARY,
        target_only,
        running,
        longest_s,
        evidence,
    )


def coordinator_with(*reports, at=0.0):
    coordinator = RolloutCoordinator(0.1)
    for each in reports or [report(node) for node in NODES]:
        coordinator.receive(each, at)
    return coordinator


def decide(coordinator, progress, now, capacity=ROOM, had_others=True):
    decided = coordinator.decide(progress, capacity, had_others, NODES, 2, now)
    return decided.phase


def test_move_begins_late_and_earlier_for_long_requests():
    progress = make_progress()
    assert decide(coordinator_with(), progress, 8.0) is RolloutPhase.CANARY
    assert decide(coordinator_with(), progress, 9.1) is RolloutPhase.MOVING
    streams = coordinator_with(*(report(node, longest_s=2.5) for node in NODES))
    assert decide(streams, progress, 6.0) is RolloutPhase.CANARY
    assert decide(streams, progress, 6.6) is RolloutPhase.MOVING


def test_bad_version_is_reverted_in_either_phase():
    bad = [report(node, make_evidence((20, 8), (300, 1))) for node in NODES]
    for phase in (RolloutPhase.CANARY, RolloutPhase.MOVING):
        progress = make_progress(phase, since=1.0)
        reverted = coordinator_with(*bad).decide(progress, ROOM, True, NODES, 2, 2.0)
        assert reverted.phase is RolloutPhase.REVERTED
        assert "failures" in reverted.why


def test_late_fault_is_not_outweighed_by_the_good_answers_before():
    coordinator = coordinator_with(report(NODES[0], make_evidence((900, 0), (9000, 9))))
    progress = make_progress()
    assert decide(coordinator, progress, 2.0) is RolloutPhase.CANARY
    coordinator.receive(report(NODES[0], make_evidence((912, 9), (9100, 9))), 3.0)
    assert decide(coordinator, progress, 3.0) is RolloutPhase.REVERTED


@pytest.mark.parametrize(
    ("capacity", "evidence", "why"),
    [
        (Capacity(0, 18, 5), GOOD, "no endpoint of the target"),
        (Capacity(4, 18, 9), GOOD, "too few slots"),
        (ROOM, make_evidence((1, 0), (900, 1)), "too few answers"),
    ],
)
def test_version_that_cannot_be_proven_in_time_is_reverted(capacity, evidence, why):
    coordinator = coordinator_with(*(report(node, evidence) for node in NODES))
    progress = make_progress()
    assert decide(coordinator, progress, 8.5, capacity) is RolloutPhase.CANARY
    reverted = coordinator.decide(progress, capacity, True, NODES, 2, 9.5)
    assert reverted.phase is RolloutPhase.REVERTED
    assert why in reverted.why


def test_service_without_requests_moves():
    idle = coordinator_with(*(report(node, Evidence()) for node in NODES))
    assert decide(idle, make_progress(), 9.1) is RolloutPhase.MOVING


def test_completion_waits_until_every_node_has_left_the_others():
    progress = make_progress(RolloutPhase.MOVING, since=6.0)
    done = [report(node, target_only=True) for node in NODES]
    assert decide(coordinator_with(*done, at=8.0), progress, 8.1).is_final
    for late in (report(NODES[1], running=1, target_only=True), report(NODES[1])):
        coordinator = coordinator_with(done[0], late, at=8.0)
        assert decide(coordinator, progress, 8.1) is RolloutPhase.MOVING
        assert decide(coordinator, progress, 11.1) is RolloutPhase.COMPLETED
    early = coordinator_with(*done, at=7.0)
    assert decide(early, progress, 8.1) is RolloutPhase.MOVING


def test_new_coordinator_waits_for_reports():
    # Guards against a completion by a node that has just taken over and knows nothing.
    empty = RolloutCoordinator(0.1)
    for phase in (RolloutPhase.CANARY, RolloutPhase.MOVING):
        assert decide(empty, make_progress(phase), 11.5) is phase


def test_coordinator_that_reaches_few_nodes_neither_moves_nor_completes():
    # Guards against a holder cut from its peers that finds no fault, as it sees none.
    alone = coordinator_with(report(NODES[0], Evidence()))
    for phase in (RolloutPhase.CANARY, RolloutPhase.MOVING):
        decided = alone.decide(make_progress(phase), ROOM, True, NODES[:1], 3, 11.5)
        assert decided.phase is phase


def test_order_back_to_the_version_of_all_endpoints_completes_at_once():
    capacity = Capacity(18, 0, 5)
    progress = make_progress()
    phase = decide(coordinator_with(), progress, 0.5, capacity, had_others=False)
    assert phase is RolloutPhase.COMPLETED


def test_lost_target_endpoints_end_the_move():
    progress = make_progress(RolloutPhase.MOVING, since=6.0)
    lost = Capacity(0, 18, 5)
    assert decide(coordinator_with(), progress, 7.0, lost) is RolloutPhase.REVERTED


def test_ended_rollout_stays_as_it_is():
    for phase in (RolloutPhase.REVERTED, RolloutPhase.COMPLETED):
        assert decide(coordinator_with(), make_progress(phase), 100.0) is phase
