"""Tests of calls to plain services through an entry node, with stand-in endpoints."""

import asyncio
import socket
import time

import pytest

from poplarrelay.entry import relaying
from poplarrelay.entry.http.connection import header_value
from poplarrelay.entry.scheduling.request_queue import WAIT_SHARE
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import (
    CALLS,
    KEY,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)

TARGET_S = 0.5


def retry_after(answer):
    value = header_value(answer.headers, b"retry-after")
    assert value is not None
    return float(value)


def test_call_is_forwarded_byte_for_byte():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            body = bytes(range(256)) * 20
            answer = await site.call("/look/a%2Fb/?q=%20x&r=1", body=body, X_Other="1")
            assert answer.status == 200
            assert answer.body == runner.body_of(runner.ran[0].attempt)
            assert header_value(answer.headers, b"x-poplarrelay-response-signature")
            got = runner.ran[0]
            assert got.target == "/look/a%2Fb/?q=%20x&r=1"
            assert got.method == "POST"
            assert got.body == body
            assert got.headers["x-other"] == "1"

    run_scenario(scenario)


def test_callers_cannot_set_headers_of_the_system():
    # Guards against callers that choose a team, an endpoint or another caller's KV
    # cache by a header, and against forwarding the caller's key to the endpoint.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            answer = await site.call(
                "/look/x",
                X_Poplarrelay_Tenant="beta",
                X_Poplarrelay_Target_Instance="r9",
                X_Poplarrelay_Cache_Hold="h",
                X_Poplarrelay_Pin_Ms="1000",
                X_Poplarrelay_Kv_Backup="127.0.0.1:1",
                Kv_From="127.0.0.1:1/h",
                Kv_Fetch="127.0.0.1:1",
                Connection="keep-alive, x-poplarrelay-attempt-id, x-secret",
                X_Secret="dropped with its connection",
            )
            assert answer.status == 200
            headers = runner.ran[0].headers
            assert headers["x-poplarrelay-tenant"] == "alpha"
            assert headers["x-poplarrelay-target-instance"] == "r1"
            assert headers["x-poplarrelay-attempt-id"].startswith("attempt-")
            assert 3500 < int(headers["x-poplarrelay-deadline-ms"]) + 3500 <= 5000
            for name in (
                "x-poplarrelay-cache-hold",
                "x-poplarrelay-pin-ms",
                "x-poplarrelay-kv-backup",
                "kv-from",
                "kv-fetch",
                "authorization",
                "x-secret",
            ):
                assert name not in headers

    run_scenario(scenario)


def test_credentials_reach_endpoints_only_if_no_teams_are_configured():
    async def scenario():
        async with run_entry_site() as site:
            site.configure(2, tenants=None)
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            assert (await site.call("/look/x")).status == 200
            assert runner.ran[0].headers["authorization"] == f"Bearer {KEY}"
            assert "x-poplarrelay-tenant" not in runner.ran[0].headers

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/x", KEY, 404),
        ("/looks/x", KEY, 404),
        ("/look/x", "wrong", 401),
        ("/look/x", "", 401),
        ("/open/x", "", 200),
    ],
)
def test_configuration_decides_which_calls_are_admitted(path, key, status):
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            authorization = f"Bearer {key}" if key else ""
            answer = await site.call(path, Authorization=authorization)
            assert answer.status == status
            assert len(runner.received) == (status == 200)

    run_scenario(scenario)


def test_idempotent_call_goes_to_a_second_endpoint_after_a_reset():
    # The first endpoint resets the connection, so the outcome of the call is unknown.
    # An idempotent call can run twice, so it is sent to the second endpoint.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            for runner in runners:
                runner.faults.append(Fault.RESET)
            answers = [await site.call("/look/x") for _ in range(2)]
            assert sorted(a.status for a in answers) in ([200, 502], [200, 200])
            for runner in runners:
                runner.faults.clear()
            runners[0].faults.append(Fault.RESET)
            answers = [await site.call("/look/x") for _ in range(6)]
            assert [a.status for a in answers] == [200] * 6

    run_scenario(scenario)


