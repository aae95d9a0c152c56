"""Late copies of an answer to an earlier attempt of the same request."""

import asyncio
import socket
import time

import pytest

from poplarrelay.entry.answers import UsedConnections
from poplarrelay.entry.http.connection import Connection
from poplarrelay.entry.http.pool import ConnectionPool, JsonClient
from poplarrelay.identifiers import RequestId
from poplarrelay.standins.users.runner import Fault
from poplarrelay.testing.entry_site import (
    CALLS,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)

NOT_RUN = (408, 421, 429, 503)
ID = b"X-Poplarrelay-Attempt-Id: {id}\r\n"
REFUSED = ID + b"X-Poplarrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#: Copies of what an endpoint may have answered to an earlier attempt.
COPIES = {
    "full": b"HTTP/1.1 503 Full\r\n" + REFUSED,
    "too many": b"HTTP/1.1 429 Later\r\n" + REFUSED,
    "misdirected": b"HTTP/1.1 421 Other\r\n" + ID + b"Content-Length: 0\r\n\r\n",
}
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


def routes(**changes):
    value = entry_configuration()
    return [
        {**route, **changes} if route["name"] == "pay" else route
        for route in value["routes"]
    ]


@pytest.mark.parametrize("attempts", [2, 3, 4])
@pytest.mark.parametrize("endpoints", [1, 2])
@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES)
def test_late_rejection_is_not_the_answer_to_a_further_attempt(
    copy, endpoints, attempts
):
    # Guards against "not run" for a request that runs, and against a second run of it.
    async def scenario():
        async with run_entry_site() as site:
            site.configure(2, routes=routes(maxAttempts=attempts))
            names = [f"r{number}" for number in range(endpoints)]
            runners = [await site.add_runner(name, CALLS) for name in names]
            await site.ready(endpoints=endpoints)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            # The connections of these requests are kept.
            await asyncio.gather(*(site.call("/look/x") for _ in range(6)))
            for number in range(4):
                request = f"one-{number}"
                for runner in runners:
                    runner.faults[:] = [Fault.SHED]
                    runner.late_answers[:] = [copy.replace(b"{id}", request.encode())]
                answer = await site.call("/pay/x", X_Poplarrelay_Attempt_Id=request)
                ran = [
                    each
                    for runner in runners
                    for each in runner.ran
                    if each.attempt == request
                ]
                assert len(ran) <= 1
                assert not (ran and answer.status in NOT_RUN)
                if attempts > endpoints and number == 0:
                    # Later requests can meet a copy that was sent to another one.
                    assert answer.status == 200

    run_scenario(scenario)


def test_requests_of_one_id_share_the_connections_that_they_avoid():
    # Guards against a late answer to one of two requests that have the same id.
    used: UsedConnections[str] = UsedConnections()
    with used.of(RequestId("a")) as first:
        with used.of(RequestId("a")) as second, used.of(RequestId("b")) as other:
            second.add("1")
            other.add("2")
        assert first == {"1"}
    assert len(used) == 0
    with used.of(RequestId("a")) as later:
        assert not later


async def open_pair(listener, pool, count=1):
    """Return kept connections to a listening socket, and its ends of them."""
    address = host, port = listener.getsockname()
    ends = []
    for _ in range(count):
        connection = await Connection.open(host, port, 1.0)
        pool.add_idle(address, connection)
        ends.append((connection, listener.accept()[0]))
    return address, ends


def test_avoided_connections_stay_idle_in_their_order():
    # Guards against kept connections that are lost to other requests.
    async def scenario():
        pool = ConnectionPool(1.0)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address, ends = await open_pair(listener, pool, 3)
            first, second, third = (connection for connection, _ in ends)
            taken = [
                pool.take_idle(address, avoided=[second, third]),
                pool.take_idle(address, avoided=[first, second, third]),
                *(pool.take_idle(address) for _ in range(3)),
            ]
            assert taken == [first, None, third, second, None]
            for connection, end in ends:
                connection.abort()
                end.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("data", [b"HTTP/1.1 503 Full\r\n\r\n", b""])
def test_kept_connection_with_unread_bytes_is_not_used(data):
    # Guards against bytes that the event loop reads after the next request is sent.
    async def scenario():
        pool = ConnectionPool(1.0)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address, ends = await open_pair(listener, pool)
            ((connection, end),) = ends
            end.sendall(data)
            end.shutdown(socket.SHUT_WR)
            # The event loop must not run until the bytes have arrived.
            time.sleep(0.05)
            assert pool.take_idle(address) is None
            assert connection.ended
            end.close()

    asyncio.run(scenario())


def test_second_response_is_not_the_response_to_the_next_call():
    # Guards against a call to the store whose response belongs to an earlier call.
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            client = JsonClient(listener.getsockname(), 1.0, 1000)

            async def answer(end, response):
                await loop.sock_recv(end, 1000)
                await loop.sock_sendall(end, response)

            call = asyncio.create_task(client.call("GET", "/first", [], b""))
            end, _ = await loop.sock_accept(listener)
            await answer(end, RESPONSE + b"first")
            assert (await call).body == b"first"
            end.sendall(RESPONSE + b"again")
            time.sleep(0.05)
            call = asyncio.create_task(client.call("GET", "/second", [], b""))
            second, _ = await asyncio.wait_for(loop.sock_accept(listener), 2.0)
            await answer(second, RESPONSE + b"other")
            assert (await call).body == b"other"
            client.close()
            end.close()
            second.close()

    asyncio.run(scenario())
