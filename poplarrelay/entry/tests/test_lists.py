"""Endpoint lists of nodes, for records in any order from the store and from peers.

The tests guard against requests to endpoints that have left, and against refusals while
endpoints in the store get no requests. Both happened when nodes replaced their lists by
lists of peers that only seemed newer. Only the offset of a record in the store decides.
"""

from __future__ import annotations

from random import Random

import orjson
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoint_list import LAPSE_GRACE_S, EndpointChange
from poplarrelay.identifiers import EndpointId, Offset
from poplarrelay.testing.endpoint_lists import EndpointListNetwork, endpoint_record

R1 = EndpointId("r1")
NAMES = st.sampled_from(["r1", "r2", "r3"])


def network(count: int = 2) -> EndpointListNetwork:
    """Return a network whose nodes have all read the same two endpoints."""
    found = EndpointListNetwork.of(count, Random(3))
    for name in ("r1", "r2"):
        found.write(name, endpoint_record())
    for node in found.nodes.values():
        node.read()
    return found


def test_older_peer_list_does_not_remove_newer_endpoint():
    # Guards against r3 without requests until the next read of the store: a peer's list
    # from before r3 was written seems newer than this node's by its age.
    lists = network()
    mine, peer = lists.nodes.values()
    lists.write("r3", endpoint_record())
    mine.read()
    older = peer.endpoints.all()
    mine.endpoints.replace_all(older, peer.state.freshness.known_offset, "peer")
    assert mine.accepts_work_at("r3")


def test_older_peer_list_does_not_restore_removed_endpoints():
    # Guards against requests to endpoints that left after the peer's list was made.
    lists = network()
    mine, peer = lists.nodes.values()
    older = peer.endpoints.all()
    lists.write("r1", None)
    lists.write("r2", endpoint_record("draining"))
    mine.read()
    mine.endpoints.replace_all(older, peer.state.freshness.known_offset, "peer")
    assert not mine.accepts_work_at("r1")
    assert not mine.accepts_work_at("r2")


def test_newer_peer_list_removes_missing_endpoints():
    # Guards against requests to an endpoint whose removal only the peer has read.
    lists = network()
    mine, peer = lists.nodes.values()
    lists.write("r1", None)
    peer.read(whole=True)
    mine.endpoints.replace_all(
        peer.endpoints.all(), peer.state.freshness.known_offset, "peer"
    )
    assert not mine.accepts_work_at("r1")
    assert mine.accepts_work_at("r2")


def test_heartbeat_read_only_by_this_node_keeps_endpoint():
    # Guards against the removal of a live endpoint. This node has read a heartbeat that
    # changes nothing, but is later than a peer's list without the endpoint.
    lists = network()
    mine, peer = lists.nodes.values()
    as_of = peer.state.freshness.known_offset
    lists.write("r1", endpoint_record(sequence=2))
    mine.read()
    others = [change for change in peer.endpoints.all() if change.endpoint != "r1"]
    mine.endpoints.replace_all(others, as_of, "peer")
    assert mine.accepts_work_at("r1")


def test_peer_corrects_removal_mistaken_for_outage_lapse():
    # Only one node gets no replies from the store, and a record is removed meanwhile.
    # The node mistakes this for an outage and keeps the endpoint. A peer that read the
    # removal while the store was available must correct it immediately.
    lists = network()
    mine, peer = lists.nodes.values()
    lists.write("r1", None)
    peer.read()
    lists.now += 5.0
    peer.read()
    mine.reads_failed_s = 4.0
    mine.read()
    mine.reads_failed_s = 0.0
    assert mine.accepts_work_at("r1")
    lists.run(0.3, step_s=0.02, latency_s=0.01)
    assert not mine.accepts_work_at("r1")


def test_failed_reads_of_one_node_keep_no_removed_endpoint():
    # A node on a busy link got no replies, from the store or from peers, for 2.3 s. It
    # was the first to read a removal by a reclaim and reported an outage. 74 nodes kept
    # the endpoint for 2 s more, although their lists were less than a second old, which
    # excludes an outage.
    lists = network(5)
    first, *others = lists.nodes.values()
    for _ in range(4):
        lists.now += 1.4
        for node in others:
            node.read()
    first.read()
    lists.now += 1.4
    for node in others:
        node.read()
    lists.now += 0.9
    lists.write("r1", None)
    first.reads_failed_s = 0.87
    first.read()
    first.reads_failed_s = 0.0
    assert first.accepts_work_at("r1")
    lists.run(0.3, step_s=0.02, latency_s=0.01)
    assert not any(node.accepts_work_at("r1") for node in lists.nodes.values())


