"""Endpoints that fall over when they must refuse many requests."""

from __future__ import annotations

import asyncio

import pytest

from poplarrelay.entry.http.connection import header_value
from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.testing.entry_site import CALLS, STREAMS, run_entry_site, run_scenario
from poplarrelay.testing.path_faults import send_requests

ENDPOINTS, CAPACITY, QUEUE = 3, 2, 2
#: Rejections in a second that an endpoint survives, as it states.
BRITTLE = 4
#: Seconds after which the endpoints let fewer requests wait.
CONTACT_S = 3.0
#: Seconds that a fallen endpoint is away.
RECOVERY_S = 3.0
#: Seconds of overload, and seconds that a call takes.
OVERLOAD_S, CALL_S = 9.0, 0.2
#: Most falls of all endpoints in that time.
MAX_FALLS = 2 + ENDPOINTS / 10


async def add_brittle_endpoints(site, service):
    runners = []
    for number in range(ENDPOINTS):
        name = f"r{number}"
        events = {"events": 1} if service == STREAMS else {}
        runner = await site.add_runner(name, service, pause_s=CALL_S, **events)
        runner.capacity, runner.queue = CAPACITY, QUEUE
        site.list_runner(name, service, slots=CAPACITY)
        site.recover_from_falls(name, service, RECOVERY_S)
        runners.append(runner)
    for node in site.nodes:
        await site.ready(node, endpoints=ENDPOINTS)
    return runners


async def overload(site, path, runners):
    """Ask twice what the endpoints serve while they are brittle."""
    for runner in runners:
        runner.brittle = str(BRITTLE)

    async def shrink_queues():
        await asyncio.sleep(CONTACT_S)
        for runner in site.runners.values():
            runner.queue = 0

    shrinking = asyncio.create_task(shrink_queues())
    nodes = list(site.nodes)
    per_s = 2 * ENDPOINTS * CAPACITY / CALL_S / len(nodes)
    requests = await send_requests(site, nodes, OVERLOAD_S, per_s, [path])
    await shrinking
    return requests


def count_falls(runners: list[RunnerStandIn]) -> int:
    return sum(len(runner.falls) for runner in runners)


@pytest.mark.parametrize("fair_shares", [False, True])
@pytest.mark.parametrize(
    ("path", "service"), [("/look/x", CALLS), ("/book/x", CALLS), ("/draft/x", STREAMS)]
)
def test_brittle_endpoints_are_kept_from_falling(path, service, fair_shares):
    # Guards against nodes that each learn from rejections what one of them knew.
    async def scenario():
        async with run_entry_site(nodes=4, fair_shares=fair_shares) as site:
            runners = await add_brittle_endpoints(site, service)
            requests = await overload(site, path, runners)
            assert count_falls(runners) <= MAX_FALLS
            assert any(each.status == 200 for each in requests)

    run_scenario(scenario)


def test_brittle_endpoints_survive_the_loss_of_a_node():
    # Guards against a new coordinator that grants slots that are in use.
    async def scenario():
        async with run_entry_site(nodes=4) as site:
            runners = await add_brittle_endpoints(site, CALLS)

            async def kill():
                await asyncio.sleep(CONTACT_S + 2.0)
                await site.kill_node("d")

            killing = asyncio.create_task(kill())
            await overload(site, "/book/x", runners)
            await killing
            assert count_falls(runners) <= MAX_FALLS

    run_scenario(scenario)


def test_pause_of_a_brittle_endpoint_is_told_to_callers():
    # Guards against callers that come back in the middle of a pause.
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            runners = await add_brittle_endpoints(site, CALLS)
            # A node that has just started grants no slots of brittle endpoints.
            await asyncio.sleep(2.0)
            for runner in runners:
                runner.brittle, runner.pause = str(BRITTLE), "5"
            answers = [await site.call("/look/x") for _ in range(6)]
            assert all(answer.status == 503 for answer in answers)
            wait = header_value(answers[-1].headers, b"retry-after")
            assert wait is not None
            assert float(wait) > 3.0
            assert sum(len(runner.received) for runner in runners) <= ENDPOINTS

    run_scenario(scenario)
