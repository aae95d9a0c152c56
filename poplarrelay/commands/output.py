"""Print results as text or JSON, and end the process with an exit code."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Any, NoReturn

import orjson

__all__ = ["ExitCode", "fail", "print_json", "print_lines"]


class ExitCode(IntEnum):
    """Exit codes of the commands; codes from 64 up follow ``sysexits.h``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 65
    UNREACHABLE = 69
    UNKNOWN = 75
    CONFIGURATION = 78


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_INDENT_2) + b"\n")
    sys.stdout.flush()


def print_lines(lines: list[str]) -> None:
    """Print lines of text."""
    for line in lines:
        print(line)


def fail(code: ExitCode, *messages: str) -> NoReturn:
    """Print messages on standard error and end the process."""
    for message in messages:
        print(f"poplarrelay: {message}", file=sys.stderr)
    raise SystemExit(int(code))
