"""Weighted max-min shares of the teams that compete for a service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from poplarrelay.identifiers import TeamId

__all__ = ["FractionMarker", "ShareMarker", "max_min_shares"]


def max_min_shares(
    demands: Mapping[TeamId, float],
    weights: Mapping[TeamId, float],
    capacity: float,
) -> dict[TeamId, float]:
    """Return the weighted max-min share of each team.

    Parameters
    ----------
    demands : mapping of TeamId to float
        What each team asks for, per second.
    weights : mapping of TeamId to float
        Weights of the teams, 1 for those that are missing.
    capacity : float
        What the service can do for all teams together, per second.

    Examples
    --------
    >>> max_min_shares({"a": 400.0, "b": 8.0, "c": 40.0}, {}, 80.0)
    {'a': 36.0, 'b': 8.0, 'c': 36.0}
    """
    shares: dict[TeamId, float] = {}
    left = max(0.0, capacity)
    waiting = {team: weights.get(team, 1.0) for team in demands}
    for team in sorted(waiting, key=lambda t: demands[t] / weights.get(t, 1.0)):
        level = left / sum(waiting.values())
        shares[team] = min(demands[team], level * waiting.pop(team))
        left -= shares[team]
    return {team: shares[team] for team in demands}


@dataclass(slots=True)
class FractionMarker:
    """Marks a fraction of the requests of each group, by cost.

    Notes
    -----
    Of any series of requests, the marked cost differs from the fraction by no more than
    the largest cost, and large requests are marked as often as small ones.
    """

    _credits: dict[str, float] = field(default_factory=dict)

    def mark(self, group: str, fraction: float, cost: float) -> bool:
        """Return whether a request belongs to the marked ones of its group."""
        credit = self._credits.get(group, 0.0) + fraction * cost
        marked = credit >= cost / 2
        self._credits[group] = credit - cost if marked else credit
        return marked


@dataclass(slots=True)
class ShareMarker:
    """Marks the requests that are within their team's share of a service.

    Attributes
    ----------
    fractions : dict of TeamId to float
        Part of its demand that each team's share covers; teams that are missing ask for
        less than their share.

    Notes
    -----
    Load: a team sends several times its share while engines are short. All nodes
    know the same fractions, so each marks that part of its own callers' requests,
    and no node needs a part of the share of its own.
    """

    fractions: dict[TeamId, float] = field(default_factory=dict)
    _marker: FractionMarker = field(default_factory=FractionMarker)

    def mark(self, team: TeamId, cost: float) -> bool:
        """Return whether a request is within the share of its team."""
        fraction = self.fractions.get(team)
        return fraction is None or self._marker.mark(team, fraction, cost)
