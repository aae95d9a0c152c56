"""Test with a state machine that all nodes fold the same configuration.

Operators publish concurrently through different nodes. Answers to appends are lost and
the records are sent again, old records are appended again, and the log trims its oldest
records. Paused writers append snapshots late. Nodes restart and read the log or fetch
the configuration from peers. The configuration of a node must always equal the fold of
all records before its offset, and no subject's offset can decrease on a node.
"""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from poplarrelay.exception import ConfigurationConflict
from poplarrelay.identifiers import Incarnation, Offset
from poplarrelay.messages.effects import AppendRecord, Reply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import ConfigurationReceived
from poplarrelay.messages.platform import RecordsRead
from poplarrelay.messages.questions import CallId, ChangeRequested
from poplarrelay.messages.records import ChangeRecord, Record, encode_record
from poplarrelay.systems.configuring import (
    fold_change,
    fold_configuration,
    publish_changes,
    take_snapshot,
)
from poplarrelay.tables.configuration import ConfigurationTable
from poplarrelay.tables.world import CONFIGURATION, World
from poplarrelay.testing.builders import deployment_body, template_body
from poplarrelay.testing.worlds import make_settings

NODES = st.sampled_from(["n1", "n2", "n3"])
SUBJECTS = st.sampled_from(["template/base", "deployment/alpha", "deployment/beta"])


def _body(subject, number):
    kind, _, name = subject.partition("/")
    if kind == "template":
        limits = {"max_running": 10 + number, "max_queued": 50, "retry_ratio": 0.2}
        return template_body(limits=limits)
    return deployment_body(name, priority=1 + number % 100)


def _view(table):
    return {
        subject: (entry.offset, entry.value) for subject, entry in table.entries.items()
    }


class Folding(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.records = []
        self.oldest = 0
        self.now = 100.0
        self.calls = 0
        self.incarnations = 0
        self.nodes = {}
        self.highest = {}
        self.sent = []
        self.paused = []
        self.expected_states: list[dict] = [{}]
        self.table = ConfigurationTable()
        for name in ("n1", "n2", "n3"):
            self._start(name)

    def _start(self, name):
        self.incarnations += 1
        self.nodes[name] = World.from_settings(
            make_settings(name, int(name[1:])),
            Incarnation(f"{self.incarnations:08x}"),
            self.incarnations,
            self.now,
            seed=1,
        )
        self.highest[name] = {}

    def _append(self, value):
        offset = Offset(len(self.records))
        self.records.append(value)
        if isinstance(value, ChangeRecord):
            fold_change(self.table, offset, value)
        self.expected_states.append(_view(self.table))

    def _read(self, name, limit):
        world = self.nodes[name]
        start = world.streams[CONFIGURATION].next
        if world.unfolded_records:
            start = Offset(world.unfolded_records[-1].offset + 1)
        first = max(start, self.oldest)
        chosen = tuple(
            Record(Offset(first + index), value)
            for index, value in enumerate(self.records[first : first + limit])
        )
        batch = RecordsRead(
            CONFIGURATION,
            start,
            Offset(self.oldest),
            Offset(len(self.records)),
            None,
            chosen,
        )
        effects = list(fold_configuration(world, Inbox([batch]), self.now))
        resent = [e.value for e in effects if isinstance(e, AppendRecord)]
        self.sent += [value for value in resent if isinstance(value, ChangeRecord)]
        return effects

    @rule(node=NODES, subject=SUBJECTS, number=st.integers(0, 50), drop=st.booleans())
    def publish(self, node, subject, number, drop):
        world = self.nodes[node]
        world.streams[CONFIGURATION].read_at = self.now
        self.calls += 1
        body = None if drop and number % 5 == 0 else _body(subject, number)
        requested = ChangeRequested(CallId(self.calls), subject, body, None, False)
        for effect in publish_changes(world, Inbox([requested]), self.now):
            value = getattr(effect, "value", None)
            if isinstance(value, ChangeRecord):
                self.sent.append(value)

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), lost=st.booleans())
    def append(self, data, lost):
        index = data.draw(st.integers(0, len(self.sent) - 1))
        self._append(self.sent[index] if lost else self.sent.pop(index))

    @precondition(lambda self: self.records)
    @rule(data=st.data())
    def put_an_old_record_back(self, data):
        self._append(self.records[data.draw(st.integers(0, len(self.records) - 1))])

    @rule(node=NODES, limit=st.sampled_from([1, 2, 100]))
    def read(self, node, limit):
        self._read(node, limit)

    @rule(node=NODES)
    def begin_snapshot(self, node):
        world = self.nodes[node]
        if world.streams[CONFIGURATION].caught_up:
            self.paused.append(take_snapshot(world, world.new_record_id()))

    @precondition(lambda self: self.paused)
    @rule(data=st.data())
    def end_snapshot(self, data):
        index = data.draw(st.integers(0, len(self.paused) - 1))
        self._append(self.paused.pop(index))

    @precondition(lambda self: len(self.records) > self.oldest)
    @rule(count=st.integers(1, 3))
    def trim(self, count):
        self.oldest = min(len(self.records), self.oldest + count)

    @rule(node=NODES)
    def start_again(self, node):
        self._start(node)

    @rule(node=NODES, peer=NODES)
    def learn_from_peer(self, node, peer):
        source = self.nodes[peer]
        if node != peer and source.streams[CONFIGURATION].caught_up:
            snapshot = take_snapshot(source, source.new_record_id())
            message = ConfigurationReceived(snapshot)
            world = self.nodes[node]
            list(fold_configuration(world, Inbox([message]), self.now))

    @invariant()
    def every_fold_is_the_log_up_to_there(self):
        for world in self.nodes.values():
            following = world.streams[CONFIGURATION].next
            assert _view(world.configuration) == self.expected_states[following]

    @invariant()
    def no_version_goes_down(self):
        for name, world in self.nodes.items():
            for subject, entry in world.configuration.entries.items():
                highest = self.highest[name].get(subject, -1)
                assert entry.offset >= highest
                self.highest[name][subject] = entry.offset

    @invariant()
    def policies_belong_to_entries_in_force(self):
        for world in self.nodes.values():
            for team in world.configuration.policies:
                assert world.configuration.entries[f"deployment/{team}"].value

    def teardown(self):
        for name in self.nodes:
            self._read(name, 1000)
        for world in self.nodes.values():
            if world.streams[CONFIGURATION].caught_up:
                assert _view(world.configuration) == self.expected_states[-1]


