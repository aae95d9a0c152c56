"""Play many simulated roll-outs and compare the tests that judge the target version.

Usage: ``python -m bench.rollouts [ROLLOUTS] [PROCESSES]``. Each seed is played with a
good and with a bad version, at 9, 69 and 300 nodes, and with each test.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator, Sequence
from multiprocessing import Pool

from bench.measuring import percentile
from poplarrelay.entry.rollouts.records import RolloutPhase
from poplarrelay.entry.rollouts.verdict import (
    FixedWindowTest,
    SequentialTest,
    VersionTest,
)
from poplarrelay.testing.rollout_simulation import (
    Onset,
    Outcome,
    RolloutScenario,
    is_overexposed,
    simulate_rollout,
)

NODES = (9, 69, 300)
CANARY_SLACK = 50.0
ROLLBACK_S = 5.0
#: Bad answers after which a version must get no more requests.
SHOWN = 50
#: Latest onset of a fault, as a share of the time, that a canary can show.
EARLY_SHARE = 0.5
TESTS: dict[str, VersionTest] = {
    "sequential": SequentialTest(),
    "sequential, 1e-4": SequentialTest(1e-4),
    "fixed window": FixedWindowTest(),
}

Played = tuple[RolloutScenario, Outcome]


def _play(job: tuple[str, int, bool, int]) -> tuple[str, Played]:
    name, seed, bad, nodes = job
    scenario = RolloutScenario.random(seed, bad, nodes)
    return name, (scenario, simulate_rollout(scenario, TESTS[name]))


def _jobs(rollouts: int) -> Iterator[tuple[str, int, bool, int]]:
    for name in TESTS:
        for number in range(rollouts):
            yield name, number // 2, number % 2 == 1, NODES[number // 2 % len(NODES)]


def _shows_early(scenario: RolloutScenario) -> bool:
    """Return whether a fault shows while the target version is a canary."""
    fault = scenario.fault
    assert fault is not None
    late_s = fault.late_s if fault.onset is Onset.LATE else scenario.boot_s
    return late_s <= EARLY_SHARE * scenario.duration_s


def summarise(played: Sequence[Played]) -> dict[str, object]:
    """Return the figures of one test."""
    good = [each for each in played if each[0].fault is None]
    bad = [each for each in played if each[0].fault is not None]
    early = [each for each in bad if _shows_early(each[0])]
    shown = [each for each in bad if len(each[1].bad_answers) >= SHOWN]
    shown_early = [each for each in bad if each[1].bad_in_canary >= SHOWN]
    return {
        "good": len(good),
        "good completed": _count(good, RolloutPhase.COMPLETED),
        "good reverted": [
            [s.seed, o.why] for s, o in good if o.phase is RolloutPhase.REVERTED
        ],
        "good in time": sum(o.ended_s <= s.duration_s for s, o in good),
        "bad": len(bad),
        "bad reverted": _count(bad, RolloutPhase.REVERTED),
        "bad completed": [s.seed for s, o in bad if o.phase is RolloutPhase.COMPLETED],
        "early": len(early),
        "early completed": _count(early, RolloutPhase.COMPLETED),
        "early over bound": _overexposed(early),
        "late over bound": _overexposed([each for each in bad if each not in early]),
        "shown in canary": len(shown_early),
        "shown in canary, completed": _count(shown_early, RolloutPhase.COMPLETED),
        "shown": len(shown),
        "shown, late requests": [s.seed for s, o in shown if o.rollback_s > ROLLBACK_S],
        "rollback p99, s": round(
            percentile([o.rollback_s for _, o in shown] or [0.0], 0.99), 2
        ),
        "requests cut at completion": sum(o.running_at_others for _, o in good),
        "refused": sum(o.refused for _, o in played),
        "sent": sum(o.sent for _, o in played),
    }


def _count(played: Sequence[Played], phase: RolloutPhase) -> int:
    return sum(outcome.phase is phase for _, outcome in played)


def _overexposed(played: Sequence[Played]) -> list[int]:
    return [s.seed for s, o in played if is_overexposed(s, o, CANARY_SLACK)]


def main() -> None:
    """Play the roll-outs and print the figures of each test."""
    rollouts = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    processes = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    with Pool(processes) as pool:
        results = pool.map(_play, _jobs(rollouts), chunksize=4)
    for name in TESTS:
        played = [each for test, each in results if test == name]
        print(json.dumps({"test": name, **summarise(played)}))


if __name__ == "__main__":
    main()
