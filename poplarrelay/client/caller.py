"""A caller: makes requests, comes back when told, resumes cut streams."""

from __future__ import annotations

import json
import random
import secrets
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from poplarrelay.client.discovery import Discovery, NodeAddress
from poplarrelay.client.failures import (
    AnswerNotRun,
    AnswerUnknown,
    ClientError,
    RequestRefused,
)
from poplarrelay.providers.http import JsonHttpClient

__all__ = ["CallerClient", "CompletionResult", "DeferredResult", "ServiceResult"]

CONNECT_TIMEOUT_S = 1.0
#: Seconds without a byte after which a node counts as frozen.
STALL_S = 4.0
#: Pause before another try if the system names none, in seconds.
DEFAULT_PAUSE_S = 0.2
#: Longest pause between two tries, in seconds.
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class CompletionResult:
    """A whole completion.

    Attributes
    ----------
    tokens : list of str
        The answer's tokens, each once and in order.
    first_token_s : float or None
        Seconds until the first one.
    streams : int
        Streams that it took; more than one if it was resumed.
    """

    tokens: list[str] = field(default_factory=list)
    usage: dict[str, int] = field(default_factory=dict)
    first_token_s: float | None = None
    streams: int = 0

    @property
    def text(self) -> str:
        """Return the whole text."""
        return "".join(self.tokens)


@dataclass(frozen=True, slots=True)
class ServiceResult:
    """A plain service's answer."""

    status: int
    body: bytes
    key: str | None


@dataclass(frozen=True, slots=True)
class DeferredResult:
    """Where a deferred request stands."""

    id: str
    status: str
    document: dict[str, Any]


class _Cut(ClientError):
    """A stream ended without its end."""


class _GoOn(ClientError):
    """A stream goes on at another address."""

    def __init__(self, address: str) -> None:
        super().__init__("the node is leaving")
        self.address = address


