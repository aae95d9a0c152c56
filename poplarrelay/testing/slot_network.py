"""Nodes that share the slots of a few endpoints, in virtual time, for tests."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

from poplarrelay.entry.brittleness import BrittlenessTable, StatedBrittleness
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint, EndpointTable
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.entry.scheduling.fair_queue import Waiting
from poplarrelay.entry.slot_broker import SlotBroker
from poplarrelay.identifiers import DomainId, EndpointId, NodeId, RequestId, TeamId

__all__ = ["Load", "SlotNetwork"]

#: One-way delay between nodes in seconds.
DELAY_S = 0.001
#: Seconds between refreshes of a node.
REFRESH_S = 0.4
#: Seconds that a fallen endpoint is away.
RECOVERY_S = 3.0


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of one team.

    Attributes
    ----------
    nodes : tuple of int
        Numbers of the nodes that receive the requests, in turn.
    max_wait_s : float
        Seconds that a request accepts to wait for a slot.
    """

    team: str
    per_s: float
    nodes: tuple[int, ...]
    priority: int = 1
    weight: float = 1.0
    max_wait_s: float = 0.25


@dataclass(slots=True)
class SlotNetwork:
    """Slot brokers of some nodes, and endpoints that take a fixed time for a request.

    Attributes
    ----------
    down, known_down : set of str
        Hosts that neither send nor receive messages, and those of which all nodes know.
    asked, served : Counter of str
        Requests and granted requests by team, after the warm-up.
    waits : dict of str to list of float
        Seconds that granted requests of each team have waited.
    most_running : int
        Largest number of requests that ran at one endpoint at the same time.
    room : int or None
        Requests that an endpoint takes, None if it takes as many as it has slots.
    survives : float or None
        Rejections in a second that the endpoints state to survive, None if they are not
        brittle.
    rejected_at : dict of EndpointId to list of float
        Times at which each endpoint rejected a request.
    """

    nodes: int
    endpoints: int = 2
    slots: int = 4
    service_s: float = 0.1
    loss: float = 0.0
    rng: Random = field(default_factory=lambda: Random(1))
    down: set[str] = field(default_factory=set)
    known_down: set[str] = field(default_factory=set)
    asked: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    late_refusals: int = 0
    unanswered: int = 0
    waits: dict[str, list[float]] = field(default_factory=dict)
    most_running: int = 0
    room: int | None = None
    survives: float | None = None
    rejected_at: dict[EndpointId, list[float]] = field(default_factory=dict)
    messages: int = 0
    brokers: dict[str, SlotBroker] = field(default_factory=dict)
    tables: dict[str, EndpointTable] = field(default_factory=dict)
    _running: Counter[EndpointId] = field(default_factory=Counter)
    _numbers: int = 0

    def start(self) -> None:
        """Create the brokers, inside the event loop."""
        loop = asyncio.get_running_loop()
        hosts = [f"h{number}" for number in range(self.nodes)]
        for host in hosts:
            table = EndpointTable()
            for number in range(self.endpoints):
                name, service = EndpointId(f"e{number}"), ServiceName("desk")
                address, domain = ("127.0.0.1", 1), DomainId("d")
                table.put(Endpoint(name, service, address, domain, self.slots))
            self.tables[host] = table
            self.brokers[host] = SlotBroker(
                host,
                table,
                lambda: {NodeId(h): h for h in hosts if h not in self.known_down},
                _Sender(self, host),
                loop.time,
                BrittlenessTable(table),
            )
        for host, table in self.tables.items():
            for row in table.rows.values():
                self._note_answer(host, row)

    def _note_answer(self, host: str, row: Endpoint) -> None:
        """Note what an endpoint states in an answer to a node."""
        now = asyncio.get_running_loop().time()
        stated = StatedBrittleness(self.survives)
        self.brokers[host].brittleness.note(row, stated, now, now)

    def count_falls(self) -> int:
        """Return how often endpoints rejected more in a second than they survive.

        An endpoint that has fallen rejects nothing for `RECOVERY_S`.
        """
        falls = 0
        for times in self.rejected_at.values():
            recent: list[float] = []
            back_at = -inf
            for at in times:
                if at < back_at:
                    continue
                recent = [*(each for each in recent if at - each <= 1.0), at]
                if self.survives is not None and len(recent) > self.survives:
                    falls += 1
                    recent, back_at = [], at + RECOVERY_S
        return falls

    def deliver(self, sender: str, host: str, messages: list[list[Any]]) -> None:
        """Deliver messages after a delay, unless they are lost."""
        self.messages += len(messages)
        if {sender, host} & self.down or self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_S, self.brokers[host].receive, sender, messages)

    def coordinator(self, endpoint: str) -> str:
        """Return the host that coordinates an endpoint while all nodes are up."""
        hosts = {NodeId(host): host for host in self.brokers}
        return hosts[choose_coordinator(EndpointId(endpoint), hosts)]

    async def kill(self, host: str, detection_s: float) -> None:
        """Kill a node; the others notice it after some seconds."""
        self.down.add(host)
        await asyncio.sleep(detection_s)
        self.known_down.add(host)

    async def play(self, loads: list[Load], seconds: float, warm_up_s: float) -> None:
        """Play the loads for some seconds, and count the requests after the warm-up."""
        async with asyncio.TaskGroup() as group:
            for load in loads:
                group.create_task(self._send(load, seconds, warm_up_s))
            for host in self.brokers:
                group.create_task(self._refresh(host, seconds + 1.0))

    async def _refresh(self, host: str, seconds: float) -> None:
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(REFRESH_S)
            if host not in self.down:
                self.brokers[host].refresh()
                for row in self.tables[host].rows.values():
                    # As gossip does; a load that was once high would stay.
                    row.running_at_other_nodes = 0

    async def _send(self, load: Load, seconds: float, warm_up_s: float) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        sent = 0
        async with asyncio.TaskGroup() as group:
            while loop.time() < began_at + seconds:
                host = f"h{load.nodes[sent % len(load.nodes)]}"
                counts = loop.time() >= began_at + warm_up_s
                if host not in self.down:
                    group.create_task(self._request(host, load, counts))
                sent += 1
                await asyncio.sleep(self.rng.expovariate(load.per_s))

    async def _request(self, host: str, load: Load, counts: bool) -> None:
        loop = asyncio.get_running_loop()
        self._numbers += 1
        request = RequestId(f"r{self._numbers}")
        row = self._choose(host)
        now = loop.time()
        expires_at = now + load.max_wait_s
        team = TeamId(load.team)
        waiting = Waiting(
            request, host, team, load.priority, 1.0, load.weight, expires_at
        )
        reply = await self.brokers[host].acquire(row, waiting)
        self.asked[load.team] += counts
        if reply is None:
            self.unanswered += 1
        elif reply.granted:
            self.served[load.team] += counts
            self.waits.setdefault(load.team, []).append(loop.time() - now)
            await self._run(host, row, request)
        elif loop.time() >= expires_at:
            self.late_refusals += 1

    def _choose(self, host: str) -> Endpoint:
        rows = list(self.tables[host].rows.values())
        pair = self.rng.sample(rows, min(2, len(rows)))
        return min(pair, key=lambda row: row.load)

    async def _run(self, host: str, row: Endpoint, request: RequestId) -> None:
        if self.room is not None and self._running[row.endpoint] >= self.room:
            now = asyncio.get_running_loop().time()
            self.rejected_at.setdefault(row.endpoint, []).append(now)
            self._note_answer(host, row)
            self.brokers[host].reject(row, request)
            return
        row.running += 1
        self._running[row.endpoint] += 1
        self.most_running = max(self.most_running, self._running[row.endpoint])
        await asyncio.sleep(self.service_s)
        row.running -= 1
        self._running[row.endpoint] -= 1
        if host not in self.down:
            self._note_answer(host, row)
            self.brokers[host].end(row, request)

    def share_served(self, team: str) -> float:
        """Return the share of a team's requests that got a slot."""
        return self.served[team] / self.asked[team]


@dataclass(slots=True)
class _Sender:
    network: SlotNetwork
    host: str

    def send_slots(self, host: str, messages: list[list[Any]]) -> None:
        self.network.deliver(self.host, host, messages)
