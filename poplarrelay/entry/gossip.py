"""News between nodes: datagrams that carry rows of the peer table."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import orjson

from poplarrelay.entry.clock import ClusterClock
from poplarrelay.entry.freshness import NEVER_S, ListClaim, ListFreshness
from poplarrelay.entry.peers import PeerRow, PeerTable, decode_row, encode_row

__all__ = ["FANOUT", "Gossip", "pick_targets"]

#: Nodes told in one round. With three, news reaches 4, 16 and 64 nodes after one,
#: two and three rounds; the cost of a node's round does not grow with their number.
FANOUT = 3
#: Rounds for which a row is passed on after it was heard.
HOT_ROUNDS = 2
#: Largest datagram; rows that do not fit wait for the next round.
MAX_DATAGRAM_BYTES = 8_000
#: Rows in one datagram at most, which bounds the time to encode them.
MAX_ROWS = 24

#: Seconds by which a list of endpoints must be fresher than when it was last told for
#: that to be told out of turn. Regular rounds alone took up to a second to reach eight
#: nodes, most of which had read the store themselves by then.
FRESHER_S = 0.3

_LOG = logging.getLogger("poplarrelay.entry.gossip")


def pick_targets(
    alive: Sequence[str], silent: Sequence[str], seeds: Sequence[str], rng: Random
) -> list[str]:
    """Return the hosts to tell in one round.

    Notes
    -----
    Besides `FANOUT` live nodes, one that is silent, or a seed: this joins nodes
    that have just started, and joins two groups again after a cut.
    """
    targets = rng.sample(list(alive), min(FANOUT, len(alive)))
    others = [host for host in (*silent, *seeds) if host not in targets]
    if others and (len(alive) < FANOUT or rng.random() < 0.3):
        targets.append(rng.choice(others))
    return targets


class Gossip(asyncio.DatagramProtocol):
    """Sends and takes rows.

    Parameters
    ----------
    table : PeerTable
        Where rows go.
    clock : ClusterClock
        Learns the senders' time of day.
    freshness : ListFreshness
        Learns how old the senders' lists of endpoints are.
    on_news : callable
        Is given each row that is news.
    monotonic : callable
        Returns the monotonic time.
    rng : random.Random
        Draws whom to tell.
    """

    def __init__(
        self,
        table: PeerTable,
        clock: ClusterClock,
        freshness: ListFreshness,
        on_news: Callable[[PeerRow], None],
        monotonic: Callable[[], float],
        rng: Random,
    ) -> None:
        self._table = table
        self._clock = clock
        self._freshness = freshness
        self._on_news = on_news
        self._monotonic = monotonic
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._port = 0
        self._hot: dict[str, int] = {}
        self._list_told_at = float("-inf")
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self, host: str, port: int) -> None:
        """Bind the node's datagram port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        self._port = transport.get_extra_info("sockname")[1]

    def stop(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take the rows of a datagram."""
        self.received_bytes += len(data)
        try:
            message = orjson.loads(zlib.decompress(data))
            rows = [decode_row(raw) for raw in message["rows"]]
            claim = ListClaim(*message["list"])
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            _LOG.warning("unreadable news", extra={"from": addr[0], "why": str(error)})
            return
        now = self._monotonic()
        self._clock.hear(message["from"], message["wall"], now)
        self._freshness.hear(claim, now)
        for row in rows:
            if self._table.hear(row, now):
                self._hot[row.node] = HOT_ROUNDS
                self._on_news(row)

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals: a port without a listener is a node that is down."""

    def run_round(self, seeds: Sequence[str], to_all: bool = False) -> None:
        """Tell some nodes this node's row and what it has lately heard.

        Parameters
        ----------
        seeds : sequence of str
            Hosts that may know others.
        to_all : bool
            Tell every node; for news that must not wait, such as a shutdown.
        """
        if self._transport is None:
            return
        now = self._monotonic()
        me = self._table.me
        alive = [row.host for row in self._table.alive(now)]
        silent = [
            seen.row.host for seen in self._table.seen.values() if not seen.alive(now)
        ]
        other_seeds = [host for host in seeds if host != me.host]
        targets = (
            alive if to_all else pick_targets(alive, silent, other_seeds, self._rng)
        )
        self._send(self._message(), targets)

    def tell_list(self) -> None:
        """Tell some nodes that the list of endpoints has been confirmed.

        Notes
        -----
        Whoever takes it over tells some others at once, so one read of the store
        reaches nearly all nodes within some milliseconds.
        """
        if self._freshness.fresh_at - self._list_told_at < FRESHER_S:
            return
        self._list_told_at = self._freshness.fresh_at
        alive = [row.host for row in self._table.alive(self._monotonic())]
        targets = self._rng.sample(alive, min(FANOUT, len(alive)))
        self._send(self._encode([]), targets)

    def _send(self, data: bytes, hosts: Sequence[str]) -> None:
        if self._transport is None:
            return
        for host in hosts:
            self._transport.sendto(data, (host, self._port))
            self.sent_bytes += len(data)

    def _message(self) -> bytes:
        rows = [encode_row(self._table.me)]
        hot = list(self._hot)
        self._rng.shuffle(hot)
        for node in hot[: MAX_ROWS - 1]:
            seen = self._table.seen.get(node)  # type: ignore[call-overload]
            if seen is not None:
                rows.append(encode_row(seen.row))
            self._hot[node] -= 1
            if self._hot[node] <= 0:
                del self._hot[node]
        while True:
            data = self._encode(rows)
            if len(data) <= MAX_DATAGRAM_BYTES or len(rows) == 1:
                return data
            rows = rows[: len(rows) // 2]

    def _encode(self, rows: list[list[Any]]) -> bytes:
        age_s = min(self._freshness.age_s(self._monotonic()), NEVER_S)
        value = {
            "from": self._table.me.node,
            "wall": self._clock.own,
            "list": [
                self._freshness.digest,
                age_s,
                self._freshness.read,
                self._freshness.hops,
            ],
            "rows": rows,
        }
        return zlib.compress(orjson.dumps(value), 1)