Folding.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestFolding = Folding.TestCase


def test_a_trimmed_stream_without_a_snapshot_is_not_folded():
    # Guards against a configuration that no operator published. The log has trimmed its
    # first records and has no snapshot when the node starts.
    world = World.from_settings(
        make_settings("n1", 1), Incarnation("00000001"), 1, 0.0, seed=1
    )
    change = ChangeRecord(
        id="x", subject="template/base", after=None, body=template_body()
    )
    batch = RecordsRead(
        CONFIGURATION,
        Offset(0),
        Offset(3),
        Offset(4),
        None,
        (Record(Offset(3), change),),
    )
    list(fold_configuration(world, Inbox([batch]), 1.0))
    assert world.configuration.entries == {}
    assert not world.streams[CONFIGURATION].caught_up
    assert encode_record(change)["subject"] == "template/base"


def _effects_of(effect_type, effects):
    return [effect for effect in effects if isinstance(effect, effect_type)]


def _make_log_with_deployment():
    """Return a log with a template and a deployment that two nodes have read."""
    log = Folding()
    log._read("n1", 9)
    for subject in ("template/base", "deployment/alpha"):
        log.publish("n1", subject, 1, drop=False)
        log._append(log.sent.pop())
        for name in ("n1", "n2"):
            log._read(name, 9)
    return log


def _publish_on_second_node(log, after, checked):
    """Publish a change on the second node and return its record."""
    body = _body("deployment/alpha", 22)
    requested = ChangeRequested(CallId(99), "deployment/alpha", body, after, checked)
    effects = publish_changes(log.nodes["n2"], Inbox([requested]), log.now)
    (sent,) = _effects_of(AppendRecord, effects)
    return sent.value


@pytest.mark.parametrize("checked", [False, True])
def test_change_that_lost_to_one_not_read_yet_is_sent_again(checked):
    # Guards against a conflict for a change that named no change to replace. It loses
    # to a change that its node had not read.
    log = _make_log_with_deployment()
    world = log.nodes["n2"]
    seen = world.configuration.entries["deployment/alpha"].offset
    log.publish("n1", "deployment/alpha", 21, drop=False)
    log._append(log.sent.pop())
    log._append(_publish_on_second_node(log, seen, checked))
    effects = log._read("n2", 9)
    if checked:
        (reply,) = _effects_of(Reply, effects)
        assert isinstance(reply.value, ConfigurationConflict)
        return
    (resent,) = _effects_of(AppendRecord, effects)
    log._append(resent.value)
    (reply,) = _effects_of(Reply, log._read("n2", 9))
    assert reply.value.won
    assert world.configuration.entries["deployment/alpha"].value.priority == 23


def test_change_that_a_snapshot_may_cover_is_not_sent_again():
    # Guards against a resent change that overwrites a later change of another operator.
    log = _make_log_with_deployment()
    record = _publish_on_second_node(log, None, checked=False)
    log._append(record)
    log._read("n1", 9)
    log.learn_from_peer("n2", "n1")
    log.publish("n1", "deployment/alpha", 30, drop=False)
    log._append(log.sent.pop())
    log._append(record)
    effects = log._read("n2", 9)
    assert _effects_of(AppendRecord, effects) == []
    (reply,) = _effects_of(Reply, effects)
    assert isinstance(reply.value, ConfigurationConflict)
    assert (
        log.nodes["n2"].configuration.entries["deployment/alpha"].value.priority == 31
    )
