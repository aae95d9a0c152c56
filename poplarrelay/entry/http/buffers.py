"""Buffer into which the connections of one thread read."""

from __future__ import annotations

import threading

__all__ = ["READ_BYTES", "read_buffer"]

#: Largest number of bytes that are read from a connection at once.
READ_BYTES = 32_768

_BUFFERS = threading.local()


def read_buffer() -> memoryview:
    """Return the buffer of this thread.

    Its content is valid until the next connection is read.
    """
    view: memoryview | None = getattr(_BUFFERS, "view", None)
    if view is None:
        view = _BUFFERS.view = memoryview(bytearray(READ_BYTES))
    return view
