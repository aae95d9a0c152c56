"""Nodes that tell each other of their lists of endpoints, without a network."""

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
    "ListNode",
    "Envelope",
    "StoredTopic",
    "endpoint_record",
]


def endpoint_record(state: str = "ready", **changes: Any) -> bytes:
    """Return an endpoint's record; fields may be changed, or left out by None."""
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
    """All records of the endpoints' topic, and when each was written."""

    records: list[tuple[float, str, bytes | None]] = field(default_factory=list)

    def write(self, now: float, key: str, content: bytes | None) -> None:
        """Append a record; None removes the key's."""
        self.records.append((now, key, content))

    @property
    def end(self) -> Offset:
        """Return the offset after the last record."""
        return Offset(len(self.records))

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key that has one."""
        found = {key: offset for offset, (_, key, _) in enumerate(self.records)}
        return [
            KeyedRecord(key, content, Offset(offset))
            for key, offset in found.items()
            if (content := self.records[offset][2]) is not None
        ]

    def since(self, start: Offset) -> list[KeyedRecord]:
        """Return all records from an offset on."""
        return [
            KeyedRecord(key, content, Offset(offset))
            for offset, (_, key, content) in enumerate(self.records)
            if offset >= start
        ]

    def written(self, key: str, before: float) -> int:
        """Return the offset of a key's newest record before a time, -1 if none."""
        offsets = [
            offset
            for offset, (at, name, _) in enumerate(self.records)
            if name == key and at < before
        ]
        return max(offsets, default=-1)


@dataclass(frozen=True, slots=True)
class Reading:
    """The news that a node begins to read the store."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message on its way, in the form for JSON."""

    sender: str
    receiver: str
    message: ListAnnouncement | ChangesRequest | ChangesReply | Reading


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that the store has not answered yet.

    Attributes
    ----------
    sent_at : float
        Time of the node's clock.
    answered_at : float
        True time of the answer.
    """

    sent_at: float
    end: Offset
    answered_at: float


@dataclass(slots=True)
class ListNode:
    """One node: its tables, its list, and what it tells.

    Attributes
    ----------
    ahead_s : float
        By how much its monotonic clock is ahead of true time; nodes' clocks have
        nothing to do with each other.
    """

    name: str
    network: EndpointListNetwork
    ahead_s: float
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
            self._ask_whole,
            lambda: None,
            rng,
        )

    def _ask_whole(self) -> None:
        self.full_reads_requested += 1

    def now(self) -> float:
        """Return the node's monotonic time."""
        return self.network.now + self.ahead_s

    @property
    def confirmed_at(self) -> float:
        """Return the true time as of which the node takes its list for the store's."""
        return self.state.freshness.confirmed_at - self.ahead_s

    def read(self, answer_after_s: float = 0.0, whole: bool = False) -> None:
        """Read the store, which answers after a while."""
        freshness = self.state.freshness
        sent_at, start = self.now(), freshness.as_of
        self.network.now += answer_after_s
        topic = self.network.topic
        end = topic.end
        if whole or sent_at - freshness.confirmed_at > 1e6:
            self.endpoints.apply_newest(topic.newest(), end)
        else:
            self.endpoints.apply_records(topic.since(start))
        freshness.note_read(sent_at, end)

    def uses(self, name: str) -> bool:
        """Return whether the node sends new requests to an endpoint."""
        row = self.state.endpoints.rows.get(EndpointId(name))
        return row is not None and row.accepts_work

    # the sender's side

    def send_announcement(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Put a hint on its way."""
        self.network.post(self.name, hosts, announcement)

    def send_read_notice(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Put the news that this node reads on its way."""
        self.network.post(self.name, hosts, Reading())

    def send_changes_request(
        self, hosts: Sequence[str], request: ChangesRequest
    ) -> None:
        """Put a question on its way."""
        self.network.post(self.name, hosts, request)

    def send_changes_reply(self, host: str, reply: ChangesReply) -> None:
        """Put an answer on its way."""
        self.network.post(self.name, [host], reply)

    def read_when_due(self, answer_after_s: float) -> None:
        """Begin a read that is due, and take the answer of one that has begun."""
        network, freshness = self.network, self.state.freshness
        pending = self.pending
        if pending is not None and network.now >= pending.answered_at:
            self.pending = None
            freshness.note_read(pending.sent_at, pending.end)
        elif pending is None and freshness.due_in_s(self.now()) <= 0:
            self.reads += 1
            answered_at = network.now + answer_after_s
            self.pending = PendingRead(self.now(), network.topic.end, answered_at)
            self.exchange.announce_read(self.now())

    def receive(self, envelope: Envelope) -> None:
        """Take what another node sent, as decoded from its bytes."""
        message = envelope.message
        if isinstance(message, Reading):
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
    """Nodes, the store's topic, and what is on its way between nodes.

    Attributes
    ----------
    now : float
        True time in seconds, which no node knows.
    """

    nodes: dict[str, ListNode] = field(default_factory=dict)
    topic: StoredTopic = field(default_factory=StoredTopic)
    in_transit: list[Envelope] = field(default_factory=list)
    now: float = 100.0

    @classmethod
    def of(cls, count: int, rng: Random) -> EndpointListNetwork:
        """Return a network of nodes whose clocks differ by hours."""
        network = cls()
        for number in range(count):
            name = f"n{number}"
            network.nodes[name] = ListNode(name, network, rng.uniform(0, 9_999))
        return network

    def post(
        self,
        sender: str,
        hosts: Sequence[str],
        message: ListAnnouncement | ChangesRequest | ChangesReply | Reading,
    ) -> None:
        """Put a message on its way to some nodes."""
        self.in_transit += [Envelope(sender, host, message) for host in hosts]

    def deliver(self, index: int = 0) -> None:
        """Let one message arrive."""
        envelope = self.in_transit.pop(index)
        self.nodes[envelope.receiver].receive(envelope)

    def deliver_next(
        self, kind: type[ListAnnouncement | ChangesRequest | ChangesReply]
    ) -> None:
        """Let the first message of a kind arrive, before all others."""
        kinds = [type(envelope.message) for envelope in self.in_transit]
        self.deliver(kinds.index(kind))

    def write(self, name: str, content: bytes | None) -> None:
        """Let an endpoint write its record, or remove it."""
        self.topic.write(self.now, name, content)

    def run(
        self,
        seconds: float,
        step_s: float,
        latency_s: float,
        answer_after_s: float | None = None,
    ) -> None:
        """Let time pass, in which every message takes the same time on its way.

        Parameters
        ----------
        answer_after_s : float or None
            Time that the store takes to answer; None lets no node read it.
        """
        end = self.now + seconds
        due: list[tuple[float, Envelope]] = []
        while self.now < end:
            self.now += step_s
            for node in self.nodes.values():
                if answer_after_s is not None:
                    node.read_when_due(answer_after_s)
                node.exchange.tick(node.now())
            due += [(self.now + latency_s, envelope) for envelope in self.in_transit]
            self.in_transit.clear()
            arrived = [envelope for at, envelope in due if at <= self.now]
            due = [(at, envelope) for at, envelope in due if at > self.now]
            for envelope in arrived:
                self.nodes[envelope.receiver].receive(envelope)
