"""``poplarrelay replay`` and ``poplarrelay trace``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from poplarrelay.commands.output import ExitCode, fail, print_lines
from poplarrelay.exception import SettingsError
from poplarrelay.replay.generate import Day, generate_trace
from poplarrelay.replay.judge import ReplayEvaluation, evaluate_replay
from poplarrelay.replay.report import report_html, report_json
from poplarrelay.replay.runner import run_replay
from poplarrelay.replay.target import ReplayTarget
from poplarrelay.replay.trace import read_trace, write_trace
from poplarrelay.settings import load_json_file
from poplarrelay.testing.site import Site

__all__ = ["replay", "trace_app"]

trace_app = App(name="trace", help="Generate and check traces.")

Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


def _show_progress(done: int, total: int) -> None:
    if sys.stderr.isatty() or done == total or done % 100 == 0:
        print(f"\r{done}/{total} requests", end="", file=sys.stderr, flush=True)


def _summary_lines(evaluation: ReplayEvaluation) -> list[str]:
    lines = [f"{evaluation.name}: {evaluation.requests} requests"]
    for name, figures in evaluation.classes.items():
        lines.append(
            f"{name}: {figures.in_time} of {figures.requests} in time, "
            f"first token median {figures.median_first_s} s, "
            f"95th {figures.p95_first_s} s"
        )
    lines.append(
        f"doubled {evaluation.doubled}, lost {evaluation.lost}, fragments "
        f"{evaluation.fragments}, false not-run {evaluation.false_not_run}"
    )
    lines.append(
        f"recomputed tokens: {evaluation.recomputed_moving} moving or resuming, "
        f"{evaluation.recomputed_missing_cache} missing a cache"
    )
    for missed in evaluation.broken:
        lines.append(
            f"BROKEN {missed.outcome}: stated {missed.stated}, found {missed.found}"
        )
    return lines


def replay(
    trace: Path,
    *,
    target: Path,
    scale: float = 1.0,
    report: Path | None = None,
    json: Json = False,
) -> None:
    """Replay a trace against running nodes and check the outcomes that it states.

    Parameters
    ----------
    trace
        File with the trace, as JSON lines.
    target
        JSON file with the addresses and tokens of the running system.
    scale
        Seconds of the replay per second of the trace.
    report
        File to write an HTML report to.
    """
    try:
        loaded = read_trace(trace)
        running_system = load_json_file(ReplayTarget, target)
    except SettingsError as error:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
    completed = run_replay(loaded, running_system, scale, _show_progress)
    print(file=sys.stderr)
    evaluation = evaluate_replay(completed)
    if report is not None:
        report.write_text(report_html(evaluation, completed))
    if json:
        sys.stdout.buffer.write(report_json(evaluation) + b"\n")
    else:
        print_lines(_summary_lines(evaluation))
    raise SystemExit(int(ExitCode.OK if evaluation.good else ExitCode.FAILED))


@trace_app.command
def check(trace: Path) -> None:
    """Check a trace and report every fault.

    Parameters
    ----------
    trace
        File with the trace, as JSON lines.
    """
    try:
        loaded = read_trace(trace)
    except SettingsError as error:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
    print(f"{trace}: {len(loaded.requests)} requests, {len(loaded.events)} events")


@trace_app.command
def generate(
    site: Path,
    trace: Path,
    *,
    day: Day = Day.HARBOUR,
    seed: int = 1,
    seconds: float = 60.0,
    rate: float = 10.0,
) -> None:
    """Generate a trace of a simulated, shortened day.

    Parameters
    ----------
    site
        Site file with the teams and endpoints to use.
    trace
        File to write the trace to.
    rate
        Requests per second at noon.
    """
    try:
        loaded = Site.from_file(site)
    except SettingsError as error:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
    write_trace(trace, generate_trace(loaded, day, seed, seconds, rate))
