"""Simulated callers of a soak run, with persistent connections to the nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from itertools import count
from random import Random
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.http.connection import Connection, Headers
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import HOST, EntrySite, entry_configuration
from poplarrelay.testing.soak.ledger import Ending, SentRequest

__all__ = ["KEYS", "Caller", "configuration_of", "route_timeouts_s"]

#: API keys by team.
KEYS = {"alpha": "key-of-alpha", "beta": "key-of-beta"}
#: Kinds of request, with two flags: whether a request of the kind is allowed to run
#: more than once, and whether its response is a stream.
REQUEST_KINDS = {
    "book": (False, False),
    "pay": (False, False),
    "look": (True, False),
    "draft": (True, True),
    "brief": (False, True),
}
#: Deadline of a request, in seconds after the caller sends it.
DEADLINE_S = 4.0
#: Seconds after the deadline within which the request must have ended.
MARGIN_S = 2.0
#: Seconds within which a new connection must open.
CONNECT_S = 1.0
#: Maximum time in seconds between two requests of a caller.
MAX_REQUEST_GAP_S = 0.15
#: Share of the requests that their caller abandons, and the maximum time in seconds
#: after which it does.
ABANDON_SHARE, MAX_ABANDON_S = 0.05, 0.3

_REQUEST_NUMBERS = count(1)


class _SplitTransport(asyncio.Transport):
    """Transport that writes the second half of the data some time later."""

    def __init__(self, transport: asyncio.Transport, connection: SplitConnection):
        super().__init__()
        self._transport = transport
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write the data, perhaps in two halves."""
        half = len(data) // 2 if self._connection.split_s else len(data)
        self._transport.write(data[:half])
        if half < len(data):
            loop = asyncio.get_running_loop()
            rest = bytes(data[half:])
            loop.call_later(self._connection.split_s, self._transport.write, rest)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a property of the connection."""
        return self._transport.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""
        return self._transport.get_write_buffer_size()

    def pause_reading(self) -> None:
        """Stop reading."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._transport.resume_reading()

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()


