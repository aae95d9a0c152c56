"""Handlers of the callers' listener.

They serve discovery, completions, calls to plain services and deferred requests.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

import cherrypy
import orjson

from poplarrelay.exception import (
    AuthenticationFailed,
    CallerError,
    MalformedBody,
    MalformedHeader,
    RequestNotFound,
)
from poplarrelay.identifiers import IdempotencyKey, RequestId
from poplarrelay.messages.calls import RequestArrived
from poplarrelay.messages.questions import AddressesRequested, LookupRequested
from poplarrelay.node.completion_writer import (
    CompletionForm,
    CompletionWriter,
    outcome_document,
)
from poplarrelay.node.gateway import Gateway, SessionEvents
from poplarrelay.node.request_bodies import (
    ChatBody,
    CompletionBody,
    DeferredBody,
    chat_work,
    completion_work,
    service_work,
)
from poplarrelay.node.sessions import Accepted, CallerEvent, Ended, Rejected
from poplarrelay.outcomes import Answered, Outcome
from poplarrelay.providers.http import CallFailed, JsonHttpClient
from poplarrelay.systems.lookups import (
    LookupAtPeers,
    LookupResult,
    SearchResult,
    combine_search,
)
from poplarrelay.tables.requests import RequestClass, Work
from poplarrelay.web.exchange import (
    answer_json,
    header,
    parse_body,
    read_body,
    reject,
    require_method,
)
from poplarrelay.web.problems import Problem, ProblemResponse

__all__ = ["CallersRoot"]

CLASS_HEADER = "Request-Class"
TIMEOUT_HEADER = "Request-Timeout"
KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Request-Outcome"
MAX_TIMEOUT_S = 86_400.0
#: Timeout of a query to one node for a deferred request, in seconds.
LOOKUP_TIMEOUT_S = 0.7
#: Field of a peer's reply that is true if the peer has only a copy of the request.
COPY_FIELD = "copy"
_BEARER = "Bearer "


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Values of the headers of a request.

    Attributes
    ----------
    timeout_s : float or None
        Seconds that the caller still waits. The header has a duration and not a
        time of day, because the clocks of two hosts can differ.
    """

    token_sha256: str
    request_class: RequestClass
    timeout_s: float | None
    key: IdempotencyKey | None


def read_token_digest() -> str:
    """Return the SHA-256 digest of the bearer token.

    Raises
    ------
    AuthenticationFailed
        If there is no bearer token.
    """
    value = header("Authorization") or ""
    if not value.startswith(_BEARER):
        raise AuthenticationFailed("a bearer token is required")
    token = value[len(_BEARER) :].strip()
    return hashlib.sha256(token.encode()).hexdigest()


def _read_timeout() -> float | None:
    text = header(TIMEOUT_HEADER)
    if text is None:
        return None
    try:
        timeout = float(text)
    except ValueError:
        raise MalformedHeader(f"{TIMEOUT_HEADER} is a number of seconds") from None
    if not 0 < timeout <= MAX_TIMEOUT_S:
        raise MalformedHeader(f"{TIMEOUT_HEADER} is over 0 and at most a day")
    return timeout


def _read_class(default: RequestClass) -> RequestClass:
    text = header(CLASS_HEADER)
    if text is None:
        return default
    try:
        return RequestClass(text.strip().lower())
    except ValueError:
        names = ", ".join(each.value for each in RequestClass)
        raise MalformedHeader(f"{CLASS_HEADER} is one of {names}") from None


def read_request_headers(
    default: RequestClass = RequestClass.STANDARD,
) -> RequestHeaders:
    """Return the values of the headers of the current request.

    Raises
    ------
    AuthenticationFailed, MalformedHeader
        If the token is absent or a header is not valid.
    """
    key = header(KEY_HEADER)
    return RequestHeaders(
        read_token_digest(),
        _read_class(default),
        _read_timeout(),
        None if key is None else IdempotencyKey(key.strip().strip('"')),
    )


def _first_event(events: SessionEvents) -> CallerEvent:
    """Return the first event; raise an HTTP error if it is a failure."""
    event = next(events)
    if isinstance(event, Rejected):
        events.close()
        raise reject(event.error)
    if isinstance(event, Ended) and not isinstance(event.outcome, Answered):
        events.close()
        raise ProblemResponse(outcome_document(event.outcome))
    return event


def _final_answer(events: SessionEvents) -> Outcome:
    """Read all events and return the answer; raise an HTTP error for a failure."""
    try:
        event = _first_event(events)
        while not isinstance(event, Ended):
            event = next(events)
    finally:
        events.close()
    if not isinstance(event.outcome, Answered):
        raise ProblemResponse(outcome_document(event.outcome))
    return event.outcome


