"""Places at endpoints: taken at once, waited for, or refused."""

from __future__ import annotations

import asyncio
from time import monotonic

from poplarrelay.entry.admission import Prospect, may_begin, retry_after_line
from poplarrelay.entry.case import Case
from poplarrelay.entry.choosing import (
    Choice,
    Wish,
    choose_candidate,
    choose_endpoint,
    draw_candidates,
    vouched_rows,
)
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.permits import PROBE_PER_S, PermitBroker
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.surveying import BacklogSurvey
from poplarrelay.entry.timeouts import within
from poplarrelay.entry.waiting import (
    PermitDenied,
    WaitingRoom,
    bounded_retry,
    longest_wait,
    retry_after,
)
from poplarrelay.identifiers import EndpointId

__all__ = ["NO_ENDPOINT_RETRY_S", "Places"]

#: Seconds after which a caller comes back for a service without endpoints; a new one
#: takes some seconds to boot, and its record comes within one poll.
NO_ENDPOINT_RETRY_S = 1.0


class Places:
    """The places at endpoints that this node takes.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    survey : BacklogSurvey
        Asks what prompts are in line at engines.
    permits : PermitBroker
        Obtains permits for endpoints that state a limit.
    """

    def __init__(
        self, state: EntryState, survey: BacklogSurvey, permits: PermitBroker
    ) -> None:
        self._state = state
        self._survey = survey
        self._permits = permits
        permits.on_permit = self.serve_waiting
        permits.on_denial = self._refuse_late_waiters
        self._waiting = WaitingRoom()

    def retry_after(self, case: Case) -> float:
        """Return when a refused caller shall come back."""
        now = monotonic()
        return retry_after(
            self._waiting.length(case.service),
            self._state.end_rate(case.service, now),
            case.remaining_s,
        )

    def _choose(self, service: ServiceName, wish: Wish) -> Choice | None:
        """Choose an endpoint with room and take a place at it."""
        now = monotonic()
        rows = self._state.endpoints.accepting(service)
        self._permits.prepare(rows, now)
        choice = choose_endpoint(self._trusted(rows, now), wish, now, self._state.rng)
        if choice is None:
            choice = choose_endpoint(rows, wish, now, self._state.rng)
        if choice is not None:
            choice.endpoint.take_place()
        return choice

    async def _choose_asking(self, case: Case, wish: Wish) -> Choice | Refusal | None:
        """Choose an engine with room by what is in line there, and take a place.

        Refuse the request if its first event would be late wherever it goes.
        """
        now = monotonic()
        rows = self._state.endpoints.accepting(case.service)
        self._permits.prepare(rows, now)
        rng = self._state.rng
        drawn = draw_candidates(self._trusted(rows, now), wish, now, rng)
        drawn = drawn or draw_candidates(rows, wish, now, rng)
        prefix = case.request.prefix
        views = await self._survey.ask(
            [row.endpoint for row in drawn], [part.part for part in prefix[:-1]]
        )
        now = monotonic()
        down = {endpoint for endpoint, view in views.items() if view.down}
        kept = {}
        for row in drawn:
            view = views.get(row.endpoint)
            if view is not None:
                row.hear_backlog(view.tokens, view.speed, now)
                kept[row.endpoint] = view.kept_tokens(prefix)
        # Some may have left, or filled up, while their keepers were asked.
        open_rows = [row for row in drawn if row.accepts_work and row.free]
        open_rows = [row for row in open_rows if row.endpoint not in down] or open_rows
        if not open_rows:
            return None
        choice = choose_candidate(open_rows, wish, kept, now)
        if not case.may_have_run and not may_begin(self._prospect(case, choice, now)):
            # Its home keeps nothing of it yet, and another engine may be in time.
            choice = choose_candidate(open_rows, wish, kept, now, favour_home=False)
            prospect = self._prospect(case, choice, now)
            if not may_begin(prospect):
                wait_s = bounded_retry(retry_after_line(prospect), case.remaining_s)
                detail = f"{prospect.line_s:.2f} s in line"
                return Refusal(503, RefusalReason.BEHIND, wait_s, detail)
        choice.endpoint.take_place()
        return choice

    @staticmethod
    def _prospect(case: Case, choice: Choice, now: float) -> Prospect:
        waited_s = now - case.request.started_at
        target_s = case.route.target_s
        return Prospect(waited_s, choice.line_s, choice.reading_s, target_s)

    def _trusted(self, rows: list[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are known not to have left, as far as any is."""
        freshness = self._state.freshness
        if not freshness.vouched(now):
            rows = vouched_rows(rows, now - freshness.times.vouched_s)
        return [row for row in rows if row.suspended_until is None]

    async def take(self, case: Case) -> Choice | Refusal:
        """Take a place for a request, waiting for one if need be."""
        wish = self._wish(case, tuple(case.tried))
        choice: Choice | Refusal | None
        if wish.is_prompt:
            choice = await self._choose_asking(case, wish)
        else:
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

    def _wish(self, case: Case, tried: tuple[EndpointId, ...]) -> Wish:
        request = case.request
        return Wish(
            affinity_key=request.affinity_key,
            prompt_tokens=request.prompt_tokens or 0,
            shared_tokens=request.shared_tokens,
            tried=tried,
            near=self._state.me.domain,
        )

    def _has_untried(self, case: Case) -> bool:
        rows = self._state.endpoints.accepting(case.service)
        return any(row.endpoint not in case.tried for row in rows)

    async def _wait(self, case: Case, wish: Wish) -> Choice | Refusal:
        longest_s = longest_wait(case.route, case.remaining_s)
        ahead = self._waiting.length(case.service)
        permit_wait_s = self._permit_wait(case.service, ahead, monotonic())
        if permit_wait_s is not None and permit_wait_s > longest_s:
            return self._limit_refusal(case, permit_wait_s)
        place: asyncio.Future[Choice | PermitDenied]
        place = asyncio.get_running_loop().create_future()
        until = monotonic() + longest_s
        self._waiting.join(case.service, case.priority, wish, place, until)
        try:
            found = await within(longest_s, place)
            if isinstance(found, PermitDenied):
                return self._limit_refusal(case, found.wait_s)
            return found
        except TimeoutError:
            if case.may_have_run:
                return Refusal(502, RefusalReason.UNKNOWN, detail="others are full")
            return Refusal(503, RefusalReason.FULL, self.retry_after(case))
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                found = place.result()
                if not isinstance(found, PermitDenied):
                    self.leave(case.service, found.endpoint)
            raise
        finally:
            place.cancel()

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

    def _limit_refusal(self, case: Case, wait_s: float) -> Refusal:
        if case.may_have_run:
            return Refusal(502, RefusalReason.UNKNOWN, detail="others are limited")
        wait_s = bounded_retry(wait_s, case.remaining_s)
        return Refusal(503, RefusalReason.LIMITED, wait_s)

    def _refuse_late_waiters(self, service: ServiceName) -> None:
        """Refuse the waiting requests that no permit is expected to reach in time."""
        now = monotonic()
        for ahead, waiter in enumerate(self._waiting.pending(service)):
            wait_s = self._permit_wait(service, ahead, now)
            if wait_s is not None and now + wait_s > waiter.until:
                waiter.place.set_result(PermitDenied(wait_s))

    def leave(self, service: ServiceName, row: Endpoint) -> None:
        """Free a place, and give it to a request that waits."""
        row.running -= 1
        self.serve_waiting(service)

    def serve_waiting(self, service: ServiceName) -> None:
        """Give places that have come free to requests that wait."""
        self._waiting.serve(service, lambda wish: self._choose(service, wish))
