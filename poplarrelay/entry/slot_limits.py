"""How many requests this node keeps at one engine."""

from __future__ import annotations

from math import ceil

__all__ = ["max_slots_per_node"]

#: How many times its equal part of an endpoint's slots a node may take.
SHARE_FACTOR = 3.0
#: Smallest share, so that a node with two requests need not look for two endpoints.
LEAST_SHARE = 2


def max_slots_per_node(slots: int, nodes: int) -> int:
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
    >>> max_slots_per_node(64, 9), max_slots_per_node(24, 61), max_slots_per_node(6, 1)
    (22, 2, 18)
    """
    return max(LEAST_SHARE, ceil(SHARE_FACTOR * slots / max(1, nodes)))
