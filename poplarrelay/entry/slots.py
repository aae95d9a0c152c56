"""Allocation of slots at endpoints to requests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from math import inf
from time import monotonic

from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.permits import PROBE_PER_S, PermitBroker
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.scheduling.admission import (
    FirstEventForecast,
    queue_limit_share,
    retry_after_queue,
    starts_in_time,
)
from poplarrelay.entry.scheduling.choosing import (
    Choice,
    HasRoom,
    SelectionCriteria,
    answered_since,
    assume_mean,
    choose_candidate,
    choose_endpoint,
    sample_candidates,
)
from poplarrelay.entry.scheduling.fair_queue import Waiting
from poplarrelay.entry.scheduling.request_queue import (
    MIN_RETURN_S,
    NO_TEAM,
    RequestQueue,
    SlotUnavailable,
    bound_retry_after,
    max_queue_wait,
    retry_after,
    retry_after_backoff,
    spread_return,
)
from poplarrelay.entry.scheduling.weights import team_weight
from poplarrelay.entry.slot_broker import SlotBroker
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.timeouts import within
from poplarrelay.identifiers import EndpointId, SoftwareVersion

__all__ = ["NO_ENDPOINT_RETRY_S", "SlotAllocator"]

#: Most endpoints whose coordinators are asked for a slot for one attempt.
MAX_ASKED = 2
#: Retry delay in seconds for callers of a service without endpoints. A new endpoint
#: takes some seconds to boot, and its record is read with the next poll.
NO_ENDPOINT_RETRY_S = 1.0


class SlotAllocator:
    """Allocates slots at endpoints to the requests of this node.

    Parameters
    ----------
    state : EntryState
        Tables of the node.
    backlog_client : BacklogClient
        Requests the backlogs of engines from their coordinators.
    permits : PermitBroker
        Obtains permits for endpoints with a limit on requests per second.
    slot_broker : SlotBroker
        Obtains slots of plain services from their coordinators.
    """

    def __init__(
        self,
        state: EntryState,
        backlog_client: BacklogClient,
        permits: PermitBroker,
        slot_broker: SlotBroker,
    ) -> None:
        self._state = state
        self._slot_broker = slot_broker
        self._backlog_client = backlog_client
        self._permits = permits
        permits.on_permit = self.dispatch_queued
        permits.on_denial = self._refuse_late_requests
        self._queue = RequestQueue()

    def retry_after(self, context: RequestContext) -> float:
        """Return the delay after which a refused caller should retry, in seconds."""
        now = monotonic()
        queued = self._queue.length(context.service)
        unavailable = self._find_unavailability(
            context.service, queued, now, context.progress.version
        )
        if unavailable is not None and unavailable.reason is RefusalReason.BACKOFF:
            return retry_after_backoff(unavailable.wait_s, self._state.rng)
        return retry_after(
            queued,
            self._state.end_rate(context.service, now),
            context.remaining_s,
        )

    def _choose(
        self,
        service: ServiceName,
        criteria: SelectionCriteria,
        has_room: HasRoom = Endpoint.has_room,
    ) -> Choice | None:
        """Choose an endpoint with a free slot and acquire the slot."""
        now = monotonic()
        rows = self._eligible(service, now, criteria.version)
        self._prepare_permits(rows, now)
        rng = self._state.rng
        accepting = self._known_accepting(rows, now)
        choice = choose_endpoint(accepting, criteria, now, rng, has_room)
        if choice is None:
            choice = choose_endpoint(rows, criteria, now, rng, has_room)
        if choice is not None:
            self._acquire(choice.endpoint)
        return choice

    def _eligible(
        self, service: ServiceName, now: float, version: SoftwareVersion | None
    ) -> Sequence[Endpoint]:
        """Return the endpoints that the next request may be sent to.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time.
        version : SoftwareVersion or None
            Version that has begun the stream, None for a request without events.
        """
        if version is not None:
            return self._state.endpoints.continuing(service, version)
        rows = self._state.endpoints.accepting(service)
        return self._state.rollouts.eligible(service, rows, now)

    def _prepare_permits(self, rows: Sequence[Endpoint], now: float) -> None:
        self._permits.prepare([row for row in rows if not row.in_backoff(now)], now)

    def _acquire(self, row: Endpoint) -> None:
        row.acquire_slot()
        self._state.rollouts.note_acquired(row)

    async def _choose_engine(
        self, context: RequestContext, criteria: SelectionCriteria
    ) -> Choice | Refusal | None:
        """Choose an engine with a free slot by its backlog, and acquire the slot.

        Refuse the request if its first event would be late at every candidate.
        """
        now = monotonic()
        rows = self._eligible(context.service, now, criteria.version)
        self._prepare_permits(rows, now)
        rng = self._state.rng
        brittle = self._state.brittleness.of(context.service, now) is not None
        has_room = Endpoint.has_room if brittle else Endpoint.has_queue_room
        accepting = self._known_accepting(rows, now)
        candidates = sample_candidates(accepting, criteria, now, rng, has_room)
        candidates = candidates or sample_candidates(rows, criteria, now, rng, has_room)
        prefix = context.request.prefix
        backlogs = await self._backlog_client.request_backlogs(
            [row.endpoint for row in candidates], [part.part for part in prefix[:-1]]
        )
        now = monotonic()
        down = {endpoint for endpoint, backlog in backlogs.items() if backlog.down}
        cached_tokens = {}
        for row in candidates:
            backlog = backlogs.get(row.endpoint)
            if backlog is not None:
                row.update_backlog(backlog.tokens, backlog.speed, now, backlog.load)
                cached_tokens[row.endpoint] = backlog.cached_tokens_at(prefix)
        assume_mean(candidates, backlogs.keys(), now)
        # Endpoints may have left or become full while the coordinators replied.
        room_now = Endpoint.has_room if brittle else _has_room
        sticky = criteria.version is not None
        available = [r for r in candidates if r.accepts(sticky) and room_now(r, now)]
        available = [row for row in available if row.endpoint not in down] or available
        if not available:
            return None
        choice = choose_candidate(available, criteria, cached_tokens, now)
        # The caller of a resumed stream has had its first event.
        is_new = not context.may_have_run and not sticky
        if is_new and not starts_in_time(self._forecast(context, choice, now)):
            # If no engine is known to have the prompt cached, the first choice assumes
            # that the affinity endpoint has. Without this assumption, another engine
            # may be faster.
            choice = choose_candidate(
                available, criteria, cached_tokens, now, assume_affinity_cached=False
            )
            forecast = self._forecast(context, choice, now)
            if not starts_in_time(forecast):
                self._state.team_demand.note_short(context.service, now)
                return self._refuse_late_prompt(context, forecast)
        self._acquire(choice.endpoint)
        return replace(choice, counted=choice.endpoint.endpoint in backlogs)

    def _refuse_late_prompt(
        self, context: RequestContext, forecast: FirstEventForecast
    ) -> Refusal:
        wait_s = retry_after_queue(forecast)
        if self._state.fair_shares:
            wait_s = spread_return(wait_s, self._state.rng)
        wait_s = bound_retry_after(wait_s, context.remaining_s)
        queue_s, limit_s = forecast.queue_s, forecast.max_queue_s
        detail = f"{queue_s:.2f} s queue time, at most {limit_s:.2f} s"
        return Refusal(503, RefusalReason.QUEUE_TOO_LONG, wait_s, detail)

    def _forecast(
        self, context: RequestContext, choice: Choice, now: float
    ) -> FirstEventForecast:
        state, service = self._state, context.service
        forecast = FirstEventForecast(
            waited_s=now - context.request.started_at,
            queue_s=choice.queue_s,
            prefill_s=choice.prefill_s,
            target_s=context.route.target_s,
        )
        if service not in state.markers:
            return forecast
        share = state.settings.scheduling.forecast_quantile
        return replace(
            forecast,
            error_s=state.forecast_errors.quantile(service, share, now) if share else 0,
            limit_share=queue_limit_share(context.within_share, context.urgent),
        )

    def _known_accepting(self, rows: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that were last known to accept work.

        Suspended endpoints, whose records expired in an outage of the store, are left
        out. If the endpoint list is too old, only endpoints that have answered within
        the age bound are returned.
        """
        freshness = self._state.freshness
        if not freshness.within_bound(now):
            rows = answered_since(rows, now - freshness.times.max_list_age_s)
        return [row for row in rows if row.suspended_until is None]

    async def acquire_slot(self, context: RequestContext) -> Choice | Refusal:
        """Acquire a slot for a request; wait in the queue if no slot is free."""
        criteria = self._criteria(context, tuple(context.tried))
        choice: Choice | Refusal | None
        survives = self._state.brittleness.of(context.service, monotonic())
        if survives is not None and self._needs_grant(
            context.service, criteria.version
        ):
            return await self._acquire_brittle(context, criteria, survives)
        if criteria.is_prompt:
            choice = await self._choose_engine(context, criteria)
        else:
            choice = None
            if self._state.fair_shares:
                choice = await self._acquire_granted(context, criteria)
            choice = choice or self._choose(context.service, criteria)
            if choice is None and self._state.fair_shares:
                has_room = Endpoint.is_unused_here
                choice = self._choose(context.service, criteria, has_room)
        if choice is not None:
            return choice
        if context.tried and not self._has_untried(context):
            # All endpoints have been tried; one of them may have a free slot now.
            criteria = self._criteria(context, ())
            choice = self._choose(context.service, criteria)
            if choice is not None:
                return choice
        if not self._eligible(context.service, monotonic(), criteria.version):
            if criteria.version is not None:
                return self._refuse_without_version(context, criteria.version)
            if context.may_have_run:
                return Refusal(502, RefusalReason.UNKNOWN, detail="no other endpoint")
            return Refusal(503, RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_S)
        return await self._wait_for_slot(context, criteria)

    def _refuse_without_version(
        self, context: RequestContext, version: SoftwareVersion
    ) -> Refusal:
        """Return the refusal of a stream whose version has no endpoint left."""
        reason, detail = RefusalReason.VERSION_GONE, f"version {version}"
        if context.may_have_run:
            return Refusal(502, reason, detail=detail)
        return Refusal(503, reason, NO_ENDPOINT_RETRY_S, detail)

    def _needs_grant(
        self, service: ServiceName, version: SoftwareVersion | None
    ) -> bool:
        """Return whether a brittle service has endpoints, and none with a limit.

        The permits of a stated limit are for single requests as well.
        """
        rows = self._eligible(service, monotonic(), version)
        return bool(rows) and all(row.limit_per_s is None for row in rows)

    async def _acquire_brittle(
        self, context: RequestContext, criteria: SelectionCriteria, survives: float
    ) -> Choice | Refusal:
        """Acquire a granted slot at an endpoint that must not reject many requests.

        Parameters
        ----------
        context : RequestContext
            The request.
        criteria : SelectionCriteria
            Properties of the request.
        survives : float
            Rejections in a second that an endpoint of the service survives.
        """
        if criteria.is_prompt:
            choice = await self._acquire_granted_engine(context, criteria)
        else:
            choice = await self._acquire_granted(context, criteria)
        if choice is not None:
            return choice
        state = self._state
        nodes = sorted({state.me.node, *state.coordinators()})
        rank, wall = nodes.index(state.me.node), state.clock.now()
        if state.brittleness.take_unconfirmed(
            context.service, survives, rank, len(nodes), wall
        ):
            choice = self._choose(context.service, criteria)
        if choice is not None:
            return choice
        unavailable = self._find_unavailability(
            context.service, 0, monotonic(), criteria.version
        )
        if unavailable is not None:
            return self._refuse_unavailable(context, unavailable)
        return self._refuse_full(context, 0.0, "no slot is granted")

    async def _acquire_granted_engine(
        self, context: RequestContext, criteria: SelectionCriteria
    ) -> Choice | Refusal | None:
        """Choose an engine for a prompt, and obtain a slot from its coordinator.

        Returns
        -------
        Choice, Refusal or None
            None if no coordinator replies or no engine has room.
        """
        if not context.request.request:
            return None
        wait_s = 0.0
        sticky = criteria.version is not None
        for _ in range(MAX_ASKED):
            choice = await self._choose_engine(context, criteria)
            if not isinstance(choice, Choice):
                return choice
            row = choice.endpoint
            reply = None
            try:
                reply = await self._slot_broker.acquire(row, self._waiting(context))
                if reply is not None and reply.granted and row.accepts(sticky):
                    return choice
            finally:
                if reply is None or not reply.granted or not row.accepts(sticky):
                    self.release_unused_slot(context, row)
            if reply is None:
                return None
            wait_s = reply.wait_s
            criteria = replace(criteria, tried=(*criteria.tried, row.endpoint))
        return self._refuse_full(context, wait_s, f"{wait_s:.3f} s queue time")

    def _waiting(self, context: RequestContext) -> Waiting:
        """Return the request as it waits at a coordinator."""
        wait_s = max_queue_wait(context.route, context.remaining_s)
        since = monotonic()
        if self._state.brittleness.of(context.service, since) is not None:
            # A request that a brittle endpoint has rejected does not wait once more.
            since = context.request.started_at
        return Waiting(
            context.request.short_id,
            self._state.me.host,
            context.team_name,
            context.priority,
            1.0,
            self._weight(context),
            since + wait_s,
        )

    def _refuse_full(
        self, context: RequestContext, wait_s: float, detail: str
    ) -> Refusal:
        if context.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail="other endpoints full")
        retry_s = spread_return(wait_s or MIN_RETURN_S, self._state.rng)
        retry_s = bound_retry_after(retry_s, context.remaining_s)
        return Refusal(503, RefusalReason.FULL, retry_s, detail)

    async def _acquire_granted(
        self, context: RequestContext, criteria: SelectionCriteria
    ) -> Choice | Refusal | None:
        """Obtain a slot from the coordinator of an endpoint.

        Returns
        -------
        Choice, Refusal or None
            None if slots are not coordinated, or if no coordinator replies.
        """
        request = context.request.short_id
        if not request:
            return None
        wait_s = 0.0
        asked: list[EndpointId] = []
        waiting = self._waiting(context)
        while len(asked) < MAX_ASKED:
            row = self._choose_to_ask(context, criteria, asked)
            if row is None:
                break
            reply = await self._slot_broker.acquire(row, waiting)
            if reply is None:
                return None
            accepts = row.accepts(criteria.version is not None)
            if reply.granted and accepts and not row.in_backoff(monotonic()):
                self._acquire(row)
                return Choice(row, "slot granted", load=row.load, counted=True)
            self._slot_broker.end(row, request)
            asked.append(row.endpoint)
            wait_s = reply.wait_s
        if not asked:
            return None
        if context.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail="other endpoints full")
        retry_s = spread_return(wait_s, self._state.rng)
        retry_s = bound_retry_after(retry_s, context.remaining_s)
        return Refusal(503, RefusalReason.FULL, retry_s, f"{wait_s:.3f} s queue time")

    def _weight(self, context: RequestContext) -> float:
        """Return the weight of the request's team."""
        configuration = self._state.configuration
        teams = {} if configuration is None else configuration.teams
        return team_weight(context.team, teams)

    def _choose_to_ask(
        self,
        context: RequestContext,
        criteria: SelectionCriteria,
        asked: Sequence[EndpointId],
    ) -> Endpoint | None:
        """Choose an endpoint whose coordinator is asked for a slot."""
        now = monotonic()
        rows = self._eligible(context.service, now, criteria.version)
        if any(row.limit_per_s is not None for row in rows):
            return None
        rows = self._known_accepting(rows, now) or rows
        left_out = (*criteria.tried, *asked)
        choice = choose_endpoint(
            rows,
            replace(criteria, tried=left_out),
            now,
            self._state.rng,
            has_room=lambda row, at: not row.in_backoff(at),
        )
        return None if choice is None else choice.endpoint

    def _criteria(
        self, context: RequestContext, tried: tuple[EndpointId, ...]
    ) -> SelectionCriteria:
        request = context.request
        return SelectionCriteria(
            affinity_key=request.affinity_key,
            prompt_tokens=request.prompt_tokens or 0,
            shared_tokens=request.shared_tokens,
            tried=tried,
            local_domain=self._state.me.domain,
            version=context.progress.version,
        )

    def _has_untried(self, context: RequestContext) -> bool:
        now = monotonic()
        rows = self._eligible(context.service, now, context.progress.version)
        return any(
            row.endpoint not in context.tried and not row.in_backoff(now)
            for row in rows
        )

    async def _wait_for_slot(
        self, context: RequestContext, criteria: SelectionCriteria
    ) -> Choice | Refusal:
        max_wait_s = max_queue_wait(context.route, context.remaining_s)
        ahead = self._queue.length(context.service)
        unavailable = self._find_unavailability(
            context.service, ahead, monotonic(), criteria.version
        )
        if unavailable is not None and unavailable.wait_s > max_wait_s:
            return self._refuse_unavailable(context, unavailable)
        future: asyncio.Future[Choice | SlotUnavailable]
        future = asyncio.get_running_loop().create_future()
        expires_at = monotonic() + max_wait_s
        self._queue.join(
            context.service,
            context.priority,
            criteria,
            future,
            expires_at,
            context.team_name if self._state.fair_shares else NO_TEAM,
            self._weight(context),
        )
        try:
            outcome = await within(max_wait_s, future)
            if isinstance(outcome, SlotUnavailable):
                return self._refuse_unavailable(context, outcome)
            return outcome
        except TimeoutError:
            if context.may_have_run:
                return Refusal(
                    502, RefusalReason.UNKNOWN, detail="other endpoints are full"
                )
            return Refusal(503, RefusalReason.FULL, self.retry_after(context))
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                outcome = future.result()
                if not isinstance(outcome, SlotUnavailable):
                    self.release_unused_slot(context, outcome.endpoint)
            raise
        finally:
            future.cancel()

    def note_backoff(self, row: Endpoint, backoff_s: float) -> None:
        """Send nothing to an endpoint that asks for a pause until its end."""
        self._state.backoffs.add(row, backoff_s, monotonic())
        self._refuse_late_requests(row.service)
        loop = asyncio.get_running_loop()
        loop.call_later(backoff_s, self.dispatch_queued, row.service)

    def _find_unavailability(
        self,
        service: ServiceName,
        ahead: int,
        now: float,
        version: SoftwareVersion | None,
    ) -> SlotUnavailable | None:
        """Return why no endpoint takes a request now, and for how long.

        Returns None if an endpoint takes requests as soon as it has a free slot. The
        others are in a pause that they have asked for, or have no permit left.
        """
        rows = self._eligible(service, now, version)
        usable = [row for row in rows if not row.in_backoff(now)]
        pause_s = min(
            (row.backoff_until - now for row in rows if row.in_backoff(now)),
            default=inf,
        )
        if not usable:
            if not rows:
                return None
            return SlotUnavailable(pause_s, RefusalReason.BACKOFF)
        permit_wait_s = self._permit_wait(usable, ahead, now)
        if permit_wait_s is None:
            return None
        return SlotUnavailable(min(permit_wait_s, pause_s), RefusalReason.LIMITED)

    def _permit_wait(
        self, rows: Sequence[Endpoint], ahead: int, now: float
    ) -> float | None:
        """Return the expected wait for a permit, in seconds.

        Returns None unless all endpoints are limited: otherwise a request can get a
        slot without a permit.
        """
        limits = [row.limit_per_s for row in rows if row.limit_per_s is not None]
        if len(limits) < len(rows):
            return None
        rate = sum(max(PROBE_PER_S, limit) for limit in limits)
        first_s = max(0.0, min(row.next_permit_at for row in rows) - now)
        # All nodes share the permits, and the others may have as many requests queued.
        return first_s + ahead * self._state.count_nodes(now) / rate

    def _refuse_unavailable(
        self, context: RequestContext, unavailable: SlotUnavailable
    ) -> Refusal:
        reason, wait_s = unavailable.reason, unavailable.wait_s
        version = context.progress.version
        if reason is RefusalReason.VERSION_GONE and version is not None:
            return self._refuse_without_version(context, version)
        if context.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail=reason.value)
        if reason is RefusalReason.BACKOFF:
            wait_s = retry_after_backoff(wait_s, self._state.rng)
        else:
            wait_s = bound_retry_after(wait_s, context.remaining_s)
        return Refusal(503, reason, wait_s)

    def _refuse_late_requests(self, service: ServiceName) -> None:
        """Refuse the queued requests that no endpoint is expected to take in time."""
        now = monotonic()
        for ahead, queued in enumerate(self._queue.pending(service)):
            version = queued.criteria.version
            unavailable = self._find_unavailability(service, ahead, now, version)
            if unavailable is not None and now + unavailable.wait_s > queued.expires_at:
                queued.future.set_result(unavailable)

    def refuse_without_version(self, service: ServiceName) -> None:
        """Refuse the queued streams whose version has no endpoint left."""
        for queued in self._queue.pending(service):
            version = queued.criteria.version
            if version is None or self._state.endpoints.continuing(service, version):
                continue
            unavailable = SlotUnavailable(0.0, RefusalReason.VERSION_GONE)
            queued.future.set_result(unavailable)

    def release_slot(
        self, context: RequestContext, row: Endpoint, rejected: bool = False
    ) -> None:
        """Release a request's slot and assign it to a queued request.

        Parameters
        ----------
        context : RequestContext
            The request.
        row : Endpoint
            The endpoint.
        rejected : bool
            Whether the endpoint has rejected the request.
        """
        row.running -= 1
        brittle = self._state.brittleness.of(context.service, monotonic()) is not None
        if rejected and brittle:
            self._slot_broker.reject(row, context.request.short_id)
        else:
            self._slot_broker.end(row, context.request.short_id)
        self.dispatch_queued(context.service)

    def release_unused_slot(self, context: RequestContext, row: Endpoint) -> None:
        """Release a slot from which no request reached the endpoint."""
        self._state.rollouts.note_unsent(row)
        self.release_slot(context, row)

    def dispatch_queued(self, service: ServiceName) -> None:
        """Assign free slots to queued requests."""
        self._queue.serve(service, lambda criteria: self._choose(service, criteria))


def _has_room(row: Endpoint, now: float) -> bool:
    """Return whether a prompt can be sent to an engine, to its queue if counted."""
    return row.has_queue_room(now) if row.counted_at == now else row.has_room(now)
