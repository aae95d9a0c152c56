"""Tests of the duties: one holder at a time, and one usage report for each window."""

import asyncio
from itertools import pairwise
from typing import Any

import orjson
import pytest

from poplarrelay.entry.duty_lease import (
    CANDIDATES,
    DutyLease,
    LeaseChange,
    is_candidate,
)
from poplarrelay.entry.duty_worker import GROUP, LEDGER_TOPIC, UsageLedger
from poplarrelay.exception import PlatformUnavailable
from poplarrelay.identifiers import NodeId, TeamId
from poplarrelay.standins.users.store import Outage
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)


def holder(site):
    return next(
        (name for name, node in site.nodes.items() if node.duties.lease.held), None
    )


class TestLease:
    def test_holder_stops_before_another_node_can_hold_the_duty(self):
        # Renewals fail, for example during an outage of the store. The node must not
        # act at a time at which another node can already hold the duty.
        lease = DutyLease(ttl_s=2.0, wait_s=0.0, last_action_at=-10.0)
        assert lease.renew(True, 5, 0.0) is LeaseChange.TAKEN
        assert lease.may_act(1.3)
        assert not lease.may_act(1.5)

    def test_regained_duty_waits_after_the_last_action_of_this_node(self):
        # The duty moves from this node to another one and back within a second. If this
        # node acted immediately, the holders would be A, B, A within the bound of 3 s.
        lease = DutyLease(ttl_s=2.0, wait_s=3.0, last_action_at=-10.0)
        lease.renew(True, 5, 0.0)
        assert lease.may_act(0.1)
        lease.record_action(0.1)
        assert lease.renew(False, 6, 0.5) is LeaseChange.LOST
        assert lease.renew(True, 7, 1.0) is LeaseChange.TAKEN
        assert not lease.may_act(1.1)
        lease.renew(True, 7, 2.5)
        assert lease.may_act(3.6)

    def test_later_lease_term_has_a_larger_token(self):
        lease = DutyLease(ttl_s=2.0, wait_s=0.0)
        lease.renew(True, 5, 0.0)
        lease.renew(True, 6, 0.5)
        assert lease.token == 5
        lease.renew(False, 7, 1.0)
        lease.renew(True, 9, 1.5)
        assert lease.token == 9

    def test_holder_does_not_act_after_a_freeze(self):
        # A frozen process relinquishes the lease when it resumes, since the lease can
        # have expired during the freeze.
        lease = DutyLease(ttl_s=2.0, wait_s=0.0, last_action_at=-10.0)
        lease.renew(True, 5, 0.0)
        lease.relinquish()
        assert not lease.may_act(0.1)


def test_few_nodes_are_candidates_and_others_replace_them():
    # If 195 nodes all stayed in the group, they would call the store 355 times a second
    # for one holder. When the nine candidates are killed, others must replace them.
    nodes = [NodeId(f"node-{number}") for number in range(195)]

    def candidates(alive):
        return {n for n in alive if is_candidate(n, [o for o in alive if o != n])}

    first = candidates(nodes)
    assert len(first) == CANDIDATES
    left = [node for node in nodes if node not in first]
    assert len(candidates(left)) == CANDIDATES
    assert candidates(nodes[:9]) == set(nodes[:9])


def test_first_ledger_record_of_a_window_is_used():
    ledger = UsageLedger()
    ledger.add_record(UsageLedger.encode(7, {TeamId("alpha"): 3}))
    ledger.add_record(UsageLedger.encode(7, {TeamId("alpha"): 9}))
    assert ledger.decided == {7: {"alpha": 3}}


def test_usage_of_all_nodes_is_reported_once():
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            for name in list(site.nodes) * 4:
                assert (await site.call("/look/x", node=name)).status == 200

            def total():
                windows = site.cloud.windows()
                assert all(c == found[0] for found in windows.values() for c in found)
                return sum(found[0].get("alpha", 0) for found in windows.values())

            await poll_until(lambda: total() == 12, "all requests reported")
            assert len({call.holder for call in site.cloud.accepted}) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("lost", [False, True], ids=["answered", "answers lost"])
