"""Nodes that exchange their endpoint lists through an in-memory network."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson

from poplarrelay.entry.endpoint_list import EndpointList
from poplarrelay.entry.list_exchange import (
    ChangesReply,
    ChangesRequest,
    ListAnnouncement,
    ListExchange,
)
from poplarrelay.entry.settings import EntrySettings
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import EndpointId, Incarnation, Offset
from poplarrelay.platform.store import KeyedRecord

__all__ = [
    "EndpointListNetwork",
    "Envelope",
    "ListNode",
    "StoredTopic",
    "endpoint_record",
]


def endpoint_record(state: str = "ready", **changes: Any) -> bytes:
    """Return an endpoint's record; `changes` replace fields, and None omits one."""
    value = {
        "service": "desk",
        "address": "10.9.0.1:7000",
        "zone": "north",
        "version": "1",
        "slots": 4,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": 1,
        **changes,
    }
    return orjson.dumps({name: v for name, v in value.items() if v is not None})


@dataclass(slots=True)
class StoredTopic:
    """Records of the topic of endpoints, with the time at which each was written."""

    records: list[tuple[float, str, bytes | None]] = field(default_factory=list)

    def write(self, now: float, key: str, content: bytes | None) -> None:
        """Append a record; the content None removes the key."""
        self.records.append((now, key, content))

    @property
    def end(self) -> Offset:
        """Return the offset after the last record."""
        return Offset(len(self.records))

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key that has not been removed."""
        offsets = {key: offset for offset, (_, key, _) in enumerate(self.records)}
        return [
            KeyedRecord(key, content, Offset(offset))
            for key, offset in offsets.items()
            if (content := self.records[offset][2]) is not None
        ]

    def since(self, start: Offset) -> list[KeyedRecord]:
        """Return all records at or after an offset."""
        return [
            KeyedRecord(key, content, Offset(offset))
            for offset, (_, key, content) in enumerate(self.records)
            if offset >= start
        ]

    def last_offset_before(self, key: str, before: float) -> int:
        """Return the offset of a key's last record before a time, -1 if none."""
        offsets = [
            offset
            for offset, (at, name, _) in enumerate(self.records)
            if name == key and at < before
        ]
        return max(offsets, default=-1)


