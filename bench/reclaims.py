"""Compare the policies that move running streams off reclaimed engines, in one run.

For each policy, the same streams run, of mixed lengths and from the same seed. In the
meantime the engine of one failure domain gets a reclaim notice and is killed, then
that of a second domain. The figures are the recomputed tokens and the delays.
"""

from __future__ import annotations

import json
import random
import sys
import threading
import time

from bench.measuring import percentile
from poplarrelay.client import ClientError, CompletionResult
from poplarrelay.settings import MovePolicy
from poplarrelay.standins.batching import token_text
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import RunningSite, run_site

STREAMS = 36
NOTICE_S = 2.0
ENGINE = {"slots": 16, "step_s": 0.01, "prefill_tokens_per_s": 3000.0}
SEEDS = (1, 2, 3)


class Stream:
    """One stream, with the results that its caller received."""

    def __init__(self, site: RunningSite, number: int, seed: int) -> None:
        rng = random.Random(1000 * seed + number)
        self._client = site.client("alpha", seed=number)
        self._prompt = f"case {number} " + "notes " * rng.randint(300, 1500)
        self._max_tokens = rng.choice([60, 150, 300, 500])
        self._result = CompletionResult()
        self.longest_gap_s = 0.0
        self.seconds = 0.0
        self.complete = False

    def run(self) -> None:
        """Request the stream and read it to its end."""
        began = last = time.monotonic()
        try:
            for _ in self._client.stream(
                "small", self._prompt, self._max_tokens, 60.0, "standard", self._result
            ):
                now = time.monotonic()
                if len(self._result.tokens) > 1:
                    self.longest_gap_s = max(self.longest_gap_s, now - last)
                last = now
        except ClientError:
            return
        self.seconds = time.monotonic() - began
        expected = [
            token_text(self._prompt, index) for index in range(self._max_tokens)
        ]
        self.complete = self._result.tokens == expected

    @property
    def recomputed(self) -> int:
        """Return the number of recomputed tokens."""
        return self._result.usage.get("recomputed_tokens", 0)


def _notify_and_kill(site: RunningSite, domain: str, engine: str) -> None:
    site.notice(NOTICE_S, failure_domain=domain)
    time.sleep(NOTICE_S)
    site.endpoints[engine].kill()


def run(policy: MovePolicy, seed: int) -> dict[str, object]:
    """Run all streams under one policy and return the figures."""
    settings = {"limits": {"move_policy": policy.value}}
    with run_site(small_site(engines=4, engine=ENGINE), settings=settings) as site:
        streams = [Stream(site, number, seed) for number in range(STREAMS)]
        threads = [threading.Thread(target=stream.run) for stream in streams]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        _notify_and_kill(site, "east", "engine-1")
        _notify_and_kill(site, "west", "engine-2")
        for thread in threads:
            thread.join()
        moves = [
            line["way"]
            for node in site.nodes.values()
            for line in node.log_lines()
            if line["message"] == "move"
        ]
    return {
        "policy": policy.value,
        "seed": seed,
        "whole": sum(stream.complete for stream in streams),
        "streams": STREAMS,
        "moved": len(moves),
        "recomputed_tokens": sum(stream.recomputed for stream in streams),
        "median_s": round(percentile([s.seconds for s in streams], 0.5), 3),
        "p95_s": round(percentile([s.seconds for s in streams], 0.95), 3),
        "p95_gap_s": round(percentile([s.longest_gap_s for s in streams], 0.95), 3),
    }


def main() -> int:
    """Print figures for each policy and seed; return 1 if a stream was incomplete."""
    all_complete = True
    for seed in SEEDS:
        for policy in MovePolicy:
            figures = run(policy, seed)
            all_complete = all_complete and figures["whole"] == figures["streams"]
            print(json.dumps(figures), flush=True)
    return 0 if all_complete else 1


if __name__ == "__main__":
    sys.exit(main())
