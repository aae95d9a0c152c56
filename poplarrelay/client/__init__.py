"""Client library for callers: discovery, idempotency keys and resumed streams."""

from poplarrelay.client.caller import (
    CallerClient,
    CompletionResult,
    DeferredResult,
    ServiceResult,
)
from poplarrelay.client.failures import (
    AnswerNotRun,
    AnswerUnknown,
    ClientError,
    RequestRefused,
)

__all__ = [
    "AnswerNotRun",
    "AnswerUnknown",
    "CallerClient",
    "ClientError",
    "CompletionResult",
    "DeferredResult",
    "RequestRefused",
    "ServiceResult",
]
