"""Outcomes of a request, as tagged dataclasses.

`NotRun` guarantees that the work has not run and will not run under this request. If
that cannot be guaranteed, the outcome is `Unknown`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "NO_USAGE",
    "Answered",
    "Continued",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "ServiceAnswer",
    "Unknown",
    "UnknownReason",
    "Usage",
]


class NotRunReason(Enum):
    """Reason for which a request ended before it ran."""

    DEADLINE = "deadline"
    LOG_UNAVAILABLE = "log-unavailable"
    NODE_LEAVING = "node-leaving"
    NODE_NOT_READY = "node-not-ready"
    QUEUE_FULL = "queue-full"
    REFUSED = "refused"


class UnknownReason(Enum):
    """Reason for which it is unknown whether a request ran.

    The last four members apply to a request with an idempotency key whose state this
    node has not looked up: another node may have run the key before.
    """

    ATTEMPT_BROKEN = "attempt-broken"
    DEADLINE = "deadline"
    OWNER_UNREACHABLE = "home-unreachable"
    KEY_EXPIRED = "key-expired"
    LOG_UNAVAILABLE = "log-unavailable"
    NODE_LEAVING = "node-leaving"
    NODE_NOT_READY = "node-not-ready"
    QUEUE_FULL = "queue-full"


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a completion.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of the prompt, as the engine counts them.
    completion_tokens : int
        Tokens of the answer.
    cached_tokens : int
        Prompt tokens that the engine found in its prefix cache.
    recomputed_tokens : int
        Tokens that were computed again after an earlier computation.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


#: Usage of a request that is not a completion.
NO_USAGE = Usage()


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran and its complete answer is known.

    Attributes
    ----------
    tokens : tuple of str
        All tokens of a completion's answer, empty for a plain service.
    service : ServiceAnswer or None
        The answer of a plain service.
    usage : Usage
        Token counts of a completion.
    """

    tokens: tuple[str, ...] = ()
    service: ServiceAnswer | None = None
    usage: Usage = NO_USAGE

    @property
    def text(self) -> str:
        """Return the complete text of a completion."""
        return "".join(self.tokens)


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not run."""

    reason: NotRunReason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: UnknownReason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Continued:
    """The node is leaving and the caller continues at another node.

    Attributes
    ----------
    address : str
        Address of the other node's callers' listener.
    """

    address: str


Outcome = Answered | NotRun | Unknown | Continued
