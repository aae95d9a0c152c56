"""Stand-in for a model engine that streams completions."""

from __future__ import annotations

import os
import secrets
import threading
import time
from collections import deque
from collections.abc import Iterator
from queue import Empty
from typing import Any

import cherrypy
import orjson
from pydantic import BaseModel

from poplarrelay.providers.http import CallFailed, JsonHttpClient
from poplarrelay.standins.base import MAX_BODY_BYTES, StandIn, refuse
from poplarrelay.standins.batching import (
    Batch,
    BatchLimits,
    Sequence,
    SequenceEvent,
    token_text,
    tokenize,
)
from poplarrelay.web.exchange import answer_json, read_json, require_method

__all__ = ["EngineFaults", "EngineStandIn"]

#: Seconds without an event after which a stream sends a comment.
KEEPALIVE_S = 0.5
#: Exit code of an engine that ends because of a fault.
EXIT_DIED = 137


class EngineFaults(BaseModel):
    """Faults of an engine.

    Attributes
    ----------
    refuse : bool
        Answer completions with 503 without running them.
    die_after_tokens : int or None
        Number of tokens of one stream after which the process ends.
    die_before_end : bool
        End the process between the last token and the end event.
    cut_before_end : bool
        Close the stream between the last token and the end event.
    skip_index, repeat_index, foreign_index : int or None
        Index of a token that is omitted, is sent twice, or follows an event that
        names another attempt.
    stall_after_tokens : int or None
        Number of tokens after which a stream stays open but sends nothing.
    refuse_exports : bool
        Refuse to export KV caches.
    die_on_export : bool
        End the process when another engine reads an exported KV cache.
    speed : float
        Factor that multiplies the steps per second.
    """

    refuse: bool = False
    die_after_tokens: int | None = None
    die_before_end: bool = False
    cut_before_end: bool = False
    skip_index: int | None = None
    repeat_index: int | None = None
    foreign_index: int | None = None
    stall_after_tokens: int | None = None
    refuse_exports: bool = False
    die_on_export: bool = False
    speed: float = 1.0


class CacheSourceBody(BaseModel):
    """Engine address and name of an exported KV cache."""

    address: str
    export: str


class EngineBody(BaseModel):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int
    attempt: str
    resume_from: int = 0
    priority: int = 1
    cache_namespace: str = ""
    cache_source: CacheSourceBody | None = None


class AttemptBody(BaseModel):
    """Body of a call that refers to an attempt."""

    attempt: str


class OrderBody(BaseModel):
    """Order that sets the loaded models and the role, given in full."""

    fencing: int
    holder: str
    models: list[str]
    role: str = "serve"


class NoticeBody(BaseModel):
    """Notice that the engine leaves in `remaining_s`; None cancels the notice."""

    remaining_s: float | None


class _V1:
    """Handlers of the paths below ``/v1``."""


