"""Pauses that endpoints ask for when they refuse a request."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from poplarrelay.entry.endpoints import Endpoint, RunKey
from poplarrelay.identifiers import EndpointId

__all__ = ["BackoffTable"]

_LOG = logging.getLogger("poplarrelay.entry.backoff")


@dataclass(slots=True)
class BackoffTable:
    """Ends of the pauses that endpoints have asked this node for.

    Attributes
    ----------
    rows : mapping of EndpointId to Endpoint
        Rows of the endpoint table.

    Notes
    -----
    A pause concerns one run and one node. The ends are kept by run, since a row is
    removed and added again when its record is away for some seconds.
    """

    rows: Mapping[EndpointId, Endpoint]
    _ends: dict[RunKey, float] = field(default_factory=dict)

    def add(self, row: Endpoint, backoff_s: float, now: float) -> None:
        """Send nothing to an endpoint for some seconds, or longer if asked before."""
        known_end = self._ends.get(row.run, -inf)
        self._ends[row.run] = max(known_end, now + backoff_s)
        if known_end <= now:
            _LOG.info(
                "endpoint asks for pause",
                extra={
                    "endpoint": row.endpoint,
                    "service": row.service,
                    "backoff_s": backoff_s,
                },
            )
        row.backoff_until = self._ends[row.run]
        listed = self.rows.get(row.endpoint)
        if listed is not None:
            self.restore(listed)

    def restore(self, row: Endpoint) -> None:
        """Set the end of the pause of the run in a new row."""
        row.backoff_until = self._ends.get(row.run, -inf)

    def forget(self, now: float) -> None:
        """Drop the pauses that have ended."""
        self._ends = {run: end for run, end in self._ends.items() if end > now}
