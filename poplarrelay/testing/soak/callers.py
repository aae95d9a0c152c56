"""Simulated callers of a soak run, with persistent connections to the nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from itertools import count
from random import Random
from time import monotonic

import orjson

from poplarrelay.entry.http.connection import Connection, Headers
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import HOST, EntrySite
from poplarrelay.testing.soak.ledger import Ending, SentRequest

__all__ = ["KEYS", "Caller"]

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
    """

    def __init__(
        self,
        site: EntrySite,
        requests: list[SentRequest],
        was_paused: Callable[[str, float], bool],
        rng: Random,
    ) -> None:
        self._site = site
        self._requests = requests
        self._was_paused = was_paused
        self._rng = rng
        self._connections: dict[str, Connection] = {}

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
            for connection in self._connections.values():
                connection.abort()

    async def send_request(
        self,
        node: str,
        kind: str,
        body: bytes = b"",
        team: str | None = None,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> SentRequest:
        """Send one request to a node, and wait until it ends.

        The body of the request defaults to its id, and the team is random by default.
        """
        repeatable, streams = REQUEST_KINDS[kind]
        team = team or self._rng.choice(list(KEYS))
        request_id = f"soak-{next(_REQUEST_NUMBERS)}"
        sent = SentRequest(
            request_id, node, kind, team, repeatable, streams, custom_body=body
        )
        self._requests.append(sent)
        sent.sent_at = sent_at = monotonic()
        abandon_s = None
        if self._rng.random() < ABANDON_SHARE:
            abandon_s = self._rng.uniform(0, MAX_ABANDON_S)
        try:
            async with asyncio.timeout(abandon_s or DEADLINE_S + MARGIN_S):
                await self._exchange(sent, headers)
        except ExchangeFailed:
            sent.ending = sent.ending or Ending.CUT
        except TimeoutError:
            sent.ending = Ending.STILL_OPEN if abandon_s is None else Ending.CUT
            sent.node_was_paused = self._was_paused(node, sent_at)
        return sent

    async def _exchange(
        self, sent: SentRequest, more_headers: Sequence[tuple[bytes, bytes]]
    ) -> None:
        connection = await self._connect(sent)
        reusable = False
        try:
            reusable = await self._send_and_receive(connection, sent, more_headers)
        finally:
            # This also runs when the caller abandons the request: the node notices it
            # only by the closed connection.
            if reusable:
                self._connections[sent.node] = connection
            else:
                connection.abort()

    async def _send_and_receive(
        self,
        connection: Connection,
        sent: SentRequest,
        more_headers: Sequence[tuple[bytes, bytes]],
    ) -> bool:
        """Send a request and receive the response.

        Return whether the connection can be used again.
        """
        body = sent.request_body
        headers: Headers = [
            (b"Host", HOST.encode()),
            (b"X-Poplarrelay-Attempt-Id", sent.request_id.encode()),
            (b"X-Poplarrelay-Deadline-Ms", str(int(1000 * DEADLINE_S)).encode()),
            (b"Authorization", f"Bearer {KEYS[sent.team]}".encode()),
            (b"Content-Length", str(len(body)).encode()),
            *more_headers,
        ]
        connection.send(b"POST", f"/{sent.kind}/x".encode(), headers, body)
        response = await connection.complete_response(1_000_000)
        sent.status = response.status
        sent.body = response.body
        sent.ending = Ending.ANSWERED
        sent.ended_at = monotonic()
        return connection.prepare_reuse(response.headers, monotonic())

    async def _connect(self, sent: SentRequest) -> Connection:
        connection = self._connections.pop(sent.node, None)
        now = monotonic()
        if connection is not None and connection.usable(now):
            return connection
        try:
            return await Connection.open(*self._site.address(sent.node), CONNECT_S)
        except ExchangeFailed:
            sent.ending = Ending.REFUSED_CONNECTION
            raise


async def configuration_of(site: EntrySite, node: str) -> int:
    """Return the configuration version in force at a node, 0 if it does not answer."""
    try:
        answer = await site.get("control", "/status", node)
    except (ExchangeFailed, TimeoutError):
        return 0
    return int(orjson.loads(answer.body)["configuration"])
