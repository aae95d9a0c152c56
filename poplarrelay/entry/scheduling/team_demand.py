"""Demand of the teams for services that are short of capacity, over all nodes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.scheduling.shares import max_min_shares
from poplarrelay.identifiers import TeamId

__all__ = ["TeamDemand", "contended_services", "share_fractions"]

#: Seconds over which rates are computed.
WINDOW_S = 2.0
#: Seconds for which a service counts as short after a request that shows it.
SHORT_S = 3.0
#: Part of a team's demand that its share must at least cover. The rates of different
#: nodes are of different times; a team that is just below its share keeps it.
TOLERANCE = 0.95

#: Names in the rows, after the service and a separator: the rate of served work, and
#: the mark of a node at which the service is short. Teams have their own names.
SEPARATOR, SERVED, SHORT = "\n", "\x01", "\x02"


def _key(service: ServiceName, name: str) -> ServiceName:
    return ServiceName(f"{service}{SEPARATOR}{name}")


@dataclass(slots=True)
class TeamDemand:
    """Demand of this node's callers for each service, by team.

    Notes
    -----
    Reports travel in the rows of nodes and the summaries of cells, as further entries
    of the demand by service; versions without them add them up and ignore them.
    Nothing is reported while no service is short.
    """

    _asked: deque[tuple[float, ServiceName, TeamId, float]] = field(
        default_factory=deque
    )
    _served: deque[tuple[float, ServiceName, float]] = field(default_factory=deque)
    _short_until: dict[ServiceName, float] = field(default_factory=dict)

    def note_asked(
        self, service: ServiceName, team: TeamId, cost: float, now: float
    ) -> None:
        """Count a request of a team."""
        self._asked.append((now, service, team, cost))

    def note_served(self, service: ServiceName, cost: float, now: float) -> None:
        """Count a request that an endpoint has begun to answer."""
        self._served.append((now, service, cost))

    def note_short(self, service: ServiceName, now: float) -> None:
        """Record that a request has shown the service to be short."""
        self._short_until[service] = now + SHORT_S

    def report(
        self, contended: Iterable[ServiceName], now: float
    ) -> dict[ServiceName, int]:
        """Return the entries of this node's row, in units of cost per second.

        Parameters
        ----------
        contended : iterable of ServiceName
            Services that are short at any node.
        now : float
            Monotonic time.
        """
        while self._asked and now - self._asked[0][0] > WINDOW_S:
            self._asked.popleft()
        while self._served and now - self._served[0][0] > WINDOW_S:
            self._served.popleft()
        sums: dict[ServiceName, float] = {}
        wanted = set(contended)
        for _, service, team, cost in self._asked:
            if service in wanted:
                key = _key(service, team)
                sums[key] = sums.get(key, 0.0) + cost / WINDOW_S
        for _, service, cost in self._served:
            if service in wanted:
                key = _key(service, SERVED)
                sums[key] = sums.get(key, 0.0) + cost / WINDOW_S
        entries = {key: round(rate) for key, rate in sums.items()}
        for service, until in self._short_until.items():
            if until > now:
                entries[_key(service, SHORT)] = 1
        return entries


def contended_services(demand: Mapping[ServiceName, float]) -> set[ServiceName]:
    """Return the services that are short at any node, by the sums of all rows."""
    found = set()
    for key in demand:
        service, separator, name = key.partition(SEPARATOR)
        if separator and name == SHORT:
            found.add(ServiceName(service))
    return found


def share_fractions(
    demand: Mapping[ServiceName, float],
    service: ServiceName,
    weights: Mapping[TeamId, float],
) -> dict[TeamId, float]:
    """Return the part of its demand that each contending team's share covers.

    Parameters
    ----------
    demand : mapping of ServiceName to float
        Sums of the entries of all nodes.
    service : ServiceName
        A service that is short.
    weights : mapping of TeamId to float
        Weights of the teams.
    """
    prefix = f"{service}{SEPARATOR}"
    entries = {
        key[len(prefix) :]: rate
        for key, rate in demand.items()
        if key.startswith(prefix)
    }
    capacity = entries.pop(SERVED, 0.0)
    entries.pop(SHORT, None)
    demands = {TeamId(team): rate for team, rate in entries.items() if rate > 0}
    if capacity <= 0 or sum(demands.values()) <= capacity:
        return {}
    shares = max_min_shares(demands, weights, capacity)
    fractions = {team: shares[team] / demands[team] for team in demands}
    return {team: f for team, f in fractions.items() if f < TOLERANCE}
