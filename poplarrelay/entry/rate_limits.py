"""Request rate limits that endpoints state in their answers."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from math import inf

from poplarrelay.entry.endpoints import Endpoint

__all__ = ["StatedLimit", "apply_stated_limit", "set_limit"]

_LOG = logging.getLogger("poplarrelay.entry.limits")


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Rate limit stated in an endpoint's answer.

    Attributes
    ----------
    per_s : float or None
        Requests per second that the endpoint accepts from all nodes together, None if
        the answer states no limit.
    readable : bool
        False if the answer states a limit without a valid value.
    """

    per_s: float | None = None
    readable: bool = True


def apply_stated_limit(
    row: Endpoint, stated: StatedLimit, sent_at: float, now: float
) -> bool:
    """Apply the limit stated in an answer and return whether the limit changed.

    Parameters
    ----------
    row : Endpoint
        Endpoint that sent the answer.
    stated : StatedLimit
        Limit stated in the answer.
    sent_at : float
        Monotonic time at which the request was sent.
    now : float
        Current monotonic time.
    """
    if not stated.readable:
        _LOG.warning("endpoint limit unreadable", extra={"endpoint": row.endpoint})
        return False
    if stated.per_s is None and (
        row.limit_per_s is None or sent_at < row.limit_updated_at
    ):
        # The request was sent before the limit was stated, so the answer does not
        # show that the limit was cleared.
        return False
    return set_limit(row, stated.per_s, now, "answer")


def set_limit(row: Endpoint, per_s: float | None, as_of: float, source: str) -> bool:
    """Set or clear an endpoint's limit, log a change, and return whether it changed."""
    before = row.limit_per_s
    row.limit_per_s, row.limit_updated_at = per_s, as_of
    if before == per_s:
        return False
    # These times were computed from the previous limit.
    row.next_permit_request_at = row.next_permit_at = -inf
    _LOG.info(
        "endpoint limit",
        extra={
            "endpoint": row.endpoint,
            "service": row.service,
            "per_s": per_s,
            "before": before,
            "source": source,
        },
    )
    return True
