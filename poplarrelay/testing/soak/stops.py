"""Stops of nodes beside slow requests, signals and changes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from poplarrelay.testing.entry_site import CALLS, STREAMS, entry_configuration
from poplarrelay.testing.soak.callers import (
    REQUEST_KINDS,
    configuration_of,
    route_timeouts_s,
)
from poplarrelay.testing.soak.lost import GRACE_S, NodeStop

if TYPE_CHECKING:
    from poplarrelay.testing.soak.run import SoakRun

__all__ = ["NodeStops"]

#: Time-outs of the routes of calls and of streams that are published, in seconds.
CALL_TIMEOUTS_S, STREAM_TIMEOUTS_S = (1.5, 3.0, 5.0), (3.0, 6.0, 12.0)
#: Smallest and largest share of its time-out that a request takes without a queue.
WORK_SHARES = (0.05, 0.85)
#: Events of a stream.
STREAM_EVENTS = 5
#: Callers at each node that stops, and the range of their deadlines in seconds.
CROWD, DEADLINES_S = 8, (1.5, 12.0)
#: Share of the requests that are sent in two halves, and longest time between these.
SPLIT_SHARE, MAX_SPLIT_S = 0.2, 1.2
#: Largest pauses in seconds between two requests of a caller, and between two stops.
MAX_REQUEST_GAP_S, MAX_STOP_GAP_S = 0.2, 2.0
#: Seconds for which callers send before the first stop, and longest wait for changed
#: time-outs.
LEAD_S, IN_FORCE_WAIT_S = 0.5, 3.0
#: Further signals and changes beside a series of stops.
MAX_SIGNALS, MAX_CHANGES = 4, 2


@dataclass(slots=True)
class NodeStops:
    """Stops of a run's nodes.

    Attributes
    ----------
    stops : list of NodeStop
        All stops so far.
    """

    run: SoakRun
    stops: list[NodeStop] = field(default_factory=list)
    _stopping: set[int] = field(default_factory=set)
    _series: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def stop(self, name: str) -> None:
        """Stop a node and start it again; kill it if its grace time ends first."""
        run = self.run
        process = run.site.processes[name]
        stop = NodeStop(name, monotonic())
        if process.process.returncode is None and id(process) not in self._stopping:
            self._stopping.add(id(process))
            self.stops.append(stop)
        with run.disruption(name, planned=True):
            process.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_S):
                    await process.process.wait()
                stop.ended_at = monotonic()
            except TimeoutError:
                await process.kill()
            await run.restart_ended_node(name)

    async def stop_in_series(self, rng: Random, duration_s: float) -> None:
        """Stop some or all nodes beside callers that use them until they have ended.

        A series that starts while another one runs does nothing: they would change the
        same time-outs.
        """
        if self._series.locked():
            return
        async with self._series, self.run.targeted.slowing:
            paces = self._pace_endpoints()
            try:
                await self._change_timeouts(rng)
                await self._stop_in_series(rng)
            finally:
                for name, pause_s in paces.items():
                    self.run.site.runners[name].pause_s = pause_s
                self._publish(route_timeouts_s())

    def _pace_endpoints(self) -> dict[str, float]:
        """Return the seconds that each endpoint takes for a call or an event."""
        runners = self.run.site.runners
        return {name: runners[name].pause_s for name in self.run.listed}

    def _publish(self, timeouts_s: dict[str, float]) -> None:
        # A request may have been sent under the longer or the shorter time-out.
        self.run.timeouts_s.update(timeouts_s)
        self.run.publish()

    async def _change_timeouts(self, rng: Random) -> None:
        """Publish new time-outs, and let the endpoints take a share of them."""
        run = self.run
        calls_s, streams_s = rng.choice(CALL_TIMEOUTS_S), rng.choice(STREAM_TIMEOUTS_S)
        streams = {kind for kind, (_, streams) in REQUEST_KINDS.items() if streams}
        self._publish(
            {name: streams_s if name in streams else calls_s for name in run.timeouts_s}
        )
        for name, service in run.listed.items():
            share = rng.uniform(*WORK_SHARES)
            runner = run.site.runners[name]
            if service == CALLS:
                runner.pause_s = share * calls_s
            elif service == STREAMS:
                runner.pause_s = share * streams_s / STREAM_EVENTS
        end = monotonic() + IN_FORCE_WAIT_S
        waiting = set(run.site.processes)
        while waiting and monotonic() < end:
            for name in sorted(waiting):
                if await configuration_of(run.site, name) >= run.version:
                    waiting.discard(name)
            await asyncio.sleep(0.05)

    async def _stop_in_series(self, rng: Random) -> None:
        run = self.run
        names = sorted(run.site.processes)
        stopped = rng.sample(names, rng.randint(1, len(names)))
        async with asyncio.TaskGroup() as group:
            for name in stopped:
                for _ in range(CROWD):
                    group.create_task(self._use_until_gone(name, Random(rng.random())))
            await asyncio.sleep(LEAD_S)
            for task in self._disturb(rng, stopped):
                group.create_task(task)
            for name in stopped:
                group.create_task(self.stop(name))
                await asyncio.sleep(rng.uniform(0, MAX_STOP_GAP_S))

    def _disturb(
        self, rng: Random, names: list[str]
    ) -> Iterable[Coroutine[Any, Any, None]]:
        """Yield further signals and changes at random moments of the stops."""
        for _ in range(rng.randint(0, MAX_SIGNALS)):
            number = rng.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
            yield self._signal(rng.uniform(0, GRACE_S), rng.choice(names), number)
        for _ in range(rng.randint(0, MAX_CHANGES)):
            yield self._publish_later(rng.uniform(0, GRACE_S))

    async def _signal(self, after_s: float, name: str, number: signal.Signals) -> None:
        """Signal a node later; SIGTERM and SIGINT only to one that stops already."""
        await asyncio.sleep(after_s)
        process = self.run.site.processes[name]
        if number is signal.SIGHUP or id(process) in self._stopping:
            process.signal(number)

    async def _publish_later(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.run.publish()

    async def _use_until_gone(self, name: str, rng: Random) -> None:
        """Send requests on a kept connection until the node's process has ended."""
        run = self.run
        caller = run.make_caller(rng)
        process = run.site.processes[name]
        try:
            while process.process.returncode is None:
                kind = rng.choice(sorted(REQUEST_KINDS))
                split_s = 0.0
                if rng.random() < SPLIT_SHARE:
                    split_s = rng.uniform(0, MAX_SPLIT_S)
                deadline_s = rng.uniform(*DEADLINES_S)
                await caller.send_request(
                    name, kind, deadline_s=deadline_s, split_s=split_s
                )
                await asyncio.sleep(rng.uniform(0, MAX_REQUEST_GAP_S))
        finally:
            caller.close()


def routes_with(
    timeouts_s: dict[str, float], max_attempts: Mapping[str, int] = MappingProxyType({})
) -> list[dict[str, Any]]:
    """Return the example configuration's routes with other time-outs and attempts."""
    routes = []
    for route in entry_configuration()["routes"]:
        name = route["name"]
        changed = {**route, "timeoutMs": int(1000 * timeouts_s[name])}
        if name in max_attempts:
            changed["maxAttempts"] = max_attempts[name]
        routes.append(changed)
    return routes
