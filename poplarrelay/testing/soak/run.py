"""One soak run: nodes as processes, callers, faults from outside, and the verdict."""

from __future__ import annotations

import asyncio
import logging
import signal
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.duty_worker import GROUP
from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.runner import Fault, RunnerStandIn
from poplarrelay.standins.users.store import Outage, StoreStandIn
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    EntrySite,
    entry_configuration,
)
from poplarrelay.testing.links import LinkState
from poplarrelay.testing.soak.callers import KEYS, KINDS, Caller, configuration_of
from poplarrelay.testing.soak.ledger import (
    Asked,
    Invariant,
    Violation,
    check_duties,
    check_requests,
    summary,
)
from poplarrelay.testing.soak.plan import FaultKind, PlannedFault, draw_plan

__all__ = ["SoakReport", "SoakRun", "SoakSize", "soak"]

_LOG = logging.getLogger("poplarrelay.testing.soak")

#: Seconds after the faults within which all nodes must serve again. A restart takes
#: about one second, a lapsed lease two, an endpoint taken for broken four.
RECOVERY_S = 20.0
#: Seconds after the end of a process at which it is started again.
RESTART_S = 0.4
#: Requests that an endpoint treats badly at once.
FAULTY_REQUESTS = 4
#: Seconds between the end of a request that crashes endpoints and the next.
CRASH_REQUEST_GAP_S = 0.15
#: Seconds after the crash of an endpoint at which it restarts.
CRASH_RECOVERY_S = 0.5
#: ``Server-Limit`` values that endpoints state, in requests per second. The last three
#: are unreadable.
STATED_LIMITS = ("0", "0.5", "2", "7.5", "-1", "soon", "")
#: What other writers leave among the endpoints' records.
FOREIGN_RECORDS: tuple[Any, ...] = (
    {"service": CALLS},
    {"service": CALLS, "address": 7000, "slots": "many", "state": "ready"},
    ["no", "record"],
    "text",
)
#: Fault kinds of endpoints that are drawn.
_ENDPOINT_FAULTS = list(Fault)
_LINK_STATES = [state for state in LinkState if state is not LinkState.WHOLE]
_OUTAGES = [outage for outage in Outage if outage is not Outage.NONE]


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How large and how long a run is.

    Attributes
    ----------
    endpoints : int
        Endpoints of each of the two services.
    kinds : tuple of FaultKind
        Faults that are drawn.
    """

    nodes: int = 3
    endpoints: int = 3
    callers: int = 12
    length_s: float = 10.0
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What came of a run."""

    seed: int
    faults: Counter[str]
    endings: dict[str, int]
    violations: list[Violation]

    @property
    def passed(self) -> bool:
        """Return whether every promise held."""
        return not self.violations


