"""HTTP clients of endpoints: OpenAI-style completions and plain services."""

from __future__ import annotations

import time
from collections.abc import Generator, Iterator
from typing import Any

import orjson
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.response import BaseHTTPResponse

from poplarrelay.engines.protocols import (
    CacheSource,
    CompletionEvent,
    EndReason,
    EngineEnd,
    EngineToken,
    LoadAnswer,
)
from poplarrelay.exception import EndpointBroken, EndpointRefused
from poplarrelay.identifiers import AttemptId, EndpointId, TeamId
from poplarrelay.messages.effects import SendModelOrder
from poplarrelay.outcomes import ServiceAnswer
from poplarrelay.providers.http import CallFailed, JsonHttpClient
from poplarrelay.tables.endpoints import LoadReport
from poplarrelay.tables.requests import Attempt, Work

__all__ = ["HttpEngine", "HttpService", "read_load", "send_model_order"]

EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
#: HTTP statuses with which an engine states that it did not start an attempt.
_NOT_STARTED_STATUSES = (429, 503)
#: Seconds by which a read can exceed the deadline.
DEADLINE_SLACK_S = 0.05
#: Maximum size of a plain service's answer, in bytes.
MAX_ANSWER_BYTES = 16_000_000


def _split_events(chunks: Iterator[bytes]) -> Iterator[list[bytes]]:
    """Yield the data of server-sent events; an event can span several chunks."""
    remainder = b""
    for chunk in chunks:
        *events, remainder = (remainder + chunk).split(EVENT_END)
        payloads = [event[len(DATA) :] for event in events if event.startswith(DATA)]
        if payloads:
            yield payloads


def _parse_event(value: dict[str, Any]) -> CompletionEvent:
    attempt = AttemptId(value["attempt"])
    finish = value.get("finish")
    if finish is None:
        return EngineToken(attempt, value["index"], value["choices"][0]["text"])
    usage = value.get("usage") or {}
    return EngineEnd(
        attempt,
        EndReason(finish),
        value["count"],
        usage.get("prompt_tokens", 0),
        usage.get("cached_tokens", 0),
        value.get("export", ""),
    )


