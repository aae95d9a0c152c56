"""HTTP headers between callers, this system and the endpoints.

Only this module has the names of these headers. It decodes a caller's request into a
`CallerRequest` and encodes the headers that an endpoint gets.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import UTC
from email.utils import parsedate_to_datetime
from http import HTTPStatus
from math import isfinite

from poplarrelay.entry.answers import AnswerMarks
from poplarrelay.entry.brittleness import StatedBrittleness
from poplarrelay.entry.http.connection import Headers, header_value
from poplarrelay.entry.http.listener import IncomingRequest
from poplarrelay.entry.http.pool import Address
from poplarrelay.entry.notices import EndpointNotice
from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.entry.requests import CallerRequest, PromptPart, shorten_id
from poplarrelay.identifiers import EndpointId, RequestId, TeamId

__all__ = [
    "AttemptHeaders",
    "answer_marks",
    "attempt_headers",
    "decode_request",
    "endpoint_notice",
    "identify_request",
    "not_executed",
    "response_headers",
    "stated_limit",
]

_ATTEMPT = b"X-Poplarrelay-Attempt-Id"
_DEADLINE = b"X-Poplarrelay-Deadline-Ms"
_TARGET = b"X-Poplarrelay-Target-Instance"
_TEAM = b"X-Poplarrelay-Tenant"
_PRIORITY = b"X-Poplarrelay-Request-Priority"
_NOT_EXECUTED = b"x-poplarrelay-not-executed"
_SIGNATURE = b"x-poplarrelay-response-signature"
_USAGE = b"x-poplarrelay-token-usage"
_PREFIX = b"x-poplarrelay-prefix-hash"
_MODEL = b"x-poplarrelay-model"
_LAST_EVENT = b"Last-Event-Id"
#: Id of the caller's try that brought the first event of a resumed stream.
_RESUMES = b"resumes"
#: Number of requests per second that an endpoint accepts from all nodes together.
_LIMIT = b"server-limit"
#: Number of rejections in a second, over the requests of all nodes, that an endpoint
#: survives.
_BRITTLE = b"server-brittle"
#: Set to 1 in all answers of an endpoint that is leaving.
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
#: Longest pause in seconds that an endpoint can ask for. Without a limit, one corrupt
#: value would exclude the endpoint until its next run.
MAX_BACKOFF_S = 3600.0
#: Longest id of a try that a resumed stream can name.
MAX_REQUEST_ID_BYTES = 256
#: Parts of a prompt that routing distinguishes, and most digits of their token counts.
MAX_PARTS, MAX_TOKEN_DIGITS = 64, 12
#: Address of an endpoint from which the engine first fetches the prompt's KV cache.
_FETCH_FROM = b"Kv-Fetch"

#: Headers that concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
#: Headers that this system sets, or that frame the body again, so they are not
#: forwarded. With them a caller could choose another team's name, another team's KV
#: cache or an endpoint.
_SYSTEM_HEADERS = frozenset(
    (
        _DEADLINE.lower(),
        _TARGET.lower(),
        _TEAM.lower(),
        _PRIORITY.lower(),
        _LAST_EVENT.lower(),
        b"content-length",
        b"authorization",
        b"x-poplarrelay-expected-version",
        b"x-poplarrelay-cache-hold",
        b"x-poplarrelay-pin-ms",
        b"x-poplarrelay-kv-backup",
        b"x-poplarrelay-duty-holder",
        b"x-poplarrelay-fencing-token",
        _NOT_EXECUTED,
        b"kv-from",
        _FETCH_FROM.lower(),
    )
)
#: Prefix of this system's headers. A caller's ``Connection`` header cannot remove them;
#: otherwise it could remove a request's id or size on the way to the endpoint.
_OWN_PREFIX = b"x-poplarrelay-"
_PROTECTED = frozenset((b"host", b"authorization", b"content-length", b"last-event-id"))
#: Largest priority value that engines accept; requests with 0 are served first.
_LOWEST_PRIORITY = 9


def _named_by_connection(headers: Headers) -> set[bytes]:
    """Return the names of headers that ``Connection`` declares as hop-by-hop."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return {
        name
        for name in named
        if name not in _PROTECTED and not name.startswith(_OWN_PREFIX)
    }


