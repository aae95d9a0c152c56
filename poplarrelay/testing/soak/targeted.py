"""Faults of the soak that send requests of their own and check how these end."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from typing import TYPE_CHECKING

from poplarrelay.entry.outcomes import RefusalReason
from poplarrelay.testing.entry_site import DEADLINE_S, STREAMS, entry_configuration
from poplarrelay.testing.resuming_callers import ResumingCaller
from poplarrelay.testing.soak.callers import KEYS, Caller, configuration_of
from poplarrelay.testing.soak.ledger import (
    Ending,
    Invariant,
    SentRequest,
    Violation,
    check_stream,
)

if TYPE_CHECKING:
    from poplarrelay.testing.soak.run import SoakRun

__all__ = ["STREAM_EVENTS", "TargetedFaults"]

#: Events of a whole stream.
STREAM_EVENTS = 5
#: Streams that are open when all nodes are killed, and seconds between their events.
OPEN_STREAMS, LONG_PAUSE_S = 6, 0.8
#: Seconds from the start of the streams to the kill, and longest wait for the nodes.
STREAM_AGE_S, RESTART_WAIT_S = 2.0, 8.0
#: Share of the open streams that must go on if all new ones begin.
MIN_RESUMED_SHARE = 0.5
#: Bad prompts that are sent at once, and how often one after the other.
BURST, BURSTS = 2, 2
#: Endpoints that are added, so that some are left after a burst, and the time until
#: all nodes list them.
ADDED, LISTED_S = 5, 1.0
#: Seconds between two prompts after that, and prompts for each bad one.
PROMPT_GAP_S, PROMPTS_PER_BAD = 0.3, 4
#: Shortest time of these prompts in seconds, and the time after which few sound ones
#: may be refused.
MIN_LIGHT_S, SETTLED_S = 5.0, 1.5
#: Sound prompts that may be refused after that for one of their parts, and the share.
MAX_REFUSED, MAX_REFUSED_SHARE = 2, 0.5
#: Limits on bodies in bytes, and idle time-outs in milliseconds, that are published.
BODY_LIMITS, IDLE_TIMEOUTS_MS = (3_000, 30_000, 300_000), (1_000, 3_000, 8_000)
#: Share of the limit that the body of a request fills.
BODY_SHARE = 0.8
#: Connections that are kept over a change, and longest wait until it is in force.
KEPT_CONNECTIONS, IN_FORCE_WAIT_S = 4, 3.0
#: Statuses that deny a request for its size.
TOO_LARGE = (413, 431)


@dataclass(slots=True)
class TargetedFaults:
    """Faults with callers of their own.

    Attributes
    ----------
    violations : list of Violation
        Invariants that did not hold for these callers.
    shared_parts : set of str
        Prompt parts that sound prompts have shared with bad ones.
    limits : dict
        Limits on callers in force.
    slowing : asyncio.Lock
        Held while a fault has changed the pace of endpoints. Overlapping faults would
        take each other's pace for the usual one.
    """

    run: SoakRun
    violations: list[Violation] = field(default_factory=list)
    shared_parts: set[str] = field(default_factory=set)
    limits: dict[str, int] = field(
        default_factory=lambda: dict(entry_configuration()["limits"])
    )
    _changing: asyncio.Lock = field(default_factory=asyncio.Lock)
    _crashing: asyncio.Lock = field(default_factory=asyncio.Lock)
    slowing: asyncio.Lock = field(default_factory=asyncio.Lock)

    # loss of all nodes

    async def kill_all_nodes(self, rng: Random, duration_s: float) -> None:
        """Kill all nodes at once beside open streams, which callers then resume."""
        run, since = self.run, monotonic()
        names = sorted(run.site.processes)
        callers = [ResumingCaller(run.site) for _ in range(OPEN_STREAMS)]
        async with self.slowing:
            with self._long_streams():
                asking = [asyncio.create_task(self.ask(each, rng)) for each in callers]
                await asyncio.sleep(STREAM_AGE_S)
                await asyncio.gather(*(run.kill_node(name) for name in names))
        await asyncio.gather(*asking)
        await self._wait_until_ready(names)
        broken = [caller for caller in callers if caller.broken]
        new = [ResumingCaller(run.site) for _ in range(OPEN_STREAMS)]
        await asyncio.gather(*(self.ask(each, rng) for each in (*broken, *new)))
        for caller in (*callers, *new):
            last = STREAM_EVENTS if caller.complete and caller.content else 0
            self.violations += check_stream(caller.stream, caller.content, last)
        unknown = sum(
            caller.detail == RefusalReason.VERSION_UNKNOWN.value for caller in broken
        )
        begun = all(caller.last_id is not None for caller in new)
        if not begun or run.store_disturbed(since):
            return
        if unknown > (1 - MIN_RESUMED_SHARE) * len(broken):
            detail = f"{unknown} of {len(broken)} streams are unknown"
            self.violations.append(Violation(Invariant.STREAMS_GO_ON, detail))

    @contextlib.contextmanager
    def _long_streams(self) -> Iterator[None]:
        """Make all streams long, also those of endpoints that start again."""
        run = self.run
        paces = {
            name: run.site.runners[name].pause_s
            for name, service in run.listed.items()
            if service == STREAMS
        }
        for name in paces:
            run.site.runners[name].pause_s = LONG_PAUSE_S
        try:
            yield
        finally:
            for name, pause_s in paces.items():
                run.site.runners[name].pause_s = pause_s

    async def ask(self, caller: ResumingCaller, rng: Random) -> None:
        """Send one try of a stream to a random node."""
        run = self.run
        sent = SentRequest(
            f"stream-{next(run.stream_numbers)}",
            rng.choice(sorted(run.site.processes)),
            "draft",
            "alpha",
            repeatable=True,
            streams=True,
            ending=Ending.CUT,
            sent_at=monotonic(),
            timeout_s=min(DEADLINE_S, run.timeouts_s["draft"]),
        )
        sent.body_sent_at = sent.sent_at
        run.requests.append(sent)
        await caller.ask(sent.node, sent.request_id, sent.request_body)
        sent.ended_at = monotonic()
        if caller.gave_up:
            sent.ending = Ending.ABANDONED
        elif caller.whole:
            sent.ending = Ending.STREAMED

    async def _wait_until_ready(self, names: list[str]) -> None:
        end = monotonic() + RESTART_WAIT_S
        waiting = set(names)
        while waiting and monotonic() < end:
            for name in sorted(waiting):
                if await configuration_of(self.run.site, name):
                    waiting.discard(name)
            await asyncio.sleep(0.1)

    # crashing part in light traffic

    async def crash_in_light_traffic(self, rng: Random, duration_s: float) -> None:
        """Send few prompts, some of which have a part that crashes endpoints.

        A fault that starts while another one runs does nothing: with many such parts
        and few endpoints, no prompt can be served.
        """
        if self._crashing.locked():
            return
        async with self._crashing:
            added = [await self.run.add_endpoint(STREAMS) for _ in range(ADDED)]
            await asyncio.sleep(LISTED_S)
            await self._crash_in_light_traffic(rng, duration_s)
            self.run.remove_endpoints(added)

    async def _crash_in_light_traffic(self, rng: Random, duration_s: float) -> None:
        run = self.run
        bad, shared = (f"{rng.randrange(1 << 30):x}" for _ in range(2))
        self.shared_parts.add(shared)
        run.crash_parts.add(bad)
        caller = run.make_caller(rng)
        for name in sorted(run.site.processes):
            await self.send_prompt(caller, rng, name, [shared])
        for _ in range(BURSTS):
            await asyncio.gather(
                *(
                    self.send_prompt(run.make_caller(rng), rng, None, [shared, bad])
                    for _ in range(BURST)
                )
            )
        started_at, sound, number = monotonic(), [], 0
        while monotonic() < started_at + max(MIN_LIGHT_S, duration_s):
            number += 1
            poisoned = number % PROMPTS_PER_BAD == 0
            parts = [shared, bad] if poisoned else [shared]
            sent = await self.send_prompt(caller, rng, None, parts)
            if not poisoned and sent.sent_at > started_at + SETTLED_S:
                sound.append(sent)
            await asyncio.sleep(PROMPT_GAP_S)
        refused = sum(RefusalReason.POISON_PART.value.encode() in s.body for s in sound)
        if refused > max(MAX_REFUSED, MAX_REFUSED_SHARE * len(sound)):
            detail = f"{refused} of {len(sound)} prompts"
            self.violations.append(Violation(Invariant.SOUND_PROMPTS_GO_ON, detail))

    async def send_prompt(
        self, caller: Caller, rng: Random, node: str | None, parts: list[str]
    ) -> SentRequest:
        """Send a prompt with some shared parts, and a last one of its own."""
        own = f"{rng.randrange(1 << 30):x}"
        prefix = ",".join(f"{part}:10" for part in (*parts, own))
        headers = [(b"X-Poplarrelay-Prefix-Hash", prefix.encode())]
        node = node or rng.choice(sorted(self.run.site.processes))
        return await caller.send_request(node, "draft", headers=headers)

    # changed limits

    async def change_limits(self, rng: Random, duration_s: float) -> None:
        """Change the limits on callers, which then send what the new ones allow."""
        async with self._changing:
            run = self.run
            callers = [
                (run.make_caller(rng), rng.choice(sorted(run.site.processes)))
                for _ in range(KEPT_CONNECTIONS)
            ]
            await asyncio.gather(*(c.send_request(n, "look") for c, n in callers))
            self.limits = {
                **self.limits,
                "maxBodyBytes": rng.choice(BODY_LIMITS),
                "idleTimeoutMs": rng.choice(IDLE_TIMEOUTS_MS),
            }
            run.publish()
            await asyncio.gather(*(self._send_large(c, n, rng) for c, n in callers))

    async def _send_large(self, caller: Caller, node: str, rng: Random) -> None:
        """Send a request that the limits allow once they are in force at a node."""
        run, limit = self.run, self.limits["maxBodyBytes"]
        version, end = run.version, monotonic() + IN_FORCE_WAIT_S
        while await configuration_of(run.site, node) < version:
            if monotonic() > end:
                return
            await asyncio.sleep(0.05)
        body = rng.randbytes(int(BODY_SHARE * limit))
        sent = await caller.send_request(node, "look", body, rng.choice(list(KEYS)))
        if sent.status in TOO_LARGE:
            detail = f"{sent.request_id} at {node}: {sent.status}, limit {limit}"
            self.violations.append(Violation(Invariant.LIMITS_IN_FORCE, detail))
