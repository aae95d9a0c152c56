"""Choose the peers that are asked for a tunnel."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import inf
from random import Random

from poplarrelay.entry.cells import CellMember
from poplarrelay.entry.peer_rows import NodeState, PeerRow
from poplarrelay.identifiers import DomainId

__all__ = ["Carriers"]

#: Seconds for which a peer that has not opened a tunnel is not asked again.
REFUSED_S = 1.0
#: Most peers that are asked for one connection.
MAX_ASKED = 6
#: Peers of the node's own failure domain that are asked first. A complete failure
#: domain can lose its paths at once, so others follow.
MAX_LOCAL = 2


@dataclass(slots=True)
class Carriers:
    """Peers that can carry tunnels.

    Attributes
    ----------
    domain : DomainId
        Failure domain of this node.
    peers : callable
        Returns the live peers.
    rng : random.Random
        Random generator that spreads tunnels over peers.
    """

    domain: DomainId
    peers: Callable[[], Sequence[PeerRow | CellMember]]
    rng: Random
    _refused_until: dict[str, float] = field(default_factory=dict)
    _heard_at: dict[str, float] = field(default_factory=dict)

    def choose(self, now: float) -> list[str]:
        """Return the hosts to ask for a tunnel, in order."""
        ready = [
            peer
            for peer in self.peers()
            if peer.state is NodeState.READY
            and self._refused_until.get(peer.host, -inf) <= now
        ]
        # A random factor keeps all nodes from asking the least busy peer at once.
        ready.sort(key=lambda peer: (1 + _requests(peer)) * self.rng.random())
        local = [peer for peer in ready if self._is_local(peer)]
        others = [peer for peer in ready if not self._is_local(peer)]
        ordered = [*local[:MAX_LOCAL], *others, *local[MAX_LOCAL:]]
        return [peer.host for peer in ordered[:MAX_ASKED]]

    def _is_local(self, peer: PeerRow | CellMember) -> bool:
        return isinstance(peer, PeerRow) and peer.domain == self.domain

    def note_heard(self, host: str, now: float) -> None:
        """Note bytes that a peer has relayed."""
        self._heard_at[host] = now

    def heard_since(self, host: str, since: float) -> bool:
        """Return whether a peer has relayed bytes since a monotonic time."""
        return self._heard_at.get(host, -inf) >= since

    def note_refused(self, host: str, now: float) -> None:
        """Do not ask a peer again for a moment."""
        self._refused_until = {
            other: until for other, until in self._refused_until.items() if until > now
        }
        self._refused_until[host] = now + REFUSED_S


def _requests(peer: PeerRow | CellMember) -> int:
    """Return the number of a peer's requests at endpoints, 0 if it is not known."""
    return sum(peer.loads.values()) if isinstance(peer, PeerRow) else 0