class CompletionHandler:
    """Handler of ``POST /v1/completions`` or ``POST /v1/chat/completions``."""

    def __init__(self, gateway: Gateway, form: CompletionForm) -> None:
        self._gateway = gateway
        self._form = form

    @cherrypy.expose
    def index(self, **query: str) -> bytes | Iterator[bytes]:
        """Answer a completion request, as a stream or in one piece."""
        require_method("POST")
        received = self._gateway.arrival_time()
        try:
            headers = read_request_headers()
            work, stream = self._read_work()
        except CallerError as error:
            raise reject(error) from None
        writer = CompletionWriter(
            self._form, self._gateway.new_request_id(), work.name, work.resume_from
        )
        request = writer.request
        events = self._gateway.serve(_request_arrival(request, headers, work, received))
        if stream:
            return self._stream(events, writer)
        answered = _final_answer(events)
        assert isinstance(answered, Answered)
        return answer_json(writer.document(answered))

    def _read_work(self) -> tuple[Work, bool]:
        body = read_body(self._gateway.settings.limits.max_body_bytes)
        if self._form is CompletionForm.CHAT:
            chat = parse_body(body, ChatBody)
            return chat_work(chat), chat.stream
        text = parse_body(body, CompletionBody)
        work = completion_work(
            text.model, text.prompt, text.max_tokens, text.resume_from
        )
        return work, text.stream

    @staticmethod
    def _stream(events: SessionEvents, writer: CompletionWriter) -> Iterator[bytes]:
        first = _first_event(events)
        response = cherrypy.response
        response.headers["Content-Type"] = "text/event-stream"
        response.headers["Cache-Control"] = "no-store"
        response.stream = True
        return _close_after(writer.stream(first, events), events)


def _close_after(body: Iterator[bytes], events: SessionEvents) -> Iterator[bytes]:
    """Iterate over a body and close its session, even if the caller disconnects."""
    try:
        yield from body
    finally:
        events.close()


def _request_arrival(
    request: RequestId,
    headers: RequestHeaders,
    work: Work,
    received: float,
    deferred: bool = False,
) -> RequestArrived:
    return RequestArrived(
        id=request,
        token_sha256=headers.token_sha256,
        work=work,
        request_class=headers.request_class,
        timeout_s=headers.timeout_s,
        received=received,
        key=headers.key,
        deferred=deferred,
    )


def _path_and_query(path: tuple[str, ...]) -> str:
    full_path = "/" + "/".join(quote(part, safe="~:@!$&'()*+,;=") for part in path)
    query = cherrypy.request.query_string
    return f"{full_path}?{query}" if query else full_path


class ServiceHandler:
    """Handler of ``/services/{service}/{path}`` for all methods."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    @cherrypy.expose
    def default(self, service: str = "", *path: str, **query: str) -> bytes:
        """Forward a call to a plain service and return its answer."""
        received = self._gateway.arrival_time()
        try:
            headers = read_request_headers()
            work = service_work(
                service,
                cherrypy.request.method,
                _path_and_query(path),
                header("Content-Type") or "",
                read_body(self._gateway.settings.limits.max_body_bytes),
            )
        except CallerError as error:
            raise reject(error) from None
        request = self._gateway.new_request_id()
        events = self._gateway.serve(_request_arrival(request, headers, work, received))
        answered = _final_answer(events)
        assert isinstance(answered, Answered)
        return _service_answer(answered)


def _service_answer(answered: Answered) -> bytes:
    service = answered.service
    assert service is not None
    cherrypy.response.status = service.status
    cherrypy.response.headers["Content-Type"] = service.content_type or "text/plain"
    cherrypy.response.headers[OUTCOME_HEADER] = "answered"
    return service.body


class DeferredHandler:
    """Handler of ``POST /v1/requests`` and ``GET /v1/requests/{id}``."""

    def __init__(self, gateway: Gateway, http_client: JsonHttpClient) -> None:
        self._gateway = gateway
        self._http_client = http_client

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Accept a deferred request (POST) or return the state of one (GET)."""
        if path:
            require_method("GET")
            return self._look_up(RequestId(path[0]))
        require_method("POST")
        return self._accept()

    def _accept(self) -> bytes:
        received = self._gateway.arrival_time()
        try:
            headers = read_request_headers(RequestClass.PATIENT)
            limit = self._gateway.settings.limits.max_body_bytes
            body = parse_body(read_body(limit), DeferredBody)
            work = _deferred_work(body)
        except CallerError as error:
            raise reject(error) from None
        request = self._gateway.new_request_id()
        arrival = _request_arrival(request, headers, work, received, deferred=True)
        events = self._gateway.serve(arrival)
        event = _first_event(events)
        events.close()
        assert isinstance(event, Accepted)
        location = f"/v1/requests/{request}"
        cherrypy.response.headers["Location"] = location
        return answer_json({"id": request, "status": "accepted"}, status=202)

    def _look_up(self, request: RequestId) -> bytes:
        try:
            digest = read_token_digest()
        except CallerError as error:
            raise reject(error) from None
        found = self._gateway.call(lambda call: LookupRequested(call, digest, request))
        if isinstance(found, CallerError):
            raise reject(found)
        if isinstance(found, LookupAtPeers):
            return self._search_peers(request, found)
        assert isinstance(found, LookupResult)
        return answer_json(lookup_document(request, found))

    def _search_peers(self, request: RequestId, found: LookupAtPeers) -> bytes:
        path = f"/peer/requests/{quote(request)}?team={quote(found.team)}"
        copy_found, unanswered = False, set()
        for peer in found.peers:
            try:
                reply = self._http_client.call(
                    "GET", peer, path, timeout_s=LOOKUP_TIMEOUT_S
                )
            except CallFailed:
                unanswered.add(peer)
                continue
            if reply.ok and not reply.value.get(COPY_FIELD, False):
                return answer_json(reply.value)
            copy_found = copy_found or reply.ok
            if not reply.ok and reply.status != HTTPStatus.NOT_FOUND:
                unanswered.add(peer)
        result = combine_search(found, copy_found, unanswered)
        if result is SearchResult.RUNNING:
            return answer_json(lookup_document(request, LookupResult(None)))
        if result is SearchResult.ABSENT:
            raise reject(RequestNotFound("the team has no such request"))
        raise ProblemResponse(
            Problem(
                502,
                "home-unreachable",
                "The node that keeps the request does not answer",
                outcome="unknown",
                retry_after_s=1.0,
            )
        )


