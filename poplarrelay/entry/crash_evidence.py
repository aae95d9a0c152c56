"""Evidence on crashes of endpoints from the attempts of this node."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from poplarrelay.entry.attempts import RUNNING_EVENTS, Attempt
from poplarrelay.entry.crashes import endpoint_run
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.outcomes import (
    Answered,
    AttemptResult,
    Broken,
    StreamBroken,
    Streamed,
)
from poplarrelay.entry.paths import EndpointPaths
from poplarrelay.entry.quarantine import UnconfirmedAnswers
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.state import EntryState

__all__ = ["CrashEvidence", "EndedAttempt"]

_LOG = logging.getLogger("poplarrelay.entry.request")

#: Seconds within which the next run of an endpoint is listed, and between two looks.
NEXT_RUN_LISTED_S, NEXT_RUN_POLL_S = 3.0, 0.05


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Attempt that has ended.

    Attributes
    ----------
    at : float
        Monotonic time of its end.
    probed : bool
        Whether it was a discriminating probe.
    """

    context: RequestContext
    row: Endpoint
    attempt: Attempt
    result: AttemptResult
    at: float
    probed: bool

    @property
    def closed(self) -> bool:
        """Return whether the endpoint has closed the connection without leaving."""
        broken = isinstance(self.result, Broken | StreamBroken) and self.result.closed
        return broken and not self.row.departing


@dataclass(slots=True)
class CrashEvidence:
    """Recorder of crashes and of the answers that excuse them."""

    state: EntryState
    paths: EndpointPaths
    _unconfirmed: UnconfirmedAnswers = field(default_factory=UnconfirmedAnswers)
    _checks: set[asyncio.Task[None]] = field(default_factory=set)

    async def note(self, ended: EndedAttempt) -> None:
        """Record a crash of the endpoint, or its complete answer."""
        if isinstance(ended.result, Answered | Streamed):
            self._note_answer(ended, ended.result)
        elif ended.closed:
            # The caller may leave meanwhile.
            await asyncio.shield(self._run_check(self._judge_crash(ended)))

    def _note_answer(self, ended: EndedAttempt, result: Answered | Streamed) -> None:
        context, row = ended.context, ended.row
        if isinstance(result, Answered) and result.status >= 500:
            return
        if result.framed:
            self.state.crashes.note_answer(
                context.team_name, context.fingerprint, ended.at
            )
        elif context.part_keys:
            self._unconfirmed.add(row.run, context.part_keys, ended.at)
            if self.state.quarantine.includes(context.service, context.part_keys):
                self._run_check(self._check_survival(row))

    def confirm_answers(self, row: Endpoint, sent_at: float) -> None:
        """Clear the parts of answers without a length that a later answer confirms."""
        for at, keys in self._unconfirmed.confirm(row.run, sent_at):
            self.state.quarantine.note_begun(row.service, keys, at)

    async def _check_survival(self, row: Endpoint) -> None:
        """Clear the parts of answers without a length that an endpoint outlives.

        Notes
        -----
        An endpoint that has crashed refuses connections until its next run. Without
        this check, a part that all prompts share could stay blocked: no later answer
        would come to confirm the last ones.
        """
        checked_at = monotonic()
        if await self.paths.accepts_connections(row):
            self.confirm_answers(row, checked_at)

    async def _judge_crash(self, ended: EndedAttempt) -> None:
        """Record a crash of an endpoint that has closed a connection, or confirm it."""
        if not await self.paths.accepts_after(ended.row, ended.at):
            self._note_crash(ended)
            return
        self._run_check(self._confirm_crash(ended))

    async def _confirm_crash(self, ended: EndedAttempt) -> None:
        """Record a crash of an endpoint that accepts connections if its run has ended.

        Notes
        -----
        An endpoint that only closes connections has not crashed. One that starts again
        at once accepts connections too, and is listed as another run soon.
        """
        until = ended.at + NEXT_RUN_LISTED_S
        while monotonic() < until:
            if ended.row.gone:
                self._note_crash(ended)
                return
            await asyncio.sleep(NEXT_RUN_POLL_S)
        self.state.quarantine.survived += 1
        _LOG.info(
            "endpoint outlived a closed connection",
            extra={
                "request": ended.context.request.request,
                "endpoint": ended.row.endpoint,
                "service": ended.context.service,
            },
        )

    def _note_crash(self, ended: EndedAttempt) -> None:
        context, attempt = ended.context, ended.attempt
        run = endpoint_run(ended.row)
        if attempt.events < RUNNING_EVENTS:
            self.state.quarantine.note_crash(
                context.service,
                context.part_keys,
                run,
                attempt.sent_at,
                ended.at,
                ended.probed,
            )
        crash_count = self.state.crashes.note_crash(
            context.team_name, context.fingerprint, run, ended.at
        )
        _LOG.warning(
            "endpoint closed on request",
            extra={
                "request": context.request.request,
                "fingerprint": context.fingerprint,
                "endpoint": ended.row.endpoint,
                "service": context.service,
                "shared_parts": [part.part for part in context.request.prefix[:-1]],
                "events": attempt.events,
                "crashes": crash_count,
            },
        )

    def _run_check(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        check = asyncio.create_task(coroutine)
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        return check