def test_next_holder_repeats_the_decided_counts(lost):
    # The holder reports a window, with or without a response, and is killed. The next
    # holder has other counts, since some requests arrived late. It must repeat the
    # decided counts, or the platform accepts two different reports of one window.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            await poll_until(lambda: site.cloud.windows(), "a first report")
            first = holder(site)
            site.cloud.lose_answers = lost
            for name in site.nodes:
                await site.call("/look/x", node=name)
            reported = len(site.cloud.windows())
            await poll_until(lambda: len(site.cloud.windows()) > reported + 1)
            site.cloud.lose_answers = False
            await site.kill_node(first)
            # The next holder has higher counts than were reported.
            successor = next(iter(site.nodes.values())).state
            for window in site.cloud.windows():
                successor.usage.windows[window] = {TeamId("alpha"): 99}
            windows = len(site.cloud.windows())
            await poll_until(lambda: len(site.cloud.windows()) > windows + 1)
            for counts in site.cloud.windows().values():
                assert all(found == counts[0] for found in counts)
            tokens = [call.token for call in site.cloud.accepted]
            assert tokens == sorted(tokens)
            by_token = {(c.token, c.holder) for c in site.cloud.accepted}
            assert len(by_token) == len({token for token, _ in by_token})

    run_scenario(scenario)


def test_rebalanced_group_has_one_holder():
    # The store moves the duty to another node by itself. The old holder notices this at
    # its next renewal; until then its calls carry the smaller token.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            await poll_until(lambda: site.cloud.windows())
            before = holder(site)
            site.store.rebalance(GROUP)
            await poll_until(
                lambda: holder(site) not in (None, before), "another holder"
            )
            windows = len(site.cloud.windows())
            await poll_until(lambda: len(site.cloud.windows()) > windows + 2)
            order = [call.holder for call in site.cloud.accepted]
            changes = sum(a != b for a, b in pairwise(order))
            assert changes <= 1
            for counts in site.cloud.windows().values():
                assert all(found == counts[0] for found in counts)

    run_scenario(scenario)


def test_missed_windows_are_reported_after_an_outage():
    # The store does not answer for several windows, and no node can act. After the
    # outage the missing windows must be reported.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            await poll_until(lambda: site.cloud.windows())
            for store_listener in site.store_listeners.values():
                store_listener.outage = Outage.SILENT
            await site.call("/look/x")
            await asyncio.sleep(3.5)
            # The outage must have lasted for several windows.
            during = set(site.cloud.windows())
            for store_listener in site.store_listeners.values():
                store_listener.outage = Outage.NONE
            await poll_until(
                lambda: sum(c[0].get("alpha", 0) for c in site.cloud.windows().values())
            )
            windows = sorted(site.cloud.windows())
            assert windows == list(range(windows[0], windows[-1] + 1))
            assert during < set(windows)
            assert site.store.records(LEDGER_TOPIC)

    run_scenario(scenario)


def scaling_configuration():
    scaling: dict[str, Any] = {"min": 1, "max": 3, "bootS": 1, "spotPrice": 0.2}
    scaling["zonePrices"] = {"north": 1.0, "south": 0.8}
    return {
        "services": [
            {"name": CALLS},
            {"name": STREAMS, "scaling": scaling},
        ]
    }


def test_reclaimable_endpoints_are_ordered_in_each_failure_domain():
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            site.configure(2, **scaling_configuration())
            await site.add_runner("r1", STREAMS)
            await site.ready(endpoints=1)

            def ordered():
                return {
                    call.value["zone"]
                    for call in site.cloud.accepted
                    if call.value.get("preemptible")
                }

            await poll_until(lambda: ordered() == {"north", "south"})

    run_scenario(scenario)


