"""Leases: one holder at a time, whatever is paused or lost."""

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
    number = fencing_token(world, DUTY)
    assert number is not None
    return number


class Takers:
    """Nodes that bid for duties on one log, with a clock that the test moves."""

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
        following = Offset(len(self.records))
        batch = RecordsRead(
            CONFIGURATION, position.next, Offset(0), following, None, records
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
def takers():
    return Takers()


def test_a_free_duty_is_taken_by_one(takers):
    takers.run(5.0, takers.worlds)
    assert len(takers.holders()) == 1


def test_two_takers_at_once_the_first_record_wins(takers):
    one, other = takers.worlds
    takers.run(0.0, [])
    takers.now += 2.0
    for world in takers.worlds:
        takers.lease_requests(world)
    takers.now += 2.0
    for world in takers.worlds:
        takers.records.extend(takers.lease_requests(world))
    for world in takers.worlds:
        takers.read(world)
    assert takers.holders() == [one]
    assert fencing(one) == fencing(other)


def test_the_holder_renews_and_keeps_the_duty(takers):
    takers.run(5.0, takers.worlds)
    holder = takers.holders()
    first = fencing(takers.worlds[0])
    takers.run(40.0, takers.worlds)
    assert takers.holders() == holder
    assert fencing(takers.worlds[0]) > first


def test_a_paused_holder_has_stopped_before_another_begins(takers):
    # The holder is paused. It is not told that its lease lapses, but finds its own
    # term over when it goes on; the other one begins only after that.
    takers.run(5.0, takers.worlds)
    (holder,) = takers.holders()
    other = next(w for w in takers.worlds if w is not holder)
    before = fencing(other)
    takers.run(TERM_S + MARGIN_S + 3.0, [other])
    assert takers.holders() == [other]
    assert remaining_term(holder, DUTY, takers.now) == 0.0
    assert fencing(other) > before
    takers.run(5.0, takers.worlds)
    assert takers.holders() == [other]


def test_the_term_counts_from_before_the_record_was_sent(takers):
    # The append is slow: its answer comes after most of the term. Others may have
    # read the record early and count from there.
    world = takers.worlds[0]
    takers.now += 2.0
    takers.lease_requests(world)
    takers.now += 2.0
    sent = takers.lease_requests(world)
    takers.records.extend(sent)
    takers.now += TERM_S - 1.0
    takers.read(world)
    assert 0.0 < remaining_term(world, DUTY, takers.now) <= 1.0
    takers.now += 1.0
    assert remaining_term(world, DUTY, takers.now) == 0.0


def test_a_lost_append_answer_gives_no_second_lease(takers):
    # The record is appended twice under one id; the repetition replaces nothing.
    world = takers.worlds[0]
    takers.now += 2.0
    takers.lease_requests(world)
    takers.now += 2.0
    sent = takers.lease_requests(world)
    takers.records.extend(sent + sent)
    takers.read(world)
    first = next(
        offset
        for offset, value in enumerate(takers.records)
        if value.duty == DUTY.value
    )
    assert fencing(world) == first


def test_without_the_log_the_duty_lapses(takers):
    takers.run(5.0, takers.worlds)
    (holder,) = takers.holders()
    takers.now += TERM_S + 0.1
    assert (
        takers.lease_requests(holder) == []
        or remaining_term(holder, DUTY, takers.now) == 0.0
    )
    assert takers.holders() == []


def test_a_leaving_holder_gives_the_duty_up(takers):
    takers.run(5.0, takers.worlds)
    (holder,) = takers.holders()
    other = next(w for w in takers.worlds if w is not holder)
    holder.phase = NodePhase.DRAINING
    takers.run(4.0, takers.worlds)
    assert takers.holders() == [other]


def test_a_record_that_replaces_an_old_lease_does_not_count(takers):
    takers.run(20.0, takers.worlds)
    holder = takers.holders()
    stale = LeaseRecord(
        id="stale",
        duty=DUTY.value,
        node="n9",
        incarnation="99999999",
        after=0,
        term_s=9.0,
    )
    takers.records.append(stale)
    for world in takers.worlds:
        takers.read(world)
    assert takers.holders() == holder
