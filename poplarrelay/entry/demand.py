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
#: Weight of one prompt in the part of all prompts that engines have to read: the last
#: fifty count most, some seconds of one node's.
UNREAD_WEIGHT = 0.02
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

    Of prompts only what engines have to read counts. How much of them engines keep
    is known when they are sent; those that are refused count like the others.
    """

    arrivals: dict[ServiceName, deque[tuple[float, float]]] = field(
        default_factory=dict
    )
    unread: dict[ServiceName, float] = field(default_factory=dict)

    def note(
        self, service: ServiceName, prompt_tokens: int, output_tokens: int, now: float
    ) -> None:
        """Note an admitted request."""
        tokens = self.unread.get(service, 1.0) * prompt_tokens + output_tokens
        self.arrivals.setdefault(service, deque()).append((now, tokens))

    def note_unread(self, service: ServiceName, prompt: int, unread: int) -> None:
        """Note how much of a prompt its engine has to read."""
        before = self.unread.get(service, 1.0)
        share = min(1.0, unread / prompt)
        self.unread[service] = before + UNREAD_WEIGHT * (share - before)

    def mean_tokens(self, service: ServiceName) -> float:
        """Return the mean tokens per recent request for a service, 0 without any."""
        times = self.arrivals.get(service)
        return sum(tokens for _, tokens in times) / len(times) if times else 0.0

    def rates(self, now: float) -> dict[ServiceName, int]:
        """Return the tokens a second asked of each service that is in use."""
        found = {}
        for service, times in self.arrivals.items():
            while times and times[0][0] < now - WINDOW_S:
                times.popleft()
            if times:
                found[service] = round(sum(tokens for _, tokens in times) / WINDOW_S)
        return found
