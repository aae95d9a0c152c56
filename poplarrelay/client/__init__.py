"""The callers' library: discovery, keys, resumed streams."""

from poplarrelay.client.caller import (
    CallerClient,
    CompletionResult,
    DeferredResult,
    ServiceResult,
)
from poplarrelay.client.failures import (
    AnswerNotRun,
    AnswerUnknown,
    CallerFailure,
    RequestRefused,
)

__all__ = [
    "AnswerNotRun",
    "AnswerUnknown",
    "CallerClient",
    "CallerFailure",
    "CompletionResult",
    "DeferredResult",
    "RequestRefused",
    "ServiceResult",
]
