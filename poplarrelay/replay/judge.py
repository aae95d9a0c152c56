"""Compare the results of a replay with the targets that its trace states."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from poplarrelay.replay.runner import Replay, ReplayOutcome, RequestResult
from poplarrelay.replay.trace import Trace
from poplarrelay.tables.requests import RequestClass

__all__ = ["ClassFigures", "MissedOutcome", "ReplayEvaluation", "evaluate_replay"]


@dataclass(frozen=True, slots=True)
class MissedOutcome:
    """Stated target that a replay did not reach.

    Attributes
    ----------
    requests : tuple of str
        Ids of the requests that caused it, at most 20.
    """

    outcome: str
    stated: float
    found: float
    requests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """Figures of one request class; times in seconds."""

    requests: int
    answered: int
    in_time: int
    median_first_s: float
    p95_first_s: float


@dataclass(slots=True)
class ReplayEvaluation:
    """Figures of a replay and the stated targets that it did not reach."""

    name: str
    requests: int
    seconds: float
    words: dict[str, int]
    classes: dict[str, ClassFigures]
    doubled: int
    lost: int
    fragments: int
    false_not_run: int
    prompt_tokens: int
    cached_tokens: int
    recomputed_moving: int
    recomputed_missing_cache: int
    broken: list[MissedOutcome] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Return whether the replay reached all stated targets."""
        return not self.broken


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _in_time(trace: Trace, result: RequestResult) -> bool:
    if result.word is not ReplayOutcome.ANSWERED:
        return False
    target = trace.head.targets_s.get(result.request.request_class)
    waited_s = result.first_s if result.first_s is not None else result.total_s
    return target is None or waited_s <= target


def _class_figures(trace: Trace, results: list[RequestResult]) -> ClassFigures:
    first = [r.first_s for r in results if r.first_s is not None]
    return ClassFigures(
        requests=len(results),
        answered=sum(1 for r in results if r.word is ReplayOutcome.ANSWERED),
        in_time=sum(1 for r in results if _in_time(trace, r)),
        median_first_s=round(_percentile(first, 0.5), 4),
        p95_first_s=round(_percentile(first, 0.95), 4),
    )


def _count_recomputed_tokens(replay: Replay) -> int:
    """Return the number of shared prompt tokens that engines computed again.

    An engine has computed the shared prefix of a family when the family's first request
    is answered. Prefix tokens that later requests do not find in a cache are counted.
    """
    seen_families: set[tuple[str, str]] = set()
    recomputed = 0
    for result in sorted(replay.results, key=lambda r: r.request.at):
        request = result.request
        if not request.family or result.word is not ReplayOutcome.ANSWERED:
            continue
        family = (request.team, request.family)
        if family in seen_families:
            shared = int(result.prompt_tokens * 0.8)
            recomputed += max(0, shared - result.cached_tokens - 16)
        seen_families.add(family)
    return recomputed


def evaluate_replay(replay: Replay) -> ReplayEvaluation:
    """Return the figures of a replay and each stated target that it did not reach."""
    trace, results = replay.trace, replay.results
    doubled = [r for r in results if replay.runs.get(r.run_name, 0) > 1]
    false_not_run = [
        r
        for r in results
        if r.word is ReplayOutcome.NOT_RUN and replay.runs.get(r.run_name, 0) > 0
    ]
    lost = [r for r in results if r.word is ReplayOutcome.UNKNOWN]
    fragments = [r for r in results if r.word is ReplayOutcome.FRAGMENT]
    by_class = {
        request_class: [r for r in results if r.request.request_class is request_class]
        for request_class in RequestClass
    }
    evaluation = ReplayEvaluation(
        name=trace.head.name,
        requests=len(results),
        seconds=round(replay.seconds, 2),
        words=dict(Counter(r.word.value for r in results)),
        classes={
            request_class.value: _class_figures(trace, found)
            for request_class, found in by_class.items()
            if found
        },
        doubled=len(doubled),
        lost=len(lost),
        fragments=len(fragments),
        false_not_run=len(false_not_run),
        prompt_tokens=sum(r.prompt_tokens for r in results),
        cached_tokens=sum(r.cached_tokens for r in results),
        recomputed_moving=sum(r.recomputed_tokens for r in results),
        recomputed_missing_cache=_count_recomputed_tokens(replay),
    )
    stated = trace.head.stated
    for name, bound, found in (
        ("doubled", stated.max_doubled, doubled),
        ("lost", stated.max_lost, lost),
        ("fragments", stated.max_fragments, fragments),
        ("false_not_run", stated.max_false_not_run, false_not_run),
    ):
        if len(found) > bound:
            ids = tuple(r.request.id for r in found[:20])
            evaluation.broken.append(MissedOutcome(name, bound, len(found), ids))
    for request_class, share in stated.in_time_share.items():
        _check_in_time_share(
            evaluation, trace, request_class, by_class[request_class], share
        )
    return evaluation


def _check_in_time_share(
    evaluation: ReplayEvaluation,
    trace: Trace,
    request_class: RequestClass,
    results: list[RequestResult],
    share: float,
) -> None:
    late = [r.request.id for r in results if not _in_time(trace, r)]
    found = 1.0 - len(late) / len(results) if results else 1.0
    if found < share:
        name = f"in_time_share.{request_class.value}"
        missed = MissedOutcome(name, share, round(found, 4), tuple(late[:20]))
        evaluation.broken.append(missed)
