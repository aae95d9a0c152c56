"""Callers that read nothing for some time after the head of a response."""

import asyncio
import socket

import pytest

from poplarrelay.entry.http.sockets import IDLE_SILENCE_MS
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)

BODY_BYTES = 400_000
#: Size of a caller's receive buffer, and seconds for which it reads nothing, longer
#: than an idle connection may be silent.
RECEIVE_BUFFER, PAUSE_S = 16_384, 2.6
DEADLINE_MS = 9000


async def call_slowly(site, path, request, pause_s):
    """Send a request and read its response after a pause; return what arrived."""
    loop = asyncio.get_running_loop()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    caller.setblocking(False)
    await loop.sock_connect(caller, site.address())
    headers = site.headers(
        X_Poplarrelay_Attempt_Id=request,
        X_Poplarrelay_Deadline_Ms=str(DEADLINE_MS),
        Connection="close",
    )
    lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
    await loop.sock_sendall(
        caller, b"POST " + path + b" HTTP/1.1\r\n" + lines + b"\r\n"
    )
    received = await loop.sock_recv(caller, 100)
    await asyncio.sleep(pause_s)
    while data := await loop.sock_recv(caller, 65_536):
        received += data
    caller.close()
    return received


@pytest.mark.parametrize("requests", [1, 4])
def test_response_is_delivered_to_a_caller_that_pauses(requests):
    # Guards against responses that the kernel cuts while the caller's window is closed.
    async def scenario():
        async with run_entry_site() as site:
            routes = entry_configuration()["routes"]
            slow = [{**route, "timeoutMs": DEADLINE_MS} for route in routes]
            site.configure(2, routes=slow)
            runner = await site.add_runner("r1", CALLS, min_body_bytes=BODY_BYTES)
            await site.ready(endpoints=1)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            names = [f"one-{number}" for number in range(requests)]
            found = await asyncio.gather(
                *(call_slowly(site, b"/book/x", name, PAUSE_S) for name in names)
            )
            for name, received in zip(names, found, strict=True):
                assert received.endswith(runner.body_of(name))
            assert len(runner.ran) == requests

    assert 1000 * PAUSE_S > IDLE_SILENCE_MS
    run_scenario(scenario)


def test_stream_goes_on_for_a_caller_that_pauses():
    # Guards against streams that the kernel cuts while the caller's window is closed.
    async def scenario():
        async with run_entry_site() as site:
            label = " " + "x" * 100_000
            runner = await site.add_runner(
                "r1", STREAMS, events=20, pause_s=0.001, label=label
            )
            await site.ready(endpoints=1)
            received = await call_slowly(site, b"/draft/x", "one", PAUSE_S)
            assert received.count(b"x" * 100_000) == 20
            assert received.endswith(b"0\r\n\r\n")
            assert len(runner.ran) == 1

    run_scenario(scenario)
