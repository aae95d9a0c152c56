"""HTTP listeners: each is a CherryPy server with its own thread pool."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import cherrypy
from cheroot import wsgi

from poplarrelay.web.connections import BoundedConnections, TimedConnection
from poplarrelay.web.problems import error_page

__all__ = [
    "BODY_RECEIVED",
    "CLOSE_CONNECTION",
    "QUEUED_AT",
    "Listener",
    "ListenerLimits",
    "make_application",
    "stop_listeners",
]

#: Maximum seconds for which a client can pause while it sends a request.
SENDER_TIMEOUT_S = 10
#: Key of the WSGI environment for a function that closes the connection.
CLOSE_CONNECTION = "poplarrelay.close_connection"
#: Key of the WSGI environment for a function that notes the end of the body.
BODY_RECEIVED = "poplarrelay.body_received"
#: Key of the WSGI environment for the monotonic time at which the request arrived.
QUEUED_AT = "poplarrelay.queued_at"
#: Bytes by which the server's body limit exceeds the handlers' limit. The handlers
#: reject large bodies with a typed problem; the server's limit is only a fallback.
BODY_SLACK_BYTES = 262_144
#: Connections of a listener, idle ones too.
MAX_CONNECTIONS = 1024
#: Seconds between two looks for idle connections and slow senders.
EXPIRATION_INTERVAL_S = 0.1
#: Connections that wait for a thread. Further connections are refused immediately,
#: because no deadline is enforced for a request that has not been read.
ACCEPT_QUEUE_SIZE = 64
#: Seconds that a stop waits for requests in progress. A node must end within five
#: seconds of the second stop signal, and the handover uses two of them.
STOP_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of a listener."""

    threads: int
    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_000_000
    sender_timeout_s: int = SENDER_TIMEOUT_S
    max_connections: int = MAX_CONNECTIONS


def _discard_log(*args: object, **kwargs: object) -> None:
    """Discard the server's log output about requests and broken connections."""


def make_application(root: object) -> cherrypy.Application:
    """Return a CherryPy application for a tree of handlers.

    Notes
    -----
    The handlers read the bodies, because each handler has its own size limit. A caller
    receives only the kind of a failure, no message or traceback.
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
    application.log.access = _discard_log
    return application


class _TimestampingServer(wsgi.Server):
    """Server that records when a connection with a request was queued for a thread.

    Notes
    -----
    A request can wait for a free thread beyond its deadline. The deadline therefore
    counts from the arrival of the request, not from the time a thread accepts it.
    """

    ConnectionClass = TimedConnection
    max_connections = MAX_CONNECTIONS

    def prepare(self) -> None:
        """Bind the address, and bound the connections."""
        super().prepare()
        self._connections.close()
        self._connections: Any = BoundedConnections(self, self.max_connections)

    def process_conn(self, conn: Any) -> None:
        conn.queued_at = time.monotonic()
        self._connections.dispatch(conn, self.requests._queue)


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that gives handlers the arrival time and a way to close.

    Notes
    -----
    A handler closes the connection when it rejects a body. Otherwise the server reads
    the rest of the body before it responds, so a sender that stops gets no response.
    """

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()
        environ[CLOSE_CONNECTION] = self._close
        environ[BODY_RECEIVED] = self._note_body
        environ[QUEUED_AT] = getattr(self.req.conn, "queued_at", time.monotonic())
        return environ

    def _close(self) -> None:
        self.req.close_connection = True

    def _note_body(self) -> None:
        self.req.conn.waits_since = None


class Listener:
    """HTTP server on one address.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port, 0 for any free port.
    root : object
        CherryPy tree of handlers.
    limits : ListenerLimits
        Limits of the listener.
    """

    def __init__(
        self, host: str, port: int, root: object, limits: ListenerLimits
    ) -> None:
        self._server = _TimestampingServer(
            (host, port),
            make_application(root),
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=128,
            timeout=limits.sender_timeout_s,
            shutdown_timeout=1,
            accepted_queue_size=ACCEPT_QUEUE_SIZE,
            accepted_queue_timeout=0,
        )
        self._server.max_connections = limits.max_connections
        self._server.expiration_interval = EXPIRATION_INTERVAL_S
        self._server.gateway = _Gateway
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes + BODY_SLACK_BYTES
        self._server.error_log = _discard_log  # type: ignore[method-assign]
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return the bound address as ``host:port``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and serve it in a new thread.

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
        """Stop accepting and wait up to `STOP_TIMEOUT_S` for requests in progress."""
        stop_listeners([self])

    def begin_stop(self) -> threading.Thread:
        """Stop accepting and return the thread that waits for requests in progress."""
        thread = threading.Thread(target=self._server.stop, daemon=True)
        thread.start()
        return thread


def stop_listeners(listeners: Sequence[Listener]) -> None:
    """Stop several listeners and wait for their requests in progress.

    Notes
    -----
    The server's stop method waits for handlers without a bound. A node with a request
    in progress ended 5.5 s after its second stop signal, although the documented limit
    is five seconds; a hanging handler held a listener for 10 s. All listeners share
    one timeout, `STOP_TIMEOUT_S`, so the time does not grow with their number.
    """
    threads = [listener.begin_stop() for listener in listeners]
    ends_at = time.monotonic() + STOP_TIMEOUT_S
    for thread in threads:
        thread.join(timeout=max(0.0, ends_at - time.monotonic()))
