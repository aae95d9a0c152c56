"""``poplarrelay losses``: what callers lost, and to what, from the nodes' log lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from poplarrelay.commands.explain import read_logs
from poplarrelay.commands.output import ExitCode, print_lines
from poplarrelay.entry.outcomes import RefusalReason

__all__ = ["Cause", "Losses", "count_losses", "losses"]

#: Part of its target that a prompt's own reading takes from which it is late by its
#: length, wherever it goes.
OWN_SHARE = 0.85


class Cause(Enum):
    """Why a request was not answered in time."""

    LENGTH = "late: its own prompt takes its target"
    LINE = "late: behind the prompts in line, as forecast"
    SURPRISE = "late: at the engine, though forecast in time"
    RETRIED = "late: after an attempt that failed"
    PLAIN = "late: a plain call"
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


#: Statuses of requests that the configuration does not allow: nothing is lost.
_DENIED = (401, 404)
#: What the line of a request says of its outcome, by status where that tells enough.
_BY_OUTCOME = {
    RefusalReason.FULL.value: Cause.FULL,
    RefusalReason.BEHIND.value: Cause.FULL,
    RefusalReason.LIMITED.value: Cause.FULL,
    RefusalReason.NO_ENDPOINT.value: Cause.NO_ENDPOINT,
    RefusalReason.NOT_RUN.value: Cause.NOT_RUN,
    RefusalReason.STOPPING.value: Cause.STOPPING,
    RefusalReason.NO_CONFIGURATION.value: Cause.STOPPING,
    RefusalReason.CRASHES.value: Cause.CRASHES,
    "caller left": Cause.CALLER_LEFT,
    "answered": Cause.ENDPOINT_ERROR,
}


@dataclass(slots=True)
class Losses:
    """Requests by what became of them.

    Attributes
    ----------
    causes : Counter of Cause
        Requests that were not answered in time.
    tokens : Counter of Cause
        The tokens that they asked for.
    total, in_time : int
        All requests, and those that were answered in time.
    """

    total: int = 0
    in_time: int = 0
    causes: Counter[Cause] = field(default_factory=Counter)
    tokens: Counter[Cause] = field(default_factory=Counter)

    def text(self) -> list[str]:
        """Return the lines to print."""
        if not self.total:
            return ["no line tells of a request"]
        share = 100 * self.in_time / self.total
        told = [f"{self.total} requests, {self.in_time} in time ({share:.1f} in 100)"]
        for cause, number in self.causes.most_common():
            part = 100 * number / self.total
            tokens = self.tokens[cause]
            told.append(f"{number:7} {part:5.1f}%  {tokens:11} tokens  {cause.value}")
        return told


def count_losses(lines: Iterable[dict[str, Any]]) -> Losses:
    """Return what became of the requests that log lines tell of.

    Parameters
    ----------
    lines : iterable of dict
        Log lines of any number of nodes, each node's in order.
    """
    found = Losses()
    attempts: defaultdict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in lines:
        if line["message"] == "attempt":
            attempts[str(line["request"])].append(line)
        elif line["message"] in ("request", "refused"):
            if line["status"] in _DENIED:
                continue
            cause = _cause(line, attempts.pop(str(line["request"]), []))
            found.total += 1
            if cause is None:
                found.in_time += 1
                continue
            found.causes[cause] += 1
            found.tokens[cause] += int(line.get("tokens", 0))
    return found


def _cause(line: dict[str, Any], attempts: list[dict[str, Any]]) -> Cause | None:
    """Return why a request was not answered in time, None if it was."""
    status, outcome = line["status"], str(line.get("outcome") or line.get("why"))
    if 200 <= status < 300:
        took_ms = line.get("first_event_ms", line["took_ms"])
        in_time = took_ms <= line.get("target_ms", float("inf"))
        return None if in_time else _why_late(line, attempts)
    if outcome.startswith("broken off"):
        return Cause.BROKEN_OFF
    if status == 429:
        return Cause.OVER_QUOTA
    return _BY_OUTCOME.get(outcome, Cause.UNKNOWN)


def _why_late(line: dict[str, Any], attempts: list[dict[str, Any]]) -> Cause:
    if "first_event_ms" not in line:
        return Cause.PLAIN
    if len(attempts) > 1:
        return Cause.RETRIED
    due_ms = sum(attempt.get("due_ms") or 0.0 for attempt in attempts)
    ahead_ms = sum(attempt.get("ahead_ms") or 0.0 for attempt in attempts)
    if due_ms - ahead_ms > OWN_SHARE * line["target_ms"]:
        return Cause.LENGTH
    return Cause.LINE if due_ms > line["target_ms"] else Cause.SURPRISE


def losses(*logs: Path) -> None:
    """Tell how many requests were not answered in time, and why, from log lines.

    Parameters
    ----------
    logs
        Files with the nodes' log lines; standard input if there are none.
    """
    found = count_losses(read_logs(logs))
    print_lines(found.text())
    if not found.total:
        raise SystemExit(int(ExitCode.FAILED))
