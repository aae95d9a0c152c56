"""What the measurements share: percentiles, processor time and memory."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ["cpu_seconds", "percentile", "resident_mb"]

_TICKS = os.sysconf("SC_CLK_TCK")


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lie.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0
