"""Models of the bodies of callers' requests, in the format of the OpenAI API."""

from __future__ import annotations

import hashlib
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from poplarrelay.tables.requests import Work, WorkKind

__all__ = [
    "ChatBody",
    "CompletionBody",
    "DeferredBody",
    "chat_work",
    "completion_work",
    "service_work",
]

#: Characters at the start of a prompt that determine its affinity.
PREFIX_CHARACTERS = 512
#: Characters per token, for estimates of the prompt's length.
CHARACTERS_PER_TOKEN = 5
MAX_TOKENS = 100_000


class _Body(BaseModel):
    """Base model, which ignores fields that this system does not use."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``.

    Attributes
    ----------
    resume_from : int
        Index of the first token to send, for a caller that resumes a stream.
    """

    model: str = Field(min_length=1, max_length=128)
    prompt: str
    max_tokens: int = Field(default=16, ge=1, le=MAX_TOKENS)
    stream: bool = False
    resume_from: int = Field(default=0, ge=0, le=MAX_TOKENS)


class ChatMessage(_Body):
    """A message of a chat."""

    role: str = Field(max_length=32)
    content: str


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    model: str = Field(min_length=1, max_length=128)
    messages: tuple[ChatMessage, ...] = Field(min_length=1)
    max_tokens: int = Field(default=16, ge=1, le=MAX_TOKENS)
    stream: bool = False
    resume_from: int = Field(default=0, ge=0, le=MAX_TOKENS)

    @property
    def prompt(self) -> str:
        """Return the messages as one prompt, with a line for each message."""
        lines = [f"{message.role}: {message.content}" for message in self.messages]
        return "\n".join([*lines, "assistant:"])


class DeferredBody(_Body):
    """Body of ``POST /v1/requests``: a call to run later."""

    method: Literal["GET", "POST", "PUT", "PATCH", "DELETE"] = "POST"
    url: str = Field(pattern=r"^/(v1/(chat/)?completions|services/[^/]+(/.*)?)$")
    body: dict[str, object] = {}


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def completion_work(model: str, prompt: str, max_tokens: int, resume_from: int) -> Work:
    """Return the work for a completion request."""
    return Work(
        kind=WorkKind.COMPLETION,
        name=model,
        prompt=prompt,
        max_tokens=max_tokens,
        resume_from=min(resume_from, max_tokens),
        prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        prefix=_digest(prompt[:PREFIX_CHARACTERS]),
        fingerprint=_digest(model, prompt, str(max_tokens)),
    )


def chat_work(body: ChatBody) -> Work:
    """Return the work for a chat completion request."""
    return completion_work(body.model, body.prompt, body.max_tokens, body.resume_from)


def service_work(
    service: str, method: str, path: str, content_type: str, body: bytes
) -> Work:
    """Return the work for a call to a plain service.

    The work is not repeatable here. On admission, the deployment decides whether
    the call can be repeated.
    """
    return Work(
        kind=WorkKind.SERVICE,
        name=service,
        method=method,
        path=path,
        content_type=content_type,
        body=body,
        repeatable=False,
        fingerprint=_digest(service, method, path, body),
    )
