"""Reasons for which a response ends before it is complete."""

from __future__ import annotations

from enum import Enum

__all__ = ["CutReason"]


class CutReason(Enum):
    """Why a connection closed without a complete response to its request.

    CALLER_LEFT
        The caller closed the connection.
    BROKEN_OFF
        The endpoint broke off a stream that no other one continues.
    DEADLINE
        The time of a stream is over.
    STOPPED
        The node ended at a stop before the response was complete.
    UNDELIVERED
        The response is complete, and the caller has not taken all of it before the node
        ended.
    LIMIT
        The caller has not taken the response by its deadline, and the node needs the
        place.
    FAILED
        The node could not handle the request or write its response.
    """

    CALLER_LEFT = "caller left"
    BROKEN_OFF = "broken off"
    DEADLINE = "deadline"
    STOPPED = "node stopped"
    UNDELIVERED = "not taken before the node ended"
    LIMIT = "not taken in time"
    FAILED = "internal error"
