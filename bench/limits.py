"""Measure a team's calls while another floods the nodes, and retries after a crash.

All measurements run one after another on one site.
"""

from __future__ import annotations

import json
import re
import sys
import threading
import time

import urllib3

from bench.measuring import percentile
from poplarrelay.client import ClientError
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import RunningSite, run_site

RATE = 5.0
WINDOW_S = 12.0
FLOOD_CALLERS = 80
TOKENS = 12
ENGINE = {"slots": 6, "step_s": 0.02}


class Flood:
    """Callers of one team that send requests without a pause."""

    def __init__(self, site: RunningSite) -> None:
        self._site = site
        self._stop = threading.Event()
        self.answered = 0
        self.failed = 0
        self._threads = [
            threading.Thread(target=self._run, args=(n,)) for n in range(FLOOD_CALLERS)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all callers and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        client = self._site.client("alpha", seed=number)
        while not self._stop.is_set():
            try:
                client.complete("small", f"flood {number}", 60, timeout_s=4.0)
                self.answered += 1
            except ClientError:
                self.failed += 1


def _measure_calls(site: RunningSite, seconds: float) -> dict[str, float]:
    """Send the calls of team beta and return statistics of their first-token times."""
    first_token_s: list[float] = []
    failed = [0]
    began = time.monotonic()

    def call(number: int) -> None:
        client = site.client("beta", seed=number)
        try:
            result = client.complete(
                "small", f"beta {number}", TOKENS, 10.0, "standard"
            )
            first_token_s.append(result.first_token_s or 0.0)
        except ClientError:
            failed[0] += 1

    threads = []
    for number in range(int(RATE * seconds)):
        time.sleep(max(0.0, began + number / RATE - time.monotonic()))
        thread = threading.Thread(target=call, args=(number,))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return {
        "answered": len(first_token_s),
        "failed": failed[0],
        "median_ms": round(1000 * percentile(first_token_s, 0.5), 1),
        "p95_ms": round(1000 * percentile(first_token_s, 0.95), 1),
    }


def _metric_total(site: RunningSite, name: str) -> float:
    pattern = re.compile(rb"poplarrelay_" + name.encode() + rb"_total\{[^}]*\} (\S+)")
    total = 0.0
    for node in site.nodes:
        url = f"http://{site.peers_address(node)}/metrics"
        data = urllib3.request("GET", url, retries=False, timeout=5.0).data
        total += sum(float(value) for value in pattern.findall(data))
    return total


def measure_engine_crash(site: RunningSite) -> dict[str, float]:
    """Kill one of three engines under load without notice; count the attempts."""
    accepted = _metric_total(site, "requests_accepted")
    attempts = _metric_total(site, "attempts")
    flood = Flood(site)
    flood.start()
    time.sleep(2.0)
    site.endpoints["engine-1"].kill()
    time.sleep(6.0)
    flood.stop()
    accepted = _metric_total(site, "requests_accepted") - accepted
    attempts = _metric_total(site, "attempts") - attempts
    return {
        "accepted": accepted,
        "attempts": attempts,
        "attempts_per_accepted": round(attempts / accepted, 4),
        "answered": flood.answered,
        "ended_without_answer": flood.failed,
    }


def main() -> int:
    """Run the measurements and print the figures as JSON."""
    with run_site(small_site(engines=3, engine=ENGINE)) as site:
        without_flood = _measure_calls(site, WINDOW_S)
        flood = Flood(site)
        flood.start()
        time.sleep(2.0)
        during_flood = _measure_calls(site, WINDOW_S)
        flood.stop()
        engine_crash = measure_engine_crash(site)
    figures = {
        "alone": without_flood,
        "beside_flood": during_flood,
        "flood_answered": flood.answered,
        "wave": engine_crash,
    }
    print(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
