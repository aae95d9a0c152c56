"""Age of a node's endpoint list, and the times at which the node reads it again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from poplarrelay.entry.settings import BoundSettings
from poplarrelay.identifiers import Offset

__all__ = ["MAX_REPORTED_AGE_S", "ListFreshness", "ListTimes", "draw_read_age"]

#: The shares below are fractions of the bound, the time after which a leaving endpoint
#: gets no new requests. In the worst case they add up to less than one: a list that no
#: peer confirms is read at half of the bound at the latest, the first read times out,
#: and the second read is answered just in time. The rest is for sending a request.
#:
#: Each node reads the store when its list reaches a random age, drawn again after each
#: confirmation. Usually one node reads first and its announcement reaches the others
#: before they read, even if the read takes its full timeout.
EARLIEST_READ_SHARE = 0.25
LATEST_READ_SHARE = 0.5
#: Timeout of a read. With a bound of 2 s, the smallest in use, the timeout is 0.4 s,
#: more than a slow store's 0.25 s.
READ_TIMEOUT_SHARE = 0.2
#: Pause between a read that timed out and the next one.
PAUSE_SHARE = 0.02
#: Shortest and longest wait for a peer's read and its announcement, as multiples of the
#: read timeout. The wait is random: if the peer's read times out, the nodes that wait
#: for it must not all read at the same time.
PEER_WAIT_FACTORS = (1.0, 1.25)
#: Average number of nodes that draw from the complete range of read ages.
EARLY_READERS = 12
#: Share of that range, at its end, from which the other nodes draw.
LATE_READERS_SHARE = 0.2
#: Share for sending a request. Connecting within one zone takes some milliseconds; if
#: the first packet is lost, the request goes to another endpoint.
SENDING_SHARE = 0.07
#: Age of the list, in heartbeat intervals of endpoints, that indicates an outage of the
#: store. A record expires three intervals after its last heartbeat. This heartbeat can
#: precede the outage by one interval, so records expire from two intervals into an
#: outage. Half an interval is subtracted because heartbeats can be late.
OUTAGE_HEARTBEATS = 1.5
#: Seconds after an outage for which `no_recent_outage` stays False. Until then, a
#: peer's report that a record expired because of the outage is accepted; later it
#: counts as a removal. All nodes read the store within two seconds of its return and
#: announce changes within tenths of a second.
OUTAGE_REPORT_S = 4.0
#: Minimum seconds between two reads of a node whose peers have more changes than they
#: can send. Without it, each node would read the store for every change while endpoints
#: start and stop continuously.
MIN_READ_INTERVAL_S = 0.3
_FIRST_OFFSET = Offset(0)
#: Age in seconds reported for a list that was never confirmed; JSON has no infinity.
MAX_REPORTED_AGE_S = 1e9


@dataclass(frozen=True, slots=True)
class ListTimes:
    """Times in seconds that keep the bound on requests to leaving endpoints.

    Attributes
    ----------
    bound_s : float
        Time after which a leaving endpoint gets no more requests, counted from the
        store's acknowledgement of its departure.
    earliest_read_s, latest_read_s : float
        Range of the list age at which this node reads the store.
    read_timeout_s : float
        Timeout of a read and of its first retry.
    pause_s : float
        Pause after a read that timed out.
    max_list_age_s : float
        Largest list age at which a new request still reaches its endpoint within the
        bound.
    outage_s : float
        List age above which records may have expired only because the store was
        unavailable.
    """

    bound_s: float
    earliest_read_s: float
    latest_read_s: float
    read_timeout_s: float
    pause_s: float
    max_list_age_s: float
    outage_s: float

    @classmethod
    def from_config(cls, bounds: BoundSettings) -> ListTimes:
        """Return the times for the bounds in the settings."""
        bound_s = bounds.leaving_endpoint_ms / 1000
        return cls(
            bound_s=bound_s,
            earliest_read_s=EARLIEST_READ_SHARE * bound_s,
            latest_read_s=LATEST_READ_SHARE * bound_s,
            read_timeout_s=READ_TIMEOUT_SHARE * bound_s,
            pause_s=PAUSE_SHARE * bound_s,
            max_list_age_s=(1 - SENDING_SHARE) * bound_s,
            outage_s=OUTAGE_HEARTBEATS * bounds.endpoint_heartbeat_ms / 1000,
        )


def draw_read_age(times: ListTimes, nodes: int, rng: Random) -> float:
    """Return a random age of the list at which a node reads the store itself.

    Parameters
    ----------
    times : ListTimes
        Range of the age, in seconds.
    nodes : int
        Number of nodes that confirm each other's lists, including this one.
    rng : random.Random
        Random number generator.

    Notes
    -----
    About `EARLY_READERS` nodes draw from the complete range; the others draw from its
    end. If all nodes drew from the complete range, the number of nodes that read before
    the first reader's announcement arrives would grow with the size of the site.
    """
    range_s = times.latest_read_s - times.earliest_read_s
    if nodes > 1 and rng.random() * nodes < EARLY_READERS:
        return times.earliest_read_s + rng.random() * range_s
    return times.latest_read_s - rng.random() * LATE_READERS_SHARE * range_s


@dataclass(slots=True)
class ListFreshness:
    """Known offset of this node's endpoint list, and the time of its confirmation.

    Attributes
    ----------
    known_offset : Offset
        This node has every record of the endpoint topic before this offset.
    confirmed_at : float
        Monotonic time of this node at which the topic had no further records.
    source : str
        Origin of the confirmation: the store or a peer.
    read_at : float
        Monotonic time at which this node sent its last successful read of the store.
    behind : bool
        Whether this node must read the store soon, because a peer has more changes than
        fit in a datagram or no longer has the oldest ones, or because of a resync.
    read_after_s : float
        Age of the list at which this node reads the store itself.
    nodes : int
        Number of nodes that confirm each other's lists, including this one.
    peer_read_expected_until : float
        Monotonic time until which this node waits for a peer's read in progress.
    available_since : float
        Monotonic time of the first confirmation after the last outage that the age of
        the list indicated. An invalidated list counts as an outage.
    confirmations_valid_from : float
        Monotonic time; confirmations of an earlier time are ignored.
    on_confirm : callable or None
        Called when the list is confirmed for a later time than before.

    Notes
    -----
    `confirmed_at` is the time at which this node *sent* the request, less the age that
    the reply states. The store or peer always replied later than that, so a delay in
    flight cannot make the list look younger than it is. An age counted from the arrival
    of a message would omit the time that the message waited in a link or process, and
    the list would look too young: nodes used lists that were seconds old, and sent
    requests to endpoints that had left. Forwarding never understates the age, so a
    confirmation can pass through any number of nodes.
    """

    rng: Random
    times: ListTimes
    known_offset: Offset = _FIRST_OFFSET
    confirmed_at: float = float("-inf")
    source: str = ""
    read_at: float = float("-inf")
    behind: bool = False
    read_after_s: float = 0.0
    nodes: int = 1
    peer_read_expected_until: float = float("-inf")
    available_since: float = float("inf")
    confirmations_valid_from: float = float("-inf")
    on_confirm: Callable[[], None] | None = None

    def age_s(self, now: float) -> float:
        """Return the seconds since the list was confirmed to equal the store's."""
        return now - self.confirmed_at

    def reported_age_s(self, now: float) -> float:
        """Return the finite age for logs and peers, at most `MAX_REPORTED_AGE_S`."""
        return min(self.age_s(now), MAX_REPORTED_AGE_S)

    def no_recent_outage(self, now: float) -> bool:
        """Return whether a recent outage of the store is ruled out."""
        confirmed = self.age_s(now) <= self.times.outage_s
        return confirmed and now - self.available_since > OUTAGE_REPORT_S

    def within_bound(self, now: float) -> bool:
        """Return whether a request sent now keeps the bound on leaving endpoints."""
        return self.age_s(now) <= self.times.max_list_age_s

    def note_read(self, sent_at: float, as_of: Offset) -> None:
        """Record a read of the store by this node that returned all records."""
        self.read_at = sent_at
        self.behind = False
        self.confirm(sent_at, as_of, "store")

    def confirm(self, at: float, as_of: Offset, source: str) -> None:
        """Record that the list contained all records at a time.

        Parameters
        ----------
        at : float
            Monotonic time of this node at which the store had no further records.
        as_of : Offset
            Offset before which all records are known.
        source : str
            Origin of the confirmation: the store or a peer.
        """
        self.known_offset = max(self.known_offset, as_of)
        if at <= self.confirmed_at or at < self.confirmations_valid_from:
            return
        if at - self.confirmed_at > self.times.outage_s:
            self.available_since = at
        self.confirmed_at = at
        self.source = source
        self.read_after_s = draw_read_age(self.times, self.nodes, self.rng)
        if self.on_confirm is not None:
            self.on_confirm()

    def due_in_s(self, now: float) -> float:
        """Return the seconds until this node reads the store, negative if overdue."""
        due_at = self.confirmed_at + self.read_after_s
        if self.peer_read_expected_until > due_at:
            latest_at = self.confirmed_at + self.times.latest_read_s
            due_at = max(due_at, min(self.peer_read_expected_until, latest_at))
        if self.behind:
            due_at = min(due_at, self.read_at + MIN_READ_INTERVAL_S)
        return due_at - now

    def wait_for_peer_read(self, now: float) -> None:
        """Delay this node's read for a peer's read that has just started.

        Notes
        -----
        While a slow store answers one node, reads become due at other nodes, and each
        further read would slow the store down for all. The delay never exceeds the
        latest read age, so that a repeated read still ends within the bound.
        """
        wait_s = self.times.read_timeout_s * self.rng.uniform(*PEER_WAIT_FACTORS)
        self.peer_read_expected_until = now + wait_s

    def invalidate(self, since: float = float("-inf")) -> None:
        """Mark the list as stale, for example after a freeze of the process.

        Parameters
        ----------
        since : float
            Monotonic time; replies to requests sent before it no longer confirm the
            list. The monotonic clock can stop during a freeze, so a reply that waited
            in the socket during the freeze would be treated as if it had not waited.
        """
        self.confirmed_at = float("-inf")
        self.confirmations_valid_from = since
