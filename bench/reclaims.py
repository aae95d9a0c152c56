"""Compare ways to take running streams off reclaimed engines, in one run.

The same streams, of mixed lengths and from the same seed, run while one failure domain
and then the next is announced and reclaimed. For each policy: tokens computed again,
and how late the answers were.
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
    """One stream and what its caller saw."""

    def __init__(self, site: RunningSite, number: int, seed: int) -> None:
        rng = random.Random(1000 * seed + number)
        self._client = site.client("alpha", seed=number)
        self._prompt = f"case {number} " + "notes " * rng.randint(300, 1500)
        self._count = rng.choice([60, 150, 300, 500])
        self._result = CompletionResult()
        self.longest_gap_s = 0.0
        self.seconds = 0.0
        self.whole = False

    def run(self) -> None:
        """Read the stream to its end."""
        began = last = time.monotonic()
        try:
            for _ in self._client.stream(
                "small", self._prompt, self._count, 60.0, "standard", self._result
            ):
                now = time.monotonic()
                if len(self._result.tokens) > 1:
                    self.longest_gap_s = max(self.longest_gap_s, now - last)
                last = now
        except ClientError:
            return
        self.seconds = time.monotonic() - began
        wanted = [token_text(self._prompt, index) for index in range(self._count)]
        self.whole = self._result.tokens == wanted

    @property
    def recomputed(self) -> int:
        """Return the tokens that were computed again."""
        return self._result.usage.get("recomputed_tokens", 0)


def _reclaim(site: RunningSite, domain: str, engine: str) -> None:
    site.notice(NOTICE_S, failure_domain=domain)
    time.sleep(NOTICE_S)
    site.endpoints[engine].kill()


def run(policy: MovePolicy, seed: int) -> dict[str, object]:
    """Return the figures of one policy."""
    settings = {"limits": {"move_policy": policy.value}}
    with run_site(small_site(engines=4, engine=ENGINE), settings=settings) as site:
        streams = [Stream(site, number, seed) for number in range(STREAMS)]
        threads = [threading.Thread(target=stream.run) for stream in streams]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        _reclaim(site, "east", "engine-1")
        _reclaim(site, "west", "engine-2")
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
        "whole": sum(stream.whole for stream in streams),
        "streams": STREAMS,
        "moved": len(moves),
        "recomputed_tokens": sum(stream.recomputed for stream in streams),
        "median_s": round(percentile([s.seconds for s in streams], 0.5), 3),
        "p95_s": round(percentile([s.seconds for s in streams], 0.95), 3),
        "p95_gap_s": round(percentile([s.longest_gap_s for s in streams], 0.95), 3),
    }


def main() -> int:
    """Print a line for each policy and seed; exit code 1 if an answer was cut."""
    good = True
    for seed in SEEDS:
        for policy in MovePolicy:
            figures = run(policy, seed)
            good = good and figures["whole"] == figures["streams"]
            print(json.dumps(figures), flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
