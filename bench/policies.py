"""Compare the routing policies on the same traces, in one run.

The trace of the ceremony day has prompts with long case files that repeat, bookings in
bursts, an outage of the log and a series of reclaims. The prefix cache of each engine
holds a few case files.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from poplarrelay.replay.generate import Day, generate_trace
from poplarrelay.replay.judge import evaluate_replay
from poplarrelay.replay.runner import run_replay
from poplarrelay.replay.target import ReplayTarget
from poplarrelay.settings import RoutingPolicy
from poplarrelay.testing.processes import run_site
from poplarrelay.testing.site import Site

EXAMPLES_FOLDER = Path(__file__).parent.parent / "examples"
SITE_FILES = {
    Day.CEREMONY: EXAMPLES_FOLDER / "ceremony_booking_relay_western_province.json",
    Day.HARBOUR: EXAMPLES_FOLDER / "shared_harbour_tide_platform.json",
}
CACHE_BLOCKS = 400
PREFILL_TOKENS_PER_S = 4000.0


def _site(day: Day) -> Site:
    site = Site.from_file(SITE_FILES[day])
    endpoints = tuple(
        e.model_copy(
            update={
                "cache_blocks": CACHE_BLOCKS,
                "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
            }
        )
        for e in site.endpoints
    )
    return site.model_copy(update={"endpoints": endpoints})


def run(
    day: Day, policy: RoutingPolicy, seed: int, seconds: float, rate: float
) -> dict[str, object]:
    """Replay one trace under one policy and return the figures."""
    site = _site(day)
    trace = generate_trace(site, day, seed, seconds, rate)
    settings = {"limits": {"routing_policy": policy.value}}
    with run_site(site, settings=settings) as running:
        target = ReplayTarget.model_validate(running.replay_target())
        evaluation = evaluate_replay(run_replay(trace, target))
        statistics = [
            running.get(process.address, "/statistics")
            for name, process in running.endpoints.items()
            if name.startswith(("assistant", "tide"))
        ]
    late_urgent = (
        evaluation.classes["urgent"].requests - evaluation.classes["urgent"].in_time
    )
    return {
        "day": day.value,
        "policy": policy.value,
        "seed": seed,
        "requests": evaluation.requests,
        "missed_cache_tokens": evaluation.recomputed_missing_cache,
        "recomputed_moving": evaluation.recomputed_moving,
        "computed_prompt_tokens": sum(c["prompt"] for c in statistics if c),
        "late_urgent": late_urgent,
        "in_time": sum(c.in_time for c in evaluation.classes.values()),
        "urgent_p95_s": evaluation.classes["urgent"].p95_first_s,
        "standard_p95_s": evaluation.classes["standard"].p95_first_s,
        "doubled": evaluation.doubled,
        "lost": evaluation.lost,
        "fragments": evaluation.fragments,
        "false_not_run": evaluation.false_not_run,
    }


def main() -> int:
    """Print one line of figures for each policy and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--day", choices=[d.value for d in Day], default="ceremony")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--rate", type=float, default=8.0)
    options = parser.parse_args()
    for seed in options.seeds:
        for policy in RoutingPolicy:
            figures = run(Day(options.day), policy, seed, options.seconds, options.rate)
            print(json.dumps(figures), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
