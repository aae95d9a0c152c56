"""Stopping listeners while requests hang."""

import socket
import threading
import time

import cherrypy

from poplarrelay.web.listener import Listener, ListenerLimits, stop_listeners


class Hanging:
    """Answers when it is let go."""

    def __init__(self):
        self.entered = threading.Event()
        self.release = threading.Event()

    @cherrypy.expose
    def default(self, *args, **kwargs):
        self.entered.set()
        self.release.wait(10.0)
        return b""


def _ask(address):
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    return connection


def test_listeners_with_hanging_requests_stop_in_time():
    # An operator hurries a node whose callers' and peers' listeners each have a request
    # in progress that does not end. The server's own stop waits for it without bound,
    # so the process stayed until the request ended or the operators killed it.
    limits = ListenerLimits(2, 10_000, 10_000)
    roots = [Hanging(), Hanging()]
    listeners = [Listener("127.0.0.1", 0, root, limits) for root in roots]
    for listener in listeners:
        listener.start()
    connections = [_ask(listener.address) for listener in listeners]
    for root in roots:
        assert root.entered.wait(5.0)
    began = time.monotonic()
    stop_listeners(listeners)
    took_s = time.monotonic() - began
    for root in roots:
        root.release.set()
    for connection in connections:
        connection.close()
    # Five seconds from the second signal to the end, less two of the hand-over.
    assert took_s < 3.0
