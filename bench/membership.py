"""Measure how long a failed node stays listed, and count false suspicions.

The measured node is killed, frozen or drained. The time ends when no other node
lists it as alive and ready.
"""

from __future__ import annotations

import json
import statistics
import sys
import time

from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import RunningSite, run_site, wait_until
from poplarrelay.testing.site import team_token

NODES = 9
ROUNDS = 4
IDLE_S = 20.0
HEADERS = {"Authorization": f"Bearer {team_token('alpha')}"}
SETTINGS = {"timing": {"drain_s": 4.0, "address_ttl_s": 1.0}}


def _list_ready_nodes(site: RunningSite, queried: str) -> set[str]:
    """Return the nodes that the queried node lists as alive and ready."""
    status = site.status(queried) or {"members": {}}
    return {
        name
        for name, member in status["members"].items()
        if member["status"] == "alive" and member["ready"]
    }


def _measure_removal(site: RunningSite, victim: str) -> float:
    began = time.monotonic()
    listing_nodes = {name for name in site.nodes if name != victim}
    while listing_nodes and time.monotonic() - began < 20.0:
        listing_nodes = {
            name for name in listing_nodes if victim in _list_ready_nodes(site, name)
        }
    return time.monotonic() - began


def _count_suspicions(site: RunningSite) -> int:
    return sum(
        1
        for process in site.nodes.values()
        for line in process.log_lines()
        if line["message"] == "member" and line["status"] == "suspect"
    )


def _fail_node(site: RunningSite, failure: str, victim: str) -> float:
    process = site.nodes[victim]
    if failure == "frozen":
        process.freeze()
        seconds = _measure_removal(site, victim)
        process.thaw()
        return seconds
    if failure == "leaving":
        body = {"within_s": 4.0}
        site.post(site.peers_address(victim), "/operator/drain", body)
        seconds = _measure_removal(site, victim)
        process.popen.wait(timeout=20.0)
    else:
        process.kill()
        seconds = _measure_removal(site, victim)
    site.start_node(victim)
    return seconds


def main() -> int:
    """Run the measurements and print the figures as JSON."""
    figures: dict[str, object] = {}
    with run_site(small_site(nodes=NODES, engines=1), settings=SETTINGS) as site:
        before = _count_suspicions(site)
        time.sleep(IDLE_S)
        figures["false_suspicions_in_20_s"] = _count_suspicions(site) - before
        for failure in ("dead", "frozen", "leaving"):
            removal_times = []
            for index in range(ROUNDS):
                removal_times.append(_fail_node(site, failure, f"node-{2 + index}"))
                wait_until(lambda: all(site.ready(node) for node in site.nodes))
                site.wait_ready()
            figures[failure] = {
                "median_s": round(statistics.median(removal_times), 2),
                "longest_s": round(max(removal_times), 2),
                "rounds": ROUNDS,
            }
    print(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
