"""Exceptions of the client library."""

from __future__ import annotations

from typing import Any

from poplarrelay.exception import PoplarrelayError

__all__ = ["AnswerNotRun", "AnswerUnknown", "ClientError", "RequestRefused"]


class ClientError(PoplarrelayError):
    """A call that ended without an answer.

    Parameters
    ----------
    problem : dict
        The problem document from the node; empty if there is none.
    """

    def __init__(self, message: str, problem: dict[str, Any] | None = None) -> None:
        super().__init__(message)
        self.problem = problem or {}

    @property
    def retry_after_s(self) -> float | None:
        """Return the seconds after which a retry can help; None if not stated."""
        return self.problem.get("retry_after_s")


class RequestRefused(ClientError):
    """The request is not acceptable and was not run."""


class AnswerNotRun(ClientError):
    """The request was certainly not run."""


class AnswerUnknown(ClientError):
    """The request may have run; retry it only with the same idempotency key."""
