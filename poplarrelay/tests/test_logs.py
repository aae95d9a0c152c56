"""Tests of the bounded log queue."""

import logging
from queue import Queue

from poplarrelay.logs import BoundedQueueHandler


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
