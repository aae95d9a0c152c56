"""Endpoints that state how many requests a second they take from all nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from time import monotonic

import pytest

from poplarrelay.exception import ExchangeFailed
from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.testing.users import (
    CALLS,
    STREAMS,
    UsersSite,
    play,
    run_users_site,
)

#: Seconds after a limit was first stated from which all nodes must keep to it.
KNOWN_S = 3.0
#: Seconds over which the requests at an endpoint are counted.
WINDOW_S = 4.0


def most_in_window(times: Sequence[float], start: float) -> int:
    """Return the largest number of times within a window that begins after a start."""
    late = [at for at in times if at >= start]
    return max(
        (sum(0 <= at - first < WINDOW_S for at in late) for first in late), default=0
    )


def allowed(per_s: float) -> float:
    """Return the requests that an endpoint may get in a window."""
    return 1.5 * per_s * WINDOW_S + 5


async def send_calls(
    site: UsersSite, path: str, per_s: float, for_s: float
) -> list[int | None]:
    """Send calls at a rate to all nodes in turn; return statuses, None if cut off."""

    async def one(node: str) -> int | None:
        try:
            return (await site.call(path, node)).status
        except ExchangeFailed:
            return None

    nodes = list(site.nodes)
    sent: list[asyncio.Task[int | None]] = []
    end = monotonic() + for_s
    while monotonic() < end:
        sent.append(asyncio.create_task(one(nodes[len(sent) % len(nodes)])))
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*sent))


async def add_endpoints(
    site: UsersSite, service: str, limits: Sequence[str | None]
) -> list[RunnerStandIn]:
    """Start endpoints with the limits that they state."""
    runners = []
    for number, limit in enumerate(limits):
        runner = await site.add_runner(f"r{number}", service, limit=limit)
        runners.append(runner)
    for name in site.nodes:
        await site.ready(name, endpoints=len(limits))
    return runners


@pytest.mark.parametrize("limit", [1.0, 3.0])
@pytest.mark.parametrize(
    ("path", "service"), [("/look/x", CALLS), ("/draft/x", STREAMS)]
)
def test_endpoint_gets_no_more_than_it_states_from_all_nodes(path, service, limit):
    # Guards against nodes that send by load alone, or each up to the whole limit.
    async def scenario():
        async with run_users_site(nodes=3) as site:
            runners = await add_endpoints(site, service, [str(limit), None, None, None])
            start = monotonic()
            statuses = await send_calls(site, path, per_s=50, for_s=8.0)
            times = [request.at for request in runners[0].received]
            assert most_in_window(times, start + KNOWN_S) <= allowed(limit)
            # What it takes is used, and the others serve the rest.
            assert len([at for at in times if at >= start + KNOWN_S]) >= 2 * limit
            assert statuses.count(200) == len(statuses)

    play(scenario)
