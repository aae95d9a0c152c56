"""How old a node's list of endpoints is, and when it must be renewed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from poplarrelay.entry.settings import BoundSettings
from poplarrelay.identifiers import Offset

__all__ = ["NEVER_S", "ListFreshness", "ListTimes", "draw_read_age"]

#: Parts of the time after which a leaving endpoint may get no new work. Their sum on
#: the longest way is less than one: a list that nobody has renewed is read at half of
#: that time at the latest, one answer may be missing, and the repeated read is answered
#: just in time. What is left is for the request's own way to the endpoint.
#: The age at which a node reads the store is drawn anew each time, so that one node
#: reads and its news reaches the others before their turn comes, also from a store
#: that takes as long to answer as a read is given.
EARLIEST_READ = 0.25
LATEST_READ = 0.5
#: Time that a read is given. A store's slow spell answers in about 0.25 s; the smallest
#: bound in use, 2 s, gives 0.4 s.
ANSWER = 0.2
#: Pause between a read without an answer and the next.
PAUSE = 0.02
#: Times that this is waited for a peer's read and its news, at least and at most. Nodes
#: that wait for the same one must not read together when it has no answer.
PEER_WAIT = (1.0, 1.25)
#: Nodes that may read before the others, and the part of that time that the others draw
#: from.
CANDIDATES = 12
LAST_PART = 0.2
#: What is left for a request on its way: a connection within one zone takes some
#: milliseconds, one whose first packet is lost is given up for another endpoint.
SENDING = 0.07
#: Heartbeats of endpoints for which nobody may have confirmed a list for the store to
#: count as having been away. A record lapses after three heartbeats of silence, so two
#: into an outage at the earliest; half of one is for a heartbeat that came late.
OUTAGE_HEARTBEATS = 1.5
#: Seconds after such a gap for which news of lapsed records is believed: all nodes read
#: the store within two seconds of its return, and tell it in tenths.
STEADY_S = 4.0
#: Shortest time in seconds between two reads of a node that peers have told of newer
#: records than they can pass on: while endpoints come and go all the time, each node
#: would otherwise read with every change.
SHORTEST_READ_S = 0.3
_START = Offset(0)
#: Age told of a list that was never the store's; JSON has no infinity.
NEVER_S = 1e9


@dataclass(frozen=True, slots=True)
class ListTimes:
    """Times by which a departure is known before the bound on it has passed.

    Attributes
    ----------
    bound_s : float
        Time from the store's acknowledgement that an endpoint leaves, after which
        it may get nothing more.
    earliest_read_s, latest_read_s : float
        Age of the list at which this node reads the store.
    answer_s : float
        Time that the first read, and its first repetition, wait for an answer.
    pause_s : float
        Pause after a read without an answer.
    max_list_age_s : float
        Age up to which a list, with a request's way added, keeps the bound.
    outage_s : float
        Age from which the store may have been away long enough for records to lapse.
    """

    bound_s: float
    earliest_read_s: float
    latest_read_s: float
    answer_s: float
    pause_s: float
    max_list_age_s: float
    outage_s: float

    @classmethod
    def from_config(cls, bounds: BoundSettings) -> ListTimes:
        """Return the times that a bound on leaving endpoints leaves."""
        bound_s = bounds.leaving_endpoint_ms / 1000
        return cls(
            bound_s=bound_s,
            earliest_read_s=EARLIEST_READ * bound_s,
            latest_read_s=LATEST_READ * bound_s,
            answer_s=ANSWER * bound_s,
            pause_s=PAUSE * bound_s,
            max_list_age_s=(1 - SENDING) * bound_s,
            outage_s=OUTAGE_HEARTBEATS * bounds.endpoint_heartbeat_ms / 1000,
        )


def draw_read_age(times: ListTimes, nodes: int, rng: Random) -> float:
    """Return the age of the list at which a node reads the store itself.

    Parameters
    ----------
    times : ListTimes
        Bounds of that age, in seconds.
    nodes : int
        Nodes that confirm each other's lists, this one included.
    rng : random.Random
        Draws.

    Notes
    -----
    About `CANDIDATES` nodes draw from the whole range. The others wait for nearly the
    longest time, or the number of nodes that read before the news of the first one has
    reached them would grow with the number of all.
    """
    range_s = times.latest_read_s - times.earliest_read_s
    if nodes > 1 and rng.random() * nodes < CANDIDATES:
        return times.earliest_read_s + rng.random() * range_s
    return times.latest_read_s - rng.random() * LAST_PART * range_s


@dataclass(slots=True)
class ListFreshness:
    """Up to where, and since when, this node's list of endpoints is the store's.

    Attributes
    ----------
    as_of : Offset
        This node knows every record of the endpoints' topic before this offset.
    confirmed_at : float
        Monotonic time of this node at which that was all that the topic held.
    source : str
        Who showed that: the store, or a peer.
    read_at : float
        Monotonic time of this node's last own read.
    behind : bool
        Whether a peer knows more than it can pass on in a datagram.
    read_after_s : float
        Age at which this node reads the store itself.
    nodes : int
        Nodes that confirm each other's lists, this one included.
    peer_reads_until : float
        Monotonic time until which a peer's read that is under way is waited for.
    steady_since : float
        Monotonic time since which the list has never been old enough for an outage.
    trusted_from : float
        What was asked before this time confirms nothing.
    on_confirm : callable or None
        Called when the list has been confirmed anew, so that others hear of it.

    Notes
    -----
    `confirmed_at` is always the time at which this node *asked*, less the age that the
    answer states: whatever the question or the answer waited for on its way, the
    store or the peer answered later than that. An age counted back from the arrival of
    news left out the time that it lay in a busy link or process; nodes took lists for
    fresh that were seconds old, and sent to endpoints that had left. Since no step
    makes a list younger than it is, none does however many nodes pass it on.
    """

    rng: Random
    times: ListTimes
    as_of: Offset = _START
    confirmed_at: float = float("-inf")
    source: str = ""
    read_at: float = float("-inf")
    behind: bool = False
    read_after_s: float = 0.0
    nodes: int = 1
    peer_reads_until: float = float("-inf")
    steady_since: float = float("inf")
    trusted_from: float = float("-inf")
    on_confirm: Callable[[], None] | None = None

    def age_s(self, now: float) -> float:
        """Return the time since the list was known to be the store's."""
        return now - self.confirmed_at

    def reported_age_s(self, now: float) -> float:
        """Return the age as it is told to logs and peers: finite, `NEVER_S` at most."""
        return min(self.age_s(now), NEVER_S)

    def steady(self, now: float) -> bool:
        """Return whether the store has certainly not been away lately."""
        confirmed = self.age_s(now) <= self.times.outage_s
        return confirmed and now - self.steady_since > STEADY_S

    def within_bound(self, now: float) -> bool:
        """Return whether a request sent now keeps the bound on leaving endpoints."""
        return self.age_s(now) <= self.times.max_list_age_s

    def note_read(self, sent_at: float, as_of: Offset) -> None:
        """Note that this node's own read was answered with all that there was."""
        self.read_at = sent_at
        self.behind = False
        self.confirm(sent_at, as_of, "store")

    def confirm(self, at: float, as_of: Offset, source: str) -> None:
        """Note up to where the list is known, and the time as of which.

        Parameters
        ----------
        at : float
            Monotonic time of this node at which there was nothing more.
        as_of : Offset
            End of the records that are known.
        source : str
            Who showed it.
        """
        self.as_of = max(self.as_of, as_of)
        if at <= self.confirmed_at or at < self.trusted_from:
            return
        if at - self.confirmed_at > self.times.outage_s:
            self.steady_since = at
        self.confirmed_at = at
        self.source = source
        self.read_after_s = draw_read_age(self.times, self.nodes, self.rng)
        if self.on_confirm is not None:
            self.on_confirm()

    def due_in_s(self, now: float) -> float:
        """Return the time until this node reads the store itself."""
        due_at = self.confirmed_at + self.read_after_s
        if self.peer_reads_until > due_at:
            latest_at = self.confirmed_at + self.times.latest_read_s
            due_at = max(due_at, min(self.peer_reads_until, latest_at))
        if self.behind:
            due_at = min(due_at, self.read_at + SHORTEST_READ_S)
        return due_at - now

    def await_peer(self, now: float) -> None:
        """Wait for a peer's read that has just begun, as long as there is time.

        Notes
        -----
        While a slow store answers one node, the turn of the others comes as well: each
        read would make it slower for all. The last time at which this node must read
        for its own repetition to end within the bound stays as it is.
        """
        wait_s = self.times.answer_s * self.rng.uniform(*PEER_WAIT)
        self.peer_reads_until = now + wait_s

    def invalidate(self, since: float = float("-inf")) -> None:
        """Take the list for old, as after a freeze.

        Parameters
        ----------
        since : float
            Monotonic time before which nothing may have been asked that confirms it.
            That clock may have stood still in a freeze, and an answer that lay here
            meanwhile would seem as young as when it came.
        """
        self.confirmed_at = float("-inf")
        self.trusted_from = since
