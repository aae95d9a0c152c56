"""Reachability of endpoints over this node's own links.

Notes
-----
A connection that fails can be the fault of the endpoint or of the path to it. The path
is counted as lost only if a peer has reached the endpoint meanwhile.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf

from poplarrelay.entry.http.dialing import Address

__all__ = ["PathRecord", "Reachability"]

#: Seconds without an answer to a request, and without a byte on any direct connection,
#: after which the paths are checked.
QUIET_S = 0.2
#: Seconds for which a byte on a direct connection shows that the paths work, if no
#: request is unanswered.
RECENT_S = 1.0
#: Number of lost paths from which a node without other signs counts as isolated.
ISOLATED_PATHS = 2
#: Seconds between two direct connection attempts over a lost path.
PROBE_INTERVAL_S = 0.5
#: Seconds within which a path that is lost again counts as unstable.
UNSTABLE_S = 15.0
#: Seconds for which an unstable path must hold before it is used, at first and at most.
#: The time doubles with each loss.
FIRST_HOLD_S, MAX_HOLD_S = 0.5, 4.0
#: Seconds within which resets by several endpoints suggest a lost path.
RESET_WINDOW_S = 0.5


@dataclass(slots=True)
class PathRecord:
    """Path from this node to one endpoint.

    Attributes
    ----------
    lost : bool
        Whether a peer reaches the endpoint and this node does not.
    losses : int
        Number of times that the path was lost, each soon after the last one.
    lost_at : float
        Monotonic time of the last loss.
    up_since : float
        Monotonic time from which direct connections succeed again.
    """

    lost: bool = False
    losses: int = 0
    lost_at: float = -inf
    up_since: float = inf

    @property
    def hold_s(self) -> float:
        """Return the seconds for which the path must hold before it is used."""
        if self.losses <= 1:
            return 0.0
        return min(MAX_HOLD_S, FIRST_HOLD_S * 2 ** min(self.losses - 2, 6))


@dataclass(slots=True)
class Reachability:
    """Paths of one node, by address of the endpoint.

    Attributes
    ----------
    heard_at : float
        Monotonic time of the last byte on any direct connection.
    """

    heard_at: float = -inf
    _heard: dict[Address, float] = field(default_factory=dict)
    _records: dict[Address, PathRecord] = field(default_factory=dict)
    _resets: deque[tuple[float, Address]] = field(
        default_factory=lambda: deque(maxlen=16)
    )
    _next_probe_at: float = -inf
    _probed: Address | None = None

    @property
    def lost(self) -> list[Address]:
        """Return the addresses of the endpoints with lost paths."""
        return [address for address, record in self._records.items() if record.lost]

    def isolated(self, now: float) -> bool:
        """Return whether this node seems to reach no endpoint at all."""
        lost_at = [record.lost_at for record in self._records.values() if record.lost]
        if len(lost_at) < ISOLATED_PATHS or now - self.heard_at <= QUIET_S:
            return False
        return self.heard_at < min(lost_at)

    def is_lost(self, address: Address, now: float) -> bool:
        """Return whether connections to an endpoint must start at a peer."""
        record = self._records.get(address)
        return (record is not None and record.lost) or self.isolated(now)

    def heard_since(self, address: Address, since: float) -> bool:
        """Return whether the endpoint has sent bytes on a direct connection since."""
        return self._heard.get(address, -inf) >= since

    def note_heard(self, address: Address, now: float) -> None:
        """Note bytes of an endpoint on a direct connection."""
        self.heard_at = self._heard[address] = now

    def note_lost(self, address: Address, now: float) -> bool:
        """Note that only a peer reaches an endpoint; return whether this is new."""
        record = self._records.setdefault(address, PathRecord())
        if record.lost:
            return False
        unstable = now - record.lost_at <= UNSTABLE_S
        record.losses = record.losses + 1 if unstable else 1
        record.lost, record.lost_at, record.up_since = True, now, inf
        return True

    def note_reset(self, address: Address, now: float) -> Collection[Address]:
        """Note a reset by an endpoint; return all that have reset connections lately.

        One endpoint resets its connections when it crashes. Several at once suggest
        that the path of this node is lost.
        """
        self._resets.append((now, address))
        return {a for at, a in self._resets if now - at <= RESET_WINDOW_S}

    def can_trust(self, oldest_unanswered_at: float, now: float) -> bool:
        """Return whether a kept direct connection can be trusted with a request.

        Parameters
        ----------
        oldest_unanswered_at : float
            Monotonic time at which the oldest unanswered request was sent, infinite if
            there is none.
        now : float
            Monotonic time.
        """
        quiet_s = now - max(self.heard_at, oldest_unanswered_at)
        return now - self.heard_at <= RECENT_S and quiet_s <= QUIET_S

    # return of lost paths

    def next_probe(self, now: float) -> Address | None:
        """Return the next lost path to try directly, None if none is due."""
        lost = self.lost
        if not lost or now < self._next_probe_at:
            return None
        self._next_probe_at = now + PROBE_INTERVAL_S
        after = lost.index(self._probed) + 1 if self._probed in lost else 0
        self._probed = lost[after % len(lost)]
        return self._probed

    def note_probe(self, address: Address, reached: bool, now: float) -> list[Address]:
        """Note a direct connection attempt over a lost path.

        Returns
        -------
        list of tuple of str and int
            Addresses of the endpoints whose paths are used again. A path that has
            returned is a reason to try the others.
        """
        record = self._records.get(address)
        if record is None or not record.lost:
            return []
        if not reached:
            record.up_since = inf
            return []
        restored = []
        for other, each in self._records.items():
            if not each.lost:
                continue
            each.up_since = min(each.up_since, now)
            if now - each.up_since >= each.hold_s:
                each.lost = False
                restored.append(other)
        return restored

    def forget(self, known: Collection[Address], now: float) -> None:
        """Drop the state of endpoints that are no longer listed."""
        self._heard = {a: at for a, at in self._heard.items() if a in known}
        self._records = {
            address: record
            for address, record in self._records.items()
            if address in known and (record.lost or now - record.lost_at <= UNSTABLE_S)
        }
