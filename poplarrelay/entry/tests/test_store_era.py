"""Eras of the store, and the offsets, tokens and records that depend on them."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.duty_lease import DutyLease
from poplarrelay.entry.duty_worker import UsageLedger
from poplarrelay.entry.metering import COUNTS_MARGIN_S, UsageCounts
from poplarrelay.entry.rollouts.records import (
    RolloutOrder,
    RolloutPhase,
    RolloutProgress,
)
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.entry.settings import parse_address
from poplarrelay.entry.store_era import MAX_ERA, EraTracker, ordered_offset
from poplarrelay.exception import StoreRestored
from poplarrelay.identifiers import Offset, SoftwareVersion, StoreEra, TeamId
from poplarrelay.platform.store import Store
from poplarrelay.standins.users.store import StoreListener, StoreStandIn
from poplarrelay.testing.entry_site import run_scenario
from poplarrelay.testing.rows import make_network

DESK = ServiceName("desk")
ERAS = [StoreEra(number) for number in range(4)]


class TestTracker:
    def test_later_eras_replace_earlier_ones_in_any_order(self):
        # Guards against a node that was cut off and brings an earlier era back.
        times = [10.0]
        tracker = EraTracker(lambda: times[0])
        restores = []
        tracker.on_restore = lambda: restores.append(tracker.latest)
        assert not tracker.stated
        assert tracker.observe(ERAS[1], "store")
        assert restores == []
        times[0] = 20.0
        assert tracker.observe(ERAS[3], "peer")
        assert tracker.seen_at == 20.0
        times[0] = 30.0
        assert not tracker.observe(ERAS[2], "peer")
        assert tracker.observe(ERAS[3], "store")
        assert (tracker.latest, tracker.seen_at) == (ERAS[3], 20.0)
        assert restores == [ERAS[3]]

    def test_messages_without_an_era_are_accepted_only_if_the_store_states_none(self):
        tracker = EraTracker()
        assert tracker.accepts(None, "a")
        assert tracker.accepts(2, "a")
        assert not tracker.accepts(None, "a")
        assert not tracker.accepts(1, "a")

    @pytest.mark.parametrize("era", [-1, True, "2", 1.5, [1], MAX_ERA + 1])
    def test_malformed_era_is_rejected(self, era):
        with pytest.raises(ValueError, match="invalid era"):
            EraTracker().accepts(era, "a")


class TestGossip:
    def test_nodes_tell_each_other_of_an_era(self):
        network = make_network(9, warm_up_s=4.0)
        trackers = [EraTracker() for _ in network.nodes]
        for node, tracker in zip(network.nodes.values(), trackers, strict=True):
            tracker.observe(ERAS[1], "store")
            node.attach_eras(tracker)
        trackers[0].observe(ERAS[2], "store")
        for _ in network.run(3.0):
            pass
        assert {tracker.latest for tracker in trackers} == {ERAS[2]}

    def test_node_without_eras_accepts_datagrams_with_one(self, caplog):
        # Guards against datagrams that nodes of the previous version cannot decode.
        network = make_network(2, warm_up_s=2.0)
        tracker = EraTracker()
        tracker.observe(ERAS[2], "store")
        network.nodes[network.alive[0]].attach_eras(tracker)
        for _ in network.run(2.0):
            pass
        assert "unreadable news" not in caplog.messages
        assert network.count_false_deaths()[0] == 0


class TestLease:
    def test_token_is_larger_in_a_later_era_with_a_smaller_generation(self):
        lease = DutyLease(ttl_s=2.0, wait_s=3.0)
        lease.begin_era(ERAS[1])
        lease.renew(True, 9, 0.0)
        first = lease.token
        lease.begin_era(ERAS[2])
        assert not lease.held
        lease.renew(True, 4, 1.0)
        assert lease.token > first

    def test_holder_in_a_later_era_waits_after_its_last_action(self):
        # Guards against holders A, B, A within the bound, with B in the lost records.
        lease = DutyLease(ttl_s=2.0, wait_s=3.0)
        lease.renew(True, 9, 10.0)
        lease.record_action(10.1)
        lease.begin_era(ERAS[1])
        lease.renew(True, 9, 11.0)
        assert not lease.may_act(11.1)


class TestLedger:
    def test_first_record_of_an_era_excludes_earlier_windows(self):
        ledger = UsageLedger()
        ledger.add_record(UsageLedger.encode(7, {TeamId("alpha"): 3}, ERAS[1]))
        ledger.add_record(UsageLedger.encode_era(ERAS[2], 9))
        assert ledger.decided == {7: {"alpha": 3}}
        assert ledger.eras == {ERAS[1], ERAS[2]}
        assert ledger.decided_through == 9

    def test_windows_whose_counts_a_node_may_have_dropped_are_not_kept(self):
        usage = UsageCounts(5.0)
        for window in range(10):
            usage.note(TeamId("alpha"), 5.0 * window + COUNTS_MARGIN_S)
        # The present window is 9. Other nodes can be ahead by the margin.
        assert min(usage.windows) == usage.oldest_kept(46.0) == 6
        assert usage.oldest_kept(50.0 - COUNTS_MARGIN_S) == 7


class TestRollouts:
    def make_order(self, target: str, era: int, offset: int) -> RolloutOrder:
        position = ordered_offset(StoreEra(era), Offset(offset))
        return RolloutOrder(DESK, SoftwareVersion(target), 60.0, position)

    def make_table(self) -> RolloutTable:
        return RolloutTable(0.1, lambda: 100.0, Random(1))

    def phase(self, table: RolloutTable) -> tuple[str, RolloutPhase]:
        local = table.get(DESK)
        assert local is not None
        return local.progress.order.target, local.progress.phase

    @pytest.mark.parametrize("offset", [3, 5, 9])
    def test_order_that_is_written_again_stays_reverted(self, offset):
        # Guards against a roll-out of a bad version that begins again.
        table = self.make_table()
        table.receive_order(self.make_order("v2", 1, 5))
        table.revert(DESK, "bad")
        table.receive_order(self.make_order("v2", 2, offset))
        assert self.phase(table) == ("v2", RolloutPhase.REVERTED)
        # A later order for the same version is a new one.
        table.receive_order(self.make_order("v2", 2, offset + 1))
        assert self.phase(table) == ("v2", RolloutPhase.CANARY)

    def test_earlier_order_of_a_restored_store_is_ignored(self):
        # Guards against an order that returns until the newer one is written again.
        table = self.make_table()
        table.receive_order(self.make_order("v2", 1, 3))
        table.receive_order(self.make_order("v3", 1, 5))
        table.receive_order(self.make_order("v2", 2, 3))
        assert self.phase(table) == ("v3", RolloutPhase.CANARY)
        # A node that has started since follows it, and says so.
        table.merge(RolloutProgress(self.make_order("v2", 2, 3), 100.0, 100.0), "peer")
        assert self.phase(table) == ("v3", RolloutPhase.CANARY)
        table.receive_order(self.make_order("v4", 2, 4))
        assert self.phase(table) == ("v4", RolloutPhase.CANARY)

    def test_node_that_has_only_read_the_repeated_order_learns_of_the_revert(self):
        old, new = self.make_table(), self.make_table()
        old.receive_order(self.make_order("v2", 1, 5))
        old.revert(DESK, "bad")
        new.receive_order(self.make_order("v2", 2, 4))
        for progress in (old.all_progress(), new.all_progress()):
            for table in (old, new):
                table.receive(progress, "peer")
        for table in (old, new):
            assert self.phase(table) == ("v2", RolloutPhase.REVERTED)
        positions = {
            local.progress.order.offset for table in (old, new) for local in table
        }
        assert len(positions) == 1

    def test_merge_of_repeated_orders_does_not_depend_on_the_order(self):
        one = RolloutProgress(self.make_order("v2", 1, 5), 90.0, 95.0)
        reverted = one.advance(RolloutPhase.REVERTED, "bad", 99.0)
        other = RolloutProgress(self.make_order("v2", 2, 4), 98.0, 98.0)
        results = set()
        for records in ([reverted, other], [other, reverted], [other, one, reverted]):
            table = self.make_table()
            for progress in records:
                table.merge(progress, "peer")
            local = table.get(DESK)
            assert local is not None
            results.add((local.progress.phase, local.progress.order.offset))
        assert len(results) == 1


class TestCalls:
    @pytest.mark.parametrize("told_by_peer", [False, True])
    def test_answer_to_a_call_of_an_earlier_era_is_discarded(self, told_by_peer):
        # Guards against records that are applied under offsets of another era.
        async def scenario():
            stand_in = StoreStandIn()
            stand_in.era = 1
            listener = StoreListener(stand_in, "127.0.0.1")
            await listener.start()
            tracker = EraTracker()
            store = Store(parse_address(listener.address), eras=tracker)
            copy = stand_in.copy()
            _, end = await store.newest("keyed.op")
            read = asyncio.create_task(store.read("keyed.op", 0, end, wait_s=5.0))
            await asyncio.sleep(0.1)
            if told_by_peer:
                tracker.observe(ERAS[2], "peer")
            else:
                stand_in.restore(copy)
            stand_in.put("keyed.op", "config", {"version": 1})
            with pytest.raises(StoreRestored):
                await read
            assert tracker.latest == ERAS[2]
            store.close()
            listener.stop()

        run_scenario(scenario)