def test_record_lapsed_on_all_nodes_is_kept_for_grace_time():
    # Guards against a lost live endpoint. The store was unavailable to all nodes, so no
    # node can tell whether the removal of the record is final.
    lists = network()
    lists.write("r1", None)
    lists.now += 5.0
    for node in lists.nodes.values():
        node.reads_failed_s = 4.0
        node.read()
        node.reads_failed_s = 0.0
    lists.run(LAPSE_GRACE_S - 0.5, step_s=0.02, latency_s=0.01)
    assert all(node.accepts_work_at("r1") for node in lists.nodes.values())
    lists.now += 0.6
    for node in lists.nodes.values():
        node.endpoints.expire(node.now())
    assert not any(node.accepts_work_at("r1") for node in lists.nodes.values())


def test_second_lapse_report_does_not_end_grace_time():
    # Two nodes report the same lapse in an outage with different offsets: one read the
    # removal, the other a list without the record. The second report must not remove
    # the endpoint.
    lists = network(1)
    (mine,) = lists.nodes.values()
    lists.now += 5.0
    for offset in (5, 6):
        lapse = EndpointChange(R1, Offset(offset), None, lapsed=True)
        mine.endpoints.apply_changes([lapse], "peer")
    assert mine.accepts_work_at("r1")


def test_new_run_under_same_id_resets_all_state():
    # Guards against state of the previous run after an endpoint has crashed and
    # restarted under its id: its limits, its failures and its running requests.
    lists = network()
    mine = lists.nodes["n0"]
    lists.write("r1", endpoint_record(born=1000))
    mine.read()
    row = mine.state.endpoints.rows[R1]
    row.running, row.prefill_speed, row.health.failures_in_row = 3, 1.0, 5
    lists.write("r1", endpoint_record(born=2000, slots=9))
    mine.read()
    again = mine.state.endpoints.rows[R1]
    assert row.gone
    assert again is not row
    assert (again.running, again.slots, again.started_ms) == (0, 9, 2000)
    assert again.prefill_speed == 0.0
    assert again.health.failures_in_row == 0
    assert mine.state.endpoints.of(again.service).count(again) == 1


def test_record_with_another_address_replaces_run():
    # Guards against requests to the old address or for the old service.
    lists = network()
    mine = lists.nodes["n0"]
    lists.write("r1", endpoint_record(address="10.9.0.7:7007", service="drafts"))
    mine.read()
    row = mine.state.endpoints.rows[R1]
    assert (row.address, row.service) == (("10.9.0.7", 7007), "drafts")
    assert row.endpoint not in [
        other.endpoint for other in mine.state.endpoints.of(ServiceName("desk"))
    ]


def test_record_of_earlier_run_is_ignored():
    # Guards against requests to a run that has ended. Its record is written late, after
    # the record of the next run or after the removal of that record.
    lists = network()
    mine = lists.nodes["n0"]
    lists.write("r1", endpoint_record(born=2000))
    lists.write("r1", endpoint_record(born=1000, address="10.9.0.9:7009"))
    mine.read()
    assert mine.state.endpoints.rows[R1].started_ms == 2000
    lists.write("r1", None)
    lists.write("r1", endpoint_record(born=1000))
    mine.read()
    assert not mine.accepts_work_at("r1")


def test_unreadable_record_removes_only_its_endpoint(caplog):
    # Another writer overwrites the record of r1. Guards against the loss of r2, a log
    # line per heartbeat, and an r1 that does not return with its next valid record.
    lists = network()
    mine, peer = lists.nodes.values()
    for sequence in range(3):
        lists.write("r1", endpoint_record(slots="many", sequence=sequence))
        mine.read()
    assert not mine.accepts_work_at("r1")
    assert mine.accepts_work_at("r2")
    assert list(mine.endpoints.unreadable) == [R1]
    assert caplog.text.count("endpoint unreadable") == 1
    lists.run(0.3, step_s=0.02, latency_s=0.01)
    assert not peer.accepts_work_at("r1")
    lists.write("r1", endpoint_record())
    mine.read()
    assert mine.accepts_work_at("r1")
    assert not mine.endpoints.unreadable