def lookup_document(request: RequestId, found: LookupResult) -> dict[str, object]:
    """Return the document that tells a caller the state of a deferred request."""
    outcome = found.outcome
    if outcome is None:
        return {"id": request, "status": "running", "retry_after_s": 0.5}
    if not isinstance(outcome, Answered):
        problem = orjson.loads(outcome_document(outcome).to_json())
        return {"id": request, "status": "ended", "problem": problem}
    document: dict[str, object] = {"id": request, "status": "answered"}
    if outcome.service is not None:
        document["response"] = {
            "status": outcome.service.status,
            "content_type": outcome.service.content_type,
            "body": outcome.service.body.decode("utf-8", "replace"),
        }
        return document
    writer = CompletionWriter(CompletionForm.TEXT, request, "", 0)
    document["response"] = writer.document(outcome)
    return document


def _deferred_work(body: DeferredBody) -> Work:
    body_json = orjson.dumps(body.body)
    if body.url == "/v1/completions":
        text = parse_body(body_json, CompletionBody)
        return completion_work(text.model, text.prompt, text.max_tokens, 0)
    if body.url == "/v1/chat/completions":
        chat = parse_body(body_json, ChatBody)
        return completion_work(chat.model, chat.prompt, chat.max_tokens, 0)
    _, _, service, *path = body.url.split("/")
    if not service:
        raise MalformedBody("the url names no service")
    content = b"" if body.method == "GET" else body_json
    full_path = "/" + "/".join(path)
    return service_work(service, body.method, full_path, "application/json", content)


class AddressesHandler:
    """Handler of ``GET /v1/addresses``."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    @cherrypy.expose
    def index(self, **query: str) -> bytes:
        """Return the addresses of the nodes that the caller can use."""
        require_method("GET")
        try:
            digest = read_token_digest()
        except CallerError as error:
            raise reject(error) from None
        answer = self._gateway.call(lambda call: AddressesRequested(call, digest))
        if isinstance(answer, CallerError):
            raise reject(answer)
        return answer_json(answer)


class _Version:
    """Node ``/v1`` of the URL tree."""


class _Chat:
    """Node ``/v1/chat`` of the URL tree."""


class CallersRoot:
    """Root of the URL tree of the callers' listener."""

    def __init__(self, gateway: Gateway, http_client: JsonHttpClient) -> None:
        self.services = ServiceHandler(gateway)
        self.v1 = _Version()
        self.v1.addresses = AddressesHandler(gateway)  # type: ignore[attr-defined]
        self.v1.requests = DeferredHandler(gateway, http_client)  # type: ignore[attr-defined]
        self.v1.completions = CompletionHandler(  # type: ignore[attr-defined]
            gateway, CompletionForm.TEXT
        )
        self.v1.chat = _Chat()  # type: ignore[attr-defined]
        self.v1.chat.completions = CompletionHandler(  # type: ignore[attr-defined]
            gateway, CompletionForm.CHAT
        )
