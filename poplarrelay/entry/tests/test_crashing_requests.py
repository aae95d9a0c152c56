"""Requests that crash every endpoint that runs them."""

from __future__ import annotations

import asyncio
from itertools import cycle
from time import monotonic

import orjson
import pytest

from poplarrelay.entry.http.connection import header_value
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.runner import Fault, ReceivedRequest
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    EntrySite,
    poll_until,
    run_entry_site,
    run_scenario,
)

CRASHING_BODY = b"a body that no endpoint survives"
#: Seconds after the third crash within which all nodes must block the request.
BLOCKING_DEADLINE_S = 3.0
#: Attempts that can still reach endpoints after that.
MAX_LATE_ATTEMPTS = 3
ENDPOINTS = 8


def arrivals(site: EntrySite) -> list[ReceivedRequest]:
    """Return the crashing requests that endpoints have begun to run, by time."""
    found = [
        request
        for runner in site.runners.values()
        for request in runner.ran
        if request.body == CRASHING_BODY
    ]
    return sorted(found, key=lambda request: request.at)


async def send_repeatedly(
    site: EntrySite, path: str, for_s: float, **more: str
) -> None:
    """Send the crashing request four times a second, to one node after the other."""
    end = monotonic() + for_s
    for node in cycle([*site.nodes, *site.processes]):
        if monotonic() > end:
            return
        sent = asyncio.create_task(site.call(path, node, CRASHING_BODY, **more))
        await asyncio.sleep(0.25)
        if sent.done() and sent.exception() is not None:
            # The node closes a stream whose endpoint has crashed.
            assert isinstance(sent.exception(), ExchangeFailed)


async def add_crashing_endpoints(site: EntrySite, service: str) -> None:
    """Start endpoints that take 0.8 s to restart after a crash."""
    for number in range(ENDPOINTS):
        await site.add_runner(f"r{number}", service)
        site.crash_on(f"r{number}", service, CRASHING_BODY, 0.8)
    for name in site.nodes:
        await site.ready(name, endpoints=ENDPOINTS)


@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/look/x", CALLS),
        ("/book/x", CALLS),
        ("/draft/x", STREAMS),
        ("/brief/x", STREAMS),
    ],
)
def test_request_that_crashes_endpoints_is_no_longer_relayed(path, service):
    # Guards against one request that crashes endpoint after endpoint.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await add_crashing_endpoints(site, service)
            await send_repeatedly(site, path, for_s=8.0)
            times = [request.at for request in arrivals(site)]
            assert len(times) >= 3
            late = [at for at in times if at > times[2] + BLOCKING_DEADLINE_S]
            assert len(late) <= MAX_LATE_ATTEMPTS

    run_scenario(scenario)


def test_node_that_starts_later_blocks_the_requests_that_crash_endpoints():
    # Guards against a new node that relays requests blocked at other nodes.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await add_crashing_endpoints(site, CALLS)
            await send_repeatedly(site, "/look/x", for_s=4.0)
            seed = site.nodes["a"].state.settings.listeners.control
            await site.add_node("later", seed)
            await site.ready("later", endpoints=1)
            await asyncio.sleep(BLOCKING_DEADLINE_S)
            known = len(arrivals(site))
            assert known >= 3
            for _ in range(4):
                await site.call("/look/x", "later", CRASHING_BODY)
            assert len(arrivals(site)) == known

    run_scenario(scenario)


def test_other_requests_of_the_caller_are_served_while_one_is_refused():
    # Guards against blocking other requests that run at the same endpoints.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await add_crashing_endpoints(site, CALLS)
            sending = asyncio.create_task(send_repeatedly(site, "/look/x", for_s=5.0))
            end = monotonic() + 5.0
            while monotonic() < end:
                await asyncio.gather(
                    *(site.call("/look/x", node) for node in site.nodes)
                )
                await asyncio.sleep(0.05)
            await sending
            await poll_until(lambda: len(arrivals(site)) >= 3)
            for node in site.nodes:
                assert (await site.call("/look/x", node)).status == 200

    run_scenario(scenario)


