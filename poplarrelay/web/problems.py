"""Problem details (RFC 9457) for errors and for outcomes without an answer."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from math import ceil

import cherrypy
import orjson

from poplarrelay.exception import CallerError
from poplarrelay.outcomes import NotRun, NotRunReason, Unknown, UnknownReason

__all__ = [
    "PROBLEM_TYPE",
    "Problem",
    "ProblemResponse",
    "error_page",
    "problem_from_error",
    "problem_from_outcome",
]

PROBLEM_TYPE = "application/problem+json"
_PREFIX = "urn:poplarrelay:problem:"

_NOT_RUN_STATUS = {
    NotRunReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    NotRunReason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
}
_UNKNOWN_STATUS = {
    UnknownReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    UnknownReason.ATTEMPT_BROKEN: HTTPStatus.BAD_GATEWAY,
    UnknownReason.OWNER_UNREACHABLE: HTTPStatus.BAD_GATEWAY,
    UnknownReason.KEY_EXPIRED: HTTPStatus.CONFLICT,
}


@dataclass(frozen=True, slots=True)
class Problem:
    """Problem document.

    Attributes
    ----------
    outcome : str or None
        ``not_run``, ``unknown`` or None.
    retry_after_s : float or None
        Seconds until a retry can succeed, None if not known.
    """

    status: int
    slug: str
    title: str
    detail: str = ""
    outcome: str | None = None
    retry_after_s: float | None = None

    def to_json(self) -> bytes:
        """Return the encoded document."""
        document: dict[str, object] = {
            "type": _PREFIX + self.slug,
            "title": self.title,
            "status": self.status,
        }
        if self.detail:
            document["detail"] = self.detail
        if self.outcome is not None:
            document["outcome"] = self.outcome
        if self.retry_after_s is not None:
            document["retry_after_s"] = self.retry_after_s
        return orjson.dumps(document)


def problem_from_error(error: CallerError) -> Problem:
    """Return the problem of an unacceptable request, which was not run."""
    return Problem(
        error.status,
        error.slug,
        error.title,
        str(error),
        outcome="not_run",
        retry_after_s=error.retry_after_s,
    )


def problem_from_outcome(outcome: NotRun | Unknown) -> Problem:
    """Return the problem of an outcome without an answer."""
    if isinstance(outcome, NotRun):
        status = _NOT_RUN_STATUS.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
        title = "The request was not run"
        tag = "not_run"
    else:
        status = _UNKNOWN_STATUS.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
        title = "It is not known whether the request was run"
        tag = "unknown"
    return Problem(
        status=int(status),
        slug=outcome.reason.value,
        title=title,
        outcome=tag,
        retry_after_s=outcome.retry_after_s,
    )


class ProblemResponse(cherrypy.HTTPError):
    """Exception with which a handler answers with a problem document."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.status, problem.title)
        self.problem = problem

    def set_response(self) -> None:
        """Write the problem document into CherryPy's response."""
        response = cherrypy.serving.response
        response.stream = False
        response.status = self.problem.status
        body = self.problem.to_json()
        response.headers["Content-Type"] = PROBLEM_TYPE
        response.headers["Content-Length"] = str(len(body))
        if self.problem.retry_after_s is not None:
            seconds = max(1, ceil(self.problem.retry_after_s))
            response.headers["Retry-After"] = str(seconds)
        response.body = body


def error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the problem document of a CherryPy error, without its traceback."""
    code = int(status.split()[0])
    cherrypy.response.headers["Content-Type"] = PROBLEM_TYPE
    phrase = HTTPStatus(code).phrase
    slug = phrase.lower().replace(" ", "-")
    outcome = "not_run" if code < HTTPStatus.INTERNAL_SERVER_ERROR else "unknown"
    return Problem(code, slug, phrase, outcome=outcome).to_json()
