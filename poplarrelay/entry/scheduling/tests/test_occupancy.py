"""Counts of the requests of all nodes at an endpoint."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.scheduling.occupancy import COUNT_EXPIRY_S, Occupancy

reports = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 40)), max_size=30)


@given(reports)
def test_total_is_the_sum_of_the_latest_reports(counts):
    occupancy, latest = Occupancy(), {}
    for at, (node, count) in enumerate(counts):
        occupancy.report(node, count, at * 0.01)
        latest[node] = count
    assert occupancy.total(1.0) == sum(latest.values())
    assert occupancy.total(1.0, "a") == sum(latest.values()) - latest.get("a", 0)


def test_counts_of_a_killed_node_expire():
    # Guards against slots that stay taken by a node that cannot report their end.
    occupancy = Occupancy()
    occupancy.report("a", 5, 0.0)
    occupancy.report("b", 2, COUNT_EXPIRY_S)
    assert occupancy.total(COUNT_EXPIRY_S) == 7
    assert occupancy.total(COUNT_EXPIRY_S + 0.1) == 2
    occupancy.forget(COUNT_EXPIRY_S + 0.1)
    occupancy.report("b", 0, COUNT_EXPIRY_S + 0.2)
    assert occupancy.total(COUNT_EXPIRY_S + 0.2) == 0
