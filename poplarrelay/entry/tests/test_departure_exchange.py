"""Exchange of stated departures between nodes."""

from __future__ import annotations

import pytest

from poplarrelay.entry.departures import (
    DEPARTURE_MEMORY_S,
    MAX_DEPARTURES,
    DepartureTable,
)
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.gossip import MAX_DATAGRAM_BYTES
from poplarrelay.testing.network import Network
from poplarrelay.testing.rows import make_endpoint, make_network

#: Seconds in which all nodes must know a departure: the bound on requests to leaving
#: endpoints.
KNOWN_EVERYWHERE_S = 2.0


def run_until_known(network: Network, row: Endpoint, within_s: float) -> bool:
    """Return whether all running nodes learn of a departure in time."""
    return any(
        all(network.departures[host].includes(row) for host in network.alive)
        for _ in network.run(within_s)
    )


@pytest.mark.parametrize("nodes", [9, 61, 195])
def test_departure_reaches_all_nodes_in_time_despite_lost_datagrams(nodes):
    network = make_network(nodes, loss=0.025, warm_up_s=4.0)
    row = make_endpoint("r0")
    network.departures[network.alive[0]].add([row], network.now)
    assert run_until_known(network, row, KNOWN_EVERYWHERE_S)


def test_departure_reaches_a_node_that_starts_later():
    network = make_network(9, loss=0.025, warm_up_s=4.0)
    row = make_endpoint("r0")
    network.departures[network.alive[0]].add([row], network.now)
    assert run_until_known(network, row, KNOWN_EVERYWHERE_S)
    for _ in network.run(10.0):
        pass
    network.add_node(9)
    assert run_until_known(network, row, 3.0)


def test_known_departures_are_not_sent_endlessly():
    # Guards against nodes that send each other what both know.
    network = make_network(9, warm_up_s=4.0)
    rows = [make_endpoint(f"r{number}") for number in range(300)]
    network.departures[network.alive[0]].add(rows, network.now)
    for _ in network.run(10.0):
        pass
    for table in network.departures.values():
        assert all(table.includes(row) for row in rows)
        assert table.outgoing(network.now) == []


def test_departure_concerns_one_run():
    table = DepartureTable({})
    table.add([make_endpoint("r0", started_ms=1)], 100.0)
    assert not table.includes(make_endpoint("r0", started_ms=2))
    assert not table.includes(make_endpoint("r0"))


def test_departures_are_bounded_and_expire():
    table, peer = DepartureTable({}), DepartureTable({})
    rows = [make_endpoint(f"r{number}") for number in range(MAX_DEPARTURES + 1)]
    table.add(rows, 100.0)
    assert not table.includes(rows[0])
    assert table.includes(rows[-1])
    late = 101.0 + DEPARTURE_MEMORY_S
    peer.receive(table.all(late), "peer", late)
    assert not peer.includes(rows[-1])
    table.forget(late)
    assert table.all(late) == []


def test_departures_in_one_datagram_fit_into_it(monkeypatch):
    network = make_network(2, warm_up_s=2.0)
    node = network.nodes[network.alive[0]]
    sent: list[bytes] = []
    monkeypatch.setattr(node, "_send", lambda data, _: sent.append(data))
    rows = [make_endpoint(f"i-{hash(n):020x}", started_ms=n) for n in range(500)]
    network.departures[network.alive[0]].add(rows, network.now)
    assert sent
    assert all(len(data) < MAX_DATAGRAM_BYTES for data in sent)


def test_node_without_departures_accepts_datagrams_with_them(caplog):
    # Guards against datagrams that nodes of the previous version cannot decode.
    network = make_network(2, warm_up_s=2.0)
    one, other = network.alive
    network.nodes[other]._departures = None
    network.departures[one].add([make_endpoint("r0")], network.now)
    for _ in network.run(1.0):
        pass
    assert "unreadable news" not in caplog.messages


@pytest.mark.parametrize(
    "departures", [7, [7], [["r0"]], [["r0", "x", 1.0]], [["r0", 1, float("nan")]]]
)
def test_malformed_departures_change_nothing(departures, caplog):
    network = make_network(2, warm_up_s=2.0)
    one, other = network.alive
    node = network.nodes[one]
    data = node._encode([], node._announcement(), [], departures=departures)
    network.nodes[other].datagram_received(data, (one, 0))
    assert "unreadable news" in caplog.messages
    assert network.departures[other].all(network.now) == []
