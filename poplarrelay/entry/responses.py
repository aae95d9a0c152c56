"""Final answers to callers, and the log line of each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

import orjson

from poplarrelay.entry.http.connection import Headers
from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.http.listener import Exchange
from poplarrelay.entry.outcomes import Answered, Refusal, RefusalReason
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.entry.state import EntryState

__all__ = ["ResponseWriter"]

_LOG = logging.getLogger("poplarrelay.entry.request")

#: Statuses that tell a caller that its request has not run. An endpoint that sends one
#: without stating expressly that the request did not run gives no such guarantee, so
#: the status is not passed on.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

#: Why a response that has begun is not completed, by the reason of the refusal.
_CUT_REASONS = {
    RefusalReason.LATE: CutReason.DEADLINE,
    RefusalReason.CUT_AT_STOP: CutReason.STOPPED,
}


class ResponseWriter:
    """Writer of exactly one final answer to each request.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    observe : callable
        Called with route, status and seconds of each request, for the metrics.
    """

    def __init__(
        self, state: EntryState, observe: Callable[[str, str, float], None]
    ) -> None:
        self._state = state
        self._observe = observe

    async def refuse(
        self, request: CallerRequest, exchange: Exchange, refusal: Refusal
    ) -> None:
        """Refuse a request that has not been admitted."""
        await self._write_refusal(request, exchange, refusal)

    async def pass_on(self, context: RequestContext, answer: Answered) -> None:
        """Pass on an endpoint's complete answer."""
        if answer.status in _NOT_RUN_STATUSES:
            refusal = Refusal(502, RefusalReason.UNKNOWN, detail=answer.why)
            await self.end(context, refusal)
            return
        await context.exchange.send(answer.status, answer.headers, answer.body)
        self.log_end(context, answer.status, "answered")

    async def end(self, context: RequestContext, refusal: Refusal) -> None:
        """End a request that has no endpoint's answer to pass on."""
        if context.exchange.begun:
            # The caller already has a part of the stream. A reset of the connection
            # shows that the stream is incomplete.
            reason = _CUT_REASONS.get(refusal.reason, CutReason.BROKEN_OFF)
            context.exchange.abort(reason)
            self.log_end(context, 0, f"broken off: {refusal.reason.value}")
            return
        await self._write_refusal(context.request, context.exchange, refusal, context)

    async def _write_refusal(
        self,
        request: CallerRequest,
        exchange: Exchange,
        refusal: Refusal,
        context: RequestContext | None = None,
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
        if not exchange.caller_disconnected:
            await exchange.send(status, headers, body)
        if context is not None:
            self.log_end(context, status, refusal.reason.value, refusal)
            return
        configuration = self._state.configuration
        _LOG.info(
            "refused",
            extra={
                "request": request.request,
                "host": request.host,
                "path": request.path,
                "status": status,
                "why": refusal.reason.value,
                "configuration": (
                    None if configuration is None else configuration.version
                ),
            },
        )
        self._observe("none", str(int(status)), monotonic() - request.started_at)

    def log_end(
        self,
        context: RequestContext,
        status: int,
        outcome: str,
        refusal: Refusal | None = None,
    ) -> None:
        """Log the end of a request, and report it to the metrics."""
        now = monotonic()
        took_s = now - context.request.started_at
        first_event_at = context.progress.first_event_at
        extra = {
            "request": context.request.request,
            "fingerprint": context.fingerprint,
            "route": context.route.name,
            "team": None if context.team is None else context.team.name,
            "service": context.service,
            "priority": context.priority,
            "within_share": context.within_share,
            "status": int(status),
            "outcome": outcome,
            "attempts": len(context.tried),
            "tokens": context.request.tokens,
            "target_ms": round(1000 * context.route.target_s),
            "took_ms": round(1000 * took_s, 1),
            "configuration": context.version,
            "configuration_age_s": round(now - self._state.configuration_at, 1),
        }
        if context.request.resumes is not None:
            extra["resumes"] = context.request.resumes
            extra["stream_version"] = context.progress.version
        if context.quota_left is not None:
            extra["quota_cost"] = context.quota_cost
            extra["quota_left"] = round(context.quota_left)
        if first_event_at is not None:
            extra["first_event_ms"] = round(
                1000 * (first_event_at - context.request.started_at), 1
            )
        if refusal is not None:
            extra["retry_after_s"] = refusal.retry_after_s
            extra["detail"] = refusal.detail
        _LOG.info("request", extra=extra)
        self._observe(context.route.name, str(int(status)), took_s)
