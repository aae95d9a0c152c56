"""Deployment of separate entry processes and stand-ins, shared by the cases.

The settings are those of a small deployment on the users' pages: the bounds of the
site satamavesi, fair shares, and one failure domain for each node.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.settings import EntrySettings
from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.store import StoreStandIn
from poplarrelay.testing.entry_site import EntryProcess, EntrySite, poll_until

__all__ = [
    "CONTACT_S",
    "HELD",
    "BROKEN",
    "NOT_RUN",
    "Record",
    "ReviewSite",
    "TROUBLE",
    "main",
    "run_site",
]

#: Exit codes of a case. ``run.sh`` turns the second into 1, and any unknown one into 2:
#: Python itself exits with 1 on an error.
HELD, BROKEN, NOT_RUN = 0, 10, 2
#: `contactMs` of the small sites, in seconds.
CONTACT_S = 3.0
#: Seconds between two records of a runner, `heartbeatMs` of the small sites.
HEARTBEAT_S = 1.2
#: Seconds after which a process that has ended is started again.
RESTART_S = 0.3
#: Seconds that a case may take.
MAX_CASE_S = 115.0
#: Whether the case includes its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Bounds of the site satamavesi, under the names of the settings.
BOUNDS = {
    "leaving_endpoint_ms": 2000,
    "endpoint_heartbeat_ms": 1200,
    "stop_grace_s": 8,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
    "quota_window_s": 8,
    "quota_overrun": 0.1,
    "quota_slack": 140_000,
    "lease_ms": 3000,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "address_ttl_most_s": 5,
}


class Record:
    """Log of what was sent, answered and run, written to a file.

    Parameters
    ----------
    path : Path
        The file; it is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def at(self, when: float) -> float:
        """Return a monotonic time in seconds since the start."""
        return when - self._began_at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class ReviewSite(EntrySite):
    """Site whose nodes are processes with the settings of a small deployment."""

    folder: Path
    names: str = ""

    async def _build_settings(
        self, name: str, seeds: str = "", **changes: Any
    ) -> dict[str, Any]:
        first_start = changes.pop("first_start", True)
        value = await super()._build_settings(name, seeds)
        value["bounds"] = {**BOUNDS, **changes}
        value["failure_domain"] = f"zone-{name}"
        value["failure_domains"] = ",".join(f"zone-{each}" for each in self.names)
        value["scheduling"] = {"fair_shares": True, "forecast_quantile": 0.8}
        value["first_start"] = first_start
        return value

    async def start_nodes(self, names: str) -> None:
        """Start all nodes as processes at the same time, and wait until all serve."""
        self.names, seeds = names, ""
        for name in names:
            value = await self._build_settings(name, seeds)
            path = self.folder / f"{name}.json"
            path.write_bytes(orjson.dumps(value))
            self._settings[name] = self._checked(value)
            await self.run_process(name, path)
            control = ":".join(map(str, self.address(name, "control")))
            seeds = ",".join([*seeds.split(","), control][-3:]).strip(",")
        for name in names:
            await self.wait_ready(name)

    @staticmethod
    def _checked(value: dict[str, Any]) -> EntrySettings:
        return EntrySettings.model_validate(value)

    async def wait_ready(self, name: str) -> None:
        """Wait until a node's present process is ready."""
        process = self.processes[name]
        await poll_until(lambda: "ready" in process.messages(), f"{name} ready")

    async def start_again(self, name: str) -> EntryProcess:
        """Start a node again after its process has ended, as the platform does."""
        path = self.processes[name].path
        await self.processes[name].process.wait()
        await asyncio.sleep(RESTART_S)
        value = orjson.loads(path.read_bytes())
        # `isBootstrap` is true only when the whole system starts for the first time.
        value["first_start"] = False
        path.write_bytes(orjson.dumps(value))
        return await self.run_process(name, path)

    def note_runs(self, record: Record) -> None:
        """Write every request that a runner has run, in order."""
        runs = [
            (request.at, request.attempt, name)
            for name, runner in self.runners.items()
            for request in runner.ran
        ]
        for at, attempt, name in sorted(runs):
            record.note(f"{attempt} run by {name} at {record.at(at):.3f}")

    async def beat(self, service: str) -> None:
        """Write the records of the runners again and again, as runners do."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, runner in list(self.runners.items()):
                if not runner._crashed and not runner.leaving:
                    self.list_runner(name, service)


@contextlib.asynccontextmanager
async def run_site(
    configuration: Callable[[ReviewSite], None],
) -> AsyncIterator[ReviewSite]:
    """Run a site without nodes, and end all its processes on exit."""
    with tempfile.TemporaryDirectory() as folder:
        site = ReviewSite(StoreStandIn(), CloudStandIn("127.0.0.1"))
        site.folder = Path(folder)
        await site.cloud.start()
        configuration(site)
        try:
            yield site
        finally:
            await site.stop()


def main(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case, and exit with its result."""

    async def run() -> int:
        record = Record(folder / "record.txt")
        record.note(f"TROUBLE={int(TROUBLE)}")
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(MAX_CASE_S):
                code = await case(record)
        except (Exception, asyncio.CancelledError) as error:
            record.note(f"the case could not run: {error!r}")
            code = NOT_RUN
        verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
        record.note(f"rule {verdict[code]}")
        record.close()
        return code

    sys.exit(asyncio.run(run()))
