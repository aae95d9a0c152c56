"""Load of prompts, some of which have a part that crashes endpoints, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import count
from time import monotonic

from poplarrelay.exception import ExchangeFailed
from poplarrelay.standins.users.runner import ReceivedRequest
from poplarrelay.testing.entry_site import EntrySite

__all__ = ["BAD_PART", "PoisonLoad", "add_crashing_endpoints", "prefix_of"]

BAD_PART = "bad0"
#: Parts that all prompts of the load share, by position.
SOUND_PARTS = ("aa0", "aa1", "aa2")
#: Seconds between two prompts of the load.
INTERVAL_S = 0.05
#: Prompts of the load for each one with the bad part.
PROMPTS_PER_BAD = 5
#: Seconds from a crash until the next run of the endpoint.
RECOVERY_S = 1.0


def prefix_of(parts: Sequence[str], own: str) -> str:
    """Return the header that lists the parts of a prompt, with its own part last."""
    return ",".join([*(f"{part}:200" for part in parts), f"{own}:100"])


async def add_crashing_endpoints(
    site: EntrySite,
    service: str,
    number: int = 10,
    bad: Sequence[str] = (BAD_PART,),
    framed: bool = True,
) -> None:
    """Start endpoints that crash on a part, and wait until all nodes list them."""
    for index in range(number):
        name = f"r{index}"
        await site.add_runner(
            name, service, pause_s=0.03, crash_parts=set(bad), framed=framed
        )
        site.restart_after_crash(name, service, RECOVERY_S)
    for node in site.nodes:
        await site.ready(node, endpoints=number)


@dataclass(slots=True)
class PoisonLoad:
    """Prompts to all nodes in turn, no two alike; some have a bad part.

    Attributes
    ----------
    position : int
        Place of the bad part among the shared ones.
    bad : sequence of str
        Bad parts, in turn.
    interval_s : float
        Seconds between two prompts.
    per_bad : int
        Prompts for each one with a bad part.
    sound : list of tuple of float and bool
        Time of each sound prompt, and whether its first try was served.
    bad_statuses : list of tuple of float and int
        Time and status of each bad prompt, 0 if there was no answer.
    """

    site: EntrySite
    path: str
    position: int = 0
    bad: Sequence[str] = (BAD_PART,)
    interval_s: float = INTERVAL_S
    per_bad: int = PROMPTS_PER_BAD
    sound: list[tuple[float, bool]] = field(default_factory=list)
    bad_statuses: list[tuple[float, int]] = field(default_factory=list)
    _numbers: count[int] = field(default_factory=count)

    async def run(self, for_s: float) -> None:
        """Send prompts for some seconds, and wait for their answers."""
        end, tasks = monotonic() + for_s, []
        while monotonic() < end:
            tasks.append(asyncio.create_task(self._send(next(self._numbers))))
            await asyncio.sleep(self.interval_s)
        await asyncio.gather(*tasks)

    async def send_bad(self, number: int) -> None:
        """Send some bad prompts at once, to the nodes in turn."""
        numbers = [next(self._numbers) for _ in range(number)]
        await asyncio.gather(*(self._send(each, poisoned=True) for each in numbers))

    async def _send(self, number: int, poisoned: bool = False) -> None:
        parts = list(SOUND_PARTS)
        poisoned = poisoned or number % self.per_bad == self.per_bad - 1
        if poisoned:
            parts[self.position] = self.bad[number % len(self.bad)]
        names = list(self.site.nodes)
        status, begun_at = 0, monotonic()
        try:
            answer = await self.site.call(
                self.path,
                names[number % len(names)],
                f"prompt {number}".encode(),
                X_Poplarrelay_Model="m",
                X_Poplarrelay_Token_Usage="700,20",
                X_Poplarrelay_Prefix_Hash=prefix_of(parts, f"c{number:x}"),
            )
            status = answer.status
        except (ExchangeFailed, TimeoutError, OSError):
            pass
        if poisoned:
            self.bad_statuses.append((begun_at, status))
        else:
            self.sound.append((begun_at, status == 200))

    def arrivals(self, *bad: str) -> list[ReceivedRequest]:
        """Return the requests with bad parts that endpoints began to run, by time."""
        wanted = bad or tuple(self.bad)
        found = [
            request
            for runner in self.site.runners.values()
            for request in runner.ran
            if any(
                f"{part}:" in request.headers.get("x-poplarrelay-prefix-hash", "")
                for part in wanted
            )
        ]
        return sorted(found, key=lambda request: request.at)

    def served(self, since: float, until: float) -> float:
        """Return the share of the sound prompts of some time that were served."""
        results = [good for at, good in self.sound if since <= at < until]
        assert len(results) >= 20
        return sum(results) / len(results)
