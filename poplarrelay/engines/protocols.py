"""What a node needs of an endpoint."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from poplarrelay.identifiers import AttemptId, EndpointId, TeamId
from poplarrelay.outcomes import ServiceAnswer
from poplarrelay.tables.endpoints import LoadReport
from poplarrelay.tables.requests import Attempt, Work

__all__ = [
    "CacheSource",
    "CompletionEvent",
    "EndReason",
    "Engine",
    "EngineEnd",
    "EngineToken",
    "LoadAnswer",
    "PlainService",
]


@dataclass(frozen=True, slots=True)
class EngineToken:
    """One token of an answer.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that the engine says it belongs to.
    index : int
        Position within the whole answer, from 0.
    """

    attempt: AttemptId
    index: int
    text: str


class EndReason(Enum):
    """Why an engine's stream ended in order."""

    STOP = "stop"
    EXPORTED = "exported"


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """The explicit end of a stream; without it the stream was cut.

    Attributes
    ----------
    count : int
        Index after the last token.
    export : str
        Name of the exported KV cache.
    """

    attempt: AttemptId
    reason: EndReason
    count: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    export: str = ""


CompletionEvent = EngineToken | EngineEnd


@dataclass(frozen=True, slots=True)
class CacheSource:
    """A KV cache that another engine exported."""

    address: str
    export: str


@dataclass(frozen=True, slots=True)
class LoadAnswer:
    """An endpoint's load report, and its own notice if it has one.

    Attributes
    ----------
    leaving_s : float or None
        Seconds until the endpoint goes.
    """

    endpoint: EndpointId
    report: LoadReport
    leaving_s: float | None
    models: frozenset[str] | None = None


class Engine(Protocol):
    """A model engine."""

    def complete(
        self,
        attempt: Attempt,
        work: Work,
        team: TeamId,
        priority: int,
        source: CacheSource | None = None,
    ) -> Generator[list[CompletionEvent], None, None]:
        """Return the events of an attempt, from `attempt.resume_from` on.

        Events that arrived together come together, so that they can be passed on
        with one write.

        Raises
        ------
        EndpointRefused
            Before the first event, if the engine certainly did not start.
        EndpointBroken
            If the stream stalled, was cut, or was not understood.
        """
        ...

    def export_cache(self, attempt: Attempt) -> bool:
        """Ask the engine to stop an attempt and export its KV cache."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Ask the engine to stop an attempt; failures are of no matter."""
        ...


class PlainService(Protocol):
    """A plain service."""

    def call(self, attempt: Attempt, work: Work, team: TeamId) -> ServiceAnswer:
        """Make the call once.

        Raises
        ------
        EndpointRefused
            If the service certainly did not start.
        EndpointBroken
            If it may have run.
        """
        ...
