"""Splitting a stream of server-sent events into whole ones."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventSplitter", "WholeEvents"]

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class WholeEvents:
    """Events that have arrived completely.

    Attributes
    ----------
    content : bytes
        The events, byte for byte.
    last_id : bytes or None
        Id of the last one that has an id.
    """

    content: bytes
    last_id: bytes | None


class EventSplitter:
    r"""Holds back an event until its end has arrived.

    Notes
    -----
    An endpoint may stop in the middle of an event. Half an event that was passed
    on could not be taken back, and the stream could not go on elsewhere without
    joining pieces of two runs.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2")
    WholeEvents(content=b'id: 1\ndata: a\n\n', last_id=b'1')
    >>> splitter.rest
    b'id: 2'
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> WholeEvents:
        """Take bytes and return the events that they complete."""
        content = self._rest + data
        end = 0
        for match in _END.finditer(content):
            end = match.end()
        whole, self._rest = content[:end], content[end:]
        ids = _ID.findall(whole)
        return WholeEvents(whole, ids[-1] if ids else None)
