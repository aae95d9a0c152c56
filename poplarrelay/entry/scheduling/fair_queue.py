"""Queue that is fair between teams and serves urgent requests first."""

from __future__ import annotations

from dataclasses import dataclass, field

from poplarrelay.identifiers import RequestId, TeamId

__all__ = ["PATIENT_SHARE", "FairQueue", "StartTags", "Waiting"]

#: Share of the served cost that goes to requests of lower priority while urgent ones
#: wait too, so that a lasting urgent load starves nobody.
PATIENT_SHARE = 0.1


@dataclass(slots=True)
class StartTags:
    """Start tags of start-time fair queueing, by priority and team.

    Notes
    -----
    The start tag of a request is the virtual time or the finish tag of its team's
    previous request, whichever is later. The virtual time is the start tag of the
    request that was served last.

    References
    ----------
    .. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    _virtual: dict[int, float] = field(default_factory=dict)
    _finish: dict[tuple[int, TeamId], float] = field(default_factory=dict)

    def peek(self, priority: int, team: TeamId) -> float:
        """Return the start tag of a team's next request."""
        finish = self._finish.get((priority, team), 0.0)
        return max(self._virtual.get(priority, 0.0), finish)

    def assign(self, priority: int, team: TeamId, work: float) -> float:
        """Return the start tag of a request; `work` is its cost over its weight."""
        start = self.peek(priority, team)
        self._finish[priority, team] = start + work
        return start

    def take_back(self, priority: int, team: TeamId, work: float, start: float) -> None:
        """Take back the work of a request that is not served."""
        key = (priority, team)
        self._finish[key] = max(start, self._finish.get(key, start) - work)

    def note_served(self, priority: int, start: float) -> None:
        """Advance the virtual time to the start tag of a request that is served."""
        self._virtual[priority] = max(self._virtual.get(priority, 0.0), start)

    def clear(self) -> None:
        """Forget all tags: without a queue, no team has taken more than its share."""
        self._virtual.clear()
        self._finish.clear()


@dataclass(slots=True)
class Waiting:
    """A request that waits for a slot.

    Attributes
    ----------
    node : str
        Host of the node that serves the request's caller.
    priority : int
        Priority of the request; 0 is served first.
    cost : float
        Work that the request causes, in any unit.
    weight : float
        Weight of the team; its share of a contended service is proportional to it.
    expires_at : float
        Monotonic time after which a slot is of no use to the request.
    """

    request: RequestId
    node: str
    team: TeamId
    priority: int
    cost: float
    weight: float
    expires_at: float
    _start: float = 0.0
    _number: int = 0

    @property
    def work(self) -> float:
        """Return the cost relative to the team's weight."""
        return self.cost / self.weight

    @property
    def order(self) -> tuple[float, int]:
        """Return the position among requests of the same priority."""
        return (self._start, self._number)


@dataclass(slots=True)
class FairQueue:
    """Requests that wait for the slots of one endpoint.

    Notes
    -----
    Load: one team sends several times what an endpoint can run while others ask for
    less than their share.

    Start-time fair queueing within each priority. A team that asks for less than its
    share is always near the front, and what it leaves goes to the others, so the shares
    are max-min fair and no slot is idle.
    """

    _waiting: dict[RequestId, Waiting] = field(default_factory=dict)
    _tags: StartTags = field(default_factory=StartTags)
    _numbers: int = 0
    _patient_credit: float = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: RequestId) -> bool:
        return request in self._waiting

    def cost_ahead(self, waiting: Waiting) -> float:
        """Return the cost of the requests that are served before one that joins now."""
        start = self._tags.peek(waiting.priority, waiting.team)
        return sum(
            each.cost
            for each in self._waiting.values()
            if each.priority < waiting.priority
            or (each.priority == waiting.priority and each._start <= start)
        )

    def join(self, waiting: Waiting) -> None:
        """Add a request."""
        self._numbers += 1
        waiting._number = self._numbers
        waiting._start = self._tags.assign(waiting.priority, waiting.team, waiting.work)
        self._waiting[waiting.request] = waiting

    def leave(self, request: RequestId) -> Waiting | None:
        """Remove a request that no longer waits.

        Its team's next requests take its place: a caller that left has used nothing.
        """
        waiting = self._waiting.pop(request, None)
        if waiting is None:
            return None
        line = (waiting.priority, waiting.team)
        for each in self._waiting.values():
            if (each.priority, each.team) == line and each._number > waiting._number:
                each._start = max(waiting._start, each._start - waiting.work)
        self._tags.take_back(*line, waiting.work, waiting._start)
        return waiting

    def pop(self) -> Waiting | None:
        """Remove and return the request that is served next, None if none waits."""
        if not self._waiting:
            return None
        priorities = sorted({each.priority for each in self._waiting.values()})
        chosen = priorities[0]
        if len(priorities) > 1 and self._patient_credit >= 1:
            oldest = min(
                (w for w in self._waiting.values() if w.priority != chosen),
                key=lambda each: each._number,
            )
            chosen = oldest.priority
        head = min(
            (w for w in self._waiting.values() if w.priority == chosen),
            key=lambda each: each.order,
        )
        self._count_served(chosen == priorities[0], len(priorities) > 1)
        del self._waiting[head.request]
        self._tags.note_served(chosen, head._start)
        if not self._waiting:
            self._tags.clear()
        return head

    def _count_served(self, urgent: bool, contended: bool) -> None:
        if not urgent:
            self._patient_credit -= 1
        elif contended:
            self._patient_credit = min(2.0, self._patient_credit + PATIENT_SHARE)

    def pop_expired(self, now: float) -> list[Waiting]:
        """Remove and return the requests to which a slot is of no use any more."""
        expired = [each for each in self._waiting.values() if each.expires_at <= now]
        for each in expired:
            self.leave(each.request)
        return expired
