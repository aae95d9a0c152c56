"""Limit on the requests that one node runs at one endpoint."""

from __future__ import annotations

from math import ceil

__all__ = ["max_slots_per_node"]

#: Largest number of slots per node, as a multiple of the equal share. Callers are not
#: spread evenly over the nodes.
SHARE_FACTOR = 3.0
#: Minimum, so that a node with two requests does not need two endpoints.
MIN_SLOTS_PER_NODE = 2


def max_slots_per_node(slots: int, nodes: int) -> int:
    """Return the maximum number of an endpoint's slots that one node may use.

    Parameters
    ----------
    slots : int
        Number of requests that the endpoint runs concurrently.
    nodes : int
        Number of nodes that send requests to the endpoint.

    Notes
    -----
    Nodes receive each other's request counts with a delay of half a second. Without a
    limit, many nodes use the same free slots at the same time. The endpoint refuses
    the excess requests, and each refusal uses up part of the retry budget that all
    nodes share: with 61 nodes and 24 slots, one request in eight was refused.

    Examples
    --------
    >>> max_slots_per_node(64, 9), max_slots_per_node(24, 61), max_slots_per_node(6, 1)
    (22, 2, 18)
    """
    return max(MIN_SLOTS_PER_NODE, ceil(SHARE_FACTOR * slots / max(1, nodes)))
