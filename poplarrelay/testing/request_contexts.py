"""Builders of routes and request contexts of an entry node, for tests."""

from __future__ import annotations

from time import monotonic
from unittest.mock import Mock

from poplarrelay.entry.attempts import StreamProgress
from poplarrelay.entry.configuration import (
    ConfigurationVersion,
    Route,
    RouteKind,
    ServiceName,
    ServiceShare,
)
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.identifiers import RequestId

__all__ = ["make_request_context", "make_route"]


def make_route(
    service: str, kind: RouteKind = RouteKind.IDEMPOTENT, target_s: float = 0.2
) -> Route:
    """Return a route to a single service."""
    share = ServiceShare(ServiceName(service), 1.0)
    return Route("look", "desk.example", "/look/", kind, 1.5, target_s, 1, (share,))


def make_request_context(service: str, timeout_s: float = 1.5) -> RequestContext:
    """Return the context of a request that has just arrived and been admitted."""
    now = monotonic()
    request = CallerRequest(
        request=RequestId("request-1"),
        host="desk.example",
        path="/look/x",
        method=b"POST",
        target=b"/look/x",
        body=b"",
        has_body=False,
        forwarded_headers=[],
        started_at=now,
    )
    return RequestContext(
        request=request,
        exchange=Mock(),
        route=make_route(service),
        team=None,
        priority=1,
        service=ServiceName(service),
        deadline=now + timeout_s,
        version=ConfigurationVersion(1),
        progress=StreamProgress(None),
        teams_configured=False,
        fingerprint=request.fingerprint(None),
    )