@dataclass(slots=True)
class SoakRun:
    """A run under way.

    Attributes
    ----------
    runners : list of RunnerStandIn
        All endpoints of the run, those that have left included.
    paused_until : dict of str to float
        Monotonic time of the end of a node's last pause, infinite during one.
    starting : dict of str to asyncio.Lock
        Held while a node's process, or an endpoint, is started, so that it is started
        once.
    errors : list of str
        Faults that could not be brought about, which is a fault of the soak.
    crash_bodies : set of bytes
        Request bodies that crash endpoints; cleared when the faults end.
    recoveries : list of asyncio.Task
        Pending and completed restarts of crashed endpoints.
    """

    site: EntrySite
    size: SoakSize
    rng: Random
    folder: Path
    version: int = 1
    asked: list[Asked] = field(default_factory=list)
    runners: list[RunnerStandIn] = field(default_factory=list)
    listed: dict[str, str] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)
    starting: dict[str, asyncio.Lock] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    crash_bodies: set[bytes] = field(default_factory=set)
    recoveries: list[asyncio.Task[None]] = field(default_factory=list)
    numbers: count[int] = field(default_factory=lambda: count(1))

    def paused(self, node: str, since: float) -> bool:
        """Return whether a node has stood still at any time since then.

        Notes
        -----
        A request that is sent to a stopped process lies in its socket. The node
        cannot know for how long, and counts its time from when it reads it.
        """
        return self.paused_until.get(node, 0.0) > since

    # set-up

    async def start(self) -> None:
        """Start endpoints and nodes, and wait until the nodes serve."""
        self.publish()
        for _ in range(self.size.endpoints):
            await self.add_endpoint(CALLS)
            await self.add_endpoint(STREAMS)
        seeds: list[str] = []
        for name in "abcdefghijklmnop"[: self.size.nodes]:
            process = await self.site.start_process(
                name, self.folder, ",".join(seeds[:3])
            )
            value = orjson.loads(process.path.read_bytes())
            seeds.append(value["listeners"]["control"])
            # From now on every start is a restart.
            process.path.write_bytes(orjson.dumps({**value, "first_start": False}))

    def publish(self) -> None:
        """Publish the next configuration; its routes stay the same."""
        self.version += 1
        teams = [{"name": team, "apiKeys": [key]} for team, key in KEYS.items()]
        value = entry_configuration(self.version, tenants=teams)
        self.site.store.put("keyed.op", "config", value)

    async def add_endpoint(self, service: str) -> None:
        """Start one more endpoint of a service."""
        name = f"{service}-{next(self.numbers)}"
        self.listed[name] = service
        self._track_endpoint(name, await self.site.add_runner(name, service))

    def _track_endpoint(self, name: str, runner: RunnerStandIn) -> None:
        """Record a run of an endpoint, and restart it when it crashes."""
        self.runners.append(runner)
        runner.crash_bodies = self.crash_bodies
        runner.on_crash = lambda: self.recoveries.append(
            asyncio.create_task(self._recover_endpoint(name))
        )

    async def _recover_endpoint(self, name: str) -> None:
        await asyncio.sleep(CRASH_RECOVERY_S)
        if name in self.listed:
            await self._restart_endpoint(name)

    async def _restart_endpoint(self, name: str) -> None:
        async with self.starting.setdefault(name, asyncio.Lock()):
            runner = await self.site.restart_runner(name, self.listed[name])
            self._track_endpoint(name, runner)

    # faults

    async def strike(self, fault: PlannedFault) -> None:
        """Bring a fault about, and end it when its time is over."""
        draw = Random(fault.draw)
        strikes: dict[FaultKind, Callable[[Random, float], Coroutine[Any, Any, None]]]
        strikes = {
            FaultKind.KILL: self._kill,
            FaultKind.STOP: self._stop,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.STORE_LINK: self._trouble_store_link,
            FaultKind.ENDPOINT_LINK: self._trouble_endpoint_link,
            FaultKind.LINK_RESET: self._reset_link,
            FaultKind.STORE_OUTAGE: self._store_outage,
            FaultKind.STORE_LOSES: self._store_loses,
            FaultKind.STORE_FORGETS: self._store_forgets,
            FaultKind.GROUP_DEALT: self._deal_group,
            FaultKind.CONFIGURATION: self._publish,
            FaultKind.ENDPOINT_FAULTS: self._endpoint_faults,
            FaultKind.ENDPOINT_BREAKS: self._endpoint_breaks,
            FaultKind.ENDPOINT_LEAVES: self._endpoint_leaves,
            FaultKind.ENDPOINT_RESTARTS: self._endpoint_restarts,
            FaultKind.FOREIGN_RECORDS: self._foreign_records,
            FaultKind.REQUEST_CRASHES: self._request_crashes,
            FaultKind.ENDPOINT_LIMITS: self._endpoint_limits,
        }
        try:
            await strikes[fault.kind](draw, fault.for_s)
        except Exception:
            # A fault that cannot be brought about must not end the others; the run
            # fails at its end, since it has not shown what it was to show.
            self.errors.append(f"{fault}: {traceback.format_exc()}")

    def _node(self, draw: Random) -> str:
        return draw.choice(sorted(self.site.processes))

    async def _kill(self, draw: Random, for_s: float) -> None:
        name = self._node(draw)
        await self.site.processes[name].kill()
        await self.start_again(name)

    async def _stop(self, draw: Random, for_s: float) -> None:
        name = self._node(draw)
        process = self.site.processes[name]
        process.signal(signal.SIGTERM)
        await process.process.wait()
        await self.start_again(name)

    async def start_again(self, name: str) -> None:
        """Start a node whose process has ended, once for all who ended it."""
        await asyncio.sleep(RESTART_S)
        async with self.starting.setdefault(name, asyncio.Lock()):
            process = self.site.processes[name]
            if process.process.returncode is not None:
                await self.site.run_process(name, process.path)

    async def _pause(self, draw: Random, for_s: float) -> None:
        name = self._node(draw)
        process = self.site.processes[name]
        self.paused_until[name] = float("inf")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        process.signal(signal.SIGCONT)
        self.paused_until[name] = monotonic()

    async def _reload(self, draw: Random, for_s: float) -> None:
        self.site.processes[self._node(draw)].signal(signal.SIGHUP)

    async def _trouble_store_link(self, draw: Random, for_s: float) -> None:
        await self._trouble(self._node(draw), draw, for_s)

    async def _trouble_endpoint_link(self, draw: Random, for_s: float) -> None:
        await self._trouble(draw.choice(sorted(self.listed)), draw, for_s)

    async def _trouble(self, name: str, draw: Random, for_s: float) -> None:
        link = self.site.links[name]
        link.set(draw.choice(_LINK_STATES))
        await asyncio.sleep(for_s)
        link.set(LinkState.WHOLE)

    async def _reset_link(self, draw: Random, for_s: float) -> None:
        self.site.links[draw.choice(sorted(self.site.links))].reset()

    async def _store_outage(self, draw: Random, for_s: float) -> None:
        store_listeners = sorted(self.site.store_listeners)
        struck = draw.sample(store_listeners, draw.randint(1, len(store_listeners)))
        outage = draw.choice(_OUTAGES)
        for name in struck:
            self.site.store_listeners[name].outage = outage
        await asyncio.sleep(for_s)
        for name in struck:
            self.site.store_listeners[name].outage = Outage.NONE

    async def _store_loses(self, draw: Random, for_s: float) -> None:
        store_listener = self.site.store_listeners[self._node(draw)]
        store_listener.lose_answers = True
        await asyncio.sleep(for_s)
        store_listener.lose_answers = False

    async def _store_forgets(self, draw: Random, for_s: float) -> None:
        self.site.store.compact(draw.choice(["keyed.op", "keyed.servers"]))

    async def _deal_group(self, draw: Random, for_s: float) -> None:
        self.site.store.rebalance(GROUP)

    async def _publish(self, draw: Random, for_s: float) -> None:
        self.publish()

    async def _endpoint_faults(self, draw: Random, for_s: float) -> None:
        runner = self.site.runners[draw.choice(sorted(self.listed))]
        faults = draw.choices(_ENDPOINT_FAULTS, k=FAULTY_REQUESTS)
        runner.faults.extend(faults)

    async def _endpoint_breaks(self, draw: Random, for_s: float) -> None:
        runner = self.site.runners[draw.choice(sorted(self.listed))]
        if runner.events:
            runner.break_after = draw.randint(1, runner.events)
            await asyncio.sleep(for_s)
            runner.break_after = None

    async def _endpoint_leaves(self, draw: Random, for_s: float) -> None:
        name = draw.choice(sorted(self.listed))
        service = self.listed.pop(name)
        await self.add_endpoint(service)
        self.site.list_runner(name, service, state="draining")
        await asyncio.sleep(for_s)
        self.site.store.put("keyed.servers", name, None)

    async def _endpoint_restarts(self, draw: Random, for_s: float) -> None:
        await self._restart_endpoint(draw.choice(sorted(self.listed)))

    async def _request_crashes(self, draw: Random, for_s: float) -> None:
        body = f"crash-{draw.randrange(1_000_000)}".encode()
        kind = draw.choice(sorted(KINDS))
        self.crash_bodies.add(body)
        caller = Caller(self.site, self.asked, self.paused, draw)
        end = monotonic() + for_s
        while monotonic() < end:
            await caller.ask(self._node(draw), kind, body)
            await asyncio.sleep(CRASH_REQUEST_GAP_S)

    async def _endpoint_limits(self, draw: Random, for_s: float) -> None:
        runner = self.site.runners[draw.choice(sorted(self.listed))]
        for limit in draw.choices(STATED_LIMITS, k=3):
            runner.limit = limit
            await asyncio.sleep(for_s / 3)
        runner.limit = None

    async def _foreign_records(self, draw: Random, for_s: float) -> None:
        name = draw.choice(sorted(self.listed))
        service = self.listed[name]
        for key in (name, f"x-{draw.randrange(1000)}"):
            self.site.store.put("keyed.servers", key, draw.choice(FOREIGN_RECORDS))
        self.site.store.put_raw("keyed.servers", draw.randbytes(draw.randrange(9)))
        await asyncio.sleep(for_s)
        if name in self.listed:
            self.site.list_runner(name, service)

    # the end

    async def recover(self) -> list[Violation]:
        """End all faults, and return what does not come back."""
        self.crash_bodies.clear()
        await asyncio.gather(*self.recoveries)
        for link in self.site.links.values():
            link.set(LinkState.WHOLE)
        for store_listener in self.site.store_listeners.values():
            store_listener.outage = Outage.NONE
            store_listener.lose_answers = False
        for runner in self.runners:
            runner.faults.clear()
            runner.break_after = None
            runner.limit = None
        end = monotonic() + RECOVERY_S
        waiting = set(self.site.processes)
        while waiting and monotonic() < end:
            for name in sorted(waiting):
                if await self._serves(name):
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        return [
            Violation(Invariant.SERVES_AGAIN, f"node {name}")
            for name in sorted(waiting)
        ]

    async def _serves(self, name: str) -> bool:
        process = self.site.processes[name]
        if process.process.returncode is not None:
            await self.site.run_process(name, process.path)
            return False
        if await configuration_of(self.site, name) != self.version:
            return False
        caller = Caller(self.site, self.asked, self.paused, self.rng)
        statuses = [(await caller.ask(name, kind)).status for kind in ("look", "draft")]
        return statuses == [200, 200]