def _problem(response: urllib3.BaseHTTPResponse) -> dict[str, Any]:
    try:
        value = json.loads(response.data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _failure(status: int, problem: dict[str, Any]) -> ClientError:
    title = str(problem.get("title", f"status {status}"))
    if 400 <= status < 500 and status != 429 and "retry_after_s" not in problem:
        return RequestRefused(title, problem)
    if problem.get("outcome") == "not_run":
        return AnswerNotRun(title, problem)
    return AnswerUnknown(title, problem)


class CallerClient:
    """Makes requests of one team.

    Parameters
    ----------
    known : tuple of str
        Callers' addresses of some nodes.
    token : str
        The team's bearer token.
    seed : int or None
        Seed of the choice among addresses.

    Notes
    -----
    A request that may have run is sent again only under the same key, and for a
    completion only for the tokens that are still missing.
    """

    def __init__(
        self, known: tuple[str, ...], token: str, seed: int | None = None
    ) -> None:
        self._rng = random.Random(seed)
        self._discovery = Discovery(
            known, token, JsonHttpClient(CONNECT_TIMEOUT_S), self._rng
        )
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)

    # -- keys --------------------------------------------------------------

    def new_ticket(self) -> tuple[str, str]:
        """Return an address and a ticket that its node runs."""
        chosen = self._discovery.addresses()[0]
        return chosen.address, f"{chosen.ticket}.{secrets.token_hex(8)}"

    # -- completions -------------------------------------------------------

    def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        timeout_s: float = 30.0,
        request_class: str = "standard",
    ) -> CompletionResult:
        """Return a whole completion, resumed at other nodes if need be.

        Raises
        ------
        ClientError
            If there is no whole answer in time.
        """
        result = CompletionResult()
        for _ in self.stream(
            model, prompt, max_tokens, timeout_s, request_class, result
        ):
            pass
        return result

    def stream(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        timeout_s: float = 30.0,
        request_class: str = "standard",
        result: CompletionResult | None = None,
    ) -> Iterator[str]:
        """Return the tokens of a completion, each once and in order."""
        result = result if result is not None else CompletionResult()
        started = time.monotonic()
        deadline = started + timeout_s
        wanted: str | None = None
        while True:
            address = wanted or self._discovery.addresses()[0].address
            wanted = None
            body = {
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
                "resume_from": len(result.tokens),
            }
            result.streams += 1
            try:
                for text in self._read_stream(
                    address, body, deadline, request_class, result
                ):
                    if result.first_token_s is None:
                        result.first_token_s = time.monotonic() - started
                    result.tokens.append(text)
                    yield text
                return
            except _GoOn as go_on:
                wanted = go_on.address
            except RequestRefused:
                raise
            except ClientError as failure:
                self._discovery.avoid(address)
                self._pause(failure, deadline)

    def _pause(self, failure: ClientError, deadline: float) -> None:
        """Wait as told, or give up if that is past the deadline."""
        pause = failure.retry_after_s
        pause = DEFAULT_PAUSE_S if pause is None else min(MAX_PAUSE_S, pause)
        pause *= 0.5 + self._rng.random()
        if time.monotonic() + pause >= deadline:
            raise failure
        time.sleep(pause)

    def _send(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        deadline: float,
        headers: dict[str, str],
        stall_s: float = STALL_S,
    ) -> urllib3.BaseHTTPResponse:
        left = deadline - time.monotonic()
        if left <= 0:
            raise AnswerNotRun("the deadline has passed")
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, left), read=min(stall_s, left + 0.5)
        )
        try:
            return self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={
                    **self._headers,
                    "Request-Timeout": f"{left:.3f}",
                    **headers,
                },
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise AnswerNotRun("the node cannot be reached") from error
        except (HTTPError, OSError) as error:
            raise AnswerUnknown("the node gave no answer") from error

    def _read_stream(
        self,
        address: str,
        body: dict[str, Any],
        deadline: float,
        request_class: str,
        result: CompletionResult,
    ) -> Iterator[str]:
        headers = {"Request-Class": request_class}
        # A completion that waits for an engine sends nothing, so only the
        # deadline bounds the wait for its first token.
        response = self._send(
            "POST",
            address,
            "/v1/completions",
            json.dumps(body).encode(),
            deadline,
            headers,
            stall_s=max(STALL_S, deadline - time.monotonic()),
        )
        try:
            if response.status != 200:
                raise _failure(response.status, _problem(response))
            yield from self._read_events(response, body["resume_from"], result)
        except (HTTPError, OSError) as error:
            raise _Cut("the stream was cut") from error
        finally:
            response.close()

    def _read_events(
        self,
        response: urllib3.BaseHTTPResponse,
        next_index: int,
        result: CompletionResult,
    ) -> Iterator[str]:
        rest = b""
        for chunk in response.stream(65_536):
            *events, rest = (rest + chunk).split(b"\n\n")
            for event in events:
                if event == b"data: [DONE]":
                    return
                text = self._read_event(event, next_index, result)
                if text is not None:
                    next_index += 1
                    yield text
        raise _Cut("the stream ended without its end")

    @staticmethod
    def _read_event(
        event: bytes, next_index: int, result: CompletionResult
    ) -> str | None:
        name, _, data = event.rpartition(b"data: ")
        document = json.loads(data)
        if name.startswith(b"event: continue"):
            raise _GoOn(document["address"])
        if name.startswith(b"event: error"):
            raise _failure(document["status"], document)
        if "token_count" in document:
            if document["token_count"] != next_index:
                raise _Cut("the end does not match the tokens")
            result.usage = document["usage"]
            return None
        if document["token_index"] != next_index:
            raise _Cut("a token is missing")
        return document["choices"][0]["text"]

    # -- plain services ----------------------------------------------------

    def call_service(
        self,
        service: str,
        path: str,
        body: bytes | None = None,
        method: str = "POST",
        timeout_s: float = 10.0,
        key: str | None = None,
        use_ticket: bool = True,
        request_class: str = "standard",
    ) -> ServiceResult:
        """Call a plain service; a call that may not be repeated runs at most once.

        Parameters
        ----------
        key : str or None
            Idempotency key; None for a ticket, or for none at all.
        use_ticket : bool
            Whether to use a ticket if there is no key.

        Raises
        ------
        ClientError
            If there is no answer in time.
        """
        deadline = time.monotonic() + timeout_s
        wanted: str | None = None
        own_ticket = key is None and use_ticket and method not in ("GET", "HEAD")
        headers = {"Request-Class": request_class}
        maybe_ran = False
        while True:
            if own_ticket and not maybe_ran:
                # Nothing has run under an earlier ticket, so a node that cannot be
                # reached is left together with its ticket.
                wanted, key = self.new_ticket()
            if key is not None:
                headers["Idempotency-Key"] = key
            address = wanted or self._discovery.addresses()[0].address
            wanted = None
            try:
                return self._call_once(
                    method,
                    address,
                    f"/services/{service}{path}",
                    body,
                    deadline,
                    headers,
                )
            except RequestRefused:
                raise
            except AnswerNotRun as failure:
                self._discovery.avoid(address)
                self._pause_or_tell(failure, deadline, maybe_ran)
            except AnswerUnknown as failure:
                maybe_ran = True
                self._discovery.avoid(address)
                if key is None and method not in ("GET", "HEAD"):
                    raise
                self._pause(failure, deadline)

    def _pause_or_tell(
        self, failure: AnswerNotRun, deadline: float, maybe_ran: bool
    ) -> None:
        """Wait; at the end "not run" is told only if no earlier try may have run."""
        try:
            self._pause(failure, deadline)
        except AnswerNotRun:
            if maybe_ran and failure.problem.get("outcome") != "not_run":
                raise AnswerUnknown("an earlier try may have run") from failure
            raise

    def _call_once(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        deadline: float,
        headers: dict[str, str],
    ) -> ServiceResult:
        left = max(STALL_S, deadline - time.monotonic())
        response = self._send(
            method, address, path, body, deadline, headers, stall_s=left
        )
        try:
            data = response.read()
        except (HTTPError, OSError) as error:
            raise AnswerUnknown("the answer was cut") from error
        finally:
            response.close()
        if response.headers.get("Request-Outcome") != "answered":
            problem = json.loads(data) if data.startswith(b"{") else {}
            raise _failure(response.status, problem)
        return ServiceResult(response.status, data, headers.get("Idempotency-Key"))

    # -- deferred requests -------------------------------------------------

    def defer(
        self,
        url: str,
        body: dict[str, Any],
        timeout_s: float = 60.0,
        key: str | None = None,
    ) -> DeferredResult:
        """Leave a request with the system, to be fetched later by its id."""
        headers = {} if key is None else {"Idempotency-Key": key}
        headers["Request-Class"] = "patient"
        deadline = time.monotonic() + timeout_s
        content = json.dumps({"url": url, "body": body}).encode()
        return self._deferred("POST", "/v1/requests", content, deadline, headers)

    def fetch(self, request: str, timeout_s: float = 5.0) -> DeferredResult:
        """Tell where a deferred request stands."""
        deadline = time.monotonic() + timeout_s
        return self._deferred("GET", f"/v1/requests/{request}", None, deadline, {})

    def wait_for(self, request: str, timeout_s: float) -> DeferredResult:
        """Wait until a deferred request has ended.

        Raises
        ------
        AnswerUnknown
            If it has not ended in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = self.fetch(request)
            if found.status != "running":
                return found
            time.sleep(float(found.document.get("retry_after_s", DEFAULT_PAUSE_S)))
        raise AnswerUnknown("the request has not ended yet")

    def _deferred(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: float,
        headers: dict[str, str],
    ) -> DeferredResult:
        while True:
            address: NodeAddress = self._discovery.addresses()[0]
            try:
                response = self._send(
                    method, address.address, path, body, deadline, headers
                )
                document = _problem(response)
                if response.status in (200, 202):
                    return DeferredResult(document["id"], document["status"], document)
                raise _failure(response.status, document)
            except RequestRefused:
                raise
            except ClientError as failure:
                self._discovery.avoid(address.address)
                self._pause(failure, deadline)
