"""Configuration in force, as folded from the log."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from poplarrelay.configuration.policy import TeamPolicy
from poplarrelay.configuration.schema import Deployment, Template
from poplarrelay.identifiers import Offset, TeamId

__all__ = ["ChangeResult", "ConfigurationTable", "HistoryEntry", "InForce"]

#: Changes that a node remembers for operators.
HISTORY_KEPT = 500


@dataclass(frozen=True, slots=True)
class InForce:
    """A template or deployment in force and the offset that ordered it.

    Attributes
    ----------
    value : Template, Deployment or None
        None for one that was removed. The row stays, so that a late repetition
        of the record that made it cannot bring it back.
    """

    offset: Offset
    value: Template | Deployment | None


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """What the fold made of one record.

    Attributes
    ----------
    won : bool
        Whether the change came into force.
    winner : Offset or None
        Offset in force for its name after the record was folded.
    problem : str
        Why a change that was not beaten by another did not come into force.
    """

    won: bool
    winner: Offset | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A change and what the fold made of it."""

    offset: Offset
    subject: str
    verdict: ChangeResult


@dataclass(slots=True)
class ConfigurationTable:
    """All templates and deployments.

    Attributes
    ----------
    entries : dict of str to InForce
        By name, such as ``template/shared`` or ``deployment/tide-east``.
    history : deque of HistoryEntry
        The newest changes folded by this node.
    policies : dict of TeamId to TeamPolicy
        Worked out from `entries` whenever they change.
    team_of_token : dict of str to TeamId
        By SHA-256 of the bearer token.
    """

    entries: dict[str, InForce] = field(default_factory=dict)
    history: deque[HistoryEntry] = field(
        default_factory=lambda: deque(maxlen=HISTORY_KEPT)
    )
    policies: dict[TeamId, TeamPolicy] = field(default_factory=dict)
    team_of_token: dict[str, TeamId] = field(default_factory=dict)
