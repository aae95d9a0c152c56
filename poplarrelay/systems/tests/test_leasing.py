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


class Candidates:
    """Nodes that request leases on one log, with a clock that the test advances."""

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
def candidates():
    return Candidates()


def test_a_free_duty_gets_one_holder(candidates):
    candidates.run(5.0, candidates.worlds)
    assert len(candidates.holders()) == 1


def test_the_first_of_two_concurrent_lease_records_wins(candidates):
    one, other = candidates.worlds
    candidates.run(0.0, [])
    candidates.now += 2.0
    for world in candidates.worlds:
        candidates.lease_requests(world)
    candidates.now += 2.0
    for world in candidates.worlds:
        candidates.records.extend(candidates.lease_requests(world))
    for world in candidates.worlds:
        candidates.read(world)
    assert candidates.holders() == [one]
    assert fencing(one) == fencing(other)


def test_the_holder_renews_and_keeps_the_duty(candidates):
    candidates.run(5.0, candidates.worlds)
    holder = candidates.holders()
    first = fencing(candidates.worlds[0])
    candidates.run(40.0, candidates.worlds)
    assert candidates.holders() == holder
    assert fencing(candidates.worlds[0]) > first


def test_a_paused_holder_has_stopped_before_another_begins(candidates):
    # Guards against two holders at a time. A paused holder receives no message that its
    # lease has expired. When it resumes, its own term must be over.
    candidates.run(5.0, candidates.worlds)
    (holder,) = candidates.holders()
    other = next(w for w in candidates.worlds if w is not holder)
    before = fencing(other)
    candidates.run(TERM_S + MARGIN_S + 3.0, [other])
    assert candidates.holders() == [other]
    assert remaining_term(holder, DUTY, candidates.now) == 0.0
    assert fencing(other) > before
    candidates.run(5.0, candidates.worlds)
    assert candidates.holders() == [other]


def test_the_term_counts_from_before_the_record_was_sent(candidates):
    # Guards against two holders if the answer to the append comes after most of the
    # term. Other nodes can have read the record early and count the term from then.
    world = candidates.worlds[0]
    candidates.now += 2.0
    candidates.lease_requests(world)
    candidates.now += 2.0
    sent = candidates.lease_requests(world)
    candidates.records.extend(sent)
    candidates.now += TERM_S - 1.0
    candidates.read(world)
    assert 0.0 < remaining_term(world, DUTY, candidates.now) <= 1.0
    candidates.now += 1.0
    assert remaining_term(world, DUTY, candidates.now) == 0.0


def test_a_lost_append_answer_gives_no_second_lease(candidates):
    # Guards against a second lease if the answer to the append is lost and the record
    # is appended twice under one id.
    world = candidates.worlds[0]
    candidates.now += 2.0
    candidates.lease_requests(world)
    candidates.now += 2.0
    sent = candidates.lease_requests(world)
    candidates.records.extend(sent + sent)
    candidates.read(world)
    first = next(
        offset
        for offset, value in enumerate(candidates.records)
        if value.duty == DUTY.value
    )
    assert fencing(world) == first


def test_a_lease_expires_without_the_log(candidates):
    candidates.run(5.0, candidates.worlds)
    (holder,) = candidates.holders()
    candidates.now += TERM_S + 0.1
    assert (
        candidates.lease_requests(holder) == []
        or remaining_term(holder, DUTY, candidates.now) == 0.0
    )
    assert candidates.holders() == []


def test_a_leaving_holder_releases_the_duty(candidates):
    candidates.run(5.0, candidates.worlds)
    (holder,) = candidates.holders()
    other = next(w for w in candidates.worlds if w is not holder)
    holder.phase = NodePhase.DRAINING
    candidates.run(4.0, candidates.worlds)
    assert candidates.holders() == [other]


def test_a_record_that_replaces_an_old_lease_does_not_count(candidates):
    candidates.run(20.0, candidates.worlds)
    holder = candidates.holders()
    stale = LeaseRecord(
        id="stale",
        duty=DUTY.value,
        node="n9",
        incarnation="99999999",
        after=0,
        term_s=9.0,
    )
    candidates.records.append(stale)
    for world in candidates.worlds:
        candidates.read(world)
    assert candidates.holders() == holder
