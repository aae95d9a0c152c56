"""Queue of the requests that wait at a node for a free slot at an endpoint."""

from __future__ import annotations

import heapq
from asyncio import Future
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from poplarrelay.entry.configuration import Route, ServiceName
from poplarrelay.entry.outcomes import RefusalReason
from poplarrelay.entry.scheduling.choosing import Choice, SelectionCriteria
from poplarrelay.entry.scheduling.fair_queue import StartTags
from poplarrelay.identifiers import TeamId

__all__ = [
    "MIN_RETURN_S",
    "RequestQueue",
    "NO_TEAM",
    "QueuedRequest",
    "SlotUnavailable",
    "bound_retry_after",
    "max_queue_wait",
    "retry_after",
    "retry_after_backoff",
    "spread_return",
]

#: Maximum wait for a slot as a fraction of the route's latency target. After a longer
#: wait the answer would be late anyway; an early refusal lets the caller retry in time.
WAIT_SHARE = 0.7
#: Maximum retry delay as a fraction of the caller's remaining time. Callers shorten
#: longer delays to this fraction.
RETRY_WAIT_SHARE = 1 / 3
#: Minimum retry delay in seconds, so that a caller does not retry at a full service
#: before any of the service's requests has ended.
MIN_RETRY_S = 0.05
#: Time over which the callers that a pause has refused return after its end: a share of
#: the rest of the pause, and at least some seconds.
RETURN_SHARE = 0.5
MIN_RETURN_S = 0.5


def max_queue_wait(route: Route, remaining_s: float) -> float:
    """Return the maximum time that a request waits for a slot, in seconds.

    Parameters
    ----------
    route : Route
        Route of the request.
    remaining_s : float
        Seconds until the request's deadline.
    """
    return max(0.0, min(WAIT_SHARE * route.target_s, 0.5 * remaining_s))


def bound_retry_after(wait_s: float, remaining_s: float) -> float:
    """Return the wait, limited to a retry delay that callers respect, in seconds."""
    return max(MIN_RETRY_S, min(wait_s, RETRY_WAIT_SHARE * remaining_s))


def spread_return(wait_s: float, rng: Random) -> float:
    """Return a random retry delay from the wait to one and a half times as long.

    Notes
    -----
    Callers that are rejected in the same moment have the same wait. If they all
    returned after it, they would be rejected together again.
    """
    return wait_s * (1 + RETURN_SHARE * rng.random())


def retry_after_backoff(backoff_s: float, rng: Random) -> float:
    """Return a retry delay beyond the end of a pause, in seconds.

    Notes
    -----
    The delay is not limited to what callers wait: a caller that returned before the end
    would be refused again. It is random, so that callers do not all return at the end.
    """
    return backoff_s + rng.random() * max(MIN_RETURN_S, RETURN_SHARE * backoff_s)


def retry_after(queued_ahead: int, rate: float, remaining_s: float) -> float:
    """Return the delay after which a refused caller should retry, in seconds.

    Parameters
    ----------
    queued_ahead : int
        Number of requests in the queue.
    rate : float
        Requests of the service that recently ended at this node, per second.
    remaining_s : float
        Seconds until the caller's deadline.

    Notes
    -----
    The delay grows with the queue, so callers retry in the order in which slots
    become free: with ten requests ahead, the delay is about ten times the mean time
    between two ends of requests. The delay is never longer than callers wait.
    """
    until_free_s = (queued_ahead + 1) / max(rate, 1.0)
    return bound_retry_after(until_free_s, remaining_s)


#: Team of requests that are served in the order of their arrival.
NO_TEAM = TeamId("")


@dataclass(frozen=True, slots=True)
class SlotUnavailable:
    """Reason why no endpoint can take a request yet, whatever its free slots.

    Attributes
    ----------
    wait_s : float
        Seconds until an endpoint can be expected to take the request.
    reason : RefusalReason
        `LIMITED`, `BACKOFF` or `VERSION_GONE`.
    """

    wait_s: float
    reason: RefusalReason


@dataclass(order=True, slots=True)
class QueuedRequest:
    """Request in the queue; instances sort in the order of service.

    Attributes
    ----------
    priority : int
        Priority of the request; 0 is served first.
    start : float
        Start tag among the requests of this priority; see `StartTags`.
    sequence : int
        Number in the order of arrival.
    expires_at : float
        Monotonic time at which the wait times out.
    future : Future
        Receives the result of the wait.
    """

    priority: int
    start: float
    sequence: int
    criteria: SelectionCriteria = field(compare=False)
    future: Future[Choice | SlotUnavailable] = field(compare=False)
    expires_at: float = field(compare=False, default=float("inf"))


@dataclass(slots=True)
class RequestQueue:
    """The queues of all services on one node.

    Notes
    -----
    A full endpoint refuses requests immediately, and each refusal uses up part of the
    retry budget that all nodes share. Waiting at the node uses no budget, and urgent
    requests can overtake others. Requests of equal priority are served in the order of
    start-time fair queueing, so that the flood of one team does not fill the queue.
    """

    queues: dict[ServiceName, list[QueuedRequest]] = field(default_factory=dict)
    tags: dict[ServiceName, StartTags] = field(default_factory=dict)
    arrivals: int = 0

    def join(
        self,
        service: ServiceName,
        priority: int,
        criteria: SelectionCriteria,
        future: Future[Choice | SlotUnavailable],
        expires_at: float = float("inf"),
        team: TeamId = NO_TEAM,
        weight: float = 1.0,
    ) -> QueuedRequest:
        """Add a request of a team to a service's queue."""
        self.arrivals += 1
        tags = self.tags.setdefault(service, StartTags())
        start = tags.assign(priority, team, 1 / weight)
        queued = QueuedRequest(
            priority, start, self.arrivals, criteria, future, expires_at
        )
        heapq.heappush(self.queues.setdefault(service, []), queued)
        return queued

    def length(self, service: ServiceName) -> int:
        """Return the number of requests that wait for a service."""
        queue = self.queues.get(service, ())
        return sum(1 for queued in queue if not queued.future.done())

    def pending(self, service: ServiceName) -> list[QueuedRequest]:
        """Return the requests that wait for a service, in the order of service."""
        queue = self.queues.get(service, ())
        return sorted(queued for queued in queue if not queued.future.done())

    def serve(
        self, service: ServiceName, choose: Callable[[SelectionCriteria], Choice | None]
    ) -> None:
        """Assign free slots to queued requests until no slot is left.

        Parameters
        ----------
        service : ServiceName
            Service whose queue is served.
        choose : callable
            Acquires a slot for a request, or returns None if no slot is free.
        """
        queue = self.queues.get(service)
        skipped: list[QueuedRequest] = []
        while queue:
            queued = heapq.heappop(queue)
            if queued.future.done():
                continue
            choice = choose(queued.criteria)
            if choice is None:
                skipped.append(queued)
                # A request that has already tried some endpoints cannot use their
                # slots, but the next request can. Skipping a few requests keeps
                # such a request from blocking the queue.
                if len(skipped) >= 4:
                    break
                continue
            self.tags[service].note_served(queued.priority, queued.start)
            queued.future.set_result(choice)
        if not queue and not skipped and service in self.tags:
            self.tags[service].clear()
        for queued in skipped:
            heapq.heappush(queue or self.queues.setdefault(service, []), queued)
