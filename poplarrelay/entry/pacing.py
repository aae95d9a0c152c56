"""How many requests this node keeps at one engine."""

from __future__ import annotations

from math import ceil

from poplarrelay.entry.endpoints import Endpoint

__all__ = ["fair_share", "note_first_event"]

#: Part of a route's target that a first event may take before the limit falls.
LATE_SHARE = 0.8
#: Part of it below which the limit rises.
EARLY_SHARE = 0.5
#: Factor by which one late first event lowers the limit.
LOWER = 0.85
#: What one early first event adds.
RAISE = 0.25
#: How many times its equal part of an endpoint's slots a node may take.
SHARE_FACTOR = 3.0
#: Smallest share, so that a node with two requests need not look for two endpoints.
LEAST_SHARE = 2
#: Smallest limit; an engine is always tried with something.
LEAST = 1.0


def fair_share(slots: int, nodes: int) -> int:
    """Return how many of an endpoint's slots one node may take.

    Parameters
    ----------
    slots : int
        Requests that the endpoint works on at once.
    nodes : int
        Nodes that send to it.

    Notes
    -----
    Nodes learn of each other's requests with half a second of delay. Many nodes that
    all see the same free slots fill them several times over, and each request beyond
    is refused, which counts against the shared budget of repeated sends: with 61
    nodes and 24 slots one send in eight was refused. Callers are not spread evenly,
    so a node may take three times its equal part.

    Examples
    --------
    >>> fair_share(64, 9), fair_share(24, 61), fair_share(6, 1)
    (22, 2, 18)
    """
    return max(LEAST_SHARE, ceil(SHARE_FACTOR * slots / max(1, nodes)))


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
