"""Requests at a node that stops: served, refused as not run, or excused."""

import asyncio
import socket
import time
from collections import Counter
from random import Random
from time import monotonic

import pytest

from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.shutdown import ShutdownSchedule
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)
from poplarrelay.testing.links import PathFault
from poplarrelay.testing.soak.callers import Caller, route_timeouts_s
from poplarrelay.testing.soak.ledger import Ending, SentRequest
from poplarrelay.testing.soak.lost import NodeStop, check_lost
from poplarrelay.testing.soak.stops import routes_with

#: Seconds between two requests of a load.
GAP_S = 0.15
#: Seconds after which a node without paths uses its peers.
CUT_SETTLED_S = 3.0


class Stop:
    """A node that stops, and callers that use it until it has ended."""

    def __init__(self, site, grace_s, timeouts_s):
        self.site = site
        self.grace_s = grace_s
        self.timeouts_s = {**route_timeouts_s(), **timeouts_s}
        self.requests: list[SentRequest] = []
        self.stop = NodeStop("a", monotonic(), grace_s=grace_s)

    async def configure(self):
        self.site.configure(2, routes=routes_with(self.timeouts_s))
        state = self.site.nodes["a"].state
        await poll_until(lambda: state.me.configuration == 2)

    def caller(self, seed=0):
        rng = Random(seed)
        rng.random = lambda: 0.99  # type: ignore[method-assign]
        return Caller(
            self.site, self.requests, lambda node, at: False, rng, self.timeouts_s
        )

    async def send(self, kind, deadline_s, seed=0, caller=None, **more):
        caller = caller or self.caller(seed)
        return await caller.send_request(
            "a", kind, team="alpha", deadline_s=deadline_s, **more
        )

    async def send_steadily(self, kind, duration_s):
        """Send requests for some seconds; return their number once all have ended."""
        tasks = []
        for number in range(int(duration_s / GAP_S)):
            request = self.send(kind, self.timeouts_s[kind], number)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(GAP_S)
        return len(await asyncio.gather(*tasks))

    def signal(self):
        self.stop.at = monotonic()
        self.site.nodes["a"].stop()

    async def use_until_ended(self, kind, deadline_s):
        """Signal the node, and send requests of one kind until it has ended."""
        await self.site.ready(endpoints=1)
        await self.configure()
        self.signal()
        ended = asyncio.create_task(self.site.wait_until_ended("a"))

        tasks: list[asyncio.Task[SentRequest]] = []
        while not ended.done():
            request = self.send(kind, deadline_s, seed=len(tasks))
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
        self.stop.ended_at = monotonic()

    def lost(self):
        """Return the requests that were lost; a node logs each one that it has read."""
        runners = list(self.site.runners.values())
        read = [sent.request_id for sent in self.requests]
        return check_lost(self.requests, runners, read, [self.stop], [])

    def statuses(self):
        return Counter(sent.status for sent in self.requests)


@pytest.mark.parametrize(
    ("service", "kind", "grace_s", "timeout_s"),
    [
        (CALLS, "pay", 5.0, 2.0),
        (CALLS, "book", 5.0, 1.0),
        (CALLS, "pay", 6.0, 4.0),
        (STREAMS, "draft", 5.0, 2.0),
        (STREAMS, "brief", 8.0, 6.0),
    ],
)
def test_request_that_a_stopping_node_accepts_is_answered(
    service, kind, grace_s, timeout_s
):
    # Guards against requests that are accepted late in the grace time and then cut.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=grace_s) as site:
            work_s = 0.8 * timeout_s
            pause_s = work_s / 5 if service == STREAMS else work_s
            for name in "rst":
                await site.add_runner(name, service, pause_s=pause_s)
            stop = Stop(site, grace_s, {kind: timeout_s})
            await stop.use_until_ended(kind, timeout_s)
            assert stop.lost() == []
            served_s = min(3.0, grace_s * 5 / 6 - work_s)
            assert stop.statuses()[200] >= 0.9 * served_s / GAP_S
            assert stop.stop.ended_at < stop.stop.at + grace_s

    run_scenario(scenario)


def test_request_that_waits_for_a_slot_is_refused_as_not_run_in_time():
    # Guards against requests in the queue of a stopping node that are cut or sent on.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=5.0) as site:
            await site.add_runner("r", CALLS, pause_s=1.9)
            site.list_runner("r", CALLS, slots=1)
            stop = Stop(site, 5.0, {"book": 30.0})
            await site.ready(endpoints=1)
            await stop.configure()
            tasks = [
                asyncio.create_task(stop.send("book", 30.0, number))
                for number in range(12)
            ]
            await poll_until(lambda: site.runners["r"].active)
            stop.signal()
            sent = await asyncio.gather(*tasks)
            ran = {received.attempt for received in site.runners["r"].ran}
            waiting = [each for each in sent if each.request_id not in ran]
            assert stop.lost() == []
            assert {each.status for each in waiting} == {503}
            limit_s = 3.0 + 2 * 1.9
            assert all(each.ended_at < stop.stop.at + limit_s for each in waiting)
            await site.wait_until_ended("a")

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("kind", "service", "events", "status"),
    [("book", CALLS, 0, 502), ("look", CALLS, 0, 502), ("brief", STREAMS, 1, 502)],
)
def test_request_in_progress_at_the_close_gets_a_final_answer(
    kind, service, events, status
):
    # Guards against connections that close without an answer to a request that runs.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=4.0) as site:
            await site.add_runner("r", service, pause_s=20.0, events=events)
            stop = Stop(site, 4.0, {kind: 30.0})
            await site.ready(endpoints=1)
            await stop.configure()
            task = asyncio.create_task(stop.send(kind, 30.0))
            await poll_until(lambda: site.runners["r"].received)
            stop.signal()
            sent = await task
            assert (sent.ending, sent.status) == (Ending.ANSWERED, status)
            assert b"may have run" in sent.body
            assert sent.ended_at >= stop.stop.at + 4.0 * 5 / 6 - 0.01
            await site.wait_until_ended("a")
            assert monotonic() < stop.stop.at + 4.0

    run_scenario(scenario)


