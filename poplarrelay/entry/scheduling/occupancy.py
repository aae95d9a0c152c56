"""Count the requests of all nodes at an endpoint."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

__all__ = ["COUNT_EXPIRY_S", "RATE_WINDOW_S", "Load", "Occupancy"]

#: Seconds after which the count of a node that has not confirmed it is dropped. Nodes
#: confirm their counts every second, and one lost datagram must not hide requests.
COUNT_EXPIRY_S = 2.5
#: Seconds over which the rate of ended requests is computed: a few times the duration
#: of a request, and shorter than changes of the load.
RATE_WINDOW_S = 3.0
#: Most ended requests that are remembered.
MAX_ENDS = 500


@dataclass(frozen=True, slots=True)
class Load:
    """Requests at an endpoint, as its coordinator counts them.

    Attributes
    ----------
    requests : int
        Requests of nodes other than the requesting one.
    ends_per_s : float
        Requests of all nodes that have recently ended there, per second.
    """

    requests: int
    ends_per_s: float

    def encode(self) -> list[Any]:
        """Return the load as a list of JSON values."""
        return [self.requests, self.ends_per_s]

    @classmethod
    def decode(cls, raw: Sequence[Any]) -> Load:
        """Return the load from its JSON values; raises `ValueError`."""
        requests, ends_per_s = raw
        return cls(max(0, int(requests)), max(0.0, float(ends_per_s)))


@dataclass(slots=True)
class Occupancy:
    """Requests at one endpoint, by the node that sent them.

    Notes
    -----
    Nodes report totals, not changes. A lost report is repaired by the next one, and
    a coordinator that has just taken over has all counts after one report of each node.
    """

    _counts: dict[str, tuple[int, float]] = field(default_factory=dict)
    _ended_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ENDS))

    def report(self, node: str, count: int, now: float) -> None:
        """Set the number of a node's requests at the endpoint."""
        before, _ = self._counts.get(node, (0, now))
        self._ended_at.extend([now] * (before - count))
        if count > 0:
            self._counts[node] = (count, now)
        else:
            self._counts.pop(node, None)

    def load(self, now: float, excluded_node: str = "") -> Load:
        """Return the load by the requests of all nodes but one."""
        ended = sum(now - at <= RATE_WINDOW_S for at in self._ended_at)
        rate = round(ended / RATE_WINDOW_S, 2)
        return Load(self.total(now, excluded_node), rate)

    def total(self, now: float, excluded_node: str = "") -> int:
        """Return the number of requests of all nodes but one."""
        return sum(
            count
            for node, (count, reported_at) in self._counts.items()
            if node != excluded_node and now - reported_at <= COUNT_EXPIRY_S
        )

    def forget(self, now: float) -> None:
        """Drop the counts that have expired."""
        self._counts = {
            node: (count, reported_at)
            for node, (count, reported_at) in self._counts.items()
            if now - reported_at <= COUNT_EXPIRY_S
        }
