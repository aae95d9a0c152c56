"""Slots of the endpoints that one node coordinates, and the requests that wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from poplarrelay.entry.scheduling.fair_queue import FairQueue, Waiting
from poplarrelay.identifiers import RequestId

__all__ = ["Decision", "Outcome", "SlotLedger"]

#: Seconds after which a slot counts as free if its node has not confirmed that the
#: request still runs. Nodes confirm every second.
GRANT_EXPIRY_S = 2.5
#: Weight of one request in the moving mean of the time for which slots are held.
HOLD_WEIGHT = 0.05
#: Most rejections that are remembered to check them.
MAX_REJECTED = 200
#: Part of the wait that a request accepts which the forecast may reach. Requests of
#: teams that ask for less can still go ahead of it.
FORECAST_SHARE = 0.8
#: Seconds after which one more request than fitted last time is sent to a brittle
#: endpoint, at first and at most. The time doubles when the request is rejected.
FIRST_GROWTH_INTERVAL_S, MAX_GROWTH_INTERVAL_S = 2.0, 120.0
#: Rejections in a second below which an endpoint that survives no more is tried less
#: often, and the smallest number that counts.
SAFE_REJECTIONS_PER_S, MIN_REJECTIONS_PER_S = 4.0, 0.1
#: Part of the rejections that a brittle endpoint survives after which it gets no
#: further requests for a second.
PAUSE_SHARE = 0.5


class Outcome(Enum):
    """Decision on a request for a slot."""

    GRANTED = "granted"
    QUEUED = "queued"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a request for a slot, with the expected wait in seconds."""

    outcome: Outcome
    wait_s: float = 0.0


@dataclass(slots=True)
class _Grant:
    """A granted slot, with the times of the grant and of its last confirmation."""

    granted_at: float
    confirmed_at: float


