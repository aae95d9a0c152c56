"""Slots of plain services granted over all nodes: shares, urgency and failures."""

from __future__ import annotations

import asyncio

import pytest

from poplarrelay.entry.scheduling.fair_queue import Waiting
from poplarrelay.entry.scheduling.slot_ledger import (
    GRANT_EXPIRY_S,
    Outcome,
    SlotLedger,
)
from poplarrelay.entry.slot_broker import MAX_CONFIRMED, REPLY_TIMEOUT_S
from poplarrelay.identifiers import EndpointId, RequestId, TeamId
from poplarrelay.testing.slot_network import Load, SlotNetwork
from poplarrelay.testing.virtual_time import run_virtual

#: Capacity of two endpoints of four slots at 0.1 s a request, per second.
CAPACITY = 80.0
#: Part of its demand that a team below its share, or an urgent route, must get.
SERVED_TARGET = 0.95


#: Seconds until nodes notice that another one is dead.
DETECTION_S = 1.5


def make_waiting(name, expires_at):
    return Waiting(RequestId(name), "h", TeamId("a"), 1, 1.0, 1.0, expires_at)


def play(network, loads, seconds=12.0, warm_up_s=2.0, faults=None):
    async def scenario():
        network.start()
        tasks = [asyncio.create_task(each) for each in (faults or [])]
        await network.play(loads, seconds, warm_up_s)
        await asyncio.gather(*tasks)

    run_virtual(scenario())
    return network


@pytest.mark.parametrize("nodes", [1, 2, 9, 83])
def test_teams_below_their_share_are_served_beside_a_flood(nodes):
    # One team sends five times the capacity, two others a tenth of it each.
    everywhere = tuple(range(nodes))
    loads = [
        Load("flood", 5 * CAPACITY, everywhere),
        Load("b", 0.1 * CAPACITY, everywhere),
        Load("c", 0.1 * CAPACITY, everywhere),
    ]
    network = play(SlotNetwork(nodes), loads)
    assert network.share_served("b") >= SERVED_TARGET
    assert network.share_served("c") >= SERVED_TARGET
    assert sum(network.served.values()) >= SERVED_TARGET * CAPACITY * 10.0
    assert network.most_running <= network.slots


def test_flood_at_one_node_does_not_take_the_slots_of_another():
    # Guards against slots that the node with the most requests takes again at once.
    loads = [Load("flood", 5 * CAPACITY, (0,)), Load("b", 0.1 * CAPACITY, (1,))]
    network = play(SlotNetwork(2), loads)
    assert network.share_served("b") >= SERVED_TARGET


def test_what_a_team_leaves_goes_to_the_others():
    loads = [Load("a", 3 * CAPACITY, (0, 1)), Load("b", 0.2 * CAPACITY, (0, 1))]
    network = play(SlotNetwork(2), loads)
    assert network.served["a"] >= SERVED_TARGET * 0.8 * CAPACITY * 10.0


def test_contending_teams_share_by_weight():
    loads = [
        Load("a", 3 * CAPACITY, (0, 1), weight=3.0),
        Load("b", 3 * CAPACITY, (0, 1), weight=1.0),
    ]
    network = play(SlotNetwork(2), loads)
    share = network.served["a"] / sum(network.served.values())
    assert share == pytest.approx(0.75, abs=0.05)


@pytest.mark.parametrize("nodes", [1, 3, 83])
def test_urgent_route_keeps_its_target_beside_a_patient_flood(nodes):
    # Guards against slots for patient requests while urgent ones wait at other nodes.
    everywhere = tuple(range(nodes))
    loads = [
        Load("a", 25.0, everywhere, priority=0),
        Load("patient", 300.0, everywhere, priority=5),
    ]
    network = play(SlotNetwork(nodes), loads)
    assert network.share_served("a") >= SERVED_TARGET
    assert sum(network.served.values()) >= SERVED_TARGET * CAPACITY * 10.0


def test_refusals_are_early():
    # Guards against requests that wait although no slot can come free in time.
    loads = [Load("flood", 5 * CAPACITY, (0, 1)), Load("b", 8.0, (0, 1))]
    network = play(SlotNetwork(2), loads)
    refused = sum(network.asked.values()) - sum(network.served.values())
    assert network.late_refusals <= 0.05 * refused


