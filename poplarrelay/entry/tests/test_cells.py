"""Cells of nodes: who is in which, what they tell each other, and what goes wrong."""

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
from poplarrelay.entry.list_freshness import NEVER_S
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


def test_live_nodes_are_not_taken_for_dead_at_size():
    # 75 nodes are alive all the time; one datagram in forty is lost. When each told its
    # whole row to all others, news of a node was 2.4 s old at others (99 of 100) and
    # they took one live peer in thirteen for dead: callers were named fewer nodes,
    # and teams were refused within their quotas.
    network = make_network(75, loss=0.025, settle_s=6.0)
    wrong = pairs = 0
    for _ in network.run(2.0):
        found = network.count_false_deaths()
        wrong, pairs = wrong + found[0], pairs + found[1]
    assert wrong / pairs < 0.001


def test_killed_node_is_named_to_nobody_and_its_cell_is_spoken_for():
    # The speaker of a cell is killed. Its own cell notices first; the other cells must
    # neither lose the rest of that cell nor go on naming the speaker.
    network = make_network(60, settle_s=6.0)
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


def test_node_whose_news_is_lost_is_asked_before_it_counts_as_dead():
    # News passed on at random may miss a node for longer than the silence after which
    # a peer counts as dead. Here every datagram but answers to a question is lost.
    network = make_network(3, settle_s=2.0)
    one, other = network.alive[:2]
    network.rounds_lost = True
    for _ in network.run(3.0):
        named = {row.host for row in network.tables[one].alive(network.now)}
        assert other in named


def test_nodes_that_start_knowing_only_seeds_find_all_others():
    # All nodes start at the same moment and know three hosts, which may all be of
    # other cells and have no use for their rows.
    network = make_network(60, settle_s=0.0)
    for _ in network.run(5.0):
        pass
    for host, table in network.tables.items():
        assert len(table.alive(network.now)) == 59, host


def test_messages_of_a_wave_of_stops_stay_bounded():
    # Every node stops in order at the same moment. A datagram from each to all others
    # would be 90,000 with 300 nodes; a cell's speaker tells the rest.
    network = make_network(60, settle_s=6.0)
    before = sum(node.sent_datagrams for node in network.nodes.values())
    for host in network.alive:
        network.tables[host].me.state = NodeState.DRAINING
        network.tables[host].me.version += 1
        network.nodes[host].run_round((), to_all=True)
    sent = sum(node.sent_datagrams for node in network.nodes.values()) - before
    assert sent <= 60 * 26


def test_late_copy_of_an_old_speakers_summary_brings_nobody_back():
    # A speaker ends, and the next one leaves it out. A datagram with the old summary
    # was still on its way; taken for news it would name the dead node again.
    table = _divided_table()
    cell = _other_cell(table)
    old = make_summary(cell, "a-speaker", 5, hosts=["10.0.0.1", "10.0.0.2"])
    assert table.receive_summary(old, 10.0)
    new = make_summary(cell, "b-speaker", 9, hosts=["10.0.0.2"])
    assert not table.receive_summary(new, 10.0 + REPRESENTATIVE_SILENCE_S / 2)
    newer = make_summary(cell, "b-speaker", 10, hosts=["10.0.0.2"])
    assert table.receive_summary(newer, 10.2 + REPRESENTATIVE_SILENCE_S)
    assert not table.receive_summary(old, 10.3 + REPRESENTATIVE_SILENCE_S)
    hosts = {row.host for row in table.alive(10.3 + REPRESENTATIVE_SILENCE_S)}
    assert hosts == {"10.0.0.2"}


def test_silent_cell_is_named_to_nobody():
    table = _divided_table()
    table.receive_summary(make_summary(_other_cell(table), "s", 1, hosts=["h"]), 10.0)
    assert choose_addresses(table, 1, 10.1, Random(1)) == ["me:1", "h:1"]
    assert choose_addresses(table, 1, 10.1 + CELL_SILENCE_S, Random(1)) == ["me:1"]


def test_rows_of_other_cells_are_not_counted_beside_their_summary():
    # A seed hears rows of nodes that have just started, of whatever cell. Kept beside
    # the summary of their cell their use would count twice.
    table = _divided_table()
    cell = _other_cell(table)
    stranger = next(
        node
        for node in map(NodeId, map(str, range(1000)))
        if cell_of(node, table.bits) == cell
    )
    assert not table.receive(make_row(stranger), 10.0)
    assert table.counted(10.0) == []


def test_next_speaker_gives_no_use_back():
    # A cell has used 5,000 tokens since its start. Its speaker ends, and the next one,
    # which started later, has counted 300. Taken as a difference that would give the
    # team 4,700 tokens that are spent.
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


