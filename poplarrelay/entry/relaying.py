"""The way of a request through a node, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

from poplarrelay.entry.answering import Answers
from poplarrelay.entry.attempts import Attempt, AttemptPlan, StreamProgress
from poplarrelay.entry.backlogs import Placement, PromptEnd
from poplarrelay.entry.case import Case
from poplarrelay.entry.charging import Charges
from poplarrelay.entry.choosing import Choice
from poplarrelay.entry.configuration import (
    Configuration,
    Route,
    RouteKind,
)
from poplarrelay.entry.crashes import run_of
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.health import note_failure, note_success, note_success_time
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
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.entry.places import NO_ENDPOINT_RETRY_S, Places
from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.entry.routing import Admitted, Denied, NoRoute, admit, choose_service
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.surveying import BacklogSurvey
from poplarrelay.platform.headers import decode_request

__all__ = ["Relay"]

_LOG = logging.getLogger("poplarrelay.entry.request")

#: Seconds after which a caller comes back to a node that knows no configuration yet.
#: A node reads it within some milliseconds of reaching the store.
UNREADY_RETRY_S = 0.5
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
#: Statuses of an endpoint that a repetition elsewhere may better.
_REPEATABLE_STATUSES = frozenset((500, 502, 503, 504))


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
    survey : BacklogSurvey
        Keeps count of prompts in line at engines, with the other nodes.
    permits : PermitBroker
        Obtains permits for endpoints that state a limit.
    """

    def __init__(
        self,
        state: EntryState,
        pool: ConnectionPool,
        observe: Callable[[str, str, float], None],
        announce: Callable[[], None],
        survey: BacklogSurvey,
        permits: PermitBroker,
    ) -> None:
        self._state = state
        self._pool = pool
        self._answers = Answers(state, observe)
        self._charges = Charges(state, announce)
        self._survey = survey
        self._permits = permits
        self.places = Places(state, survey, permits)

    async def handle(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Serve one request to its final answer."""
        request = decode_request(incoming)
        configuration = self._state.configuration
        if configuration is None or not self._state.endpoints_known:
            await self._answers.refuse(
                request,
                exchange,
                Refusal(503, RefusalReason.NO_CONFIGURATION, UNREADY_RETRY_S),
            )
            return
        verdict = admit(configuration, request)
        if isinstance(verdict, NoRoute):
            refusal = Refusal(404, RefusalReason.NO_ROUTE)
            await self._answers.refuse(request, exchange, refusal)
        elif isinstance(verdict, Denied):
            refusal = Refusal(401, RefusalReason.DENIED)
            await self._answers.refuse(request, exchange, refusal)
        elif self._comes_too_late(verdict.route):
            refusal = Refusal(503, RefusalReason.STOPPING, ELSEWHERE_RETRY_S)
            await self._answers.refuse(request, exchange, refusal)
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
        route, team = admitted.route, admitted.team
        patience_s = route.timeout_s
        if request.patience_s is not None:
            patience_s = min(patience_s, request.patience_s)
        case = Case(
            request=request,
            exchange=exchange,
            route=route,
            team=team,
            priority=admitted.priority,
            service=choose_service(route, self._state.rng),
            until=request.started_at + patience_s,
            version=configuration.version,
            progress=StreamProgress(request.last_event_id),
            knows_keys=bool(configuration.teams),
            fingerprint=request.fingerprint(None if team is None else team.name),
        )
        refusal = self._refuse_blocked(case) or self._charges.charge(case)
        if refusal is None:
            now = monotonic()
            self._state.budget(case.service).note_request(now)
            self._state.demand.note(
                case.service,
                request.prompt_tokens or 0,
                request.most_output_tokens or 0,
                now,
            )
            try:
                refusal = await self._work(case)
            except asyncio.CancelledError:
                self._answers.log_end(case, 0, "caller left")
                raise
            self._state.note_end(case.service, monotonic())
        if refusal is not None:
            if not case.begun and not case.may_have_run:
                self._charges.refund(case)
            await self._answers.end(case, refusal)

    # attempts

    async def _work(self, case: Case) -> Refusal | None:
        """Make attempts until one answers; return the refusal if none does."""
        if not case.route.repeatable and not case.streams:
            # The work cannot be undone and its answer is near: it is let finish,
            # so that a caller that asks elsewhere finds it done.
            case.exchange.on_gone(lambda: None)
        try:
            async with asyncio.timeout(max(0.0, case.remaining_s)):
                return await self._attempts(case)
        except TimeoutError:
            if case.may_have_run:
                return Refusal(504, RefusalReason.LATE)
            return Refusal(503, RefusalReason.FULL, NO_ENDPOINT_RETRY_S)

    async def _attempts(self, case: Case) -> Refusal | None:
        sends = 0
        while True:
            choice = await self._take_place(case)
            if isinstance(choice, Refusal):
                return await self._fall_back(case, choice)
            last = not case.route.repeatable or sends + 1 >= case.route.max_attempts
            result = await self._attempt(case, choice, last)
            if not isinstance(result, NotRun) or result.arrived:
                sends += 1
            if isinstance(result, Streamed):
                self._answers.log_end(case, HTTPStatus.OK, "streamed")
                return None
            if isinstance(result, Answered):
                if result.status not in _REPEATABLE_STATUSES:
                    await self._answers.pass_on(case, result)
                    return None
                case.last_answer = result
            refusal = self._may_go_on(case, result, sends)
            if refusal is not None:
                return await self._fall_back(case, refusal)

    async def _take_place(self, case: Case) -> Choice | Refusal:
        """Take a place, or refuse a request that is blocked."""
        refusal = self._refuse_blocked(case)
        if refusal is not None:
            return refusal
        choice = await self.places.take(case)
        if isinstance(choice, Refusal):
            return choice
        # Other copies of the request may have crashed endpoints while it waited.
        refusal = self._refuse_blocked(case)
        if refusal is None:
            return choice
        self.places.leave(case.service, choice.endpoint)
        return refusal

    def _refuse_blocked(self, case: Case) -> Refusal | None:
        """Return a refusal if the request is blocked for crashes of endpoints."""
        crashes = self._state.crashes
        blocked_s = crashes.blocked_s(case.team_name, case.fingerprint, monotonic())
        if blocked_s is None:
            return None
        crashes.refused += 1
        detail = f"fingerprint {case.fingerprint}"
        if case.may_have_run:
            return Refusal(502, RefusalReason.CRASHES, detail=detail)
        return Refusal(503, RefusalReason.CRASHES, blocked_s, detail)

    async def _fall_back(self, case: Case, refusal: Refusal) -> Refusal | None:
        """Pass on an endpoint's own bad answer, if there was one, before ours."""
        if case.last_answer is None or case.exchange.begun:
            return refusal
        await self._answers.pass_on(case, case.last_answer)
        return None

    def _may_go_on(
        self, case: Case, result: AttemptResult, sends: int
    ) -> Refusal | None:
        """Return why a request may not be sent to another endpoint."""
        ran = not isinstance(result, NotRun)
        if ran and not case.route.repeatable:
            return Refusal(502, RefusalReason.UNKNOWN, detail=result.why)
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

    def _not_run(self, case: Case, result: AttemptResult) -> Refusal:
        if case.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail=result.why)
        wait_s = self.places.retry_after(case)
        return Refusal(503, RefusalReason.NOT_RUN, wait_s, result.why)

    async def _attempt(self, case: Case, choice: Choice, last: bool) -> AttemptResult:
        row = choice.endpoint
        case.tried.append(row.endpoint)
        sent_at = monotonic()
        list_age_s = round(self._state.freshness.told_age_s(sent_at), 2)
        list_as_of = self._state.freshness.as_of
        plan = AttemptPlan(
            endpoint=row,
            until=case.until,
            patience_s=None if last else self._patience(case),
            team=None if case.team is None else case.team.name,
            priority=case.priority if case.streams else None,
            fetch_from=choice.fetch_from,
            pass_credentials=not case.knows_keys,
        )

        unread = choice.unread_tokens
        ahead_requests = row.load - 1
        row.prefill_tokens += unread
        self._tell_placement(case, choice)
        first_event_s: float | None = None

        def begun(took_s: float) -> None:
            nonlocal unread, first_event_s
            row.prefill_tokens -= unread
            unread = 0
            first_event_s = took_s
            if case.request.prompt_tokens:
                self._survey.take_out(
                    row.endpoint, case.request.request, PromptEnd.BEGAN
                )
            note_success_time(row, took_s)
            self._count_usage(case)

        def on_limit(stated: StatedLimit, sent_at: float) -> None:
            self._permits.note_stated_limit(row, stated, sent_at)

        attempt = Attempt(
            case.request,
            case.exchange,
            plan,
            self._pool,
            begun,
            on_limit,
            case.progress,
        )
        ran_before = case.may_have_run
        # True until the endpoint says otherwise: the wait may end at the deadline,
        # in the middle of the attempt.
        case.may_have_run = True
        end = PromptEnd.NOT_BEGUN
        try:
            result = await attempt.run()
            if isinstance(result, NotRun) and result.gone:
                end = PromptEnd.ENGINE_GONE
        finally:
            row.prefill_tokens -= unread
            if case.request.prompt_tokens and first_event_s is None:
                self._survey.take_out(row.endpoint, case.request.request, end)
            self.places.leave(case.service, row)
        if isinstance(result, NotRun):
            case.may_have_run = ran_before
        self._judge(case, row, result)
        self._note_crash_or_answer(case, row, result)
        _LOG.info(
            "attempt",
            extra={
                "request": case.request.request,
                "fingerprint": case.fingerprint,
                "endpoint": row.endpoint,
                "service": case.service,
                "reason": choice.reason,
                "prompt_tokens": case.request.prompt_tokens,
                "unread_tokens": choice.unread_tokens,
                "ahead_ms": _milliseconds(choice.line_s),
                "ahead_requests": ahead_requests,
                "due_ms": _milliseconds(choice.line_s + choice.reading_s),
                "first_event_ms": _milliseconds(first_event_s),
                "load": row.load,
                "limit_per_s": row.limit_per_s,
                "avoided": row.health.avoided_until > sent_at,
                "result": type(result).__name__,
                "why": result.why,
                "took_ms": _milliseconds(monotonic() - sent_at),
                "list_age_s": list_age_s,
                "list_as_of": list_as_of,
            },
        )
        return result

    def _note_crash_or_answer(
        self, case: Case, row: Endpoint, result: AttemptResult
    ) -> None:
        """Note a crash of the endpoint, or its complete answer."""
        crashes, now = self._state.crashes, monotonic()
        team, fingerprint = case.team_name, case.fingerprint
        if isinstance(result, Answered | Streamed):
            good = isinstance(result, Streamed) or result.status < 500
            if good and result.framed:
                crashes.note_answer(team, fingerprint, now)
            return
        broken = isinstance(result, Broken | StreamBroken) and result.closed
        if not broken or row.leaving:
            # An endpoint that leaves may close connections without a crash.
            return
        counted = crashes.note_crash(team, fingerprint, run_of(row), now)
        _LOG.warning(
            "endpoint closed on request",
            extra={
                "request": case.request.request,
                "fingerprint": fingerprint,
                "endpoint": row.endpoint,
                "service": case.service,
                "crashes": counted,
            },
        )

    def _tell_placement(self, case: Case, choice: Choice) -> None:
        """Have the engine's keeper and the demand count a prompt to be read."""
        request = case.request
        if not request.prompt_tokens:
            return
        self._state.demand.note_unread(
            case.service, request.prompt_tokens, choice.unread_tokens
        )
        parts = tuple(part.part for part in request.prefix[:-1])
        self._survey.place(
            Placement(
                choice.endpoint.endpoint,
                request.request,
                choice.unread_tokens,
                parts,
                request.prompt_tokens,
            )
        )

    def _patience(self, case: Case) -> float:
        if case.streams:
            return max(STREAM_SILENCE_S, min(2.0, 2 * case.route.target_s))
        return min(
            max(LEAST_SILENCE_S, SILENCE_TARGETS * case.route.target_s),
            0.5 * max(0.05, case.remaining_s),
        )

    def _count_usage(self, case: Case) -> None:
        if case.begun:
            return
        case.begun = True
        if case.team is not None:
            self._state.usage.note(case.team.name, self._state.clock.now())

    def _judge(self, case: Case, row: Endpoint, result: AttemptResult) -> None:
        """Learn from an attempt how the endpoint fares."""
        now = monotonic()
        peers = self._state.endpoints.of(case.service)
        if isinstance(result, Streamed):
            note_success(row)
            return
        if isinstance(result, Answered) and result.status < 500:
            note_success(row)
            return
        if isinstance(result, NotRun) and result.arrived and not result.gone:
            return
        # An endpoint that has crashed and started again refuses what is meant for its
        # former run at once, and has nothing in line: it would seem the best choice
        # for every request until the list shows the new run.
        certain = isinstance(result, NotRun)
        if certain:
            self._pool.forget(row.address)
        run_ended = isinstance(result, NotRun) and result.arrived and result.gone
        if note_failure(row, peers, now, certain, run_ended):
            _LOG.warning(
                "endpoint avoided",
                extra={
                    "endpoint": row.endpoint,
                    "service": case.service,
                    "why": result.why,
                    "failure_rate": round(row.health.failure_rate, 2),
                    "in_row": row.health.failures_in_row,
                    "for_s": round(row.health.avoided_until - now, 2),
                },
            )


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(1000 * seconds, 1)
