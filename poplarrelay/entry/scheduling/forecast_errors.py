"""Learn by how much first events miss their forecasts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from poplarrelay.entry.configuration import ServiceName

__all__ = ["ForecastErrors"]

#: Seconds for which an error counts: the load changes within some seconds.
WINDOW_S = 10.0
#: Most and least errors from which a quantile is computed.
MAX_SAMPLES, MIN_SAMPLES = 64, 8
#: Error in seconds above which a forecast counts as missed.
MISSED_S = 0.2
#: Largest error in seconds that counts. Larger ones come from stopped processes.
MAX_ERROR_S = 2.0


@dataclass(slots=True)
class ForecastErrors:
    """Recent differences between first events and their forecasts, by service.

    Attributes
    ----------
    made, missed : int
        Forecasts compared with their first events, and those that were too short by
        more than `MISSED_S`.

    Notes
    -----
    Load: engines that are nearly full or slow for a moment. A forecast of the mean then
    admits prompts of which many come late, and all of them delay each other.
    """

    made: int = 0
    missed: int = 0
    _errors: dict[ServiceName, deque[tuple[float, float]]] = field(default_factory=dict)

    def note(self, service: ServiceName, error_s: float, now: float) -> None:
        """Add an error: seconds by which a first event came after its forecast."""
        self.made += 1
        self.missed += error_s > MISSED_S
        errors = self._errors.setdefault(service, deque(maxlen=MAX_SAMPLES))
        errors.append((now, max(-MAX_ERROR_S, min(MAX_ERROR_S, error_s))))

    def quantile(self, service: ServiceName, share: float, now: float) -> float:
        """Return the error that the given share of forecasts does not exceed.

        Returns
        -------
        float
            Seconds; 0 if the forecasts are long enough, or with too few samples.
        """
        errors = self._errors.get(service, ())
        recent = sorted(error for at, error in errors if now - at <= WINDOW_S)
        if len(recent) < MIN_SAMPLES:
            return 0.0
        return max(0.0, recent[min(len(recent) - 1, int(share * len(recent)))])
