"""Tests of cells: grouping of nodes, exchange of rows and summaries, and failures."""

import zlib
from random import Random
from typing import Any
from unittest.mock import Mock

import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarrelay.entry.cells import Cell, CellSummary, cell_bits, cell_of, summarise
from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.gossip import MAX_DATAGRAM_BYTES
from poplarrelay.entry.list_exchange import ListAnnouncement
from poplarrelay.entry.list_freshness import MAX_REPORTED_AGE_S
from poplarrelay.entry.peer_rows import NodeState, encode_row
from poplarrelay.entry.peers import (
    CELL_SILENCE_S,
    REPRESENTATIVE_SILENCE_S,
    PeerTable,
    choose_addresses,
)
from poplarrelay.entry.quotas import Bucket
from poplarrelay.identifiers import NodeId, Offset, TeamId
from poplarrelay.testing.rows import make_network, make_row, make_summary

TEAM = TeamId("t")
QUOTA = Quota(per_s=1000.0, burst=1000.0, in_tokens=True, default_cost=10.0)


def test_live_nodes_do_not_count_as_dead_on_a_large_site():
    # 75 nodes are alive all the time, and one datagram in forty is lost. When each node
    # sent its row to all others, rows were 2.4 s old (99 of 100) and one live peer in
    # thirteen counted as dead. Callers then got fewer addresses, and requests of teams
    # were rejected within their quotas.
    network = make_network(75, loss=0.025, warm_up_s=6.0)
    false_deaths = pairs = 0
    for _ in network.run(2.0):
        found = network.count_false_deaths()
        false_deaths, pairs = false_deaths + found[0], pairs + found[1]
    assert false_deaths / pairs < 0.001


def test_killed_representative_is_removed_and_its_cell_stays_listed():
    # The representative of a cell is killed, and its own cell notices first. Other
    # cells must neither lose the rest of that cell nor keep the dead node listed.
    network = make_network(60, warm_up_s=6.0)
    representative = next(
        h for h, t in network.tables.items() if t.is_representative(network.now)
    )
    network.dead.add(representative)
    for _ in network.run(CELL_SILENCE_S + 1.0):
        for host in network.alive:
            named = {row.host for row in network.tables[host].alive(network.now)}
            assert named >= set(network.alive) - {host}
    assert all(
        representative not in {row.host for row in table.alive(network.now)}
        for host, table in network.tables.items()
        if host != representative
    )


def test_node_whose_updates_are_lost_is_queried_before_it_counts_as_dead():
    # Gossip goes to random peers and can miss a node for longer than the silence after
    # which a peer counts as dead. Here all datagrams are lost except replies to
    # requests.
    network = make_network(3, warm_up_s=2.0)
    one, other = network.alive[:2]
    network.drop_rounds = True
    for _ in network.run(3.0):
        named = {row.host for row in network.tables[one].alive(network.now)}
        assert other in named


def test_nodes_that_know_only_seeds_discover_all_others():
    # All nodes start at the same time and know three hosts. All three can belong to
    # other cells, which do not keep the rows of the new node.
    network = make_network(60, warm_up_s=0.0)
    for _ in network.run(5.0):
        pass
    for host, table in network.tables.items():
        assert len(table.alive(network.now)) == 59, host


def test_simultaneous_stops_send_a_bounded_number_of_datagrams():
    # All nodes stop cleanly at the same time. A datagram from each node to all others
    # would make 90,000 with 300 nodes; representatives inform the other cells instead.
    network = make_network(60, warm_up_s=6.0)
    before = sum(node.sent_datagrams for node in network.nodes.values())
    for host in network.alive:
        network.tables[host].me.state = NodeState.DRAINING
        network.tables[host].me.version += 1
        network.nodes[host].run_round((), to_all=True)
    sent = sum(node.sent_datagrams for node in network.nodes.values()) - before
    assert sent <= 60 * 26


def test_delayed_summary_of_a_former_representative_is_ignored():
    # A representative ends, and the next one no longer lists it. A delayed datagram
    # with the old summary would list the dead node again.
    table = _make_table_with_cells()
    cell = _other_cell(table)
    old = make_summary(cell, "a-representative", 5, hosts=["10.0.0.1", "10.0.0.2"])
    assert table.receive_summary(old, 10.0)
    new = make_summary(cell, "b-representative", 9, hosts=["10.0.0.2"])
    assert not table.receive_summary(new, 10.0 + REPRESENTATIVE_SILENCE_S / 2)
    newer = make_summary(cell, "b-representative", 10, hosts=["10.0.0.2"])
    assert table.receive_summary(newer, 10.2 + REPRESENTATIVE_SILENCE_S)
    assert not table.receive_summary(old, 10.3 + REPRESENTATIVE_SILENCE_S)
    hosts = {row.host for row in table.alive(10.3 + REPRESENTATIVE_SILENCE_S)}
    assert hosts == {"10.0.0.2"}


