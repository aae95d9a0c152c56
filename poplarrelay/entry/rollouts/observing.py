"""Evidence on a version from one attempt to run a request."""

from __future__ import annotations

from poplarrelay.entry.attempts import Attempt
from poplarrelay.entry.configuration import Route
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.outcomes import (
    Answered,
    AttemptResult,
    Broken,
    StreamBroken,
    Streamed,
)
from poplarrelay.entry.rollouts.evidence import LatencyKind, RouteName
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.entry.scheduling.choosing import (
    TOKENS_PER_REQUEST,
    Choice,
    median_prefill_speed,
)
from poplarrelay.entry.state import EntryState

__all__ = ["note_attempt", "note_deadline", "note_first_event"]

#: Seconds until the first event of a stream that do not depend on the prompt's length.
FIRST_EVENT_BASE_S = 0.05


def note_first_event(
    state: EntryState, route: Route, choice: Choice, attempt: Attempt
) -> None:
    """Add the time until a stream's first event to the evidence of a roll-out.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    route : Route
        Route of the request.
    choice : Choice
        The endpoint, with the load it had when it was chosen.
    attempt : Attempt
        The attempt, whose first event has just arrived.
    """
    row = choice.endpoint
    if state.rollouts.open_rollout(row.service) is None or not _is_warm(row, attempt):
        return
    speed = median_prefill_speed(state.endpoints.of(row.service))
    tokens = choice.queued_tokens + choice.unread_tokens
    tokens += TOKENS_PER_REQUEST * choice.load
    ratio = attempt.elapsed_s / (FIRST_EVENT_BASE_S + tokens / speed)
    name = RouteName(route.name)
    state.rollouts.note_latency(row, name, LatencyKind.FIRST_EVENT, ratio)


def note_attempt(
    state: EntryState,
    route: Route,
    row: Endpoint,
    attempt: Attempt,
    result: AttemptResult,
) -> None:
    """Add the result of an attempt that has ended to the evidence of a roll-out."""
    rollouts, name = state.rollouts, RouteName(route.name)
    if isinstance(result, Answered | Streamed):
        rollouts.note_duration(row.service, attempt.elapsed_s)
        failed = isinstance(result, Answered) and result.status >= 500
        rollouts.note_answer(row, name, failed)
        if failed or not _is_warm(row, attempt):
            return
        if isinstance(result, Answered):
            rollouts.note_latency(row, name, LatencyKind.ANSWER, attempt.elapsed_s)
        elif attempt.event_interval_s is not None:
            interval_s = attempt.event_interval_s
            rollouts.note_latency(row, name, LatencyKind.EVENT, interval_s)
    elif isinstance(result, Broken | StreamBroken):
        rollouts.note_broken(row, name)


def note_deadline(rollouts: RolloutTable, route: Route, row: Endpoint) -> None:
    """Add a request that the endpoint had not answered at its deadline."""
    rollouts.note_broken(row, RouteName(route.name))


def _is_warm(row: Endpoint, attempt: Attempt) -> bool:
    return row.warm_at <= attempt.sent_at
