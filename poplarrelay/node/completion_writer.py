"""Write session events as callers expect them: JSON or server-sent events."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Any

import orjson

from poplarrelay.identifiers import RequestId
from poplarrelay.node.sessions import CallerEvent, Ended, Tokens
from poplarrelay.outcomes import Answered, Continued, NotRun, Unknown, Usage
from poplarrelay.web.problems import Problem, problem_from_outcome

__all__ = ["CompletionForm", "CompletionWriter", "outcome_document"]

DONE = b"data: [DONE]\n\n"


class CompletionForm(Enum):
    """The two OpenAI forms of a completion."""

    TEXT = "text_completion"
    CHAT = "chat.completion"


def usage_document(usage: Usage) -> dict[str, int]:
    """Return the usage object."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "cached_tokens": usage.cached_tokens,
        "recomputed_tokens": usage.recomputed_tokens,
    }


def outcome_document(outcome: NotRun | Unknown | Continued) -> Problem:
    """Return the problem document of an outcome that is no answer."""
    if isinstance(outcome, Continued):
        return Problem(
            503,
            "node-leaving",
            "This node is leaving; ask the other one",
            detail=outcome.address,
            outcome="unknown",
            retry_after_s=0.0,
        )
    return problem_from_outcome(outcome)


class CompletionWriter:
    """Writes the answer to one completion.

    Parameters
    ----------
    form : CompletionForm
        Text or chat.
    request : RequestId
        Id that the answer bears.
    model : str
        Model that the answer names.
    first_index : int
        Index of the first token that the caller wants.
    """

    def __init__(
        self, form: CompletionForm, request: RequestId, model: str, first_index: int
    ) -> None:
        self._form = form
        self._request = request
        self._model = model
        self._first_index = first_index
        self._created = int(time.time())
        self._head, self._middle = self._frame()

    @property
    def request(self) -> RequestId:
        """Return the id that the answer bears."""
        return self._request

    def _base(self, object_name: str) -> dict[str, Any]:
        return {
            "id": self._request,
            "object": object_name,
            "created": self._created,
            "model": self._model,
        }

    def _frame(self) -> tuple[bytes, bytes]:
        """Return what stands before and after a token's text in its event."""
        chat = self._form is CompletionForm.CHAT
        name = "chat.completion.chunk" if chat else self._form.value
        base = orjson.dumps(self._base(name))[:-1]
        head = b"data: " + base + b',"choices":[{"index":0,"finish_reason":null,'
        if chat:
            return head + b'"delta":{"content":', b'}}],"token_index":'
        return head + b'"text":', b'}],"token_index":'

    def tokens(self, first: int, texts: Sequence[str]) -> bytes:
        """Return the events of tokens that follow each other, to write at once."""
        head, middle, dumps = self._head, self._middle, orjson.dumps
        skip = max(0, self._first_index - first)
        return b"".join(
            b"%b%b%b%d}\n\n" % (head, dumps(text), middle, index)
            for index, text in enumerate(texts[skip:], first + skip)
        )

    def end(self, usage: Usage) -> bytes:
        """Return the explicit end of a stream, with its token count."""
        chat = self._form is CompletionForm.CHAT
        document = self._base("chat.completion.chunk" if chat else self._form.value)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        choice["delta" if chat else "text"] = {} if chat else ""
        document["choices"] = [choice]
        document["usage"] = usage_document(usage)
        document["token_count"] = usage.completion_tokens
        return b"data: " + orjson.dumps(document) + b"\n\n" + DONE

    @staticmethod
    def failure(outcome: NotRun | Unknown) -> bytes:
        """Return the event by which a stream ends without its whole answer."""
        problem = problem_from_outcome(outcome)
        return b"event: error\ndata: " + problem.to_json() + b"\n\n"

    @staticmethod
    def go_on(address: str, index: int) -> bytes:
        """Return the event that tells where the stream goes on."""
        document = {"address": address, "resume_from": index}
        return b"event: continue\ndata: " + orjson.dumps(document) + b"\n\n"

    def document(self, answered: Answered) -> dict[str, Any]:
        """Return a whole answer that is not streamed."""
        value = self._base(self._form.value)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self._form is CompletionForm.CHAT:
            choice["message"] = {"role": "assistant", "content": answered.text}
        else:
            choice["text"] = answered.text
        value["choices"] = [choice]
        value["usage"] = usage_document(answered.usage)
        return value

    def stream(
        self, first: CallerEvent, rest: Iterator[CallerEvent]
    ) -> Iterator[bytes]:
        """Return the events of a stream.

        Parameters
        ----------
        first : CallerEvent
            The event that has been taken already, to choose the status.
        rest : iterator of CallerEvent
            The others.
        """
        sent = False
        event: CallerEvent | None = first
        while event is not None:
            if isinstance(event, Tokens):
                written = self.tokens(event.first, event.texts)
                sent = sent or bool(written)
                if written:
                    yield written
            elif isinstance(event, Ended):
                yield from self._last(event, sent)
                return
            event = next(rest, None)

    def _last(self, ended: Ended, sent: bool) -> Iterator[bytes]:
        outcome = ended.outcome
        if isinstance(outcome, Answered):
            if not sent:
                yield from self._whole(outcome)
            yield self.end(outcome.usage)
        elif isinstance(outcome, Continued):
            index = max(ended.tokens, self._first_index)
            yield self.go_on(outcome.address, index)
        else:
            yield self.failure(outcome)

    def _whole(self, outcome: Answered) -> Iterator[bytes]:
        """Return the tokens of an answer that ran earlier under the same key."""
        start = outcome.usage.completion_tokens - len(outcome.tokens)
        written = self.tokens(start, outcome.tokens)
        if written:
            yield written
