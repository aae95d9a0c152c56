"""Connections of a threaded server: bounded, and without a thread until they send."""

from __future__ import annotations

import re
import socket
import time
from contextlib import suppress
from queue import Full, Queue
from threading import Lock
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection, HTTPRequest

from poplarrelay.entry.caller_budget import detect_descriptors
from poplarrelay.entry.http.accepting import OUT_OF_DESCRIPTORS

__all__ = ["BoundedConnections", "TimedConnection", "is_whole_request"]

#: Seconds for which a connection may hold a thread while it sends a request, and while
#: it takes a refusal, if others wait for a thread. A refusal fits into the system's
#: buffer unless its caller has left others unread.
SENDING_S, REFUSAL_S = 0.5, 0.1
#: Seconds until a server without a descriptor accepts again.
EXHAUSTED_PAUSE_S = 0.05
#: Largest share of the process's descriptors for one listener.
DESCRIPTOR_SHARE = 0.3
#: Share of the connections from which those without a request give way first.
NEW_SHARE = 0.5
#: Share of the threads for requests that have not arrived whole.
UNFINISHED_SHARE = 0.5
#: Largest beginning of a request that is looked at in bytes.
PEEK_BYTES = 65_536
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,12})[ \t]*\r\n", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding:[^\r]*chunked", re.IGNORECASE)
_LAST_CHUNK = b"0\r\n\r\n"


def is_whole_request(received: bytes) -> bool:
    r"""Return whether some bytes begin with a whole request.

    Examples
    --------
    >>> is_whole_request(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    True
    >>> is_whole_request(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcd")
    False
    """
    head, end, body = received.partition(b"\r\n\r\n")
    if not end:
        return False
    head += b"\r\n"
    if _CHUNKED.search(head):
        return body.endswith(_LAST_CHUNK)
    length = _LENGTH.search(head)
    return length is None or len(body) >= int(length.group(1))


class TimedRequest(HTTPRequest):
    """Request that notes on its connection since when a thread waits for its peer."""

    def parse_request(self) -> None:
        """Read the head."""
        self.conn.waits_since = time.monotonic()
        super().parse_request()

    def respond(self) -> None:
        """Run the handler, which may read a body, and send its answer."""
        if not self.chunked_read and not int(
            self.inheaders.get(b"Content-Length", 0) or 0
        ):
            self.conn.waits_since = None
        super().respond()
        self.conn.waits_since = None

    def send_headers(self) -> None:
        """Send the head of the answer; its caller must take a refusal soon."""
        status: Any = self.status
        if status[:1] == b"4":
            self.conn.waits_since = time.monotonic() + REFUSAL_S - SENDING_S
        super().send_headers()


class TimedConnection(HTTPConnection):
    """Connection whose requests note how long a thread waits for its peer.

    Attributes
    ----------
    requests_served : int
        Requests that were answered on the connection.
    waits_since : float or None
        Monotonic time since which a thread waits for the peer, None if none does. It is
        earlier for a refusal, which must be taken sooner.
    unfinished : bool
        Whether it holds one of the threads for requests that have not arrived whole.
    """

    RequestHandlerClass = TimedRequest
    requests_served = 0
    waits_since: float | None = None
    unfinished = False

    def communicate(self) -> bool:
        """Serve one request."""
        try:
            return bool(super().communicate())
        finally:
            self.server._connections.end_turn(self)

    def has_whole_request(self) -> bool:
        """Return whether the next request has arrived whole."""
        if self.rfile.has_data():
            return True
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            received = self.socket.recv(PEEK_BYTES, flags)
        except OSError:
            return True
        return not received or is_whole_request(received)


_Manager: Any = ConnectionManager


