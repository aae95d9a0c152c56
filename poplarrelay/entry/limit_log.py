"""Log lines that say when a limit of the process is reached, and when no longer."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field

from poplarrelay.entry.caller_budget import CallerBudget, Limit, Reaction

__all__ = ["LimitLog"]

_LOG = logging.getLogger("poplarrelay.entry")

#: Seconds without a closed or refused one after which a limit is no longer reached.
QUIET_S = 5.0


@dataclass(slots=True)
class LimitLog:
    """Writes one line when a limit is reached, and one when it no longer is.

    Attributes
    ----------
    budget : CallerBudget
        Budget whose reactions are logged.
    """

    budget: CallerBudget
    _seen: Counter[tuple[Limit, str, Reaction]] = field(default_factory=Counter)
    _before: dict[tuple[Limit, str], Counter[str]] = field(default_factory=dict)
    _last_at: dict[tuple[Limit, str], float] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Write the lines that are due."""
        for key, count in self.budget.reactions.items():
            if count == self._seen[key]:
                continue
            limit, listener, _ = key
            if (limit, listener) not in self._last_at:
                self._begin(limit, listener)
            self._seen[key] = count
            self._last_at[limit, listener] = now
        for (limit, listener), last_at in list(self._last_at.items()):
            if now - last_at > QUIET_S:
                del self._last_at[limit, listener]
                self._end(limit, listener)

    def _counts(self, limit: Limit, listener: str) -> Counter[str]:
        return Counter(
            {
                reaction.value: self._seen[limit, listener, reaction]
                for reaction in Reaction
            }
        )

    def _begin(self, limit: Limit, listener: str) -> None:
        budget = self.budget
        self._before[limit, listener] = self._counts(limit, listener)
        extra = {
            "limit": limit.value,
            "listener": listener,
            "connections": budget.connections(listener),
            "max_connections": budget.limit_of(listener),
            "held_bytes": budget.held_bytes,
            "pinned_bytes": budget.pinned_bytes,
            "max_held_bytes": budget.capacity.held_bytes,
        }
        _LOG.warning("limit reached", extra=extra)

    def _end(self, limit: Limit, listener: str) -> None:
        counts = self._counts(limit, listener)
        counts.subtract(self._before.pop((limit, listener)))
        extra = {"limit": limit.value, "listener": listener, **counts}
        _LOG.info("limit no longer reached", extra=extra)
