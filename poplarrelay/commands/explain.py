"""``poplarrelay explain``: the way of one request, from the nodes' log lines."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from poplarrelay.commands.output import ExitCode, fail, print_lines

__all__ = ["Explanation", "explain", "explain_request", "read_lines", "read_logs"]

#: Messages that tell what a node believed, and by what they matter to a request:
#: those of its endpoints, or those of the whole node.
ENDPOINT_BELIEFS = ("endpoint", "endpoint avoided")
#: Those of requests with the same fingerprint.
REQUEST_BELIEFS = ("request blocked", "request unblocked")
NODE_BELIEFS = (
    "configuration in force",
    "dependency lost",
    "dependency regained",
    "frozen",
    "ready",
    "started",
    "stopping",
)
#: Fields that every line has, or that the heading tells.
COMMON = ("time", "level", "logger", "message", "node", "request")


@dataclass(slots=True)
class Explanation:
    """What the logs tell of one request.

    Attributes
    ----------
    lines : list
        Its own lines, in the order in which they were written.
    beliefs : list
        The last line of each belief that its node had before its end.
    """

    request: str
    lines: list[dict[str, Any]] = field(default_factory=list)
    beliefs: list[dict[str, Any]] = field(default_factory=list)

    def text(self) -> list[str]:
        """Return the lines to print."""
        if not self.lines:
            return [f"no line tells of request {self.request}"]
        node = self.lines[0].get("node", "?")
        told = [f"request {self.request} at node {node}", "what the node believed:"]
        told += [f"  {_line(line)}" for line in self.beliefs] or ["  nothing is told"]
        told.append("what became of the request:")
        told += [f"  {_line(line)}" for line in self.lines]
        return told


def _line(line: dict[str, Any]) -> str:
    values = [
        f"{name}={value}"
        for name, value in line.items()
        if name not in COMMON and value not in (None, "")
    ]
    return f"{line.get('time', '')}  {line.get('message', '')}: {' '.join(values)}"


def read_lines(content: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Return the log lines in a text; what stands before a line's object is skipped.

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
            # Other programs' lines may stand between; they are not ours to judge.
            continue
        if isinstance(value, dict) and "message" in value:
            yield value


def read_logs(logs: Sequence[Path]) -> Iterator[dict[str, Any]]:
    """Return the log lines in files, or on standard input if there are none.

    A file that cannot be read ends the command with an exit code.
    """
    try:
        content = [line for log in logs for line in log.read_bytes().splitlines()]
    except OSError as error:
        fail(ExitCode.USAGE, f"{error.filename}: {error.strerror}")
    return read_lines(content if logs else sys.stdin.buffer)


def explain_request(request: str, lines: Iterable[dict[str, Any]]) -> Explanation:
    """Return what log lines tell of a request.

    Parameters
    ----------
    request : str
        The caller's id of the request.
    lines : iterable of dict
        Log lines of any number of nodes, each node's in order.

    Notes
    -----
    One pass over the lines; what is kept grows with the nodes and endpoints, not
    with the lines.
    """
    found = Explanation(request)
    known: dict[tuple[str, str, str], dict[str, Any]] = {}
    last: dict[tuple[str, str, str], dict[str, Any]] = {}
    for line in lines:
        node = str(line.get("node", ""))
        message = str(line["message"])
        if line.get("request") == request:
            found.lines.append(line)
            last = {key: value for key, value in known.items() if key[0] == node}
        elif message in ENDPOINT_BELIEFS:
            known[node, message, str(line.get("endpoint"))] = line
        elif message in REQUEST_BELIEFS:
            known[node, message, str(line.get("fingerprint"))] = line
        elif message in NODE_BELIEFS:
            known[node, message, str(line.get("dependency", ""))] = line
    subjects = {line.get("endpoint") for line in found.lines}
    subjects |= {line.get("fingerprint") for line in found.lines}
    found.beliefs = [
        line
        for (_, message, subject), line in last.items()
        if message in NODE_BELIEFS or subject in subjects
    ]
    return found


def explain(request: str, *logs: Path) -> None:
    """Tell a request's way and what its node believed, from log lines.

    Parameters
    ----------
    request
        The caller's id of the request.
    logs
        Files with the nodes' log lines; standard input if there are none.
    """
    explanation = explain_request(request, read_logs(logs))
    print_lines(explanation.text())
    if not explanation.lines:
        raise SystemExit(int(ExitCode.FAILED))
