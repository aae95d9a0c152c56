"""Endpoints that fall over when they must reject many requests.

Notes
-----
An endpoint states how many rejections in a second it survives, over the requests of all
nodes. Nodes that learned from rejections one by one would cause that many together, so
while a service is brittle, requests are sent only to slots that the coordinator of an
endpoint has granted; see `SlotBroker`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint, EndpointTable, RunKey

__all__ = ["BrittlenessTable", "StatedBrittleness"]

_LOG = logging.getLogger("poplarrelay.entry.brittleness")

#: Seconds after the last answer that states it for which an endpoint counts as brittle.
#: An endpoint without answers for so long has no load.
STATEMENT_VALID_S = 10.0
#: Seconds for which a service counts as brittle although none of its endpoints has
#: answered: all of them may have fallen.
SERVICE_VALID_S = 5.0
#: Requests without a granted slot, as a share of the rejections that are survived.
UNCONFIRMED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class StatedBrittleness:
    """Brittleness stated in an endpoint's answer.

    Attributes
    ----------
    rejections_per_s : float or None
        Rejections in a second that the endpoint survives, None if it states none.
    readable : bool
        False if the answer states it without a valid value.
    """

    rejections_per_s: float | None = None
    readable: bool = True


@dataclass(frozen=True, slots=True)
class _Statement:
    """Brittleness of one run, and the monotonic time at which it was stated."""

    rejections_per_s: float | None
    at: float


@dataclass(slots=True)
class BrittlenessTable:
    """Brittleness of the endpoints, by run.

    Attributes
    ----------
    endpoints : EndpointTable
        Table of endpoints.
    on_change : callable
        Called with an endpoint and its brittleness when an answer has changed it.
    unreadable : int
        Number of answers with an invalid value.
    """

    endpoints: EndpointTable
    on_change: Callable[[Endpoint, float | None], None] = lambda row, per_s: None
    unreadable: int = 0
    _statements: dict[RunKey, _Statement] = field(default_factory=dict)
    _services: dict[ServiceName, _Statement] = field(default_factory=dict)
    _last_turns: dict[ServiceName, int] = field(default_factory=dict)

    def note(
        self, row: Endpoint, stated: StatedBrittleness, sent_at: float, now: float
    ) -> None:
        """Store what an answer states.

        Parameters
        ----------
        row : Endpoint
            Endpoint that sent the answer.
        stated : StatedBrittleness
            Brittleness stated in the answer.
        sent_at : float
            Monotonic time at which the request was sent.
        now : float
            Monotonic time.
        """
        if not stated.readable:
            self.unreadable += 1
            _LOG.warning("brittleness unreadable", extra={"endpoint": row.endpoint})
            return
        known = self._statements.get(row.run)
        if stated.rejections_per_s is None and (known is None or sent_at < known.at):
            # An answer to an earlier request does not show that a statement has ended.
            return
        if self._store(row, _Statement(stated.rejections_per_s, now), "answer"):
            self.on_change(row, stated.rejections_per_s)

    def receive(
        self, row: Endpoint, per_s: float | None, stated_at: float, host: str
    ) -> None:
        """Store a statement that a peer has received, unless it is older."""
        known = self._statements.get(row.run)
        if known is None or stated_at > known.at:
            self._store(row, _Statement(per_s, stated_at), f"peer {host}")

    def _store(self, row: Endpoint, statement: _Statement, source: str) -> bool:
        """Store a statement, log a change, and return whether there is one."""
        known = self._statements.get(row.run, _Statement(None, -inf))
        self._statements[row.run] = statement
        if known.rejections_per_s == statement.rejections_per_s:
            return False
        _LOG.info(
            "endpoint brittle",
            extra={
                "endpoint": row.endpoint,
                "service": row.service,
                "rejections_per_s": statement.rejections_per_s,
                "source": source,
            },
        )
        return True

    def of(self, service: ServiceName, now: float) -> float | None:
        """Return the rejections in a second that a service's endpoints survive.

        Returns
        -------
        float or None
            The lowest statement of its endpoints, None if the service is not brittle.
        """
        if not self._statements:
            return None
        rows = self.endpoints.of(service)
        stated = [s for row in rows if (s := self._statements.get(row.run)) is not None]
        limits = [
            each.rejections_per_s
            for each in stated
            if each.rejections_per_s is not None and now - each.at <= STATEMENT_VALID_S
        ]
        if limits:
            self._services[service] = _Statement(min(limits), now)
            return min(limits)
        last = self._services.get(service)
        if last is None or now - last.at > SERVICE_VALID_S or stated:
            return None
        return last.rejections_per_s

    def take_unconfirmed(
        self, service: ServiceName, survives: float, rank: int, nodes: int, wall: float
    ) -> bool:
        """Return whether a request may be sent without a granted slot.

        The nodes take turns by the time of day, so that the endpoints survive it if all
        such requests of all nodes are rejected.

        Parameters
        ----------
        service : ServiceName
            The service.
        survives : float
            Rejections in a second that its endpoints survive.
        rank : int
            Position of this node in the order of all nodes.
        nodes : int
            Number of nodes.
        wall : float
            Time of day in seconds, about the same at all nodes.
        """
        turn = int(wall * UNCONFIRMED_SHARE * survives)
        last_turn = self._last_turns.get(service, -1)
        if survives < 1 or turn % nodes != rank or turn <= last_turn:
            return False
        self._last_turns[service] = turn
        return True

    def forget(self, now: float) -> None:
        """Drop the statements that no longer count."""
        self._statements = {
            run: statement
            for run, statement in self._statements.items()
            if now - statement.at <= STATEMENT_VALID_S
        }