async def _run_faults(run: SoakRun, plan: list[PlannedFault]) -> None:
    started_at = monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(max(0.0, started_at + fault.at_s - monotonic()))
            _LOG.info("fault", extra={"kind": fault.kind.value, "at_s": fault.at_s})
            group.create_task(run.strike(fault))


async def soak(seed: int, size: SoakSize, folder: Path) -> SoakReport:
    """Make one run and return what came of it.

    Parameters
    ----------
    seed : int
        Draws the faults, and what callers ask. The order in which things happen is
        the machine's, so a seed that failed once need not fail again.
    size : SoakSize
        How large and how long the run is.
    folder : pathlib.Path
        Gets the nodes' settings and logs.
    """
    site = EntrySite(StoreStandIn(), CloudStandIn("127.0.0.1"), linked=True)
    await site.cloud.start()
    run = SoakRun(site, size, Random(seed), folder)
    plan = draw_plan(seed, size.length_s, size.kinds)
    try:
        await run.start()
        callers = [
            asyncio.create_task(
                Caller(site, run.asked, run.paused, Random(f"{seed}/{number}")).run()
            )
            for number in range(size.callers)
        ]
        await _run_faults(run, plan)
        violations = await run.recover()
        for task in callers:
            task.cancel()
        ends = await asyncio.gather(*callers, return_exceptions=True)
        run.errors += [repr(e) for e in ends if not _was_cancelled(e)]
    finally:
        for process in site.started:
            process.signal(signal.SIGCONT)
        await site.stop()
    if run.errors:
        raise RuntimeError("\n".join(run.errors))
    violations += check_requests(run.asked, run.runners, KEYS.values())
    violations += check_duties(site.cloud.accepted)
    faults = Counter(fault.kind.value for fault in plan)
    return SoakReport(seed, faults, summary(run.asked), violations)


def _was_cancelled(end: object) -> bool:
    return isinstance(end, asyncio.CancelledError)
