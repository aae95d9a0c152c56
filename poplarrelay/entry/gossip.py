"""Gossip between nodes: datagrams that carry rows of the peer table."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

import orjson

from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.cells import Cell, CellSummary, cell_of, encoded_version
from poplarrelay.entry.clock import ClusterClock
from poplarrelay.entry.crashes import CrashTable
from poplarrelay.entry.departures import DepartureTable
from poplarrelay.entry.list_exchange import (
    ChangesReply,
    ChangesRequest,
    ListAnnouncement,
    ListExchange,
)
from poplarrelay.entry.list_freshness import MAX_REPORTED_AGE_S
from poplarrelay.entry.peer_rows import PeerRow, decode_row, encode_row
from poplarrelay.entry.peers import PeerTable, SeenPeer
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.entry.probe_leases import ProbeLeaseBroker
from poplarrelay.entry.quarantine import QuarantineTable
from poplarrelay.entry.resumption import ResumptionBroker
from poplarrelay.entry.rollouts.coordinator import RolloutReport
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.entry.slot_broker import SlotBroker
from poplarrelay.entry.store_era import EraTracker
from poplarrelay.entry.stream_archive import StreamArchive
from poplarrelay.identifiers import EndpointId, NodeId, Offset

__all__ = ["FANOUT", "Gossip", "pick_targets"]

#: Nodes of this node's cell that get its datagrams in one round. With three, an update
#: reaches 4, 16 and 64 nodes after one, two and three rounds.
FANOUT = 3
#: Nodes of other cells that get summaries in one round. Those nodes forward the
#: summaries within their cell together with the rows.
FANOUT_OTHER_CELLS = 1
#: Nodes asked for their rows in one round. In a cell of 26, three or four are overdue
#: at a time. Many are overdue only if this node was unreachable; four replies show it.
MAX_ROW_REQUESTS = 4
#: Rounds in which a row is forwarded after it was received.
FORWARD_ROUNDS = 2
#: Nodes, of any cell, that get one datagram of crash records.
CRASH_FANOUT = 4
#: Nodes, of any cell, that get one datagram about a change of a roll-out.
ROLLOUT_FANOUT = 4
#: Nodes, of any cell, that get one datagram of stated departures.
DEPARTURE_FANOUT = 4
#: Largest datagram; larger messages are split.
MAX_DATAGRAM_BYTES = 8_000
#: Largest content of a compressed datagram.
MAX_MESSAGE_BYTES = 1_000_000
#: Most rows in one datagram; the limit bounds the time to encode them.
MAX_ROWS = 40

_LOG = logging.getLogger("poplarrelay.entry.gossip")

#: First byte of an uncompressed datagram; a compressed one begins with another byte.
_UNCOMPRESSED_START = b"{"
#: Exceptions that decoding raises if a datagram was not sent by a node.
MALFORMED = (ValueError, LookupError, TypeError, AttributeError)


def _unpack(data: bytes) -> bytes:
    """Return the content of a datagram; raise `ValueError` if it is too large."""
    if data.startswith(_UNCOMPRESSED_START):
        return data
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError(f"truncated, or larger than {MAX_MESSAGE_BYTES} bytes")
    return content


def pick_targets(
    alive: Sequence[str], silent: Sequence[str], seeds: Sequence[str], rng: Random
) -> list[str]:
    """Return the hosts that get this node's datagrams in one round.

    Notes
    -----
    These are `FANOUT` live nodes and sometimes one silent node or seed. The extra host
    connects nodes that have just started, and reconnects groups after a partition.
    """
    targets = rng.sample(list(alive), min(FANOUT, len(alive)))
    others = [host for host in (*silent, *seeds) if host not in targets]
    if others and (len(alive) < FANOUT or rng.random() < 0.3):
        targets.append(rng.choice(others))
    return targets


class Gossip(asyncio.DatagramProtocol):
    """Datagram protocol that exchanges rows, summaries and other messages with nodes.

    Parameters
    ----------
    table : PeerTable
        Table that stores received rows and summaries.
    clock : ClusterClock
        Clock that receives the time of day of each sender.
    on_new_row : callable
        Called with each row that is newer than the known one.
    on_new_summary : callable
        Called with each summary of another cell that is newer than the known one.
    monotonic : callable
        Returns the monotonic time.
    rng : random.Random
        Random generator that selects the receivers.
    """

    def __init__(
        self,
        table: PeerTable,
        clock: ClusterClock,
        on_new_row: Callable[[PeerRow], None],
        monotonic: Callable[[], float],
        rng: Random,
        on_new_summary: Callable[[CellSummary], None] = lambda summary: None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._exchange: ListExchange | None = None
        self._backlog_client: BacklogClient | None = None
        self._crashes: CrashTable | None = None
        self._quarantine: QuarantineTable | None = None
        self._departures: DepartureTable | None = None
        self._eras = EraTracker()
        self._permits: PermitBroker | None = None
        self._slots: SlotBroker | None = None
        self._probe_leases: ProbeLeaseBroker | None = None
        self._resumption: ResumptionBroker | None = None
        self._archive: StreamArchive | None = None
        self._rollouts: RolloutTable | None = None
        self._on_rollout_report: Callable[[RolloutReport], None] | None = None
        self._on_new_row = on_new_row
        self._on_new_summary = on_new_summary
        self._monotonic = monotonic
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._port = 0
        self._rows_to_forward: dict[NodeId, int] = {}
        self._cells_to_forward: dict[Cell, int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_datagrams = 0
        #: Whether the next round should run immediately, to send a change to other
        #: cells.
        self.urgent = False

    def attach_list_exchange(
        self, exchange: ListExchange, backlog_client: BacklogClient | None = None
    ) -> None:
        """Exchange endpoint lists and prompt queues with other nodes.

        Parameters
        ----------
        exchange : ListExchange
            Exchange of the endpoint list.
        backlog_client : BacklogClient or None
            Exchange of the prompts that are queued at endpoints.
        """
        self._exchange = exchange
        self._backlog_client = backlog_client

    def attach_crashes(self, crashes: CrashTable, quarantine: QuarantineTable) -> None:
        """Exchange records of crashes under requests and parts with other nodes."""
        self._crashes = crashes
        self._quarantine = quarantine

    def attach_departures(self, departures: DepartureTable) -> None:
        """Exchange stated departures of endpoints with other nodes."""
        self._departures = departures

    def attach_eras(self, eras: EraTracker) -> None:
        """Exchange the era of the store, and ignore offsets of earlier eras."""
        self._eras = eras

    def attach_permits(self, permits: PermitBroker) -> None:
        """Exchange endpoint limits and permits with other nodes."""
        self._permits = permits

    def attach_slots(self, slots: SlotBroker) -> None:
        """Exchange requests for slots and grants with other nodes."""
        self._slots = slots

    def attach_probe_leases(self, probe_leases: ProbeLeaseBroker) -> None:
        """Exchange leases on probes of blocked parts with other nodes."""
        self._probe_leases = probe_leases

    def attach_resumption(self, resumption: ResumptionBroker) -> None:
        """Exchange the versions that have begun streams with other nodes."""
        self._resumption = resumption
        self._archive = resumption.archive

    def attach_rollouts(
        self,
        rollouts: RolloutTable,
        on_report: Callable[[RolloutReport], None] | None,
    ) -> None:
        """Exchange the progress of roll-outs with other nodes.

        Parameters
        ----------
        rollouts : RolloutTable
            Table that stores received progress.
        on_report : callable or None
            Called with each report of a node to the coordinator of a roll-out.
        """
        self._rollouts = rollouts
        self._on_rollout_report = on_report

    async def start(self, host: str, port: int) -> None:
        """Bind the node's datagram port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        self._port = transport.get_extra_info("sockname")[1]

    @property
    def port(self) -> int:
        """Return the number of the node's datagram port."""
        return self._port

    def stop(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode a datagram and process its message.

        A datagram holds rows with an announcement, or one message of another kind.
        """
        self.received_bytes += len(data)
        try:
            message = orjson.loads(_unpack(data))
            self._dispatch(message, addr[0])
        except (zlib.error, *MALFORMED) as error:
            _LOG.warning("unreadable news", extra={"from": addr[0], "why": str(error)})

    def _dispatch(self, message: dict[str, Any], host: str) -> None:
        now = self._monotonic()
        exchange = self._exchange
        if "backlog" in message:
            if self._backlog_client is not None:
                counts = message.get("counts")
                self._backlog_client.receive(host, message["backlog"], counts)
            return
        if "resumption" in message:
            if self._resumption is not None:
                self._resumption.receive(host, message["resumption"])
            return
        if "archive" in message:
            if self._archive is not None:
                self._archive.receive(host, message["archive"])
            return
        if "probe_lease" in message:
            if self._probe_leases is not None:
                self._probe_leases.receive(host, message["probe_lease"])
            return
        same_era = self._eras.accepts(message.get("era"), host)
        if "question" in message:
            request = ChangesRequest.decode(message["question"])
            if exchange is not None and same_era:
                exchange.receive_changes_request(host, request, now)
        elif "answer" in message:
            reply = ChangesReply.decode(message["answer"])
            if exchange is not None and same_era:
                exchange.receive_changes_reply(host, reply, now)
        else:
            self._receive_rows(message, host, now, same_era)

    def _receive_rows(
        self, message: dict[str, Any], host: str, now: float, same_era: bool
    ) -> None:
        raw_rows, table = message["rows"], self._table
        rows = [decode_row(raw) for raw in raw_rows if table.is_newer_row(*raw[:3])]
        # Nodes of versions without cells send no summaries.
        summaries = [
            CellSummary.decode(raw)
            for raw in message.get("cells", ())
            if table.is_newer_summary(*encoded_version(raw))
        ]
        announcement = ListAnnouncement.decode(message["hint"])
        self._clock.receive(message["from"], message["wall"], now)
        if self._exchange is not None and same_era:
            self._exchange.receive_announcement(host, announcement, now)
            if "reading" in message:
                self._exchange.receive_read_notice(now)
        if self._crashes is not None:
            self._crashes.receive(message.get("crashes", ()), host, now)
        if self._quarantine is not None:
            self._quarantine.receive(message.get("suspect_parts", ()), host, now)
        if self._departures is not None:
            self._departures.receive(message.get("departures", ()), host, now)
        if self._permits is not None:
            self._permits.receive(host, message.get("permits", ()))
        if self._slots is not None:
            self._slots.receive(host, message.get("slots", ()))
        if self._backlog_client is not None and "request_counts" in message:
            self._backlog_client.receive_counts(host, message["request_counts"])
        if self._rollouts is not None:
            self._rollouts.receive(message.get("rollouts", ()), host)
        if self._on_rollout_report is not None:
            for raw in message.get("rollout_reports", ()):
                self._on_rollout_report(RolloutReport.decode(raw))
        for row in rows:
            before = self._table.seen.get(row.node)
            if self._table.receive(row, now):
                self._rows_to_forward[row.node] = FORWARD_ROUNDS
                if self._departures is not None and _has_started(row, before):
                    self._departures.resend()
                self._on_new_row(row)
                if before is None or before.row.state is not row.state:
                    self.urgent = self.urgent or self._table.is_representative(now)
        for summary in summaries:
            if self._table.receive_summary(summary, now):
                self._cells_to_forward[summary.cell] = FORWARD_ROUNDS
                self._on_new_summary(summary)
        if "ask" in message:
            self._send(
                self._encode([encode_row(table.me)], self._announcement(), []), [host]
            )
        if raw_rows and not table.in_cell(raw_rows[0][0]):
            self._send_summaries_to_new_node(decode_row(raw_rows[0]), now)

    def _send_summaries_to_new_node(self, row: PeerRow, now: float) -> None:
        """Send summaries to a node of another cell that seems to have no peers.

        Notes
        -----
        A node that starts, or was partitioned, sends its row to seeds. All seeds can
        be in other cells, which do not store the row. Without these summaries the node
        would return only its own address to callers until a random datagram reaches its
        cell.
        """
        if self._table.in_fresh_summary(row.node, now):
            return
        summaries = [seen.summary for seen in self._table.summaries.values()]
        if self._table.bits > 0:
            summaries.append(self._table.own_summary(now))
        receiver_cell = cell_of(row.node, self._table.bits)
        summaries.sort(key=lambda summary: summary.cell != receiver_cell)
        encoded = [summary.encode() for summary in summaries]
        for data in self._packets(
            [encode_row(self._table.me)], encoded, self._announcement()
        ):
            self._send(data, [row.host])

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: the node at that port is down."""

    def run_round(self, seeds: Sequence[str], to_all: bool = False) -> None:
        """Send this node's row and recently received rows to some nodes.

        Parameters
        ----------
        seeds : sequence of str
            Hosts that may have more peers than this node.
        to_all : bool
            Send to every node of this cell, for changes that must not wait, such as a
            shutdown. The representative sends them to the other cells.
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
            self._send_to_other_cells([table.own_summary(now).encode()], FANOUT, now)
        summaries = self._summaries_to_send()
        for data in self._round_datagrams(summaries):
            self._send(data, targets)
        if summaries and not to_all:
            self._send_to_other_cells(summaries, FANOUT_OTHER_CELLS, now)
        self.send_crashes()
        self.send_departures()
        overdue = table.overdue(now)
        if overdue:
            own = [encode_row(table.me)]
            message = self._encode(own, self._announcement(), [], ask=True)
            self._send(message, overdue[:MAX_ROW_REQUESTS])

    def send_crashes(self) -> None:
        """Send records of crashes to some nodes of any cell."""
        if self._transport is None:
            return
        now = self._monotonic()
        fields = {}
        if self._crashes is not None:
            fields["crashes"] = self._crashes.outgoing(now)
        if self._quarantine is not None:
            fields["suspect_parts"] = self._quarantine.outgoing(now)
        fields = {name: records for name, records in fields.items() if records}
        if not fields:
            return
        # Older versions reject a message without a list of rows, so send an empty one.
        data = self._encode([], self._announcement(), [], **fields)
        self._send(data, self._sample_hosts(CRASH_FANOUT, now))

    def send_departures(self) -> None:
        """Send stated departures of endpoints to some nodes of any cell."""
        if self._departures is None or self._transport is None:
            return
        now = self._monotonic()
        departures = self._departures.outgoing(now)
        if not departures:
            return
        data = self._encode([], self._announcement(), [], departures=departures)
        self._send(data, self._sample_hosts(DEPARTURE_FANOUT, now))

    def _sample_hosts(self, count: int, now: float) -> list[str]:
        """Return the hosts of up to `count` random live nodes of any cell."""
        hosts = [row.host for row in self._table.alive(now)]
        return self._rng.sample(hosts, min(count, len(hosts)))

    def send_rollouts(self) -> None:
        """Send the progress of roll-outs to some nodes of any cell."""
        if self._transport is None:
            return
        targets = self._sample_hosts(ROLLOUT_FANOUT, self._monotonic())
        self._send(self._encode([], self._announcement(), []), targets)

    def send_rollout_report(self, host: str, report: RolloutReport) -> None:
        """Send a report on a roll-out to its coordinator."""
        announcement = self._announcement()
        reports = [report.encode()]
        self._send(self._encode([], announcement, [], rollout_reports=reports), [host])

    def broadcast_row(self) -> None:
        """Send only this node's row to every node of this cell."""
        alive = [row.host for row in self._table.alive_rows(self._monotonic())]
        announcement = self._announcement(departures=True)
        self._send(self._encode([encode_row(self._table.me)], announcement, []), alive)

    def _send_to_other_cells(
        self, summaries: list[list[Any]], max_hosts: int, now: float
    ) -> None:
        hosts = [member.host for member in self._table.alive_in_other_cells(now)]
        targets = self._rng.sample(hosts, min(max_hosts, len(hosts)))
        if not targets:
            return
        for data in self._packets([], summaries, self._announcement()):
            self._send(data, targets)

    def send_announcement(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Send an announcement of this node's endpoint list between two rounds."""
        self._send(self._encode([], announcement, []), hosts)

    def send_read_notice(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Notify some nodes that this node begins to read the store."""
        self._send(self._encode([], announcement, [], reading=True), hosts)

    def send_changes_request(
        self, hosts: Sequence[str], request: ChangesRequest
    ) -> None:
        """Ask some nodes for the changes that are missing from this node's list."""
        self._send(_pack(self._with_era({"question": request.encode()})), hosts)

    def send_changes_reply(self, host: str, reply: ChangesReply) -> None:
        """Reply to a node's request for changes."""
        self._send(_pack(self._with_era({"answer": reply.encode()})), [host])

    def send_backlog(
        self, host: str, message: list[Any], counts: Mapping[EndpointId, Any]
    ) -> None:
        """Send a node an uncompressed message about queued prompts.

        Notes
        -----
        Each request causes several such messages. To compress the hundred bytes of one
        takes longer than the rest of its processing.
        """
        data = orjson.dumps({"backlog": message, "counts": counts})
        self._send(data, [host])

    def send_resumption(self, hosts: Sequence[str], message: list[Any]) -> None:
        """Send a message about the version of a stream, like prompts uncompressed."""
        self._send(orjson.dumps({"resumption": message}), hosts)

    def send_archive(self, host: str, message: list[Any]) -> None:
        """Send a node a message about the archive of streams."""
        self._send(_pack({"archive": message}), [host])

    def send_probe_lease(self, host: str, message: list[Any]) -> None:
        """Send a node a message about a lease on a probe, like prompts uncompressed."""
        self._send(orjson.dumps({"probe_lease": message}), [host])

    def send_request_counts(self, host: str, counts: Mapping[EndpointId, int]) -> None:
        """Send a node the numbers of this node's requests at some endpoints.

        They are a separate field, like permits.
        """
        message = self._row_message([], self._announcement(), [], request_counts=counts)
        self._send(orjson.dumps(message), [host])

    def send_permits(self, hosts: Sequence[str], messages: list[list[Any]]) -> None:
        """Send messages about endpoint limits and permits to the given hosts.

        They are a separate field of an uncompressed datagram without rows. Nodes of
        versions without this field accept the datagram.
        """
        self._send(
            orjson.dumps(
                self._row_message([], self._announcement(), [], permits=messages)
            ),
            hosts,
        )

    def send_slots(self, host: str, messages: list[list[Any]]) -> None:
        """Send messages about slots to a node, like permits."""
        message = self._row_message([], self._announcement(), [], slots=messages)
        self._send(orjson.dumps(message), [host])

    def _send(self, data: bytes, hosts: Sequence[str]) -> None:
        if self._transport is None:
            return
        for host in hosts:
            self._transport.sendto(data, (host, self._port))
            self.sent_bytes += len(data)
            self.sent_datagrams += 1

    def _round_datagrams(self, summaries: list[list[Any]]) -> list[bytes]:
        rows = [encode_row(self._table.me)]
        nodes = list(self._rows_to_forward)
        self._rng.shuffle(nodes)
        for node in nodes[: MAX_ROWS - 1]:
            seen = self._table.seen.get(node)
            if seen is not None:
                rows.append(encode_row(seen.row))
            self._rows_to_forward[node] -= 1
            if self._rows_to_forward[node] <= 0:
                del self._rows_to_forward[node]
        return self._packets(rows, summaries, self._announcement(departures=True))

    def _summaries_to_send(self) -> list[list[Any]]:
        """Return this cell's summary, if due, and received ones to forward."""
        found = []
        now = self._monotonic()
        if self._table.is_representative(now):
            found.append(self._table.own_summary(now).encode())
        cells = list(self._cells_to_forward)
        self._rng.shuffle(cells)
        for cell in cells[:MAX_ROWS]:
            seen = self._table.summaries.get(cell)
            if seen is not None:
                found.append(seen.summary.encode())
            self._cells_to_forward[cell] -= 1
            if self._cells_to_forward[cell] <= 0:
                del self._cells_to_forward[cell]
        return found

    def _packets(
        self,
        rows: list[list[Any]],
        summaries: list[list[Any]],
        announcement: ListAnnouncement,
    ) -> list[bytes]:
        """Return datagrams with all rows and summaries, split by size if necessary."""
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
        """Return the announcement of this node's endpoint list.

        Parameters
        ----------
        departures : bool
            Include recent departures of endpoints.

        Notes
        -----
        Each departure is included in a limited number of datagrams. Datagrams to one
        node leave departures out. Otherwise most nodes would receive a departure later
        than the bound on leaving endpoints allows.
        """
        if self._exchange is None:
            return ListAnnouncement(Offset(0), MAX_REPORTED_AGE_S)
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
        return _pack(self._row_message(rows, announcement, summaries, **fields))

    def _row_message(
        self,
        rows: list[list[Any]],
        announcement: ListAnnouncement,
        summaries: list[list[Any]],
        **fields: Any,
    ) -> dict[str, Any]:
        """Return a message with rows and the given additional fields."""
        rollouts = [] if self._rollouts is None else self._rollouts.outgoing()
        if rollouts:
            fields["rollouts"] = rollouts
        return self._with_era(
            {
                "from": self._table.me.node,
                "wall": self._clock.own,
                "hint": announcement.encode(),
                "rows": rows,
                "cells": summaries,
                **fields,
            }
        )

    def _with_era(self, message: dict[str, Any]) -> dict[str, Any]:
        """Return a message with the era that its offsets belong to, if it is stated."""
        if not self._eras.stated:
            return message
        return {**message, "era": self._eras.latest}


def _has_started(row: PeerRow, before: SeenPeer | None) -> bool:
    """Return whether a row is the first one of a process that this node hears of."""
    return before is None or before.row.incarnation != row.incarnation


def _pack(value: dict[str, Any]) -> bytes:
    return zlib.compress(orjson.dumps(value), 1)
