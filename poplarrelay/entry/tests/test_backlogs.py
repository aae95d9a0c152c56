"""Queued prompts at engines: their coordinators, and the first events of callers."""

import asyncio
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.backlog_client import (
    UNANSWERED_PAUSE_S,
    BacklogClient,
)
from poplarrelay.entry.backlogs import (
    DOWN_S,
    EVICTION_TOKENS,
    PROMPT_EXPIRY_S,
    Backlog,
    BacklogTable,
    BacklogView,
    Placement,
    PrefillSpeed,
    PromptEnd,
)
from poplarrelay.entry.requests import PromptPart
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.entry.scheduling.occupancy import Load
from poplarrelay.identifiers import EndpointId, NodeId, RequestId
from poplarrelay.testing.prefill_simulation import PrefillSimulation

E = EndpointId("e1")
TARGET_S = 0.5


def make_placement(number, tokens, parts=(), length=0):
    return Placement(E, RequestId(f"r{number}"), tokens, parts, length)


def share_in_time(simulation):
    served = [
        p for p in simulation.simulated if p.wait_s is not None and p.wait_s <= TARGET_S
    ]
    return len(served) / len(simulation.simulated)


@pytest.mark.parametrize("seed", range(4))
def test_long_prompts_of_other_nodes_do_not_delay_callers(seed):
    # Callers of six nodes use more than half of the prefill capacity of five engines,
    # and single prompts take an engine half a second. Nodes receive each other's loads
    # after 0.4 s, so they queue short prompts behind long ones of other nodes: 88 to 90
    # of 100 callers get their first event in time. With requests to the coordinators it
    # is 97. The target is 95.
    alone, asking = (
        PrefillSimulation(6, (60_000.0,) * 5, requests_backlogs=asks, seed=seed)
        for asks in (False, True)
    )
    for simulation in (alone, asking):
        simulation.run(60.0, per_s=14.0, tokens=4_000, shared=10_000)
    assert share_in_time(alone) < 0.95 <= share_in_time(asking)


def test_queued_prompts_count_until_their_first_event():
    # Guards against queues that still count prompts after their end.
    table = BacklogTable()
    table.add_prompt("a", make_placement(1, 5_000), 0.0)
    table.add_prompt("b", make_placement(2, 3_000), 0.1)
    assert table.view("c", E, (), 0.1).tokens == 8_000
    assert table.view("a", E, (), 0.1).tokens == 3_000
    table.remove_prompt(E, RequestId("r1"), PromptEnd.BEGAN, 0.2)
    assert table.view("c", E, (), 0.2).tokens == 3_000
    table.remove_prompt(E, RequestId("r2"), PromptEnd.NOT_BEGUN, 0.2)
    table.remove_prompt(E, RequestId("r2"), PromptEnd.BEGAN, 0.2)
    assert table.view("c", E, (), 0.2).tokens == 0


def test_prompt_of_a_killed_node_is_removed_from_the_queue():
    # A killed node does not report that its prompt has begun. If the prompt stayed
    # queued, the engine would seem busy forever and get no more prompts.
    table = BacklogTable()
    table.add_prompt("a", make_placement(1, 50_000), 0.0)
    table.forget([E], PROMPT_EXPIRY_S / 2)
    assert table.view("c", E, (), 1.0).tokens == 50_000
    table.forget([E], PROMPT_EXPIRY_S + 0.1)
    assert table.view("c", E, (), PROMPT_EXPIRY_S + 0.1).tokens == 0


def test_prompts_at_an_engine_that_is_not_listed_yet_are_counted():
    # Guards against a coordinator whose list is older than that of the sending node.
    table = BacklogTable()
    table.add_prompt("a", make_placement(1, 5_000), 0.0)
    table.report_requests("a", {E: 1}, 0.0)
    table.forget([], 0.4)
    view = table.view("b", E, (), 0.4)
    assert view.tokens == 5_000
    assert view.load == Load(1, 0.0)
    table.forget([], PROMPT_EXPIRY_S + 0.1)
    assert table.backlogs == {}