@settings(derandomize=True, max_examples=150, stateful_step_count=40, deadline=None)
class ListMachine(RuleBasedStateMachine):
    """State machine of endpoints that change and nodes that exchange their lists.

    Endpoints start, leave, restart and disappear. Messages arrive in any order, late or
    never. Nodes read all later records or only the newest ones, and send complete
    lists, including old ones. For each endpoint, a node must use the newest record that
    its list claims to cover by time and offset, or a later one.
    """

    def __init__(self):
        super().__init__()
        self.lists = EndpointListNetwork.of(4, Random(5))
        for node in self.lists.nodes.values():
            node.read()
        self.kept = []
        self.born = dict.fromkeys(("r1", "r2", "r3"), 1000)

    def node(self, number):
        return self.lists.nodes[f"n{number}"]

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds):
        self.lists.now += seconds

    @rule(
        name=NAMES,
        changes=st.sampled_from(
            [
                {},
                {"sequence": 2},
                {"state": "draining"},
                {"address": "10.9.0.2:7000"},
                {"slots": "many"},
                {"service": "not in the configuration"},
            ]
        ),
    )
    def write(self, name, changes):
        self.lists.write(name, endpoint_record(born=self.born[name], **changes))

    @rule(name=NAMES, content=st.sampled_from([None, b"\xff\x00", b'{"state":']))
    def remove_or_spoil(self, name, content):
        self.lists.write(name, content)

    @rule(name=NAMES, host=st.sampled_from(["10.9.0.1", "10.9.0.2"]))
    def start_again(self, name, host):
        self.born[name] += 1000
        content = endpoint_record(born=self.born[name], address=f"{host}:7000")
        self.lists.write(name, content)

    @rule(number=st.integers(0, 3), answer_s=st.floats(0, 1.0), whole=st.booleans())
    def read(self, number, answer_s, whole):
        self.node(number).read(answer_s, whole)

    @rule(number=st.integers(0, 3))
    def tick(self, number):
        node = self.node(number)
        node.exchange.tick(node.now())

    @precondition(lambda self: self.lists.in_transit)
    @rule(data=st.data())
    def deliver(self, data):
        self.lists.deliver(data.draw(st.integers(0, len(self.lists.in_transit) - 1)))

    @precondition(lambda self: self.lists.in_transit)
    @rule(data=st.data())
    def lose(self, data):
        self.lists.in_transit.pop(
            data.draw(st.integers(0, len(self.lists.in_transit) - 1))
        )

    @rule(number=st.integers(0, 3))
    def keep_whole_list(self, number):
        node = self.node(number)
        self.kept.append((node.endpoints.all(), node.state.freshness.known_offset))

    @precondition(lambda self: self.kept)
    @rule(number=st.integers(0, 3), data=st.data())
    def take_whole_list(self, number, data):
        changes, as_of = data.draw(st.sampled_from(self.kept))
        freshness = self.node(number).state.freshness
        self.node(number).endpoints.replace_all(changes, as_of, "peer")
        freshness.confirm(float("-inf"), as_of, "peer")

    @rule(number=st.integers(0, 3))
    def freeze(self, number):
        node = self.node(number)
        node.state.freshness.invalidate(node.now())

    @invariant()
    def lists_hold_what_they_vouch_for(self):
        topic = self.lists.topic
        for node in self.lists.nodes.values():
            for name in ("r1", "r2", "r3"):
                in_time = topic.last_offset_before(name, node.confirmed_at - 1e-6)
                as_of = node.state.freshness.known_offset
                before = [
                    offset
                    for offset, (_, key, _) in enumerate(topic.records[:as_of])
                    if key == name
                ]
                oldest = max([in_time, *before])
                allowed: set[tuple[str, str, int] | None] = set()
                if oldest < 0:
                    allowed.add(None)
                allowed |= {
                    _usable(content)
                    for offset, (_, key, content) in enumerate(topic.records)
                    if key == name and offset >= oldest
                }
                row = node.state.endpoints.rows.get(EndpointId(name))
                used = None
                if row is not None and row.accepts_work:
                    used = (row.address[0], row.service, row.started_ms)
                assert used in allowed


def _usable(content: bytes | None) -> tuple[str, str, int] | None:
    """Return host, service and run to which a record allows requests, or None."""
    if content is None or b"ready" not in content or b"many" in content:
        return None
    value = orjson.loads(content)
    return value["address"].split(":")[0], value["service"], value["born"]


TestLists = ListMachine.TestCase
