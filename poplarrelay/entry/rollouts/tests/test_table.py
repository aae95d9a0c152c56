"""Exposure of the target version at one node, and at many, without a network."""

import pytest

from poplarrelay.entry.rollouts.evidence import RouteName, Side
from poplarrelay.entry.rollouts.records import RolloutPhase
from poplarrelay.entry.rollouts.table import COMPLETED_BAR_S, NEW_VERSION_HOLD_S
from poplarrelay.identifiers import EndpointId, SoftwareVersion
from poplarrelay.testing.rollouts import (
    NEW,
    OLD,
    SERVICE,
    RolloutNode,
    make_order,
    make_progress,
)

LOOK = RouteName("look")


def node_in_rollout(**options):
    node = RolloutNode(**options)
    node.add(OLD)
    node.table.receive_order(make_order())
    node.add(NEW)
    return node


@pytest.mark.parametrize(("nodes", "requests"), [(1, 3000), (9, 500), (300, 4)])
def test_canary_gets_less_than_its_share_over_all_nodes(nodes, requests):
    sent = sum(node_in_rollout(seed=seed).send(requests) for seed in range(nodes))
    total = nodes * requests
    assert 0.04 * total < sent <= 0.1 * total


def test_retries_and_failed_connections_keep_the_share():
    # Guards against requests that reached no endpoint and still count as sent.
    node = node_in_rollout()
    row = node.endpoints.rows[EndpointId("1-0")]
    for _ in range(500):
        node.table.note_acquired(row)
        node.table.note_unsent(row)
    assert node.send(10) <= 1


def test_canary_uses_few_endpoints_and_all_nodes_use_the_same():
    chosen = set()
    for seed in range(20):
        node = RolloutNode(seed=seed)
        node.add(OLD, 40, slots=24)
        node.table.receive_order(make_order())
        node.add(NEW, 40, slots=24)
        while node.versions() == {OLD}:
            node.send(1)
        rows = node.endpoints.accepting(SERVICE)
        eligible = node.table.eligible(SERVICE, rows, 0.0)
        chosen.add(frozenset(row.endpoint for row in eligible))
    assert len(chosen) == 1
    assert len(next(iter(chosen))) == 4


def test_lost_old_endpoints_are_not_replaced_by_an_unproven_version():
    node = node_in_rollout()
    for row in node.endpoints.of(SERVICE):
        row.leaving = row.version == OLD
    assert node.send(100) <= 1


def test_new_version_waits_for_an_order_that_may_arrive_later():
    # Guards against full traffic to a canary at nodes that learn of its order late.
    node = RolloutNode()
    node.add(OLD)
    node.now = 50.0
    node.add(NEW)
    assert node.versions() == {OLD}
    node.now += NEW_VERSION_HOLD_S
    assert node.versions() == {OLD, NEW}


def test_release_without_an_order_is_served_as_soon_as_it_is_alone():
    node = RolloutNode()
    node.add(OLD)
    node.now = 50.0
    node.add(NEW)
    for row in node.endpoints.of(SERVICE):
        row.leaving = row.version == OLD
    assert node.versions() == {NEW}


def test_reverted_version_gets_nothing_at_once():
    node = node_in_rollout()
    node.table.revert(SERVICE, "failures")
    node.mark()
    assert node.versions() == {OLD}
    assert not node.endpoints.rows[EndpointId("2-0")].accepts_work


def test_own_evidence_suffices_to_revert():
    node = node_in_rollout()
    for number in range(300):
        node.table.note_answer(node.endpoints.rows[EndpointId("1-0")], LOOK, False)
        if number < 20:
            node.table.note_answer(node.endpoints.rows[EndpointId("2-0")], LOOK, True)
    node.table.judge_own_evidence()
    assert node.table.get(SERVICE).progress.phase is RolloutPhase.REVERTED
    assert node.table.urgent


def test_completed_rollout_bars_the_replaced_version_until_it_is_released_again():
    node = node_in_rollout()
    completed = make_progress(RolloutPhase.COMPLETED, since=5.0).bar([OLD])
    node.now = 5.0
    node.table.merge(completed, "store")
    node.mark()
    assert node.versions() == {NEW}
    node.now += COMPLETED_BAR_S + 0.1
    node.mark()
    assert OLD in node.versions()


def test_unproven_target_of_a_replaced_order_gets_nothing():
    third = SoftwareVersion("3")
    node = node_in_rollout()
    node.table.receive_order(make_order(third, offset=9))
    node.add(third)
    assert NEW not in node.versions() | {OLD}
    assert all(row.barred for row in node.endpoints.of(SERVICE) if row.version == NEW)
    node.table.receive_order(make_order(NEW, offset=12))
    node.mark()
    assert not any(r.barred for r in node.endpoints.of(SERVICE) if r.version == NEW)
    assert all(r.barred for r in node.endpoints.of(SERVICE) if r.version == third)


def test_new_deadline_for_the_same_target_keeps_the_evidence():
    node = node_in_rollout()
    node.table.note_answer(node.endpoints.rows[EndpointId("2-0")], LOOK, True)
    node.table.receive_order(make_order(offset=5, duration_s=60.0))
    local = node.table.get(SERVICE)
    assert local.progress.deadline == 60.0
    assert local.evidence.failures(Side.TARGET) == 1


def test_late_order_of_the_past_changes_nothing():
    node = node_in_rollout()
    node.table.receive_order(make_order(OLD, offset=0))
    assert node.table.get(SERVICE).progress.order.target == NEW


def test_crash_of_an_endpoint_is_no_failure_of_its_version():
    # Guards against convicting a good version for one crash that breaks many streams.
    node = node_in_rollout()
    row = node.endpoints.rows[EndpointId("2-0")]
    for _ in range(24):
        node.table.note_broken(row, LOOK)
    assert node.table.get(SERVICE).evidence.failures(Side.TARGET) == 0
    node.table.note_answer(row, LOOK, False)
    assert node.table.get(SERVICE).evidence.failures(Side.TARGET) == 24


def test_only_one_set_of_endpoints_counts_for_orders():
    node = node_in_rollout()
    rows = node.endpoints.of(SERVICE)
    assert {row.version for row in node.table.counted(SERVICE, rows)} == {OLD}
    node.table.merge(make_progress(RolloutPhase.MOVING), "store")
    node.now = 3.0
    assert {row.version for row in node.table.counted(SERVICE, rows)} == {NEW}
