"""Requests that crash each endpoint that begins to run them."""

from __future__ import annotations

import asyncio
from itertools import cycle
from time import monotonic

import pytest

from poplarrelay.exception import ExchangeFailed
from poplarrelay.standins.users.runner import ReceivedRequest
from poplarrelay.testing.users import (
    CALLS,
    STREAMS,
    UsersSite,
    play,
    run_users_site,
    until,
)

POISON = b"a body that no endpoint survives"
#: Seconds after the third crash from which nodes must know of it.
KNOWN_S = 3.0
#: Sends that may still arrive after that.
MOST_SENDS = 3
ENDPOINTS = 8


def arrivals(site: UsersSite) -> list[ReceivedRequest]:
    """Return the crashing requests that endpoints have begun to run, in order."""
    found = [
        request
        for runner in site.runners.values()
        for request in runner.ran
        if request.body == POISON
    ]
    return sorted(found, key=lambda request: request.at)


async def send_often(site: UsersSite, path: str, for_s: float, **more: str) -> None:
    """Send the crashing request four times a second, to one node after the other."""
    end = monotonic() + for_s
    for node in cycle(list(site.nodes)):
        if monotonic() > end:
            return
        sent = asyncio.create_task(site.call(path, node, POISON, **more))
        await asyncio.sleep(0.25)
        if sent.done() and sent.exception() is not None:
            # A stream that the node has broken off.
            assert isinstance(sent.exception(), ExchangeFailed)


async def add_fragile_endpoints(site: UsersSite, service: str) -> None:
    """Start endpoints that the crashing request ends for 0.8 s each."""
    for number in range(ENDPOINTS):
        await site.add_runner(f"r{number}", service)
        site.crash_on(f"r{number}", service, POISON, 0.8)
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
def test_request_that_crashes_endpoints_is_not_sent_on(path, service):
    # Guards against one request that ends endpoint after endpoint.
    async def scenario():
        async with run_users_site(nodes=3) as site:
            await add_fragile_endpoints(site, service)
            await send_often(site, path, for_s=8.0)
            times = [request.at for request in arrivals(site)]
            assert len(times) >= 3
            late = [at for at in times if at > times[2] + KNOWN_S]
            assert len(late) <= MOST_SENDS

    play(scenario)


def test_node_that_starts_later_knows_the_requests_that_crash_endpoints():
    # Guards against a new node that sends on what all others refuse.
    async def scenario():
        async with run_users_site(nodes=2) as site:
            await add_fragile_endpoints(site, CALLS)
            await send_often(site, "/look/x", for_s=4.0)
            seed = site.nodes["a"].state.settings.listeners.control
            await site.add_node("later", seed)
            await site.ready("later", endpoints=1)
            await asyncio.sleep(KNOWN_S)
            known = len(arrivals(site))
            assert known >= 3
            for _ in range(4):
                await site.call("/look/x", "later", POISON)
            assert len(arrivals(site)) == known

    play(scenario)


def test_other_requests_of_the_caller_are_served_while_one_is_refused():
    # Guards against verdicts on all that was under way at the same endpoints.
    async def scenario():
        async with run_users_site(nodes=3) as site:
            await add_fragile_endpoints(site, CALLS)
            sending = asyncio.create_task(send_often(site, "/look/x", for_s=5.0))
            end = monotonic() + 5.0
            while monotonic() < end:
                await asyncio.gather(
                    *(site.call("/look/x", node) for node in site.nodes)
                )
                await asyncio.sleep(0.05)
            await sending
            await until(lambda: len(arrivals(site)) >= 3)
            for node in site.nodes:
                assert (await site.call("/look/x", node)).status == 200

    play(scenario)
