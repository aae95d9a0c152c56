"""Messages by which nodes keep each other's endpoint lists up to date."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Protocol

from poplarrelay.entry.endpoint_list import EndpointChange, EndpointList
from poplarrelay.entry.list_freshness import ListFreshness
from poplarrelay.identifiers import EndpointId, Offset

__all__ = [
    "ChangesReply",
    "ChangesRequest",
    "ListAnnouncement",
    "ListExchange",
    "Sender",
]

_LOG = logging.getLogger("poplarrelay.entry.exchange")

#: Peers that get an announcement in one step. With three, a change has reached 4, 16
#: and 64 nodes after one, two and three steps.
FANOUT = 3
#: Seconds for which changes are collected before such a step, so that many
#: simultaneous departures send no more datagrams than a single one. With 5 ms,
#: eight nodes read the store 1.9 times a second; with 20 ms 3.0 times, as more nodes
#: read it on their own before an announcement arrived.
EXCHANGE_DELAY_S = 0.005
#: Minimum difference in seconds between the confirmation times of two lists. A node
#: sends an extra announcement if its list was confirmed at least this much later than
#: the last announced one. It sends a request if the list of a peer was confirmed at
#: least this much later than its own.
MIN_FRESHNESS_GAIN_S = 0.3
#: Peers that get a notice when this node starts to read the store.
READ_NOTICE_FANOUT = 32
#: Steps in which a departure is announced immediately, and announcements of it in
#: total; the regular rounds carry the rest. One immediate step at each node would miss
#: one in twenty nodes, two steps miss one in four hundred.
IMMEDIATE_STEPS = 2
DEPARTURE_SENDS = 4
#: Age of the list at which this node sends requests without a prior announcement, as a
#: share of the latest age at which it reads the store. At that age, reads have failed.
REQUEST_AGE_SHARE = 1.0
#: Seconds between such requests, and peers that get each one. Even if a third of the
#: peers have nothing new, the requests sent within half a second very probably reach a
#: peer that does.
REQUEST_INTERVAL_S = 0.15
REQUEST_FANOUT = 2
#: Seconds after which a request times out. A later reply would confirm a list that is
#: older than the bounds on leaving endpoints allow.
REPLY_TIMEOUT_S = 2.0
#: Maximum bytes of records in one datagram, before compression.
MAX_RECORD_BYTES = 6_000


@dataclass(frozen=True, slots=True)
class ListAnnouncement:
    """Unsolicited message about the sender's list, with an unknown time in flight.

    Attributes
    ----------
    known_offset : Offset
        The sender has every record before this offset.
    age_s : float
        Age in seconds of the sender's list when the message was sent.
    changes : tuple of EndpointChange
        Recent departures.
    """

    known_offset: Offset
    age_s: float
    changes: tuple[EndpointChange, ...] = ()

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        return [self.known_offset, self.age_s, _encode_changes(self.changes)]

    @classmethod
    def decode(cls, raw: list[Any]) -> ListAnnouncement:
        """Return the announcement from its JSON list; raise `ValueError` if invalid."""
        as_of, age_s, changes = raw
        return cls(Offset(int(as_of)), float(age_s), _decode_changes(changes))


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request to a peer for all changes from an offset on.

    Attributes
    ----------
    number : int
        Number of the request, unique at its sender.
    since : Offset
        The sender has every record before this offset.
    """

    number: int
    since: Offset

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        return [self.number, self.since]

    @classmethod
    def decode(cls, raw: list[Any]) -> ChangesRequest:
        """Return the request from its JSON list; raise `ValueError` if invalid."""
        number, since = raw
        return cls(int(number), Offset(int(since)))


@dataclass(frozen=True, slots=True)
class ChangesReply:
    """Reply with all changes between the requested offset and `known_offset`.

    Attributes
    ----------
    number : int
        Number of the request.
    known_offset : Offset
        The reply contains every change before this offset.
    age_s : float or None
        Age in seconds of the sender's list when the reply was sent; None if the reply
        does not contain all changes that the sender has.
    digest : str
        Digest of the sender's list if the list ends exactly at `known_offset`, else
        empty.
    """

    number: int
    known_offset: Offset
    age_s: float | None
    digest: str
    changes: tuple[EndpointChange, ...]

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        changes = _encode_changes(self.changes)
        return [self.number, self.known_offset, self.age_s, self.digest, changes]

    @classmethod
    def decode(cls, raw: list[Any]) -> ChangesReply:
        """Return the reply from its JSON list; raise `ValueError` if invalid."""
        number, as_of, age_s, digest, changes = raw
        return cls(
            int(number),
            Offset(int(as_of)),
            None if age_s is None else float(age_s),
            str(digest),
            _decode_changes(changes),
        )