@pytest.mark.parametrize(
    "fault",
    [
        Fault.RESET,
        Fault.HANG,
        Fault.TRUNCATED,
        Fault.WRONG_ATTEMPT_ID,
        Fault.INVALID_BYTES,
    ],
)
@pytest.mark.parametrize("path", ["/book/x", "/pay/x"])
def test_booking_that_may_have_run_is_not_repeated_or_reported_as_not_run(fault, path):
    # The endpoint receives a booking and gives no usable answer. Guards against a
    # second booking, and against a status that says that the first was not made. The
    # second route allows two attempts, but only if the first endpoint refuses.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            for runner in runners:
                runner.faults.append(fault)
            answer = await site.call(path)
            assert answer.status in (502, 504)
            assert header_value(answer.headers, b"retry-after") is None
            assert sum(len(runner.ran) for runner in runners) == 1

    run_scenario(scenario)


def test_booking_refused_by_a_full_endpoint_gets_503_and_does_not_run():
    # The only endpoint refuses the booking without running it. The caller gets 503 with
    # a retry delay, which says that the booking was not made.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.SHED)
            answer = await site.call("/book/x")
            assert answer.status == 503
            assert retry_after(answer) > 0
            assert runner.ran == []

    run_scenario(scenario)


def test_refused_booking_goes_to_the_other_endpoint():
    # The first endpoint says that it did not run the booking, and the route allows two
    # attempts.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            for runner in runners:
                runner.faults.append(Fault.SHED)
            await site.call("/pay/x")
            for runner in runners:
                runner.faults.clear()
            runners[0].faults.append(Fault.SHED)
            answers = [await site.call("/pay/x") for _ in range(4)]
            assert [a.status for a in answers] == [200] * 4

    run_scenario(scenario)


def test_second_answer_is_not_mistaken_for_the_next_answer():
    # An endpoint sends a second answer after the first. Guards against mistaking it
    # for the answer to the next request on the connection, possibly of another caller.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.SECOND_RESPONSE)
            # Bookings are not retried, so a wrong answer cannot be corrected.
            for _ in range(4):
                answer = await site.call("/book/x")
                assert answer.status == 200
                assert answer.body == runner.body_of(runner.ran[-1].attempt)

    run_scenario(scenario)


def test_answer_without_a_length_is_forwarded_completely():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.NO_LENGTH)
            answer = await site.call("/look/x")
            assert answer.status == 200
            assert answer.body == runner.body_of(runner.ran[0].attempt)

    run_scenario(scenario)


def test_call_to_a_silent_endpoint_is_retried_before_its_deadline():
    # One endpoint hangs. Guards against idempotent calls that wait for it until the
    # caller's deadline although another endpoint could answer.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            runners[0].faults = [Fault.HANG] * 4
            for _ in range(4):
                answer = await site.call("/look/x")
                assert answer.status == 200

    run_scenario(scenario)


def test_endpoint_at_a_reused_address_does_not_run_the_request():
    # Another endpoint listens at the address of an endpoint that has gone. Requests
    # name the intended endpoint, so the other one refuses them and r2 gets them.
    async def scenario():
        async with run_entry_site() as site:
            first = await site.add_runner("r1", CALLS)
            await site.add_runner("r2", CALLS)
            await site.ready(endpoints=2)
            first.endpoint = "r1-successor"
            for _ in range(5):
                assert (await site.call("/look/x")).status == 200
            assert first.ran == []

    run_scenario(scenario)


def test_leaving_endpoint_gets_no_more_requests():
    async def scenario():
        async with run_entry_site() as site:
            leaving = await site.add_runner("r1", CALLS)
            await site.add_runner("r2", CALLS)
            await site.ready(endpoints=2)
            site.list_runner("r1", CALLS, state="draining")
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: rows[EndpointId("r1")].leaving)
            before = len(leaving.received)
            for _ in range(8):
                assert (await site.call("/look/x")).status == 200
            assert len(leaving.received) == before

    run_scenario(scenario)