def test_killed_coordinator_costs_no_answers_and_doubles_no_slots_for_long():
    # Guards against grants that are lost, or made twice, after the loss of a node.
    network = SlotNetwork(4)

    async def kill():
        await asyncio.sleep(5.0)
        killed = network.coordinator("e0")
        senders = tuple(n for n in range(4) if f"h{n}" != killed)
        calls = network.play([Load("a", 40.0, senders)], 7.0, warm_up_s=0.0)
        await asyncio.gather(network.kill(killed, DETECTION_S), calls)

    play(network, [], seconds=12.0, faults=[kill()])
    decided = network.served["a"] + network.unanswered
    assert network.unanswered > 0
    assert decided >= SERVED_TARGET * network.asked["a"]
    assert network.most_running <= 2 * network.slots


def test_slots_of_a_killed_node_are_free_again():
    # Guards against slots that stay taken by a node that reports no ends.
    network = SlotNetwork(3, endpoints=1, service_s=1.0)

    async def scenario():
        network.start()
        load = Load("a", 200.0, (1,))
        calls = asyncio.create_task(network.play([load], 0.2, warm_up_s=0.0))
        await asyncio.sleep(0.3)
        network.down.add("h1")
        (coordinator,) = (b for b in network.brokers.values() if b._ledgers)
        (ledger,) = coordinator._ledgers.values()
        assert coordinator.own_host != "h1"
        assert ledger.taken == network.slots
        await asyncio.sleep(GRANT_EXPIRY_S + 0.5)
        coordinator.refresh()
        assert ledger.taken == 0
        await calls

    run_virtual(scenario())


def test_reply_that_arrives_with_the_timeout_counts():
    # Guards against refusals after a node stood still for longer than the timeout.
    network = SlotNetwork(2, endpoints=1)

    async def scenario():
        network.start()
        coordinator = network.coordinator("e0")
        (sender,) = network.brokers.keys() - {coordinator}
        broker = network.brokers[sender]
        (row,) = network.tables[sender].rows.values()
        network.down.add(coordinator)
        message = ["reply", *row.run, "r", "granted", 0.0, 1]
        loop = asyncio.get_running_loop()
        timeout_at = loop.time() + REPLY_TIMEOUT_S
        loop.call_at(timeout_at, broker.receive, coordinator, [message])
        call = asyncio.create_task(broker.acquire(row, make_waiting("r", 0.5)))
        reply = await call
        assert reply is not None and reply.granted

    run_virtual(scenario())


@pytest.mark.parametrize("slots", [1, 3 * MAX_CONFIRMED])
def test_slots_of_long_requests_stay_taken(slots):
    # Guards against slots that expire while their requests still run.
    network = SlotNetwork(3, endpoints=1, slots=slots, service_s=3 * GRANT_EXPIRY_S)
    play(network, [Load("a", 1.0 * slots, (0, 1), max_wait_s=6.0)], seconds=8.0)
    assert network.most_running == slots


def test_coordinator_that_does_not_list_the_endpoint_yet_doubles_no_slots():
    # Guards against grants that are forgotten while the coordinator's list is older.
    network = SlotNetwork(3, endpoints=1, service_s=2.0)

    async def scenario():
        network.start()
        coordinator = network.coordinator("e0")
        network.tables[coordinator].drop(EndpointId("e0"))
        senders = tuple(n for n in range(3) if f"h{n}" != coordinator)
        await network.play([Load("a", 20.0, senders)], 6.0, warm_up_s=0.0)
        assert network.most_running == network.slots

    run_virtual(scenario())


@pytest.mark.parametrize("loss", [0.02, 0.1])
def test_lost_messages_leave_no_slot_taken(loss):
    # Guards against slots that are never free again after the loss of a datagram.
    network = SlotNetwork(3, loss=loss)
    play(network, [Load("a", 30.0, (0, 1, 2))])
    taken = sum(
        ledger.taken
        for broker in network.brokers.values()
        for ledger in broker._ledgers.values()
    )
    answered = network.asked["a"] - network.unanswered
    assert network.served["a"] >= SERVED_TARGET * (1 - 2 * loss) * answered
    assert taken <= network.endpoints * network.slots * 0.5


