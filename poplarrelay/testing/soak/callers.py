"""Callers of a soak run: they keep connections for as long as nodes let them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random
from time import monotonic

import orjson

from poplarrelay.entry.http.connection import Connection, Headers
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import HOST, EntrySite
from poplarrelay.testing.soak.ledger import Asked, Ending

__all__ = ["KEYS", "Caller"]

#: Keys by team.
KEYS = {"alpha": "key-of-alpha", "beta": "key-of-beta"}
#: Kinds of request: whether each may run more than once, and whether it streams.
KINDS = {
    "book": (False, False),
    "pay": (False, False),
    "look": (True, False),
    "draft": (True, True),
    "brief": (False, True),
}
#: Seconds that a caller gives a request.
DEADLINE_S = 4.0
#: Seconds beyond it after which a request that has not ended counts as held.
MARGIN_S = 2.0
#: Seconds for a new connection.
CONNECT_S = 1.0
#: Longest pause between two requests of a caller.
LONGEST_PAUSE_S = 0.15
#: Part of the requests whose caller leaves early, and after how long at the most.
LEAVE_SHARE, LEAVE_S = 0.05, 0.3

_NUMBERS = count(1)


class Caller:
    """One caller, with one open connection for each node.

    Parameters
    ----------
    site : EntrySite
        The nodes.
    asked : list of Asked
        Gets each request that is sent.
    paused : callable
        Returns whether a node has been paused since a time.
    """

    def __init__(
        self,
        site: EntrySite,
        asked: list[Asked],
        paused: Callable[[str, float], bool],
        rng: Random,
    ) -> None:
        self._site = site
        self._asked = asked
        self._paused = paused
        self._rng = rng
        self._open: dict[str, Connection] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                nodes = sorted(self._site.processes)
                await self.ask(self._rng.choice(nodes), self._rng.choice(list(KINDS)))
                await asyncio.sleep(self._rng.uniform(0, LONGEST_PAUSE_S))
        finally:
            for connection in self._open.values():
                connection.abort()

    async def ask(self, node: str, kind: str, body: bytes = b"") -> Asked:
        """Send one request to a node; its body defaults to its id."""
        repeatable, streams = KINDS[kind]
        team = self._rng.choice(list(KEYS))
        request = f"soak-{next(_NUMBERS)}"
        asked = Asked(request, node, kind, team, repeatable, streams, custom_body=body)
        self._asked.append(asked)
        sent_at = monotonic()
        leaves_s = None
        if self._rng.random() < LEAVE_SHARE:
            leaves_s = self._rng.uniform(0, LEAVE_S)
        try:
            async with asyncio.timeout(leaves_s or DEADLINE_S + MARGIN_S):
                await self._exchange(asked)
        except ExchangeFailed:
            asked.ending = asked.ending or Ending.CUT
        except TimeoutError:
            asked.ending = Ending.STILL_OPEN if leaves_s is None else Ending.CUT
            asked.disturbed = self._paused(node, sent_at)
        return asked

    async def _exchange(self, asked: Asked) -> None:
        connection = await self._connect(asked)
        kept = False
        try:
            kept = await self._answer_on(connection, asked)
        finally:
            # Also when the caller leaves: only a closed connection tells the node.
            if kept:
                self._open[asked.node] = connection
            else:
                connection.abort()

    async def _answer_on(self, connection: Connection, asked: Asked) -> bool:
        """Send a request, take its answer, and tell if the connection may go on."""
        body = asked.request_body
        headers: Headers = [
            (b"Host", HOST.encode()),
            (b"X-Poplarrelay-Attempt-Id", asked.request.encode()),
            (b"X-Poplarrelay-Deadline-Ms", str(int(1000 * DEADLINE_S)).encode()),
            (b"Authorization", f"Bearer {KEYS[asked.team]}".encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        connection.send(b"POST", f"/{asked.kind}/x".encode(), headers, body)
        response = await connection.whole_response(1_000_000)
        asked.status = response.status
        asked.body = response.body
        asked.ending = Ending.ANSWERED
        return connection.recycle(response.headers, monotonic())

    async def _connect(self, asked: Asked) -> Connection:
        connection = self._open.pop(asked.node, None)
        now = monotonic()
        if connection is not None and connection.usable(now):
            return connection
        try:
            return await Connection.open(*self._site.address(asked.node), CONNECT_S)
        except ExchangeFailed:
            asked.ending = Ending.REFUSED_CONNECTION
            raise


async def configuration_of(site: EntrySite, node: str) -> int:
    """Return the version that a node says it goes by, 0 if it does not answer."""
    try:
        answer = await site.get("control", "/status", node)
    except (ExchangeFailed, TimeoutError):
        return 0
    return int(orjson.loads(answer.body)["configuration"])