def test_route_timeout_ends_the_wait():
    # The endpoint never answers. The route's timeout of 0.4 s applies although the
    # caller would wait longer.
    async def scenario():
        async with run_entry_site() as site:
            routes = entry_configuration()["routes"]
            routes[0]["timeoutMs"] = 400
            site.configure(2, routes=routes)
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            runner.faults.append(Fault.HANG)
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await site.call("/book/x")
            assert answer.status == 504
            assert loop.time() - started > 0.35
            assert int(runner.ran[0].headers["x-poplarrelay-deadline-ms"]) <= 400

    run_scenario(scenario)


def test_call_to_a_service_without_endpoints_is_refused():
    async def scenario():
        async with run_entry_site() as site:
            await site.ready()
            answer = await site.call("/look/x")
            assert answer.status == 503
            assert retry_after(answer) > 0

    run_scenario(scenario)


def test_queued_calls_get_the_slots_that_become_free():
    # The endpoint has two slots. Guards against more than two of ten concurrent calls
    # at the endpoint. The latency target is seconds, so that no call times out in the
    # queue on a busy machine.
    patient = {"timeoutMs": 9000, "targetLatencyMs": 9000}
    routes = [{**route, **patient} for route in entry_configuration()["routes"]]

    async def scenario():
        async with run_entry_site() as site:
            site.configure(2, routes=routes)
            runner = await site.add_runner("r1", CALLS, pause_s=0.01)
            site.list_runner("r1", CALLS, slots=2)
            await site.ready(endpoints=1)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: rows[EndpointId("r1")].slots == 2)
            answers = await asyncio.gather(*(site.call("/look/x") for _ in range(10)))
            assert [a.status for a in answers] == [200] * 10
            assert runner.connections <= 2

    run_scenario(scenario)


def test_slots_freed_during_a_pause_are_assigned():
    # Guards against refusals of queued calls although slots became free while the
    # process was paused.
    patient = {"timeoutMs": 5000, "targetLatencyMs": 1000 * TARGET_S}
    routes = [{**route, **patient} for route in entry_configuration()["routes"]]

    async def scenario():
        async with run_entry_site() as site:
            site.configure(2, routes=routes)
            runner = await site.add_runner("r1", CALLS, pause_s=0.05)
            site.list_runner("r1", CALLS, slots=2)
            await site.ready(endpoints=1)
            state = site.nodes["a"].state
            await poll_until(lambda: state.me.configuration == 2)
            rows = state.endpoints.rows
            await poll_until(lambda: rows[EndpointId("r1")].slots == 2)
            calls = asyncio.gather(*(site.call("/look/x") for _ in range(6)))
            await poll_until(lambda: len(runner.ran) == 2)
            time.sleep(WAIT_SHARE * TARGET_S)
            answers = await calls
            assert [answer.status for answer in answers].count(200) >= 4

    run_scenario(scenario)


def test_calls_beyond_a_quota_are_refused_with_retry_after():
    # The quota is a burst of three calls and one call per second. Guards against
    # refusals that take from the quota or refund it.
    async def scenario():
        async with run_entry_site() as site:
            tenants = [{"name": "alpha", "apiKeys": [KEY], "ratePerS": 1, "burst": 3}]
            site.configure(2, tenants=tenants)
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            answers = [await site.call("/look/x") for _ in range(30)]
            served = [a for a in answers if a.status == 200]
            refused = [a for a in answers if a.status == 429]
            assert len(served) + len(refused) == 30
            assert 3 <= len(served) <= 6
            assert len(runner.ran) == len(served)
            assert all(retry_after(answer) > 0 for answer in refused)

    run_scenario(scenario)


# Invalid requests


