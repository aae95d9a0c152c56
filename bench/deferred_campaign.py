"""Run deferred requests on nodes that are paused, killed, drained and restarted.

    python -m bench.deferred_campaign FIRST LAST

runs one round for each seed from FIRST to LAST on one site. A round is broken if a node
reports another outcome than the one that a caller has fetched before, if a node reports
an accepted request as absent, or if a node has no outcome of a request after all nodes
run again. At most one node is killed in a round, because a second crash can remove the
only copy of a request.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

from poplarrelay.providers.http import CallFailed
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import RunningSite, run_site, wait_until
from poplarrelay.testing.site import team_token
from poplarrelay.testing.steps import SHORT_TIMEOUTS

NODES = 5
CALLERS = 4
#: Seconds of a round, and seconds between two steps of a caller.
ROUND_S = 8.0
STEP_S = 0.05
#: Seconds after a round within which every node must report all outcomes.
SETTLE_S = 20.0
HEADERS = {"Authorization": f"Bearer {team_token('alpha')}"}
NO_OUTCOME = ("running", "not known")


@dataclass(slots=True)
class DeferredRequest:
    """An accepted request and its outcome, None until a caller has fetched it."""

    id: str
    outcome: str | None = None


@dataclass(slots=True)
class Round:
    """Accepted requests and received statuses of one round.

    Attributes
    ----------
    statuses : Counter of str
        Number of replies of all nodes, by status.
    violations : list of str
        Descriptions of wrong or missing statuses.
    ended : threading.Event
        Set when the callers must stop.
    """

    site: RunningSite
    rng: Random
    accepted: list[DeferredRequest] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    ended: threading.Event = field(default_factory=threading.Event)

    def send_requests(self, seed: int) -> None:
        """Defer requests and look up earlier ones until the round has ended."""
        rng = Random(seed)
        while not self.ended.wait(STEP_S):
            node = rng.choice(list(self.site.nodes))
            if not self.accepted or rng.random() < 0.3:
                self._defer(node, rng)
            else:
                self.check(node, rng.choice(self.accepted))

    def _defer(self, node: str, rng: Random) -> None:
        body = {
            "model": "small",
            "prompt": "report",
            "max_tokens": rng.choice((3, 200)),
        }
        value = {"url": "/v1/completions", "body": body}
        try:
            reply = self.site.http_client.call(
                "POST", self._address(node), "/v1/requests", value, 8.0, HEADERS
            )
        except CallFailed:
            return
        if reply.status == HTTPStatus.ACCEPTED:
            self.accepted.append(DeferredRequest(reply.value["id"]))

    def _address(self, node: str) -> str:
        return self.site.nodes[node].address

    def fetch_status(self, node: str, deferred: DeferredRequest) -> str | None:
        """Return the status that a node reports, None if it reports none."""
        path = f"/v1/requests/{deferred.id}"
        try:
            reply = self.site.http_client.call(
                "GET", self._address(node), path, None, 8.0, HEADERS
            )
        except CallFailed:
            return None
        if reply.ok:
            return str(reply.value["status"])
        if reply.status == HTTPStatus.NOT_FOUND:
            return "absent"
        return "not known" if reply.status == HTTPStatus.BAD_GATEWAY else None

    def check(self, node: str, deferred: DeferredRequest) -> None:
        """Look up a request at a node and compare the result with earlier ones."""
        before = deferred.outcome
        status = self.fetch_status(node, deferred)
        self.statuses[str(status)] += 1
        if status == "absent" or (before and status not in (before, "not known", None)):
            self.violations.append(f"{deferred.id}: {before}, then {status} at {node}")
        elif status is not None and status not in NO_OUTCOME:
            deferred.outcome = status

    def inject_failures(self) -> list[str]:
        """Pause, kill, drain and restart nodes; return the list of these actions."""
        until = time.monotonic() + ROUND_S
        actions: list[str] = []
        kill = self.rng.choice(list(self.site.nodes))
        kill_at = until - ROUND_S * self.rng.uniform(0.4, 0.8)
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(0.1, 0.8))
            if time.monotonic() >= kill_at and kill:
                self.site.nodes[kill].kill()
                actions.append(f"kill {kill}")
                time.sleep(self.rng.choice((0.1, 1.0, 4.0)))
                self.site.start_node(kill)
                kill = ""
                continue
            name = self.rng.choice([n for n in self.site.nodes if n != kill])
            if self.rng.random() < 0.75:
                self._pause(name, self.rng.choice((0.3, 0.9, 1.2, 3.0)))
                actions.append(f"pause {name}")
            else:
                self._restart(name)
                actions.append(f"leave {name}")
        return actions

    def _pause(self, name: str, seconds: float) -> None:
        self.site.nodes[name].freeze()
        time.sleep(seconds)
        self.site.nodes[name].thaw()

    def _restart(self, name: str) -> None:
        process = self.site.nodes[name]
        process.signal(signal.SIGTERM)
        process.popen.wait(timeout=30.0)
        self.site.start_node(name)

    def wait_for_outcomes(self) -> None:
        """Wait until all nodes run and each of them reports every outcome."""
        for name in self.site.nodes:
            wait_until(lambda name=name: self.site.ready(name), 30.0, name)
        self.site.wait_ready()
        until = time.monotonic() + SETTLE_S
        for deferred in self.accepted:
            for name in self.site.nodes:
                status = self.fetch_status(name, deferred)
                while status in (None, *NO_OUTCOME) and time.monotonic() < until:
                    time.sleep(0.2)
                    status = self.fetch_status(name, deferred)
                if status in (None, "absent", *NO_OUTCOME) or deferred.outcome not in (
                    None,
                    status,
                ):
                    self.violations.append(
                        f"{deferred.id}: {deferred.outcome}, finally {status} at {name}"
                    )


def requests_without_copy(site: RunningSite) -> set[str]:
    """Return the ids of the requests that were accepted without a copy."""
    first: dict[str, bool] = {}
    for process in site.nodes.values():
        for line in process.log_lines():
            if "copied" in line:
                first.setdefault(line["request"], line["copied"])
    return {request for request, copied in first.items() if not copied}


def run_round(site: RunningSite, seed: int) -> Round:
    """Run a round, print its result and return it."""
    campaign_round = Round(site, Random(seed))
    threads = [
        threading.Thread(
            target=campaign_round.send_requests, args=(seed * 100 + number,)
        )
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    actions = campaign_round.inject_failures()
    campaign_round.ended.set()
    for thread in threads:
        thread.join()
    campaign_round.wait_for_outcomes()
    without_copy = requests_without_copy(site)
    found = [
        v for v in campaign_round.violations if v.split(":")[0] not in without_copy
    ]
    print(
        f"seed {seed}: {'BROKEN' if found else 'passed'}; {', '.join(actions)}; "
        f"{len(campaign_round.accepted)} accepted, "
        f"{sum(d.id in without_copy for d in campaign_round.accepted)} without a copy; "
        f"statuses {dict(campaign_round.statuses)}",
        flush=True,
    )
    for violation in campaign_round.violations:
        note = "" if violation in found else " (accepted without a copy)"
        print(f"  {violation}{note}", flush=True)
    campaign_round.violations = found
    return campaign_round


def main() -> int:
    """Run a round for each seed and return the exit code."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    broken = 0
    with run_site(small_site(nodes=NODES, engines=4), settings=SHORT_TIMEOUTS) as site:
        for seed in range(first, last + 1):
            broken += bool(run_round(site, seed).violations)
    print(f"{broken} of {last - first + 1} rounds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
