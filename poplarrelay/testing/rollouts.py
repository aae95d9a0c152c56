"""Builders of roll-outs, of their evidence and of nodes that take part, for tests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint, EndpointTable
from poplarrelay.entry.rollouts.evidence import Evidence, LatencyKind, RouteName, Side
from poplarrelay.entry.rollouts.records import (
    RolloutOrder,
    RolloutPhase,
    RolloutProgress,
)
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    Offset,
    SoftwareVersion,
)
from poplarrelay.standins.users.runner import BadVersion
from poplarrelay.testing.entry_site import EntrySite, poll_until

__all__ = [
    "NEW",
    "OLD",
    "SERVICE",
    "RolloutNode",
    "add_target",
    "add_versions",
    "count_runs",
    "make_evidence",
    "make_order",
    "make_progress",
    "run_traffic",
]

SERVICE = ServiceName("desk")
OLD, NEW = SoftwareVersion("1"), SoftwareVersion("2")


def make_order(
    target: SoftwareVersion = NEW, offset: int = 1, duration_s: float = 12.0
) -> RolloutOrder:
    """Return an order for the example service."""
    return RolloutOrder(SERVICE, target, duration_s, Offset(offset))


def make_progress(
    phase: RolloutPhase = RolloutPhase.CANARY,
    target: SoftwareVersion = NEW,
    offset: int = 1,
    since: float = 0.0,
) -> RolloutProgress:
    """Return the progress of an order that was given at time 0."""
    return RolloutProgress(make_order(target, offset), 0.0, since, phase)


def make_evidence(
    target: tuple[int, int] = (0, 0),
    others: tuple[int, int] = (0, 0),
    route: str = "look",
    slow: int = 0,
) -> Evidence:
    """Return evidence with answers and failures of both sides on one route.

    Parameters
    ----------
    target, others : tuple of int
        Answers, and failures among them.
    slow : int
        Number of the target's answers that take ten times as long as the others.
    """
    evidence = Evidence()
    for side, (answers, failures) in ((Side.TARGET, target), (Side.OTHERS, others)):
        counts = evidence.of(side, RouteName(route))
        counts.answers, counts.failures = answers, failures
        for number in range(answers - failures):
            is_slow = side is Side.TARGET and number < slow
            counts.note_latency(LatencyKind.ANSWER, 0.5 if is_slow else 0.05)
    return evidence


@dataclass(slots=True)
class RolloutNode:
    """A node's roll-outs and endpoints, with a clock that the test advances."""

    now: float = 0.0
    seed: int = 1
    canary_share: float = 0.1
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    table: RolloutTable = field(init=False)

    def __post_init__(self) -> None:
        self.table = RolloutTable(
            self.canary_share, lambda: self.now, Random(self.seed)
        )

    def add(self, version: SoftwareVersion, count: int = 3, slots: int = 1000) -> None:
        """Add endpoints of a version."""
        for number in range(count):
            row = Endpoint(
                EndpointId(f"{version}-{number}"),
                SERVICE,
                ("10.9.0.1", 7000 + number),
                DomainId("north"),
                slots,
                version=version,
            )
            self.endpoints.put(row)
        self.mark()

    def mark(self) -> None:
        """Update which endpoints are barred."""
        self.table.mark_endpoints(self.endpoints, self.now)

    def versions(self) -> set[SoftwareVersion]:
        """Return the versions to which the next request can be sent."""
        rows = self.endpoints.accepting(SERVICE)
        return {row.version for row in self.table.eligible(SERVICE, rows, self.now)}

    def send(self, requests: int) -> int:
        """Send requests; return how many of them the new version got."""
        sent = 0
        for _ in range(requests):
            rows = self.endpoints.accepting(SERVICE)
            rows = list(self.table.eligible(SERVICE, rows, self.now))
            if rows:
                self.table.note_acquired(rows[0])
                sent += rows[0].version == NEW
        return sent


async def add_versions(
    site: EntrySite,
    service: str,
    bad: BadVersion | None = None,
    count: int = 3,
    pause_s: float = 0.02,
) -> None:
    """Start endpoints of versions 1 and 2, after each node lists the former."""
    for number in range(count):
        await site.add_runner(f"old-{number}", service, pause_s=pause_s)
    nodes = [node.state.endpoints.rows for node in site.nodes.values()]
    await poll_until(lambda: all(len(rows) >= count for rows in nodes))
    await add_target(site, service, bad, count, pause_s)


async def add_target(
    site: EntrySite,
    service: str,
    bad: BadVersion | None = None,
    count: int = 3,
    pause_s: float = 0.02,
) -> None:
    """Start endpoints of version 2."""
    for number in range(count):
        runner = await site.add_runner(
            f"new-{number}", service, version=NEW, pause_s=pause_s
        )
        runner.bad_version = bad


def count_runs(site: EntrySite, prefix: str, since: float = float("-inf")) -> int:
    """Return the requests that endpoints of the given names have run since a time."""
    return sum(
        request.at >= since
        for name, runner in site.runners.items()
        if name.startswith(prefix)
        for request in runner.ran
    )


@contextlib.asynccontextmanager
async def run_traffic(
    site: EntrySite, path: str = "/look/x", per_s: float = 100.0, nodes: str = ""
) -> AsyncIterator[list[int]]:
    """Send requests to the named nodes in turn, or to all; yields the statuses."""
    statuses: list[int] = []
    tasks: set[asyncio.Task[None]] = set()

    async def call(node: str) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            statuses.append((await site.call(path, node=node)).status)

    async def produce() -> None:
        number = 0
        while True:
            names = nodes or list(site.nodes)
            task = asyncio.create_task(call(names[number % len(names)]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1 / per_s)

    producer = asyncio.create_task(produce())
    try:
        yield statuses
    finally:
        producer.cancel()
        await asyncio.gather(producer, *tasks, return_exceptions=True)
