"""Exceptions of the package.

Every failure that crosses a module boundary has its own subclass of
`PoplarrelayError`. The outcome of a request is not an exception: it is one of the
dataclasses of `poplarrelay.outcomes`.
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
    "EndpointDown",
    "EndpointError",
    "EndpointRefused",
    "ExchangeFailed",
    "FieldError",
    "ForeignAnswer",
    "HistoryTrimmed",
    "IncompleteStream",
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
    "ReadInterrupted",
    "RequestNotFound",
    "SettingsError",
    "StoreRestored",
    "UnknownModel",
    "UnknownService",
]


class PoplarrelayError(Exception):
    """Base class of all exceptions of this package."""


@dataclass(frozen=True, slots=True)
class FieldError:
    """One fault in a file, with the path to the faulty value.

    Attributes
    ----------
    place : str
        Path to the value, such as ``deployments.0.limits.max_queued``.
    problem : str
        Description of the fault.
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
        All faults, in the order of the file.
    """

    def __init__(self, faults: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class InvalidConfiguration(SettingsError):
    """A template or deployment is not valid."""


class ConfigurationConflict(PoplarrelayError):
    """The log ordered another operator's change first.

    Parameters
    ----------
    name : str
        Subject that both changes replace, such as ``deployment/tide-east``.
    winner : int or None
        Log offset of the change in force, None if there is none.
    """

    def __init__(self, name: str, winner: Offset | None) -> None:
        super().__init__(f"{name} is held by the change at offset {winner}")
        self.name = name
        self.winner = winner


class ConfigurationUnconfirmed(PoplarrelayError):
    """A change was sent to the log but was not read back before the deadline.

    The change can still come into force. It is safe to publish it again: the second
    append either repeats the change or conflicts with it.
    """


class PlatformError(PoplarrelayError):
    """A call to a service of the platform failed."""


class LogUnavailable(PlatformError):
    """The log service did not answer; an append may still have taken effect."""


class LogRefused(PlatformError):
    """The log service refused a call and did nothing.

    Parameters
    ----------
    retry_after_s : float
        Seconds until a retry can succeed.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the log service refused, retry after {retry_after_s} s")
        self.retry_after_s = retry_after_s


class LogTrimmed(PlatformError):
    """The log no longer keeps records that the reader needs.

    Parameters
    ----------
    wanted : int
        First offset that the reader requested.
    oldest : int
        Oldest offset that the log keeps.
    """

    def __init__(self, wanted: Offset, oldest: Offset) -> None:
        super().__init__(f"offset {wanted} is trimmed, the oldest kept is {oldest}")
        self.wanted = wanted
        self.oldest = oldest


class PlatformRecordMalformed(PlatformError):
    """A record of the platform's store is not in the published format.

    Attributes
    ----------
    record : str
        Name of the record.
    problem : str
        Description of the fault.
    """

    def __init__(self, record: str, problem: str) -> None:
        super().__init__(f"{record}: {problem}")
        self.record = record
        self.problem = problem


class PlatformUnavailable(PlatformError):
    """A call to the platform got no answer or an error status.

    Attributes
    ----------
    call : str
        Name of the call.
    status : int or None
        HTTP status of the answer, None if there was none. Without an answer, the
        platform may have executed the call or may execute it later.
    """

    def __init__(self, call: str, status: int | None, detail: str = "") -> None:
        super().__init__(f"{call}: {status or 'no answer'} {detail}".rstrip())
        self.call = call
        self.status = status


class ReadInterrupted(PlatformUnavailable):
    """A read that waited for new records may have been lost, and is to be repeated."""


class StoreRestored(PlatformUnavailable):
    """The store was restored from an older copy while a call was in progress.

    The call may have been executed before the restore, or after it.
    """


class HistoryTrimmed(PlatformError):
    """The platform's store no longer keeps the requested records.

    Attributes
    ----------
    start : int
        Offset of the oldest record that the store keeps.
    """

    def __init__(self, start: int) -> None:
        super().__init__(f"records before offset {start} are trimmed")
        self.start = start


class AppendRefused(PlatformError):
    """The platform's store refused an append; a retry would be refused too.

    Attributes
    ----------
    reason : str
        ``fenced`` if a newer writer has taken over, else the store's reason.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ExchangeFailed(PoplarrelayError):
    """An HTTP exchange ended without a complete response.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the server.
    closed : bool
        Whether the server closed or reset the connection.
    """

    def __init__(self, problem: str, sent: bool, closed: bool = False) -> None:
        super().__init__(problem)
        self.sent = sent
        self.closed = closed


class ConnectionsExhausted(ExchangeFailed):
    """The process may not open another connection; nothing was sent."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, sent=False)


class ForeignAnswer(ExchangeFailed):
    """The bytes in place of an answer belong to another request or to none."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, sent=True)


class IncompleteStream(ExchangeFailed):
    """The body of a stream ended before the stream did.

    Attributes
    ----------
    inside_event : bool
        Whether an event had begun and not ended.
    """

    def __init__(self, problem: str, closed: bool, inside_event: bool) -> None:
        super().__init__(problem, sent=True, closed=closed)
        self.inside_event = inside_event


class EndpointDown(ExchangeFailed):
    """No process listens at the endpoint's address, also as seen by a peer."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, sent=False)


class EndpointError(PoplarrelayError):
    """An attempt at an endpoint failed."""


class EndpointRefused(EndpointError):
    """The endpoint did not start the request: no byte of the request reached the
    endpoint, or the endpoint answered that it did not start.
    """  # noqa: D205


class EndpointBroken(EndpointError):
    """The attempt failed after it may have run, completely or in part."""


class CallerError(PoplarrelayError):
    """The caller's request is not acceptable.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    slug : str
        Last part of the problem type (RFC 9457).
    title : str
        Short text that is the same for every instance of the problem (RFC 9457).
    retry_after_s : float or None
        Seconds until a retry can succeed, None if it cannot.
    """

    status = 400
    slug = "bad-request"
    title = "The request is not valid"
    retry_after_s: float | None = None


class AuthenticationFailed(CallerError):
    """The bearer token is missing or belongs to no team."""

    status = 401
    slug = "authentication-failed"
    title = "The bearer token is absent or unknown"


class BodyTooLarge(CallerError):
    """The body is larger than the node accepts."""

    status = 413
    slug = "body-too-large"
    title = "The body is too large"


class MemoryFull(CallerError):
    """The process has no memory for the body now."""

    status = 503
    slug = "memory-full"
    title = "The node has no memory for the request"
    retry_after_s = 1.0


class MalformedBody(CallerError):
    """The body is not JSON, lacks a field or has a field of the wrong type."""

    slug = "malformed-body"
    title = "The body is not valid"


class MalformedHeader(CallerError):
    """A header has a value that the node does not accept."""

    slug = "malformed-header"
    title = "A header is not valid"


class MalformedKey(CallerError):
    """The idempotency key is neither a caller key nor a ticket."""

    slug = "key-malformed"
    title = "The idempotency key has an unknown form"


class KeyReused(CallerError):
    """The idempotency key was used before with a different request."""

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
    """The team has no request with this id."""

    status = 404
    slug = "request-not-found"
    title = "There is no such request"
