"""Structured logs: one JSON object per line on standard output."""

from __future__ import annotations

import logging
import sys
from collections import Counter
from collections.abc import Collection
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from time import monotonic
from typing import Any

from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "BoundedQueueHandler",
    "LineLimiter",
    "RecordQueue",
    "clip",
    "start_logging",
]

#: Maximum number and size in bytes of the queued lines. Further lines are dropped and
#: counted.
QUEUED_LINES, QUEUED_BYTES = 10_000, 4_000_000
#: Bytes that a queued record takes besides its texts.
RECORD_BYTES = 1_000
#: Most characters of one text in a line, and of all texts in one of its fields.
MAX_TEXT_CHARS, MAX_FIELD_CHARS = 256, 4096
#: Most elements of a list or table in a line.
MAX_ELEMENTS = 1000
#: Most characters of a traceback.
MAX_TRACEBACK_CHARS = 8192
#: Lines a second with the same message, for messages whose number is limited.
MAX_LINES_PER_S = 100
#: Length in seconds of the interval in which such lines are counted.
INTERVAL_S = 1.0

_LOG = logging.getLogger("poplarrelay.logs")
_STANDARD_FIELDS = frozenset(logging.makeLogRecord({}).__dict__)
_FORMATTER = logging.Formatter()


def clip(value: Any, left: list[int] | None = None) -> Any:
    """Return a value of a log line, with long texts and tables cut.

    Parameters
    ----------
    value : object
        Value of a field.
    left : list of int or None
        Number of characters that the field may still have, as its only element.

    Examples
    --------
    >>> clip("request")
    'request'
    >>> clip(300 * "x")[-16:]
    'xxx... 300 chars'
    >>> clip({"parts": [5000 * "x"]}) == {"parts": [clip(5000 * "x")]}
    True
    """
    left = [MAX_FIELD_CHARS] if left is None else left
    if isinstance(value, str):
        limit = max(0, min(MAX_TEXT_CHARS, left[0]))
        left[0] -= len(value)
        if len(value) <= limit:
            return value
        return f"{value[:limit]}... {len(value)} chars"
    if isinstance(value, dict):
        items = list(value.items())[:MAX_ELEMENTS]
        return {clip(key, left): clip(each, left) for key, each in items}
    if isinstance(value, list | tuple | set | frozenset):
        return [clip(each, left) for each in list(value)[:MAX_ELEMENTS]]
    return value


def _is_short(value: Any) -> bool:
    if isinstance(value, str):
        return len(value) <= MAX_TEXT_CHARS
    return not isinstance(value, dict | list | tuple | set | frozenset)


def _size_of(record: logging.LogRecord | None) -> int:
    """Return about how many bytes a record takes."""
    if record is None:
        return 0
    texts = sum(len(v) for v in record.__dict__.values() if isinstance(v, str))
    return RECORD_BYTES + texts


class RecordQueue(Queue[logging.LogRecord | None]):
    """Queue of log records that is bounded in records and in bytes.

    Parameters
    ----------
    max_lines, max_bytes : int
        Largest number and size of the queued records.
    """

    def __init__(self, max_lines: int, max_bytes: int) -> None:
        super().__init__()
        self._max_lines = max_lines
        self._max_bytes = max_bytes
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the queued records."""
        return self._bytes

    def put_nowait(self, item: logging.LogRecord | None) -> None:
        """Queue a record; raise `Full` if the queue is full.

        The end mark of the listener, None, is always queued.
        """
        size = _size_of(item)
        with self.mutex:
            full = self._qsize() >= self._max_lines
            if item is not None and (full or self._bytes + size > self._max_bytes):
                raise Full
            self._put(item)
            self.unfinished_tasks += 1
            self.not_empty.notify()

    def _put(self, item: logging.LogRecord | None) -> None:
        super()._put(item)
        self._bytes += _size_of(item)

    def _get(self) -> logging.LogRecord | None:
        item = super()._get()
        self._bytes -= _size_of(item)
        return item


class LineLimiter:
    """Limits the lines a second that have the same message.

    Parameters
    ----------
    messages : collection of str
        Messages that are limited: those that any caller can cause.
    """

    def __init__(self, messages: Collection[str]) -> None:
        self._messages = frozenset(messages)
        self._counts: Counter[str] = Counter()
        self._interval_ends_at = 0.0

    def take(self, message: str) -> bool:
        """Return whether a line with a message may be written."""
        if message not in self._messages:
            return True
        self._counts[message] += 1
        return self._counts[message] <= MAX_LINES_PER_S

    def end_interval(self, now: float) -> dict[str, int]:
        """Return the omitted lines by message if an interval has ended."""
        if now < self._interval_ends_at:
            return {}
        self._interval_ends_at = now + INTERVAL_S
        counts, self._counts = self._counts, Counter()
        return {
            message: count - MAX_LINES_PER_S
            for message, count in counts.items()
            if count > MAX_LINES_PER_S
        }


class BoundedQueueHandler(QueueHandler):
    """Log handler that queues records for the writer thread and drops any excess.

    Parameters
    ----------
    queue : Queue
        Queue of the writer thread.
    limiter : LineLimiter or None
        Limits the lines of some messages.

    Notes
    -----
    Standard output can be a pipe that no process reads. A tick or request thread must
    not block on it, and the queued lines must not use up the memory.
    """

    def __init__(self, queue: Queue[Any], limiter: LineLimiter | None = None) -> None:
        super().__init__(queue)
        self._dropped = 0
        self._limiter = limiter

    @property
    def dropped(self) -> int:
        """Return the number of records dropped since the last queued record."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, unless too many lines have its message."""
        if self._limiter is not None:
            omitted = self._limiter.end_interval(monotonic())
            for message, count in omitted.items():
                extra = {"omitted": message, "count": count}
                _LOG.warning("lines omitted", extra=extra)
            if not self._limiter.take(record.msg):
                return
        super().emit(record)

    def prepare(self, record: logging.LogRecord) -> Any:
        """Return the record with bounded fields; records stay within the process.

        A traceback is formatted now: until then it keeps all that its frames refer to.
        """
        fields = record.__dict__
        for name, value in list(fields.items()):
            if name not in _STANDARD_FIELDS and not _is_short(value):
                fields[name] = clip(value)
        if record.exc_info:
            text = record.exc_text or _FORMATTER.formatException(record.exc_info)
            record.exc_text = text[-MAX_TRACEBACK_CHARS:]
            record.exc_info = None
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
    node: str,
    level: str,
    queued_lines: int = QUEUED_LINES,
    limited_messages: Collection[str] = (),
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
    limited_messages : collection of str
        Messages of which at most `MAX_LINES_PER_S` lines a second are written.

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
    queue = RecordQueue(queued_lines, QUEUED_BYTES)
    listener = QueueListener(queue, handler)
    root = logging.getLogger()
    root.handlers = [BoundedQueueHandler(queue, LineLimiter(limited_messages))]
    root.setLevel(logging.WARNING)
    logging.getLogger("poplarrelay").setLevel(level)
    listener.start()
    return listener