def test_calls_that_all_endpoints_run_are_served_after_all_have_crashed():
    # Guards against blocking a harmless request that is in flight at each endpoint.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            for number in range(4):
                await site.add_runner(f"r{number}", CALLS, pause_s=0.2)
            for name in site.nodes:
                await site.ready(name, endpoints=4)
            for _ in range(3):
                calls = [
                    asyncio.create_task(site.call("/look/x", node))
                    for node in site.nodes
                    for _ in range(8)
                ]
                await asyncio.sleep(0.3)
                calls += [
                    asyncio.create_task(site.call("/look/x", node))
                    for node in site.nodes
                    for _ in range(4)
                ]
                await asyncio.sleep(0.1)
                for name in list(site.runners):
                    await site.restart_runner(name, CALLS)
                await asyncio.gather(*calls)
                await asyncio.sleep(1.0)
            assert sum(node.state.crashes.noted for node in site.nodes.values()) > 0
            for node in site.nodes:
                assert (await site.call("/look/x", node)).status == 200

    run_scenario(scenario)


def test_failures_other_than_crashes_are_not_counted():
    # Guards against blocking requests for endpoints that are silent, full or gone.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            for fault in (Fault.HANG, Fault.SHED, Fault.ERROR, Fault.INVALID_BYTES):
                runner.faults.append(fault)
                await site.call("/pay/x", body=CRASHING_BODY)
            runner.faults.append(Fault.HANG)
            connection = await site.open("/look/x", body=CRASHING_BODY)
            await poll_until(lambda: not runner.faults)
            connection.abort()
            runner.endpoint = EndpointId("r9")
            assert (await site.call("/book/x", body=CRASHING_BODY)).status == 503
            runner.stop()
            assert (await site.call("/book/x", body=CRASHING_BODY)).status == 503
            assert site.nodes["a"].state.crashes.noted == 0

    run_scenario(scenario)


def test_stream_cut_off_by_a_leaving_endpoint_is_not_counted_as_a_crash():
    # Guards against blocking streams that a reclaim cuts off.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", STREAMS, events=50, pause_s=0.05)
            await site.ready(endpoints=1)
            call = asyncio.create_task(site.call("/brief/x"))
            await poll_until(lambda: runner.busy)
            site.list_runner("r1", STREAMS, state="draining")
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: rows[EndpointId("r1")].leaving)
            runner.stop()
            with pytest.raises(ExchangeFailed):
                await call
            assert site.nodes["a"].state.crashes.noted == 0

    run_scenario(scenario)


def test_refusal_shows_that_the_request_has_not_run_and_when_to_retry():
    # Guards against a refusal that tells the caller to retry while it is blocked.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await add_crashing_endpoints(site, CALLS)
            await send_repeatedly(site, "/book/x", for_s=3.0)
            known = len(arrivals(site))
            answer = await site.call("/book/x", body=CRASHING_BODY)
            assert answer.status == 503
            assert float(header_value(answer.headers, b"retry-after") or b"0") > 60.0
            assert len(arrivals(site)) == known
            assert site.nodes["a"].state.crashes.refused > 0
            status = orjson.loads((await site.get("control", "/status")).body)
            assert len(status["blocked_requests"]) == 1

    run_scenario(scenario)


@pytest.mark.processes
def test_node_processes_do_not_relay_a_request_that_crashes_endpoints(tmp_path):
    # Guards against a node process that does not receive its peers' crash records, or
    # does not have them after a restart.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.start_processes("abc", tmp_path)
            await add_crashing_endpoints(site, CALLS)
            sending = asyncio.create_task(send_repeatedly(site, "/look/x", for_s=12.0))
            await poll_until(lambda: len(arrivals(site)) >= 3)
            await site.kill_and_restart_process("b")
            await sending
            times = [request.at for request in arrivals(site)]
            late = [at for at in times if at > times[2] + BLOCKING_DEADLINE_S]
            assert len(late) <= MAX_LATE_ATTEMPTS
            assert (await site.call("/look/x", "b")).status == 200

    run_scenario(scenario)
