"""Percentiles, processor time and memory for the benchmarks."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ["cpu_seconds", "percentile", "resident_mb"]

_TICKS = os.sysconf("SC_CLK_TCK")


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0
