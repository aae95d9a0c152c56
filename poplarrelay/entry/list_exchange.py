"""What nodes tell each other of their lists of endpoints."""

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

#: Peers told at once of a departure or a confirmed list. With three, news reaches 4,
#: 16 and 64 nodes after one, two and three steps.
FANOUT = 3
#: Seconds for which news is collected before such a step: a wave of departures makes no
#: more datagrams than one. Eight nodes read the store 1.9 times a second with 5 ms, 3.0
#: times with 20 ms, since more of them came to their own reads first.
TELL_S = 0.005
#: Seconds by which a list must be fresher than when it was last told for that to be
#: told out of turn, and than this node's for a peer to be asked.
FRESHER_S = 0.3
#: Peers told that this node begins to read the store.
READ_TOLD = 32
#: Steps in which a departure is told at once, and datagrams in all; the others go with
#: the regular rounds. One step each would not reach one in twenty nodes, two not one in
#: four hundred.
URGENT_STEPS = 2
HOT_TIMES = 4
#: Age of the list, as a part of the oldest at which the store is read, from which peers
#: are asked without a hint: reads have had no answer then.
ASK_AGE = 1.0
#: Seconds between such questions, and peers asked in each. The chance that none of the
#: peers asked within half a second knows more is small even where a third know nothing.
ASK_S = 0.15
ASKED = 2
#: Seconds after which the answer to a question is not waited for any more. A later one
#: would show a list older than the bounds on leaving endpoints.
ANSWER_LIVES_S = 2.0
#: Bytes of records in one datagram at most, before it is compressed.
MOST_BYTES = 6_000


@dataclass(frozen=True, slots=True)
class ListAnnouncement:
    """What a node says of its list unasked; nobody can tell how long it was on its way.

    Attributes
    ----------
    as_of : Offset
        The sender knows every record before this offset.
    age_s : float
        Age of the sender's list as it was sent.
    changes : tuple of EndpointChange
        Departures that it has lately learned.
    """

    as_of: Offset
    age_s: float
    changes: tuple[EndpointChange, ...] = ()

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        return [self.as_of, self.age_s, _encode_changes(self.changes)]

    @classmethod
    def decode(cls, raw: list[Any]) -> ListAnnouncement:
        """Return the hint that a form for JSON holds; raises `ValueError`."""
        as_of, age_s, changes = raw
        return cls(Offset(int(as_of)), float(age_s), _decode_changes(changes))


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Asks a peer for all changes from an offset on.

    Attributes
    ----------
    number : int
        Names the question among those of its sender.
    since : Offset
        The sender knows every record before this offset.
    """

    number: int
    since: Offset

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        return [self.number, self.since]

    @classmethod
    def decode(cls, raw: list[Any]) -> ChangesRequest:
        """Return the question that a form for JSON holds; raises `ValueError`."""
        number, since = raw
        return cls(int(number), Offset(int(since)))


@dataclass(frozen=True, slots=True)
class ChangesReply:
    """All changes between the offset that was asked for and another one.

    Attributes
    ----------
    number : int
        The question that it answers.
    as_of : Offset
        The changes are all that there were before this offset.
    age_s : float or None
        Time since there was nothing more in the store, as the answer was sent; None
        if not all changes that the sender knows are in it.
    digest : str
        What the sender's list comes to, if it is exactly that of `as_of`, or empty.
    """

    number: int
    as_of: Offset
    age_s: float | None
    digest: str
    changes: tuple[EndpointChange, ...]

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        changes = _encode_changes(self.changes)
        return [self.number, self.as_of, self.age_s, self.digest, changes]

    @classmethod
    def decode(cls, raw: list[Any]) -> ChangesReply:
        """Return the answer that a form for JSON holds; raises `ValueError`."""
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
            # Only records that could be read are passed on, and those are UTF-8.
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
    """Carries messages to peers, which may lose, delay and reorder them."""

    def send_announcement(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Tell some peers."""

    def send_read_notice(
        self, hosts: Sequence[str], announcement: ListAnnouncement
    ) -> None:
        """Tell some peers that this node begins to read the store."""

    def send_changes_request(
        self, hosts: Sequence[str], request: ChangesRequest
    ) -> None:
        """Ask some peers."""

    def send_changes_reply(self, host: str, reply: ChangesReply) -> None:
        """Answer a peer."""


