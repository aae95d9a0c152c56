"""Calls to plain services through an entry node, in front of stand-ins."""

import asyncio
import socket
import time

import pytest

from poplarrelay.entry import relaying
from poplarrelay.entry.http.connection import header_value
from poplarrelay.entry.request_queue import WAIT_SHARE
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


def test_call_is_passed_on_byte_for_byte():
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


def test_endpoint_gets_what_is_the_systems_to_set():
    # A caller sends headers that choose a team, an endpoint or another's KV cache.
    # The endpoint must get the system's own values, or none; the key stays here.
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


def test_credentials_reach_endpoints_only_where_no_keys_are_known():
    async def scenario():
        async with run_entry_site() as site:
            site.configure(2, tenants=[])
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
def test_configuration_decides_who_is_let_in(path, key, status):
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
    # The first endpoint runs the call and resets the connection; nobody knows how
    # far it came. The call may run twice, so the caller gets the second's answer.
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
    "fault", [Fault.RESET, Fault.HANG, Fault.SHORT, Fault.STRAY, Fault.NOISE]
)
@pytest.mark.parametrize("path", ["/book/x", "/pay/x"])
def test_booking_runs_once_and_is_never_told_not_run(fault, path):
    # The endpoint takes a booking and gives no usable answer. The booking may have
    # been made: it must not be sent again, and no status may promise that it was
    # not made. That holds also where the route allows two endpoints, which is for
    # bookings that the first one refused.
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


def test_full_endpoint_is_a_promise_that_the_booking_did_not_run():
    # The only endpoint refuses without running. The caller gets 503 with the time to
    # come back, and the promise is true: no endpoint has run it.
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
    # The first endpoint says that it did not run the booking; the route allows two.
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


def test_answer_after_a_second_one_is_the_requests_own():
    # An endpoint sends a second answer behind the first. It would be read as the
    # answer to the next request on that connection, perhaps of another caller.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.EXTRA)
            # Bookings: a wrong answer would not be mended by a second attempt.
            for _ in range(4):
                answer = await site.call("/book/x")
                assert answer.status == 200
                assert answer.body == runner.body_of(runner.ran[-1].attempt)

    run_scenario(scenario)


def test_answer_without_a_length_is_passed_on_whole():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.faults.append(Fault.UNFRAMED)
            answer = await site.call("/look/x")
            assert answer.status == 200
            assert answer.body == runner.body_of(runner.ran[0].attempt)

    run_scenario(scenario)


def test_silent_endpoint_is_left_in_time_for_a_second_one():
    # One endpoint hangs. An idempotent call must not wait for the caller's deadline
    # there while another endpoint could answer it.
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{i}", CALLS) for i in (1, 2)]
            await site.ready(endpoints=2)
            runners[0].faults = [Fault.HANG] * 4
            for _ in range(4):
                answer = await site.call("/look/x")
                assert answer.status == 200

    run_scenario(scenario)


def test_address_of_another_endpoint_is_not_used_for_its_predecessor():
    # An endpoint has gone and another one has its address. The request names the
    # one that was meant, the other refuses, and the caller gets an answer elsewhere.
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


def test_leaving_endpoint_gets_nothing_more():
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
    # The endpoint never answers a booking. The operators let callers wait for 0.4 s
    # on this route, whatever the caller would bear.
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


def test_service_without_endpoints_is_refused_at_once():
    async def scenario():
        async with run_entry_site() as site:
            await site.ready()
            answer = await site.call("/look/x")
            assert answer.status == 503
            assert retry_after(answer) > 0

    run_scenario(scenario)


def test_waiting_requests_get_the_places_that_come_free():
    # The endpoint works on two calls at a time and refuses more. Ten callers come
    # together: the node keeps them waiting, and the endpoint sees no more than two.
    # Their target is seconds, so that none of them waits it out on a busy machine.
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


def test_places_that_came_free_in_a_standstill_are_given():
    # Guards against refusals of waiting calls while the endpoint has room again.
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


def test_flood_beyond_a_quota_is_told_when_to_come_back():
    # A team may send three calls at once and one a second. Its flood gets that and no
    # more: refusals take nothing from the quota, and give nothing back to it.
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


# what is not valid


async def _raw(site, content, wait_close=True):
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
def test_what_is_not_valid_gets_a_typed_refusal_and_reaches_no_endpoint(
    content, status
):
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            answer = await _raw(site, content)
            assert answer.split()[1] == status
            assert all(got.target == "/look/x" for got in runner.received)
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_body_in_chunks_arrives_whole():
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            content = f"{HEAD}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            chunks = "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"
            answer = await _raw(site, (content + chunks).encode())
            assert answer.split()[1] == b"200"
            assert runner.ran[0].body == b"hello, world"

    run_scenario(scenario)


def test_endpoint_learns_that_the_caller_left():
    # A caller closes while its idempotent call is being worked on. The endpoint's
    # connection must close too, or it works on for nobody.
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


def test_connections_to_endpoints_are_kept():
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
    # of them; the budget for repeated sends would allow more.
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
    # A fault of the node's own, in the middle of a request. The caller must not wait
    # for an answer that nobody makes, and the node goes on serving.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            with monkeypatch.context() as patch:
                patch.setattr(relaying, "admit", None)
                assert (await site.call("/look/x")).status == 502
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_address_that_refuses_is_not_an_attempt():
    # One endpoint is gone without a word: its address refuses connections. The
    # booking has reached nobody, so it may go to the other one.
    async def scenario():
        async with run_entry_site() as site:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                dead = probe.getsockname()[1]
            sound = await site.add_runner("r1", CALLS)
            gone = await site.add_runner("r2", CALLS)
            site.list_runner("r2", CALLS, address=f"127.0.0.1:{dead}")
            gone.stop()
            await site.ready(endpoints=2)
            for _ in range(6):
                assert (await site.call("/book/x")).status == 200
            assert len(sound.ran) == 6

    run_scenario(scenario)
