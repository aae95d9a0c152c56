"""The way of a request through a node, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from time import monotonic

import orjson

from poplarrelay.entry.attempts import Attempt, AttemptPlan, StreamProgress
from poplarrelay.entry.choosing import Choice, Wish, choose_endpoint
from poplarrelay.entry.configuration import (
    Configuration,
    Route,
    RouteKind,
    ServiceName,
    Team,
)
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.health import note_failure, note_success, note_success_time
from poplarrelay.entry.http.connection import Headers
from poplarrelay.entry.http.listener import Exchange, IncomingRequest
from poplarrelay.entry.http.pool import ConnectionPool
from poplarrelay.entry.outcomes import (
    Answered,
    AttemptResult,
    Broken,
    NotRun,
    Refusal,
    RefusalReason,
    StreamBroken,
    Streamed,
)
from poplarrelay.entry.pacing import note_first_event
from poplarrelay.entry.quotas import Bucket, cost_of, loosened
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.entry.routing import Admitted, Denied, NoRoute, admit, choose_service
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.waiting import WaitingRoom, longest_wait, retry_after
from poplarrelay.identifiers import EndpointId
from poplarrelay.platform.headers import decode_request

__all__ = ["Relay"]

_LOG = logging.getLogger("poplarrelay.entry.request")

#: Seconds after which a caller comes back to a node that knows no configuration yet.
#: A node reads it within some milliseconds of reaching the store.
UNREADY_RETRY_S = 0.5
#: Seconds after which a caller comes back for a service without endpoints; a new one
#: takes some seconds to boot, and its record comes within one poll.
NO_ENDPOINT_RETRY_S = 1.0
#: Silence, as a multiple of the route's target, after which an idempotent request is
#: sent to a second endpoint: three times the time that it aims for is far outside
#: what a loaded but sound endpoint takes.
SILENCE_TARGETS = 3.0
#: Shortest such silence in seconds.
LEAST_SILENCE_S = 0.3
#: Silence within a stream after which it goes on elsewhere. Engines pause for some
#: hundred ms to read long prompts in, and callers leave after two seconds.
STREAM_SILENCE_S = 1.5
#: Seconds after the stop signal from which a node refuses streams, and calls. What
#: comes later might not end before the process does; refused, it can go elsewhere.
LAST_STREAM_S = 3.0
LAST_CALL_S = 5.0
#: Seconds after which a caller that a stopping node refused tries another one.
ELSEWHERE_RETRY_S = 0.05
#: Part of the quotas' tolerance, divided by the nodes, that may be used of a tight
#: bucket before the others are told: the untold use of all nodes together stays
#: within a quarter of what operators tolerate.
UNTOLD_SHARE = 0.25
#: Part of the quotas' tolerance that covers wrong guesses of the others' use.
TOLERANCE_SHARE = 0.25
#: Part of the tolerated overrun by which buckets refill faster. What nodes guess too
#: high of each other's use would otherwise refuse requests that are within the quota.
OVERRUN_SHARE = 0.5
#: Statuses of an endpoint that a repetition elsewhere may better.
_REPEATABLE_STATUSES = frozenset((500, 502, 503, 504))
#: Statuses that promise that a request has not run. From an endpoint that does not
#: say so expressly they are no promise, and must not reach the caller as one.
_PROMISES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class _Case:
    """What is known of one request while it is served."""

    request: CallerRequest
    exchange: Exchange
    route: Route
    team: Team | None
    priority: int
    service: ServiceName
    until: float
    version: int
    progress: StreamProgress
    tried: list[EndpointId] = field(default_factory=list)
    may_have_run: bool = False
    begun: bool = False
    last_answer: Answered | None = None
    quota_cost: float = 0.0
    quota_left: float | None = None

    @property
    def remaining_s(self) -> float:
        """Return the time until nobody waits for the answer any more."""
        return self.until - monotonic()

    @property
    def streams(self) -> bool:
        """Return whether the answer is a series of events."""
        return self.route.kind is RouteKind.STREAMING


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    pool : ConnectionPool
        Connections to endpoints.
    observe : callable
        Takes the outcome of each request, for the metrics.
    announce : callable
        Tells all peers this node's row soon, out of turn.
    """

    def __init__(
        self,
        state: EntryState,
        pool: ConnectionPool,
        observe: Callable[[str, str, float], None],
        announce: Callable[[], None],
    ) -> None:
        self._state = state
        self._pool = pool
        self._observe = observe
        self._announce = announce
        self.waiting = WaitingRoom()

    async def handle(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Serve one request to its final answer."""
        request = decode_request(incoming)
        configuration = self._state.configuration
        if configuration is None or not self._state.endpoints_known:
            await self._refuse(
                request,
                exchange,
                Refusal(503, RefusalReason.NO_CONFIGURATION, UNREADY_RETRY_S),
            )
            return
        verdict = admit(configuration, request)
        if isinstance(verdict, NoRoute):
            await self._refuse(request, exchange, Refusal(404, RefusalReason.NO_ROUTE))
        elif isinstance(verdict, Denied):
            await self._refuse(request, exchange, Refusal(401, RefusalReason.DENIED))
        elif self._comes_too_late(verdict.route):
            refusal = Refusal(503, RefusalReason.STOPPING, ELSEWHERE_RETRY_S)
            await self._refuse(request, exchange, refusal)
        else:
            await self._serve_admitted(request, exchange, verdict, configuration)

    def _comes_too_late(self, route: Route) -> bool:
        """Return whether this node may have ended before a request has."""
        stopping_at = self._state.stopping_at
        if stopping_at is None:
            return False
        streams = route.kind is RouteKind.STREAMING
        limit_s = LAST_STREAM_S if streams else LAST_CALL_S
        return monotonic() - stopping_at > limit_s

    async def _serve_admitted(
        self,
        request: CallerRequest,
        exchange: Exchange,
        admitted: Admitted,
        configuration: Configuration,
    ) -> None:
        route = admitted.route
        patience_s = route.timeout_s
        if request.patience_s is not None:
            patience_s = min(patience_s, request.patience_s)
        case = _Case(
            request=request,
            exchange=exchange,
            route=route,
            team=admitted.team,
            priority=admitted.priority,
            service=choose_service(route, self._state.rng),
            until=request.started_at + patience_s,
            version=configuration.version,
            progress=StreamProgress(request.last_event_id),
        )
        refusal = self._charge(case)
        if refusal is None:
            self._state.budget(case.service).note_request(monotonic())
            try:
                refusal = await self._work(case)
            except asyncio.CancelledError:
                self._log_end(case, 0, "caller left")
                raise
            self._state.note_end(case.service, monotonic())
        if refusal is not None:
            if not case.begun and not case.may_have_run:
                self._refund(case)
            await self._end_without_answer(case, refusal)

    # quotas

    def _charge(self, case: _Case) -> Refusal | None:
        team = case.team
        if team is None or team.quota is None:
            return None
        now = monotonic()
        bucket = self._state.bucket(team, now)
        assert bucket is not None
        bounds = self._state.settings.bounds
        cost = cost_of(team.quota, case.request)
        over = bucket.take(
            loosened(team.quota, OVERRUN_SHARE * bounds.quota_overrun),
            cost,
            now,
            self._state.total_nodes,
            TOLERANCE_SHARE * bounds.quota_slack,
        )
        case.quota_left = bucket.level
        if over is None:
            case.quota_cost = cost
            if bucket.tight(team.quota):
                self._tell_use(bucket)
            return None
        return Refusal(
            429,
            RefusalReason.OVER_QUOTA,
            over.retry_after_s,
            f"left {bucket.level:.0f}, cost {cost:.0f}",
        )

    def _tell_use(self, bucket: Bucket) -> None:
        """Tell the other nodes at once once untold use matters."""
        bounds = self._state.settings.bounds
        untold = bucket.spent - bucket.told
        if untold > UNTOLD_SHARE * bounds.quota_slack / self._state.total_nodes:
            self._announce()

    def _refund(self, case: _Case) -> None:
        """Give back what a request that did not run has taken from its quota."""
        if case.team is None or case.quota_cost == 0:
            return
        bucket = self._state.bucket(case.team, monotonic())
        if bucket is not None:
            bucket.give_back(case.quota_cost)
            case.quota_cost = 0.0

    # attempts

    async def _work(self, case: _Case) -> Refusal | None:
        """Make attempts until one answers; return the refusal if none does."""
        if not case.route.repeatable and not case.streams:
            # The work cannot be undone and its answer is near: it is let finish,
            # so that a caller that asks elsewhere finds it done.
            case.exchange.on_gone(lambda: None)
        try:
            async with asyncio.timeout(max(0.0, case.remaining_s)):
                return await self._attempts(case)
        except TimeoutError:
            if case.may_have_run or case.tried:
                return Refusal(504, RefusalReason.LATE)
            return Refusal(503, RefusalReason.FULL, NO_ENDPOINT_RETRY_S)

    async def _attempts(self, case: _Case) -> Refusal | None:
        sends = 0
        while True:
            choice = await self._place(case)
            if isinstance(choice, Refusal):
                return await self._fall_back(case, choice)
            last = not case.route.repeatable or sends + 1 >= case.route.max_attempts
            result = await self._attempt(case, choice, last)
            if not isinstance(result, NotRun) or result.arrived:
                sends += 1
            if isinstance(result, Streamed):
                self._log_end(case, HTTPStatus.OK, "streamed")
                return None
            if isinstance(result, Answered):
                if result.status not in _REPEATABLE_STATUSES:
                    await self._pass_answer(case, result)
                    return None
                case.last_answer = result
            refusal = self._may_go_on(case, result, sends)
            if refusal is not None:
                return await self._fall_back(case, refusal)

    async def _fall_back(self, case: _Case, refusal: Refusal) -> Refusal | None:
        """Pass on an endpoint's own bad answer, if there was one, before ours."""
        if case.last_answer is None or case.exchange.begun:
            return refusal
        await self._pass_answer(case, case.last_answer)
        return None

    def _may_go_on(
        self, case: _Case, result: AttemptResult, sends: int
    ) -> Refusal | None:
        """Return why a request may not be sent to another endpoint."""
        ran = not isinstance(result, NotRun)
        if ran and not case.route.repeatable:
            case.may_have_run = True
            return Refusal(502, RefusalReason.UNKNOWN, detail=_why(result))
        if isinstance(result, NotRun) and not result.arrived:
            if len(case.tried) > 6:
                return self._not_run(case, result)
            return None
        now = monotonic()
        if sends >= case.route.max_attempts or not self._state.budget(
            case.service
        ).take(now, self._state.count_nodes(now)):
            return self._not_run(case, result)
        return None

    def _not_run(self, case: _Case, result: AttemptResult) -> Refusal:
        if case.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail=_why(result))
        wait_s = self._retry_after(case)
        return Refusal(503, RefusalReason.NOT_RUN, wait_s, _why(result))

    def _retry_after(self, case: _Case) -> float:
        now = monotonic()
        return retry_after(
            self.waiting.length(case.service),
            self._state.end_rate(case.service, now),
            case.remaining_s,
        )

    # places

    def _choose(self, service: ServiceName, wish: Wish) -> Choice | None:
        """Choose an endpoint with room and take a place at it."""
        choice = choose_endpoint(
            self._state.endpoints.accepting(service),
            wish,
            monotonic(),
            self._state.rng,
        )
        if choice is not None:
            choice.endpoint.running += 1
        return choice

    async def _place(self, case: _Case) -> Choice | Refusal:
        wish = self._wish(case, tuple(case.tried))
        choice = self._choose(case.service, wish)
        if choice is not None:
            return choice
        if case.tried and not self._has_untried(case):
            # Every endpoint was tried; one of them may have room again.
            wish = self._wish(case, ())
            choice = self._choose(case.service, wish)
            if choice is not None:
                return choice
        if not self._state.endpoints.accepting(case.service):
            if case.may_have_run:
                return Refusal(502, RefusalReason.UNKNOWN, detail="no other endpoint")
            return Refusal(503, RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_S)
        return await self._wait(case, wish)

    def _wish(self, case: _Case, tried: tuple[EndpointId, ...]) -> Wish:
        request = case.request
        return Wish(
            affinity_key=request.affinity_key,
            prompt_tokens=request.prompt_tokens or 0,
            shared_tokens=request.shared_tokens,
            tried=tried,
            near=self._state.me.domain,
        )

    def _has_untried(self, case: _Case) -> bool:
        rows = self._state.endpoints.accepting(case.service)
        return any(row.endpoint not in case.tried for row in rows)

    async def _wait(self, case: _Case, wish: Wish) -> Choice | Refusal:
        place: asyncio.Future[Choice] = asyncio.get_running_loop().create_future()
        self.waiting.join(case.service, case.priority, wish, place)
        try:
            async with asyncio.timeout(longest_wait(case.route, case.remaining_s)):
                return await place
        except TimeoutError:
            if place.done() and not place.cancelled():
                return place.result()
            if case.may_have_run:
                return Refusal(502, RefusalReason.UNKNOWN, detail="others are full")
            return Refusal(503, RefusalReason.FULL, self._retry_after(case))
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self._leave(case.service, place.result().endpoint)
            raise
        finally:
            place.cancel()

    def _leave(self, service: ServiceName, row: Endpoint) -> None:
        row.running -= 1
        self.serve_waiting(service)

    def serve_waiting(self, service: ServiceName) -> None:
        """Give places that have come free to requests that wait."""
        self.waiting.serve(service, lambda wish: self._choose(service, wish))

    async def _attempt(self, case: _Case, choice: Choice, last: bool) -> AttemptResult:
        row = choice.endpoint
        case.tried.append(row.endpoint)
        sent_at = monotonic()
        plan = AttemptPlan(
            endpoint=row,
            until=case.until,
            patience_s=None if last else self._patience(case),
            team=None if case.team is None else case.team.name,
            priority=case.priority if case.streams else None,
        )

        unread = case.request.prompt_tokens or 0
        row.prefill_tokens += unread

        def begun(took_s: float) -> None:
            nonlocal unread
            row.prefill_tokens -= unread
            unread = 0
            note_success_time(row, took_s)
            if case.streams:
                note_first_event(row, took_s, case.route.target_s)
            self._count_usage(case)

        attempt = Attempt(
            case.request, case.exchange, plan, self._pool, begun, case.progress
        )
        try:
            result = await attempt.run()
        finally:
            row.prefill_tokens -= unread
            self._leave(case.service, row)
        if not isinstance(result, NotRun):
            case.may_have_run = True
        self._judge(case, row, result)
        _LOG.info(
            "attempt",
            extra={
                "request": case.request.request,
                "endpoint": row.endpoint,
                "service": case.service,
                "reason": choice.reason,
                "load": row.load,
                "limit": round(min(row.own_limit, row.slots), 1),
                "avoided": row.health.avoided_until > sent_at,
                "result": type(result).__name__,
                "why": _why(result),
                "took_ms": round(1000 * (monotonic() - sent_at), 1),
            },
        )
        return result

    def _patience(self, case: _Case) -> float:
        if case.streams:
            return max(STREAM_SILENCE_S, min(2.0, 2 * case.route.target_s))
        return min(
            max(LEAST_SILENCE_S, SILENCE_TARGETS * case.route.target_s),
            0.5 * max(0.05, case.remaining_s),
        )

    def _count_usage(self, case: _Case) -> None:
        if case.begun:
            return
        case.begun = True
        if case.team is not None:
            self._state.usage.note(case.team.name, self._state.clock.now())

    def _judge(self, case: _Case, row: Endpoint, result: AttemptResult) -> None:
        """Learn from an attempt how the endpoint fares."""
        now = monotonic()
        peers = self._state.endpoints.of(case.service)
        if isinstance(result, Streamed):
            note_success(row)
            return
        if isinstance(result, Answered) and result.status < 500:
            note_success(row)
            return
        if isinstance(result, NotRun) and result.arrived:
            return
        certain = isinstance(result, NotRun)
        if certain:
            self._pool.forget(row.address)
        if note_failure(row, peers, now, certain):
            _LOG.warning(
                "endpoint avoided",
                extra={
                    "endpoint": row.endpoint,
                    "service": case.service,
                    "why": _why(result),
                    "failure_rate": round(row.health.failure_rate, 2),
                    "in_row": row.health.failures_in_row,
                    "for_s": round(row.health.avoided_until - now, 2),
                },
            )

    # final answers

    async def _pass_answer(self, case: _Case, answer: Answered) -> None:
        if answer.status in _PROMISES:
            refusal = Refusal(502, RefusalReason.UNKNOWN, detail=_why(answer))
            await self._end_without_answer(case, refusal)
            return
        await case.exchange.send(answer.status, answer.headers, answer.body)
        self._log_end(case, answer.status, "answered")

    async def _end_without_answer(self, case: _Case, refusal: Refusal) -> None:
        if case.exchange.begun:
            # Part of the stream is out. Breaking the connection tells the caller
            # that it is not whole.
            case.exchange.abort()
            self._log_end(case, 0, f"broken off: {refusal.reason.value}")
            return
        await self._refuse(case.request, case.exchange, refusal, case)

    async def _refuse(
        self,
        request: CallerRequest,
        exchange: Exchange,
        refusal: Refusal,
        case: _Case | None = None,
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
            self._log_end(case, status, refusal.reason.value, refusal)
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

    def _log_end(
        self, case: _Case, status: int, outcome: str, refusal: Refusal | None = None
    ) -> None:
        now = monotonic()
        took_s = now - case.request.started_at
        first_at = case.progress.first_event_at
        extra = {
            "request": case.request.request,
            "route": case.route.name,
            "team": None if case.team is None else case.team.name,
            "service": case.service,
            "priority": case.priority,
            "status": int(status),
            "outcome": outcome,
            "attempts": len(case.tried),
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


def _why(result: AttemptResult) -> str:
    if isinstance(result, Answered):
        return f"status {result.status}"
    if isinstance(result, (NotRun, Broken, StreamBroken)):
        return result.why
    return ""
