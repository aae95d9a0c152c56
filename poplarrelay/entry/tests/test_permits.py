"""Tests of permits for endpoints that state a limit, issued across all nodes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.permits import CATCH_UP_S, PROBE_PER_S, PermitIssuer
from poplarrelay.entry.rate_limits import StatedLimit, apply_stated_limit
from poplarrelay.identifiers import DomainId, EndpointId, StartTime
from poplarrelay.testing.permits import (
    ENDPOINT,
    WINDOW_S,
    PermitNetwork,
    max_in_window,
    max_requests_in_window,
)
from poplarrelay.testing.rows import make_network

RUN = StartTime(1)


def make_endpoint() -> Endpoint:
    """Return an endpoint without a limit."""
    return Endpoint(EndpointId("e"), ServiceName("s"), ("h", 1), DomainId("d"), 8)


@given(
    st.lists(st.floats(0, 3), max_size=60),
    st.lists(st.sampled_from([0.0, 0.3, 1.0, 1.7, 5.0]), min_size=60, max_size=60),
)
def test_issuer_never_exceeds_the_highest_requested_limit(pauses, limits):
    issuer, now, issued = PermitIssuer(), 100.0, []
    for pause, limit in zip(pauses, limits, strict=False):
        now += pause
        if issuer.issue(ENDPOINT, RUN, limit, 1.0, now).granted:
            issued.append(now)
    assert max_in_window(issued) <= 5.0 * WINDOW_S + 2


def test_idle_issuer_does_not_accumulate_permits():
    # Guards against a burst of permits after the process was paused.
    issuer = PermitIssuer()
    issuer.issue(ENDPOINT, RUN, 10.0, 1.0, 100.0)
    granted = sum(
        issuer.issue(ENDPOINT, RUN, 10.0, 1.0, 160.0).granted for _ in range(20)
    )
    assert granted <= 1 + 10.0 * CATCH_UP_S


def test_raised_limit_takes_effect_at_its_new_interval():
    # Guards against nodes that wait for the interval of the previous limit, here the
    # probe interval of a limit of zero.
    issuer = PermitIssuer()
    issuer.issue(ENDPOINT, RUN, 0.0, 1.0, 100.0)
    permit = issuer.issue(ENDPOINT, RUN, 10.0, 1.0, 100.1)
    assert permit.wait_s == pytest.approx(0.1)
    assert issuer.issue(ENDPOINT, RUN, 10.0, 1.0, 100.21).granted


def test_limit_of_zero_allows_probes():
    # Guards against a limit of zero that is never cleared: only an answer to a request
    # can clear it.
    issuer, now, issued = PermitIssuer(), 100.0, 0
    while now < 130.0:
        issued += issuer.issue(ENDPOINT, RUN, 0.0, 1.0, now).granted
        now += 0.1
    assert 1 <= issued <= 30.0 * PROBE_PER_S


@pytest.mark.parametrize("nodes", [1, 3, 9, 61, 195])
@pytest.mark.parametrize("limit", [1.0, 12.5])
def test_all_nodes_together_stay_within_a_limit_and_use_it(nodes, limit):
    # Guards against a burst of one request per node, and against shares of the limit
    # that are too small to use.
    network = PermitNetwork.create(nodes, loss=0.025)
    network.state_limit("host-0", limit)
    for _ in network.run(12.0):
        pass
    times = network.request_times()
    assert max_in_window(times) <= max_requests_in_window(limit)
    assert len(times) >= 0.6 * limit * 12.0


@pytest.mark.parametrize("nodes", [9, 61])
def test_partitioned_groups_stay_within_the_limit_together(nodes):
    network = PermitNetwork.create(nodes)
    network.state_limit("host-0", 5.0)
    for _ in network.run(6.0):
        pass
    hosts = sorted(network.brokers)
    network.partition_into(set(hosts[: nodes // 3]), set(hosts[nodes // 3 :]))
    for _ in network.run(8.0):
        pass
    times = network.request_times()
    assert max_in_window(times) <= max_requests_in_window(5.0)
    # When the nodes have detected the partition, the shares of both groups add up to
    # the limit.
    late = [at for at in times if at > network.now - WINDOW_S]
    assert len(late) <= 5.0 * WINDOW_S + 2


def test_another_node_takes_over_from_an_unreachable_issuer():
    network = PermitNetwork.create(9)
    network.state_limit("host-0", 5.0)
    for _ in network.run(4.0):
        pass
    issuers = {h for h, b in network.brokers.items() if b.issuer._next_at}
    network.partition_into(set(network.brokers) - issuers)
    for _ in network.run(8.0):
        pass
    times = network.request_times()
    assert max_in_window(times) <= max_requests_in_window(5.0)
    assert len([at for at in times if at > network.now - WINDOW_S]) >= 10


def test_answer_without_a_limit_clears_it_only_if_sent_later():
    row = make_endpoint()
    assert apply_stated_limit(row, StatedLimit(2.0), 99.0, 100.0)
    assert not apply_stated_limit(row, StatedLimit(), 99.5, 100.5)
    assert row.limit_per_s == 2.0
    assert not apply_stated_limit(row, StatedLimit(readable=False), 101.0, 101.5)
    assert row.limit_per_s == 2.0
    assert apply_stated_limit(row, StatedLimit(), 101.0, 101.5)
    assert row.limit_per_s is None


def test_cleared_limit_is_broadcast_to_all_nodes():
    network = PermitNetwork.create(9)
    network.state_limit("host-0", 5.0)
    for _ in network.run(1.0):
        pass
    assert all(row.limit_per_s == 5.0 for row in network.rows.values())
    network.state_limit("host-3", None)
    for _ in network.run(1.0):
        pass
    assert all(row.limit_per_s is None for row in network.rows.values())


def test_raised_limit_is_used_at_once_by_all_nodes():
    # Guards against nodes that keep wait times computed from the previous limit.
    network = PermitNetwork.create(9)
    network.state_limit("host-0", 0.0)
    for _ in network.run(3.0):
        pass
    raised_at = network.now
    network.state_limit("host-3", 10.0)
    for _ in network.run(2.0):
        pass
    late = [at for at in network.request_times() if at > raised_at]
    assert len(late) >= 0.6 * 10.0 * 2.0


def test_limit_of_an_earlier_run_is_ignored():
    network = PermitNetwork.create(2)
    broker, row = network.brokers["host-0"], network.rows["host-0"]
    row.started_ms = StartTime(7)
    broker.receive("host-1", [["limit", ENDPOINT, 6, 1.0, 0.0]])
    assert row.limit_per_s is None


def test_node_without_permit_support_accepts_the_messages(caplog):
    # Guards against messages that nodes of a previous version, without permits, cannot
    # read.
    network = make_network(2, warm_up_s=2.0)
    one, other = network.alive
    network.nodes[one].send_permits([other], [["ask", "e", None, 1.0]])
    network.step()
    assert "unreadable news" not in caplog.messages


@pytest.mark.parametrize(
    "message", [["limit", "e"], ["ask", "e", None, "x"], ["what"], [], ["permit", 1, 2]]
)
def test_malformed_messages_are_ignored(message, caplog):
    network = make_network(2, warm_up_s=2.0)
    one, other = network.alive
    permits = PermitNetwork.create(2)
    network.nodes[other].attach_permits(permits.brokers["host-0"])
    network.nodes[one].send_permits([other], [message])
    network.step()
    assert permits.rows["host-0"].limit_per_s is None
    assert not permits.rows["host-0"].permits
