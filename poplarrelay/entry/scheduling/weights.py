"""Weights of teams in the division of a contended service."""

from __future__ import annotations

from collections.abc import Mapping

from poplarrelay.entry.configuration import Team
from poplarrelay.identifiers import TeamId

__all__ = ["DEFAULT_WEIGHT", "team_weight"]

#: Weight of a team without a quota, and of requests without a team.
DEFAULT_WEIGHT = 1.0


def team_weight(team: Team | None, teams: Mapping[TeamId, Team]) -> float:
    """Return the weight of a team: its quota relative to the mean of all quotas.

    Notes
    -----
    Only quotas in the same unit are compared.

    Examples
    --------
    >>> team_weight(None, {})
    1.0
    """
    if team is None or team.quota is None or team.quota.per_s <= 0:
        return DEFAULT_WEIGHT
    rates = [
        each.quota.per_s
        for each in teams.values()
        if each.quota is not None
        and each.quota.per_s > 0
        and each.quota.in_tokens == team.quota.in_tokens
    ]
    if team.name not in teams or not rates:
        return DEFAULT_WEIGHT
    return team.quota.per_s * len(rates) / sum(rates)
