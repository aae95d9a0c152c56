"""Typed failures of the callers' library."""

from __future__ import annotations

from typing import Any

from poplarrelay.exception import PoplarrelayError

__all__ = ["AnswerNotRun", "AnswerUnknown", "ClientError", "RequestRefused"]


class ClientError(PoplarrelayError):
    """A call came to no answer.

    Parameters
    ----------
    problem : dict
        The problem document, empty if there was none.
    """

    def __init__(self, message: str, problem: dict[str, Any] | None = None) -> None:
        super().__init__(message)
        self.problem = problem or {}

    @property
    def retry_after_s(self) -> float | None:
        """Return when coming back can help."""
        return self.problem.get("retry_after_s")


class RequestRefused(ClientError):
    """The request is not acceptable; it was not run."""


class AnswerNotRun(ClientError):
    """The request was certainly not run."""


class AnswerUnknown(ClientError):
    """The request may have run; ask again under the same key."""
