"""Client for callers, which retries requests and resumes interrupted streams."""

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
#: Seconds without data after which a node counts as frozen.
STALL_S = 4.0
#: Pause before a retry if the node states none, in seconds.
DEFAULT_PAUSE_S = 0.2
#: Longest pause between two attempts, in seconds.
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class CompletionResult:
    """A completion and figures about its streams.

    Attributes
    ----------
    tokens : list of str
        Tokens of the answer, each once and in order.
    first_token_s : float or None
        Seconds from the start of the call to the first token.
    streams : int
        Number of streams; more than 1 if the completion was resumed.
    """

    tokens: list[str] = field(default_factory=list)
    usage: dict[str, int] = field(default_factory=dict)
    first_token_s: float | None = None
    streams: int = 0

    @property
    def text(self) -> str:
        """Return the text of all tokens."""
        return "".join(self.tokens)


@dataclass(frozen=True, slots=True)
class ServiceResult:
    """The answer of a plain service."""

    status: int
    body: bytes
    key: str | None


@dataclass(frozen=True, slots=True)
class DeferredResult:
    """The state of a deferred request."""

    id: str
    status: str
    document: dict[str, Any]


class _StreamInterrupted(ClientError):
    """The stream lost a token or closed without a valid end event."""


class _StreamContinues(ClientError):
    """The stream continues at another node."""

    def __init__(self, address: str) -> None:
        super().__init__("the node is leaving")
        self.address = address


