"""Final answers to callers, and the log line that goes with each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

import orjson

from poplarrelay.entry.case import Case
from poplarrelay.entry.http.connection import Headers
from poplarrelay.entry.http.listener import Exchange
from poplarrelay.entry.outcomes import Answered, Refusal, RefusalReason
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.entry.state import EntryState

__all__ = ["Answers"]

_LOG = logging.getLogger("poplarrelay.entry.request")

#: Statuses that promise that a request has not run. From an endpoint that does not
#: say so expressly they are no promise, and must not reach the caller as one.
_PROMISES = frozenset((408, 421, 429, 503))


class Answers:
    """Writes the final answer of each request, exactly one.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    observe : callable
        Takes route, status and seconds of each request, for the metrics.
    """

    def __init__(
        self, state: EntryState, observe: Callable[[str, str, float], None]
    ) -> None:
        self._state = state
        self._observe = observe

    async def refuse(
        self, request: CallerRequest, exchange: Exchange, refusal: Refusal
    ) -> None:
        """Refuse a request that the configuration does not admit, or not now."""
        await self._write_refusal(request, exchange, refusal)

    async def pass_on(self, case: Case, answer: Answered) -> None:
        """Pass on an endpoint's whole answer."""
        if answer.status in _PROMISES:
            refusal = Refusal(502, RefusalReason.UNKNOWN, detail=answer.why)
            await self.end(case, refusal)
            return
        await case.exchange.send(answer.status, answer.headers, answer.body)
        self.log_end(case, answer.status, "answered")

    async def end(self, case: Case, refusal: Refusal) -> None:
        """End a request for which no endpoint's answer is passed on."""
        if case.exchange.begun:
            # Part of the stream is out. Breaking the connection tells the caller
            # that it is not whole.
            case.exchange.abort()
            self.log_end(case, 0, f"broken off: {refusal.reason.value}")
            return
        await self._write_refusal(case.request, case.exchange, refusal, case)

    async def _write_refusal(
        self,
        request: CallerRequest,
        exchange: Exchange,
        refusal: Refusal,
        case: Case | None = None,
    ) -> None:
        status = HTTPStatus(refusal.status)
        headers: Headers = [(b"Content-Type", b"application/problem+json")]
        if refusal.retry_after_s is not None:
            headers.append((b"Retry-After", f"{refusal.retry_after_s:.3f}".encode()))
        if request.request:
            headers.append((b"X-Request-Id", request.request.encode("latin-1")))
        body = orjson.dumps(
            {"title": status.phrase, "status": status, "detail": refusal.reason.value}
        )
        if not exchange.caller_gone:
            await exchange.send(status, headers, body)
        if case is not None:
            self.log_end(case, status, refusal.reason.value, refusal)
            return
        version = self._state.configuration
        _LOG.info(
            "refused",
            extra={
                "request": request.request,
                "host": request.host,
                "path": request.path,
                "status": status,
                "why": refusal.reason.value,
                "configuration": None if version is None else version.version,
            },
        )
        self._observe("none", str(int(status)), monotonic() - request.started_at)

    def log_end(
        self, case: Case, status: int, outcome: str, refusal: Refusal | None = None
    ) -> None:
        """Write the line that ends a request's log, and count it."""
        now = monotonic()
        took_s = now - case.request.started_at
        first_at = case.progress.first_event_at
        extra = {
            "request": case.request.request,
            "fingerprint": case.fingerprint,
            "route": case.route.name,
            "team": None if case.team is None else case.team.name,
            "service": case.service,
            "priority": case.priority,
            "status": int(status),
            "outcome": outcome,
            "attempts": len(case.tried),
            "tokens": case.request.tokens,
            "target_ms": round(1000 * case.route.target_s),
            "took_ms": round(1000 * took_s, 1),
            "configuration": case.version,
            "configuration_age_s": round(now - self._state.configuration_at, 1),
        }
        if case.quota_left is not None:
            extra["quota_cost"] = case.quota_cost
            extra["quota_left"] = round(case.quota_left)
        if first_at is not None:
            extra["first_event_ms"] = round(
                1000 * (first_at - case.request.started_at), 1
            )
        if refusal is not None:
            extra["retry_after_s"] = refusal.retry_after_s
            extra["detail"] = refusal.detail
        _LOG.info("request", extra=extra)
        self._observe(case.route.name, str(int(status)), took_s)