def test_cell_counts_as_its_nodes_in_shares_of_the_refill():
    bucket = Bucket.starting(QUOTA, 0.0, 40, True)
    bucket.level = 0.0
    bucket.record_cell_usage("c", "r", 0.0, 39, 0.0)
    assert bucket.reachable_fraction(0.1, 40) == 1.0
    bucket.refill(QUOTA, 0.4, 40)
    assert bucket.level == pytest.approx(400.0)
    # Cut off: what is left is this node's own part.
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
def test_unreadable_datagram_takes_nothing_away(datagram, caplog):
    network = make_network(3, settle_s=2.0)
    host = network.alive[0]
    before = len(network.tables[host].alive(network.now))
    network.nodes[host].datagram_received(datagram, ("10.9.9.9", 1))
    assert len(network.tables[host].alive(network.now)) == before == 2
    assert any(line.message == "unreadable news" for line in caplog.records)


def test_datagrams_without_cells_are_understood():
    # During a rolling restart, nodes of the version before send rows and a hint only.
    network = make_network(3, settle_s=2.0)
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


def test_questions_between_peers_do_not_use_up_the_news_of_a_departure():
    # An endpoint leaves while nodes are late and ask each other for their rows. Each
    # departure is told in four datagrams; spent on answers to single nodes, most peers
    # learned of it only by asking, and sent it requests meanwhile.
    network = make_network(3, settle_s=2.0)
    node = network.nodes[network.alive[0]]
    plain = ListAnnouncement(Offset(0), NEVER_S)
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


def test_all_rows_and_summaries_arrive_where_one_datagram_is_too_small():
    # 120 nodes of one cell would not fit; what was left out of a datagram was not told
    # again, and nodes that live counted as dead.
    rng = Random(1)
    rows = [encode_row(make_row(f"{rng.getrandbits(400):x}")) for _ in range(120)]
    network = make_network(3)
    node = network.nodes[network.alive[0]]
    packets = node._packets(rows, [], ListAnnouncement(Offset(0), NEVER_S))
    assert len(packets) > 1
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data in packets)
    told = [
        row[0]
        for data in packets
        for row in orjson.loads(zlib.decompress(data))["rows"]
    ]
    assert sorted(told) == sorted(row[0] for row in rows)


def test_summary_survives_its_encoding():
    summary = make_summary(Cell(2, 3), "s", 7, hosts=["h1", "h2"])
    assert CellSummary.decode(orjson.loads(orjson.dumps(summary.encode()))) == summary


def test_number_of_cells_does_not_swing_around_a_bound():
    bits = cell_bits(27, 0)
    assert bits == 1
    for nodes in (26, 25, 27, 20, 16):
        bits = cell_bits(nodes, bits)
        assert bits == 1
    assert cell_bits(15, bits) == 0


def _divided_table():
    table = PeerTable(make_row("me", host="me"))
    table.regroup(100, 0.0)
    return table


def _other_cell(table):
    return Cell(table.bits, (table.cell.number + 1) % (1 << table.bits))


class SumsMachine(RuleBasedStateMachine):
    """Nodes of one cell use, restart and take turns to speak; another node listens."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.used = 0.0
        self.started = 0
        self.epoch = 0
        self.rows = [self._fresh(index) for index in range(3)]
        self.gone = []
        self.bucket = Bucket.starting(QUOTA, 0.0, 4, True)
        self.level = self.bucket.level
        self._tell(0)

    def _fresh(self, index):
        self.started += 1
        return make_row(f"n{index}", started=self.started)

    def _tell(self, representative):
        me = self.rows[representative]
        me.version += 1
        counted = [*self.rows, *self.gone]
        summary = summarise(Cell(1, 0), me, self.rows, counted, me.version, self.epoch)
        spent = summary.spent.get(TEAM, 0.0)
        self.bucket.record_cell_usage("c", summary.run, spent, summary.alive, self.now)

    @rule(node=st.integers(0, 2), cost=st.integers(1, 50))
    def use(self, node, cost):
        row = self.rows[node]
        row.spent[TEAM] = row.spent.get(TEAM, 0.0) + cost
        self.used += cost

    @rule(node=st.integers(0, 2))
    def restart(self, node):
        self.gone.append(self.rows[node])
        self.rows[node] = self._fresh(node)

    @rule()
    def forget(self):
        if self.gone:
            self.gone.pop(0)
            self.epoch += 1

    @rule(representative=st.integers(0, 2))
    def tell(self, representative):
        self.now += 0.4
        self._tell(representative)

    @invariant()
    def nothing_is_given_back(self):
        # No refill is taken here, so the level may only fall, whoever speaks and
        # whatever rows are forgotten.
        assert self.bucket.level <= self.level + 1e-6
        self.level = self.bucket.level


TestSums = SumsMachine.TestCase
TestSums.settings = settings(derandomize=True, max_examples=60, stateful_step_count=30)
