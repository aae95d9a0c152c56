"""A soak run: node processes, callers, injected faults and the check of invariants."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from math import inf
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.duty_worker import GROUP
from poplarrelay.entry.rollouts.records import RolloutState
from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.floods import Flood
from poplarrelay.standins.users.runner import BadVersion, Fault, RunnerStandIn
from poplarrelay.standins.users.store import Outage, StoreListener, StoreStandIn
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    EntrySite,
    entry_configuration,
)
from poplarrelay.testing.links import LinkState, PathFault
from poplarrelay.testing.resuming_callers import ResumingCaller
from poplarrelay.testing.soak.callers import (
    KEYS,
    REQUEST_KINDS,
    Caller,
    configuration_of,
    route_timeouts_s,
)
from poplarrelay.testing.soak.crowding import RESOURCES, crowd_node
from poplarrelay.testing.soak.ledger import (
    Disruption,
    Invariant,
    SentRequest,
    Violation,
    check_duties,
    check_notices,
    check_requests,
    check_stream,
    count_endings,
)
from poplarrelay.testing.soak.lost import check_lost, check_stops
from poplarrelay.testing.soak.plan import FaultKind, PlannedFault, draw_plan
from poplarrelay.testing.soak.stops import NodeStops, routes_with
from poplarrelay.testing.soak.targeted import STREAM_EVENTS, TargetedFaults
from poplarrelay.testing.soak.wrong_answers import answer_wrongly

__all__ = ["SoakReport", "SoakRun", "SoakSize", "soak"]

_LOG = logging.getLogger("poplarrelay.testing.soak")

#: Seconds after the end of all faults within which all nodes must serve again. A
#: restart takes about one second, the expiry of a lease two, and the recovery of an
#: endpoint that was avoided as broken four.
RECOVERY_S = 20.0
#: Seconds between the end of a node process and its restart.
RESTART_S = 0.4
#: Number of successive requests that an endpoint mishandles in one fault.
FAULTY_REQUESTS = 4
#: Seconds between the end of one request that crashes endpoints and the next one.
CRASH_REQUEST_GAP_S = 0.15
#: Seconds between the crash of an endpoint and its restart.
CRASH_RECOVERY_S = 0.5
#: ``Server-Limit`` values that endpoints state, in requests per second. The last three
#: are unreadable.
STATED_LIMITS = ("0", "0.5", "2", "7.5", "-1", "soon", "")
#: ``Retry-After`` values of endpoints that pause. The last three are unreadable.
PAUSES = ("0.4", "1", "2.5", "-1", "soon", "")
#: Seconds for which an endpoint that leaves still serves.
LEAVING_S = 3.0
#: Shortest and longest time in seconds for which the store is away before a restore,
#: and longest time until lost records are written again.
STORE_AWAY_S = (0.05, 1.5)
MAX_REWRITE_S = 2.0
#: Unreadable values that other writers put among the records of the endpoints.
FOREIGN_RECORDS: tuple[Any, ...] = (
    {"service": CALLS},
    {"service": CALLS, "address": 7000, "slots": "many", "state": "ready"},
    ["no", "record"],
    "text",
)
#: Faults of the versions that roll-outs bring; None is a good version.
VERSION_FAULTS = (
    None,
    None,
    BadVersion(failure_share=0.4),
    BadVersion(slowdown=8.0),
    BadVersion(failure_share=0.5, after=10),
)
#: Callers of a flood, and seconds between two requests of one after a refusal.
FLOOD_CALLERS = 12
FLOOD_GAP_S = 0.02
#: Callers that take up broken streams, and tries of each.
RESUMING_CALLERS, MAX_TRIES = 4, 4
#: Share of the answers without end that are sent as fast as they are read.
FAST_FLOOD_SHARE = 0.7
#: Factors by which endpoints become slow.
SLOWDOWNS = (3.0, 10.0)
#: Share of the lost paths that concern some endpoints only, and numbers of cuts in one
#: fault.
PARTIAL_CUT_SHARE, CUTS = 0.4, (1, 1, 4)
#: ``Server-Brittle`` values of endpoints. The last two are unreadable.
BRITTLENESS = ("0", "1", "4", "-1", "many")
#: Minimum time for a roll-out, and time after its deadline in which its end is awaited.
MIN_ROLLOUT_S = 3.0
ROLLOUT_GRACE_S = 1.0
#: Kinds that concern the store or its links.
STORE_KINDS = frozenset(
    (
        FaultKind.STORE_LINK,
        FaultKind.LINK_RESET,
        FaultKind.STORE_OUTAGE,
        FaultKind.STORE_LOSES_REPLIES,
        FaultKind.STORE_COMPACTED,
        FaultKind.STORE_RESTORED,
    )
)
#: Ways in which an endpoint can mishandle a request.
_ENDPOINT_FAULTS = list(Fault)
_LINK_STATES = [state for state in LinkState if state is not LinkState.INTACT]
_PATH_FAULTS = [fault for fault in PathFault if fault is not PathFault.NONE]
_OUTAGES = [outage for outage in Outage if outage is not Outage.NONE]


@dataclass(frozen=True, slots=True)
class SoakSize:
    """The size and the duration of a run.

    Attributes
    ----------
    endpoints : int
        Number of endpoints of each of the two services.
    length_s : float
        Time in seconds in which faults start.
    fault_kinds : tuple of FaultKind
        Kinds of the faults of the run.
    checkout : Path or None
        Checkout whose code the nodes run, None for this one.
    """

    nodes: int = 3
    endpoints: int = 3
    callers: int = 12
    length_s: float = 10.0
    fault_kinds: tuple[FaultKind, ...] = tuple(FaultKind)
    checkout: Path | None = None


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The result of a run: its faults, the endings of its requests, and violations."""

    seed: int
    faults: Counter[str]
    endings: dict[str, int]
    violations: list[Violation]

    @property
    def passed(self) -> bool:
        """Return whether every invariant held."""
        return not self.violations


