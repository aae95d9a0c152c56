"""Structured logs: one JSON object a line on standard output."""

from __future__ import annotations

import logging
import sys
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from typing import Any

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedQueueHandler", "start_logging"]

#: Lines that wait to be written. At 500 bytes each they take five megabytes; what
#: comes beyond is counted and dropped.
QUEUED_LINES = 10_000

_LOG = logging.getLogger("poplarrelay.logs")


class BoundedQueueHandler(QueueHandler):
    """Keep records for the writing thread, and drop what does not fit.

    Notes
    -----
    Standard output may be a pipe that nobody empties. A thread that decides or
    serves must not wait for it, nor may the lines fill the memory.
    """

    def __init__(self, queue: Queue[logging.LogRecord]) -> None:
        super().__init__(queue)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many records did not fit since the last that did."""
        return self._dropped

    def prepare(self, record: logging.LogRecord) -> Any:
        """Keep records as they are, since they stay within the process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Keep a record, or count it as dropped."""
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
    """Send log records to standard output on a thread of its own.

    Parameters
    ----------
    node : str
        Name that every line bears.
    level : str
        Lowest level that is written.
    queued_lines : int
        Lines that may wait to be written.

    Returns
    -------
    listener : QueueListener
        To be stopped at the end, which writes what is left.
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
