"""Measure the demand for each service in tokens per second."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrelay.entry.configuration import ServiceName, Team

__all__ = ["DemandMeter", "expected_tokens_per_s"]

#: Seconds over which the rate is computed: long enough for about ten long prompts on
#: the smallest deployment, and shorter than the boot of an endpoint.
WINDOW_S = 2.0
#: Weight of one prompt in the moving share of uncached tokens: the last fifty prompts
#: count most. One node gets that number within a few seconds.
UNCACHED_WEIGHT = 0.02
#: Share of the teams' quotas that is expected to be used before any request arrives.
#: Quotas are the maximum that operators permit; in steady use, a little more than half
#: of them is used.
QUOTA_SHARE = 0.5


def expected_tokens_per_s(teams: Iterable[Team]) -> float:
    """Return the expected tokens per second before any request has arrived.

    Notes
    -----
    The endpoints that operators provide at the start can be too few for the load: a
    dozen engines were there when 440 requests per second began, and new engines take
    seconds to boot. The quotas show the size of the load before it arrives.
    """
    quotas = [team.quota for team in teams if team.quota is not None]
    return QUOTA_SHARE * sum(quota.per_s for quota in quotas if quota.in_tokens)


@dataclass(slots=True)
class DemandMeter:
    """Tokens that this node's callers have requested in the last seconds.

    Attributes
    ----------
    arrivals : dict of ServiceName to deque of (float, float)
        Monotonic time and tokens of each recent request, by service.
    uncached_shares : dict of ServiceName to float
        Moving share of prompt tokens that are uncached at the engines, by service.

    Notes
    -----
    The number of requests at the endpoints also shows the load, but it grows only
    when the endpoints are too few already. The demand of callers shows this seconds
    earlier, and it does not grow when answers become slow.

    Only the uncached tokens of prompts count. Their number is known only when a prompt
    is sent to an engine, so each admitted prompt counts with the moving share, even if
    it is refused later.
    """

    arrivals: dict[ServiceName, deque[tuple[float, float]]] = field(
        default_factory=dict
    )
    uncached_shares: dict[ServiceName, float] = field(default_factory=dict)

    def note(
        self, service: ServiceName, prompt_tokens: int, output_tokens: int, now: float
    ) -> None:
        """Count an admitted request."""
        tokens = self.cost(service, prompt_tokens, output_tokens)
        self.arrivals.setdefault(service, deque()).append((now, tokens))

    def cost(
        self, service: ServiceName, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the expected tokens that an engine processes for a request."""
        return self.uncached_shares.get(service, 1.0) * prompt_tokens + output_tokens

    def note_uncached(self, service: ServiceName, prompt: int, uncached: int) -> None:
        """Update the share of uncached tokens by a prompt that is sent to an engine.

        Parameters
        ----------
        service : ServiceName
            The service that the prompt is for.
        prompt : int
            Length of the prompt in tokens.
        uncached : int
            Uncached tokens of the prompt at the engine.
        """
        previous = self.uncached_shares.get(service, 1.0)
        share = min(1.0, uncached / prompt)
        self.uncached_shares[service] = previous + UNCACHED_WEIGHT * (share - previous)

    def mean_tokens(self, service: ServiceName) -> float:
        """Return the mean tokens per recent request for a service, 0 if none."""
        times = self.arrivals.get(service)
        return sum(tokens for _, tokens in times) / len(times) if times else 0.0

    def rates(self, now: float) -> dict[ServiceName, int]:
        """Return the requested tokens per second of each service with requests."""
        rates_by_service = {}
        for service, times in self.arrivals.items():
            while times and times[0][0] < now - WINDOW_S:
                times.popleft()
            if times:
                rates_by_service[service] = round(
                    sum(tokens for _, tokens in times) / WINDOW_S
                )
        return rates_by_service