def test_caller_that_reads_slowly_gets_its_whole_answer_from_a_stopping_node():
    # Guards against written answers that are reset while their callers still read.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=6.0) as site:
            await site.add_runner("r", CALLS, min_body_bytes=7_000_000)
            await site.ready(endpoints=1)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            sock.connect(site.address("a"))
            reader, writer = await asyncio.open_connection(sock=sock, limit=65_536)
            lines = [b"%s: %s" % header for header in site.headers()]
            head = [b"GET /look/x HTTP/1.1", *lines]
            writer.write(b"\r\n".join([*head, b"", b""]))
            await reader.readuntil(b"\r\n\r\n")
            (connection,) = site.nodes["a"]._listeners["callers"].connections
            await poll_until(lambda: connection.idle)
            site.nodes["a"].stop()
            await asyncio.sleep(1.5)
            received = 0
            while part := await reader.read(100_000):
                received += len(part)
                await asyncio.sleep(0.06)
            assert received == 7_000_000
            writer.close()
            await site.wait_until_ended("a")

    run_scenario(scenario)


def test_stream_that_a_stop_breaks_off_is_counted_as_cut_by_the_stop():
    # Guards against a cut by the node that its log blames on the endpoint.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=3.0) as site:
            await site.add_runner("r", STREAMS, pause_s=0.5, events=100)
            stop = Stop(site, 3.0, {"brief": 30.0})
            await site.ready(endpoints=1)
            await stop.configure()
            reasons: list[CutReason] = []
            site.nodes["a"]._listeners["callers"].on_cut = reasons.append
            task = asyncio.create_task(stop.send("brief", 30.0))
            await poll_until(lambda: site.runners["r"].event_counts)
            stop.signal()
            assert (await task).ending is Ending.CUT
            await site.wait_until_ended("a")
            assert reasons == [CutReason.STOPPED]

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["book", "brief"])
def test_stop_of_a_carrier_loses_no_request_of_another_node(kind):
    # Guards against requests of a node without paths that a stopping peer carries.
    async def scenario():
        async with run_entry_site(nodes=3, use_links=True, stop_grace_s=4.0) as site:
            service = STREAMS if kind == "brief" else CALLS
            for name in "rst":
                await site.add_runner(name, service, pause_s=0.15)
            for name in "abc":
                await site.ready(name, endpoints=3)
            stop = Stop(site, 4.0, {})
            site.set_paths("a", PathFault.SILENT)
            await asyncio.sleep(CUT_SETTLED_S)
            load = asyncio.create_task(stop.send_steadily(kind, 8.0))
            await asyncio.sleep(1.5)
            carriers = [n for n in "bc" if site.nodes[n]._tunnels.busy]
            site.nodes[carriers[0]].stop()
            sent = await load
            assert stop.lost() == []
            assert stop.statuses()[200] >= 0.95 * sent, stop.statuses()

    run_scenario(scenario)


def test_times_of_a_stop_count_from_the_earliest_time_of_the_signal():
    # Guards against a busy node that handles the signal late, and counts from then.
    async def scenario():
        async with run_entry_site(nodes=1, stop_grace_s=5.0) as site:
            await site.ready()
            sent_at = monotonic()
            time.sleep(1.2)
            node = site.nodes["a"]
            node.stop()
            schedule = node.state.shutdown
            assert schedule is not None
            assert sent_at - 0.5 < schedule.sent_after < sent_at
            assert schedule.handled_at >= sent_at + 1.2
            assert schedule.close_at < sent_at + 5.0 * 11 / 12
            assert not schedule.accepts(sent_at + 60.0, sent_at + 3.1)

    run_scenario(scenario)


@pytest.mark.parametrize("grace_s", [0.5, 1, 3, 5, 8, 30])
@pytest.mark.parametrize("late_s", [0.0, 0.1, 1.0, 7.0])
def test_schedule_keeps_the_relations_between_its_times(grace_s, late_s):
    schedule = ShutdownSchedule(100.0 - late_s, 100.0, grace_s)
    latest = schedule.sent_after + grace_s
    assert schedule.close_at <= schedule.delivered_at < latest
    if late_s <= grace_s / 12:
        assert schedule.close_at >= 100.0 + grace_s * 5 / 6 - 1e-9
    for now in (100.0, 101.0, 103.0, schedule.close_at):
        for deadline in (now, now + 0.5, now + 10.0):
            if schedule.accepts(deadline, now) and deadline > schedule.close_at:
                assert now <= schedule.sent_after + 3.0


def test_example_routes_have_the_time_outs_of_the_example_configuration():
    assert routes_with(route_timeouts_s()) == entry_configuration()["routes"]
