"""In-memory network of nodes that share an endpoint's request limit, for tests."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.identifiers import DomainId, EndpointId, NodeId

__all__ = [
    "ENDPOINT",
    "WINDOW_S",
    "PermitNetwork",
    "max_in_window",
    "max_requests_in_window",
]

ENDPOINT = EndpointId("e")
STEP_S = 0.01
#: Mean seconds until a node detects that others are dead or unreachable.
DETECTION_S = 1.5
#: Seconds over which the requests at an endpoint are counted.
WINDOW_S = 4.0


def max_in_window(times: Sequence[float], start: float = -inf) -> int:
    """Return the most times in any window that begins at or after `start`."""
    counted = [at for at in times if at >= start]
    return max(
        (sum(0 <= at - first < WINDOW_S for at in counted) for first in counted),
        default=0,
    )


def max_requests_in_window(per_s: float) -> float:
    """Return the maximum number of requests in a window for a limit of `per_s`.

    All nodes together can exceed the stated limit by half of it and 5 requests.
    """
    return 1.5 * per_s * WINDOW_S + 5


@dataclass(slots=True)
class _NetworkSender:
    network: PermitNetwork
    host: str

    def send_permits(self, hosts: Sequence[str], messages: list[list[Any]]) -> None:
        for host in hosts:
            self.network.send(self.host, host, messages)


@dataclass(slots=True)
class PermitNetwork:
    """Permit brokers of all nodes, each of which sends whenever it holds a permit.

    Attributes
    ----------
    count : int
        Number of nodes.
    loss : float
        Fraction of the messages that are lost.
    sent : dict of str to list of float
        Times at which each node sent requests to the endpoint.
    groups : list of set of str
        Partitions of the network: sets of hosts that can reach each other.
    """

    count: int
    loss: float
    rng: Random
    now: float = 1000.0
    brokers: dict[str, PermitBroker] = field(default_factory=dict)
    rows: dict[str, Endpoint] = field(default_factory=dict)
    sent: dict[str, list[float]] = field(default_factory=dict)
    groups: list[set[str]] = field(default_factory=list)
    _live: dict[str, set[str]] = field(default_factory=dict)
    _detections: list[tuple[float, str, set[str]]] = field(default_factory=list)
    _queue: list[tuple[str, str, list[list[Any]]]] = field(default_factory=list)

    @classmethod
    def create(cls, count: int, loss: float = 0.0, seed: int = 1) -> PermitNetwork:
        """Return a network of nodes that list each other and one endpoint."""
        network = cls(count, loss, Random(seed))
        hosts = [f"host-{number}" for number in range(count)]
        for host in hosts:
            row = Endpoint(
                ENDPOINT, ServiceName("s"), ("127.0.0.1", 1), DomainId("d"), 64
            )
            network.rows[host] = row
            network.sent[host] = []
            network._live[host] = set(hosts)
            network.brokers[host] = PermitBroker(
                host,
                {ENDPOINT: row},
                lambda host=host: {NodeId(h): h for h in network._live[host]},  # type: ignore[misc]
                lambda host=host: network._shares(host),  # type: ignore[misc]
                _NetworkSender(network, host),
                lambda: network.now,
            )
        network.groups = [set(hosts)]
        return network

    def _shares(self, host: str) -> tuple[float, float]:
        return len(self._live[host]) / self.count, 1 / self.count

    def state_limit(self, host: str, per_s: float | None) -> None:
        """Give a node a response in which the endpoint states a limit, or none."""
        self.brokers[host].note_stated_limit(
            self.rows[host], StatedLimit(per_s), self.now
        )

    def partition_into(self, *groups: set[str]) -> None:
        """Partition the network; each node detects this after a random delay."""
        self.groups = list(groups)
        for group in groups:
            for host in group:
                at = self.now + DETECTION_S * self.rng.uniform(0.7, 1.3)
                self._detections.append((at, host, group))

    def send(self, sender: str, target: str, messages: list[list[Any]]) -> None:
        """Queue messages for the next step, unless they are lost or cannot arrive."""
        reachable = any({sender, target} <= group for group in self.groups)
        if reachable and self.rng.random() >= self.loss:
            self._queue.append((sender, target, messages))

    def run(self, seconds: float) -> Iterator[None]:
        """Advance the clock in steps; each node sends when it has a permit."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for entry in [e for e in self._detections if e[0] <= self.now]:
                self._detections.remove(entry)
                self._live[entry[1]] = entry[2]
            batch, self._queue = self._queue, []
            for sender, target, messages in batch:
                self.brokers[target].receive(sender, messages)
            for host in {host for group in self.groups for host in group}:
                self._send_requests(host)
            yield

    def _send_requests(self, host: str) -> None:
        row = self.rows[host]
        if row.limit_per_s is None:
            return
        self.brokers[host].prepare([row], self.now)
        while row.free:
            row.acquire_slot()
            row.running = 0
            self.sent[host].append(self.now)

    def request_times(self) -> list[float]:
        """Return the times of the requests of all nodes, in order."""
        return sorted(at for sent in self.sent.values() for at in sent)
