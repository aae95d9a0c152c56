"""Structured logs: one JSON object per line on standard output."""

from __future__ import annotations

import logging
import sys
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from typing import Any

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedQueueHandler", "start_logging"]

#: Maximum number of queued lines. At 500 bytes each they use five megabytes. Further
#: lines are dropped and counted.
QUEUED_LINES = 10_000

_LOG = logging.getLogger("poplarrelay.logs")


class BoundedQueueHandler(QueueHandler):
    """Log handler that queues records for the writer thread and drops any excess.

    Notes
    -----
    Standard output can be a pipe that no process reads. A tick or request thread must
    not block on it, and the queued lines must not use up the memory.
    """

    def __init__(self, queue: Queue[logging.LogRecord]) -> None:
        super().__init__(queue)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of records dropped since the last queued record."""
        return self._dropped

    def prepare(self, record: logging.LogRecord) -> Any:
        """Return the record unchanged; records stay within the process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except Full:
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            _LOG.warning("lines dropped", extra={"count": dropped})


def start_logging(
    node: str, level: str, queued_lines: int = QUEUED_LINES
) -> QueueListener:
    """Start a thread that writes log records to standard output.

    Parameters
    ----------
    node : str
        Node name in every line.
    level : str
        Lowest level that is written.
    queued_lines : int
        Maximum number of queued lines.

    Returns
    -------
    listener : QueueListener
        The writer thread. Its ``stop`` writes the queued lines and ends the thread.
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node": node},
        )
    )
    queue: Queue[logging.LogRecord] = Queue(queued_lines)
    listener = QueueListener(queue, handler)
    root = logging.getLogger()
    root.handlers = [BoundedQueueHandler(queue)]
    root.setLevel(logging.WARNING)
    logging.getLogger("poplarrelay").setLevel(level)
    listener.start()
    return listener
