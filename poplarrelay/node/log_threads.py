"""Threads that read records from the log and append records to it."""

from __future__ import annotations

import random
import threading
import time
from collections import deque
from collections.abc import Callable

from poplarrelay.exception import LogRefused, LogUnavailable
from poplarrelay.identifiers import Offset, StreamName
from poplarrelay.messages.effects import AppendRecord
from poplarrelay.messages.inbox import Message
from poplarrelay.messages.platform import LogFailed, RecordsRead
from poplarrelay.providers.log import LogService

__all__ = ["LogAppender", "LogReader"]

#: Shortest and longest pause before a retry, without jitter, in seconds.
BACKOFF_S = (0.05, 2.0)
#: Most records in one append.
MAX_GROUP = 200

Submit = Callable[[Message], None]


class _Backoff:
    """Exponential backoff with jitter, so that nodes do not retry at the same time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_s = BACKOFF_S[0]

    def reset(self) -> None:
        """Reset the pause to the shortest one."""
        self._pause_s = BACKOFF_S[0]

    def next(self) -> float:
        """Return the next pause in seconds."""
        pause = self._pause_s * (0.5 + self._rng.random())
        self._pause_s = min(BACKOFF_S[1], self._pause_s * 2)
        return pause


class LogReader:
    """Reads a stream by long polling and submits its records to the tick thread.

    Parameters
    ----------
    stream : StreamName
        Name of the stream.
    log : LogService
        Client of the log.
    submit : callable
        Queues a message for the tick thread.
    wait_s : float
        Seconds that a read waits for a new record.
    """

    def __init__(
        self,
        stream: StreamName,
        log: LogService,
        submit: Submit,
        wait_s: float,
        rng: random.Random,
    ) -> None:
        self._stream = stream
        self._log = log
        self._submit = submit
        self._wait_s = wait_s
        self._backoff = _Backoff(rng)
        self._next = Offset(0)
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that reads."""
        name = f"log-{self._stream}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop after the current read."""
        self._stopping.set()

    def _run(self) -> None:
        wait_s = 0.0
        while not self._stopping.is_set():
            try:
                batch = self._log.read(self._stream, self._next, wait_s)
            except (LogRefused, LogUnavailable):
                self._submit(LogFailed(self._stream))
                self._stopping.wait(self._backoff.next())
                # The first read after a failure does not wait for a record, so the
                # tick thread learns without delay that the log is available again.
                wait_s = 0.0
                continue
            self._backoff.reset()
            start, self._next = self._next, self._next_offset(batch.next, batch.records)
            self._submit(
                RecordsRead(
                    self._stream,
                    start,
                    batch.oldest,
                    batch.next,
                    batch.time,
                    batch.records,
                )
            )
            wait_s = self._wait_s if self._next >= batch.next else 0.0

    def _next_offset(self, log_next: Offset, records: tuple) -> Offset:
        if records:
            return Offset(records[-1].offset + 1)
        return max(self._next, log_next)


class LogAppender:
    """Appends records in groups (group commit).

    Notes
    -----
    An append whose answer is lost can have taken effect. The appender sends it
    again with the same record ids. The fold drops the repeated record, because the
    record that it replaces is no longer the one in force.
    """

    def __init__(
        self, log: LogService, submit: Submit, rng: random.Random, threads: int = 2
    ) -> None:
        self._log = log
        self._submit = submit
        self._rng = rng
        self._waiting: dict[StreamName, deque[AppendRecord]] = {}
        self._condition = threading.Condition()
        self._stopping = False
        self._busy_streams: set[StreamName] = set()
        self._threads = threads

    def start(self) -> None:
        """Start the threads that append."""
        for index in range(self._threads):
            name = f"append-{index}"
            threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop the threads and drop the records that wait."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()

    def add(self, effect: AppendRecord) -> None:
        """Queue a record to append; never blocks on I/O."""
        with self._condition:
            self._waiting.setdefault(effect.stream, deque()).append(effect)
            self._condition.notify()

    def _take_group(self) -> tuple[StreamName, list[AppendRecord]] | None:
        """Wait for a group of records of a stream to which no other thread appends."""
        with self._condition:
            while not self._stopping:
                for stream, waiting in self._waiting.items():
                    if waiting and stream not in self._busy_streams:
                        self._busy_streams.add(stream)
                        size = min(len(waiting), MAX_GROUP)
                        return stream, [waiting.popleft() for _ in range(size)]
                self._condition.wait()
        return None

    def _run(self) -> None:
        while (stream_group := self._take_group()) is not None:
            stream, group = stream_group
            try:
                self._append(stream, group)
            finally:
                with self._condition:
                    self._busy_streams.discard(stream)
                    self._condition.notify()

    def _append(self, stream: StreamName, group: list[AppendRecord]) -> None:
        backoff = _Backoff(self._rng)
        while True:
            now = time.monotonic()
            group = [effect for effect in group if effect.expires_at > now]
            if not group or self._stopping:
                return
            try:
                self._log.append(stream, [effect.value for effect in group])
                return
            except LogRefused as error:
                time.sleep(max(error.retry_after_s, backoff.next()))
            except LogUnavailable:
                self._submit(LogFailed(stream))
                time.sleep(backoff.next())
