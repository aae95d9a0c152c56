"""Requests that wait in a node for an endpoint with room."""

from __future__ import annotations

import heapq
from asyncio import Future
from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrelay.entry.choosing import Choice, SelectionCriteria
from poplarrelay.entry.configuration import Route, ServiceName

__all__ = [
    "PermitDenied",
    "RequestQueue",
    "Waiter",
    "bound_retry_after",
    "max_queue_wait",
    "retry_after",
]

#: Part of the route's target for which a request may wait for a place. Beyond it the
#: answer would be late anyway; told early, the caller can come back in time.
WAIT_SHARE = 0.7
#: Part of the caller's patience that it gives up to wait before coming back; callers
#: shorten longer waits to this.
PATIENCE_SHARE = 1 / 3
#: Shortest time to come back after, in seconds, so that a full service is not asked
#: again before one of its requests has ended.
LEAST_RETRY_S = 0.05


def max_queue_wait(route: Route, remaining_s: float) -> float:
    """Return how long a request may wait for a place before it is refused.

    Parameters
    ----------
    route : Route
        Its route.
    remaining_s : float
        Time until nobody waits for the answer any more.
    """
    return max(0.0, min(WAIT_SHARE * route.target_s, 0.5 * remaining_s))


def bound_retry_after(wait_s: float, remaining_s: float) -> float:
    """Return a time to come back after that a caller keeps to, in seconds."""
    return max(LEAST_RETRY_S, min(wait_s, PATIENCE_SHARE * remaining_s))


def retry_after(waiting: int, rate: float, remaining_s: float) -> float:
    """Return when a refused caller shall come back, in seconds.

    Parameters
    ----------
    waiting : int
        Requests that wait before it.
    rate : float
        Requests a second that the service has lately ended on this node.
    remaining_s : float
        What is left of the caller's patience.

    Notes
    -----
    Callers come back in the order in which places come free: the one refused behind
    ten others is told ten times the usual time between two ends. Nobody is sent away
    for longer than it would stay away.
    """
    until_free = (waiting + 1) / max(rate, 1.0)
    return bound_retry_after(until_free, remaining_s)


@dataclass(frozen=True, slots=True)
class PermitDenied:
    """Result for a waiting request that no permit is expected to reach in time.

    Attributes
    ----------
    wait_s : float
        Seconds until a permit is expected.
    """

    wait_s: float


@dataclass(order=True, slots=True)
class Waiter:
    """A request in the queue; the order is the order of service.

    Attributes
    ----------
    priority : int
        Rank of the request; 0 goes first.
    sequence : int
        Order of arrival.
    until : float
        Monotonic time at which the wait times out.
    """

    priority: int
    sequence: int
    criteria: SelectionCriteria = field(compare=False)
    slot: Future[Choice | PermitDenied] = field(compare=False)
    until: float = field(compare=False, default=float("inf"))


@dataclass(slots=True)
class RequestQueue:
    """The queues of all services on one node.

    Notes
    -----
    A full endpoint refuses at once, and each refusal counts against the budget of
    repeated sends that all nodes share. Waiting in the node costs nothing, and lets
    urgent requests pass patient ones.
    """

    queues: dict[ServiceName, list[Waiter]] = field(default_factory=dict)
    arrivals: int = 0

    def join(
        self,
        service: ServiceName,
        priority: int,
        criteria: SelectionCriteria,
        slot: Future[Choice | PermitDenied],
        until: float = float("inf"),
    ) -> Waiter:
        """Add a request to a service's queue."""
        self.arrivals += 1
        waiter = Waiter(priority, self.arrivals, criteria, slot, until)
        heapq.heappush(self.queues.setdefault(service, []), waiter)
        return waiter

    def length(self, service: ServiceName) -> int:
        """Return how many requests wait for a service."""
        queue = self.queues.get(service, ())
        return sum(1 for waiter in queue if not waiter.slot.done())

    def pending(self, service: ServiceName) -> list[Waiter]:
        """Return the requests waiting for a service, in the order of service."""
        queue = self.queues.get(service, ())
        return sorted(waiter for waiter in queue if not waiter.slot.done())

    def serve(
        self, service: ServiceName, choose: Callable[[SelectionCriteria], Choice | None]
    ) -> None:
        """Give places to waiting requests, as long as there are any.

        Parameters
        ----------
        service : ServiceName
            Whose queue.
        choose : callable
            Takes a place for a request, or returns None if it has none.
        """
        queue = self.queues.get(service)
        passed: list[Waiter] = []
        while queue:
            waiter = heapq.heappop(queue)
            if waiter.slot.done():
                continue
            choice = choose(waiter.criteria)
            if choice is None:
                passed.append(waiter)
                # One that has tried some endpoints may find no place where the
                # next one does; looking past a few keeps it from blocking them.
                if len(passed) >= 4:
                    break
                continue
            waiter.slot.set_result(choice)
        for waiter in passed:
            heapq.heappush(queue or self.queues.setdefault(service, []), waiter)