def test_engine_that_one_node_finds_gone_is_avoided_by_all_nodes():
    # A crashed engine has no queued prompts, so every node would choose it until the
    # list of endpoints shows the crash. The request of one node finds it gone.
    table = BacklogTable()
    table.add_prompt("a", make_placement(1, 5_000), 0.0)
    table.remove_prompt(E, RequestId("r1"), PromptEnd.ENGINE_GONE, 0.1)
    assert table.view("b", E, (), 0.2).down
    # After DOWN_S, a node tries the engine again and reports that it works.
    assert not table.view("b", E, (), 0.1 + DOWN_S).down
    table.add_prompt("b", make_placement(2, 5_000), 2.0)
    table.remove_prompt(E, RequestId("r2"), PromptEnd.BEGAN, 2.1)
    assert not table.view("c", E, (), 2.1).down


def test_prefill_speed_is_measured_with_queued_prompts():
    # The engine processes 61,800 tokens per second. Prompts arrive while others are
    # queued, so the time to a first event includes the prefill of those before it.
    table = BacklogTable()
    now = 0.0
    for number in range(12):
        table.add_prompt("a", make_placement(2 * number, 6_000), now)
        table.add_prompt("b", make_placement(2 * number + 1, 12_000), now)
        table.remove_prompt(
            E, RequestId(f"r{2 * number}"), PromptEnd.BEGAN, now + 6_000 / 61_800
        )
        now += 18_000 / 61_800
        table.remove_prompt(E, RequestId(f"r{2 * number + 1}"), PromptEnd.BEGAN, now)
    speed = table.view("c", E, (), now).speed
    assert speed == pytest.approx(61_800, rel=0.1)


@given(st.lists(st.floats(1e-9, 1e9), max_size=4))
def test_outliers_do_not_change_the_prefill_speed(outliers):
    # Guards against speeds that are wrong after a pause of the node's process.
    speed = PrefillSpeed()
    for _ in range(7):
        speed.note(10_000, 0.2)
    for took_s in outliers:
        speed.note(10_000, took_s)
    assert speed.tokens_per_s == 50_000


def test_short_prompts_give_no_prefill_speed():
    # The time to their first event mostly depends on the network and the batch.
    speed = PrefillSpeed()
    for _ in range(20):
        speed.note(40, 0.02)
    assert speed.tokens_per_s == 0.0


def test_parts_count_as_cached_until_later_prompts_evict_them():
    table = BacklogTable()
    prefix = (PromptPart("a", 2_000), PromptPart("b", 3_000), PromptPart("own", 10))
    table.add_prompt("n", make_placement(1, 5_010, ("a", "b"), 5_010), 0.0)
    view = table.view("n", E, ("a", "b"), 0.0)
    assert view.cached_tokens_at(prefix) == 5_000
    assert table.view("n", E, ("x", "b"), 0.0).cached_tokens_at(prefix) == 0
    table.add_prompt("n", make_placement(2, 10, ("c",), EVICTION_TOKENS + 1), 0.0)
    assert table.view("n", E, ("a", "b"), 0.0).cached_tokens_at(prefix) == 0


def test_lost_coordinator_moves_only_its_own_engines():
    nodes = {NodeId(f"n{i}"): f"10.0.0.{i}" for i in range(9)}
    engines = [EndpointId(f"e{i}") for i in range(200)]
    before = {e: choose_coordinator(e, nodes) for e in engines}
    assert len(set(before.values())) == 9
    left = {node: host for node, host in nodes.items() if node != "n3"}
    for engine in engines:
        if before[engine] != "n3":
            assert choose_coordinator(engine, left) == before[engine]


class Network:
    """Carries messages between backlog clients in one event loop."""

    def __init__(self):
        self.clients = {}
        self.down = set()
        self.sent = []

    def sender_for(self, sender):
        network = self

        class Sender:
            def send_backlog(self, host, message, counts):
                network.sent.append((sender, host, message[0]))
                self.deliver(host, "receive", message, counts)

            def send_request_counts(self, host, counts):
                network.sent.append((sender, host, "counts"))
                self.deliver(host, "receive_counts", counts)

            def deliver(self, host, method, *arguments):
                if host not in network.down and sender not in network.down:
                    receive = getattr(network.clients[host], method)
                    asyncio.get_running_loop().call_soon(receive, sender, *arguments)

        return Sender()


