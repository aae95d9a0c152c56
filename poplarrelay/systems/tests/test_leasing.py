"""Test that a lease has one holder at a time if nodes pause or answers are lost."""

import pytest

from poplarrelay.identifiers import Incarnation, Offset
from poplarrelay.messages.effects import AppendRecord
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.platform import RecordsRead
from poplarrelay.messages.records import LeaseRecord, Record
from poplarrelay.systems.configuring import fold_configuration
from poplarrelay.systems.leasing import fencing_token, keep_leases, remaining_term
from poplarrelay.tables.leases import Duty
from poplarrelay.tables.world import CONFIGURATION, NodePhase, World
from poplarrelay.testing.worlds import make_settings

TERM_S, MARGIN_S = 9.0, 3.0
DUTY = Duty.PLACEMENT


def fencing(world):
    token = fencing_token(world, DUTY)
    assert token is not None
    return token


class LeaseNodes:
    """Nodes that compete for leases in one shared log; the test sets their clock."""

    def __init__(self, count=2):
        self.now = 100.0
        self.records = []
        self.worlds = []
        for index in range(1, count + 1):
            world = World.from_settings(
                make_settings(f"n{index}", index),
                Incarnation(f"{index:08x}"),
                1,
                self.now,
                index,
            )
            world.phase = NodePhase.SERVING
            world.me.ready = True
            self.worlds.append(world)
        for world in self.worlds:
            self.read(world)

    def read(self, world):
        position = world.streams[CONFIGURATION]
        records = tuple(
            Record(Offset(offset), value)
            for offset, value in enumerate(self.records)
            if offset >= position.next
        )
        next_offset = Offset(len(self.records))
        batch = RecordsRead(
            CONFIGURATION, position.next, Offset(0), next_offset, None, records
        )
        list(fold_configuration(world, Inbox([batch]), self.now))

    def lease_requests(self, world):
        effects = list(keep_leases(world, Inbox(), self.now))
        return [e.value for e in effects if isinstance(e, AppendRecord)]

    def run(self, seconds, running, step=0.25):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for world in running:
                self.records.extend(self.lease_requests(world))
                self.read(world)
            self.assert_one_holder()

    def holders(self):
        return [w for w in self.worlds if remaining_term(w, DUTY, self.now) > 0.0]

    def assert_one_holder(self):
        assert len(self.holders()) <= 1


@pytest.fixture
def nodes():
    return LeaseNodes()


def test_a_free_duty_gets_one_holder(nodes):
    nodes.run(5.0, nodes.worlds)
    assert len(nodes.holders()) == 1


def test_the_first_of_two_concurrent_lease_records_wins(nodes):
    one, other = nodes.worlds
    nodes.run(0.0, [])
    # In the first round each node only draws its random delay. Two seconds later, the
    # delays are over and both request the lease.
    nodes.now += 2.0
    for world in nodes.worlds:
        nodes.lease_requests(world)
    nodes.now += 2.0
    for world in nodes.worlds:
        nodes.records.extend(nodes.lease_requests(world))
    for world in nodes.worlds:
        nodes.read(world)
    assert nodes.holders() == [one]
    assert fencing(one) == fencing(other)


def test_the_holder_renews_and_keeps_the_duty(nodes):
    nodes.run(5.0, nodes.worlds)
    holder = nodes.holders()
    first = fencing(nodes.worlds[0])
    nodes.run(40.0, nodes.worlds)
    assert nodes.holders() == holder
    assert fencing(nodes.worlds[0]) > first


def test_a_paused_holder_has_stopped_before_another_begins(nodes):
    # Guards against two holders at a time. A paused holder receives no message that its
    # lease has expired. When it resumes, its own term must be over.
    nodes.run(5.0, nodes.worlds)
    (holder,) = nodes.holders()
    other = next(w for w in nodes.worlds if w is not holder)
    before = fencing(other)
    nodes.run(TERM_S + MARGIN_S + 3.0, [other])
    assert nodes.holders() == [other]
    assert remaining_term(holder, DUTY, nodes.now) == 0.0
    assert fencing(other) > before
    nodes.run(5.0, nodes.worlds)
    assert nodes.holders() == [other]


def test_the_term_counts_from_before_the_record_was_sent(nodes):
    # Guards against two holders if the answer to the append comes after most of the
    # term. Other nodes can have read the record early and count the term from then.
    world = nodes.worlds[0]
    nodes.now += 2.0
    nodes.lease_requests(world)
    nodes.now += 2.0
    sent = nodes.lease_requests(world)
    nodes.records.extend(sent)
    nodes.now += TERM_S - 1.0
    nodes.read(world)
    assert 0.0 < remaining_term(world, DUTY, nodes.now) <= 1.0
    nodes.now += 1.0
    assert remaining_term(world, DUTY, nodes.now) == 0.0


def test_a_lost_append_answer_gives_no_second_lease(nodes):
    # Guards against a second lease if the answer to the append is lost and the record
    # is appended twice under one id.
    world = nodes.worlds[0]
    nodes.now += 2.0
    nodes.lease_requests(world)
    nodes.now += 2.0
    sent = nodes.lease_requests(world)
    nodes.records.extend(sent + sent)
    nodes.read(world)
    first = next(
        offset for offset, value in enumerate(nodes.records) if value.duty == DUTY.value
    )
    assert fencing(world) == first


def test_lease_expires_if_log_is_unreachable(nodes):
    nodes.run(5.0, nodes.worlds)
    (holder,) = nodes.holders()
    nodes.now += TERM_S + 0.1
    assert (
        nodes.lease_requests(holder) == []
        or remaining_term(holder, DUTY, nodes.now) == 0.0
    )
    assert nodes.holders() == []


def test_a_leaving_holder_releases_the_duty(nodes):
    nodes.run(5.0, nodes.worlds)
    (holder,) = nodes.holders()
    other = next(w for w in nodes.worlds if w is not holder)
    holder.phase = NodePhase.DRAINING
    nodes.run(4.0, nodes.worlds)
    assert nodes.holders() == [other]


def test_lease_record_with_stale_predecessor_is_ignored(nodes):
    nodes.run(20.0, nodes.worlds)
    holder = nodes.holders()
    stale = LeaseRecord(
        id="stale",
        duty=DUTY.value,
        node="n9",
        incarnation="99999999",
        after=0,
        term_s=9.0,
    )
    nodes.records.append(stale)
    for world in nodes.worlds:
        nodes.read(world)
    assert nodes.holders() == holder
