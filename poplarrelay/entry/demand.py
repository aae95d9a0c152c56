"""What callers ask of each service, in tokens a second."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrelay.entry.configuration import ServiceName, Team

__all__ = ["DemandMeter", "expected_tokens_per_s"]

#: Seconds over which the rate is taken: long enough for some ten long prompts on the
#: smallest deployment, shorter than the boot of an endpoint.
WINDOW_S = 2.0
#: Part of the teams' quotas that callers are expected to use before any have come.
#: Quotas are what operators let through at the most; in steady use they are a bit
#: over half taken.
QUOTA_SHARE = 0.5


def expected_tokens_per_s(teams: Iterable[Team]) -> float:
    """Return the tokens a second to expect before any request has come.

    Notes
    -----
    What operators have ready at the start need not carry what comes: a dozen
    engines were found before 440 requests a second, and new ones take seconds to
    boot. Quotas tell the size of the load before it is there.
    """
    quotas = [team.quota for team in teams if team.quota is not None]
    return QUOTA_SHARE * sum(quota.per_s for quota in quotas if quota.in_tokens)


@dataclass(slots=True)
class DemandMeter:
    """The tokens that this node's callers have lately asked for.

    Notes
    -----
    Requests at the endpoints are counted as well, but they pile up only when the
    endpoints are too few already; what callers ask for shows it seconds earlier, and
    does not grow when answers get slow.
    """

    arrivals: dict[ServiceName, deque[tuple[float, int]]] = field(default_factory=dict)

    def note(self, service: ServiceName, tokens: int, now: float) -> None:
        """Note an admitted request."""
        self.arrivals.setdefault(service, deque()).append((now, tokens))

    def rates(self, now: float) -> dict[ServiceName, int]:
        """Return the tokens a second asked of each service that is in use."""
        found = {}
        for service, times in self.arrivals.items():
            while times and times[0][0] < now - WINDOW_S:
                times.popleft()
            if times:
                found[service] = round(sum(tokens for _, tokens in times) / WINDOW_S)
        return found
