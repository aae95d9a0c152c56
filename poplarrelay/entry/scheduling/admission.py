"""Decide whether a prompt is sent to an engine that has prompts queued."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "PATIENT_SHARE",
    "FirstEventForecast",
    "queue_limit_share",
    "retry_after_queue",
    "starts_in_time",
]

#: Share of the target for which a prompt can always wait in the queue, however long
#: its own prefill takes. Without it, the longest prompts would never be served, since
#: they are late at every engine.
MIN_QUEUE_SHARE = 0.3
#: Share of the target by which a forecast can exceed it. Engines need more time per
#: token for long prompts, and a first event takes one more step of the engine.
FORECAST_MARGIN = 0.1
#: Part of the longest queue that prompts beyond their team's share can join. The rest
#: is left for the prompts of the other teams that arrive meanwhile.
EXCESS_LIMIT = 0.4
#: The same for prompts that are less urgent than others of the service.
PATIENT_LIMIT = 0.75
#: Part of the less urgent prompts that can join the same queues as the urgent ones, so
#: that a lasting urgent load starves nobody.
PATIENT_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class FirstEventForecast:
    """Forecast of the time to a prompt's first event at an engine.

    Attributes
    ----------
    waited_s : float
        Seconds since the request arrived.
    queue_s : float
        Seconds that the engine needs for the prompts queued before this one.
    prefill_s : float
        Seconds that the engine needs for the prefill of this prompt.
    target_s : float
        Latency target: seconds from the request's arrival to its first event.
    error_s : float
        Seconds by which recent first events have come after their forecasts.
    limit_share : float
        Part of the longest queue that the prompt can join; see `queue_limit_share`.
    """

    waited_s: float
    queue_s: float
    prefill_s: float
    target_s: float
    error_s: float = 0.0
    limit_share: float = 1.0

    @property
    def max_queue_s(self) -> float:
        """Return the longest queue, in seconds, that the prompt can join."""
        left_s = (1 + FORECAST_MARGIN) * self.target_s - self.waited_s
        in_time_s = left_s - self.prefill_s - self.error_s
        return self.limit_share * max(in_time_s, MIN_QUEUE_SHARE * self.target_s)


def starts_in_time(forecast: FirstEventForecast) -> bool:
    """Return whether a prompt is sent to the engine that the forecast is for.

    Notes
    -----
    This limits the queues when callers send more work than the engines can process,
    for example after the loss of most engines. An engine accepts many more prompts
    than it can start in time. Then all these prompts are late, including those whose
    callers have stopped waiting. If prompts whose first event would be late are
    refused, the other prompts are in time, and the refused callers are told immediately
    when to retry.
    """
    return forecast.queue_s <= forecast.max_queue_s


def queue_limit_share(within_share: bool, urgent: bool) -> float:
    """Return the part of the longest queue at an engine that a prompt can join.

    Parameters
    ----------
    within_share : bool
        Whether the prompt is within its team's share of the service.
    urgent : bool
        Whether the prompt is among the most urgent ones of the service, or one of
        those less urgent ones that are treated like them (`PATIENT_SHARE`).

    Notes
    -----
    Load: a flood of one team, or of patient prompts, while engines are short. Without a
    reserve, the flood keeps each queue at its limit, and whoever comes is refused. A
    shorter queue for the flood leaves room behind it, and as it is never empty, the
    engine is not idle.
    """
    if not within_share:
        return EXCESS_LIMIT
    return 1.0 if urgent else PATIENT_LIMIT


def retry_after_queue(forecast: FirstEventForecast) -> float:
    """Return the seconds after which the queue is short enough for a refused prompt."""
    return max(0.0, forecast.queue_s - forecast.max_queue_s) + forecast.prefill_s