@dataclass(slots=True)
class SoakRun:
    """The state of a run in progress.

    Attributes
    ----------
    version : int
        Version of the newest configuration.
    requests : list of SentRequest
        All requests of the callers.
    runners : list of RunnerStandIn
        All runs of all endpoints, including endpoints that have left.
    listed : dict of str to str
        Service of each endpoint that has a record in the store and does not leave.
    paused_until : dict of str to float
        Monotonic time of the end of a node's last pause, infinite during a pause.
    start_locks : dict of str to asyncio.Lock
        Lock of each node or endpoint, held while it starts. It prevents two faults
        from starting the same node or endpoint twice.
    disruptions : list of Disruption
        Times in which nodes and links were disrupted.
    stops : NodeStops
        Stops of nodes.
    timeouts_s : dict of str to float
        Time-out of each route in seconds.
    max_attempts : dict of str to int
        Attempts of the routes that have others than the example's.
    errors : list of str
        Tracebacks of faults that could not be injected: errors of the soak itself.
    crash_bodies : set of bytes
        Request bodies that crash endpoints; cleared when the faults end.
    crash_parts : set of str
        Prompt parts that crash endpoints; cleared when the faults end.
    stream_violations : list of Violation
        Violations on streams of callers that take them up.
    resource_violations : list of Violation
        Violations on the resources of crowded nodes.
    targeted : TargetedFaults
        Faults with callers of their own.
    injected : list of tuple of FaultKind, float and float
        Kinds of the faults so far, with the monotonic times of their start and end.
    recoveries : list of asyncio.Task
        Pending and completed restarts of crashed endpoints.
    """

    site: EntrySite
    size: SoakSize
    rng: Random
    folder: Path
    version: int = 1
    requests: list[SentRequest] = field(default_factory=list)
    runners: list[RunnerStandIn] = field(default_factory=list)
    listed: dict[str, str] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)
    start_locks: dict[str, asyncio.Lock] = field(default_factory=dict)
    disruptions: list[Disruption] = field(default_factory=list)
    timeouts_s: dict[str, float] = field(default_factory=route_timeouts_s)
    max_attempts: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    crash_bodies: set[bytes] = field(default_factory=set)
    crash_parts: set[str] = field(default_factory=set)
    stream_violations: list[Violation] = field(default_factory=list)
    resource_violations: list[Violation] = field(default_factory=list)
    targeted: TargetedFaults = field(init=False)
    stops: NodeStops = field(init=False)
    injected: list[tuple[FaultKind, float, float]] = field(default_factory=list)
    stream_numbers: count[int] = field(default_factory=lambda: count(1))
    recoveries: list[asyncio.Task[None]] = field(default_factory=list)
    endpoint_numbers: count[int] = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        self.targeted = TargetedFaults(self)
        self.stops = NodeStops(self)

    def make_caller(self, rng: Random) -> Caller:
        """Return a new caller."""
        return Caller(self.site, self.requests, self.was_paused, rng, self.timeouts_s)

    def store_disturbed(self, since: float) -> bool:
        """Return whether a fault concerned the store or its links since a time."""
        return any(
            kind in STORE_KINDS and ended_at >= since
            for kind, _, ended_at in self.injected
        )

    def was_paused(self, node: str, since: float) -> bool:
        """Return whether a node was paused at any time since `since`.

        Notes
        -----
        A request that is sent to a paused process waits in its socket. The node cannot
        know for how long, and counts the deadline from the time at which it reads the
        request.
        """
        return self.paused_until.get(node, 0.0) > since

    # Setup

    async def start(self) -> None:
        """Start endpoints and nodes, and wait until the nodes serve."""
        self.site.store.era = 1
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
            # Every later start of the process is a restart.
            process.path.write_bytes(orjson.dumps({**value, "first_start": False}))

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        teams = [{"name": team, "apiKeys": [key]} for team, key in KEYS.items()]
        limits = self.targeted.limits
        value = entry_configuration(
            self.version,
            tenants=teams,
            limits=limits,
            routes=routes_with(self.timeouts_s, self.max_attempts),
        )
        self.site.store.put("keyed.op", "config", value)

    async def add_endpoint(self, service: str, version: str = "1") -> str:
        """Start and list a new endpoint of a service; return its name."""
        name = f"{service}-{next(self.endpoint_numbers)}"
        runner = await self.site.add_runner(name, service, version=version)
        self.listed[name] = service
        if version != "1":
            runner.label = f" of {version}"
        self._track_endpoint(name, runner)
        return name

    def _track_endpoint(self, name: str, runner: RunnerStandIn) -> None:
        """Record a run of an endpoint, and arrange its restart after a crash."""
        self.runners.append(runner)
        runner.crash_bodies = self.crash_bodies
        runner.crash_parts = self.crash_parts
        runner.on_crash = runner.on_fall = lambda: self.recoveries.append(
            asyncio.create_task(self._restart_after_crash(name))
        )

    async def _restart_after_crash(self, name: str) -> None:
        await asyncio.sleep(CRASH_RECOVERY_S)
        if name in self.listed:
            await self._restart_endpoint(name)

    async def _restart_endpoint(self, name: str) -> None:
        async with self.start_locks.setdefault(name, asyncio.Lock()):
            runner = await self.site.restart_runner(name, self.listed[name])
            self._track_endpoint(name, runner)

    # Faults

    async def inject(self, fault: PlannedFault) -> None:
        """Start a fault, and end it after its duration."""
        rng = Random(fault.seed)
        injectors: dict[FaultKind, Callable[[Random, float], Coroutine[Any, Any, None]]]
        injectors = {
            FaultKind.KILL: self._kill_node,
            FaultKind.STOP: self._terminate_node,
            FaultKind.PAUSE: self._pause_node,
            FaultKind.RELOAD: self._reload_settings,
            FaultKind.STORE_LINK: self._disturb_store_link,
            FaultKind.ENDPOINT_LINK: self._disturb_endpoint_link,
            FaultKind.LINK_RESET: self._reset_link,
            FaultKind.STORE_OUTAGE: self._fail_store_listeners,
            FaultKind.STORE_LOSES_REPLIES: self._lose_store_replies,
            FaultKind.STORE_COMPACTED: self._compact_store,
            FaultKind.GROUP_REBALANCED: self._rebalance_group,
            FaultKind.CONFIGURATION: self._publish_configuration,
            FaultKind.ENDPOINT_FAULTS: self._add_endpoint_faults,
            FaultKind.ENDPOINT_BREAKS_STREAMS: self._break_streams,
            FaultKind.ENDPOINT_LEAVES: self._replace_endpoint,
            FaultKind.ENDPOINT_RESTARTS: self._restart_random_endpoint,
            FaultKind.FOREIGN_RECORDS: self._write_foreign_records,
            FaultKind.REQUEST_CRASHES: self._send_crashing_requests,
            FaultKind.ENDPOINT_LIMITS: self._state_limits,
            FaultKind.ROLLOUT: self._roll_out,
            FaultKind.ENDPOINT_STATES_DEPARTURE: self._state_departure,
            FaultKind.ENDPOINT_PAUSES: self._ask_for_pauses,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.TEAM_FLOODS: self._flood,
            FaultKind.ENDPOINT_SLOW: self._slow_endpoint,
            FaultKind.PATHS_LOST: self._lose_paths,
            FaultKind.ENDPOINTS_BRITTLE: self._make_brittle,
            FaultKind.VERSIONS_SIDE_BY_SIDE: self._serve_two_versions,
            FaultKind.PROMPT_PART_CRASHES: self._send_poison_prompts,
            FaultKind.ALL_KILLED: self.targeted.kill_all_nodes,
            FaultKind.LIGHT_PROMPT_PART_CRASHES: self.targeted.crash_in_light_traffic,
            FaultKind.LIMITS_CHANGED: self.targeted.change_limits,
            FaultKind.STOPS_IN_SERIES: self.stops.stop_in_series,
            FaultKind.ENDLESS_ANSWERS: self._answer_without_end,
            FaultKind.WRONG_ANSWERS: partial(answer_wrongly, self),
            FaultKind.CALLERS_MISBEHAVE: partial(crowd_node, self),
        }
        self.injected.append((fault.kind, monotonic(), inf))
        index = len(self.injected) - 1
        try:
            await injectors[fault.kind](rng, fault.duration_s)
        except Exception:
            # The other faults continue. The run fails at its end, because it lacked a
            # planned fault.
            self.errors.append(f"{fault}: {traceback.format_exc()}")
        finally:
            kind, started_at, _ = self.injected[index]
            self.injected[index] = (kind, started_at, monotonic())

    def _choose_node(self, rng: Random) -> str:
        return rng.choice(sorted(self.site.processes))

    @contextlib.contextmanager
    def disruption(self, name: str, planned: bool = False) -> Iterator[None]:
        """Record that a node, or a link to an endpoint, is disrupted."""
        since = monotonic()
        try:
            yield
        finally:
            self.disruptions.append(Disruption(name, since, monotonic(), planned))

    async def _kill_node(self, rng: Random, duration_s: float) -> None:
        await self.kill_node(self._choose_node(rng))

    async def kill_node(self, name: str) -> None:
        """Kill a node and start it again."""
        with self.disruption(name):
            await self.site.processes[name].kill()
            await self.restart_ended_node(name)

    async def _terminate_node(self, rng: Random, duration_s: float) -> None:
        await self.stops.stop(self._choose_node(rng))

    async def restart_ended_node(self, name: str) -> None:
        """Start a node whose process has ended; several faults start it only once."""
        await asyncio.sleep(RESTART_S)
        async with self.start_locks.setdefault(name, asyncio.Lock()):
            process = self.site.processes[name]
            if process.process.returncode is not None:
                await self.site.run_process(name, process.path)

    async def _pause_node(self, rng: Random, duration_s: float) -> None:
        name = self._choose_node(rng)
        process = self.site.processes[name]
        self.paused_until[name] = float("inf")
        with self.disruption(name):
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.signal(signal.SIGCONT)
        self.paused_until[name] = monotonic()

    async def _reload_settings(self, rng: Random, duration_s: float) -> None:
        self.site.processes[self._choose_node(rng)].signal(signal.SIGHUP)

    async def _disturb_store_link(self, rng: Random, duration_s: float) -> None:
        await self._disturb_link(self._choose_node(rng), rng, duration_s)

    async def _disturb_endpoint_link(self, rng: Random, duration_s: float) -> None:
        await self._disturb_link(rng.choice(sorted(self.listed)), rng, duration_s)

    async def _disturb_link(self, name: str, rng: Random, duration_s: float) -> None:
        link = self.site.links[name]
        with self.disruption(name):
            link.set_state(rng.choice(_LINK_STATES))
            await asyncio.sleep(duration_s)
            link.set_state(LinkState.INTACT)

    async def _reset_link(self, rng: Random, duration_s: float) -> None:
        name = rng.choice(sorted(self.site.links))
        with self.disruption(name):
            self.site.links[name].reset()

    async def _fail_store_listeners(self, rng: Random, duration_s: float) -> None:
        store_listeners = sorted(self.site.store_listeners)
        affected = rng.sample(store_listeners, rng.randint(1, len(store_listeners)))
        outage = rng.choice(_OUTAGES)
        for name in affected:
            self.site.store_listeners[name].outage = outage
        await asyncio.sleep(duration_s)
        for name in affected:
            self.site.store_listeners[name].outage = Outage.NONE

    async def _lose_store_replies(self, rng: Random, duration_s: float) -> None:
        store_listener = self.site.store_listeners[self._choose_node(rng)]
        store_listener.lose_answers = True
        await asyncio.sleep(duration_s)
        store_listener.lose_answers = False

    async def _compact_store(self, rng: Random, duration_s: float) -> None:
        self.site.store.compact(rng.choice(["keyed.op", "keyed.servers"]))

    async def _rebalance_group(self, rng: Random, duration_s: float) -> None:
        self.site.store.rebalance(GROUP)

    async def _publish_configuration(self, rng: Random, duration_s: float) -> None:
        self.publish()

    async def _add_endpoint_faults(self, rng: Random, duration_s: float) -> None:
        runner = self.site.runners[rng.choice(sorted(self.listed))]
        faults = rng.choices(_ENDPOINT_FAULTS, k=FAULTY_REQUESTS)
        runner.faults.extend(faults)

    async def _answer_without_end(self, rng: Random, duration_s: float) -> None:
        flooding: RunnerStandIn | StoreListener | CloudStandIn
        flooding = rng.choice(
            (
                self.site.runners[rng.choice(sorted(self.listed))],
                self.site.store_listeners[self._choose_node(rng)],
                self.site.cloud,
            )
        )
        flooding.flood = rng.choice(list(Flood))
        flooding.floods_fast = rng.random() < FAST_FLOOD_SHARE
        await asyncio.sleep(duration_s)
        flooding.flood = None

    async def _break_streams(self, rng: Random, duration_s: float) -> None:
        runner = self.site.runners[rng.choice(sorted(self.listed))]
        if runner.events:
            runner.break_after = rng.randint(1, runner.events)
            await asyncio.sleep(duration_s)
            runner.break_after = None

    async def _replace_endpoint(self, rng: Random, duration_s: float) -> None:
        name = rng.choice(sorted(self.listed))
        service = self.listed.pop(name)
        await self.add_endpoint(service)
        self.site.list_runner(name, service, state="draining")
        await asyncio.sleep(duration_s)
        self.site.store.put("keyed.servers", name, None)

    async def _restart_random_endpoint(self, rng: Random, duration_s: float) -> None:
        await self._restart_endpoint(rng.choice(sorted(self.listed)))

    async def _send_crashing_requests(self, rng: Random, duration_s: float) -> None:
        body = f"crash-{rng.randrange(1_000_000)}".encode()
        kind = rng.choice(sorted(REQUEST_KINDS))
        self.crash_bodies.add(body)
        caller = self.make_caller(rng)
        end = monotonic() + duration_s
        while monotonic() < end:
            await caller.send_request(self._choose_node(rng), kind, body)
            await asyncio.sleep(CRASH_REQUEST_GAP_S)

    async def _send_poison_prompts(self, rng: Random, duration_s: float) -> None:
        bad, other = (f"{rng.randrange(1_000_000):x}" for _ in range(2))
        kind = rng.choice(sorted(REQUEST_KINDS))
        self.crash_parts.add(bad)
        caller = self.make_caller(rng)
        end = monotonic() + duration_s
        while monotonic() < end:
            first = rng.choice((bad, other))
            prefix = f"{first}:10,{other}:10,{rng.randrange(1_000_000):x}:10"
            headers = [(b"X-Poplarrelay-Prefix-Hash", prefix.encode())]
            await caller.send_request(self._choose_node(rng), kind, headers=headers)
            await asyncio.sleep(CRASH_REQUEST_GAP_S)

    async def _serve_two_versions(self, rng: Random, duration_s: float) -> None:
        version = f"v{rng.randrange(1_000_000)}"
        older = [name for name, service in self.listed.items() if service == STREAMS]
        added = [await self.add_endpoint(STREAMS, version) for _ in older]
        end = monotonic() + duration_s
        callers = [self._take_up_streams(rng, end) for _ in range(RESUMING_CALLERS)]
        await asyncio.gather(*callers)
        self.remove_endpoints(rng.choice((older, added)))

    def remove_endpoints(self, names: Iterable[str]) -> None:
        """Stop endpoints and remove their records."""
        for name in names:
            if self.listed.pop(name, None) is not None:
                self.site.store.put("keyed.servers", name, None)
                self.site.runners[name].stop()

    async def _take_up_streams(self, rng: Random, end: float) -> None:
        """Begin streams, and take up each broken one at other nodes."""
        while monotonic() < end:
            caller = ResumingCaller(self.site)
            for _ in range(MAX_TRIES):
                await self.targeted.ask(caller, rng)
                if not caller.broken:
                    break
                await asyncio.sleep(rng.uniform(0, CRASH_REQUEST_GAP_S))
            last = STREAM_EVENTS if caller.complete and caller.content else 0
            self.stream_violations += check_stream(caller.stream, caller.content, last)
            await asyncio.sleep(CRASH_REQUEST_GAP_S)

    async def _state_limits(self, rng: Random, duration_s: float) -> None:
        runner = self.site.runners[rng.choice(sorted(self.listed))]
        for limit in rng.choices(STATED_LIMITS, k=3):
            runner.limit = limit
            await asyncio.sleep(duration_s / 3)
        runner.limit = None

    async def _state_departure(self, rng: Random, duration_s: float) -> None:
        name = rng.choice(sorted(self.listed))
        service = self.listed.pop(name)
        await self.add_endpoint(service)
        self.site.runners[name].leaving = True
        await asyncio.sleep(duration_s)
        if rng.random() < 0.5:
            self.site.list_runner(name, service, state="draining")
        await asyncio.sleep(LEAVING_S)
        self.site.store.put("keyed.servers", name, None)

    async def _ask_for_pauses(self, rng: Random, duration_s: float) -> None:
        runner = self.site.runners[rng.choice(sorted(self.listed))]
        for pause in rng.choices(PAUSES, k=2):
            runner.pause = pause
            await asyncio.sleep(duration_s / 2)
        runner.pause = None

    async def _restore_store(self, rng: Random, duration_s: float) -> None:
        copy = self.site.store.copy()
        await asyncio.sleep(duration_s)
        away_s = rng.uniform(*STORE_AWAY_S)
        await self.site.restore_store(copy, away_s, rng.uniform(0, MAX_REWRITE_S))

    async def _flood(self, rng: Random, duration_s: float) -> None:
        kind, team = rng.choice(sorted(REQUEST_KINDS)), rng.choice(sorted(KEYS))
        nodes = rng.sample(sorted(self.site.processes), rng.randint(1, 2))
        end = monotonic() + duration_s

        async def send() -> None:
            caller = self.make_caller(rng)
            while monotonic() < end:
                sent = await caller.send_request(rng.choice(nodes), kind, team=team)
                if sent.status != 200:
                    await asyncio.sleep(FLOOD_GAP_S)

        await asyncio.gather(*(send() for _ in range(FLOOD_CALLERS)))

    async def _slow_endpoint(self, rng: Random, duration_s: float) -> None:
        name = rng.choice(sorted(self.listed))
        async with self.targeted.slowing:
            if name not in self.listed:
                return
            runner, service = self.site.runners[name], self.listed[name]
            pause_s = runner.pause_s
            runner.pause_s = pause_s * rng.choice(SLOWDOWNS)
            self.site.list_runner(name, service, slots=rng.randint(1, 3))
            await asyncio.sleep(duration_s)
            runner.pause_s = pause_s
        if name in self.listed:
            self.site.list_runner(name, service)

    async def _lose_paths(self, rng: Random, duration_s: float) -> None:
        names = sorted(self.site.processes)
        nodes = rng.sample(names, rng.randint(1, len(names)))
        endpoints = sorted(self.listed)
        if rng.random() < PARTIAL_CUT_SHARE:
            endpoints = rng.sample(endpoints, rng.randint(1, len(endpoints)))
        fault, cuts = rng.choice(_PATH_FAULTS), rng.choice(CUTS)
        with contextlib.ExitStack() as stack:
            for node in nodes:
                stack.enter_context(self.disruption(node))
            for _ in range(cuts):
                self.site.set_paths(nodes, fault, endpoints)
                await asyncio.sleep(duration_s / cuts / 2)
                self.site.set_paths(nodes, PathFault.NONE, endpoints)
                await asyncio.sleep(duration_s / cuts / 2)

    async def _make_brittle(self, rng: Random, duration_s: float) -> None:
        service = rng.choice((CALLS, STREAMS))
        names = [name for name, other in self.listed.items() if other == service]
        slots, brittle = rng.randint(1, 3), rng.choice(BRITTLENESS)
        for name in names:
            runner = self.site.runners[name]
            runner.capacity, runner.queue, runner.brittle = slots, slots, brittle
            self.site.list_runner(name, service, slots=slots)
        await asyncio.sleep(duration_s / 2)
        for name in names:
            self.site.runners[name].queue = 0
        await asyncio.sleep(duration_s / 2)
        for name in names:
            self.site.runners[name].capacity = self.site.runners[name].brittle = None
            if name in self.listed:
                self.site.list_runner(name, service)

    async def _roll_out(self, rng: Random, duration_s: float) -> None:
        service = rng.choice((CALLS, STREAMS))
        version = f"v{rng.randrange(1_000_000)}"
        replaced = [name for name, other in self.listed.items() if other == service]
        added = [await self.add_endpoint(service, version) for _ in replaced]
        fault = rng.choice(VERSION_FAULTS)
        for name in added:
            self.site.runners[name].bad_version = fault
        length_s = MIN_ROLLOUT_S + 2 * duration_s
        self.site.order_rollout(service, version, length_s)
        end = monotonic() + length_s + ROLLOUT_GRACE_S
        completed = (RolloutState.COMPLETED.value, version)
        while monotonic() < end and completed not in self.site.rollout_states(service):
            await asyncio.sleep(0.05)
        stopped = added
        if completed in self.site.rollout_states(service):
            stopped = replaced
        self.remove_endpoints(stopped)

    async def _write_foreign_records(self, rng: Random, duration_s: float) -> None:
        name = rng.choice(sorted(self.listed))
        service = self.listed[name]
        for key in (name, f"x-{rng.randrange(1000)}"):
            self.site.store.put("keyed.servers", key, rng.choice(FOREIGN_RECORDS))
        self.site.store.put_raw("keyed.servers", rng.randbytes(rng.randrange(9)))
        await asyncio.sleep(duration_s)
        if name in self.listed:
            self.site.list_runner(name, service)

    # Recovery

    async def recover(self) -> list[Violation]:
        """End all faults, and return the nodes that do not serve again in time."""
        self.site.store.write_again()
        self.crash_bodies.clear()
        self.crash_parts.clear()
        await asyncio.gather(*self.recoveries)
        hosts = [self.site.address(name)[0] for name in self.site.processes]
        for link in self.site.links.values():
            link.set_state(LinkState.INTACT)
            link.set_path(hosts, PathFault.NONE)
        for store_listener in self.site.store_listeners.values():
            store_listener.outage = Outage.NONE
            store_listener.lose_answers = False
            store_listener.flood = None
        self.site.cloud.flood = None
        for runner in self.runners:
            runner.faults.clear()
            runner.raw_answers.clear()
            runner.late_answers.clear()
            runner.flood = None
            runner.break_after = None
            runner.limit = None
            runner.pause = None
            runner.bad_version = None
            runner.capacity = runner.brittle = None
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
        caller = self.make_caller(self.rng)
        sent = [await caller.send_request(name, kind) for kind in ("look", "draft")]
        for part in sorted(self.targeted.shared_parts):
            sent.append(await self.targeted.send_prompt(caller, self.rng, name, [part]))
        return all(each.status == 200 for each in sent)


