"""Coordinators of endpoints: the same on all nodes, also after a restart of all."""

from __future__ import annotations

import pytest

from poplarrelay.entry.peer_rows import NodeState
from poplarrelay.entry.scheduling.coordinators import (
    LISTED_GRACE_S,
    choose_coordinator,
    eligible_nodes,
)
from poplarrelay.identifiers import EndpointId
from poplarrelay.testing.rows import make_row

ENGINES = [EndpointId(f"e{number}") for number in range(60)]


def coordinators(nodes):
    return [choose_coordinator(engine, nodes) for engine in ENGINES]


@pytest.mark.parametrize("count", [9, 83, 300])
def test_nodes_that_restart_together_choose_the_same_coordinators(count):
    # Guards against counts that are split while each node has heard of a few others.
    rows = [make_row(f"n{number}") for number in range(count)]
    listed = {row.node: row.host for row in rows}
    found = []
    for number in range(0, count, 7):
        heard = [rows[number], rows[(number + 1) % count], rows[(number * 3) % count]]
        known = {row.node for row in heard}
        nodes = eligible_nodes(heard, known, listed, uptime_s=0.1)
        found.append(coordinators(nodes))
    assert all(each == found[0] for each in found)


def test_listed_node_that_is_dead_is_left_out():
    # Guards against engines that nobody counts because their coordinator is gone.
    rows = [make_row("a"), make_row("b")]
    listed = {row.node: row.host for row in rows}
    assert set(eligible_nodes(rows[:1], {rows[1].node}, listed, uptime_s=0.1)) == {"a"}
    late = eligible_nodes(rows[:1], (), listed, uptime_s=LISTED_GRACE_S)
    assert set(late) == {"a"}


def test_leaving_nodes_are_no_coordinators():
    leaving, ready = make_row("a"), make_row("b")
    leaving.state = NodeState.DRAINING
    assert set(eligible_nodes([leaving, ready], (), {}, 9.0)) == {"b"}
