"""Splitting of a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventSplitter", "CompleteEvents"]

# A CR at the end of the data may be the first half of CR LF. It ends an empty line only
# after a line that ended with CR alone.
_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))|\r\r\n?")
#: Empty lines and comments, which are no event.
_BETWEEN_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?(?:\r\n|\n|\r(?!\n)))*")
#: Length of the longest end of an event.
LONGEST_END_BYTES = 4
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """Events that have arrived completely.

    Attributes
    ----------
    content : bytes
        The events as received.
    last_id : bytes or None
        Id of the last event that has an id.
    count : int
        Number of the events.
    """

    content: bytes
    last_id: bytes | None
    count: int = 0


class EventSplitter:
    r"""Buffer that holds an event back until its end has arrived.

    Notes
    -----
    An endpoint can stop in the middle of an event. If a part of that event had been
    passed on, the caller would already have it, and another endpoint could continue
    the stream only by joining pieces of events from two runs.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2")
    CompleteEvents(content=b'id: 1\ndata: a\n\n', last_id=b'1', count=1)
    >>> splitter.rest
    b'id: 2'
    >>> splitter.inside_event
    True
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """Return the bytes of the event that is still incomplete."""
        return bytes(self._rest)

    @property
    def inside_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return _BETWEEN_EVENTS.fullmatch(self._rest) is None

    @property
    def rest_size(self) -> int:
        """Return the number of bytes of the event that is still incomplete."""
        return len(self._rest)

    def feed(self, data: bytes) -> CompleteEvents:
        """Add received bytes and return the events that they complete."""
        # The end of an event can begin in the bytes before.
        start = max(0, len(self._rest) - LONGEST_END_BYTES + 1)
        self._rest += data
        end = count = 0
        for match in _END.finditer(self._rest, start):
            end = match.end()
            count += 1
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        ids = _ID.findall(complete)
        return CompleteEvents(complete, ids[-1] if ids else None, count)