def make_backlog_clients(count):
    network = Network()
    nodes = {NodeId(f"n{i}"): f"h{i}" for i in range(count)}
    clock = itertools.count()
    for host in nodes.values():
        network.clients[host] = BacklogClient(
            host, lambda: nodes, network.sender_for(host), lambda: next(clock) * 1e-4
        )
    return network


def test_other_nodes_receive_the_prompts_that_one_node_places():
    async def scenario():
        network = make_backlog_clients(3)
        first, second, third = network.clients.values()
        engines = [EndpointId(f"e{i}") for i in range(6)]
        for engine in engines:
            first.add_prompt(Placement(engine, RequestId(f"r-{engine}"), 9_000, ("p",)))
        await asyncio.sleep(0.01)
        views = await second.request_backlogs(engines, ("p",))
        assert [views[e].tokens for e in engines] == [9_000] * 6
        assert [views[e].cached_parts for e in engines] == [1] * 6
        for engine in engines:
            first.remove_prompt(engine, RequestId(f"r-{engine}"), PromptEnd.BEGAN)
        await asyncio.sleep(0.01)
        views = await third.request_backlogs(engines, ("p",))
        assert [views[e].tokens for e in engines] == [0] * 6

    asyncio.run(scenario())


@pytest.mark.parametrize("end", [PromptEnd.NOT_BEGUN, PromptEnd.ENGINE_GONE])
def test_prompt_that_has_not_begun_leaves_nothing_cached(end):
    # Guards against a node without a path that makes engines look warm to all nodes.
    backlog = Backlog()
    for request, parts in (("q1", ("a",)), ("q2", ("a", "b")), ("q3", ("b", "c"))):
        placement = Placement(EndpointId("e"), RequestId(request), 9_000, parts, 9_000)
        backlog.add_prompt("n", placement, 1.0)
    backlog.remove_prompt(RequestId("q1"), PromptEnd.BEGAN, 1.1)
    backlog.remove_prompt(RequestId("q2"), end, 1.2)
    assert [backlog.count_cached(part) for part in "abc"] == [1, 1, 1]
    backlog.remove_prompt(RequestId("q3"), end, 1.3)
    assert [backlog.count_cached(part) for part in "abc"] == [1, 0, 0]


def test_coordinator_that_does_not_answer_delays_one_request():
    # A coordinator is unreachable, and the other nodes do not know it yet. The first
    # request waits some hundredths of a second for its reply and then uses the replies
    # of the other coordinators. Later requests do not ask it.
    async def scenario():
        network = make_backlog_clients(3)
        requester = network.clients["h0"]
        engines = [EndpointId(f"e{i}") for i in range(12)]
        network.down.add("h2")
        views = await requester.request_backlogs(engines, ())
        missing = [e for e in engines if e not in views]
        assert missing
        assert len(missing) < 12
        network.sent.clear()
        await requester.request_backlogs(engines, ())
        assert all(host != "h2" for _, host, _ in network.sent)
        network.down.clear()
        requester.monotonic = lambda: UNANSWERED_PAUSE_S + 1.0
        assert len(await requester.request_backlogs(engines, ())) == 12

    asyncio.run(scenario())


def make_counting_clients(count):
    """Return clients whose nodes run the numbers of requests in `network.running`."""
    network = make_backlog_clients(count)
    network.running = {}
    for host, client in network.clients.items():
        client.count_requests = lambda engine, host=host: network.running.get(
            (host, engine), 0
        )
    return network


