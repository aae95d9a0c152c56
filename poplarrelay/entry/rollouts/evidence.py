"""Evidence on the versions of a service: counts of answers and their latencies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import floor, log
from typing import Any, NewType

__all__ = [
    "AnswerCounts",
    "Evidence",
    "LatencyKind",
    "RouteName",
    "Side",
    "bucket_of",
    "decode_evidence",
    "encode_evidence",
    "subtract_evidence",
    "sum_evidence",
]

#: Name of a route in the configuration.
RouteName = NewType("RouteName", str)

#: Ratio between the bounds of two adjacent buckets of a latency histogram.
BUCKET_RATIO = 1.25
#: Upper bound of the first bucket, in seconds or as a ratio of times.
SMALLEST_LATENCY = 0.0005
#: Number of the last bucket, which has no upper bound.
LAST_BUCKET = 70


class Side(Enum):
    """Versions of a service that are compared."""

    TARGET = "target"
    OTHERS = "others"


class LatencyKind(Enum):
    """Latency of an answer.

    ANSWER
        Seconds until the complete answer to a call.
    FIRST_EVENT
        Time until the first event of a stream, as a ratio to the time in which the
        service's engines usually read as many prompt tokens.
    EVENT
        Mean seconds from an event of a stream to the next.
    """

    ANSWER = "answer"
    FIRST_EVENT = "first"
    EVENT = "event"


def bucket_of(latency: float) -> int:
    """Return the histogram bucket of a latency.

    Examples
    --------
    >>> bucket_of(0.0), bucket_of(0.001), bucket_of(1e9)
    (0, 4, 70)
    """
    if latency <= SMALLEST_LATENCY:
        return 0
    bucket = 1 + floor(log(latency / SMALLEST_LATENCY) / log(BUCKET_RATIO))
    return min(bucket, LAST_BUCKET)


@dataclass(slots=True)
class AnswerCounts:
    """Answers of some endpoints on one route.

    Attributes
    ----------
    answers, failures : int
        Complete answers, and those of them that are failures.
    latencies : dict of LatencyKind to Counter
        Number of answers by histogram bucket, for each kind of latency.
    """

    answers: int = 0
    failures: int = 0
    latencies: dict[LatencyKind, Counter[int]] = field(default_factory=dict)

    def note_latency(self, kind: LatencyKind, latency: float) -> None:
        """Count one latency."""
        self.latencies.setdefault(kind, Counter())[bucket_of(latency)] += 1

    def add(self, other: AnswerCounts, sign: int = 1) -> None:
        """Add the counts of other answers, or subtract them if `sign` is -1."""
        self.answers += sign * other.answers
        self.failures += sign * other.failures
        for kind, buckets in other.latencies.items():
            own = self.latencies.setdefault(kind, Counter())
            for bucket, count in buckets.items():
                own[bucket] += sign * count


@dataclass(slots=True)
class Evidence:
    """Answers of a service's versions since the order of a roll-out.

    Attributes
    ----------
    sent : dict of Side to int
        Attempts that were sent to endpoints.
    counts : dict of Side to dict of RouteName to AnswerCounts
        Answers by route.
    """

    sent: dict[Side, int] = field(default_factory=lambda: dict.fromkeys(Side, 0))
    counts: dict[Side, dict[RouteName, AnswerCounts]] = field(
        default_factory=lambda: {side: {} for side in Side}
    )

    def of(self, side: Side, route: RouteName) -> AnswerCounts:
        """Return the counts of a route, which the caller may change."""
        return self.counts[side].setdefault(route, AnswerCounts())

    def add(self, other: Evidence, sign: int = 1) -> None:
        """Add other evidence, or subtract it if `sign` is -1."""
        for side in Side:
            self.sent[side] += sign * other.sent[side]
            for route, counts in other.counts[side].items():
                self.of(side, route).add(counts, sign)

    def answers(self, side: Side) -> int:
        """Return the number of answers on all routes."""
        return sum(each.answers for each in self.counts[side].values())

    def failures(self, side: Side) -> int:
        """Return the number of failures on all routes."""
        return sum(each.failures for each in self.counts[side].values())


def sum_evidence(reports: Iterable[Evidence]) -> Evidence:
    """Return the sum of the evidence of several nodes."""
    total = Evidence()
    for report in reports:
        total.add(report)
    return total


def subtract_evidence(total: Evidence, start: Evidence) -> Evidence:
    """Return the evidence that has been added since an earlier total."""
    recent = Evidence()
    for side in Side:
        recent.sent[side] = max(0, total.sent[side] - start.sent[side])
        for route, counts in total.counts[side].items():
            before = start.counts[side].get(route, AnswerCounts())
            recent.counts[side][route] = AnswerCounts(
                max(0, counts.answers - before.answers),
                max(0, counts.failures - before.failures),
                {
                    kind: buckets - before.latencies.get(kind, Counter())
                    for kind, buckets in counts.latencies.items()
                },
            )
    return recent


def encode_evidence(evidence: Evidence) -> list[Any]:
    """Return evidence as a list for JSON."""
    return [
        [
            evidence.sent[side],
            {
                route: [
                    counts.answers,
                    counts.failures,
                    {
                        kind.value: sorted(buckets.items())
                        for kind, buckets in counts.latencies.items()
                    },
                ]
                for route, counts in evidence.counts[side].items()
            },
        ]
        for side in Side
    ]


def decode_evidence(raw: list[Any]) -> Evidence:
    """Return evidence from its JSON list; raise `ValueError` if invalid."""
    evidence = Evidence()
    try:
        for side, (sent, routes) in zip(Side, raw, strict=True):
            evidence.sent[side] = int(sent)
            for route, (answers, failures, latencies) in routes.items():
                evidence.counts[side][RouteName(route)] = AnswerCounts(
                    int(answers),
                    int(failures),
                    {
                        LatencyKind(kind): Counter(
                            {int(bucket): int(count) for bucket, count in buckets}
                        )
                        for kind, buckets in latencies.items()
                    },
                )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"evidence: {error!r}") from error
    return evidence