def test_request_causes_few_messages_whatever_the_number_of_nodes():
    counts = []
    for nodes in (9, 83, 300):
        network = play(SlotNetwork(nodes), [Load("a", 30.0, tuple(range(nodes)))])
        counts.append(network.messages / sum(network.asked.values()))
    assert max(counts) <= 4.5


def test_cancelled_request_gives_up_its_place():
    # Guards against slots granted to callers that have left.
    network = SlotNetwork(2, endpoints=1, slots=1, service_s=5.0)

    async def scenario():
        network.start()
        holder = asyncio.create_task(network._request("h0", Load("a", 1, (0,)), True))
        await asyncio.sleep(0.1)
        load = Load("b", 1.0, (1,), max_wait_s=30.0)
        waiter = asyncio.create_task(network._request("h1", load, True))
        await asyncio.sleep(0.1)
        waiter.cancel()
        await asyncio.gather(waiter, return_exceptions=True)
        await asyncio.sleep(0.1)
        ledgers = [
            ledger
            for broker in network.brokers.values()
            for ledger in broker._ledgers.values()
        ]
        assert sum(ledger.load for ledger in ledgers) == 1
        holder.cancel()

    run_virtual(scenario())


@pytest.mark.parametrize(
    "message",
    [
        [],
        ["what", "e", None],
        ["join", "e", None],
        ["join", "e", None, 4, "r", "t", 1, -1.0, 1.0, 1.0],
        ["join", "e", None, 4, "r", "t", "x", 1.0, 1.0, 1.0],
        ["reply", "e", None, "r", "perhaps", 0.0, 1],
        ["held", "e", None],
    ],
)
def test_malformed_message_is_rejected(message):
    network = SlotNetwork(1)

    async def scenario():
        network.start()
        with pytest.raises((ValueError, TypeError)):
            network.brokers["h0"].receive("h9", [message])

    run_virtual(scenario())


def test_rejection_is_regretted_if_a_slot_stays_free_in_time():
    # Guards against forecasts that refuse requests which would have been served.
    ledger = SlotLedger(1)
    for number, hold_s in enumerate((10.0, 0.1)):
        held = make_waiting(f"held-{number}", expires_at=100.0)
        assert ledger.join(held, float(number)).outcome is Outcome.GRANTED
        if number == 0:
            ledger.end(held.request, hold_s)
            ledger.grant_free(hold_s)
    rejected = make_waiting("rejected", expires_at=20.0)
    assert ledger.join(rejected, 10.2).outcome is Outcome.REJECTED
    ledger.end(RequestId("held-1"), 10.3)
    ledger.grant_free(10.3)
    assert ledger.regretted == 1


@pytest.mark.parametrize(
    ("room", "survives"), [(8, 0.0), (8, 3.0), (5, 1.0), (5, 3.0), (5, 6.0)]
)
@pytest.mark.parametrize(
    ("nodes", "kill"), [(1, False), (9, False), (9, True), (83, False), (83, True)]
)
def test_brittle_endpoints_survive_their_rejections(nodes, kill, room, survives):
    # Guards against nodes that together overload endpoints, also with little room.
    network = SlotNetwork(nodes, slots=8, room=room, survives=survives, loss=0.025)

    async def kill_coordinator():
        await asyncio.sleep(5.0)
        await network.kill(network.coordinator("e0"), DETECTION_S)

    load = Load("flood", 4 * CAPACITY, tuple(range(nodes)))
    play(network, [load], faults=[kill_coordinator()] if kill else [])
    assert network.count_falls() <= 2 + network.endpoints / 10
    if not kill:
        # Two endpoints run `room` requests of 0.1 s each, for 10 s.
        assert sum(network.served.values()) >= 0.5 * 2 * room / 0.1 * 10.0


@pytest.mark.parametrize("nodes", [1, 9, 83])
def test_refusals_of_brittle_endpoints_are_early(nodes):
    # Guards against requests that wait for endpoints which take less than their slots.
    network = SlotNetwork(nodes, slots=8, room=5, survives=6.0)
    play(network, [Load("flood", 4 * CAPACITY, tuple(range(nodes)))])
    refused = sum(network.asked.values()) - sum(network.served.values())
    assert network.late_refusals <= 0.05 * refused
