"""Nodes that exchange the versions of streams, in virtual time, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.resumption import ResumptionBroker
from poplarrelay.entry.store_era import FIRST_ERA
from poplarrelay.entry.stream_archive import ListPosition, StreamArchive
from poplarrelay.entry.stream_versions import StreamVersionTable, VersionHistory
from poplarrelay.exception import HistoryTrimmed, PlatformUnavailable
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    NodeId,
    Offset,
    SoftwareVersion,
    StoreEra,
)
from poplarrelay.platform.records import ENDPOINTS_TOPIC
from poplarrelay.platform.store import LogPage, encode_keyed

__all__ = ["MemoryLog", "ResumptionNetwork"]

#: One-way delay between nodes in seconds.
DELAY_S = 0.001
#: Seconds between two ticks of a node.
TICK_S = 0.05
#: Seconds until the log answers.
ANSWER_S = 0.004
#: Seconds for which the log keeps records.
HISTORY_S = 20.0


@dataclass(slots=True)
class MemoryLog:
    """Log of the platform's store in memory.

    Attributes
    ----------
    topics : dict of str to list
        Time and content of all records of each topic; expired ones stay at their place.
    trimmed : dict of str to int
        Offset of the first record that is left, by topic.
    silent : bool
        Whether the log answers no call.
    """

    topics: dict[str, list[tuple[float, bytes]]] = field(default_factory=dict)
    trimmed: dict[str, int] = field(default_factory=dict)
    silent: bool = False
    appends: int = 0
    reads: int = 0
    era: StoreEra = FIRST_ERA

    async def _answer(self, call: str) -> None:
        await asyncio.sleep(ANSWER_S)
        if self.silent:
            raise PlatformUnavailable(call, None)

    async def read(self, topic: str, partition: int, start: Offset) -> LogPage:
        """Read records that start at an offset."""
        await self._answer("read")
        self.reads += 1
        records = self.topics.get(topic, [])
        oldest = asyncio.get_running_loop().time() - HISTORY_S
        expired = sum(at <= oldest for at, _ in records)
        first = max(expired, self.trimmed.get(topic, 0))
        if start < first:
            raise HistoryTrimmed(min(first, len(records)))
        found = tuple(content for _, content in records[start:])
        return LogPage(found, Offset(start + len(found)), Offset(len(records)))

    async def append(self, topic: str, partition: int, records: list[bytes]) -> Offset:
        """Append records."""
        await self._answer("append")
        self.appends += 1
        now = asyncio.get_running_loop().time()
        known = self.topics.setdefault(topic, [])
        known += [(now, record) for record in records]
        return Offset(len(known))

    async def list_endpoint(self, endpoint: str, service: str, version: str) -> None:
        """Append the record of an endpoint."""
        value = {
            "service": service,
            "address": "10.0.0.1:80",
            "zone": "north",
            "version": version,
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        record = encode_keyed(endpoint, orjson.dumps(value))
        await self.append(ENDPOINTS_TOPIC, 0, [record])

    def position(self) -> ListPosition:
        """Return the end of the list of endpoints."""
        end = len(self.topics.get(ENDPOINTS_TOPIC, []))
        return ListPosition(self.era, Offset(end), recent=not self.silent)


@dataclass(slots=True)
class ResumptionNetwork:
    """Resumption brokers of some nodes.

    Attributes
    ----------
    loss : float
        Share of the messages that are lost.
    down : set of str
        Hosts that neither send nor receive messages. Other nodes do not know of them.
    separated : set of str
        Hosts that reach only each other.
    messages, sent_bytes : int
        Messages sent by all nodes, and their bytes.
    """

    count: int
    loss: float = 0.0
    seed: int = 0
    down: set[str] = field(default_factory=set)
    separated: set[str] = field(default_factory=set)
    list_age_s: float = 0.0
    messages: int = 0
    sent_bytes: int = 0
    brokers: dict[str, ResumptionBroker] = field(default_factory=dict)
    log: MemoryLog | None = None
    archivists: list[asyncio.Task[None]] = field(default_factory=list)
    _rng: Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        for number in range(self.count):
            self.add_node(f"node-{number}")

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of all nodes."""
        return list(self.brokers)

    def add_node(self, host: str) -> ResumptionBroker:
        """Add a node that all others know at once; its history begins now."""
        history = VersionHistory(self.now())
        table, archive = StreamVersionTable(), None
        if self.log is not None:
            archive = StreamArchive(
                host,
                lambda: {NodeId(each): each for each in self.brokers},
                _Sender(self, host),
                self.log,
                self.log.position,
                HISTORY_S,
                self.now,
                table,
                history,
            )
        broker = ResumptionBroker(
            host,
            lambda: {NodeId(each): each for each in self.brokers},
            _Sender(self, host),
            lambda now: self.list_age_s,
            self.now,
            table,
            history,
            archive,
        )
        self.brokers[host] = broker
        return broker

    async def run(self, seconds: float, versions: Sequence[str] = ()) -> None:
        """Run the ticks of all nodes, which list endpoints of some versions.

        Parameters
        ----------
        seconds : float
            Seconds of virtual time.
        versions : sequence of str
            Versions of the service ``drafts`` that are listed.
        """
        rows = [_listed_row(version) for version in versions]
        loop = asyncio.get_running_loop()
        for broker in self.brokers.values():
            if broker.archive is not None:
                task = loop.create_task(broker.archive.append_forever())
                self.archivists.append(task)
        end = self.now() + seconds
        while self.now() < end:
            for broker in self.brokers.values():
                if broker.archive is not None:
                    broker.archive.tick()
                broker.history.note(rows, self.now())
            await asyncio.sleep(TICK_S)
        for task in self.archivists:
            task.cancel()
        self.archivists.clear()

    def kill_all(self) -> None:
        """Replace all nodes by ones that know nothing, whose histories begin now."""
        hosts = self.hosts
        self.brokers.clear()
        for host in hosts:
            self.add_node(host)

    def now(self) -> float:
        """Return the virtual time, 0 outside of the event loop."""
        try:
            return asyncio.get_running_loop().time()
        except RuntimeError:
            return 0.0

    def send(self, sender: str, receiver: str, message: list[Any], kind: str) -> None:
        """Deliver a message after a delay, unless it is lost."""
        data = orjson.dumps({kind: message})
        self.messages += 1
        self.sent_bytes += len(data)
        lost = {sender, receiver} & self.down or self._rng.random() < self.loss
        if lost or (sender in self.separated) != (receiver in self.separated):
            return
        asyncio.get_running_loop().call_later(
            DELAY_S, self._deliver, sender, receiver, kind, orjson.loads(data)[kind]
        )

    def _deliver(
        self, sender: str, receiver: str, kind: str, message: list[Any]
    ) -> None:
        if receiver in self.down:
            return
        broker = self.brokers[receiver]
        if kind == "resumption":
            broker.receive(sender, message)
        elif broker.archive is not None:
            broker.archive.receive(sender, message)


def _listed_row(version: str) -> Endpoint:
    return Endpoint(
        EndpointId(f"endpoint-{version}"),
        ServiceName("drafts"),
        ("10.0.0.1", 80),
        DomainId("north"),
        8,
        version=SoftwareVersion(version),
    )


@dataclass(slots=True)
class _Sender:
    """Sends the messages of one node."""

    network: ResumptionNetwork
    host: str

    def send_resumption(self, hosts: Sequence[str], message: list[Any]) -> None:
        """Send a message to the given peers."""
        for receiver in hosts:
            self.network.send(self.host, receiver, message, "resumption")

    def send_archive(self, host: str, message: list[Any]) -> None:
        """Send a message to the archive of a peer."""
        self.network.send(self.host, host, message, "archive")