def test_addresses_of_a_silent_cell_are_not_returned():
    table = _make_table_with_cells()
    table.receive_summary(make_summary(_other_cell(table), "s", 1, hosts=["h"]), 10.0)
    assert choose_addresses(table, 1, 10.1, Random(1)) == ["me:1", "h:1"]
    assert choose_addresses(table, 1, 10.1 + CELL_SILENCE_S, Random(1)) == ["me:1"]


def test_rows_of_other_cells_are_not_counted_in_addition_to_their_summary():
    # A seed receives rows of new nodes from any cell. If it kept these rows in addition
    # to the summary of their cell, the usage would count twice.
    table = _make_table_with_cells()
    cell = _other_cell(table)
    row_of_other_cell = next(
        node
        for node in map(NodeId, map(str, range(1000)))
        if cell_of(node, table.bits) == cell
    )
    assert not table.receive(make_row(row_of_other_cell), 10.0)
    assert table.rows_and_summaries(10.0) == []


def test_new_representative_refunds_no_usage():
    # A cell has used 5,000 tokens since its start. Its representative ends, and the
    # next one started later and has counted 300. Subtracting one sum from the other
    # would refund 4,700 used tokens to the team.
    bucket = Bucket.starting(QUOTA, 0.0, 40, True)
    bucket.record_cell_usage("c", "first/0", 4000.0, 10, 0.0)
    bucket.record_cell_usage("c", "first/0", 4400.0, 10, 0.4)
    bucket.refill(QUOTA, 0.4, 40)
    level = bucket.level
    bucket.record_cell_usage("c", "second/0", 300.0, 10, 0.8)
    assert bucket.level < level
    level = bucket.level
    bucket.record_cell_usage("c", "second/0", 350.0, 10, 1.2)
    assert level - bucket.level == pytest.approx(50.0)


def test_refill_counts_every_node_of_a_reachable_cell():
    bucket = Bucket.starting(QUOTA, 0.0, 40, True)
    bucket.level = 0.0
    bucket.record_cell_usage("c", "r", 0.0, 39, 0.0)
    assert bucket.reachable_fraction(0.1, 40) == 1.0
    bucket.refill(QUOTA, 0.4, 40)
    assert bucket.level == pytest.approx(400.0)
    # Once the cell is unreachable, only this node's own share is left.
    assert bucket.reachable_fraction(9.0, 40) == pytest.approx(1 / 40)


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"garbage",
        zlib.compress(b"[1]"),
        zlib.compress(orjson.dumps({"rows": [], "hint": [0, 0, []], "cells": [[1]]})),
        zlib.compress(orjson.dumps({"from": "n", "wall": 0, "rows": [["n"]]})),
        zlib.compress(orjson.dumps({"rows": [[]], "hint": [0, 0, []]})),
        zlib.compress(
            orjson.dumps(
                {
                    "rows": [["n", "1-1", 1, "h", "d", "ready", 1, 3, 3, 3, 3]],
                    "hint": [0, 0, []],
                }
            )
        ),
    ],
)
def test_malformed_datagram_removes_no_peer(datagram, caplog):
    network = make_network(3, warm_up_s=2.0)
    host = network.alive[0]
    before = len(network.tables[host].alive(network.now))
    network.nodes[host].datagram_received(datagram, ("10.9.9.9", 1))
    assert len(network.tables[host].alive(network.now)) == before == 2
    assert any(line.message == "unreadable news" for line in caplog.records)


def test_datagrams_without_cells_are_accepted():
    # During a rolling restart, nodes of the previous version send only rows and an
    # announcement.
    network = make_network(3, warm_up_s=2.0)
    host = network.alive[0]
    row = ["old", "0000000000001-000001", 1, "10.9.9.8", "d", "ready", 1]
    message = {
        "from": "old",
        "wall": 0.0,
        "hint": [0, 1e9, []],
        "rows": [[*row, {}, {}, {}, {}]],
    }
    data = zlib.compress(orjson.dumps(message))
    network.nodes[host].datagram_received(data, ("10.9.9.8", 1))
    named = {row.host for row in network.tables[host].alive(network.now)}
    assert "10.9.9.8" in named