async def send_raw(site, content, wait_close=True):
    reader, writer = await asyncio.open_connection(*site.address())
    writer.write(content)
    data = b""
    async with asyncio.timeout(10):
        while wait_close or b"\r\n\r\n" not in data:
            part = await reader.read(65_536)
            if not part:
                break
            data += part
    writer.close()
    return data


HEAD = (
    f"POST /look/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer {KEY}\r\n"
    "X-Poplarrelay-Attempt-Id: raw-1\r\nX-Poplarrelay-Deadline-Ms: 2000\r\n"
)


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (b"\x16\x03\x01 not http\r\n\r\n", b"400"),
        (f"{HEAD}X-Flood: {'y' * 20_000}\r\n\r\n".encode(), b"431"),
        (f"{HEAD}Content-Length: 200000\r\n\r\n".encode(), b"413"),
        (f"{HEAD}Content-Length: 50\r\n\r\nhalf".encode(), b"408"),
        (HEAD.encode(), b"408"),
        (
            f"{HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            "GET /look/smuggled HTTP/1.1\r\nHost: desk.example\r\n\r\n".encode(),
            b"400",
        ),
        (f"{HEAD}Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd".encode(), b"400"),
    ],
    ids=["noise", "head", "body", "half body", "half head", "two framings", "lengths"],
)
def test_invalid_request_is_refused_and_reaches_no_endpoint(content, status):
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            answer = await send_raw(site, content)
            assert answer.split()[1] == status
            assert all(got.target == "/look/x" for got in runner.received)
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_chunked_body_arrives_completely():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            content = f"{HEAD}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            chunks = "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"
            answer = await send_raw(site, (content + chunks).encode())
            assert answer.split()[1] == b"200"
            assert runner.ran[0].body == b"hello, world"

    run_scenario(scenario)


def test_endpoint_connection_closes_when_the_caller_disconnects():
    # A caller disconnects while its call runs. Guards against an endpoint that
    # continues a call without a caller: its connection must close too.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.HANG)
            connection = await site.open("/look/x")
            await poll_until(lambda: runner.ran)
            assert len(runner._writers) == 1
            connection.abort()
            await poll_until(lambda: not runner._writers, "connection closed")

    run_scenario(scenario)


def test_connections_to_endpoints_are_reused():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            for _ in range(10):
                assert (await site.call("/look/x")).status == 200
            assert runner.connections == 1

    run_scenario(scenario)


def test_call_reaches_no_more_endpoints_than_its_route_allows():
    # All four endpoints run the call and reset the connection. The route allows two
    # attempts, while the retry budget would allow more.
    async def scenario():
        async with run_entry_site() as site:
            names = [f"r{number}" for number in range(4)]
            for name in names:
                await site.add_runner(name, CALLS, faults=[Fault.RESET] * 4)
            await site.ready(endpoints=4)
            answer = await site.call("/look/x")
            assert answer.status == 502
            assert sum(len(site.runners[name].ran) for name in names) == 2

    run_scenario(scenario)


def test_request_whose_handler_fails_gets_an_answer(monkeypatch):
    # The node's own handler raises an exception. Guards against a caller that waits for
    # an answer that is never sent, and against a node that stops serving.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            with monkeypatch.context() as patch:
                patch.setattr(relaying, "admit", None)
                assert (await site.call("/look/x")).status == 502
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_refused_connection_does_not_count_as_an_attempt():
    # One endpoint is gone without notice, and its address refuses connections. The
    # booking has reached no endpoint, so it can be sent to the other one.
    async def scenario():
        async with run_entry_site() as site:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                dead = probe.getsockname()[1]
            healthy = await site.add_runner("r1", CALLS)
            gone = await site.add_runner("r2", CALLS)
            site.list_runner("r2", CALLS, address=f"127.0.0.1:{dead}")
            gone.stop()
            await site.ready(endpoints=2)
            for _ in range(6):
                assert (await site.call("/book/x")).status == 200
            assert len(healthy.ran) == 6

    run_scenario(scenario)
