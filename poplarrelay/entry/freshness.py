"""How old a node's list of endpoints is, and who has a newer one."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from poplarrelay.entry.endpoints import Endpoint

__all__ = ["NEVER_S", "ListClaim", "ListFreshness", "digest_of"]

#: Age of the list, in seconds, at which a node reads the store itself. A leaving
#: endpoint may get nothing more after two seconds; the read and a slow answer of the
#: store still fit in. The age is drawn anew each time, so that one node reads and
#: its news reaches the others before their turn comes.
EARLIEST_READ_S = 0.85
LATEST_READ_S = 1.2
#: Shortest time in seconds between two reads of a node, also when it hears of a newer
#: list. While endpoints come and go all the time, each node reads that often; a leaving
#: one is then known 0.7 s and a read after its report.
SHORTEST_READ_S = 0.7
#: Seconds that a claim is taken to have been on its way. Datagrams take a millisecond
#: or two; a busy node reads them some ten later.
HOP_S = 0.03
#: Hops over which a read of the store is passed on. Each may make it seem younger by
#: what a datagram takes beyond `HOP_S`; over a path through all of 61 busy nodes that
#: came to seconds. Four reach 3 + 9 + 27 + 81 nodes; who is not reached reads itself.
MOST_HOPS = 4
#: Seconds for which a read of the store is remembered: nodes pass it on within two.
REMEMBERED_S = 10.0
#: Age told of a list that was never the store's; JSON has no infinity.
NEVER_S = 1e9


@dataclass(frozen=True, slots=True)
class ListClaim:
    """What a peer says of its list.

    Attributes
    ----------
    digest : str
        What its list comes to.
    age_s : float
        Time since its list was known to be the store's.
    read : str
        The read of the store that showed it: the node that read, and a number.
    hops : int
        Nodes that have passed it on since, the sender not included.
    """

    digest: str
    age_s: float
    read: str
    hops: int


def digest_of(rows: Iterable[Endpoint]) -> str:
    """Return what a list of endpoints comes to; equal lists have equal digests.

    Notes
    -----
    Only what decides where requests go counts: records are written again at every
    heartbeat. Endpoints whose records are away since an outage of the store do not
    count, since the store does not list them.
    """
    facts = sorted(
        (
            row.endpoint,
            row.service,
            *row.address,
            row.slots,
            row.leaving,
            row.reclaimable,
        )
        for row in rows
        if row.suspended_until is None
    )
    return hashlib.blake2b(repr(facts).encode(), digest_size=8).hexdigest()


@dataclass(slots=True)
class ListFreshness:
    """Since when this node's list of endpoints is known to be the store's.

    Attributes
    ----------
    digest : str
        What this node's list comes to.
    fresh_at : float
        Monotonic time at which the store, or a chain of peers that begins at it,
        confirmed the list.
    newer_heard : bool
        Whether a peer has told of a newer list that is not the same.
    read_at : float
        Monotonic time of this node's last own read.
    read : str
        The read of the store that confirmed the list last, by whichever node.
    hops : int
        Nodes that passed that read on before it came here.
    reads : int
        How often this node has read the store.
    known_reads : dict of str to float
        Reads that have confirmed this list, and the time that each stood for.
    read_after_s : float
        Age at which this node reads the store itself.
    on_confirm : callable or None
        Called when the list has been confirmed anew, so that others hear of it.

    Notes
    -----
    Each node that polled the store by itself cost 1.4 reads a second: 61 nodes made
    14,500 priced calls in a day of 76 s, and at 410 nodes the store's limit is near.
    Here news carries the digest and the age of the sender's list. A peer with the
    same digest need not read, and takes over the age. Reads of all nodes together
    hardly grow with their number.

    Each hop adds the time that the datagram took. Round a circle of nodes that would
    go on for ever: their lists seemed fresh for three seconds in which nobody had read
    the store, and an endpoint that had left got a request. So a claim names the read
    that it goes back to, each read confirms a node's list once, and it is passed on
    over a few hops only.
    """

    rng: Random
    node: str = ""
    digest: str = ""
    fresh_at: float = float("-inf")
    newer_heard: bool = False
    read_at: float = float("-inf")
    read: str = ""
    hops: int = 0
    reads: int = 0
    known_reads: dict[str, float] = field(default_factory=dict)
    read_after_s: float = EARLIEST_READ_S
    on_confirm: Callable[[], None] | None = None

    def age_s(self, now: float) -> float:
        """Return the time since the list was known to be the store's."""
        return now - self.fresh_at

    def note_read(self, at: float) -> None:
        """Note that this node's own read showed the list to be the store's."""
        self.reads += 1
        self.read_at = at
        self.newer_heard = False
        self.confirm(at, f"{self.node}/{self.reads}", 0)

    def confirm(self, at: float, read: str, hops: int) -> None:
        """Note that a read of the store showed the list to be the store's at a time."""
        if at <= self.fresh_at or read in self.known_reads:
            return
        self.fresh_at = at
        self.read = read
        self.hops = hops
        self.known_reads[read] = at
        for old in [r for r, t in self.known_reads.items() if t < at - REMEMBERED_S]:
            del self.known_reads[old]
        self.read_after_s = self.rng.uniform(EARLIEST_READ_S, LATEST_READ_S)
        if self.on_confirm is not None:
            self.on_confirm()

    def hear(self, claim: ListClaim, now: float) -> None:
        """Take what a peer says of its list."""
        at = now - claim.age_s - HOP_S
        if at <= self.fresh_at:
            return
        if claim.digest == self.digest:
            if claim.hops < MOST_HOPS:
                self.confirm(at, claim.read, claim.hops + 1)
        else:
            self.newer_heard = True

    def due_in_s(self, now: float) -> float:
        """Return the time until this node reads the store itself.

        Notes
        -----
        A newer list is read from the store, not asked of the peer that told of it: all
        nodes asked the one that had read last, and sixty answers of 45 KB kept its link
        of 10 Mbit/s busy for seconds, in which it served nobody and learned nothing.
        """
        due_at = self.fresh_at + self.read_after_s
        if self.newer_heard:
            due_at = min(due_at, self.read_at + SHORTEST_READ_S)
        return due_at - now

    def distrust(self) -> None:
        """Take the list for old, as after a freeze."""
        self.fresh_at = float("-inf")
