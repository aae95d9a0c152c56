"""What a request finally came to, as tagged dataclasses.

`NotRun` is a promise: the work has not run and will not run under this request.
Whatever cannot be promised is `Unknown`.
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
    """Why a request was given up before it ran."""

    DEADLINE = "deadline"
    LOG_UNAVAILABLE = "log-unavailable"
    NODE_LEAVING = "node-leaving"
    NODE_NOT_READY = "node-not-ready"
    QUEUE_FULL = "queue-full"
    REFUSED = "refused"


class UnknownReason(Enum):
    """Why it cannot be said whether a request ran.

    The last four are said for requests with a key that this node has not looked
    into: another node may have run the key before.
    """

    ATTEMPT_BROKEN = "attempt-broken"
    DEADLINE = "deadline"
    HOME_UNREACHABLE = "home-unreachable"
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
        Tokens that had been computed before and were computed again.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


#: Usage of anything but a completion.
NO_USAGE = Usage()


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran and its whole answer is known.

    Attributes
    ----------
    tokens : tuple of str
        The whole answer of a completion, empty for a plain service.
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
        """Return the whole text of a completion."""
        return "".join(self.tokens)


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not."""

    reason: NotRunReason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: UnknownReason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Continued:
    """The node leaves; the caller goes on at another one.

    Attributes
    ----------
    address : str
        Callers' address of the other node.
    """

    address: str


Outcome = Answered | NotRun | Unknown | Continued