def test_replies_to_single_peers_do_not_use_up_departure_announcements():
    # An endpoint leaves while nodes are slow and request each other's rows. A node
    # announces a departure in four datagrams. When replies to single peers used them
    # up, most peers got the departure only on request and sent the endpoint requests
    # until then.
    network = make_network(3, warm_up_s=2.0)
    node = network.nodes[network.alive[0]]
    plain = ListAnnouncement(Offset(0), MAX_REPORTED_AGE_S)
    exchange: Any = Mock()
    exchange.announcement.return_value = exchange.plain_announcement.return_value = (
        plain
    )
    node.attach_list_exchange(exchange)
    message = {"from": "n", "wall": 0.0, "hint": plain.encode(), "rows": [], "ask": 1}
    node.datagram_received(zlib.compress(orjson.dumps(message)), ("10.1.0.1", 1))
    assert exchange.announcement.call_count == 0
    node.run_round(())
    assert exchange.announcement.call_count == 1


def test_rows_that_exceed_one_datagram_are_split_into_several():
    # The rows of 120 nodes of one cell exceed a datagram. When the surplus rows were
    # left out, no later datagram carried them, and live nodes counted as dead.
    rng = Random(1)
    rows = [encode_row(make_row(f"{rng.getrandbits(400):x}")) for _ in range(120)]
    network = make_network(3)
    node = network.nodes[network.alive[0]]
    packets = node._packets(rows, [], ListAnnouncement(Offset(0), MAX_REPORTED_AGE_S))
    assert len(packets) > 1
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data in packets)
    sent = [
        row[0]
        for data in packets
        for row in orjson.loads(zlib.decompress(data))["rows"]
    ]
    assert sorted(sent) == sorted(row[0] for row in rows)


def test_decoded_summary_equals_the_encoded_one():
    summary = make_summary(Cell(2, 3), "s", 7, hosts=["h1", "h2"])
    assert CellSummary.decode(orjson.loads(orjson.dumps(summary.encode()))) == summary


def test_number_of_cells_is_stable_near_a_bound():
    bits = cell_bits(27, 0)
    assert bits == 1
    for nodes in (26, 25, 27, 20, 16):
        bits = cell_bits(nodes, bits)
        assert bits == 1
    assert cell_bits(15, bits) == 0


def _make_table_with_cells():
    table = PeerTable(make_row("me", host="me"))
    table.regroup(100, 0.0)
    return table


def _other_cell(table):
    return Cell(table.bits, (table.cell.number + 1) % (1 << table.bits))


class SumsMachine(RuleBasedStateMachine):
    """State machine of a cell's usage sums, as another node counts them.

    Three nodes use quota and restart. Any of them can be the representative.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.used = 0.0
        self.started = 0
        self.epoch = 0
        self.rows = [self._start_node(index) for index in range(3)]
        self.ended = []
        self.bucket = Bucket.starting(QUOTA, 0.0, 4, True)
        self.level = self.bucket.level
        self._send_summary(0)

    def _start_node(self, index):
        self.started += 1
        return make_row(f"n{index}", started=self.started)

    def _send_summary(self, representative):
        me = self.rows[representative]
        me.version += 1
        counted = [*self.rows, *self.ended]
        summary = summarise(Cell(1, 0), me, self.rows, counted, me.version, self.epoch)
        used = summary.used.get(TEAM, 0.0)
        self.bucket.record_cell_usage("c", summary.run, used, summary.alive, self.now)

    @rule(node=st.integers(0, 2), cost=st.integers(1, 50))
    def use_quota(self, node, cost):
        row = self.rows[node]
        row.used[TEAM] = row.used.get(TEAM, 0.0) + cost
        self.used += cost

    @rule(node=st.integers(0, 2))
    def restart(self, node):
        self.ended.append(self.rows[node])
        self.rows[node] = self._start_node(node)

    @rule()
    def drop_oldest_ended_row(self):
        if self.ended:
            self.ended.pop(0)
            self.epoch += 1

    @rule(representative=st.integers(0, 2))
    def send_summary(self, representative):
        self.now += 0.4
        self._send_summary(representative)

    @invariant()
    def usage_is_never_refunded(self):
        # There is no refill here, so the level must never rise. This must hold for any
        # representative and after rows are dropped.
        assert self.bucket.level <= self.level + 1e-6
        self.level = self.bucket.level


TestSums = SumsMachine.TestCase
TestSums.settings = settings(derandomize=True, max_examples=60, stateful_step_count=30)