def _problem_document(response: urllib3.BaseHTTPResponse) -> dict[str, Any]:
    try:
        value = json.loads(response.data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _error_from_problem(status: int, problem: dict[str, Any]) -> ClientError:
    title = str(problem.get("title", f"status {status}"))
    if 400 <= status < 500 and status != 429 and "retry_after_s" not in problem:
        return RequestRefused(title, problem)
    if problem.get("outcome") == "not_run":
        return AnswerNotRun(title, problem)
    return AnswerUnknown(title, problem)


class CallerClient:
    """Sends the requests of one team.

    Parameters
    ----------
    initial_addresses : tuple of str
        Callers' addresses of some nodes, for discovery.
    token : str
        The team's bearer token.
    seed : int or None
        Seed of the random choice of addresses and the jitter of pauses.

    Notes
    -----
    A request that may have run is sent again only with the same key. A completion
    is sent again only for the tokens that are still missing.
    """

    def __init__(
        self, initial_addresses: tuple[str, ...], token: str, seed: int | None = None
    ) -> None:
        self._rng = random.Random(seed)
        self._discovery = Discovery(
            initial_addresses, token, JsonHttpClient(CONNECT_TIMEOUT_S), self._rng
        )
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)

    # -- keys --------------------------------------------------------------

    def new_ticket(self) -> tuple[str, str]:
        """Return a node's address and a new ticket that this node runs."""
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
        """Return a completion, resumed at other nodes if necessary.

        Raises
        ------
        ClientError
            If there is no complete answer before the timeout.
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
        """Yield the tokens of a completion, each once and in order."""
        result = result if result is not None else CompletionResult()
        started = time.monotonic()
        deadline = started + timeout_s
        next_address: str | None = None
        while True:
            address = next_address or self._discovery.addresses()[0].address
            next_address = None
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
            except _StreamContinues as continuation:
                next_address = continuation.address
            except RequestRefused:
                raise
            except ClientError as failure:
                self._discovery.avoid(address)
                self._pause_before_retry(failure, deadline)

    def _pause_before_retry(self, failure: ClientError, deadline: float) -> None:
        """Wait for the time that the failure states.

        Raises
        ------
        ClientError
            The failure, if the wait would reach the deadline.
        """
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
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise AnswerNotRun("the deadline of the request has passed")
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s),
            read=min(stall_s, remaining_s + 0.5),
        )
        try:
            return self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={
                    **self._headers,
                    "Request-Timeout": f"{remaining_s:.3f}",
                    **headers,
                },
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise AnswerNotRun("the connection to the node cannot be opened") from error
        except (HTTPError, OSError) as error:
            raise AnswerUnknown("the node did not answer") from error

    def _read_stream(
        self,
        address: str,
        body: dict[str, Any],
        deadline: float,
        request_class: str,
        result: CompletionResult,
    ) -> Iterator[str]:
        headers = {"Request-Class": request_class}
        # A completion that waits for an engine sends no data. Therefore only the
        # deadline limits the wait for its first token.
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
                raise _error_from_problem(response.status, _problem_document(response))
            yield from self._read_events(response, body["resume_from"], result)
        except (HTTPError, OSError) as error:
            raise _StreamInterrupted(
                "the connection failed during the stream"
            ) from error
        finally:
            response.close()

    def _read_events(
        self,
        response: urllib3.BaseHTTPResponse,
        next_index: int,
        result: CompletionResult,
    ) -> Iterator[str]:
        buffer = b""
        for chunk in response.stream(65_536):
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                if event == b"data: [DONE]":
                    return
                text = self._read_event(event, next_index, result)
                if text is not None:
                    next_index += 1
                    yield text
        raise _StreamInterrupted("the stream closed without an end event")

    @staticmethod
    def _read_event(
        event: bytes, next_index: int, result: CompletionResult
    ) -> str | None:
        name, _, data = event.rpartition(b"data: ")
        document = json.loads(data)
        if name.startswith(b"event: continue"):
            raise _StreamContinues(document["address"])
        if name.startswith(b"event: error"):
            raise _error_from_problem(document["status"], document)
        if "token_count" in document:
            if document["token_count"] != next_index:
                raise _StreamInterrupted("the token count of the end event is wrong")
            result.usage = document["usage"]
            return None
        if document["token_index"] != next_index:
            raise _StreamInterrupted("a token index is missing from the stream")
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
        """Call a plain service; a call that is not repeatable runs at most once.

        Parameters
        ----------
        key : str or None
            Idempotency key; None to use a ticket or no key.
        use_ticket : bool
            Whether to use a ticket if `key` is None; not for GET and HEAD.

        Raises
        ------
        ClientError
            If there is no answer before the timeout.
        """
        deadline = time.monotonic() + timeout_s
        next_address: str | None = None
        needs_ticket = key is None and use_ticket and method not in ("GET", "HEAD")
        headers = {"Request-Class": request_class}
        may_have_run = False
        while True:
            if needs_ticket and not may_have_run:
                # No call has run with an earlier ticket. Therefore the client can
                # change to another node and its ticket.
                next_address, key = self.new_ticket()
            if key is not None:
                headers["Idempotency-Key"] = key
            address = next_address or self._discovery.addresses()[0].address
            next_address = None
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
                self._pause_after_not_run(failure, deadline, may_have_run)
            except AnswerUnknown as failure:
                may_have_run = True
                self._discovery.avoid(address)
                if key is None and method not in ("GET", "HEAD"):
                    raise
                self._pause_before_retry(failure, deadline)

    def _pause_after_not_run(
        self, failure: AnswerNotRun, deadline: float, may_have_run: bool
    ) -> None:
        """Wait before a retry, or raise an exception if the deadline is too close.

        The exception is `AnswerNotRun` only if no earlier attempt may have run or
        the node states "not_run".
        """
        try:
            self._pause_before_retry(failure, deadline)
        except AnswerNotRun:
            if may_have_run and failure.problem.get("outcome") != "not_run":
                raise AnswerUnknown("an earlier attempt may have run") from failure
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
        remaining_s = max(STALL_S, deadline - time.monotonic())
        response = self._send(
            method, address, path, body, deadline, headers, stall_s=remaining_s
        )
        try:
            data = response.read()
        except (HTTPError, OSError) as error:
            raise AnswerUnknown("the connection failed during the answer") from error
        finally:
            response.close()
        if response.headers.get("Request-Outcome") != "answered":
            problem = json.loads(data) if data.startswith(b"{") else {}
            raise _error_from_problem(response.status, problem)
        return ServiceResult(response.status, data, headers.get("Idempotency-Key"))

    # -- deferred requests -------------------------------------------------

    def defer(
        self,
        url: str,
        body: dict[str, Any],
        timeout_s: float = 60.0,
        key: str | None = None,
    ) -> DeferredResult:
        """Submit a deferred request, whose outcome is fetched later by its id."""
        headers = {} if key is None else {"Idempotency-Key": key}
        headers["Request-Class"] = "patient"
        deadline = time.monotonic() + timeout_s
        content = json.dumps({"url": url, "body": body}).encode()
        return self._call_deferred("POST", "/v1/requests", content, deadline, headers)

    def fetch(self, request: str, timeout_s: float = 5.0) -> DeferredResult:
        """Return the state of a deferred request."""
        deadline = time.monotonic() + timeout_s
        return self._call_deferred("GET", f"/v1/requests/{request}", None, deadline, {})

    def wait_for(self, request: str, timeout_s: float) -> DeferredResult:
        """Wait until a deferred request has ended.

        Raises
        ------
        AnswerUnknown
            If the request has not ended before the timeout.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = self.fetch(request)
            if found.status != "running":
                return found
            time.sleep(float(found.document.get("retry_after_s", DEFAULT_PAUSE_S)))
        raise AnswerUnknown("the deferred request has not ended before the timeout")

    def _call_deferred(
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
                document = _problem_document(response)
                if response.status in (200, 202):
                    return DeferredResult(document["id"], document["status"], document)
                raise _error_from_problem(response.status, document)
            except RequestRefused:
                raise
            except ClientError as failure:
                self._discovery.avoid(address.address)
                self._pause_before_retry(failure, deadline)