class HttpEngine:
    """Client of model engines over HTTP.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds after which an attempt to connect times out.
    progress_timeout_s : float
        Seconds without a byte after which a stream is treated as stalled. A paused
        engine keeps its connections open, so only this timeout distinguishes it from
        a slow engine.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        progress_timeout_s: float,
        http_client: JsonHttpClient,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._progress_timeout_s = progress_timeout_s
        self._http_client = http_client
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=32, retries=False)

    def complete(
        self,
        attempt: Attempt,
        work: Work,
        team: TeamId,
        priority: int,
        source: CacheSource | None = None,
    ) -> Generator[list[CompletionEvent], None, None]:
        """Yield the events of an attempt, from token `attempt.resume_from` on."""
        body = {
            "model": work.name,
            "prompt": work.prompt,
            "max_tokens": work.max_tokens,
            "stream": True,
            "attempt": attempt.id,
            "resume_from": attempt.resume_from,
            "priority": priority,
            "cache_namespace": team,
        }
        if source is not None:
            body["cache_source"] = {
                "address": source.address,
                "export": source.export,
            }
        response = self._open_stream(attempt, orjson.dumps(body))
        ended = False
        try:
            for payloads in _split_events(response.stream(65_536)):
                ended = payloads[-1] == DONE
                if ended:
                    payloads.pop()
                if payloads:
                    yield [_parse_event(orjson.loads(data)) for data in payloads]
                if ended:
                    break
        except (HTTPError, OSError) as error:
            raise EndpointBroken(type(error).__name__) from error
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise EndpointBroken(
                "the engine sent an event that is not valid"
            ) from error
        finally:
            self._release_or_close(response, ended)

    @staticmethod
    def _release_or_close(response: BaseHTTPResponse, ended: bool) -> None:
        """Return the connection to the pool if its stream ended, else close it."""
        if ended:
            response.drain_conn()
            response.release_conn()
        else:
            response.close()

    def _open_stream(self, attempt: Attempt, body: bytes) -> BaseHTTPResponse:
        # The read timeout ends shortly after the deadline, so a caller of a stalled
        # stream gets its answer then and not after the full progress timeout.
        remaining_s = max(0.01, attempt.deadline - time.monotonic())
        timeout = urllib3.Timeout(
            connect=min(self._connect_timeout_s, remaining_s),
            read=min(self._progress_timeout_s, remaining_s + DEADLINE_SLACK_S),
        )
        try:
            response = self._pool.request(
                "POST",
                f"http://{attempt.address}/v1/completions",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise EndpointRefused(type(error).__name__) from error
        except (HTTPError, OSError) as error:
            raise EndpointBroken(type(error).__name__) from error
        if response.status != 200:
            response.close()
            if response.status in _NOT_STARTED_STATUSES:
                raise EndpointRefused(
                    f"the engine answered with status {response.status}"
                )
            raise EndpointBroken(f"the engine answered with status {response.status}")
        return response

    def export_cache(self, attempt: Attempt) -> bool:
        """Ask the engine to stop an attempt and to export its KV cache."""
        try:
            reply = self._http_client.call(
                "POST", attempt.address, "/kv/export", {"attempt": attempt.id}
            )
        except CallFailed:
            return False
        return reply.ok

    def cancel(self, attempt: Attempt) -> None:
        """Ask the engine to stop an attempt; failures are ignored."""
        try:
            self._http_client.call(
                "POST",
                attempt.address,
                "/v1/cancel",
                {"attempt": attempt.id},
                timeout_s=0.5,
            )
        except CallFailed:
            # The engine also stops the attempt when its next write to the closed
            # connection fails.
            return


class HttpService:
    """Client of plain services over HTTP.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds after which an attempt to connect times out.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=16, retries=False)

    def call(self, attempt: Attempt, work: Work, team: TeamId) -> ServiceAnswer:
        """Call the service once.

        Notes
        -----
        Work that must not be repeated uses a new connection. The service can close a
        pooled connection at any time, and then it is unknown whether the call arrived.
        If a new connection cannot be opened, the call certainly did not arrive; after
        a later failure this is unknown.
        """
        remaining_s = attempt.deadline - time.monotonic()
        if remaining_s <= 0:
            raise EndpointRefused("the deadline has passed")
        headers = {
            "Content-Type": work.content_type or "application/octet-stream",
            "X-Team": team,
            "X-Attempt": attempt.id,
        }
        if not work.repeatable:
            headers["Connection"] = "close"
            pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)
        else:
            pool = self._pool
        return self._send(pool, attempt, work, headers, remaining_s)

    def _send(
        self,
        pool: urllib3.PoolManager,
        attempt: Attempt,
        work: Work,
        headers: dict[str, str],
        remaining_s: float,
    ) -> ServiceAnswer:
        connect = min(self._connect_timeout_s, remaining_s)
        try:
            response = pool.request(
                work.method,
                f"http://{attempt.address}{work.path}",
                body=work.body or None,
                headers=headers,
                timeout=urllib3.Timeout(connect=connect, read=remaining_s),
                preload_content=False,
                redirect=False,
            )
            body = response.read(MAX_ANSWER_BYTES)
            response.release_conn()
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise EndpointRefused(type(error).__name__) from error
        except (HTTPError, OSError) as error:
            raise EndpointBroken(type(error).__name__) from error
        if response.status == 429:
            raise EndpointRefused("the service answered with status 429")
        content_type = response.headers.get("Content-Type", "")
        return ServiceAnswer(response.status, content_type, body)


def read_load(
    endpoint: EndpointId, address: str, http_client: JsonHttpClient
) -> LoadAnswer:
    """Request an endpoint's load report.

    Raises
    ------
    EndpointBroken
        If there is no valid answer, or another endpoint answers.
    """
    try:
        reply = http_client.call("GET", address, "/load")
        if not reply.ok:
            raise EndpointBroken(f"the load report has status {reply.status}")
        value = reply.value
        report = LoadReport(
            running=int(value["running"]),
            queued=int(value["queued"]),
            slots=int(value["slots"]),
            queued_tokens=int(value["queued_tokens"]),
            prefill_tokens_per_s=float(value["prefill_tokens_per_s"]),
            step_s=float(value["step_s"]),
        )
        leaving = value.get("leaving_s")
        answering_endpoint = str(value.get("endpoint", endpoint))
        models = value.get("models")
    except (CallFailed, KeyError, TypeError, ValueError) as error:
        raise EndpointBroken("the endpoint sent no valid load report") from error
    if answering_endpoint != endpoint:
        raise EndpointBroken("another endpoint answers at this address")
    return LoadAnswer(
        endpoint,
        report,
        None if leaving is None else float(leaving),
        None if models is None else frozenset(models),
    )


def send_model_order(
    order: SendModelOrder, http_client: JsonHttpClient, timeout_s: float
) -> bool:
    """Send a model order to an engine and return whether the engine accepted it.

    Notes
    -----
    The expiry of the lease is checked immediately before the order is sent, because
    the process may have been paused after the tick thread issued the order.
    """
    if time.monotonic() >= order.expires_at:
        return False
    body = {
        "fencing": order.fencing,
        "holder": order.holder,
        "models": list(order.models),
    }
    try:
        return http_client.call("POST", order.address, "/orders", body, timeout_s).ok
    except CallFailed:
        return False
