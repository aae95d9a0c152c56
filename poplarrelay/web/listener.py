"""A listener: CherryPy's server with a thread pool of its own."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import cherrypy
from cheroot import wsgi

from poplarrelay.web.problems import error_page

__all__ = [
    "CLOSE_CONNECTION",
    "QUEUED_AT",
    "Listener",
    "ListenerLimits",
    "make_application",
    "stop_listeners",
]

#: Seconds that a sender may pause within a request.
SENDER_TIMEOUT_S = 10
#: Key in the WSGI environment of a function that closes the connection.
CLOSE_CONNECTION = "poplarrelay.close_connection"
#: Key in the WSGI environment of the monotonic time at which the request came.
QUEUED_AT = "poplarrelay.queued_at"
#: Bytes by which the server's own bound on bodies is wider than the handlers', so
#: that handlers refuse with a typed problem and the server only backs them up.
BODY_SLACK_BYTES = 262_144
#: Connections that wait for a thread; more are refused at once, since a request
#: that waits unread has no deadline that anyone watches.
ACCEPT_QUEUE = 64
#: Seconds that a stop waits for requests in progress: a node that is told twice to
#: leave has five from then to its end, of which the hand-over takes two.
STOP_S = 2.0


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Bounds of a listener."""

    threads: int
    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_000_000
    sender_timeout_s: int = SENDER_TIMEOUT_S


def _ignore(*args: object, **kwargs: object) -> None:
    """Drop what the server would write about requests and broken connections."""


def make_application(root: object) -> cherrypy.Application:
    """Return a CherryPy application for a tree of handlers.

    Notes
    -----
    Bodies are read by the handlers, which know how large they may be. Nothing of
    a failure but its kind is told to the caller.
    """
    config: dict[str, dict[str, Any]] = {
        "/": {
            "request.show_tracebacks": False,
            "request.process_request_body": False,
            "error_page.default": error_page,
            "tools.trailing_slash.on": False,
            "tools.log_headers.on": False,
            "tools.log_tracebacks.on": True,
        }
    }
    application = cherrypy.Application(root, "", config)
    application.log.screen = False
    application.log.access = _ignore
    return application


class _StampingServer(wsgi.Server):
    """Notes when a connection with a request was queued for a thread.

    Notes
    -----
    A request may wait for a free thread for longer than its caller does. Its
    deadline counts from when it came, not from when a thread took it.
    """

    def process_conn(self, conn: Any) -> None:
        conn.queued_at = time.monotonic()
        super().process_conn(conn)


class _Gateway(wsgi.Gateway_10):
    """Tells a handler when its request came, and lets it close the connection.

    Notes
    -----
    Without the latter the server reads the rest of a body that the handler has refused
    before it sends the answer, so a sender that stops would never get one.
    """

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()
        environ[CLOSE_CONNECTION] = self._close
        environ[QUEUED_AT] = getattr(self.req.conn, "queued_at", time.monotonic())
        return environ

    def _close(self) -> None:
        self.req.close_connection = True


class Listener:
    """A server on one address.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port, 0 for any free one.
    root : object
        CherryPy tree of handlers.
    limits : ListenerLimits
        Bounds.
    """

    def __init__(
        self, host: str, port: int, root: object, limits: ListenerLimits
    ) -> None:
        self._server = _StampingServer(
            (host, port),
            make_application(root),
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=128,
            timeout=limits.sender_timeout_s,
            shutdown_timeout=1,
            accepted_queue_size=ACCEPT_QUEUE,
            accepted_queue_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes + BODY_SLACK_BYTES
        self._server.error_log = _ignore  # type: ignore[method-assign]
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind, and serve on a thread of its own.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"listener-{self.address}", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop to accept, and wait a moment for requests in progress."""
        stop_listeners([self])

    def begin_stop(self) -> threading.Thread:
        """Stop to accept, and return the thread that waits for requests in progress."""
        thread = threading.Thread(target=self._server.stop, daemon=True)
        thread.start()
        return thread


def stop_listeners(listeners: Sequence[Listener]) -> None:
    """Stop several listeners, and wait a moment for all their requests in progress.

    Notes
    -----
    The server's own stop waits for a handler however long that takes. A node with a
    request in progress ended 5.5 s after its second stop signal, where operators are
    told five; a handler that hangs held a listener for 10 s. All listeners share one
    wait, so the time does not grow with their number.
    """
    threads = [listener.begin_stop() for listener in listeners]
    ends_at = time.monotonic() + STOP_S
    for thread in threads:
        thread.join(timeout=max(0.0, ends_at - time.monotonic()))
