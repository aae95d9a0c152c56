"""Departures that endpoints state in their answers.

Notes
-----
A departure is final for the run that states it. It is stored by run and apart from the
endpoint's record, so neither an older record nor a peer's older list can undo it.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

from poplarrelay.entry.endpoints import Endpoint, RunKey
from poplarrelay.identifiers import EndpointId, StartTime

__all__ = ["DepartureTable"]

_LOG = logging.getLogger("poplarrelay.entry.departures")

#: Seconds for which a departure is kept, far longer than an endpoint takes to leave.
DEPARTURE_MEMORY_S = 300.0
#: Maximum number of departures; older ones are dropped.
MAX_DEPARTURES = 4096
#: Number of datagrams in which a departure is sent, because some datagrams are lost.
SENDS_PER_DEPARTURE = 3
#: Maximum number of departures in one datagram.
MAX_DEPARTURES_SENT = 100


@dataclass(slots=True)
class DepartureTable:
    """Runs of endpoints that have stated that they leave.

    Attributes
    ----------
    rows : mapping of EndpointId to Endpoint
        Rows of the endpoint table.
    on_change : callable
        Called after a departure that was not known before.
    """

    rows: Mapping[EndpointId, Endpoint]
    on_change: Callable[[], None] = lambda: None
    _stated_at: OrderedDict[RunKey, float] = field(default_factory=OrderedDict)
    _sends_left: dict[RunKey, int] = field(default_factory=dict)

    def includes(self, row: Endpoint) -> bool:
        """Return whether the run of an endpoint has stated that it leaves."""
        return row.run in self._stated_at

    def add(self, rows: Iterable[Endpoint], now: float) -> None:
        """Record that the runs in the given rows have stated their departure."""
        added = [self._add(row.run, now, "answer") for row in rows]
        if any(added):
            self.on_change()

    def _add(self, run: RunKey, stated_at: float, source: str) -> bool:
        if run in self._stated_at:
            return False
        self._stated_at[run] = stated_at
        self._sends_left[run] = SENDS_PER_DEPARTURE
        if len(self._stated_at) > MAX_DEPARTURES:
            self._drop(next(iter(self._stated_at)))
        endpoint, _ = run
        row = self.rows.get(endpoint)
        if row is not None and row.run == run:
            row.departure_stated = True
        _LOG.info(
            "endpoint states departure",
            extra={
                "endpoint": endpoint,
                "service": None if row is None else row.service,
                "source": source,
            },
        )
        return True

    def _drop(self, run: RunKey) -> None:
        del self._stated_at[run]
        self._sends_left.pop(run, None)

    def forget(self, now: float) -> None:
        """Drop the departures that are older than `DEPARTURE_MEMORY_S`."""
        for run, stated_at in list(self._stated_at.items()):
            if now - stated_at > DEPARTURE_MEMORY_S:
                self._drop(run)

    # exchange with peers

    def resend(self) -> None:
        """Send all departures again, for a node that has started."""
        self._sends_left = dict.fromkeys(self._stated_at, SENDS_PER_DEPARTURE)

    def outgoing(self, now: float) -> list[list[Any]]:
        """Return the departures for the next datagram."""
        runs = list(self._sends_left)[:MAX_DEPARTURES_SENT]
        for run in runs:
            self._sends_left[run] -= 1
            if self._sends_left[run] <= 0:
                del self._sends_left[run]
        return [self._encode(run, now) for run in runs]

    def all(self, now: float) -> list[list[Any]]:
        """Return all departures, for a peer that reads this node's complete state."""
        return [self._encode(run, now) for run in self._stated_at]

    def _encode(self, run: RunKey, now: float) -> list[Any]:
        return [*run, round(now - self._stated_at[run], 2)]

    def receive(self, raw: Iterable[list[Any]], peer: str, now: float) -> None:
        """Record the departures that a peer has sent.

        Raises
        ------
        ValueError or TypeError
            If a departure is malformed.
        """
        added = []
        for endpoint, started_ms, age_s in raw:
            run = (
                EndpointId(str(endpoint)),
                None if started_ms is None else StartTime(int(started_ms)),
            )
            age = max(0.0, float(age_s))
            if not isfinite(age):
                raise ValueError(f"invalid age: {age_s!r}")
            if age <= DEPARTURE_MEMORY_S:
                added.append(self._add(run, now - age, f"peer {peer}"))
        if any(added):
            self.on_change()