class BoundedConnections(_Manager):
    """Connections that wait for requests, with a largest number.

    Parameters
    ----------
    server : HTTPServer
        The server.
    max_connections : int
        Largest number of connections, also those in threads. They never take more than
        `DESCRIPTOR_SHARE` of the descriptors that the process may open now.

    Notes
    -----
    A new connection waits here until it sends something, as kept ones do. Otherwise as
    many silent ones as there are threads keep all others waiting. Those that have sent
    a part of a request share one half of the threads.
    """

    def __init__(self, server: Any, max_connections: int) -> None:
        super().__init__(server)
        self._max_connections = max_connections
        self._unfinished: dict[Any, None] = {}
        self._unfinished_in_threads = 0
        self._lock = Lock()

    def put(self, conn: Any) -> None:
        """Wait for the next request on a connection."""
        conn.requests_served += 1
        self._wait(conn)

    def _wait(self, conn: Any) -> None:
        conn.waits_since = None
        super().put(conn)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection may be kept for further requests."""
        kept = sum(conn.requests_served > 0 for _, conn in self._idle())
        limit = self.server.keep_alive_conn_limit
        return bool(limit is None or kept < limit)

    def _idle(self) -> list[tuple[int, Any]]:
        found = [c for c in self._selector.connections if c[1] is not self.server]
        return sorted(found, key=lambda each: each[1].last_used)

    def _run(self, expiration_interval: float) -> None:
        """Wait for connections and requests until the server stops.

        A connection is accepted after all that are ready were handed on: one that gives
        way frees its descriptor, which the new one gets.
        """
        expired_at = time.time()
        while not self._stop_requested:
            try:
                ready = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                self._remove_invalid_sockets()
                continue
            for descriptor, conn in ready:
                if conn is not self.server:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(conn)
            if any(conn is self.server for _, conn in ready):
                self._accept()
            now = time.time()
            if now - expired_at > expiration_interval:
                self._expire(now - self.server.timeout)
                expired_at = now

    def _accept(self) -> None:
        """Accept a connection, and wait until it sends something."""
        descriptors = int(DESCRIPTOR_SHARE * detect_descriptors())
        most = min(self._max_connections, descriptors)
        if self._count() >= most and not self._close_idle():
            time.sleep(EXHAUSTED_PAUSE_S)
            return
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in OUT_OF_DESCRIPTORS:
                raise
            self._close_idle()
            time.sleep(EXHAUSTED_PAUSE_S)
            return
        if conn is not None:
            self._wait(conn)

    def _count(self) -> int:
        requests = self.server.requests
        queued = requests._queue.qsize() + self.server._unservicable_conns.qsize()
        busy = sum(thread.conn is not None for thread in requests._threads)
        return int(self._num_connections + queued + busy + len(self._unfinished))

    def _close_idle(self) -> bool:
        """Close the connection that gives way first; return whether there is one.

        These are unfinished and idle ones, those that have waited longest first, and
        then queued ones.
        """
        with self._lock:
            conn = next(iter(self._unfinished), None)
            if conn is not None and len(self._unfinished) > self._num_connections:
                del self._unfinished[conn]
                conn.close()
                return True
        idle = self._idle()
        new = [each for each in idle if not each[1].requests_served]
        if new and len(new) >= NEW_SHARE * len(idle):
            idle = new
        if idle:
            descriptor, conn = idle[0]
            self._selector.unregister(descriptor)
        else:
            conn = self._take_queued(self.server.requests._queue)
        if conn is not None:
            conn.close()
        return conn is not None

    # threads

    def dispatch(self, conn: Any, queue: Queue[Any]) -> None:
        """Queue a connection for a thread, once its request has arrived or has a turn.

        If the queue is full, the connection in it that was answered most often gives
        way, and among these the one that has waited longest.
        """
        if not conn.has_whole_request() and not self._begin_turn(conn):
            with self._lock:
                self._unfinished[conn] = None
            return
        while True:
            try:
                queue.put_nowait(conn)
                return
            except Full:
                pass
            victim = self._take_queued(queue)
            self.server._unservicable_conns.put(conn if victim is None else victim)
            if victim is None:
                self.end_turn(conn)
                return

    def _take_queued(self, queue: Queue[Any]) -> Any:
        """Remove the queued connection that gives way, None if none is queued."""
        with queue.mutex:
            waiting = [each for each in queue.queue if hasattr(each, "close")]
            if not waiting:
                return None
            victim = max(waiting, key=lambda conn: conn.requests_served)
            queue.queue.remove(victim)
        self.end_turn(victim)
        return victim

    def _begin_turn(self, conn: Any) -> bool:
        """Let a connection hold a thread for unfinished requests if one is left."""
        places = max(1, int(UNFINISHED_SHARE * len(self.server.requests._threads)))
        with self._lock:
            if self._unfinished_in_threads >= places:
                return False
            conn.unfinished = True
            self._unfinished_in_threads += 1
            return True

    def end_turn(self, conn: Any) -> None:
        """Note that a connection no longer holds a thread for unfinished requests."""
        with self._lock:
            if conn.unfinished:
                conn.unfinished = False
                self._unfinished_in_threads -= 1

    def _dispatch_unfinished(self) -> None:
        """Queue those whose request has arrived, and some of the others."""
        with self._lock:
            waiting, self._unfinished = list(self._unfinished), {}
        for conn in waiting:
            self.dispatch(conn, self.server.requests._queue)

    def _expire(self, threshold: float) -> None:
        """Close idle connections, and free threads that wait for slow peers."""
        super()._expire(threshold)
        with self._lock:
            late = [c for c in self._unfinished if c.last_used < threshold]
            for conn in late:
                del self._unfinished[conn]
        for conn in late:
            conn.close()
        self._dispatch_unfinished()
        now, requests = time.monotonic(), self.server.requests
        since = [
            (conn.waits_since, conn)
            for conn in [thread.conn for thread in list(requests._threads)]
            if conn is not None and conn.waits_since is not None
        ]
        waiting = requests._queue.qsize() + len(self._unfinished)
        slow = sum(now - s > self.server.timeout for s, _ in since)
        for waits_since, conn in sorted(since, key=lambda each: each[0])[
            : max(slow, waiting)
        ]:
            if now - waits_since > SENDING_S:
                with suppress(OSError):
                    conn.socket.shutdown(socket.SHUT_RDWR)