class SplitConnection(Connection):
    """Connection that can send a request in two halves.

    Attributes
    ----------
    split_s : float
        Seconds between the two halves of the next request, 0 to send it at once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.split_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        super().connection_made(_SplitTransport(transport, self))


class Caller:
    """A caller that keeps one open connection to each node.

    Parameters
    ----------
    site : EntrySite
        The nodes.
    requests : list of SentRequest
        The caller appends each request that it sends.
    was_paused : callable
        Takes a node and a monotonic time, and returns whether the node was paused at
        any time since then.
    rng : random.Random
        Source of the random choices.
    timeouts_s : dict of str to float
        Time-out of each kind's route in seconds.
    """

    def __init__(
        self,
        site: EntrySite,
        requests: list[SentRequest],
        was_paused: Callable[[str, float], bool],
        rng: Random,
        timeouts_s: dict[str, float],
    ) -> None:
        self._site = site
        self._requests = requests
        self._was_paused = was_paused
        self._rng = rng
        self.timeouts_s = timeouts_s
        self._connections: dict[str, SplitConnection] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                nodes = sorted(self._site.processes)
                await self.send_request(
                    self._rng.choice(nodes), self._rng.choice(list(REQUEST_KINDS))
                )
                await asyncio.sleep(self._rng.uniform(0, MAX_REQUEST_GAP_S))
        finally:
            self.close()

    async def send_request(
        self,
        node: str,
        kind: str,
        body: bytes = b"",
        team: str | None = None,
        headers: Sequence[tuple[bytes, bytes]] = (),
        deadline_s: float = DEADLINE_S,
        split_s: float = 0.0,
    ) -> SentRequest:
        """Send one request to a node, and wait until it ends.

        Parameters
        ----------
        body : bytes
            Body of the request; its id by default.
        team : str or None
            The caller's team, a random one by default.
        deadline_s : float
            Seconds after which the caller no longer waits.
        split_s : float
            Seconds between the two halves of the request.
        """
        repeatable, streams = REQUEST_KINDS[kind]
        team = team or self._rng.choice(list(KEYS))
        request_id = f"soak-{next(_REQUEST_NUMBERS)}"
        sent = SentRequest(
            request_id, node, kind, team, repeatable, streams, custom_body=body
        )
        sent.timeout_s = min(deadline_s, self.timeouts_s[kind])
        self._requests.append(sent)
        sent.sent_at = sent_at = monotonic()
        sent.body_sent_at = sent_at + split_s
        abandon_s = None
        if self._rng.random() < ABANDON_SHARE:
            abandon_s = self._rng.uniform(0, MAX_ABANDON_S)
        try:
            async with asyncio.timeout(abandon_s or deadline_s + MARGIN_S):
                await self._exchange(sent, headers, deadline_s, split_s)
        except ExchangeFailed:
            sent.ending = sent.ending or Ending.CUT
        except TimeoutError:
            sent.ending = Ending.STILL_OPEN if abandon_s is None else Ending.ABANDONED
            sent.node_was_paused = self._was_paused(node, sent_at)
        sent.ended_at = monotonic()
        return sent

    def close(self) -> None:
        """Abort the open connections."""
        for connection in self._connections.values():
            connection.abort()

    async def _exchange(
        self,
        sent: SentRequest,
        more_headers: Sequence[tuple[bytes, bytes]],
        deadline_s: float,
        split_s: float,
    ) -> None:
        connection = await self._connect(sent)
        reusable = False
        try:
            reusable = await self._send_and_receive(
                connection, sent, more_headers, deadline_s, split_s
            )
        finally:
            # This also runs when the caller abandons the request: the node notices it
            # only by the closed connection.
            if reusable:
                self._connections[sent.node] = connection
            else:
                connection.abort()

    async def _send_and_receive(
        self,
        connection: SplitConnection,
        sent: SentRequest,
        more_headers: Sequence[tuple[bytes, bytes]],
        deadline_s: float,
        split_s: float,
    ) -> bool:
        """Send a request and receive the response.

        Return whether the connection can be used again.
        """
        body = sent.request_body
        headers: Headers = [
            (b"Host", HOST.encode()),
            (b"X-Poplarrelay-Attempt-Id", sent.request_id.encode()),
            (b"X-Poplarrelay-Deadline-Ms", str(int(1000 * deadline_s)).encode()),
            (b"Authorization", f"Bearer {KEYS[sent.team]}".encode()),
            (b"Content-Length", str(len(body)).encode()),
            *more_headers,
        ]
        connection.split_s = split_s
        connection.send(b"POST", f"/{sent.kind}/x".encode(), headers, body)
        response = await connection.complete_response(1_000_000)
        sent.status = response.status
        sent.body = response.body
        sent.ending = Ending.ANSWERED
        return connection.prepare_reuse(response.headers, monotonic())

    async def _connect(self, sent: SentRequest) -> SplitConnection:
        kept = self._connections.pop(sent.node, None)
        if kept is not None and kept.usable(monotonic()):
            return kept
        try:
            connection = await SplitConnection.open(
                *self._site.address(sent.node), CONNECT_S
            )
        except ExchangeFailed:
            sent.ending = Ending.REFUSED_CONNECTION
            raise
        assert isinstance(connection, SplitConnection)
        return connection


def route_timeouts_s() -> dict[str, float]:
    """Return the time-outs of the example configuration's routes in seconds."""
    routes = entry_configuration()["routes"]
    return {route["name"]: route["timeoutMs"] / 1000 for route in routes}


async def configuration_of(site: EntrySite, node: str) -> int:
    """Return the configuration version in force at a node, 0 if it does not answer."""
    try:
        answer = await site.get("control", "/status", node)
    except (ExchangeFailed, TimeoutError):
        return 0
    return int(orjson.loads(answer.body)["configuration"])
