"""Tests of stopping listeners with requests in progress."""

import socket
import threading
import time

import cherrypy

from poplarrelay.web.listener import Listener, ListenerLimits, stop_listeners


class BlockingHandler:
    """Handler that answers when the test releases it."""

    def __init__(self):
        self.entered = threading.Event()
        self.release = threading.Event()

    @cherrypy.expose
    def default(self, *args, **kwargs):
        self.entered.set()
        self.release.wait(10.0)
        return b""


def _send_request(address):
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    return connection


def test_listeners_with_hanging_requests_stop_in_time():
    # Both listeners of a node have a request in progress that hangs, and the operator
    # sends a second stop signal. The server's stop method waits without a bound, so the
    # process ran until the requests ended or an operator killed it.
    limits = ListenerLimits(2, 10_000, 10_000)
    roots = [BlockingHandler(), BlockingHandler()]
    listeners = [Listener("127.0.0.1", 0, root, limits) for root in roots]
    for listener in listeners:
        listener.start()
    connections = [_send_request(listener.address) for listener in listeners]
    for root in roots:
        assert root.entered.wait(5.0)
    began = time.monotonic()
    stop_listeners(listeners)
    took_s = time.monotonic() - began
    for root in roots:
        root.release.set()
    for connection in connections:
        connection.close()
    # The process must end within five seconds of the second signal; the handover uses
    # two of them.
    assert took_s < 3.0
