"""Bodies of callers' requests, in the OpenAI form."""

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

#: Characters of a prompt that make its prefix for affinity.
PREFIX_CHARACTERS = 512
#: Characters that make a token, for estimates.
CHARACTERS_PER_TOKEN = 5
MAX_TOKENS = 100_000


class _Body(BaseModel):
    """Fields that this system does not use are let through unread."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``.

    Attributes
    ----------
    resume_from : int
        Index of the first token wanted, for a caller that goes on with a stream.
    """

    model: str = Field(min_length=1, max_length=128)
    prompt: str
    max_tokens: int = Field(default=16, ge=1, le=MAX_TOKENS)
    stream: bool = False
    resume_from: int = Field(default=0, ge=0, le=MAX_TOKENS)


class ChatMessage(_Body):
    """One message of a chat."""

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
        """Return the prompt that the messages make."""
        lines = [f"{message.role}: {message.content}" for message in self.messages]
        return "\n".join([*lines, "assistant:"])


class DeferredBody(_Body):
    """Body of ``POST /v1/requests``: a call to be made later."""

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
    """Return the work of a completion."""
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
    """Return the work of a chat completion."""
    return completion_work(body.model, body.prompt, body.max_tokens, body.resume_from)


def service_work(
    service: str, method: str, path: str, content_type: str, body: bytes
) -> Work:
    """Return the work of a plain service's call.

    Whether it may be repeated is settled on admission, from the deployment.
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
