"""Endpoints over HTTP: OpenAI-style completions and plain services."""

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
#: Statuses by which an engine says that it did not start.
_REFUSALS = (429, 503)
#: Seconds that a read may last beyond the deadline.
DEADLINE_SLACK_S = 0.05
#: Longest answer of a plain service, in bytes.
MAX_ANSWER_BYTES = 16_000_000


def _split(chunks: Iterator[bytes]) -> Iterator[list[bytes]]:
    """Return the data of server-sent events, however they are cut into chunks."""
    rest = b""
    for chunk in chunks:
        *events, rest = (rest + chunk).split(EVENT_END)
        whole = [event[len(DATA) :] for event in events if event.startswith(DATA)]
        if whole:
            yield whole


def _event(value: dict[str, Any]) -> CompletionEvent:
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
    """A model engine over HTTP.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds until a connection must stand.
    progress_timeout_s : float
        Seconds without a byte after which a stream counts as stalled. A frozen
        engine keeps its connections open, so only this tells it from a slow one.
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
        """Return the events of an attempt, from `attempt.resume_from` on."""
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
        response = self._open(attempt, orjson.dumps(body))
        ended = False
        try:
            for datas in _split(response.stream(65_536)):
                ended = datas[-1] == DONE
                if ended:
                    datas.pop()
                if datas:
                    yield [_event(orjson.loads(data)) for data in datas]
                if ended:
                    break
        except (HTTPError, OSError) as error:
            raise EndpointBroken(type(error).__name__) from error
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise EndpointBroken("an event was not understood") from error
        finally:
            self._finish(response, ended)

    @staticmethod
    def _finish(response: BaseHTTPResponse, ended: bool) -> None:
        """Give a connection back only if its stream was read to the end."""
        if ended:
            response.drain_conn()
            response.release_conn()
        else:
            response.close()

    def _open(self, attempt: Attempt, body: bytes) -> BaseHTTPResponse:
        # A stall is noticed at the deadline at the latest, so that the caller is
        # told at once and not when the stall has been waited out.
        left = max(0.01, attempt.deadline - time.monotonic())
        timeout = urllib3.Timeout(
            connect=min(self._connect_timeout_s, left),
            read=min(self._progress_timeout_s, left + DEADLINE_SLACK_S),
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
            if response.status in _REFUSALS:
                raise EndpointRefused(f"status {response.status}")
            raise EndpointBroken(f"status {response.status}")
        return response

    def export_cache(self, attempt: Attempt) -> bool:
        """Ask the engine to stop an attempt and export its KV cache."""
        try:
            reply = self._http_client.call(
                "POST", attempt.address, "/kv/export", {"attempt": attempt.id}
            )
        except CallFailed:
            return False
        return reply.ok

    def cancel(self, attempt: Attempt) -> None:
        """Ask the engine to stop an attempt; failures are of no matter."""
        try:
            self._http_client.call(
                "POST",
                attempt.address,
                "/v1/cancel",
                {"attempt": attempt.id},
                timeout_s=0.5,
            )
        except CallFailed:
            # The engine stops by itself when its next write fails.
            return


class HttpService:
    """A plain service over HTTP.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds until a connection must stand.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=16, retries=False)

    def call(self, attempt: Attempt, work: Work, team: TeamId) -> ServiceAnswer:
        """Make the call once.

        Notes
        -----
        Work that must not be repeated goes over a new connection. A kept one may
        have been closed by the service in the meantime, and then it cannot be
        told whether the call arrived; with a new one, a failure to connect is
        certain and everything after it is not.
        """
        left = attempt.deadline - time.monotonic()
        if left <= 0:
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
        return self._send(pool, attempt, work, headers, left)

    def _send(
        self,
        pool: urllib3.PoolManager,
        attempt: Attempt,
        work: Work,
        headers: dict[str, str],
        left: float,
    ) -> ServiceAnswer:
        connect = min(self._connect_timeout_s, left)
        try:
            response = pool.request(
                work.method,
                f"http://{attempt.address}{work.path}",
                body=work.body or None,
                headers=headers,
                timeout=urllib3.Timeout(connect=connect, read=left),
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
            raise EndpointRefused("status 429")
        content_type = response.headers.get("Content-Type", "")
        return ServiceAnswer(response.status, content_type, body)


def read_load(
    endpoint: EndpointId, address: str, http_client: JsonHttpClient
) -> LoadAnswer:
    """Read an endpoint's load report.

    Raises
    ------
    EndpointBroken
        If there was no answer that can be understood.
    """
    try:
        reply = http_client.call("GET", address, "/load")
        if not reply.ok:
            raise EndpointBroken(f"status {reply.status}")
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
        own = str(value.get("endpoint", endpoint))
        models = value.get("models")
    except (CallFailed, KeyError, TypeError, ValueError) as error:
        raise EndpointBroken("no load report") from error
    if own != endpoint:
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
    """Give an order to an engine; return whether it was taken.

    Notes
    -----
    The lease's remaining term is compared right before the order is sent, since
    the process may have been paused after the tick thread decided.
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
