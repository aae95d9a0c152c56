"""How many requests this node keeps at one engine."""

from __future__ import annotations

from poplarrelay.entry.endpoints import Endpoint

__all__ = ["note_first_event"]

#: Part of a route's target that a first event may take before the limit falls.
LATE_SHARE = 0.8
#: Part of it below which the limit rises.
EARLY_SHARE = 0.5
#: Factor by which one late first event lowers the limit.
LOWER = 0.85
#: What one early first event adds.
RAISE = 0.25
#: Smallest limit; an engine is always tried with something.
LEAST = 1.0


def note_first_event(row: Endpoint, took_s: float, target_s: float) -> None:
    """Adapt the number of requests that this node keeps at an engine.

    Parameters
    ----------
    row : Endpoint
        The engine.
    took_s : float
        Time from sending to the first event.
    target_s : float
        Time within which callers want it.

    Notes
    -----
    Additive increase, multiplicative decrease. It answers the loss of most engines
    at full load: an engine takes many more requests than it can begin in time, and
    then all of them are late, those that leave in vain included. With fewer at each
    engine some are in time; the rest learns at once when to come back. The limit
    falls from where the node stands, not from what the engine would take.
    """
    if took_s > LATE_SHARE * target_s:
        reached = min(row.own_limit, float(max(1, row.running)))
        row.own_limit = max(LEAST, LOWER * reached)
    elif took_s < EARLY_SHARE * target_s and row.own_limit < row.slots:
        row.own_limit = min(float(row.slots), row.own_limit + RAISE)
