"""Gossip of entry nodes over an in-memory network, for tests and benchmarks."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from zlib import decompress

from poplarrelay.entry.configuration import ConfigurationVersion
from poplarrelay.entry.crashes import CrashTable
from poplarrelay.entry.departures import DepartureTable
from poplarrelay.entry.gossip import Gossip
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.entry.peers import PeerTable
from poplarrelay.entry.process import GOSSIP_S, TICK_S
from poplarrelay.entry.quarantine import QuarantineTable
from poplarrelay.identifiers import DomainId, Incarnation, NodeId, TeamId

__all__ = ["USAGE_PER_S", "Network"]

#: Teams of a large site.
TEAMS = 19
#: Endpoints of the site, and those at which one node has requests running.
ENDPOINTS, BUSY_ENDPOINTS = 45, 4
#: Tokens per second that each team uses at each node.
USAGE_PER_S = 1_000.0
#: Nodes that every node knows from the start.
SEEDS = 3


class FixedClock:
    """A cluster clock that ignores the clocks of peers."""

    own = 1_764_720_000.0

    def receive(self, *args: object) -> None:
        """Ignore a peer's clock."""


@dataclass(slots=True)
class InMemoryTransport:
    """Datagram transport of one node."""

    network: Network
    host: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, which the network can lose."""
        self.network.send(self.host, address[0], data)


@dataclass(slots=True)
class Network:
    """All nodes and the datagrams between them.

    Attributes
    ----------
    count : int
        Number of nodes at the start.
    loss : float
        Fraction of the datagrams that are lost.
    now : float
        Simulated time in seconds.
    nodes, tables, crashes, quarantines, departures : dict
        Gossip and tables of peers, crashes, suspect parts and departures of each node,
        by host.
    dead : set of str
        Hosts of the nodes that have ended.
    drop_rounds : bool
        Whether to lose all datagrams except requests for a row and their replies.
    """

    count: int
    loss: float
    seed: int
    now: float = 1000.0
    nodes: dict[str, Gossip] = field(default_factory=dict)
    tables: dict[str, PeerTable] = field(default_factory=dict)
    crashes: dict[str, CrashTable] = field(default_factory=dict)
    quarantines: dict[str, QuarantineTable] = field(default_factory=dict)
    departures: dict[str, DepartureTable] = field(default_factory=dict)
    dead: set[str] = field(default_factory=set)
    rng: Random = field(default_factory=Random)
    drop_rounds: bool = False
    _queue: list[tuple[str, str, bytes]] = field(default_factory=list)
    _replying: bool = False
    _next_round_at: dict[str, float] = field(default_factory=dict)

    @classmethod
    def create(cls, count: int, loss: float, seed: int) -> Network:
        """Return a network in which each node knows only three seeds."""
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
            FixedClock(),  # type: ignore[arg-type]
            lambda row: None,
            lambda: self.now,
            Random(self.seed * 1000 + index),
        )
        node._transport = InMemoryTransport(self, row.host)  # type: ignore[assignment]
        self.nodes[row.host] = node
        self.tables[row.host] = table
        self.crashes[row.host] = CrashTable()
        self.quarantines[row.host] = QuarantineTable()
        node.attach_crashes(self.crashes[row.host], self.quarantines[row.host])
        self.departures[row.host] = DepartureTable({}, node.send_departures)
        node.attach_departures(self.departures[row.host])
        self._next_round_at[row.host] = self.now + GOSSIP_S * self.rng.random()
        return row.host

    @property
    def alive(self) -> list[str]:
        """Return the hosts of the running nodes."""
        return [host for host in self.nodes if host not in self.dead]

    def send(self, sender: str, target: str, data: bytes) -> None:
        """Queue a datagram for the next step unless it is lost."""
        if self.drop_rounds and not self._replying and b"ask" not in decompress(data):
            return
        if self.rng.random() >= self.loss:
            self._queue.append((target, sender, data))

    def step(self) -> None:
        """Advance time by a tick, deliver datagrams and run the rounds that are due."""
        self.now += TICK_S
        batch, self._queue = self._queue, []
        for target, sender, data in batch:
            if target in self.nodes and target not in self.dead:
                self._replying = True
                self.nodes[target].datagram_received(data, (sender, 0))
                self._replying = False
        for host in self.alive:
            node = self.nodes[host]
            if self.now >= self._next_round_at[host] or node.urgent:
                self._next_round_at[host] = self.now + GOSSIP_S * (
                    0.9 + 0.2 * self.rng.random()
                )
                self._run_round(host)
            elif self.crashes[host].urgent or self.quarantines[host].urgent:
                node.send_crashes()

    def _run_round(self, host: str) -> None:
        table = self.tables[host]
        table.me.version += 1
        used = USAGE_PER_S * (self.now - 1000.0)
        table.me.used = {team: used for team in table.me.used}
        table.forget(self.now)
        table.regroup(self.count, self.now)
        self.nodes[host].run_round(list(self.nodes)[:SEEDS])

    def run(self, seconds: float) -> Iterator[None]:
        """Advance time tick by tick, and yield after each tick."""
        for _ in range(round(seconds / TICK_S)):
            self.step()
            yield

    def count_false_deaths(self) -> tuple[int, int]:
        """Return how many live nodes other nodes do not list, and how many they should.

        In a network of 40 or more nodes, only 20 to 30 of them are checked. Both
        numbers are sums over the checked nodes.
        """
        alive = set(self.alive)
        missing = pairs = 0
        for host in self.alive[:: max(1, self.count // 20)]:
            seen = {row.host for row in self.tables[host].alive(self.now)}
            missing += len(alive - seen - {host})
            pairs += len(alive) - 1
        return missing, pairs


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
        used=dict.fromkeys(teams, 0.0),
        loads={e: rng.randrange(1, 4) for e in rng.sample(endpoints, BUSY_ENDPOINTS)},  # type: ignore[misc]
        demand={"llm": 1000},  # type: ignore[dict-item]
    )
