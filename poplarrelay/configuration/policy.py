"""The policy of a team, computed from its deployment and template."""

from __future__ import annotations

from dataclasses import dataclass

from poplarrelay.identifiers import DomainId, TeamId
from poplarrelay.tables.requests import RequestClass

__all__ = ["ClassPolicy", "ServicePolicy", "TeamPolicy"]


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """Latency targets of a request class, in seconds."""

    first_token_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A plain service that the team is allowed to call."""

    name: str
    repeatable_methods: frozenset[str]


@dataclass(frozen=True, slots=True)
class TeamPolicy:
    """The deployment of one team, resolved against its template."""

    team: TeamId
    models: frozenset[str]
    services: dict[str, ServicePolicy]
    failure_domains: frozenset[DomainId]
    classes: dict[RequestClass, ClassPolicy]
    priority: int
    max_running: int
    max_queued: int
    retry_ratio: float
    token_sha256: frozenset[str]
