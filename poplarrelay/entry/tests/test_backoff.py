"""Endpoints that refuse requests and ask for a pause."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from time import monotonic

import pytest

from poplarrelay.entry.http.connection import CompleteResponse, header_value
from poplarrelay.entry.paths import EndpointPaths
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    EntrySite,
    run_entry_site,
    run_scenario,
)

#: Requests that may reach an endpoint from one node in a pause, counted from
#: `PAUSE_APPLIED_S` after the refusal that asked for it.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_APPLIED_S = 0.5
#: Pause in seconds that the endpoints ask for in most tests.
PAUSE_S = 2.0
PATHS = [
    ("/look/x", CALLS),
    ("/book/x", CALLS),
    ("/draft/x", STREAMS),
    ("/brief/x", STREAMS),
]


async def add_endpoints(
    site: EntrySite, service: str, pauses: Sequence[str | None]
) -> list[RunnerStandIn]:
    """Start one endpoint for each pause, and wait until all nodes list them."""
    runners = [
        await site.add_runner(f"r{number}", service, pause=pause)
        for number, pause in enumerate(pauses)
    ]
    for name in site.nodes:
        await site.ready(name, endpoints=len(pauses))
    return runners


async def send(
    site: EntrySite, path: str, per_s: float, for_s: float
) -> list[CompleteResponse | None]:
    """Send requests to all nodes in turn; return the answers, None if cut off.

    The ids of the requests begin with the node's name.
    """

    async def one(node: str, request: str) -> CompleteResponse | None:
        try:
            return await site.call(path, node, X_Poplarrelay_Attempt_Id=request)
        except ExchangeFailed:
            return None

    names = list(site.nodes)
    end = monotonic() + for_s
    sent: list[asyncio.Task[CompleteResponse | None]] = []
    while monotonic() < end:
        node = names[len(sent) % len(names)]
        request = f"{node}-{len(sent)}"
        sent.append(asyncio.create_task(one(node, request)))
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*sent))


def requests_in_pause(runner: RunnerStandIn, node: str, pause_s: float) -> int:
    """Return the most requests of a node in a pause that it has been asked for."""
    times = [r.at for r in runner.received if r.attempt.startswith(node)]
    refused = [
        r.at for r in runner.received if r.attempt.startswith(node) and not r.ran
    ]
    return max(
        (
            sum(start + PAUSE_APPLIED_S < at < start + pause_s for at in times)
            for start in refused
        ),
        default=0,
    )


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_endpoint_that_asks_for_a_pause_gets_no_requests_in_it(path, service):
    # Guards against an idle-looking endpoint that refuses and attracts more requests.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            pauses = [str(PAUSE_S), None, None]
            runners = await add_endpoints(site, service, pauses)
            answers = await send(site, path, per_s=60, for_s=6.0)
            refused = [request for request in runners[0].received if not request.ran]
            assert refused
            for node in site.nodes:
                assert requests_in_pause(runners[0], node, PAUSE_S) <= (
                    MAX_REQUESTS_IN_PAUSE
                )
            served = [answer for answer in answers if answer and answer.status == 200]
            assert len(served) > 0.95 * len(answers)

    run_scenario(scenario)


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_requests_are_refused_at_once_while_all_endpoints_pause(path, service):
    # Guards against requests that go from one pausing endpoint to the next, or wait.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            runners = await add_endpoints(site, service, [str(PAUSE_S)] * 3)
            await send(site, path, per_s=60, for_s=1.0)
            start = monotonic()
            answer = await site.call(path, "b")
            assert monotonic() - start < 0.25
            assert answer.status == 503
            wait = header_value(answer.headers, b"retry-after")
            assert wait is not None
            assert float(wait) > 0.3
            await send(site, path, per_s=60, for_s=2.0)
            for runner in runners:
                for node in site.nodes:
                    assert requests_in_pause(runner, node, PAUSE_S) <= (
                        MAX_REQUESTS_IN_PAUSE
                    )

    run_scenario(scenario)


def test_refused_callers_are_asked_to_return_after_the_pause_at_different_times():
    # Guards against a Retry-After in the pause, and against all callers at its end.
    async def scenario():
        async with run_entry_site() as site:
            await add_endpoints(site, CALLS, [str(PAUSE_S)])
            await site.call("/look/x")
            pause_ends = monotonic() + PAUSE_S
            returns = []
            for _ in range(40):
                answer = await site.call("/look/x")
                wait = header_value(answer.headers, b"retry-after")
                assert answer.status == 503
                assert wait is not None
                returns.append(monotonic() + float(wait))
            assert min(returns) > pause_ends - 0.1
            assert max(returns) - min(returns) > 0.3

    run_scenario(scenario)


def test_endpoint_gets_requests_again_after_its_pause():
    # Guards against a pause that is longer than the endpoint has asked for.
    async def scenario():
        async with run_entry_site() as site:
            (runner,) = await add_endpoints(site, CALLS, ["0.8"])
            assert (await site.call("/look/x")).status == 503
            start = monotonic()
            runner.pause = None
            while (await site.call("/look/x")).status != 200:
                await asyncio.sleep(0.02)
            assert 0.6 < monotonic() - start < 1.2

    run_scenario(scenario)


def test_latest_end_of_several_pauses_counts():
    # Guards against a short pause in a later answer that ends a longer one.
    async def scenario():
        async with run_entry_site() as site:
            (runner,) = await add_endpoints(site, CALLS, ["2"])
            node = site.nodes["a"]
            await site.call("/look/x")
            row = node.state.endpoints.rows[EndpointId("r0")]
            # Requests that were sent before are refused later, with other pauses.
            node.state.backoffs.add(row, 0.1, monotonic())
            received = len(runner.received)
            await asyncio.sleep(0.6)
            await send(site, "/look/x", per_s=40, for_s=0.8)
            assert len(runner.received) == received
            node.state.backoffs.add(row, 5.0, monotonic())
            assert row.backoff_until > monotonic() + 4.0

    run_scenario(scenario)


def test_resumed_streams_keep_the_pause():
    # Guards against streams that continue at an endpoint in its pause.
    async def scenario():
        async with run_entry_site() as site:
            pauses = [str(PAUSE_S), None, None]
            runners = await add_endpoints(site, STREAMS, pauses)
            for runner in runners[1:]:
                runner.break_after = 3
            await send(site, "/draft/x", per_s=30, for_s=4.0)
            assert not all(request.ran for request in runners[0].received)
            assert requests_in_pause(runners[0], "a", PAUSE_S) <= MAX_REQUESTS_IN_PAUSE

    run_scenario(scenario)


def test_record_of_the_same_run_does_not_end_a_pause():
    # Guards against a pause that is lost with a row whose record was away for a while.
    async def scenario():
        async with run_entry_site() as site:
            (runner,) = await add_endpoints(site, CALLS, ["3"])
            await site.call("/look/x")
            start = monotonic()
            rows = site.nodes["a"].state.endpoints.rows
            site.store.put("keyed.servers", "r0", None)
            while rows:
                await asyncio.sleep(0.01)
            site.list_runner("r0", CALLS)
            while not rows:
                await asyncio.sleep(0.01)
            assert monotonic() - start < 2.0
            received = len(runner.received)
            await send(site, "/look/x", per_s=20, for_s=0.5)
            assert len(runner.received) == received

    run_scenario(scenario)


def test_request_goes_elsewhere_if_a_pause_begins_while_connecting(monkeypatch):
    # Guards against requests that connected before the pause and are sent in it.
    async def scenario():
        async with run_entry_site() as site:
            runners = await add_endpoints(site, CALLS, [None, None])
            node = site.nodes["a"]
            row = node.state.endpoints.rows[EndpointId("r0")]
            take = EndpointPaths.take

            async def take_and_pause(paths, endpoint, *args):
                connection = await take(paths, endpoint, *args)
                if endpoint is row:
                    node.state.backoffs.add(row, 30.0, monotonic())
                return connection

            monkeypatch.setattr(EndpointPaths, "take", take_and_pause)
            for _ in range(6):
                assert (await site.call("/book/x")).status == 200
            assert row.in_backoff(monotonic())
            assert runners[0].received == []
            assert row.health.failures_in_row == 0

    run_scenario(scenario)
