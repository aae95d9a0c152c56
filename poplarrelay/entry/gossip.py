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
from poplarrelay.entry.exchange import Answer, Hint, ListExchange, Question
from poplarrelay.entry.freshness import NEVER_S
from poplarrelay.entry.peers import PeerRow, PeerTable, decode_row, encode_row
from poplarrelay.identifiers import Offset

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
        on_news: Callable[[PeerRow], None],
        monotonic: Callable[[], float],
        rng: Random,
    ) -> None:
        self._table = table
        self._clock = clock
        self._exchange: ListExchange | None = None
        self._on_news = on_news
        self._monotonic = monotonic
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._port = 0
        self._hot: dict[str, int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def carry(self, exchange: ListExchange) -> None:
        """Carry what nodes tell each other of their lists of endpoints as well."""
        self._exchange = exchange

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
        """Take a datagram: rows and a hint, or a question, or an answer."""
        self.received_bytes += len(data)
        try:
            message = orjson.loads(zlib.decompress(data))
            self._take(message, addr[0])
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            _LOG.warning("unreadable news", extra={"from": addr[0], "why": str(error)})

    def _take(self, message: dict[str, Any], host: str) -> None:
        now = self._monotonic()
        exchange = self._exchange
        if "question" in message:
            question = Question.decode(message["question"])
            if exchange is not None:
                exchange.hear_question(host, question, now)
        elif "answer" in message:
            answer = Answer.decode(message["answer"])
            if exchange is not None:
                exchange.hear_answer(host, answer, now)
        else:
            self._take_rows(message, host, now)

    def _take_rows(self, message: dict[str, Any], host: str, now: float) -> None:
        rows = [decode_row(raw) for raw in message["rows"]]
        hint = Hint.decode(message["hint"])
        self._clock.hear(message["from"], message["wall"], now)
        if self._exchange is not None:
            self._exchange.hear_hint(host, hint, now)
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

    def send_hint(self, hosts: Sequence[str], hint: Hint) -> None:
        """Tell some nodes of this node's list out of turn."""
        self._send(self._encode([], hint), hosts)

    def send_question(self, hosts: Sequence[str], question: Question) -> None:
        """Ask some nodes what this node's list lacks."""
        self._send(_pack({"question": question.encode()}), hosts)

    def send_answer(self, host: str, answer: Answer) -> None:
        """Answer a node's question."""
        self._send(_pack({"answer": answer.encode()}), [host])

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
        hint = self._hint()
        while True:
            data = self._encode(rows, hint)
            if len(data) <= MAX_DATAGRAM_BYTES or len(rows) == 1:
                return data
            rows = rows[: len(rows) // 2]

    def _hint(self) -> Hint:
        if self._exchange is None:
            return Hint(Offset(0), NEVER_S)
        return self._exchange.hint(self._monotonic())

    def _encode(self, rows: list[list[Any]], hint: Hint) -> bytes:
        return _pack(
            {
                "from": self._table.me.node,
                "wall": self._clock.own,
                "hint": hint.encode(),
                "rows": rows,
            }
        )


def _pack(value: dict[str, Any]) -> bytes:
    return zlib.compress(orjson.dumps(value), 1)