def test_reclaim_of_a_domain_does_not_cancel_endpoints_that_are_booting():
    # Reclaimable endpoints are ordered in two domains. Those in the north are still
    # booting when all those in the south are reclaimed. Orders for the north must not
    # drop to the number that serves at that moment, which is zero.
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            site.configure(2, **scaling_configuration())
            await site.add_runner("r1", STREAMS)
            await site.ready(endpoints=1)

            def desired(zone, reclaimable):
                return [
                    call.value["desired"]
                    for call in site.cloud.accepted
                    if call.value.get("zone") == zone
                    and call.value.get("preemptible", False) is reclaimable
                ]

            await poll_until(lambda: desired("north", True) and desired("south", True))
            site.runners["r2"] = site.runners["r1"]
            southern: dict[str, Any] = {"zone": "south", "preemptible": True}
            site.list_runner("r2", STREAMS, **southern)
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: "r2" in rows)
            site.list_runner("r1", STREAMS, state="draining")
            site.list_runner("r2", STREAMS, state="draining", **southern)
            # Orders for on-demand endpoints show that the reclaim was detected.
            await poll_until(lambda: max(desired("south", False), default=0) > 0)
            orders = desired("north", True)
            assert orders == sorted(orders)

    run_scenario(scenario)


def test_order_is_repeated_if_its_response_was_lost():
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            site.cloud.lose_answers = True
            site.configure(2, **scaling_configuration())
            await site.add_runner("r1", STREAMS)
            await site.ready(endpoints=1)

            def orders():
                return [
                    c for c in site.cloud.accepted if c.value.get("zone") == "south"
                ]

            await poll_until(lambda: len(orders()) >= 2)

    run_scenario(scenario)


def test_unanswered_append_is_repeated_with_the_same_counts(monkeypatch):
    # The holder decides a window. The store stores the record, but its response is
    # lost. The holder then receives higher counts for that window. If it sent the newer
    # counts with the same sequence number, the store would keep the first record and
    # repeat its first response, and the next holder would report different counts.
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            await site.add_runner("r1", CALLS)
            await site.ready("a", endpoints=1)
            await poll_until(lambda: site.cloud.windows(), "a first report")
            node = site.nodes["a"]
            append = node.duties._store.append
            lost: list[bytes] = []

            async def lose_first_answer(topic, partition, records, producer=None):
                end = await append(topic, partition, records, producer)
                if topic == LEDGER_TOPIC and records and not lost:
                    lost.extend(records)
                    value = orjson.loads(records[0])
                    node.state.usage.windows[value["window"]] = {TeamId("alpha"): 99}
                    raise PlatformUnavailable("append", None, "answer lost")
                return end

            monkeypatch.setattr(node.duties._store, "append", lose_first_answer)
            await poll_until(lambda: lost)
            window = orjson.loads(lost[0])["window"]
            await poll_until(lambda: max(site.cloud.windows()) > window + 1)
            records = [orjson.loads(r) for r in site.store.records(LEDGER_TOPIC) if r]
            kept = {record["window"]: record["counts"] for record in reversed(records)}
            for number, counts in site.cloud.windows().items():
                assert counts == [kept[number]] * len(counts)

    run_scenario(scenario)


def test_service_without_prices_of_its_zones_is_scaled_where_it_runs():
    # Guards against a configuration that fails the task of the duties.
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            await site.add_runner("r1", CALLS)
            await site.ready("a", endpoints=1)
            scaling = {"min": 2, "max": 3, "spotPrice": 0.2}
            site.configure(2, services=[{"name": CALLS, "scaling": scaling}])

            def orders():
                calls = [c for c in site.cloud.accepted if c.subject != "usage"]
                return [(call.value["service"], call.value["zone"]) for call in calls]

            await poll_until(orders, "endpoints ordered")
            assert set(orders()) == {(CALLS, "north")}
            assert not site.nodes["a"]._supervisor.failures

    run_scenario(scenario)