class EngineStandIn(StandIn[EngineFaults]):
    """Engine that computes its tokens by a hash instead of a model.

    Parameters
    ----------
    endpoint : str
        Name of the engine in its load reports.
    models : list of str
        Models loaded at the start.
    limits : BatchLimits
        Speed and capacity.
    checks_fencing : bool
        Whether orders with a fencing token below the highest one are refused.
    report_lag_s : float
        Age in seconds of the load in a report.
    kv_tokens_per_s : float
        Tokens per second at which another engine reads a KV cache.
    """

    def __init__(
        self,
        endpoint: str,
        models: list[str],
        limits: BatchLimits,
        checks_fencing: bool = False,
        report_lag_s: float = 0.3,
        kv_tokens_per_s: float = 50_000.0,
    ) -> None:
        super().__init__(EngineFaults())
        self._endpoint = endpoint
        self._models = models
        self._limits = limits
        self._checks_fencing = checks_fencing
        self._report_lag_s = report_lag_s
        self._kv_tokens_per_s = kv_tokens_per_s
        self._batch = Batch(limits, self._record_cache_event)
        self._batch.start()
        self._load_samples: deque[tuple[float, tuple[int, int, int]]] = deque()
        self._cache_events: list[dict[str, Any]] = []
        self._exports: dict[str, int] = {}
        self._accepted_orders: list[dict[str, Any]] = []
        self._fencing = -1
        self._role = "serve"
        self._leaving_at: float | None = None
        self._totals = {"prompt": 0, "cached": 0, "answer": 0, "attempts": 0}
        self._http_client = JsonHttpClient(0.5)
        self.v1 = _V1()
        self.v1.completions = self.completions  # type: ignore[attr-defined]
        self.v1.cancel = self.cancel  # type: ignore[attr-defined]
        self.kv = _Kv(self)
        threading.Thread(target=self._sample_load, daemon=True).start()

    def faults_changed(self) -> None:
        """Set the speed of the batch."""
        self._batch.speed = self.current_faults.speed

    # -- load, cache events, notices ---------------------------------------

    def _sample_load(self) -> None:
        while True:
            self._load_samples.append((time.monotonic(), self._batch.counts()))
            if len(self._load_samples) > 200:
                self._load_samples.popleft()
            time.sleep(0.05)

    def _delayed_counts(self) -> tuple[int, int, int]:
        cutoff = time.monotonic() - self._report_lag_s
        latest = (0, 0, 0)
        for at, counts in list(self._load_samples):
            if at > cutoff:
                break
            latest = counts
        return latest

    @cherrypy.expose
    def load(self) -> bytes:
        """Return the load as it was `report_lag_s` seconds ago."""
        running, queued, tokens = self._delayed_counts()
        leaving = self._leaving_at
        leaving_s = None if leaving is None else max(0.0, leaving - time.monotonic())
        return answer_json(
            {
                "endpoint": self._endpoint,
                "running": running,
                "queued": queued,
                "slots": self._limits.slots,
                "queued_tokens": tokens,
                "prefill_tokens_per_s": self._limits.prefill_tokens_per_s,
                "step_s": self._limits.step_s,
                "models": self._models,
                "role": self._role,
                "leaving_s": leaving_s,
            }
        )

    def _record_cache_event(self, kind: str, name: str) -> None:
        self._cache_events.append({"at": time.monotonic(), "kind": kind, "block": name})

    @cherrypy.expose
    def cache_events(self, **query: str) -> bytes:
        """Return the cache events that are a second old, without every tenth one."""
        start = int(query.get("from", 0))
        cutoff = time.monotonic() - 1.0
        visible = [
            {"number": number, "kind": event["kind"], "block": event["block"]}
            for number, event in enumerate(self._cache_events[start:], start)
            if event["at"] <= cutoff and number % 10 != 9
        ]
        return answer_json({"events": visible})

    @cherrypy.expose
    def notice(self) -> bytes:
        """Accept or cancel a notice that this engine leaves."""
        remaining = read_json(NoticeBody, MAX_BODY_BYTES).remaining_s
        now = time.monotonic()
        self._leaving_at = None if remaining is None else now + remaining
        return answer_json({"status": "ok"})

    @cherrypy.expose
    def statistics(self) -> bytes:
        """Return counts of attempts, prefilled and cached tokens and answer tokens."""
        return answer_json(self._totals)

    # -- orders ------------------------------------------------------------

    @cherrypy.expose
    def orders(self) -> bytes:
        """Accept an order (POST), or return the state and all accepted orders."""
        require_method("GET", "POST")
        if cherrypy.request.method == "GET":
            return answer_json(
                {
                    "models": self._models,
                    "role": self._role,
                    "orders": self._accepted_orders,
                }
            )
        order = read_json(OrderBody, MAX_BODY_BYTES)
        with self.lock:
            if self._checks_fencing and order.fencing < self._fencing:
                raise refuse(409, "fencing-number-old")
            self._fencing = max(self._fencing, order.fencing)
            self._accepted_orders.append(order.model_dump())
            self._models, self._role = order.models, order.role
        return answer_json({"models": self._models, "role": self._role})

    # -- completions -------------------------------------------------------

    @cherrypy.expose
    def cancel(self) -> bytes:
        """Cancel an attempt."""
        attempt = read_json(AttemptBody, MAX_BODY_BYTES).attempt
        found = self._batch.remove(attempt, SequenceEvent.CANCELLED)
        return answer_json({"cancelled": found is not None})

    @cherrypy.expose
    def completions(self) -> Iterator[bytes]:
        """Stream a completion."""
        body = read_json(EngineBody, MAX_BODY_BYTES)
        if self.current_faults.refuse:
            raise refuse(503, "refused", 0.5)
        if body.model not in self._models:
            raise refuse(404, "no-such-model")
        sequence = Sequence(
            attempt=body.attempt,
            namespace=body.cache_namespace,
            prompt=body.prompt,
            tokens=tokenize(body.prompt),
            max_tokens=body.max_tokens,
            priority=body.priority,
            next_index=body.resume_from,
        )
        imported = self._import_cache(body.cache_source)
        self._batch.add(sequence, imported)
        self._totals["attempts"] += 1
        response = cherrypy.response
        response.headers["Content-Type"] = "text/event-stream"
        response.stream = True
        return self._stream_events(sequence)

    def _import_cache(self, source: CacheSourceBody | None) -> bool:
        if source is None:
            return False
        try:
            reply = self._http_client.call(
                "GET", source.address, f"/kv/{source.export}", timeout_s=10.0
            )
        except CallFailed:
            return False
        return reply.ok

    def _stream_events(self, sequence: Sequence) -> Iterator[bytes]:
        faults = self.current_faults
        sent = 0
        try:
            while True:
                try:
                    event = sequence.events.get(timeout=KEEPALIVE_S)
                except Empty:
                    yield b": waiting\n\n"
                    continue
                if isinstance(event, SequenceEvent):
                    yield from self._end_events(sequence, event, faults)
                    return
                yield from self._token_events(sequence, event, faults)
                sent += 1
                self._totals["answer"] += 1
                self._apply_stream_faults(sent, faults)
        finally:
            self._batch.remove(sequence.attempt, SequenceEvent.CANCELLED)

    @staticmethod
    def _apply_stream_faults(sent: int, faults: EngineFaults) -> None:
        if faults.die_after_tokens is not None and sent >= faults.die_after_tokens:
            os._exit(EXIT_DIED)
        if faults.stall_after_tokens is not None and sent >= faults.stall_after_tokens:
            time.sleep(3600)

    @staticmethod
    def _encode_token(sequence: Sequence, index: int, attempt: str) -> bytes:
        document = {
            "attempt": attempt,
            "index": index,
            "choices": [{"index": 0, "text": token_text(sequence.prompt, index)}],
        }
        return b"data: " + orjson.dumps(document) + b"\n\n"

    def _token_events(
        self, sequence: Sequence, index: int, faults: EngineFaults
    ) -> Iterator[bytes]:
        if index == faults.foreign_index:
            yield self._encode_token(sequence, index, "another/attempt")
        if index == faults.skip_index:
            return
        yield self._encode_token(sequence, index, sequence.attempt)
        if index == faults.repeat_index:
            yield self._encode_token(sequence, index, sequence.attempt)

    def _end_events(
        self, sequence: Sequence, event: SequenceEvent, faults: EngineFaults
    ) -> Iterator[bytes]:
        if faults.die_before_end:
            os._exit(EXIT_DIED)
        if faults.cut_before_end or event is SequenceEvent.CANCELLED:
            return
        uncached_tokens = len(sequence.tokens) - min(
            sequence.cached_tokens, len(sequence.tokens)
        )
        self._totals["prompt"] += uncached_tokens
        self._totals["cached"] += sequence.cached_tokens
        document: dict[str, Any] = {
            "attempt": sequence.attempt,
            "finish": "stop",
            "count": sequence.next_index,
            "usage": {
                "prompt_tokens": len(sequence.tokens),
                "cached_tokens": sequence.cached_tokens,
            },
        }
        if event is SequenceEvent.EXPORTED:
            document["finish"] = "exported"
            document["export"] = self.store_export(sequence)
        yield b"data: " + orjson.dumps(document) + b"\n\ndata: [DONE]\n\n"

    # -- KV cache ----------------------------------------------------------

    def store_export(self, sequence: Sequence) -> str:
        """Store the KV cache of a sequence for another engine; return its name."""
        name = secrets.token_hex(8)
        self._exports[name] = len(sequence.tokens) + sequence.next_index
        return name

    def export_cache(self, attempt: str) -> None:
        """Stop an attempt and export its KV cache."""
        if self.current_faults.refuse_exports:
            raise refuse(409, "no-export")
        if self._batch.remove(attempt, SequenceEvent.EXPORTED) is None:
            raise refuse(404, "no-such-attempt")

    def read_export(self, name: str) -> bytes:
        """Send an exported KV cache to another engine, once."""
        if self.current_faults.die_on_export:
            os._exit(EXIT_DIED)
        tokens = self._exports.pop(name, None)
        if tokens is None:
            raise refuse(404, "no-such-export")
        time.sleep(tokens / self._kv_tokens_per_s)
        return answer_json({"tokens": tokens})


class _Kv:
    """Handlers of the paths below ``/kv``."""

    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    @cherrypy.expose
    def default(self, name: str) -> bytes:
        """Export the KV cache of an attempt, or read an exported one."""
        if name == "export":
            require_method("POST")
            attempt = read_json(AttemptBody, MAX_BODY_BYTES).attempt
            self._engine.export_cache(attempt)
            return answer_json({"status": "exporting"})
        return self._engine.read_export(name)
