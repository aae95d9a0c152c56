"""Tests of the bounded log queue."""

import logging
import sys
from queue import Queue

from poplarrelay.logs import BoundedQueueHandler, LineLimiter, RecordQueue


def test_lines_beyond_the_bound_are_dropped_and_counted():
    # No process reads standard output, so the queue is full. The handler must drop the
    # excess lines without blocking, and report their count after the next queued line.
    queue: Queue[logging.LogRecord] = Queue(3)
    handler = BoundedQueueHandler(queue)
    log = logging.getLogger("poplarrelay.logs")
    log.addHandler(handler)
    log.propagate = False
    try:
        for number in range(8):
            log.warning("line %d", number)
        assert handler.dropped == 5
        for _ in range(3):
            queue.get_nowait()
        log.warning("after")
        assert handler.dropped == 0
        messages = [queue.get_nowait().getMessage() for _ in range(queue.qsize())]
        assert messages == ["after", "lines dropped"]
    finally:
        log.removeHandler(handler)
        log.propagate = True


def test_bytes_of_queued_lines_are_bounded():
    # Guards against lines as long as what a caller sends.
    queue = RecordQueue(10_000, 100_000)
    handler = BoundedQueueHandler(queue)
    for number in range(1000):
        extra = {"request": 15_000 * "x", "parts": 4000 * ["y" * 15_000]}
        handler.emit(logging.makeLogRecord({"msg": f"line {number}", **extra}))
        assert queue.size_bytes <= 100_000
    assert handler.dropped > 0
    while not queue.empty():
        record = queue.get_nowait()
        assert len(record.__dict__["request"]) < 300
        assert len(str(record.__dict__["parts"])) < 60_000
    assert queue.size_bytes == 0


def test_full_queue_takes_the_end_mark():
    queue = RecordQueue(1, 10)
    queue.put_nowait(None)
    queue.put_nowait(None)
    assert queue.qsize() == 2


def test_queued_traceback_keeps_no_frames():
    queue = RecordQueue(10, 100_000)
    handler = BoundedQueueHandler(queue)
    try:
        raise ValueError("of a caller")
    except ValueError:
        handler.emit(
            logging.makeLogRecord({"msg": "failed", "exc_info": sys.exc_info()})
        )
    record = queue.get_nowait()
    assert record is not None
    assert record.exc_info is None
    assert "ValueError: of a caller" in (record.exc_text or "")


def test_lines_beyond_the_limit_of_their_message_are_omitted_and_counted():
    limiter = LineLimiter(["refused"])
    assert limiter.end_interval(0.0) == {}
    written = sum(limiter.take("refused") for _ in range(250))
    assert written == 100
    assert all(limiter.take("ready") for _ in range(250))
    assert limiter.end_interval(0.5) == {}
    assert limiter.end_interval(1.1) == {"refused": 150}
    assert limiter.take("refused")
