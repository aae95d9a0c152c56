"""Tests whether the target version of a roll-out is worse than the other versions.

Notes
-----
Both versions are compared on the same routes and over the same time. Failures and slow
answers that the other versions have too therefore convict nobody.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from math import exp, log, sqrt
from typing import Protocol

from poplarrelay.entry.rollouts.evidence import (
    AnswerCounts,
    Evidence,
    LatencyKind,
    RouteName,
    Side,
    bucket_of,
)

__all__ = [
    "MIN_BASE_ANSWERS",
    "Conviction",
    "FixedWindowTest",
    "SequentialTest",
    "VersionTest",
    "slow_from_bucket",
    "upper_share",
]

#: Share of the answers of the other versions that may count as slow.
SLOW_SHARE = 0.05
#: Buckets by which a slow answer exceeds the slowest ordinary answers of the other
#: versions: 1.6 times their latency.
SLOW_MARGIN_BUCKETS = 2
#: Latencies that are never slow, by kind.
NEVER_SLOW = {
    LatencyKind.ANSWER: 0.02,
    LatencyKind.FIRST_EVENT: 0.5,
    LatencyKind.EVENT: 0.01,
}
#: Answers of the other versions from which their latencies are a basis of comparison.
MIN_BASE_ANSWERS = 20
#: Standard errors in the upper bound of a share of the other versions.
BASE_ERRORS = 2.0
#: Largest assumed share of failures, or of slow answers, of the other versions. A
#: version that fails almost always is convicted even if nothing is known about them.
MAX_BASE_SHARE = 0.5
#: Largest share of bad answers that the test considers.
MAX_SHARE = 0.99
#: Limit on logarithms of likelihood ratios, below the overflow of `exp`.
MAX_LOGARITHM = 500.0


@dataclass(frozen=True, slots=True)
class Conviction:
    """Result of a test that finds the target version worse.

    Attributes
    ----------
    what : str
        What is worse, and on which route.
    bad, answers : int
        Bad answers of the target version, and all its answers.
    base_share : float
        Share of bad answers that is assumed for the other versions.
    """

    what: str
    bad: int
    answers: int
    base_share: float

    @property
    def why(self) -> str:
        """Return the reason for the log."""
        share = f"others up to {self.base_share:.1%}"
        return f"{self.what}: {self.bad} of {self.answers}, {share}"


class VersionTest(Protocol):
    """Test of the target version against the other versions."""

    def judge(self, evidence: Evidence) -> Conviction | None:
        """Return why the target version is worse, None if that is not shown."""


def upper_share(count: int, total: int, errors: float = BASE_ERRORS) -> float:
    """Return the upper bound of a share (Wilson's score interval).

    Examples
    --------
    >>> round(upper_share(0, 100), 3), upper_share(0, 0)
    (0.038, 1.0)
    """
    if total == 0:
        return 1.0
    square = errors * errors
    centre = count + square / 2
    spread = errors * sqrt(count * (total - count) / total + square / 4)
    return min(1.0, (centre + spread) / (total + square))


def slow_from_bucket(base: Counter[int], kind: LatencyKind) -> int:
    """Return the histogram bucket from which an answer counts as slow."""
    allowed = SLOW_SHARE * base.total()
    above = 0
    bucket = 0
    for bucket in sorted(base, reverse=True):
        above += base[bucket]
        if above > allowed:
            break
    return max(bucket + 1 + SLOW_MARGIN_BUCKETS, bucket_of(NEVER_SLOW[kind]) + 1)


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Bad answers of both sides on one route."""

    what: str
    route: RouteName
    bad: int
    answers: int
    base_bad: int
    base_answers: int

    @property
    def base_share(self) -> float:
        """Return the assumed share of bad answers of the other versions."""
        return min(MAX_BASE_SHARE, upper_share(self.base_bad, self.base_answers))


def _comparisons(evidence: Evidence) -> Iterator[list[_Comparison]]:
    """Yield the comparisons of each measure, one for each route."""
    target, others = (evidence.counts[side] for side in (Side.TARGET, Side.OTHERS))
    none = AnswerCounts()
    yield [
        _Comparison(
            "failures",
            route,
            counts.failures,
            counts.answers,
            others.get(route, none).failures,
            others.get(route, none).answers,
        )
        for route, counts in target.items()
    ]
    for kind in LatencyKind:
        yield [
            comparison
            for route, counts in target.items()
            for comparison in _latency_comparisons(
                kind, route, counts, others.get(route, none)
            )
        ]


def _latency_comparisons(
    kind: LatencyKind, route: RouteName, counts: AnswerCounts, base: AnswerCounts
) -> Iterator[_Comparison]:
    buckets = counts.latencies.get(kind, Counter())
    base_buckets = base.latencies.get(kind, Counter())
    if not buckets or base_buckets.total() < MIN_BASE_ANSWERS:
        return
    slow_from = slow_from_bucket(base_buckets, kind)
    yield _Comparison(
        f"slow {kind.value}",
        route,
        _count_from(buckets, slow_from),
        buckets.total(),
        _count_from(base_buckets, slow_from),
        base_buckets.total(),
    )


def _count_from(buckets: Counter[int], first: int) -> int:
    return sum(count for bucket, count in buckets.items() if bucket >= first)


@dataclass(frozen=True, slots=True)
class SequentialTest:
    """Likelihood ratio test that may be evaluated after every answer.

    Attributes
    ----------
    error_rate : float
        Probability with which one measure convicts a version that is as good as the
        others, however often the test is evaluated (Ville's inequality).
    differences : tuple of float
        Additional shares of bad answers that the test is most sensitive to.

    Notes
    -----
    The test averages the likelihood ratios of several differences, so it finds a
    version that fails often after a few answers, and one that fails rarely after some
    hundred. It is evaluated for each route, and for all routes together. The share of
    the other versions is replaced by its upper bound.
    """

    error_rate: float = 1e-3
    differences: tuple[float, ...] = (0.03, 0.1, 0.4)

    def judge(self, evidence: Evidence) -> Conviction | None:
        """Return why the target version is worse, None if that is not shown."""
        for comparisons in _comparisons(evidence):
            logarithms = [self._log_ratios(each) for each in comparisons]
            for each, values in zip(comparisons, logarithms, strict=True):
                if self._is_convincing(values):
                    return _conviction(each.route, [each])
            if logarithms and self._is_convincing(
                [sum(values) for values in zip(*logarithms, strict=True)]
            ):
                return _conviction("all routes", comparisons)
        return None

    def _log_ratios(self, each: _Comparison) -> list[float]:
        """Return the logarithm of the likelihood ratio for each difference."""
        base = each.base_share
        ratios = []
        for difference in self.differences:
            share = min(MAX_SHARE, base + difference)
            good = (each.answers - each.bad) * log((1 - share) / (1 - base))
            ratios.append(each.bad * log(share / base) + good)
        return ratios

    def _is_convincing(self, logarithms: Sequence[float]) -> bool:
        ratios = [exp(min(value, MAX_LOGARITHM)) for value in logarithms]
        return sum(ratios) / len(ratios) >= 1 / self.error_rate


def _conviction(where: str, comparisons: Sequence[_Comparison]) -> Conviction:
    return Conviction(
        f"{comparisons[0].what} on {where}",
        sum(each.bad for each in comparisons),
        sum(each.answers for each in comparisons),
        max(each.base_share for each in comparisons),
    )


@dataclass(frozen=True, slots=True)
class FixedWindowTest:
    """Comparison of two shares once a number of answers has arrived.

    Attributes
    ----------
    window : int
        Number of answers of the target version from which a route is compared.
    errors : float
        Standard errors by which the shares of bad answers must differ.
    """

    window: int = 50
    errors: float = 4.5

    def judge(self, evidence: Evidence) -> Conviction | None:
        """Return why the target version is worse, None if that is not shown."""
        for comparisons in _comparisons(evidence):
            for each in comparisons:
                if each.answers >= self.window and self._differs(each):
                    return _conviction(each.route, [each])
        return None

    def _differs(self, each: _Comparison) -> bool:
        if each.base_answers < MIN_BASE_ANSWERS:
            return False
        base_share = each.base_bad / each.base_answers
        pooled = (each.bad + each.base_bad) / (each.answers + each.base_answers)
        variance = pooled * (1 - pooled)
        variance *= 1 / each.answers + 1 / each.base_answers
        return each.bad / each.answers - base_share > self.errors * sqrt(variance) > 0
