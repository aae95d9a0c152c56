"""``poplarrelay soak``: real node processes under random faults."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

from cyclopts import Parameter

from poplarrelay.commands.output import ExitCode, fail
from poplarrelay.testing.soak.run import SoakReport, SoakSize, soak

__all__ = ["parse_seeds", "soak_command"]


def parse_seeds(text: str) -> list[int]:
    """Return the seeds that a text like ``3,8-10`` names.

    Raises
    ------
    ValueError
        If it is no such text.

    Examples
    --------
    >>> parse_seeds("3,8-10")
    [3, 8, 9, 10]
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def _print(report: SoakReport) -> None:
    verdict = "passed" if report.passed else "BROKEN"
    faults = ", ".join(f"{name} {n}" for name, n in sorted(report.faults.items()))
    print(f"seed {report.seed}: {verdict}; faults: {faults}")
    print(f"  requests: {report.endings}")
    for violation in report.violations:
        print(f"  {violation.invariant.name}: {violation.detail}")
    sys.stdout.flush()


def soak_command(
    *,
    seeds: str = "1-50",
    length: float = 10.0,
    nodes: int = 3,
    callers: int = 12,
    logs: Annotated[Path | None, Parameter(help="Keeps the nodes' logs here.")] = None,
) -> None:
    """Run nodes as processes under random faults and check the promises.

    Parameters
    ----------
    seeds
        Which runs, as in ``1-50`` or ``3,8-10``.
    length
        Seconds of faults in each run.
    nodes
        Node processes, at most 16.
    callers
        Callers that send requests all the time.
    """
    try:
        chosen = parse_seeds(seeds)
    except ValueError:
        fail(ExitCode.USAGE, f"seeds: {seeds!r} is not like 3,8-10")
    if not 1 <= nodes <= 16:
        fail(ExitCode.USAGE, "nodes: from 1 to 16")
    size = SoakSize(nodes=nodes, callers=callers, length_s=length)
    broken = []
    for seed in chosen:
        with TemporaryDirectory() as scratch:
            folder = Path(scratch) if logs is None else logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(soak(seed, size, folder))
        _print(report)
        if not report.passed:
            broken.append(seed)
    print(f"{len(chosen) - len(broken)} of {len(chosen)} seeds passed")
    if broken:
        fail(ExitCode.FAILED, f"broken seeds: {broken}")
