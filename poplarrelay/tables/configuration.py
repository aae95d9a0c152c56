"""The configuration in force, folded from the log."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from poplarrelay.configuration.policy import TeamPolicy
from poplarrelay.configuration.schema import Deployment, Template
from poplarrelay.identifiers import Offset, TeamId

__all__ = ["ChangeResult", "ConfigurationTable", "HistoryEntry", "InForce"]

#: Most changes that a node stores for operators.
MAX_HISTORY_ENTRIES = 500


@dataclass(frozen=True, slots=True)
class InForce:
    """A template or deployment in force, and the offset of its record.

    Attributes
    ----------
    offset : Offset
        Offset of the record that set the value.
    value : Template, Deployment or None
        None for one that was removed. The row stays, so that a late repetition
        of the record that created it cannot restore it.
    """

    offset: Offset
    value: Template | Deployment | None


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of folding the record of one change.

    Attributes
    ----------
    won : bool
        Whether the change came into force.
    winner : Offset or None
        Offset of the record in force for the change's subject after the fold.
    problem : str
        Why the change was rejected, if it did not lose to an earlier change.
    """

    won: bool
    winner: Offset | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A change and the result of its fold."""

    offset: Offset
    subject: str
    verdict: ChangeResult


@dataclass(slots=True)
class ConfigurationTable:
    """All templates and deployments.

    Attributes
    ----------
    entries : dict of str to InForce
        Values by subject, such as ``template/shared`` or ``deployment/tide-east``.
    history : deque of HistoryEntry
        The newest changes folded by this node.
    policies : dict of TeamId to TeamPolicy
        Policies of the teams, recomputed from `entries` on every change.
    team_of_token : dict of str to TeamId
        Teams by the SHA-256 of their bearer tokens.
    """

    entries: dict[str, InForce] = field(default_factory=dict)
    history: deque[HistoryEntry] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY_ENTRIES)
    )
    policies: dict[TeamId, TeamPolicy] = field(default_factory=dict)
    team_of_token: dict[str, TeamId] = field(default_factory=dict)
