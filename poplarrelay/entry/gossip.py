"""News between nodes: datagrams that carry rows of the peer table."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import orjson

from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.cells import Cell, CellSummary, cell_of, version_of
from poplarrelay.entry.clock import ClusterClock
from poplarrelay.entry.crashes import CrashTable
from poplarrelay.entry.list_exchange import (
    ChangesReply,
    ChangesRequest,
    ListAnnouncement,
    ListExchange,
)
from poplarrelay.entry.list_freshness import NEVER_S
from poplarrelay.entry.peer_rows import PeerRow, decode_row, encode_row
from poplarrelay.entry.peers import PeerTable
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.identifiers import NodeId, Offset

__all__ = ["FANOUT", "Gossip", "pick_targets"]

#: Nodes of this node's cell told in one round. With three, news reaches 4, 16 and 64
#: nodes after one, two and three rounds.
FANOUT = 3
#: Nodes of other cells told in one round. They bring summaries into a cell, where
#: they then spread with the rows.
FANOUT_ELSEWHERE = 1
#: Nodes asked for their rows in one round. In a cell of 26 three or four are overdue at
#: a time; many are only when this node itself was cut off, and then four show it.
MOST_ASKED = 4
#: Rounds for which a row is passed on after it was heard.
HOT_ROUNDS = 2
#: Nodes of any cell to which a datagram of crash records goes.
CRASH_FANOUT = 4
#: Largest datagram; what does not fit goes into another one.
MAX_DATAGRAM_BYTES = 8_000
#: Rows in one datagram at most, which bounds the time to encode them.
MAX_ROWS = 40

_LOG = logging.getLogger("poplarrelay.entry.gossip")

#: How an uncompressed datagram begins; no compressed one does.
_PLAIN = b"{"
#: What decoding raises where a datagram is none of a node's.
MALFORMED = (ValueError, LookupError, TypeError, AttributeError)


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
    on_summary : callable
        Is given each summary of another cell that is news.
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
        on_summary: Callable[[CellSummary], None] = lambda summary: None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._exchange: ListExchange | None = None
        self._backlog_client: BacklogClient | None = None
        self._crashes: CrashTable | None = None
        self._permits: PermitBroker | None = None
        self._on_news = on_news
        self._on_summary = on_summary
        self._monotonic = monotonic
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._port = 0
        self._hot: dict[NodeId, int] = {}
        self._hot_cells: dict[Cell, int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_datagrams = 0
        #: Whether other cells should hear of this one before the next round is due.
        self.urgent = False

    def attach_list_exchange(
        self, exchange: ListExchange, backlog_client: BacklogClient | None = None
    ) -> None:
        """Carry what nodes tell each other of endpoints as well.

        Parameters
        ----------
        exchange : ListExchange
            Of the list of endpoints.
        backlog_client : BacklogClient or None
            Of prompts in line at them.
        """
        self._exchange = exchange
        self._backlog_client = backlog_client

    def attach_crashes(self, crashes: CrashTable) -> None:
        """Exchange records of crashes with other nodes."""
        self._crashes = crashes

    def attach_permits(self, permits: PermitBroker) -> None:
        """Exchange endpoint limits and permits with other nodes."""
        self._permits = permits

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
            self._transport = None

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a datagram: rows and a hint, or one message of another kind."""
        self.received_bytes += len(data)
        try:
            plain = data if data.startswith(_PLAIN) else zlib.decompress(data)
            message = orjson.loads(plain)
            self._take(message, addr[0])
        except (zlib.error, *MALFORMED) as error:
            _LOG.warning("unreadable news", extra={"from": addr[0], "why": str(error)})

    def _take(self, message: dict[str, Any], host: str) -> None:
        now = self._monotonic()
        exchange = self._exchange
        if "question" in message:
            request = ChangesRequest.decode(message["question"])
            if exchange is not None:
                exchange.receive_changes_request(host, request, now)
        elif "answer" in message:
            reply = ChangesReply.decode(message["answer"])
            if exchange is not None:
                exchange.receive_changes_reply(host, reply, now)
        elif "backlog" in message:
            if self._backlog_client is not None:
                self._backlog_client.receive(host, message["backlog"])
        else:
            self._take_rows(message, host, now)

    def _take_rows(self, message: dict[str, Any], host: str, now: float) -> None:
        told, table = message["rows"], self._table
        rows = [decode_row(raw) for raw in told if table.wants_row(*raw[:3])]
        # Nodes that know of no cells tell no summaries.
        summaries = [
            CellSummary.decode(raw)
            for raw in message.get("cells", ())
            if table.wants_summary(*version_of(raw))
        ]
        announcement = ListAnnouncement.decode(message["hint"])
        self._clock.receive(message["from"], message["wall"], now)
        if self._exchange is not None:
            self._exchange.receive_announcement(host, announcement, now)
            if "reading" in message:
                self._exchange.receive_read_notice(now)
        if self._crashes is not None:
            self._crashes.receive(message.get("crashes", ()), host, now)
        if self._permits is not None:
            self._permits.receive(host, message.get("permits", ()))
        for row in rows:
            before = self._table.seen.get(row.node)
            if self._table.receive(row, now):
                self._hot[row.node] = HOT_ROUNDS
                self._on_news(row)
                if before is None or before.row.state is not row.state:
                    self.urgent = self.urgent or self._table.is_representative(now)
        for summary in summaries:
            if self._table.receive_summary(summary, now):
                self._hot_cells[summary.cell] = HOT_ROUNDS
                self._on_summary(summary)
        if "ask" in message:
            self._send(
                self._encode([encode_row(table.me)], self._announcement(), []), [host]
            )
        if told and not table.in_cell(told[0][0]):
            self._introduce(decode_row(told[0]), now)

    def _introduce(self, row: PeerRow, now: float) -> None:
        """Tell a node of another cell whom it may ask, if it seems to know nobody.

        Notes
        -----
        A node that starts, or returns from behind a cut, tells seeds of itself, which
        may all be of other cells and have no use for its row. Without an answer it
        would name only itself to callers until it finds its own cell by chance.
        """
        if self._table.knows(row.node, now):
            return
        summaries = [seen.summary for seen in self._table.summaries.values()]
        if self._table.bits > 0:
            summaries.append(self._table.own_summary(now))
        mine = cell_of(row.node, self._table.bits)
        summaries.sort(key=lambda summary: summary.cell != mine)
        encoded = [summary.encode() for summary in summaries]
        for data in self._packets(
            [encode_row(self._table.me)], encoded, self._announcement()
        ):
            self._send(data, [row.host])

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals: a port without a listener is a node that is down."""

    def run_round(self, seeds: Sequence[str], to_all: bool = False) -> None:
        """Tell some nodes this node's row and what it has lately heard.

        Parameters
        ----------
        seeds : sequence of str
            Hosts that may know others.
        to_all : bool
            Tell every node of this cell; for news that must not wait, such as a
            shutdown. The speaker tells the other cells.
        """
        if self._transport is None:
            return
        self.urgent = False
        now = self._monotonic()
        table = self._table
        alive = [row.host for row in table.alive_rows(now)]
        silent = [seen.row.host for seen in table.seen.values() if not seen.alive(now)]
        others = [host for host in seeds if host != table.me.host]
        others += table.contacts.values()
        targets = alive if to_all else pick_targets(alive, silent, others, self._rng)
        if table.is_representative(now):
            self._send_elsewhere([table.own_summary(now).encode()], FANOUT, now)
        hot = self._hot_summaries()
        for data in self._message(hot):
            self._send(data, targets)
        if hot and not to_all:
            self._send_elsewhere(hot, FANOUT_ELSEWHERE, now)
        self.send_crashes()
        overdue = table.overdue(now)
        if overdue:
            own = [encode_row(table.me)]
            message = self._encode(own, self._announcement(), [], ask=True)
            self._send(message, overdue[:MOST_ASKED])

    def send_crashes(self) -> None:
        """Send records of crashes to some nodes of any cell."""
        if self._crashes is None or self._transport is None:
            return
        now = self._monotonic()
        records = self._crashes.outgoing(now)
        if not records:
            return
        hosts = [row.host for row in self._table.alive(now)]
        targets = self._rng.sample(hosts, min(CRASH_FANOUT, len(hosts)))
        # The list of rows is empty but present: older nodes cannot read news without.
        data = self._encode([], self._announcement(), [], crashes=records)
        self._send(data, targets)

    def broadcast_row(self) -> None:
        """Tell every node of this cell this node's row and nothing else."""
        alive = [row.host for row in self._table.alive_rows(self._monotonic())]
        announcement = self._announcement(departures=True)
        self._send(self._encode([encode_row(self._table.me)], announcement, []), alive)

    def _send_elsewhere(
        self, summaries: list[list[Any]], most: int, now: float
    ) -> None:
        hosts = [member.host for member in self._table.alive_elsewhere(now)]
        targets = self._rng.sample(hosts, min(most, len(hosts)))
        if not targets:
            return
        for data in self._packets([], summaries, self._announcement()):
            self._send(data, targets)

    def send_announcement(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Tell some nodes of this node's list out of turn."""
        self._send(self._encode([], announcement, []), hosts)

    def send_read_notice(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Tell some nodes that this node begins to read the store."""
        self._send(self._encode([], announcement, [], reading=True), hosts)

    def send_changes_request(
        self, hosts: Sequence[str], request: ChangesRequest
    ) -> None:
        """Ask some nodes what this node's list lacks."""
        self._send(_pack({"question": request.encode()}), hosts)

    def send_changes_reply(self, host: str, reply: ChangesReply) -> None:
        """Answer a node's question."""
        self._send(_pack({"answer": reply.encode()}), [host])

    def send_backlog(self, host: str, message: list[Any]) -> None:
        """Send a node a message of the survey of prompts in line, uncompressed.

        Notes
        -----
        Several go with each request; to compress a hundred bytes takes longer than
        all else that a node does with them.
        """
        self._send(orjson.dumps({"backlog": message}), [host])

    def send_permits(self, hosts: Sequence[str], messages: list[list[Any]]) -> None:
        """Send messages about endpoint limits and permits to the given hosts.

        They are a separate field of an uncompressed datagram without rows, which nodes
        that do not know the field accept.
        """
        self._send(
            orjson.dumps(self._news([], self._announcement(), [], permits=messages)),
            hosts,
        )

    def _send(self, data: bytes, hosts: Sequence[str]) -> None:
        if self._transport is None:
            return
        for host in hosts:
            self._transport.sendto(data, (host, self._port))
            self.sent_bytes += len(data)
            self.sent_datagrams += 1

    def _message(self, summaries: list[list[Any]]) -> list[bytes]:
        rows = [encode_row(self._table.me)]
        hot = list(self._hot)
        self._rng.shuffle(hot)
        for node in hot[: MAX_ROWS - 1]:
            seen = self._table.seen.get(node)
            if seen is not None:
                rows.append(encode_row(seen.row))
            self._hot[node] -= 1
            if self._hot[node] <= 0:
                del self._hot[node]
        return self._packets(rows, summaries, self._announcement(departures=True))

    def _hot_summaries(self) -> list[list[Any]]:
        """Return the summaries that are still passed on, each a few times."""
        found = []
        now = self._monotonic()
        if self._table.is_representative(now):
            found.append(self._table.own_summary(now).encode())
        hot = list(self._hot_cells)
        self._rng.shuffle(hot)
        for cell in hot[:MAX_ROWS]:
            seen = self._table.summaries.get(cell)
            if seen is not None:
                found.append(seen.summary.encode())
            self._hot_cells[cell] -= 1
            if self._hot_cells[cell] <= 0:
                del self._hot_cells[cell]
        return found

    def _packets(
        self,
        rows: list[list[Any]],
        summaries: list[list[Any]],
        announcement: ListAnnouncement,
    ) -> list[bytes]:
        """Return rows and summaries in as few datagrams as they fit in."""
        data = self._encode(rows, announcement, summaries)
        if len(data) <= MAX_DATAGRAM_BYTES or len(rows) + len(summaries) <= 1:
            return [data]
        if rows and summaries:
            parts = [(rows, []), ([], summaries)]
        else:
            half = (len(rows) + len(summaries)) // 2
            parts = [
                (rows[:half], summaries[:half]),
                (rows[half:], summaries[half:]),
            ]
        return [data for part in parts for data in self._packets(*part, announcement)]

    def _announcement(self, departures: bool = False) -> ListAnnouncement:
        """Return what to tell of the list of endpoints.

        Notes
        -----
        A departure is told in a few datagrams and no more. Those to a single node must
        not use them up, or most others learn of it later than the bound allows.
        """
        if self._exchange is None:
            return ListAnnouncement(Offset(0), NEVER_S)
        now = self._monotonic()
        if departures:
            return self._exchange.announcement(now)
        return self._exchange.plain_announcement(now)

    def _encode(
        self,
        rows: list[list[Any]],
        announcement: ListAnnouncement,
        summaries: list[list[Any]],
        **fields: Any,
    ) -> bytes:
        return _pack(self._news(rows, announcement, summaries, **fields))

    def _news(
        self,
        rows: list[list[Any]],
        announcement: ListAnnouncement,
        summaries: list[list[Any]],
        **fields: Any,
    ) -> dict[str, Any]:
        """Return a message with rows and any additional fields."""
        return {
            "from": self._table.me.node,
            "wall": self._clock.own,
            "hint": announcement.encode(),
            "rows": rows,
            "cells": summaries,
            **fields,
        }


def _pack(value: dict[str, Any]) -> bytes:
    return zlib.compress(orjson.dumps(value), 1)
