"""Entry nodes' tables and datagrams over a path in memory, for tests and benches."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from zlib import decompress

from poplarrelay.entry.configuration import ConfigurationVersion
from poplarrelay.entry.crashes import CrashTable
from poplarrelay.entry.gossip import Gossip
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.entry.peers import PeerTable
from poplarrelay.entry.process import GOSSIP_S, TICK_S
from poplarrelay.identifiers import DomainId, Incarnation, NodeId, TeamId

__all__ = ["USE_PER_S", "Network"]

#: Teams in use, as on a large site, and endpoints that a node has requests at.
TEAMS = 19
ENDPOINTS, BUSY_ENDPOINTS = 45, 4
#: Tokens a second that each node uses of each team.
USE_PER_S = 1_000.0
SEEDS = 3


class Quiet:
    """A clock that takes no readings."""

    own = 1_764_720_000.0

    def receive(self, *args: object) -> None:
        """Take nothing."""


@dataclass(slots=True)
class Wire:
    """A node's end of the path."""

    network: Network
    host: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or lose it."""
        self.network.send(self.host, address[0], data)


@dataclass(slots=True)
class Network:
    """All nodes, and the datagrams between them.

    Attributes
    ----------
    loss : float
        Part of all datagrams that is lost.
    rounds_lost : bool
        Whether all datagrams are lost but questions for a row and their answers.
    """

    count: int
    loss: float
    seed: int
    now: float = 1000.0
    nodes: dict[str, Gossip] = field(default_factory=dict)
    tables: dict[str, PeerTable] = field(default_factory=dict)
    crashes: dict[str, CrashTable] = field(default_factory=dict)
    dead: set[str] = field(default_factory=set)
    rng: Random = field(default_factory=Random)
    rounds_lost: bool = False
    _queue: list[tuple[str, str, bytes]] = field(default_factory=list)
    _answering: bool = False
    _due: dict[str, float] = field(default_factory=dict)

    @classmethod
    def starting(cls, count: int, loss: float, seed: int) -> Network:
        """Return nodes that know three seeds and nobody else."""
        network = cls(count, loss, seed, rng=Random(seed))
        for index in range(count):
            network.add_node(index)
        return network

    def add_node(self, index: int) -> str:
        """Start a node and return its host."""
        row = _row(index, self.rng)
        table = PeerTable(row)
        node = Gossip(
            table,
            Quiet(),  # type: ignore[arg-type]
            lambda row: None,
            lambda: self.now,
            Random(self.seed * 1000 + index),
        )
        node._transport = Wire(self, row.host)  # type: ignore[assignment]
        self.nodes[row.host] = node
        self.tables[row.host] = table
        self.crashes[row.host] = CrashTable()
        node.attach_crashes(self.crashes[row.host])
        self._due[row.host] = self.now + GOSSIP_S * self.rng.random()
        return row.host

    @property
    def alive(self) -> list[str]:
        """Return the hosts of the nodes that run."""
        return [host for host in self.nodes if host not in self.dead]

    def send(self, sender: str, target: str, data: bytes) -> None:
        """Take a datagram on its way, unless it is lost."""
        if self.rounds_lost and not self._answering and b"ask" not in decompress(data):
            return
        if self.rng.random() >= self.loss:
            self._queue.append((target, sender, data))

    def step(self) -> None:
        """Let a tick pass: datagrams arrive, and rounds that are due are run."""
        self.now += TICK_S
        batch, self._queue = self._queue, []
        for target, sender, data in batch:
            if target in self.nodes and target not in self.dead:
                self._answering = True
                self.nodes[target].datagram_received(data, (sender, 0))
                self._answering = False
        for host in self.alive:
            node = self.nodes[host]
            if self.now >= self._due[host] or node.urgent:
                self._due[host] = self.now + GOSSIP_S * (0.9 + 0.2 * self.rng.random())
                self._round(host)
            elif self.crashes[host].urgent:
                node.send_crashes()

    def _round(self, host: str) -> None:
        table = self.tables[host]
        table.me.version += 1
        use = USE_PER_S * (self.now - 1000.0)
        table.me.spent = {team: use for team in table.me.spent}
        table.forget(self.now)
        table.regroup(self.count, self.now)
        self.nodes[host].run_round(list(self.nodes)[:SEEDS])

    def run(self, seconds: float) -> Iterator[None]:
        """Let time pass, a tick at a time."""
        for _ in range(round(seconds / TICK_S)):
            self.step()
            yield

    def count_false_deaths(self) -> tuple[int, int]:
        """Return how many live nodes are not named by a live one, and all pairs."""
        alive = set(self.alive)
        wrong = pairs = 0
        for host in self.alive[:: max(1, self.count // 20)]:
            seen = {row.host for row in self.tables[host].alive(self.now)}
            wrong += len(alive - seen - {host})
            pairs += len(alive) - 1
        return wrong, pairs


def _row(index: int, rng: Random) -> PeerRow:
    teams = [TeamId(f"team-{number}") for number in range(TEAMS)]
    endpoints = [f"i-{number * 7_919:010x}" for number in range(ENDPOINTS)]
    return PeerRow(
        node=NodeId(f"node-{index}"),
        incarnation=Incarnation(f"{1_764_720_000_000 + index:013d}-{index:06d}"),
        version=1,
        host=f"10.1.{index // 250}.{index % 250}",
        domain=DomainId(f"domain-{index % 6}"),
        state=NodeState.READY,
        configuration=ConfigurationVersion(1),
        usage={w: {t: rng.randrange(1, 9) for t in teams[::3]} for w in (1, 2)},
        spent=dict.fromkeys(teams, 0.0),
        loads={e: rng.randrange(1, 4) for e in rng.sample(endpoints, BUSY_ENDPOINTS)},  # type: ignore[misc]
        demand={"llm": 1000},  # type: ignore[dict-item]
    )
