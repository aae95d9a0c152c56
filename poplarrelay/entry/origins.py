"""Whether the endpoint that began a stream was the run that the list showed."""

from __future__ import annotations

from enum import Enum

__all__ = ["OriginCertainty", "judge_origin"]


class OriginCertainty(Enum):
    """What is known of the run that began a stream.

    CERTAIN
        It was the listed one.
    OPEN
        The list is not late enough to tell.
    DOUBTFUL
        It can have been the next run under the id, which has another version.
    """

    CERTAIN = "certain"
    OPEN = "open"
    DOUBTFUL = "doubtful"


def judge_origin(
    connected_at: float, listed_at: float, current_until: float
) -> OriginCertainty:
    """Return what is known of the run at the other end of a connection.

    Parameters
    ----------
    connected_at : float
        Monotonic time at which the connection was opened.
    listed_at : float
        Monotonic time up to which the list of endpoints is known.
    current_until : float
        Monotonic time at which the list still showed the run to which the connection
        should lead, before it showed one of another version; infinite if it has not.

    Notes
    -----
    A connection leads to one process. If the list shows a run later than the connection
    was opened, no other run can have been there before.

    Examples
    --------
    >>> judge_origin(1.0, 2.0, float("inf"))
    <OriginCertainty.CERTAIN: 'certain'>
    >>> judge_origin(3.0, 2.0, float("inf"))
    <OriginCertainty.OPEN: 'open'>
    >>> judge_origin(3.0, 4.0, 2.0)
    <OriginCertainty.DOUBTFUL: 'doubtful'>
    """
    if connected_at >= current_until:
        return OriginCertainty.DOUBTFUL
    if connected_at < listed_at:
        return OriginCertainty.CERTAIN
    return OriginCertainty.OPEN
