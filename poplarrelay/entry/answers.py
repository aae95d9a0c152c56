"""Which bytes are the answer to an attempt, and when an answer is complete."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from poplarrelay.identifiers import RequestId

__all__ = ["AnswerMarks", "UsedConnections", "foreign_answer", "incomplete_stream"]

ConnectionT = TypeVar("ConnectionT")


@dataclass(frozen=True, slots=True)
class AnswerMarks:
    """What the head of a response states about the request that it answers.

    Attributes
    ----------
    requests : tuple of RequestId
        Ids of requests, in the order of the headers.
    signed : bool
        Whether it has a signature that is not empty.
    encoded : bool
        Whether its body has a content encoding.
    """

    requests: tuple[RequestId, ...] = ()
    signed: bool = False
    encoded: bool = False


def foreign_answer(request: RequestId, status: int, marks: AnswerMarks) -> str | None:
    """Return why a response is not the answer to a request, None if it is.

    Parameters
    ----------
    request : RequestId
        Id of the request, empty if it has none.
    status : int
        Status of the response.
    marks : AnswerMarks
        What the response's head states.

    Notes
    -----
    A response without the id can be late, or bytes in place of the answer. Its promise
    that a request has not run is about some other request.

    Examples
    --------
    >>> foreign_answer(RequestId("a"), 503, AnswerMarks())
    'not the answer: no id'
    >>> foreign_answer(RequestId("a"), 503, AnswerMarks((RequestId("a"),)))
    """
    if request and not marks.requests:
        return "not the answer: no id"
    if any(stated != request for stated in marks.requests):
        return "not the answer: another id"
    if 200 <= status < 300:
        if not marks.signed:
            return "not the answer: no signature"
        if marks.encoded:
            return "not the answer: a content encoding"
    return None


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


@dataclass(slots=True)
class UsedConnections(Generic[ConnectionT]):
    """Connections that have carried the requests in progress at a node.

    Notes
    -----
    The id that an answer states is the caller's, the same in all attempts of a request.
    A late copy of the answer to one attempt is told apart from the answer to the next
    one only by its connection. Requests that have the same id at the same time share
    their connections for that reason.

    Examples
    --------
    >>> used = UsedConnections()
    >>> with used.of(RequestId("a")) as first, used.of(RequestId("a")) as second:
    ...     first.add("connection 1")
    ...     sorted(second)
    ['connection 1']
    >>> len(used)
    0
    """

    _sets: dict[RequestId, set[ConnectionT]] = field(default_factory=dict)
    _counts: Counter[RequestId] = field(default_factory=Counter)

    def __len__(self) -> int:
        return len(self._sets)

    @contextmanager
    def of(self, request: RequestId) -> Iterator[set[ConnectionT]]:
        """Return the connections that have carried a request, while it is served.

        None of them may carry another attempt of it.
        """
        self._counts[request] += 1
        try:
            yield self._sets.setdefault(request, set())
        finally:
            self._counts[request] -= 1
            if not self._counts[request]:
                del self._counts[request], self._sets[request]
