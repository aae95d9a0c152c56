"""Print results for people and for programs, and end with an exit code."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Any, NoReturn

import orjson

__all__ = ["ExitCode", "fail", "print_json", "print_lines"]


class ExitCode(IntEnum):
    """Exit codes of the commands; 64 and above as in sysexits."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 65
    UNREACHABLE = 69
    UNKNOWN = 75
    CONFIGURATION = 78


def print_json(value: Any) -> None:
    """Print JSON for a program."""
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_INDENT_2) + b"\n")
    sys.stdout.flush()


def print_lines(lines: list[str]) -> None:
    """Print lines for a person."""
    for line in lines:
        print(line)


def fail(code: ExitCode, *messages: str) -> NoReturn:
    """Print messages on standard error and end the process."""
    for message in messages:
        print(f"poplarrelay: {message}", file=sys.stderr)
    raise SystemExit(int(code))
