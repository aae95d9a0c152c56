"""Whether a prompt is sent to an engine where others are in line before it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FirstEventForecast", "retry_after_queue", "starts_in_time"]

#: Part of its target for which a prompt may wait in line however long its own reading
#: takes. Without it the longest prompts, which are late wherever they go, would never
#: be served.
LEAST_LINE = 0.3
#: Part of the target by which the forecast may be exceeded: engines read long prompts
#: more slowly by the token, and a first event takes a step besides.
MARGIN = 0.1


@dataclass(frozen=True, slots=True)
class FirstEventForecast:
    """When a prompt's first event is due.

    Attributes
    ----------
    waited_s : float
        Seconds since the request arrived.
    queue_s : float
        Seconds for which the engine reads other prompts before it.
    prefill_s : float
        Seconds for which it reads this one.
    target_s : float
        Time from its arrival within which its caller wants the first event.
    """

    waited_s: float
    queue_s: float
    prefill_s: float
    target_s: float

    @property
    def max_queue_s(self) -> float:
        """Return the longest line in which it may stand."""
        in_time_s = (1 + MARGIN) * self.target_s - self.waited_s - self.prefill_s
        return max(in_time_s, LEAST_LINE * self.target_s)


def starts_in_time(forecast: FirstEventForecast) -> bool:
    """Return whether a prompt is sent where its first event is due first.

    Notes
    -----
    It answers more work than the engines read, after the loss of most of them. An
    engine takes many more prompts than it can begin in time, and then all are late,
    those that their callers no longer wait for included. Where a prompt whose first
    event would be late is refused, the others are in time, and its caller knows at
    once when to come back.
    """
    return forecast.queue_s <= forecast.max_queue_s


def retry_after_queue(forecast: FirstEventForecast) -> float:
    """Return the seconds after which a refused prompt would find its line short."""
    return max(0.0, forecast.queue_s - forecast.max_queue_s) + forecast.prefill_s
