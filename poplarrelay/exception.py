"""Typed failures.

Every failure that crosses a module boundary has a class of its own below
`PoplarrelayError`. What a request finally came to is not an exception but one of
the dataclasses of `poplarrelay.outcomes`.
"""

from __future__ import annotations

from dataclasses import dataclass

from poplarrelay.identifiers import Offset

__all__ = [
    "AppendRefused",
    "AuthenticationFailed",
    "BodyTooLarge",
    "CallerError",
    "ConfigurationConflict",
    "ConfigurationUnconfirmed",
    "EndpointBroken",
    "EndpointError",
    "EndpointRefused",
    "ExchangeFailed",
    "FieldError",
    "HistoryTrimmed",
    "InvalidConfiguration",
    "KeyReused",
    "LogRefused",
    "LogTrimmed",
    "LogUnavailable",
    "MalformedBody",
    "MalformedHeader",
    "MalformedKey",
    "PlatformError",
    "PlatformRecordMalformed",
    "PlatformUnavailable",
    "PoplarrelayError",
    "RequestNotFound",
    "SettingsError",
    "UnknownModel",
    "UnknownService",
]


class PoplarrelayError(Exception):
    """Base class of all failures of this package."""


@dataclass(frozen=True, slots=True)
class FieldError:
    """One fault in a file, with its place.

    Attributes
    ----------
    place : str
        Path to the value, such as ``deployments.0.limits.max_queued``.
    problem : str
        What is wrong with it.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class SettingsError(PoplarrelayError):
    """A settings or configuration file has faults.

    Parameters
    ----------
    faults : tuple of FieldError
        Every fault found, in the order of the file.
    """

    def __init__(self, faults: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class InvalidConfiguration(SettingsError):
    """A template or deployment does not pass validation."""


class ConfigurationConflict(PoplarrelayError):
    """Another operator's change was ordered first.

    Parameters
    ----------
    name : str
        What both changes replace, such as ``deployment/tide-east``.
    winner : int or None
        Offset of the change in force, None if there is none.
    """

    def __init__(self, name: str, winner: Offset | None) -> None:
        super().__init__(f"{name} is held by the change at offset {winner}")
        self.name = name
        self.winner = winner


class ConfigurationUnconfirmed(PoplarrelayError):
    """A change was sent to the log but has not been read back in time.

    It may still come into force. Publishing it again is safe: the second change
    either repeats it or conflicts with it.
    """


class PlatformError(PoplarrelayError):
    """The platform did not do what it was asked."""


class LogUnavailable(PlatformError):
    """The log service gave no answer; an append may still have taken effect."""


class LogRefused(PlatformError):
    """The log service refused before it did anything.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which another try can help.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"refused, retry after {retry_after_s} s")
        self.retry_after_s = retry_after_s


class LogTrimmed(PlatformError):
    """Records that the reader still needed are no longer kept.

    Parameters
    ----------
    wanted : int
        First offset that was asked for.
    oldest : int
        Oldest offset that the log still keeps.
    """

    def __init__(self, wanted: Offset, oldest: Offset) -> None:
        super().__init__(f"offset {wanted} is gone, the oldest kept is {oldest}")
        self.wanted = wanted
        self.oldest = oldest


class PlatformRecordMalformed(PlatformError):
    """A record of the platform's store is not in the published format.

    Attributes
    ----------
    record : str
        Which record.
    problem : str
        What is wrong with it.
    """

    def __init__(self, record: str, problem: str) -> None:
        super().__init__(f"{record}: {problem}")
        self.record = record
        self.problem = problem


class PlatformUnavailable(PlatformError):
    """A call to the platform got no answer, or an answer that it is not served.

    Attributes
    ----------
    call : str
        Which call.
    status : int or None
        HTTP status of the answer, None if there was none. Without an answer the
        call may have been carried out, or may be carried out later.
    """

    def __init__(self, call: str, status: int | None, detail: str = "") -> None:
        super().__init__(f"{call}: {status or 'no answer'} {detail}".rstrip())
        self.call = call
        self.status = status


class HistoryTrimmed(PlatformError):
    """The records asked for are gone from the platform's store.

    Attributes
    ----------
    start : int
        Offset of the first record that is left.
    """

    def __init__(self, start: int) -> None:
        super().__init__(f"records before {start} are gone")
        self.start = start


class AppendRefused(PlatformError):
    """The platform's store refused an append for good.

    Attributes
    ----------
    reason : str
        ``fenced`` if a newer writer has taken over, else what the store said.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ExchangeFailed(PoplarrelayError):
    """An HTTP exchange ended without a whole answer.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the other side.
    closed : bool
        Whether the other side closed or reset the connection.
    """

    def __init__(self, problem: str, sent: bool, closed: bool = False) -> None:
        super().__init__(problem)
        self.sent = sent
        self.closed = closed


class EndpointError(PoplarrelayError):
    """An attempt at an endpoint failed."""


class EndpointRefused(EndpointError):
    """The endpoint certainly did not start: no byte of the request reached it,
    or it answered that it did not begin.
    """  # noqa: D205


class EndpointBroken(EndpointError):
    """The attempt may have run, wholly or in part."""


class CallerError(PoplarrelayError):
    """The caller's request cannot be accepted as it is.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    slug : str
        Last part of the problem type (RFC 9457).
    title : str
        Short text, the same for every occurrence.
    """

    status = 400
    slug = "bad-request"
    title = "The request is not valid"


class AuthenticationFailed(CallerError):
    """The bearer token is absent or belongs to no team."""

    status = 401
    slug = "authentication-failed"
    title = "The bearer token is absent or unknown"


class BodyTooLarge(CallerError):
    """The body is larger than the node takes."""

    status = 413
    slug = "body-too-large"
    title = "The body is too large"


class MalformedBody(CallerError):
    """The body is not JSON, or lacks a field, or has one of the wrong type."""

    slug = "malformed-body"
    title = "The body is not valid"


class MalformedHeader(CallerError):
    """A header has a value that the node does not take."""

    slug = "malformed-header"
    title = "A header is not valid"


class MalformedKey(CallerError):
    """The idempotency key is neither a plain key nor a ticket."""

    slug = "key-malformed"
    title = "The idempotency key has an unknown form"


class KeyReused(CallerError):
    """The idempotency key came before with another request."""

    status = 422
    slug = "key-reused"
    title = "The idempotency key belongs to a different request"


class UnknownModel(CallerError):
    """The team's deployment has no such model."""

    status = 404
    slug = "unknown-model"
    title = "The model is not part of the team's deployment"


class UnknownService(CallerError):
    """The team's deployment has no such service."""

    status = 404
    slug = "unknown-service"
    title = "The service is not part of the team's deployment"


class RequestNotFound(CallerError):
    """The team has no request of this id."""

    status = 404
    slug = "request-not-found"
    title = "There is no such request"
