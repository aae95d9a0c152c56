"""Which bytes are the answer to an attempt, and when an answer is complete."""

from __future__ import annotations

__all__ = ["incomplete_stream"]


def incomplete_stream(framed: bool, event_count: int, inside_event: bool) -> str | None:
    """Return why a stream whose body has ended is incomplete, None if it is complete.

    Parameters
    ----------
    framed : bool
        Whether the body had a length or chunks, and ended as these state.
    event_count : int
        Number of complete events.
    inside_event : bool
        Whether an event had begun and not ended.

    Notes
    -----
    An endpoint can stop in the middle of an event and end its chunks regularly.

    Examples
    --------
    >>> incomplete_stream(framed=True, event_count=10, inside_event=True)
    'stream ended inside an event'
    >>> incomplete_stream(framed=True, event_count=10, inside_event=False)
    """
    if inside_event:
        return "stream ended inside an event"
    if not framed and not event_count:
        return "connection closed before the first event"
    return None
