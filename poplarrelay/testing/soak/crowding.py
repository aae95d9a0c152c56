"""Crowds of clients that do not behave, beside the callers of a soak run."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import orjson

from poplarrelay.testing.crowds import Crowd, start_crowd
from poplarrelay.testing.entry_site import EntryProcess
from poplarrelay.testing.soak.ledger import Invariant, Violation

if TYPE_CHECKING:
    from poplarrelay.testing.soak.run import SoakRun

__all__ = ["RESOURCES", "crowd_node"]

#: Resources of the nodes' hosts, and numbers of descriptors that they change to.
RESOURCES = {"memory_mb": 160, "descriptors": 512}
CHANGED_DESCRIPTORS = (256, 512, 1024)
#: Crowds whose requests are never passed on: the checks know all that endpoints run.
CROWDS = tuple(
    set(Crowd)
    - {
        Crowd.SERVED_UNREAD,
        Crowd.BYTES_BEHIND_A_STREAM,
        Crowd.HALF_CLOSED,
        Crowd.RESETS,
        Crowd.UNFINISHED_PROMPTS,
    }
)
LISTENERS = ("callers", "callers", "readiness", "discovery", "control", "tunnels")
#: Connections of a crowd.
MIN_CONNECTIONS, MAX_CONNECTIONS = 20, 400
#: Seconds between two looks at the process.
LOOK_S = 0.1


def measure(process: EntryProcess) -> tuple[float, int] | None:
    """Return the peak memory in MB and the open descriptors, None after its end."""
    folder = Path(f"/proc/{process.process.pid}")
    try:
        status = (folder / "status").read_text()
        descriptors = len(list((folder / "fd").iterdir()))
    except OSError:
        return None
    _, found, rest = status.partition("VmHWM:")
    return (int(rest.split()[0]) / 1000, descriptors) if found else None


async def crowd_node(run: SoakRun, rng: Random, duration_s: float) -> None:
    """Crowd a listener of a node, and check that the node keeps its resources."""
    name = rng.choice(sorted(run.site.processes))
    process = run.site.processes[name]
    crowd = rng.choice(sorted(CROWDS, key=lambda each: each.name))
    listener = rng.choice(LISTENERS)
    number = rng.randint(MIN_CONNECTIONS, MAX_CONNECTIONS)
    _change_resources(process, rng)
    address = run.site.address(name, listener)
    memory_mb, descriptors = 0.0, 0
    async with start_crowd(crowd, address, number, duration_s) as report:
        while not report.done():
            measured = measure(process)
            if measured is not None:
                memory_mb = max(memory_mb, measured[0])
                descriptors = max(descriptors, measured[1])
            await asyncio.sleep(LOOK_S)
    most = max(CHANGED_DESCRIPTORS)
    if memory_mb > RESOURCES["memory_mb"] or descriptors > most:
        detail = (
            f"{name}: {memory_mb:.0f} MB, {descriptors} descriptors under {number} "
            f"of {crowd.name} at {listener}"
        )
        run.resource_violations.append(Violation(Invariant.WITHIN_RESOURCES, detail))


def _change_resources(process: EntryProcess, rng: Random) -> None:
    """Write other resources to the settings; half of the time signal the change."""
    value = orjson.loads(process.path.read_bytes())
    value["resources"]["descriptors"] = rng.choice(CHANGED_DESCRIPTORS)
    process.path.write_bytes(orjson.dumps(value))
    if rng.random() < 0.5:
        with contextlib.suppress(ProcessLookupError):
            process.signal(signal.SIGHUP)
