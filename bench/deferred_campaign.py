"""Deferred requests on nodes that are paused, killed, told to leave and restarted.

    python -m bench.deferred_campaign FIRST LAST

plays one round for each seed from FIRST to LAST on one site, and checks that no node
takes back what a caller has fetched, that none denies an accepted request, and that
each has its outcome at every node once all run again. One node at most is killed in a
round: a second crash may take the only copy.
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
#: Seconds of a round, and between two steps of a caller.
ROUND_S = 8.0
STEP_S = 0.05
#: Seconds within which every node tells an outcome after a round.
SETTLE_S = 20.0
HEADERS = {"Authorization": f"Bearer {team_token('alpha')}"}
OPEN = ("running", "not known")


@dataclass(slots=True)
class Deferral:
    """A request that was accepted, and the outcome that was fetched."""

    id: str
    told: str | None = None


@dataclass(slots=True)
class Round:
    """What the callers of one round know.

    Attributes
    ----------
    words : Counter of str
        Answers of all nodes.
    """

    site: RunningSite
    rng: Random
    deferrals: list[Deferral] = field(default_factory=list)
    words: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    over: threading.Event = field(default_factory=threading.Event)

    def call_until_over(self, seed: int) -> None:
        """Defer requests and ask for earlier ones, until the round is over."""
        rng = Random(seed)
        while not self.over.wait(STEP_S):
            node = rng.choice(list(self.site.nodes))
            if not self.deferrals or rng.random() < 0.3:
                self._defer(node, rng)
            else:
                self.check(node, rng.choice(self.deferrals))

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
            self.deferrals.append(Deferral(reply.value["id"]))

    def _address(self, node: str) -> str:
        return self.site.nodes[node].address

    def ask(self, node: str, deferral: Deferral) -> str | None:
        """Return a node's word, None if it gives none."""
        path = f"/v1/requests/{deferral.id}"
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

    def check(self, node: str, deferral: Deferral) -> None:
        """Ask a node, and compare its word with what was told before."""
        before = deferral.told
        word = self.ask(node, deferral)
        self.words[str(word)] += 1
        if word == "absent" or (before and word not in (before, "not known", None)):
            self.violations.append(f"{deferral.id}: {before}, then {word} at {node}")
        elif word is not None and word not in OPEN:
            deferral.told = word

    def disturb(self) -> list[str]:
        """Pause, kill, stop and restart nodes, and return what was done."""
        until = time.monotonic() + ROUND_S
        done: list[str] = []
        kill = self.rng.choice(list(self.site.nodes))
        kill_at = until - ROUND_S * self.rng.uniform(0.4, 0.8)
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(0.1, 0.8))
            if time.monotonic() >= kill_at and kill:
                self.site.nodes[kill].kill()
                done.append(f"kill {kill}")
                time.sleep(self.rng.choice((0.1, 1.0, 4.0)))
                self.site.start_node(kill)
                kill = ""
                continue
            name = self.rng.choice([n for n in self.site.nodes if n != kill])
            if self.rng.random() < 0.75:
                self._pause(name, self.rng.choice((0.3, 0.9, 1.2, 3.0)))
                done.append(f"pause {name}")
            else:
                self._restart(name)
                done.append(f"leave {name}")
        return done

    def _pause(self, name: str, seconds: float) -> None:
        self.site.nodes[name].freeze()
        time.sleep(seconds)
        self.site.nodes[name].thaw()

    def _restart(self, name: str) -> None:
        process = self.site.nodes[name]
        process.signal(signal.SIGTERM)
        process.popen.wait(timeout=30.0)
        self.site.start_node(name)

    def settle(self) -> None:
        """Let all nodes run, and wait until each tells every outcome."""
        for name in self.site.nodes:
            wait_until(lambda name=name: self.site.ready(name), 30.0, name)
        self.site.wait_ready()
        until = time.monotonic() + SETTLE_S
        for deferral in self.deferrals:
            for name in self.site.nodes:
                word = self.ask(name, deferral)
                while word in (None, *OPEN) and time.monotonic() < until:
                    time.sleep(0.2)
                    word = self.ask(name, deferral)
                if word in (None, "absent", *OPEN) or deferral.told not in (None, word):
                    self.violations.append(
                        f"{deferral.id}: {deferral.told}, in the end {word} at {name}"
                    )


def alone(site: RunningSite) -> set[str]:
    """Return the requests that were accepted without a copy."""
    first: dict[str, bool] = {}
    for process in site.nodes.values():
        for line in process.log_lines():
            if "copied" in line:
                first.setdefault(line["request"], line["copied"])
    return {request for request, copied in first.items() if not copied}


def play(site: RunningSite, seed: int) -> Round:
    """Play a round."""
    played = Round(site, Random(seed))
    threads = [
        threading.Thread(target=played.call_until_over, args=(seed * 100 + number,))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    done = played.disturb()
    played.over.set()
    for thread in threads:
        thread.join()
    played.settle()
    without = alone(site)
    found = [v for v in played.violations if v.split(":")[0] not in without]
    print(
        f"seed {seed}: {'BROKEN' if found else 'passed'}; {', '.join(done)}; "
        f"{len(played.deferrals)} accepted, "
        f"{sum(d.id in without for d in played.deferrals)} without a copy; "
        f"words {dict(played.words)}",
        flush=True,
    )
    for violation in played.violations:
        where = "" if violation in found else " (accepted without a copy)"
        print(f"  {violation}{where}", flush=True)
    played.violations = found
    return played


def main() -> int:
    """Play the seeds and return the exit code."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    broken = 0
    with run_site(small_site(nodes=NODES, engines=4), settings=SHORT_TIMEOUTS) as site:
        for seed in range(first, last + 1):
            broken += bool(play(site, seed).violations)
    print(f"{broken} of {last - first + 1} rounds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
