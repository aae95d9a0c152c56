"""Time until no node names one that is dead, frozen or leaving; false suspicions."""

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
QUIET_S = 20.0
HEADERS = {"Authorization": f"Bearer {team_token('alpha')}"}
SETTINGS = {"timing": {"drain_s": 4.0, "address_ttl_s": 1.0}}


def _named(site: RunningSite, asked: str) -> set[str]:
    """Return the nodes that another one takes for ready."""
    status = site.status(asked) or {"members": {}}
    return {
        name
        for name, member in status["members"].items()
        if member["status"] == "alive" and member["ready"]
    }


def _time_to_forget(site: RunningSite, victim: str) -> float:
    began = time.monotonic()
    waiting = {name for name in site.nodes if name != victim}
    while waiting and time.monotonic() - began < 20.0:
        waiting = {name for name in waiting if victim in _named(site, name)}
    return time.monotonic() - began


def _suspicions(site: RunningSite) -> int:
    return sum(
        1
        for process in site.nodes.values()
        for line in process.log_lines()
        if line["message"] == "member" and line["status"] == "suspect"
    )


def _one(site: RunningSite, how: str, victim: str) -> float:
    process = site.nodes[victim]
    if how == "frozen":
        process.freeze()
        seconds = _time_to_forget(site, victim)
        process.thaw()
        return seconds
    if how == "leaving":
        body = {"within_s": 4.0}
        site.post(site.peers_address(victim), "/operator/drain", body)
        seconds = _time_to_forget(site, victim)
        process.popen.wait(timeout=20.0)
    else:
        process.kill()
        seconds = _time_to_forget(site, victim)
    site.start_node(victim)
    return seconds


def main() -> int:
    """Print the figures as JSON."""
    figures: dict[str, object] = {}
    with run_site(small_site(nodes=NODES, engines=1), settings=SETTINGS) as site:
        before = _suspicions(site)
        time.sleep(QUIET_S)
        figures["false_suspicions_in_20_s"] = _suspicions(site) - before
        for how in ("dead", "frozen", "leaving"):
            taken = []
            for index in range(ROUNDS):
                taken.append(_one(site, how, f"node-{2 + index}"))
                wait_until(lambda: all(site.ready(node) for node in site.nodes))
                site.wait_ready()
            figures[how] = {
                "median_s": round(statistics.median(taken), 2),
                "longest_s": round(max(taken), 2),
                "rounds": ROUNDS,
            }
    print(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