def _end_to_end(headers: Headers) -> Headers:
    dropped = _HOP_BY_HOP | _named_by_connection(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _parse_ms(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value) / 1000
    except ValueError:
        return None


def _bearer_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return key.strip().decode("latin-1") or None


def _token_usage(value: bytes | None) -> tuple[int | None, int | None]:
    """Return the prompt tokens and the largest number of output tokens."""
    if value is None:
        return None, None
    first, _, second = value.partition(b",")
    if max(len(first), len(second)) > MAX_TOKEN_DIGITS:
        return None, None
    try:
        prompt, output = int(first), int(second or 0)
    except ValueError:
        return None, None
    return (prompt, output) if min(prompt, output) >= 0 else (None, None)


def _prefix(value: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; those beyond `MAX_PARTS` count as one."""
    parts: list[PromptPart] = []
    rest_tokens = 0
    for entry in (value or b"").split(b","):
        part, _, tokens = entry.strip().partition(b":")
        if not part or not tokens.isdigit() or len(tokens) > MAX_TOKEN_DIGITS:
            break
        if len(parts) < MAX_PARTS:
            parts.append(PromptPart(shorten_id(part.decode("latin-1")), int(tokens)))
        else:
            rest_tokens += int(tokens)
    if rest_tokens:
        last = parts.pop()
        parts.append(replace(last, tokens=last.tokens + rest_tokens))
    return tuple(parts)


def _host_name(value: bytes | None) -> str:
    host = (value or b"").decode("latin-1").strip().lower()
    name, _, port = host.rpartition(":")
    return name if name and port.isdigit() else host


def _resumed_request(value: bytes | None) -> RequestId | None:
    """Return the id of the try that began a resumed stream, None if not stated."""
    request = (value or b"").strip()
    if not request or len(request) > MAX_REQUEST_ID_BYTES:
        return None
    return RequestId(request.decode("latin-1"))


def identify_request(headers: Headers) -> dict[str, object]:
    """Return the fields that identify a caller's request in log lines."""
    request = header_value(headers, _ATTEMPT.lower()) or b""
    return {"request": request.decode("latin-1")}


def decode_request(incoming: IncomingRequest) -> CallerRequest:
    """Decode a caller's HTTP request."""
    headers = incoming.headers
    path, _, _ = incoming.target.partition(b"?")
    if path.startswith((b"http://", b"https://")):
        rest = path.split(b"//", 1)[1]
        path = b"/" + rest.partition(b"/")[2]
    prompt_tokens, max_output_tokens = _token_usage(header_value(headers, _USAGE))
    return CallerRequest(
        request=RequestId(
            (header_value(headers, _ATTEMPT.lower()) or b"").decode("latin-1")
        ),
        host=_host_name(header_value(headers, b"host")),
        path=path.decode("latin-1"),
        method=incoming.method,
        target=incoming.target,
        body=incoming.body,
        has_body=incoming.has_body,
        forwarded_headers=[
            (name, value)
            for name, value in _end_to_end(headers)
            if name.lower() not in _SYSTEM_HEADERS
        ],
        started_at=incoming.started_at,
        timeout_s=_parse_ms(header_value(headers, _DEADLINE.lower())),
        key=_bearer_key(header_value(headers, b"authorization")),
        credentials=header_value(headers, b"authorization"),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        model=(header_value(headers, _MODEL) or b"").decode("latin-1"),
        prefix=_prefix(header_value(headers, _PREFIX)),
        last_event_id=header_value(headers, _LAST_EVENT.lower()),
        resumes=_resumed_request(header_value(headers, _RESUMES)),
    )


@dataclass(frozen=True, slots=True)
class AttemptHeaders:
    """Values of the headers that this system sets on one attempt.

    Attributes
    ----------
    endpoint : EndpointId
        The only endpoint that is allowed to run the request. Another endpoint may have
        received the address since.
    remaining_s : float
        Seconds until the caller stops waiting for the answer.
    priority : int or None
        Rank of a generation in the engine's queue.
    resume_after : bytes or None
        Id of the last event that the caller has.
    fetch_from : tuple of str and int, or None
        Address of an endpoint that probably has the KV cache of the prompt's shared
        part.
    pass_credentials : bool
        Whether the endpoint gets the caller's credentials. It gets them only if the
        configuration has no teams with keys; a team's key is never forwarded.
    """

    endpoint: EndpointId
    remaining_s: float
    team: TeamId | None = None
    priority: int | None = None
    resume_after: bytes | None = None
    fetch_from: Address | None = None
    pass_credentials: bool = False


def attempt_headers(request: CallerRequest, attempt: AttemptHeaders) -> Headers:
    """Return the headers of an attempt's request to an endpoint."""
    remaining_ms = max(1, int(1000 * attempt.remaining_s))
    headers: Headers = [
        *request.forwarded_headers,
        (_DEADLINE, str(remaining_ms).encode()),
        (_TARGET, attempt.endpoint.encode()),
    ]
    if attempt.team is not None:
        headers.append((_TEAM, attempt.team.encode()))
    if attempt.priority is not None:
        level = max(0, min(_LOWEST_PRIORITY, attempt.priority))
        headers.append((_PRIORITY, str(level).encode()))
    if attempt.resume_after is not None:
        headers.append((_LAST_EVENT, attempt.resume_after))
    if attempt.fetch_from is not None:
        host, port = attempt.fetch_from
        headers.append((_FETCH_FROM, f"{host}:{port}".encode()))
    if attempt.pass_credentials and request.credentials is not None:
        headers.append((b"Authorization", request.credentials))
    if request.has_body:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return headers


def response_headers(headers: Headers) -> Headers:
    """Return those headers of an endpoint's response that the caller gets."""
    return [
        (name, value)
        for name, value in _end_to_end(headers)
        if name.lower() not in (b"content-length", _NOT_EXECUTED)
    ]


def not_executed(status: int, headers: Headers) -> bool:
    """Return whether a response states that the request did not and will not run."""
    return status == 421 or header_value(headers, _NOT_EXECUTED) is not None


def answer_marks(headers: Headers) -> AnswerMarks:
    """Return what the head of a response states about the request that it answers."""
    stated = (value for name, value in headers if name.lower() == _ATTEMPT.lower())
    encoding = header_value(headers, b"content-encoding") or b"identity"
    return AnswerMarks(
        requests=tuple(RequestId(value.decode("latin-1")) for value in stated),
        signed=bool((header_value(headers, _SIGNATURE) or b"").strip()),
        encoded=encoding.strip().lower() != b"identity",
    )


def stated_limit(headers: Headers) -> StatedLimit:
    """Return the rate limit stated in a response.

    Notes
    -----
    If the header occurs several times, the lowest valid value applies.
    """
    return StatedLimit(*_lowest_rate(headers, _LIMIT))


def _lowest_rate(headers: Headers, name: bytes) -> tuple[float | None, bool]:
    """Return the lowest valid value of a header, and whether a stated one is valid."""
    values = [value for other, value in headers if other.lower() == name]
    rates = [rate for rate in map(_rate, values) if rate is not None]
    return min(rates, default=None), bool(rates) or not values


def endpoint_notice(status: int, headers: Headers, wall: float) -> EndpointNotice:
    """Return what the head of a response states about new requests.

    Parameters
    ----------
    status : int
        Status of the response. Only a refusal with 503 or 429 can ask for a pause.
    headers : list of tuple of bytes
        Headers of the response.
    wall : float
        Seconds since the start of 1970, for pauses that end at a date. The response's
        own date is used if it has one.

    Notes
    -----
    If a header occurs several times, the strictest valid value applies.
    """
    leaving = any(
        name.lower() == _LEAVING and value.strip() == b"1" for name, value in headers
    )
    brittleness = StatedBrittleness(*_lowest_rate(headers, _BRITTLE))
    notice = EndpointNotice(leaving, brittleness=brittleness)
    if status not in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
        return notice
    values = [value for name, value in headers if name.lower() == _RETRY_AFTER]
    if not values:
        return notice
    date = _date(header_value(headers, b"date") or b"")
    pauses = [_pause_s(value, wall if date is None else date) for value in values]
    valid = [pause_s for pause_s in pauses if pause_s is not None]
    if not valid:
        return replace(notice, readable=False)
    return replace(notice, backoff_s=min(max(valid), MAX_BACKOFF_S))


def _pause_s(value: bytes, wall: float) -> float | None:
    """Return a pause, stated in seconds or as its end, in seconds; None if invalid."""
    try:
        pause_s = float(value.decode("ascii"))
    except ValueError:
        end = _date(value)
        return None if end is None else max(0.0, end - wall)
    return pause_s if isfinite(pause_s) and pause_s >= 0 else None


def _date(value: bytes) -> float | None:
    """Return an HTTP date in seconds since the start of 1970, None if it is invalid."""
    try:
        date = parsedate_to_datetime(value.decode("ascii"))
        return (date if date.tzinfo else date.replace(tzinfo=UTC)).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None


def _rate(value: bytes) -> float | None:
    """Return a finite, non-negative number, None if the value is anything else."""
    try:
        rate = float(value.decode("ascii"))
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 else None
