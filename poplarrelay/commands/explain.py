"""``poplarrelay explain``: the history of one request, from the nodes' log lines."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from poplarrelay.commands.output import ExitCode, fail, print_lines

__all__ = ["Explanation", "explain", "explain_request", "read_lines", "read_logs"]

#: Messages about the state of one endpoint. They concern a request that used it.
ENDPOINT_STATE_MESSAGES = (
    "endpoint",
    "endpoint avoided",
    "endpoint brittle",
    "path",
    "tunnel refused",
)
#: Messages about requests with one fingerprint. They concern a request that has it.
FINGERPRINT_STATE_MESSAGES = ("request blocked", "request unblocked")
#: Messages about one part of prompts. They concern a request refused for it.
PART_STATE_MESSAGES = ("part blocked", "part probed", "part unblocked")
#: Messages about the archive of streams. They concern a request that resumes one.
ARCHIVE_STATE_MESSAGES = (
    "streams not archived",
    "archive unreadable",
    "history has a gap",
    "history completed from the archive",
)
#: Messages about the state of a service. They concern a request for it.
SERVICE_STATE_MESSAGES = ("rollout",)
#: Messages about limits of a node's process. They concern all its requests.
LIMIT_STATE_MESSAGES = ("limit reached", "limit no longer reached", "lines omitted")
#: Messages about the state of a node. They concern all its requests.
NODE_STATE_MESSAGES = (
    "configuration in force",
    "dependency lost",
    "dependency regained",
    "frozen",
    "ready",
    "started",
    "stopping",
    "task failed",
)
#: Subject of the messages about the archive.
_ARCHIVE = "archive of streams"
#: Fields left out of the printed values: they are in every line or in the heading.
OMITTED_FIELDS = ("time", "level", "logger", "message", "node", "request")


@dataclass(slots=True)
class Explanation:
    """Log lines about one request and the node state that applied to it.

    Attributes
    ----------
    lines : list
        Log lines of the request, in the order in which they were written.
    known_state : list
        Per kind and subject, the last line that the node logged before the last line
        of the request.
    """

    request: str
    lines: list[dict[str, Any]] = field(default_factory=list)
    known_state: list[dict[str, Any]] = field(default_factory=list)

    def text(self) -> list[str]:
        """Return the lines to print."""
        if not self.lines:
            return [f"no line tells of request {self.request}"]
        node = self.lines[0].get("node", "?")
        text_lines = [
            f"request {self.request} at node {node}",
            "state known to the node:",
        ]
        text_lines += [f"  {_format_line(line)}" for line in self.known_state] or [
            "  nothing is logged"
        ]
        text_lines.append("what happened to the request:")
        text_lines += [f"  {_format_line(line)}" for line in self.lines]
        return text_lines


def _format_line(line: dict[str, Any]) -> str:
    values = [
        f"{name}={value}"
        for name, value in line.items()
        if name not in OMITTED_FIELDS and value not in (None, "")
    ]
    return f"{line.get('time', '')}  {line.get('message', '')}: {' '.join(values)}"


def read_lines(content: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Yield the log lines in a text, without the text before each JSON object.

    Examples
    --------
    >>> list(read_lines([b'12.5 node-1 {"message": "ready"}', b"no log line"]))
    [{'message': 'ready'}]
    """
    for raw in content:
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            value = orjson.loads(raw[start:])
        except orjson.JSONDecodeError:
            # The text can contain lines of other programs.
            continue
        if isinstance(value, dict) and "message" in value:
            yield value


def read_logs(logs: Sequence[Path]) -> Iterator[dict[str, Any]]:
    """Return the log lines in files, or on standard input if no file is given.

    If a file cannot be read, end the process with `ExitCode.USAGE`.
    """
    try:
        content = [line for log in logs for line in log.read_bytes().splitlines()]
    except OSError as error:
        fail(ExitCode.USAGE, f"{error.filename}: {error.strerror}")
    return read_lines(content if logs else sys.stdin.buffer)


def explain_request(request: str, lines: Iterable[dict[str, Any]]) -> Explanation:
    """Return what log lines contain about a request.

    Parameters
    ----------
    request : str
        The caller's id of the request.
    lines : iterable of dict
        Log lines of any number of nodes. The lines of one node are in order.

    Notes
    -----
    The lines are read once. Memory use grows with the number of nodes, endpoints and
    fingerprints, not with the number of lines.
    """
    explanation = Explanation(request)
    latest: dict[tuple[str, str, str], dict[str, Any]] = {}
    latest_before_end: dict[tuple[str, str, str], dict[str, Any]] = {}
    for line in lines:
        node = str(line.get("node", ""))
        message = str(line["message"])
        if line.get("request") == request:
            explanation.lines.append(line)
            latest_before_end = {
                key: value for key, value in latest.items() if key[0] == node
            }
        elif message in ENDPOINT_STATE_MESSAGES:
            latest[node, message, str(line.get("endpoint"))] = line
        elif message in FINGERPRINT_STATE_MESSAGES:
            latest[node, message, str(line.get("fingerprint"))] = line
        elif message in PART_STATE_MESSAGES:
            latest[node, message, f"part {line.get('part')}"] = line
        elif message in ARCHIVE_STATE_MESSAGES:
            latest[node, message, _ARCHIVE] = line
        elif message in SERVICE_STATE_MESSAGES:
            latest[node, message, str(line.get("service"))] = line
        elif message in LIMIT_STATE_MESSAGES:
            subject = f"{line.get('limit')} {line.get('listener')}"
            latest[node, message, subject] = line
        elif message in NODE_STATE_MESSAGES:
            subject = line.get("dependency") or line.get("task") or ""
            latest[node, message, str(subject)] = line
    subjects = {line.get("endpoint") for line in explanation.lines}
    subjects |= {line.get("fingerprint") for line in explanation.lines}
    subjects |= {line.get("service") for line in explanation.lines}
    subjects |= {line.get("detail") for line in explanation.lines}
    if any(line.get("resumes") for line in explanation.lines):
        subjects.add(_ARCHIVE)
    explanation.known_state = [
        line
        for (_, message, subject), line in latest_before_end.items()
        if message in (*NODE_STATE_MESSAGES, *LIMIT_STATE_MESSAGES)
        or subject in subjects
    ]
    return explanation


def explain(request: str, *logs: Path) -> None:
    """Print the history of a request and the state known to its node, from log lines.

    Parameters
    ----------
    request
        The caller's id of the request.
    logs
        Files with log lines of nodes. Without files, read standard input.
    """
    explanation = explain_request(request, read_logs(logs))
    print_lines(explanation.text())
    if not explanation.lines:
        raise SystemExit(int(ExitCode.FAILED))
