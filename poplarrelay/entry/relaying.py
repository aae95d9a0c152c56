"""Relaying of a caller's request to endpoints, from arrival to final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

from poplarrelay.entry.answers import UsedConnections
from poplarrelay.entry.attempts import Attempt, AttemptPlan, StreamProgress
from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.backlogs import Placement, PromptEnd
from poplarrelay.entry.caller_budget import Limit
from poplarrelay.entry.charging import QuotaCharges
from poplarrelay.entry.configuration import (
    Configuration,
    Route,
)
from poplarrelay.entry.crash_blocking import CrashBlocking
from poplarrelay.entry.crash_evidence import CrashEvidence, EndedAttempt
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.health import note_failure, note_success, note_success_time
from poplarrelay.entry.http.connection import Connection
from poplarrelay.entry.http.listener import (
    Exchange,
    IncomingRequest,
    limit_retry_after_s,
)
from poplarrelay.entry.notices import EndpointNotice
from poplarrelay.entry.origins import OriginCertainty
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
from poplarrelay.entry.paths import EndpointPaths
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.entry.probe_leases import ProbeLeaseBroker
from poplarrelay.entry.quarantine import part_keys
from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.requests import CallerRequest
from poplarrelay.entry.responses import ResponseWriter
from poplarrelay.entry.resumption import ResumptionBroker
from poplarrelay.entry.rollouts.observing import (
    note_attempt,
    note_deadline,
    note_first_event,
)
from poplarrelay.entry.routing import Admitted, Denied, NoRoute, admit, choose_service
from poplarrelay.entry.scheduling.admission import PATIENT_SHARE
from poplarrelay.entry.scheduling.choosing import Choice
from poplarrelay.entry.scheduling.shares import FractionMarker
from poplarrelay.entry.slot_broker import SlotBroker
from poplarrelay.entry.slots import NO_ENDPOINT_RETRY_S, SlotAllocator
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.stream_versions import StreamOrigin, stream_key
from poplarrelay.identifiers import PartKey, SoftwareVersion
from poplarrelay.platform.headers import decode_request

__all__ = ["Relay"]

_LOG = logging.getLogger("poplarrelay.entry.request")

#: Seconds after which a caller retries at a node that has no configuration yet.
#: A node reads the configuration within milliseconds of reaching the store.
UNREADY_RETRY_S = 0.5
#: Silence, as a multiple of the route's latency target, after which an idempotent
#: request is sent to a second endpoint. A loaded but healthy endpoint answers well
#: within three times the target.
SILENCE_TIMEOUT_TARGETS = 3.0
#: Lower limit of this silence timeout in seconds.
MIN_SILENCE_TIMEOUT_S = 0.3
#: Seconds of silence within a stream after which another endpoint continues it. Engines
#: pause for some hundred ms to prefill long prompts, and callers leave after two
#: seconds.
STREAM_SILENCE_TIMEOUT_S = 1.5
#: Seconds after which a caller that a stopping node refused tries another node.
STOPPING_RETRY_S = 0.05
#: Why a limit of the process refuses a request.
_LIMIT_REASONS = {
    Limit.MEMORY: RefusalReason.NO_MEMORY,
    Limit.REQUESTS: RefusalReason.TOO_MANY_REQUESTS,
    Limit.CONNECTIONS: RefusalReason.TOO_MANY_REQUESTS,
}
#: Ids of the last event that a caller without any event sends.
_NO_EVENTS = (None, b"", b"0")
#: Statuses of an endpoint for which a retry at another endpoint can succeed.
_RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))


class Relay:
    """Handler of callers' requests: relays each one to endpoints.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    paths : EndpointPaths
        Connections to endpoints.
    observe : callable
        Called with route, status and seconds of each request, for the metrics.
    announce : callable
        Schedules an early broadcast of this node's row to all peers.
    backlog_client : BacklogClient
        Counts the prompts queued at engines, together with the other nodes.
    permits : PermitBroker
        Obtains permits for endpoints that state a limit.
    slot_broker : SlotBroker
        Obtains slots of plain services from their coordinators.
    resumption : ResumptionBroker
        Finds the versions that have begun streams.
    probe_leases : ProbeLeaseBroker
        Obtains leases for discriminating probes.
    """

    def __init__(
        self,
        state: EntryState,
        paths: EndpointPaths,
        observe: Callable[[str, str, float], None],
        announce: Callable[[], None],
        backlog_client: BacklogClient,
        permits: PermitBroker,
        slot_broker: SlotBroker,
        resumption: ResumptionBroker,
        probe_leases: ProbeLeaseBroker,
    ) -> None:
        self._state = state
        self._blocking = CrashBlocking(state, probe_leases)
        self._evidence = CrashEvidence(state, paths)
        self._paths = paths
        self._resumption = resumption
        self._response_writer = ResponseWriter(state, observe)
        self._quota_charges = QuotaCharges(state, announce)
        self._backlog_client = backlog_client
        self._permits = permits
        self._patient = FractionMarker()
        self._timeouts: dict[asyncio.Timeout, None] = {}
        self._used_connections: UsedConnections[Connection] = UsedConnections()
        self.slot_allocator = SlotAllocator(state, backlog_client, permits, slot_broker)

    async def handle(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Serve one request until its final answer is written."""
        request = decode_request(incoming)
        exchange.subject["request"] = request.request
        configuration = self._state.configuration
        if configuration is None or not self._state.endpoints_known:
            await self._response_writer.refuse(
                request,
                exchange,
                Refusal(503, RefusalReason.NO_CONFIGURATION, UNREADY_RETRY_S),
            )
            return
        admission = admit(configuration, request)
        if isinstance(admission, NoRoute):
            refusal = Refusal(404, RefusalReason.NO_ROUTE)
            await self._response_writer.refuse(request, exchange, refusal)
        elif isinstance(admission, Denied):
            refusal = Refusal(401, RefusalReason.DENIED)
            await self._response_writer.refuse(request, exchange, refusal)
        elif self._arrives_too_late(request, admission.route):
            refusal = Refusal(503, RefusalReason.STOPPING, STOPPING_RETRY_S)
            await self._response_writer.refuse(request, exchange, refusal)
        else:
            await self._serve_admitted(request, exchange, admission, configuration)

    async def refuse_for_limit(
        self, incoming: IncomingRequest, exchange: Exchange
    ) -> None:
        """Refuse a request that a limit of the process does not admit."""
        request = decode_request(incoming)
        exchange.subject["request"] = request.request
        assert exchange.limit is not None
        reason = _LIMIT_REASONS[exchange.limit]
        refusal = Refusal(503, reason, limit_retry_after_s())
        await self._response_writer.refuse(request, exchange, refusal)

    def _arrives_too_late(self, request: CallerRequest, route: Route) -> bool:
        """Return whether this node might stop before the request ends."""
        shutdown = self._state.shutdown
        deadline = _deadline(request, route)
        return shutdown is not None and not shutdown.accepts(deadline, monotonic())

    async def _serve_admitted(
        self,
        request: CallerRequest,
        exchange: Exchange,
        admitted: Admitted,
        configuration: Configuration,
    ) -> None:
        route, team = admitted.route, admitted.team
        exchange.served = True
        context = RequestContext(
            request=request,
            exchange=exchange,
            route=route,
            team=team,
            priority=admitted.priority,
            service=choose_service(route, self._state.rng),
            deadline=_deadline(request, route),
            version=configuration.version,
            progress=StreamProgress(request.last_event_id),
            teams_configured=configuration.checks_keys,
            fingerprint=request.fingerprint(None if team is None else team.name),
        )
        exchange.allow_silence_until(context.deadline)
        context.part_keys = self._part_keys(context)
        context.probes = self._state.quarantine.take_probe(
            context.service, context.part_keys, monotonic()
        )
        refusal = self._blocking.refuse(context)
        refusal = refusal or await self._find_stream_origin(context)
        refusal = refusal or self._quota_charges.charge(context)
        if refusal is None:
            now = monotonic()
            self._state.budget(context.service).note_request(now)
            self._state.demand.note(
                context.service,
                request.prompt_tokens or 0,
                request.max_output_tokens or 0,
                now,
            )
            self._mark_share(context, now)
            if context.stream is not None and context.progress.version is not None:
                origin = StreamOrigin(context.service, context.progress.version)
                self._resumption.continue_stream(context.stream, origin)
            try:
                with self._used_connections.of(request.request) as used:
                    context.used_connections = used
                    refusal = await self._run_before_deadline(context)
            except asyncio.CancelledError:
                outcome = context.exchange.cut_reason.value
                self._response_writer.log_end(context, 0, outcome)
                raise
            finally:
                if context.stream is not None:
                    self._resumption.end_stream(context.stream, context.stream_complete)
            self._state.note_end(context.service, monotonic())
        if refusal is not None:
            if not context.execution_started and not context.may_have_run:
                self._quota_charges.refund(context)
            await self._response_writer.end(context, refusal)

    async def _find_stream_origin(self, context: RequestContext) -> Refusal | None:
        """Find the version that began a resumed stream; refuse it if it is unknown."""
        request = context.request
        new = request.resumes is None and request.last_event_id in _NO_EVENTS
        if not context.streams or new:
            return None
        key = None
        if request.resumes is not None:
            key = stream_key(context.team_name, request.resumes)
        origin = await self._resumption.find(key, context.service)
        services = {share.service for share in context.route.shares}
        if origin is None or origin.service not in services:
            self._state.streams_unknown += 1
            return Refusal(
                503, RefusalReason.VERSION_UNKNOWN, self._resumption.retry_after_s()
            )
        context.service = origin.service
        context.part_keys = self._part_keys(context)
        context.progress.version = origin.version
        if key is not None:
            context.stream = key
        return None

    def _part_keys(self, context: RequestContext) -> tuple[PartKey, ...]:
        """Return the keys of the parts that the prompt shares with others."""
        request = context.request
        parts = (part.part for part in request.prefix[:-1])
        return part_keys(context.service, request.model, parts)

    def _mark_share(self, context: RequestContext, now: float) -> None:
        """Count a prompt for its team, and compare it with the team's share."""
        request, state = context.request, self._state
        configuration = state.configuration
        if (
            not request.prompt_tokens
            or configuration is None
            or not state.prompt_shares
        ):
            return
        context.work = state.demand.cost(
            context.service, request.prompt_tokens, request.max_output_tokens or 0
        )
        state.team_demand.note_asked(
            context.service, context.team_name, context.work, now
        )
        marker = state.markers.get(context.service)
        if marker is not None:
            context.within_share = marker.mark(context.team_name, context.work)
        most_urgent = configuration.most_urgent(context.service)
        context.urgent = context.priority <= most_urgent or self._patient.mark(
            context.service, PATIENT_SHARE, context.work
        )

    # attempts

    async def _run_before_deadline(self, context: RequestContext) -> Refusal | None:
        """Run attempts until one answers; return a refusal if none answers in time."""
        if not context.route.repeatable and not context.streams:
            # The work cannot be undone, and its answer is due soon. It runs to its end
            # even if the caller disconnects. A caller that then asks at another node
            # finds the work done.
            context.exchange.on_disconnect(lambda: None)
        shutdown = self._state.shutdown
        ends_at = context.deadline
        if shutdown is not None:
            ends_at = min(ends_at, shutdown.close_at)
        timeout = asyncio.timeout(max(0.0, ends_at - monotonic()))
        self._timeouts[timeout] = None
        try:
            async with timeout:
                return await self._run_attempts(context)
        except TimeoutError:
            if context.remaining_s > 0:
                return _refuse_at_close(context)
            if context.may_have_run:
                return Refusal(504, RefusalReason.LATE)
            return Refusal(503, RefusalReason.FULL, NO_ENDPOINT_RETRY_S)
        finally:
            del self._timeouts[timeout]

    def end_requests_at(self, close_at: float) -> None:
        """End the requests in progress by a time at which the node closes.

        Parameters
        ----------
        close_at : float
            Monotonic time.
        """
        ends_at = asyncio.get_running_loop().time() + close_at - monotonic()
        for timeout in self._timeouts:
            when = timeout.when()
            if when is not None and when > ends_at:
                timeout.reschedule(ends_at)

    async def _run_attempts(self, context: RequestContext) -> Refusal | None:
        """Run attempts until one answers or no retry is allowed."""
        sends = 0
        while True:
            choice = await self._acquire_slot(context)
            if isinstance(choice, Refusal):
                return await self._pass_on_last_error(context, choice)
            last_attempt = (
                not context.route.repeatable or sends + 1 >= context.route.max_attempts
            )
            result = await self._run_attempt(context, choice, last_attempt)
            if not isinstance(result, NotRun) or result.arrived:
                sends += 1
            if isinstance(result, Streamed):
                context.stream_complete = True
                self._response_writer.log_end(context, HTTPStatus.OK, "streamed")
                return None
            if isinstance(result, Answered):
                if result.status not in _RETRYABLE_STATUSES:
                    await self._response_writer.pass_on(context, result)
                    return None
                context.last_error_response = result
            refusal = self._blocking.refuse(context)
            refusal = refusal or self._refuse_retry(context, result, sends)
            refusal = refusal or await self._refuse_doubtful_origin(context)
            if refusal is not None:
                return await self._pass_on_last_error(context, refusal)

    async def _acquire_slot(self, context: RequestContext) -> Choice | Refusal:
        """Take a slot at an endpoint, or refuse the request.

        Notes
        -----
        A prompt whose blocked parts can be told apart by sending it also takes a lease
        on a probe, or waits for the result of another probe.
        """
        give_up_at = self._blocking.wait_limit(context)
        while True:
            refusal = self._blocking.refuse(context)
            if refusal is not None:
                return refusal
            choice = await self.slot_allocator.acquire_slot(context)
            if isinstance(choice, Refusal):
                return choice
            try:
                # The caller's retries of this request can crash endpoints while it
                # waits.
                refusal = self._blocking.refuse(context)
                refusal = refusal or self._refuse_after_wait(context)
                ready = refusal is None and await self._blocking.may_send(context)
            except BaseException:
                self.slot_allocator.release_unused_slot(context, choice.endpoint)
                raise
            if ready:
                return choice
            self.slot_allocator.release_unused_slot(context, choice.endpoint)
            refusal = refusal or await self._blocking.await_probe(context, give_up_at)
            if refusal is not None:
                return refusal

    def _refuse_after_wait(self, context: RequestContext) -> Refusal | None:
        """Refuse a request that has waited for a slot until the node might stop first.

        Notes
        -----
        A request that may have run is not refused: another endpoint can still answer
        it, and no other node can say that it has not run.
        """
        shutdown = self._state.shutdown
        if shutdown is None or context.may_have_run or context.exchange.begun:
            return None
        if shutdown.accepts(context.deadline, monotonic()):
            return None
        return Refusal(503, RefusalReason.STOPPING, STOPPING_RETRY_S)

    async def _refuse_doubtful_origin(self, context: RequestContext) -> Refusal | None:
        """Refuse to go on with a stream that another run may have begun."""
        progress = context.progress
        if progress.origin is None:
            return None
        certainty = await self._resumption.settle_origin(
            progress.origin, progress.connected_at
        )
        if certainty is OriginCertainty.CERTAIN:
            return None
        self._state.streams_unknown += 1
        return Refusal(503, RefusalReason.VERSION_UNKNOWN, detail=certainty.value)

    async def _pass_on_last_error(
        self, context: RequestContext, refusal: Refusal
    ) -> Refusal | None:
        """Pass on the last error response of an endpoint, or return the refusal."""
        if context.last_error_response is None or context.exchange.begun:
            return refusal
        await self._response_writer.pass_on(context, context.last_error_response)
        return None

    def _refuse_retry(
        self, context: RequestContext, result: AttemptResult, sends: int
    ) -> Refusal | None:
        """Return a refusal if the request must not be sent to another endpoint."""
        if isinstance(result, NotRun) and result.local:
            return self._refuse_after_failure(context, result)
        ran = not isinstance(result, NotRun)
        if ran and not context.route.repeatable:
            return Refusal(502, RefusalReason.UNKNOWN, detail=result.why)
        if isinstance(result, NotRun) and not result.arrived:
            if len(context.tried) > 6:
                return self._refuse_after_failure(context, result)
            return None
        now = monotonic()
        if sends >= context.route.max_attempts or not self._state.budget(
            context.service
        ).take(now, self._state.count_nodes(now)):
            return self._refuse_after_failure(context, result)
        return None

    def _refuse_after_failure(
        self, context: RequestContext, result: AttemptResult
    ) -> Refusal:
        if context.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail=result.why)
        wait_s = self.slot_allocator.retry_after(context)
        return Refusal(503, RefusalReason.NOT_RUN, wait_s, result.why)

    async def _run_attempt(
        self, context: RequestContext, choice: Choice, last_attempt: bool
    ) -> AttemptResult:
        row = choice.endpoint
        context.tried.append(row.endpoint)
        context.exchange.subject["endpoint"] = row.endpoint
        sent_at = monotonic()
        list_age_s = round(self._state.freshness.reported_age_s(sent_at), 2)
        list_as_of = self._state.freshness.known_offset
        plan = AttemptPlan(
            endpoint=row,
            deadline=context.deadline,
            silence_timeout_s=None if last_attempt else self._silence_timeout(context),
            team=None if context.team is None else context.team.name,
            priority=context.priority if context.streams else None,
            fetch_from=choice.fetch_from,
            pass_credentials=not context.teams_configured,
            repeatable=context.route.repeatable,
            streams=context.streams,
            sticky=context.progress.version is not None,
            is_blocked=lambda: self._blocking.find_restriction(context) is not None,
            used_connections=context.used_connections,
        )

        queued_tokens = choice.unread_tokens
        ahead_requests = row.load - 1
        row.prefill_tokens += queued_tokens
        self._count_queued_prompt(context, choice)
        first_event_s: float | None = None

        def on_begun(took_s: float) -> None:
            nonlocal queued_tokens, first_event_s
            row.prefill_tokens -= queued_tokens
            queued_tokens = 0
            first_event_s = took_s
            if context.request.prompt_tokens:
                self._backlog_client.remove_prompt(
                    row.endpoint, context.request.short_id, PromptEnd.BEGAN
                )
                self._note_first_event(context, choice, took_s)
            note_success_time(row, took_s)
            if context.streams:
                note_first_event(self._state, context.route, choice, attempt)
            self._count_usage(context)

        def on_limit(stated: StatedLimit, sent_at: float) -> None:
            self._permits.note_stated_limit(row, stated, sent_at)

        notice = EndpointNotice()

        def on_head(status: int, stated: EndpointNotice) -> None:
            nonlocal notice
            notice = stated
            if stated.leaving:
                self._note_departure(row, status)
            if status != HTTPStatus.MISDIRECTED_REQUEST:
                # Otherwise another endpoint at the address has answered.
                self._state.brittleness.note(
                    row, stated.brittleness, attempt.sent_at, monotonic()
                )
                self._evidence.confirm_answers(row, attempt.sent_at)
            if stated.backoff_s is not None:
                self.slot_allocator.note_backoff(row, stated.backoff_s)
            if not stated.readable:
                _LOG.warning(
                    "endpoint pause unreadable", extra={"endpoint": row.endpoint}
                )

        def on_running() -> None:
            self._blocking.end_probe(context, sent=True)
            self._state.quarantine.note_begun(
                context.service, context.part_keys, monotonic()
            )

        async def on_origin(version: SoftwareVersion) -> None:
            if context.route.resumable:
                key = stream_key(context.team_name, context.request.request)
                context.stream = key
                self._resumption.watch(key, row, context.progress.connected_at)
                await self._resumption.record(key, StreamOrigin(row.service, version))

        attempt = Attempt(
            context.request,
            context.exchange,
            plan,
            self._paths,
            on_begun,
            on_limit,
            on_head,
            on_running,
            on_origin,
            context.progress,
        )
        ran_before = context.may_have_run
        # True until the endpoint reports that the request did not run: the deadline can
        # cancel this method in the middle of the attempt.
        context.may_have_run = True
        end = PromptEnd.NOT_BEGUN
        rejected = False
        try:
            result = await attempt.run()
            ended_at = monotonic()
            rejected = isinstance(result, NotRun) and result.arrived and not result.gone
            if isinstance(result, NotRun) and result.gone:
                end = PromptEnd.ENGINE_GONE
        finally:
            probed = self._blocking.end_probe(context, attempt.sent)
            context.probes = False
            row.prefill_tokens -= queued_tokens
            path_lost = self._paths.is_lost(row)
            if context.remaining_s <= 0 and not path_lost:
                note_deadline(self._state.rollouts, context.route, row)
            if attempt.sent:
                self.slot_allocator.release_slot(context, row, rejected)
            else:
                self.slot_allocator.release_unused_slot(context, row)
            if context.request.prompt_tokens:
                self._report_end(context, row, end, first_event_s is not None)
        if isinstance(result, NotRun):
            context.may_have_run = ran_before
        elif isinstance(result, Broken | StreamBroken) and result.inside_event:
            self._state.streams_incomplete += 1
            self._count_usage(context)
        foreign = isinstance(result, Broken | StreamBroken) and result.foreign
        self._state.answers_foreign += foreign
        path_failed = not foreign and await self._path_failed(row, attempt, result)
        if foreign:
            if attempt.alone_on_connection:
                self._update_health(context, row, result)
        elif not path_failed and not (isinstance(result, NotRun) and result.local):
            self._update_health(context, row, result)
            await self._evidence.note(
                EndedAttempt(context, row, attempt, result, ended_at, probed)
            )
            note_attempt(self._state, context.route, row, attempt, result)
        _LOG.info(
            "attempt",
            extra={
                "request": context.request.request,
                "fingerprint": context.fingerprint,
                "endpoint": row.endpoint,
                "service": context.service,
                "version": row.version,
                "stream_version": context.progress.version,
                "resumes": context.request.resumes,
                "reason": choice.reason,
                "prompt_tokens": context.request.prompt_tokens,
                "unread_tokens": choice.unread_tokens,
                "ahead_ms": _to_milliseconds(choice.queue_s),
                "ahead_requests": ahead_requests,
                "counted": choice.counted,
                "due_ms": _to_milliseconds(choice.queue_s + choice.prefill_s),
                "first_event_ms": _to_milliseconds(first_event_s),
                "load": row.load,
                "limit_per_s": row.limit_per_s,
                "states_leaving": notice.leaving,
                "backoff_s": notice.backoff_s,
                "avoided": row.health.avoided_until > sent_at,
                "reused": attempt.reused,
                "connection": attempt.connection_number,
                "carrier": attempt.carrier,
                "path_failed": path_failed,
                "result": type(result).__name__,
                "why": result.why,
                "took_ms": _to_milliseconds(monotonic() - sent_at),
                "list_age_s": list_age_s,
                "list_as_of": list_as_of,
            },
        )
        return result

    async def _path_failed(
        self, row: Endpoint, attempt: Attempt, result: AttemptResult
    ) -> bool:
        """Return whether an attempt failed for its path, not for its endpoint."""
        if isinstance(result, Answered | Streamed):
            return False
        if isinstance(result, NotRun):
            unsent = not result.arrived and not result.gone
            return unsent and self._paths.is_lost(row)
        if result.inside_event and not result.closed:
            # All bytes that the endpoint sent have arrived.
            return False
        if attempt.carrier is not None:
            if not result.closed:
                self._paths.carriers.note_refused(attempt.carrier, monotonic())
            return not result.closed
        if result.closed and not row.departing:
            return await self._paths.check_reset(row)
        return self._paths.is_lost(row)

    def _note_first_event(
        self, context: RequestContext, choice: Choice, took_s: float
    ) -> None:
        """Compare a prompt's first event with its forecast."""
        now, service = monotonic(), context.service
        forecast_s = choice.queue_s + choice.prefill_s
        self._state.forecast_errors.note(service, took_s - forecast_s, now)
        if context.work and not context.execution_started:
            self._state.team_demand.note_served(service, context.work, now)

    def _report_end(
        self, context: RequestContext, row: Endpoint, end: PromptEnd, begun: bool
    ) -> None:
        """Report to the engine's coordinator that an attempt has ended."""
        request = context.request.short_id
        if begun:
            self._backlog_client.report_end(row.endpoint, request)
        else:
            self._backlog_client.remove_prompt(row.endpoint, request, end)

    def _note_departure(self, row: Endpoint, status: int) -> None:
        """Record that the endpoint which answered leaves."""
        rows = [row]
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another endpoint has the address and gives this answer.
            listed = self._state.endpoints.rows.values()
            rows += [other for other in listed if other.address == row.address]
        self._state.departures.add(rows, monotonic())

    def _count_queued_prompt(self, context: RequestContext, choice: Choice) -> None:
        """Add the prompt to the demand and to the queue that the coordinator counts."""
        request = context.request
        if not request.prompt_tokens:
            return
        self._state.demand.note_uncached(
            context.service, request.prompt_tokens, choice.unread_tokens
        )
        parts = tuple(part.part for part in request.prefix[:-1])
        self._backlog_client.add_prompt(
            Placement(
                choice.endpoint.endpoint,
                request.short_id,
                choice.unread_tokens,
                parts,
                request.prompt_tokens,
            )
        )

    def _silence_timeout(self, context: RequestContext) -> float:
        """Return the seconds of silence after which an attempt is abandoned."""
        if context.streams:
            return max(STREAM_SILENCE_TIMEOUT_S, min(2.0, 2 * context.route.target_s))
        return min(
            max(
                MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_TARGETS * context.route.target_s
            ),
            0.5 * max(0.05, context.remaining_s),
        )

    def _count_usage(self, context: RequestContext) -> None:
        """Count the request once in its team's usage, when it starts to run."""
        if context.execution_started:
            return
        context.execution_started = True
        if context.team is not None:
            self._state.usage.note(context.team.name, self._state.clock.now())

    def _update_health(
        self, context: RequestContext, row: Endpoint, result: AttemptResult
    ) -> None:
        """Update the endpoint's health from the result of an attempt."""
        now = monotonic()
        peers = self._state.endpoints.of(context.service)
        if isinstance(result, Streamed):
            note_success(row)
            return
        if isinstance(result, Answered) and result.status < 500:
            note_success(row)
            return
        if (
            isinstance(result, NotRun)
            and not result.gone
            and (result.arrived or row.in_backoff(now))
        ):
            return
        # An endpoint that has crashed and restarted refuses requests for its former run
        # immediately, and its queue is empty. If these refusals did not count as
        # failures, it would look like the best choice for every request until the list
        # shows the new run.
        certain = isinstance(result, NotRun)
        if certain:
            self._paths.abort_idle(row.address)
        run_ended = isinstance(result, NotRun) and result.arrived and result.gone
        silent = isinstance(result, Broken | StreamBroken) and result.silent
        if note_failure(row, peers, now, certain, run_ended, silent):
            _LOG.warning(
                "endpoint avoided",
                extra={
                    "endpoint": row.endpoint,
                    "service": context.service,
                    "why": result.why,
                    "failure_rate": round(row.health.failure_rate, 2),
                    "in_row": row.health.failures_in_row,
                    "for_s": round(row.health.avoided_until - now, 2),
                },
            )


def _refuse_at_close(context: RequestContext) -> Refusal:
    """Return the final answer to a request that is in progress when the node closes."""
    if context.may_have_run:
        return Refusal(502, RefusalReason.CUT_AT_STOP)
    return Refusal(503, RefusalReason.STOPPING, STOPPING_RETRY_S)


def _deadline(request: CallerRequest, route: Route) -> float:
    """Return the monotonic time at which a request ends at the latest."""
    timeout_s = route.timeout_s
    if request.timeout_s is not None:
        timeout_s = min(timeout_s, request.timeout_s)
    return request.started_at + timeout_s


def _to_milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(1000 * seconds, 1)
