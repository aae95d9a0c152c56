"""Nodes that exchange the versions of streams, in virtual time, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson

from poplarrelay.entry.resumption import ResumptionBroker
from poplarrelay.entry.stream_versions import VersionHistory
from poplarrelay.identifiers import NodeId

__all__ = ["ResumptionNetwork"]

#: One-way delay between nodes in seconds.
DELAY_S = 0.001


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
        broker = ResumptionBroker(
            host,
            lambda: {NodeId(each): each for each in self.brokers},
            _Sender(self, host),
            lambda now: self.list_age_s,
            self.now,
            history=VersionHistory(self.now()),
        )
        self.brokers[host] = broker
        return broker

    def now(self) -> float:
        """Return the virtual time, 0 outside of the event loop."""
        try:
            return asyncio.get_running_loop().time()
        except RuntimeError:
            return 0.0

    def send(self, sender: str, receiver: str, message: list[Any]) -> None:
        """Deliver a message after a delay, unless it is lost."""
        data = orjson.dumps({"resumption": message})
        self.messages += 1
        self.sent_bytes += len(data)
        lost = {sender, receiver} & self.down or self._rng.random() < self.loss
        if lost or (sender in self.separated) != (receiver in self.separated):
            return
        asyncio.get_running_loop().call_later(
            DELAY_S, self._deliver, sender, receiver, orjson.loads(data)["resumption"]
        )

    def _deliver(self, sender: str, receiver: str, message: list[Any]) -> None:
        if receiver not in self.down:
            self.brokers[receiver].receive(sender, message)


@dataclass(slots=True)
class _Sender:
    """Sends the messages of one node."""

    network: ResumptionNetwork
    host: str

    def send_resumption(self, hosts: Sequence[str], message: list[Any]) -> None:
        """Send a message to the given peers."""
        for receiver in hosts:
            self.network.send(self.host, receiver, message)