@dataclass(slots=True)
class SlotLedger:
    """Slots of one endpoint.

    Attributes
    ----------
    slots : int
        Number of requests that the endpoint runs at the same time.
    queue : FairQueue
        Requests that wait for a slot.
    regretted : int
        Requests that were rejected although a slot came free while they would have
        waited.
    survives_per_s : float or None
        Rejections in a second that the endpoint survives, None if it is not brittle.
    opens_at : float
        Monotonic time from which slots are granted.
    room : int or None
        Requests that fitted when the endpoint last rejected one, None if it has not.

    Notes
    -----
    Load: an endpoint has fewer slots than there are nodes. Without one owner, a slot
    that becomes free is taken by the node that notices it first, which is mostly the
    node with the most requests.
    """

    slots: int
    queue: FairQueue = field(default_factory=FairQueue)
    regretted: int = 0
    survives_per_s: float | None = None
    opens_at: float = -inf
    room: int | None = None
    _room_at: float = -inf
    _growth_interval_s: float = FIRST_GROWTH_INTERVAL_S
    _endpoint_rejections: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_REJECTED)
    )
    _rejected: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_REJECTED))
    _granted: dict[RequestId, _Grant] = field(default_factory=dict)
    _hold_s: float = 0.0

    @property
    def taken(self) -> int:
        """Return the number of slots that are granted."""
        return len(self._granted)

    @property
    def load(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self._granted) + len(self.queue)

    def capacity(self, now: float) -> int:
        """Return how many requests the endpoint may have now."""
        return 0 if now < self.opens_at else self._expected_room(now)

    def _expected_room(self, now: float) -> int:
        """Return how many requests are expected to fit.

        Notes
        -----
        A brittle endpoint that has rejected a request takes less than its slots. More
        is tried one by one, and less and less often while it is rejected.
        """
        if self.survives_per_s is None or self.room is None:
            return self.slots
        survives = max(MIN_REJECTIONS_PER_S, self.survives_per_s)
        caution = max(1.0, SAFE_REJECTIONS_PER_S / survives)
        grown = int((now - self._room_at) / (caution * self._growth_interval_s))
        return min(self.slots, self.room + grown)

    def note_brittleness(self, survives_per_s: float | None) -> None:
        """Set how many rejections in a second the endpoint survives."""
        self.survives_per_s = survives_per_s
        if survives_per_s is None:
            self.room = None
            self._growth_interval_s = FIRST_GROWTH_INTERVAL_S

    def take_over(self, room: int | None, now: float) -> None:
        """Continue with the room that an earlier coordinator has found."""
        self.room, self._room_at = room, now

    def note_rejection(self, request: RequestId, now: float) -> None:
        """Note that the endpoint has rejected a request for want of room."""
        self._granted.pop(request, None)
        if self.room is not None and self._expected_room(now) > self.room:
            interval_s = 2 * self._growth_interval_s
            self._growth_interval_s = min(MAX_GROWTH_INTERVAL_S, interval_s)
        room = min(self._expected_room(now), self.taken)
        self.room, self._room_at = max(1, room), now
        self._endpoint_rejections.append(now)
        recent = sum(now - at <= 1.0 for at in self._endpoint_rejections)
        survives = self.survives_per_s
        if survives is not None and recent >= PAUSE_SHARE * survives:
            self.opens_at = max(self.opens_at, now + 1.0)

    def end_rate(self, now: float) -> float:
        """Return the rate at which all slots become free, per second; 0 if unknown."""
        return self._expected_room(now) / self._hold_s if self._hold_s > 0 else 0.0

    def wait_s(self, waiting: Waiting, now: float) -> float:
        """Return the expected wait of a request that joins now, in seconds."""
        if self.taken < self.capacity(now) and not len(self.queue):
            return 0.0
        rate = self.end_rate(now)
        wait_s = (self.queue.cost_ahead(waiting) + 1) / rate if rate > 0 else 0.0
        return max(wait_s, self.opens_at - now)

    def join(self, waiting: Waiting, now: float) -> Decision:
        """Grant a slot, queue the request, or reject it if it would wait too long."""
        if waiting.request in self._granted:
            return Decision(Outcome.GRANTED)
        if waiting.request in self.queue:
            return Decision(Outcome.QUEUED)
        if self.taken < self.capacity(now) and not len(self.queue):
            self._grant(waiting, now)
            return Decision(Outcome.GRANTED)
        wait_s = self.wait_s(waiting, now)
        if wait_s > FORECAST_SHARE * (waiting.expires_at - now):
            self._rejected.append(waiting.expires_at)
            return Decision(Outcome.REJECTED, wait_s)
        self.queue.join(waiting)
        return Decision(Outcome.QUEUED, wait_s)

    def _grant(self, waiting: Waiting, now: float) -> None:
        self._granted[waiting.request] = _Grant(now, now)

    def grant_free(self, now: float) -> list[Waiting]:
        """Grant the free slots; return the requests that get one."""
        granted = []
        while self.taken < self.capacity(now):
            waiting = self.queue.pop()
            if waiting is None:
                self._count_regretted(now)
                break
            self._grant(waiting, now)
            granted.append(waiting)
        return granted

    def _count_regretted(self, now: float) -> None:
        """Check past rejections when a slot stays free because nobody waits."""
        self.regretted += sum(expires_at > now for expires_at in self._rejected)
        self._rejected.clear()

    def end(self, request: RequestId, now: float) -> None:
        """Free the slot of a request, or remove the request from the queue."""
        granted = self._granted.pop(request, None)
        if granted is None:
            self.queue.leave(request)
            return
        held_s = now - granted.granted_at
        weight = HOLD_WEIGHT if self._hold_s > 0 else 1.0
        self._hold_s += weight * (held_s - self._hold_s)

    def confirm(self, requests: Sequence[RequestId], now: float) -> None:
        """Keep the slots of requests that still run, also of those not known here.

        Notes
        -----
        A coordinator that has just taken over knows no request before this.
        """
        for request in requests:
            grant = self._granted.setdefault(request, _Grant(now, now))
            grant.confirmed_at = now

    def expire(self, now: float) -> list[Waiting]:
        """Free slots of nodes that are gone; return the requests that waited in vain.

        Notes
        -----
        A node that was killed or cut off does not report the end of its requests.
        """
        lost = [
            request
            for request, grant in self._granted.items()
            if now - grant.confirmed_at > GRANT_EXPIRY_S
        ]
        for request in lost:
            del self._granted[request]
        return self.queue.pop_expired(now)
