"""Interfaces of endpoints, and the values that they return."""

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
        The attempt id that the engine sent with the token.
    index : int
        Position of the token in the complete answer, from 0.
    """

    attempt: AttemptId
    index: int
    text: str


class EndReason(Enum):
    """Reason for which an engine ended a stream normally."""

    STOP = "stop"
    EXPORTED = "exported"


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """The end event of a stream; a stream without it was cut off.

    Attributes
    ----------
    count : int
        Index of the last token plus one.
    export : str
        Name of the exported KV cache, empty if there is none.
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
    """An endpoint's load report, with its reclaim notice if it has one.

    Attributes
    ----------
    leaving_s : float or None
        Seconds until the endpoint leaves, None if it has no reclaim notice.
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
        """Yield the events of an attempt, from token `attempt.resume_from` on.

        Events that arrive together are yielded as one list, so the caller can forward
        them with one write.

        Raises
        ------
        EndpointRefused
            Before the first event, if the engine did not start the attempt.
        EndpointBroken
            If the stream stalled, was cut off or was not valid.
        """
        ...

    def export_cache(self, attempt: Attempt) -> bool:
        """Ask the engine to stop an attempt and to export its KV cache.

        Return whether the engine accepted.
        """
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Ask the engine to stop an attempt; failures are ignored."""
        ...


class PlainService(Protocol):
    """A plain service."""

    def call(self, attempt: Attempt, work: Work, team: TeamId) -> ServiceAnswer:
        """Call the service once.

        Raises
        ------
        EndpointRefused
            If the service did not start the call.
        EndpointBroken
            If the call failed and the service may have run it.
        """
        ...
