"""Places at endpoints: taken at once, waited for, or refused."""

from __future__ import annotations

import asyncio
from time import monotonic

from poplarrelay.entry.admission import (
    FirstEventForecast,
    retry_after_queue,
    starts_in_time,
)
from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.choosing import (
    Choice,
    SelectionCriteria,
    answered_since,
    choose_candidate,
    choose_endpoint,
    sample_candidates,
)
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.permits import PROBE_PER_S, PermitBroker
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.request_queue import (
    PermitDenied,
    RequestQueue,
    bound_retry_after,
    max_queue_wait,
    retry_after,
)
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.timeouts import within
from poplarrelay.identifiers import EndpointId

__all__ = ["NO_ENDPOINT_RETRY_S", "SlotAllocator"]

#: Seconds after which a caller comes back for a service without endpoints; a new one
#: takes some seconds to boot, and its record comes within one poll.
NO_ENDPOINT_RETRY_S = 1.0


class SlotAllocator:
    """The places at endpoints that this node takes.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    backlog_client : BacklogClient
        Asks what prompts are in line at engines.
    permits : PermitBroker
        Obtains permits for endpoints that state a limit.
    """

    def __init__(
        self, state: EntryState, backlog_client: BacklogClient, permits: PermitBroker
    ) -> None:
        self._state = state
        self._backlog_client = backlog_client
        self._permits = permits
        permits.on_permit = self.dispatch_queued
        permits.on_denial = self._refuse_late_waiters
        self._waiting = RequestQueue()

    def retry_after(self, context: RequestContext) -> float:
        """Return when a refused caller shall come back."""
        now = monotonic()
        return retry_after(
            self._waiting.length(context.service),
            self._state.end_rate(context.service, now),
            context.remaining_s,
        )

    def _choose(
        self, service: ServiceName, criteria: SelectionCriteria
    ) -> Choice | None:
        """Choose an endpoint with room and take a place at it."""
        now = monotonic()
        rows = self._state.endpoints.accepting(service)
        self._permits.prepare(rows, now)
        choice = choose_endpoint(
            self._trusted(rows, now), criteria, now, self._state.rng
        )
        if choice is None:
            choice = choose_endpoint(rows, criteria, now, self._state.rng)
        if choice is not None:
            choice.endpoint.acquire_slot()
        return choice

    async def _choose_asking(
        self, context: RequestContext, criteria: SelectionCriteria
    ) -> Choice | Refusal | None:
        """Choose an engine with room by what is in line there, and take a place.

        Refuse the request if its first event would be late wherever it goes.
        """
        now = monotonic()
        rows = self._state.endpoints.accepting(context.service)
        self._permits.prepare(rows, now)
        rng = self._state.rng
        drawn = sample_candidates(self._trusted(rows, now), criteria, now, rng)
        drawn = drawn or sample_candidates(rows, criteria, now, rng)
        prefix = context.request.prefix
        views = await self._backlog_client.ask(
            [row.endpoint for row in drawn], [part.part for part in prefix[:-1]]
        )
        now = monotonic()
        down = {endpoint for endpoint, view in views.items() if view.down}
        cached_tokens = {}
        for row in drawn:
            view = views.get(row.endpoint)
            if view is not None:
                row.update_backlog(view.tokens, view.speed, now)
                cached_tokens[row.endpoint] = view.cached_tokens_at(prefix)
        # Some may have left, or filled up, while their keepers were asked.
        open_rows = [row for row in drawn if row.accepts_work and row.free]
        open_rows = [row for row in open_rows if row.endpoint not in down] or open_rows
        if not open_rows:
            return None
        choice = choose_candidate(open_rows, criteria, cached_tokens, now)
        if not context.may_have_run and not starts_in_time(
            self._forecast(context, choice, now)
        ):
            # Its home keeps nothing of it yet, and another engine may be in time.
            choice = choose_candidate(
                open_rows, criteria, cached_tokens, now, assume_affinity_cached=False
            )
            forecast = self._forecast(context, choice, now)
            if not starts_in_time(forecast):
                wait_s = bound_retry_after(
                    retry_after_queue(forecast), context.remaining_s
                )
                detail = f"{forecast.queue_s:.2f} s in line"
                return Refusal(503, RefusalReason.BEHIND, wait_s, detail)
        choice.endpoint.acquire_slot()
        return choice

    @staticmethod
    def _forecast(
        context: RequestContext, choice: Choice, now: float
    ) -> FirstEventForecast:
        waited_s = now - context.request.started_at
        target_s = context.route.target_s
        return FirstEventForecast(waited_s, choice.queue_s, choice.prefill_s, target_s)

    def _trusted(self, rows: list[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are known not to have left, as far as any is."""
        freshness = self._state.freshness
        if not freshness.within_bound(now):
            rows = answered_since(rows, now - freshness.times.max_list_age_s)
        return [row for row in rows if row.suspended_until is None]

    async def take(self, context: RequestContext) -> Choice | Refusal:
        """Take a place for a request, waiting for one if need be."""
        criteria = self._criteria(context, tuple(context.tried))
        choice: Choice | Refusal | None
        if criteria.is_prompt:
            choice = await self._choose_asking(context, criteria)
        else:
            choice = self._choose(context.service, criteria)
        if choice is not None:
            return choice
        if context.tried and not self._has_untried(context):
            # Every endpoint was tried; one of them may have room again.
            criteria = self._criteria(context, ())
            choice = self._choose(context.service, criteria)
            if choice is not None:
                return choice
        if not self._state.endpoints.accepting(context.service):
            if context.may_have_run:
                return Refusal(502, RefusalReason.UNKNOWN, detail="no other endpoint")
            return Refusal(503, RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_S)
        return await self._wait(context, criteria)

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
        )

    def _has_untried(self, context: RequestContext) -> bool:
        rows = self._state.endpoints.accepting(context.service)
        return any(row.endpoint not in context.tried for row in rows)

    async def _wait(
        self, context: RequestContext, criteria: SelectionCriteria
    ) -> Choice | Refusal:
        longest_s = max_queue_wait(context.route, context.remaining_s)
        ahead = self._waiting.length(context.service)
        permit_wait_s = self._permit_wait(context.service, ahead, monotonic())
        if permit_wait_s is not None and permit_wait_s > longest_s:
            return self._limit_refusal(context, permit_wait_s)
        slot: asyncio.Future[Choice | PermitDenied]
        slot = asyncio.get_running_loop().create_future()
        until = monotonic() + longest_s
        self._waiting.join(context.service, context.priority, criteria, slot, until)
        try:
            found = await within(longest_s, slot)
            if isinstance(found, PermitDenied):
                return self._limit_refusal(context, found.wait_s)
            return found
        except TimeoutError:
            if context.may_have_run:
                return Refusal(502, RefusalReason.UNKNOWN, detail="others are full")
            return Refusal(503, RefusalReason.FULL, self.retry_after(context))
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                found = slot.result()
                if not isinstance(found, PermitDenied):
                    self.leave(context.service, found.endpoint)
            raise
        finally:
            slot.cancel()

    def _permit_wait(
        self, service: ServiceName, ahead: int, now: float
    ) -> float | None:
        """Return the expected wait for a permit, in seconds.

        Returns None unless all accepting endpoints are limited: a request may otherwise
        get a place without a permit.
        """
        rows = self._state.endpoints.accepting(service)
        limits = [row.limit_per_s for row in rows if row.limit_per_s is not None]
        if not rows or len(limits) < len(rows):
            return None
        rate = sum(max(PROBE_PER_S, limit) for limit in limits)
        first_s = max(0.0, min(row.next_permit_at for row in rows) - now)
        return first_s + ahead * self._state.count_nodes(now) / rate

    def _limit_refusal(self, context: RequestContext, wait_s: float) -> Refusal:
        if context.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail="others are limited")
        wait_s = bound_retry_after(wait_s, context.remaining_s)
        return Refusal(503, RefusalReason.LIMITED, wait_s)

    def _refuse_late_waiters(self, service: ServiceName) -> None:
        """Refuse the waiting requests that no permit is expected to reach in time."""
        now = monotonic()
        for ahead, waiter in enumerate(self._waiting.pending(service)):
            wait_s = self._permit_wait(service, ahead, now)
            if wait_s is not None and now + wait_s > waiter.until:
                waiter.slot.set_result(PermitDenied(wait_s))

    def leave(self, service: ServiceName, row: Endpoint) -> None:
        """Free a place, and give it to a request that waits."""
        row.running -= 1
        self.dispatch_queued(service)

    def dispatch_queued(self, service: ServiceName) -> None:
        """Give places that have come free to requests that wait."""
        self._waiting.serve(service, lambda criteria: self._choose(service, criteria))
