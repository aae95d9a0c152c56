"""``poplarrelay soak``: run node processes under random faults."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

from cyclopts import Parameter

from poplarrelay.commands.output import ExitCode, fail
from poplarrelay.testing.soak.plan import FaultKind
from poplarrelay.testing.soak.run import SoakReport, SoakSize, soak

__all__ = ["parse_seeds", "soak_command"]

_KINDS = [kind.value for kind in FaultKind]


def parse_seeds(text: str) -> list[int]:
    """Return the seeds in a text such as ``3,8-10``.

    Raises
    ------
    ValueError
        If a part of the text is neither a number nor a range of numbers.

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


def _print_report(report: SoakReport) -> None:
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
    logs: Annotated[Path | None, Parameter(help="Folder for the nodes' logs.")] = None,
    kinds: str = "",
    checkout: Path | None = None,
) -> None:
    """Run node processes under random faults and check the invariants.

    Parameters
    ----------
    seeds
        Seeds to run, such as ``1-50`` or ``3,8-10``.
    length
        Time during which faults occur in each run, in seconds.
    nodes
        Number of node processes, at most 16.
    callers
        Number of callers that send requests during the run.
    kinds
        Kinds of fault to use, such as ``stop,reload``; all by default.
    checkout
        Checkout of another version, whose code the nodes run.
    """
    try:
        chosen_seeds = parse_seeds(seeds)
    except ValueError:
        fail(ExitCode.USAGE, f"seeds: {seeds!r} is not a list such as 3,8-10")
    if not 1 <= nodes <= 16:
        fail(ExitCode.USAGE, "nodes: must be from 1 to 16")
    try:
        chosen_kinds = tuple(FaultKind(name) for name in kinds.split(",") if name)
    except ValueError as error:
        fail(ExitCode.USAGE, f"kinds: {error}; known are {', '.join(_KINDS)}")
    size = SoakSize(
        nodes=nodes,
        callers=callers,
        length_s=length,
        fault_kinds=chosen_kinds or tuple(FaultKind),
        checkout=checkout,
    )
    failed_seeds = []
    for seed in chosen_seeds:
        with TemporaryDirectory() as scratch:
            folder = Path(scratch) if logs is None else logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(soak(seed, size, folder))
        _print_report(report)
        if not report.passed:
            failed_seeds.append(seed)
    print(
        f"{len(chosen_seeds) - len(failed_seeds)} of {len(chosen_seeds)} seeds passed"
    )
    if failed_seeds:
        fail(ExitCode.FAILED, f"broken seeds: {failed_seeds}")
