"""Tests of listeners with threads beside clients that do not behave."""

import socket
import threading
import time

import cherrypy
import pytest

from poplarrelay.exception import MemoryFull
from poplarrelay.web.bodies import BODIES, MAX_HELD_BYTES, BodyBudget
from poplarrelay.web.exchange import read_body, reject
from poplarrelay.web.listener import Listener, ListenerLimits

THREADS = 4
GET = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
WAIT_S = 5.0


class Handler:
    @cherrypy.expose
    def default(self, *path, **query):
        try:
            return str(len(read_body(1_000_000))).encode()
        except MemoryFull as error:
            raise reject(error) from None


@pytest.fixture
def listener():
    limits = ListenerLimits(THREADS, 10_000, 1_000_000, max_connections=40)
    running = Listener("127.0.0.1", 0, Handler(), limits)
    running.start()
    yield running
    running.stop()


def connect(listener, content=b""):
    host, port = listener.address.split(":")
    connection = socket.create_connection((host, int(port)), timeout=WAIT_S)
    connection.sendall(content)
    return connection


def status_of(listener, content=GET):
    with connect(listener, content) as connection:
        return connection.makefile("rb").readline().split()[1]


@pytest.mark.parametrize(
    "content", [b"", b"GET / HTTP/1.1\r\nHo", HEAD, HEAD + 99_999 * b"x", 2000 * GET]
)
def test_callers_are_served_beside_connections_that_never_finish(listener, content):
    # Guards against silent and unfinished connections that keep all threads.
    crowd = [connect(listener, content) for _ in range(60)]
    try:
        time.sleep(0.5)
        assert status_of(listener) == b"200"
    finally:
        for connection in crowd:
            connection.close()


def test_request_that_arrives_in_pieces_is_served_in_calm(listener):
    with connect(listener, b"POST / HTTP/1.1\r\n") as connection:
        for piece in (b"Host: h\r\nContent-Length: 6\r\n\r\n", b"abc", b"def"):
            time.sleep(0.2)
            connection.sendall(piece)
        reply = connection.makefile("rb")
        assert reply.readline().split()[1] == b"200"


def test_connections_are_bounded(listener):
    crowd = [connect(listener) for _ in range(100)]
    time.sleep(0.5)
    open_count = listener._server._connections._count()
    assert open_count <= 40
    for connection in crowd:
        connection.close()


def test_bodies_beyond_the_memory_are_refused_and_freed(listener):
    BODIES.hold(MAX_HELD_BYTES - 1000)
    try:
        assert status_of(listener, HEAD + 100_000 * b"x") == b"503"
    finally:
        BODIES.free(MAX_HELD_BYTES - 1000)
    assert status_of(listener, HEAD + 100_000 * b"x") == b"200"
    deadline = time.monotonic() + WAIT_S
    while BODIES.held_bytes and time.monotonic() < deadline:
        time.sleep(0.01)
    assert BODIES.held_bytes == 0


def test_budget_of_bodies_counts_over_threads():
    budget, refused = BodyBudget(1000), []

    def hold():
        for _ in range(300):
            try:
                budget.hold(1)
            except MemoryFull:
                refused.append(1)

    threads = [threading.Thread(target=hold) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert budget.held_bytes == 1000
    assert len(refused) == 200