@dataclass(frozen=True, slots=True)
class ReadNotice:
    """Announcement that the sender begins to read the store."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message in transit, with its sender and receiver."""

    sender: str
    receiver: str
    message: ListAnnouncement | ChangesRequest | ChangesReply | ReadNotice


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read of the store without a reply so far.

    Attributes
    ----------
    sent_at : float
        Time of the read by the node's clock.
    end : Offset
        End of the topic at that time.
    answered_at : float
        Simulated time at which the reply arrives.
    """

    sent_at: float
    end: Offset
    answered_at: float


@dataclass(slots=True)
class ListNode:
    """A node with its tables, its endpoint list and its list exchange.

    Attributes
    ----------
    clock_offset_s : float
        Seconds by which the node's monotonic clock is ahead of simulated time. The
        clocks of different nodes are unrelated.
    reads_failed_s : float
        Seconds for which the node's reads of the store have failed, 0 if they succeed.
    full_reads_requested : int
        Number of times that the exchange has requested a full read of the store.
    reads : int
        Number of reads that `read_when_due` has begun.
    pending : PendingRead or None
        Read that is in progress.
    """

    name: str
    network: EndpointListNetwork
    clock_offset_s: float
    state: EntryState = field(init=False)
    endpoints: EndpointList = field(init=False)
    exchange: ListExchange = field(init=False)
    reads_failed_s: float = 0.0
    full_reads_requested: int = 0
    reads: int = 0
    pending: PendingRead | None = None

    def __post_init__(self) -> None:
        listener = "127.0.0.1:1"
        names = ("callers", "readiness", "discovery", "control")
        settings = EntrySettings.model_validate(
            {
                "node": self.name,
                "failure_domain": "north",
                "listeners": {
                    **{name: listener for name in names},
                    "gossip_port": 1,
                },
                "platform": {"store": listener},
            }
        )
        rng = Random(self.name)
        self.state = EntryState.from_settings(settings, Incarnation("1-1"), rng)
        self.endpoints = EndpointList(
            self.state,
            lambda now: self.reads_failed_s,
            lambda: None,
            lambda endpoint: self.exchange.note_departure(endpoint),
            lambda row: None,
            self.now,
        )
        self.exchange = ListExchange(
            self.endpoints,
            self.state.freshness,
            self,
            lambda now: [name for name in self.network.nodes if name != self.name],
            self._request_full_read,
            lambda: None,
            rng,
        )

    def _request_full_read(self) -> None:
        self.full_reads_requested += 1

    def now(self) -> float:
        """Return the node's monotonic time."""
        return self.network.now + self.clock_offset_s

    @property
    def confirmed_at(self) -> float:
        """Return the simulated time at which the list last equalled the store's.

        The value is the node's estimate, converted from the node's own clock.
        """
        return self.state.freshness.confirmed_at - self.clock_offset_s

    def read(self, reply_delay_s: float = 0.0, whole: bool = False) -> None:
        """Read the store, and apply its reply.

        Parameters
        ----------
        reply_delay_s : float
            Seconds until the store replies; simulated time advances by them.
        whole : bool
            Whether to read the newest record of each key instead of the records
            after the known offset.
        """
        freshness = self.state.freshness
        sent_at, start = self.now(), freshness.known_offset
        self.network.now += reply_delay_s
        topic = self.network.topic
        end = topic.end
        if whole or sent_at - freshness.confirmed_at > 1e6:
            self.endpoints.apply_newest(topic.newest(), end)
        else:
            self.endpoints.apply_records(topic.since(start))
        freshness.note_read(sent_at, end)

    def accepts_work_at(self, name: str) -> bool:
        """Return whether the node has an endpoint that accepts new requests."""
        row = self.state.endpoints.rows.get(EndpointId(name))
        return row is not None and row.accepts_work

    # Interface that the list exchange sends messages through.

    def send_announcement(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Send an announcement of this node's list."""
        self.network.post(self.name, hosts, announcement)

    def send_read_notice(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Announce that this node begins to read the store."""
        self.network.post(self.name, hosts, ReadNotice())

    def send_changes_request(
        self, hosts: Sequence[str], request: ChangesRequest
    ) -> None:
        """Request the changes since an offset."""
        self.network.post(self.name, hosts, request)

    def send_changes_reply(self, host: str, reply: ChangesReply) -> None:
        """Reply to a request for changes."""
        self.network.post(self.name, [host], reply)

    def read_when_due(self, reply_delay_s: float) -> None:
        """Begin a read if one is due, or apply the reply of the pending read."""
        network, freshness = self.network, self.state.freshness
        pending = self.pending
        if pending is not None and network.now >= pending.answered_at:
            self.pending = None
            freshness.note_read(pending.sent_at, pending.end)
        elif pending is None and freshness.due_in_s(self.now()) <= 0:
            self.reads += 1
            answered_at = network.now + reply_delay_s
            self.pending = PendingRead(self.now(), network.topic.end, answered_at)
            self.exchange.announce_read(self.now())

    def receive(self, envelope: Envelope) -> None:
        """Encode and decode a message as on the wire, and process it."""
        message = envelope.message
        if isinstance(message, ReadNotice):
            self.exchange.receive_read_notice(self.now())
            return
        raw = orjson.loads(orjson.dumps(message.encode()))
        now = self.now()
        if isinstance(message, ListAnnouncement):
            self.exchange.receive_announcement(
                envelope.sender, ListAnnouncement.decode(raw), now
            )
        elif isinstance(message, ChangesRequest):
            self.exchange.receive_changes_request(
                envelope.sender, ChangesRequest.decode(raw), now
            )
        else:
            self.exchange.receive_changes_reply(
                envelope.sender, ChangesReply.decode(raw), now
            )


@dataclass(slots=True)
class EndpointListNetwork:
    """Nodes, the store's topic, and the messages in transit between nodes.

    Attributes
    ----------
    now : float
        Simulated time in seconds; no node can read it.
    """

    nodes: dict[str, ListNode] = field(default_factory=dict)
    topic: StoredTopic = field(default_factory=StoredTopic)
    in_transit: list[Envelope] = field(default_factory=list)
    now: float = 100.0

    @classmethod
    def of(cls, count: int, rng: Random) -> EndpointListNetwork:
        """Return a network of nodes with clock offsets of up to 9,999 seconds."""
        network = cls()
        for number in range(count):
            name = f"n{number}"
            network.nodes[name] = ListNode(name, network, rng.uniform(0, 9_999))
        return network

    def post(
        self,
        sender: str,
        hosts: Sequence[str],
        message: ListAnnouncement | ChangesRequest | ChangesReply | ReadNotice,
    ) -> None:
        """Send a message to the nodes on the given hosts."""
        self.in_transit += [Envelope(sender, host, message) for host in hosts]

    def deliver(self, index: int = 0) -> None:
        """Deliver one of the messages in transit, by default the oldest."""
        envelope = self.in_transit.pop(index)
        self.nodes[envelope.receiver].receive(envelope)

    def deliver_next(
        self, kind: type[ListAnnouncement | ChangesRequest | ChangesReply]
    ) -> None:
        """Deliver the oldest message of a kind before all others."""
        kinds = [type(envelope.message) for envelope in self.in_transit]
        self.deliver(kinds.index(kind))

    def write(self, name: str, content: bytes | None) -> None:
        """Write the record of an endpoint; the content None removes it."""
        self.topic.write(self.now, name, content)

    def run(
        self,
        seconds: float,
        step_s: float,
        latency_s: float,
        reply_delay_s: float | None = None,
    ) -> None:
        """Advance simulated time; all messages have the same latency.

        Parameters
        ----------
        seconds, step_s : float
            Time to simulate, and length of a step.
        latency_s : float
            Seconds that a message is in transit.
        reply_delay_s : float or None
            Seconds until the store replies to a read; if None, no node reads it.
        """
        end = self.now + seconds
        scheduled: list[tuple[float, Envelope]] = []
        while self.now < end:
            self.now += step_s
            for node in self.nodes.values():
                if reply_delay_s is not None:
                    node.read_when_due(reply_delay_s)
                node.exchange.tick(node.now())
            scheduled += [(self.now + latency_s, e) for e in self.in_transit]
            self.in_transit.clear()
            arrived = [envelope for at, envelope in scheduled if at <= self.now]
            scheduled = [(at, e) for at, e in scheduled if at > self.now]
            for envelope in arrived:
                self.nodes[envelope.receiver].receive(envelope)