def _encode_changes(changes: Sequence[EndpointChange]) -> list[list[Any]]:
    return [
        [
            change.endpoint,
            change.offset,
            # Only records that could be parsed are passed on, and those are UTF-8.
            None if change.content is None else change.content.decode(),
            change.lapsed,
        ]
        for change in changes
    ]


def _decode_changes(raw: list[list[Any]]) -> tuple[EndpointChange, ...]:
    return tuple(
        EndpointChange(
            EndpointId(str(endpoint)),
            Offset(int(offset)),
            None if content is None else str(content).encode(),
            bool(lapsed),
        )
        for endpoint, offset, content, lapsed in raw
    )


class Sender(Protocol):
    """Transport to peers, which can lose, delay and reorder messages."""

    def send_announcement(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Send an announcement to some peers."""

    def send_read_notice(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Notify some peers that this node starts to read the store."""

    def send_changes_request(
        self, hosts: Sequence[str], request: ChangesRequest
    ) -> None:
        """Send a request to some peers."""

    def send_changes_reply(self, host: str, reply: ChangesReply) -> None:
        """Send a reply to a peer."""


@dataclass(slots=True)
class ListExchange:
    """Exchange of endpoint list updates between this node and its peers.

    Attributes
    ----------
    endpoints : EndpointList
        This node's list.
    alive : callable
        Returns the hosts of the live peers.
    resync : callable
        Makes this node read the complete list from the store.
    schedule_tick : callable
        Schedules a call of `tick` within `EXCHANGE_DELAY_S`.

    Notes
    -----
    An announcement carries departures. Their offsets order them, so they stay valid
    even if they arrive late. An announcement also shows whether the sender has a more
    recently confirmed list. Only the reply to a request confirms this node's list, for
    the time at which the request was sent. The time in flight can make the list look
    older than it is, but never younger. So a list that nodes confirm to each other in a
    circle never looks too young, and one read of the store keeps the lists of all nodes
    up to date.

    A peer gets requests mainly from the nodes to which it sent an announcement, three
    at a time, and replies with the changes that they lack. When all nodes requested the
    complete list of the last reader, sixty replies of 45 KB kept its link busy for
    seconds.
    """

    endpoints: EndpointList
    freshness: ListFreshness
    sender: Sender
    alive: Callable[[float], list[str]]
    resync: Callable[[], None]
    schedule_tick: Callable[[], None]
    rng: Random
    _request_times: dict[int, float] = field(default_factory=dict)
    _last_number: int = 0
    _last_request_at: float = float("-inf")
    _departure_sends_left: dict[EndpointId, int] = field(default_factory=dict)
    _announced_at: float = float("-inf")
    _announced_confirmed_at: float = float("-inf")
    _immediate_steps_left: int = 0

    # announcements

    def note_departure(self, endpoint: EndpointId) -> None:
        """Schedule announcements of an endpoint's departure."""
        self._departure_sends_left[endpoint] = DEPARTURE_SENDS
        self._immediate_steps_left = IMMEDIATE_STEPS
        self.schedule_tick()

    def note_confirmed(self) -> None:
        """Schedule an announcement if the last one is `MIN_FRESHNESS_GAIN_S` behind."""
        if (
            self.freshness.confirmed_at - self._announced_confirmed_at
            >= MIN_FRESHNESS_GAIN_S
        ):
            self.schedule_tick()

    def announcement(self, now: float) -> ListAnnouncement:
        """Return an announcement with departures, for a datagram to several peers."""
        return replace(self.plain_announcement(now), changes=self._departures_to_send())

    def plain_announcement(self, now: float) -> ListAnnouncement:
        """Return an announcement of offset and age, without departures."""
        return ListAnnouncement(
            self.freshness.known_offset, self.freshness.reported_age_s(now)
        )

    def _departures_to_send(self) -> tuple[EndpointChange, ...]:
        changes = []
        bytes_left = MAX_RECORD_BYTES
        for endpoint in list(self._departure_sends_left):
            change = self.endpoints.change(endpoint)
            if change is not None:
                bytes_left -= len(change.content or b"") + 40
                if bytes_left < 0:
                    break
                changes.append(change)
            self._departure_sends_left[endpoint] -= 1
            if self._departure_sends_left[endpoint] <= 0:
                del self._departure_sends_left[endpoint]
        return tuple(changes)

    def announce_read(self, now: float) -> None:
        """Notify peers that this node starts to read the store."""
        peers = self.alive(now)
        hosts = self.rng.sample(peers, min(READ_NOTICE_FANOUT, len(peers)))
        self.sender.send_read_notice(hosts, self.plain_announcement(now))

    def receive_read_notice(self, now: float) -> None:
        """Handle the notice that a peer starts to read the store."""
        self.freshness.wait_for_peer_read(now)

    def tick(self, now: float) -> None:
        """Send the announcements and requests that are due.

        Parameters
        ----------
        now : float
            Monotonic time.
        """
        gain_s = self.freshness.confirmed_at - self._announced_confirmed_at
        if (
            self._immediate_steps_left or gain_s >= MIN_FRESHNESS_GAIN_S
        ) and now - self._announced_at >= EXCHANGE_DELAY_S:
            self._announce(now)
        age_s = self.freshness.age_s(now)
        stale = age_s > REQUEST_AGE_SHARE * self.freshness.times.latest_read_s
        has_lapsed = self.endpoints.earliest_lapse is not None
        if (stale or has_lapsed) and now - self._last_request_at >= REQUEST_INTERVAL_S:
            peers = self.alive(now)
            self._send_request(
                self.rng.sample(peers, min(REQUEST_FANOUT, len(peers))), now
            )

    def _announce(self, now: float) -> None:
        self._announced_at = now
        self._announced_confirmed_at = self.freshness.confirmed_at
        peers = self.alive(now)
        hosts = self.rng.sample(peers, min(FANOUT, len(peers)))
        self.sender.send_announcement(hosts, self.announcement(now))
        if self._immediate_steps_left > 0:
            self._immediate_steps_left -= 1
        if self._immediate_steps_left > 0:
            self.schedule_tick()

    # requests and replies

    def _send_request(self, hosts: Sequence[str], now: float) -> None:
        if not hosts:
            return
        self._last_request_at = now
        for number in [
            n for n, at in self._request_times.items() if now - at > REPLY_TIMEOUT_S
        ]:
            del self._request_times[number]
        self._last_number += 1
        self._request_times[self._last_number] = now
        since = self.freshness.known_offset
        earliest_lapse_offset = self.endpoints.earliest_lapse
        if earliest_lapse_offset is not None:
            since = min(since, earliest_lapse_offset)
        self.sender.send_changes_request(
            hosts, ChangesRequest(self._last_number, since)
        )

    def receive_announcement(
        self, host: str, announcement: ListAnnouncement, now: float
    ) -> None:
        """Apply the departures; send a request if the peer's list is more recent."""
        if announcement.changes:
            self.endpoints.apply_changes(announcement.changes, host)
        gain_s = (now - announcement.age_s) - self.freshness.confirmed_at
        if (
            gain_s >= MIN_FRESHNESS_GAIN_S
            and now - self._last_request_at >= EXCHANGE_DELAY_S
        ):
            self._send_request([host], now)

    def receive_changes_request(
        self, host: str, request: ChangesRequest, now: float
    ) -> None:
        """Reply to a peer with the changes that it lacks."""
        self.sender.send_changes_reply(host, self._build_reply(request, now))

    def _build_reply(self, request: ChangesRequest, now: float) -> ChangesReply:
        as_of = self.freshness.known_offset
        changes = self.endpoints.since(request.since)
        if changes is None:
            return ChangesReply(request.number, Offset(0), None, "", ())
        age_s: float | None = self.freshness.reported_age_s(now)
        digest = self._exact_digest()
        bytes_left = MAX_RECORD_BYTES
        included = []
        for change in changes:
            bytes_left -= len(change.content or b"") + 40
            if bytes_left < 0:
                as_of, age_s, digest = min(as_of, change.offset), None, ""
                break
            included.append(change)
        return ChangesReply(request.number, as_of, age_s, digest, tuple(included))

    def _exact_digest(self) -> str:
        """Return the digest of the list, empty if it also contains later records."""
        later_changes = self.endpoints.since(self.freshness.known_offset)
        return self.endpoints.digest if later_changes == [] else ""

    def receive_changes_reply(self, host: str, reply: ChangesReply, now: float) -> None:
        """Apply a peer's reply to a request of this node."""
        requested_at = self._request_times.get(reply.number)
        if requested_at is None:
            return
        if reply.changes:
            self.endpoints.apply_changes(reply.changes, host)
        if reply.age_s is None:
            # The changes exceed a datagram, or the peer no longer has the oldest ones.
            self.freshness.known_offset = max(
                self.freshness.known_offset, reply.known_offset
            )
            self.freshness.behind = True
            return
        self.freshness.confirm(
            requested_at - reply.age_s, reply.known_offset, f"peer {host}"
        )
        self._compare_digests(host, reply)

    def _compare_digests(self, host: str, reply: ChangesReply) -> None:
        """Resync if a peer that has the same records has a different list."""
        if not reply.digest or reply.known_offset != self.freshness.known_offset:
            return
        own_digest = self._exact_digest()
        if own_digest and own_digest != reply.digest:
            _LOG.error(
                "lists differ",
                extra={"peer": host, "as_of": reply.known_offset, "digest": own_digest},
            )
            self.resync()
