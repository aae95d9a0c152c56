"""``poplarrelay losses``: late and failed requests by cause, from nodes' log lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from poplarrelay.commands.explain import read_logs
from poplarrelay.commands.output import ExitCode, print_lines
from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.outcomes import RefusalReason

__all__ = ["Cause", "Losses", "count_losses", "losses"]

#: Share of the latency target. A prompt whose own prefill takes more than this is late
#: because of its length, at any endpoint.
OWN_PREFILL_SHARE = 0.85


class Cause(Enum):
    """Why a request was not answered in time."""

    OWN_PREFILL = "late: its own prompt takes its target"
    QUEUE = "late: behind the prompts in line, as forecast"
    SLOWER_THAN_FORECAST = "late: at the engine, though forecast in time"
    RETRIED = "late: after an attempt that failed"
    SERVICE_CALL = "late: a plain call"
    OVER_QUOTA = "refused: the team's quota is used up"
    FULL = "refused: no place, or too long a line"
    NO_ENDPOINT = "refused: no endpoint is known"
    NOT_RUN = "refused: no endpoint took it"
    CRASHES = "refused: endpoints have crashed under it"
    STOPPING = "refused: the node stops, or has just started"
    BROKEN_OFF = "broken off: the endpoint ended or left"
    ENDPOINT_ERROR = "failed: the endpoint's own error"
    UNKNOWN = "failed: the outcome is not known"
    CALLER_LEFT = "the caller left"
    CUT_AT_STOP = "cut: the node stopped"
    CUT_BY_NODE = "cut: by the node itself"


#: HTTP statuses of requests that the configuration does not allow. They are not losses.
_DENIED_STATUSES = (401, 404)
#: Cause by the outcome in the log line of a request. `_cause` handles the statuses and
#: outcomes that are not listed.
_CAUSE_BY_OUTCOME = {
    RefusalReason.FULL.value: Cause.FULL,
    RefusalReason.QUEUE_TOO_LONG.value: Cause.FULL,
    RefusalReason.LIMITED.value: Cause.FULL,
    RefusalReason.NO_ENDPOINT.value: Cause.NO_ENDPOINT,
    RefusalReason.NOT_RUN.value: Cause.NOT_RUN,
    RefusalReason.STOPPING.value: Cause.STOPPING,
    RefusalReason.NO_CONFIGURATION.value: Cause.STOPPING,
    RefusalReason.CRASHES.value: Cause.CRASHES,
    CutReason.CALLER_LEFT.value: Cause.CALLER_LEFT,
    CutReason.STOPPED.value: Cause.CUT_AT_STOP,
    CutReason.FAILED.value: Cause.CUT_BY_NODE,
    "answered": Cause.ENDPOINT_ERROR,
}


@dataclass(slots=True)
class Losses:
    """Counts of requests that were in time, late or failed.

    Attributes
    ----------
    causes : Counter of Cause
        Number of requests that were not answered in time.
    tokens : Counter of Cause
        Number of tokens that these requests asked for.
    total, in_time : int
        Number of all requests, and of those that were answered in time.
    """

    total: int = 0
    in_time: int = 0
    causes: Counter[Cause] = field(default_factory=Counter)
    tokens: Counter[Cause] = field(default_factory=Counter)

    def text(self) -> list[str]:
        """Return the lines to print."""
        if not self.total:
            return ["no line tells of a request"]
        percent = 100 * self.in_time / self.total
        text_lines = [
            f"{self.total} requests, {self.in_time} in time ({percent:.1f} in 100)"
        ]
        for cause, number in self.causes.most_common():
            cause_percent = 100 * number / self.total
            tokens = self.tokens[cause]
            text_lines.append(
                f"{number:7} {cause_percent:5.1f}%  {tokens:11} tokens  {cause.value}"
            )
        return text_lines


def count_losses(lines: Iterable[dict[str, Any]]) -> Losses:
    """Return counts of the requests in log lines, by cause of loss.

    Parameters
    ----------
    lines : iterable of dict
        Log lines of any number of nodes. The lines of one node are in order.
    """
    result = Losses()
    attempts: defaultdict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in lines:
        if line["message"] == "attempt":
            attempts[str(line["request"])].append(line)
        elif line["message"] in ("request", "refused"):
            if line["status"] in _DENIED_STATUSES:
                continue
            cause = _cause(line, attempts.pop(str(line["request"]), []))
            result.total += 1
            if cause is None:
                result.in_time += 1
                continue
            result.causes[cause] += 1
            result.tokens[cause] += int(line.get("tokens", 0))
    return result


def _cause(line: dict[str, Any], attempts: list[dict[str, Any]]) -> Cause | None:
    """Return why a request was not answered in time, or None if it was."""
    status, outcome = line["status"], str(line.get("outcome") or line.get("why"))
    if 200 <= status < 300:
        took_ms = line.get("first_event_ms", line["took_ms"])
        in_time = took_ms <= line.get("target_ms", float("inf"))
        return None if in_time else _cause_of_lateness(line, attempts)
    if outcome.endswith(RefusalReason.CUT_AT_STOP.value):
        return Cause.CUT_AT_STOP
    if outcome.startswith("broken off"):
        return Cause.BROKEN_OFF
    if status == 429:
        return Cause.OVER_QUOTA
    return _CAUSE_BY_OUTCOME.get(outcome, Cause.UNKNOWN)


def _cause_of_lateness(line: dict[str, Any], attempts: list[dict[str, Any]]) -> Cause:
    if "first_event_ms" not in line:
        return Cause.SERVICE_CALL
    if len(attempts) > 1:
        return Cause.RETRIED
    due_ms = sum(attempt.get("due_ms") or 0.0 for attempt in attempts)
    ahead_ms = sum(attempt.get("ahead_ms") or 0.0 for attempt in attempts)
    if due_ms - ahead_ms > OWN_PREFILL_SHARE * line["target_ms"]:
        return Cause.OWN_PREFILL
    return Cause.QUEUE if due_ms > line["target_ms"] else Cause.SLOWER_THAN_FORECAST


def losses(*logs: Path) -> None:
    """Print how many requests were not answered in time, by cause, from log lines.

    Parameters
    ----------
    logs
        Files with log lines of nodes. Without files, read standard input.
    """
    result = count_losses(read_logs(logs))
    print_lines(result.text())
    if not result.total:
        raise SystemExit(int(ExitCode.FAILED))