@dataclass(slots=True)
class ListExchange:
    """Keeps this node's list as fresh as its peers'.

    Attributes
    ----------
    endpoints : EndpointList
        This node's list.
    alive : callable
        Returns the hosts of the peers that are alive.
    resync : callable
        Has this node read the whole list from the store.
    wake : callable
        Has `tick` called within `TELL_S`.

    Notes
    -----
    A hint brings departures, which hold by their offsets however late they are, and
    shows who may be asked. Only the answer to a question confirms this node's list,
    as of the time of the question: how long either was on its way can make the list
    seem older than it is, never younger. So claims may go round in circles and over
    any number of nodes, and one read of the store keeps all of them fresh.

    A peer is asked only by those that it has told itself, three at a time, and answers
    with what they lack: when all asked the one that had read last for its whole list,
    sixty answers of 45 KB kept its link busy for seconds.
    """

    endpoints: EndpointList
    freshness: ListFreshness
    sender: Sender
    alive: Callable[[float], list[str]]
    resync: Callable[[], None]
    wake: Callable[[], None]
    rng: Random
    _asked: dict[int, float] = field(default_factory=dict)
    _number: int = 0
    _asked_at: float = float("-inf")
    _hot: dict[EndpointId, int] = field(default_factory=dict)
    _announced_at: float = float("-inf")
    _announced_confirmed_at: float = float("-inf")
    _urgent: int = 0

    # telling

    def note_departure(self, endpoint: EndpointId) -> None:
        """Note that peers must hear of an endpoint's departure."""
        self._hot[endpoint] = HOT_TIMES
        self._urgent = URGENT_STEPS
        self.wake()

    def note_confirmed(self) -> None:
        """Note that this node's list has become fresher."""
        if self.freshness.confirmed_at - self._announced_confirmed_at >= FRESHER_S:
            self.wake()

    def announcement(self, now: float) -> ListAnnouncement:
        """Return what to tell peers with the next datagram to several of them."""
        return replace(self.plain_announcement(now), changes=self._hot_changes())

    def plain_announcement(self, now: float) -> ListAnnouncement:
        """Return how far the list goes, without the departures that are still told."""
        return ListAnnouncement(
            self.freshness.as_of, self.freshness.reported_age_s(now)
        )

    def _hot_changes(self) -> tuple[EndpointChange, ...]:
        changes = []
        room = MOST_BYTES
        for endpoint in list(self._hot):
            change = self.endpoints.change(endpoint)
            if change is not None:
                room -= len(change.content or b"") + 40
                if room < 0:
                    break
                changes.append(change)
            self._hot[endpoint] -= 1
            if self._hot[endpoint] <= 0:
                del self._hot[endpoint]
        return tuple(changes)

    def announce_read(self, now: float) -> None:
        """Tell peers that this node begins to read the store."""
        peers = self.alive(now)
        hosts = self.rng.sample(peers, min(READ_TOLD, len(peers)))
        self.sender.send_read_notice(hosts, self.plain_announcement(now))

    def receive_read_notice(self, now: float) -> None:
        """Take it that a peer has begun to read the store."""
        self.freshness.await_peer(now)

    def tick(self, now: float) -> None:
        """Tell and ask what is due.

        Parameters
        ----------
        now : float
            Monotonic time.
        """
        fresher_s = self.freshness.confirmed_at - self._announced_confirmed_at
        if (
            self._urgent or fresher_s >= FRESHER_S
        ) and now - self._announced_at >= TELL_S:
            self._announce(now)
        age_s = self.freshness.age_s(now)
        late = age_s > ASK_AGE * self.freshness.times.latest_read_s
        lapsed = self.endpoints.earliest_lapse is not None
        if (late or lapsed) and now - self._asked_at >= ASK_S:
            peers = self.alive(now)
            self._ask(self.rng.sample(peers, min(ASKED, len(peers))), now)

    def _announce(self, now: float) -> None:
        self._announced_at = now
        self._announced_confirmed_at = self.freshness.confirmed_at
        peers = self.alive(now)
        hosts = self.rng.sample(peers, min(FANOUT, len(peers)))
        self.sender.send_announcement(hosts, self.announcement(now))
        if self._urgent > 0:
            self._urgent -= 1
        if self._urgent > 0:
            self.wake()

    # asking

    def _ask(self, hosts: Sequence[str], now: float) -> None:
        if not hosts:
            return
        self._asked_at = now
        for number in [n for n, at in self._asked.items() if now - at > ANSWER_LIVES_S]:
            del self._asked[number]
        self._number += 1
        self._asked[self._number] = now
        since = self.freshness.as_of
        lapse = self.endpoints.earliest_lapse
        if lapse is not None:
            since = min(since, lapse)
        self.sender.send_changes_request(hosts, ChangesRequest(self._number, since))

    def receive_announcement(
        self, host: str, announcement: ListAnnouncement, now: float
    ) -> None:
        """Take what a peer says unasked, and ask it if it knows more."""
        if announcement.changes:
            self.endpoints.apply_changes(announcement.changes, host)
        fresher_s = (now - announcement.age_s) - self.freshness.confirmed_at
        if fresher_s >= FRESHER_S and now - self._asked_at >= TELL_S:
            self._ask([host], now)

    def receive_changes_request(
        self, host: str, request: ChangesRequest, now: float
    ) -> None:
        """Answer a peer with what it lacks."""
        self.sender.send_changes_reply(host, self._reply(request, now))

    def _reply(self, request: ChangesRequest, now: float) -> ChangesReply:
        as_of = self.freshness.as_of
        changes = self.endpoints.since(request.since)
        if changes is None:
            return ChangesReply(request.number, Offset(0), None, "", ())
        age_s: float | None = self.freshness.reported_age_s(now)
        digest = self._exact_digest()
        room = MOST_BYTES
        fitting = []
        for change in changes:
            room -= len(change.content or b"") + 40
            if room < 0:
                as_of, age_s, digest = min(as_of, change.offset), None, ""
                break
            fitting.append(change)
        return ChangesReply(request.number, as_of, age_s, digest, tuple(fitting))

    def _exact_digest(self) -> str:
        """Return what the list comes to, empty if it holds later records as well."""
        later = self.endpoints.since(self.freshness.as_of)
        return self.endpoints.digest if later == [] else ""

    def receive_changes_reply(self, host: str, reply: ChangesReply, now: float) -> None:
        """Take a peer's answer to a question of this node."""
        asked_at = self._asked.get(reply.number)
        if asked_at is None:
            return
        if reply.changes:
            self.endpoints.apply_changes(reply.changes, host)
        if reply.age_s is None:
            # More changes than a datagram holds, or older ones than the peer remembers.
            self.freshness.as_of = max(self.freshness.as_of, reply.as_of)
            self.freshness.behind = True
            return
        self.freshness.confirm(asked_at - reply.age_s, reply.as_of, f"peer {host}")
        self._compare(host, reply)

    def _compare(self, host: str, reply: ChangesReply) -> None:
        """Read everything again if a peer with the same records has another list."""
        if not reply.digest or reply.as_of != self.freshness.as_of:
            return
        own = self._exact_digest()
        if own and own != reply.digest:
            _LOG.error(
                "lists differ",
                extra={"peer": host, "as_of": reply.as_of, "digest": own},
            )
            self.resync()
