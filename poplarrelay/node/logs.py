"""Structured logs: one JSON object a line on standard output."""

from __future__ import annotations

import logging
import sys
from logging.handlers import QueueHandler, QueueListener
from queue import SimpleQueue
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from poplarrelay.messages.effects import Decided

__all__ = ["log_decision", "start_logging"]

_LOG = logging.getLogger("poplarrelay.decision")


class _RawQueueHandler(QueueHandler):
    """Keep records as they are, since they stay within the process."""

    def prepare(self, record: logging.LogRecord) -> Any:
        return record


def start_logging(node: str, level: str) -> QueueListener:
    """Send log records to standard output on a thread of its own.

    Parameters
    ----------
    node : str
        Name that every line bears.
    level : str
        Lowest level that is written.

    Returns
    -------
    listener : QueueListener
        To be stopped at the end, which writes what is left.

    Notes
    -----
    Standard output may be a pipe that nobody empties. A thread that decides or
    serves must not wait for it.
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node": node},
        )
    )
    queue: SimpleQueue[logging.LogRecord] = SimpleQueue()
    listener = QueueListener(queue, handler)
    root = logging.getLogger()
    root.handlers = [_RawQueueHandler(queue)]
    root.setLevel(logging.WARNING)
    logging.getLogger("poplarrelay").setLevel(level)
    listener.start()
    return listener


def log_decision(decided: Decided) -> None:
    """Write the line of a routing, placement or other decision."""
    if _LOG.isEnabledFor(logging.INFO):
        _LOG.info(decided.decision.value, extra=dict(decided.fields))
