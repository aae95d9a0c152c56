"""Encode session events for callers as JSON or as server-sent events."""

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
    """Formats of a completion in the OpenAI API."""

    TEXT = "text_completion"
    CHAT = "chat.completion"


def usage_document(usage: Usage) -> dict[str, int]:
    """Return the token counts as the `usage` object of the OpenAI API."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "cached_tokens": usage.cached_tokens,
        "recomputed_tokens": usage.recomputed_tokens,
    }


def outcome_document(outcome: NotRun | Unknown | Continued) -> Problem:
    """Return the problem document for an outcome other than an answer."""
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
    """Encodes the answer to one completion request.

    Parameters
    ----------
    form : CompletionForm
        Format of the answer: text or chat.
    request : RequestId
        Id in the answer.
    model : str
        Name of the model in the answer.
    first_index : int
        Index of the first token that the caller requested.
    """

    def __init__(
        self, form: CompletionForm, request: RequestId, model: str, first_index: int
    ) -> None:
        self._form = form
        self._request = request
        self._model = model
        self._first_index = first_index
        self._created = int(time.time())
        self._before_text, self._after_text = self._token_event_parts()

    @property
    def request(self) -> RequestId:
        """Return the id in the answer."""
        return self._request

    def _base(self, object_name: str) -> dict[str, Any]:
        return {
            "id": self._request,
            "object": object_name,
            "created": self._created,
            "model": self._model,
        }

    def _token_event_parts(self) -> tuple[bytes, bytes]:
        """Return the parts of a token event before and after the token's text."""
        chat = self._form is CompletionForm.CHAT
        name = "chat.completion.chunk" if chat else self._form.value
        base = orjson.dumps(self._base(name))[:-1]
        before_text = b"data: " + base + b',"choices":[{"index":0,"finish_reason":null,'
        if chat:
            return before_text + b'"delta":{"content":', b'}}],"token_index":'
        return before_text + b'"text":', b'}],"token_index":'

    def token_events(self, first: int, texts: Sequence[str]) -> bytes:
        """Return the events of consecutive tokens, joined for a single write."""
        before, after, dumps = self._before_text, self._after_text, orjson.dumps
        skip = max(0, self._first_index - first)
        return b"".join(
            b"%b%b%b%d}\n\n" % (before, dumps(text), after, index)
            for index, text in enumerate(texts[skip:], first + skip)
        )

    def end_event(self, usage: Usage) -> bytes:
        """Return the end events of a complete stream, with its token count."""
        chat = self._form is CompletionForm.CHAT
        document = self._base("chat.completion.chunk" if chat else self._form.value)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        choice["delta" if chat else "text"] = {} if chat else ""
        document["choices"] = [choice]
        document["usage"] = usage_document(usage)
        document["token_count"] = usage.completion_tokens
        return b"data: " + orjson.dumps(document) + b"\n\n" + DONE

    @staticmethod
    def error_event(outcome: NotRun | Unknown) -> bytes:
        """Return the event that ends a stream whose answer is incomplete."""
        problem = problem_from_outcome(outcome)
        return b"event: error\ndata: " + problem.to_json() + b"\n\n"

    @staticmethod
    def continue_event(address: str, index: int) -> bytes:
        """Return the event that names the node at which the stream continues."""
        document = {"address": address, "resume_from": index}
        return b"event: continue\ndata: " + orjson.dumps(document) + b"\n\n"

    def document(self, answered: Answered) -> dict[str, Any]:
        """Return the complete answer to a request without streaming."""
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
            First event, which the caller of this method has read to choose the HTTP
            status.
        rest : iterator of CallerEvent
            Remaining events.
        """
        sent = False
        event: CallerEvent | None = first
        while event is not None:
            if isinstance(event, Tokens):
                encoded = self.token_events(event.first, event.texts)
                sent = sent or bool(encoded)
                if encoded:
                    yield encoded
            elif isinstance(event, Ended):
                yield from self._end_events(event, sent)
                return
            event = next(rest, None)

    def _end_events(self, ended: Ended, sent: bool) -> Iterator[bytes]:
        outcome = ended.outcome
        if isinstance(outcome, Answered):
            if not sent:
                yield from self._replayed_token_events(outcome)
            yield self.end_event(outcome.usage)
        elif isinstance(outcome, Continued):
            index = max(ended.next_index, self._first_index)
            yield self.continue_event(outcome.address, index)
        else:
            yield self.error_event(outcome)

    def _replayed_token_events(self, outcome: Answered) -> Iterator[bytes]:
        """Return the token events of an answer that ran earlier under the same key."""
        start = outcome.usage.completion_tokens - len(outcome.tokens)
        encoded = self.token_events(start, outcome.tokens)
        if encoded:
            yield encoded