async def _inject_faults(run: SoakRun, plan: list[PlannedFault]) -> None:
    started_at = monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(max(0.0, started_at + fault.at_s - monotonic()))
            _LOG.info("fault", extra={"kind": fault.kind.value, "at_s": fault.at_s})
            group.create_task(run.inject(fault))


async def soak(seed: int, size: SoakSize, folder: Path) -> SoakReport:
    """Make one run and return its report.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' requests. The order of events also
        depends on the timing of the processes, so a seed that failed once does not
        always fail again.
    size : SoakSize
        Size and duration of the run.
    folder : pathlib.Path
        Folder for the settings and logs of the nodes.
    """
    site = EntrySite(
        StoreStandIn(),
        CloudStandIn("127.0.0.1"),
        use_links=True,
        fair_shares=True,
        checkout=size.checkout,
    )
    if FaultKind.CALLERS_MISBEHAVE in size.fault_kinds:
        site.resources = RESOURCES
    await site.cloud.start()
    run = SoakRun(site, size, Random(seed), folder)
    plan = draw_plan(seed, size.length_s, size.fault_kinds)
    try:
        await run.start()
        callers = [
            asyncio.create_task(run.make_caller(Random(f"{seed}/{number}")).run())
            for number in range(size.callers)
        ]
        await _inject_faults(run, plan)
        violations = await run.recover()
        for task in callers:
            task.cancel()
        results = await asyncio.gather(*callers, return_exceptions=True)
        run.errors += [repr(result) for result in results if not _was_cancelled(result)]
    finally:
        for process in site.started:
            process.signal(signal.SIGCONT)
        await site.stop()
    if run.errors:
        raise RuntimeError("\n".join(run.errors))
    violations += check_requests(run.requests, run.runners, KEYS.values())
    read = {line["request"] for line in site.log_lines() if "request" in line}
    violations += check_lost(
        run.requests, run.runners, read, run.stops.stops, run.disruptions
    )
    violations += check_stops(run.stops.stops, run.disruptions)
    violations += check_notices(run.requests, run.runners, run.disruptions)
    violations += check_duties(site.cloud.accepted)
    violations += run.stream_violations + run.targeted.violations
    violations += run.resource_violations
    faults = Counter(fault.kind.value for fault in plan)
    return SoakReport(seed, faults, count_endings(run.requests), violations)


def _was_cancelled(result: object) -> bool:
    return isinstance(result, asyncio.CancelledError)