def test_requests_count_until_their_end():
    # Guards against nodes that fill an engine together as each knows only its own.
    async def scenario():
        network = make_counting_clients(3)
        first, second, _ = network.clients.values()
        engines = [EndpointId(f"e{i}") for i in range(6)]
        for engine in engines:
            network.running["h0", engine] = 3
            first.add_prompt(Placement(engine, RequestId(f"r-{engine}"), 9_000))
            first.remove_prompt(engine, RequestId(f"r-{engine}"), PromptEnd.BEGAN)
        await asyncio.sleep(0.01)
        views = await second.request_backlogs(engines, ())
        assert [views[e].load.requests for e in engines] == [3] * 6
        views = await first.request_backlogs(engines, ())
        assert [views[e].load.requests for e in engines] == [0] * 6
        for engine in engines:
            network.running["h0", engine] = 2
            first.report_end(engine, RequestId(f"r-{engine}"))
        await asyncio.sleep(0.01)
        views = await second.request_backlogs(engines, ())
        assert [views[e].load.requests for e in engines] == [2] * 6

    asyncio.run(scenario())


def test_new_coordinator_gets_what_the_lost_one_had_counted():
    # Guards against engines that look empty after their coordinator was killed.
    async def scenario():
        network = make_counting_clients(4)
        engines = [EndpointId(f"e{i}") for i in range(30)]
        for host, client in network.clients.items():
            client.refresh(engines)
            for engine in engines:
                network.running[host, engine] = 1
                client.add_prompt(Placement(engine, RequestId(f"{host}-{engine}"), 100))
        await asyncio.sleep(0.01)
        network.down.add("h3")
        left = {NodeId(f"n{i}"): f"h{i}" for i in range(3)}
        for host in ("h0", "h1", "h2"):
            network.clients[host].nodes = lambda: left
            network.clients[host].check_coordinators()
        await asyncio.sleep(0.01)
        views = await network.clients["h0"].request_backlogs(engines, ())
        assert len(views) == len(engines)
        # The prompts of the killed node are gone where it was the coordinator.
        assert {view.tokens for view in views.values()} <= {200, 300}
        assert {view.load.requests for view in views.values()} <= {2, 3}
        assert network.clients["h0"].statistics.coordinators_changed > 0

    asyncio.run(scenario())


def test_lost_report_is_repaired_by_the_next_confirmation():
    # Guards against slots that stay taken or free after the loss of a datagram.
    async def scenario():
        network = make_counting_clients(3)
        first, second, _ = network.clients.values()
        engines = [EndpointId(f"e{i}") for i in range(6)]
        network.down.add("h0")
        for engine in engines:
            network.running["h0", engine] = 4
            first.add_prompt(Placement(engine, RequestId(f"r-{engine}"), 9_000))
        await asyncio.sleep(0.01)
        network.down.clear()
        first.refresh(engines)
        await asyncio.sleep(0.01)
        views = await second.request_backlogs(engines, ())
        assert [views[e].load.requests for e in engines] == [4] * 6

    asyncio.run(scenario())


def test_messages_of_versions_without_counts_are_understood():
    async def scenario():
        network = make_backlog_clients(2)
        client = network.clients["h0"]
        client.receive("h1", ["placed", *make_placement(1, 500).encode()])
        assert client.table.view("h0", E, (), 0.0).tokens == 500
        assert client.table.view("h0", E, (), 0.0).load.requests == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("counts", [[], {"e": "many"}, {"e": None}, 7])
def test_malformed_counts_are_rejected(counts):
    client = make_backlog_clients(1).clients["h0"]
    with pytest.raises((ValueError, TypeError, AttributeError)):
        client.receive_counts("h9", counts)
    assert client.table.backlogs == {}


@pytest.mark.parametrize(
    "message",
    [
        [],
        ["what", 1],
        ["ask", 1],
        ["told", "x", []],
        ["told", 1, [["e", "y", 0, 0, False]]],
        ["placed", "e", "r"],
        ["out", "e"],
        ["out", "e", "r", "what"],
    ],
)
def test_malformed_message_is_rejected(message):
    backlog_client = make_backlog_clients(1).clients["h0"]
    with pytest.raises((ValueError, TypeError)):
        backlog_client.receive("h9", message)
    assert backlog_client.table.backlogs == {}


def test_decoded_views_and_placements_equal_the_encoded_ones():
    view = BacklogView(E, 12, 3.5, 1, down=True)
    assert BacklogView.decode(view.encode()) == view
    placement = make_placement(1, 12, ("a", "b"), 40)
    assert Placement.decode(placement.encode()) == placement
