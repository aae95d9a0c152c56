"""Bookings under a seeded mix of failures, on real processes.

Counts what became of each booking as its caller was told, against the runs that the
desks counted. Both schemes of keys can be measured, with none of the failures, with
one kind, or with all.
"""

from __future__ import annotations

import argparse
import json
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from poplarrelay.client import AnswerNotRun, ClientError
from poplarrelay.standins.service import call_name
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import RunningSite, run_site

SETTINGS = {
    "timing": {
        "log_wait_s": 0.5,
        "log_timeout_s": 0.5,
        "drain_s": 5.0,
        "address_ttl_s": 1.0,
    }
}
NODES = 6
DESKS = 2
CALLERS = 24
DEADLINE_S = 8.0
#: Seconds within which an answer counts as in time.
IN_TIME_S = 2.0
#: Share of the bookings that are sent to three nodes at once under one key.
TRIPLED = 0.1


class Scheme(Enum):
    """How a booking's key is made."""

    PLAIN = "plain"
    TICKET = "ticket"


@dataclass(slots=True)
class Tally:
    """What callers were told, by booking.

    Attributes
    ----------
    told : dict of str to list of str
        The final words on each booking, one for each caller that asked.
    """

    told: dict[str, list[str]] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, name: str, word: str, seconds: float) -> None:
        """Note a final word."""
        with self.lock:
            self.told.setdefault(name, []).append(word)
            if word == "answered":
                self.seconds.append(seconds)


def _book(site: RunningSite, scheme: Scheme, number: int, tally: Tally) -> None:
    rng = random.Random(number)
    client = site.client("alpha", seed=number)
    body = json.dumps({"seat": number}).encode()
    name = call_name("POST", "/confirm", body)
    started = time.monotonic()
    try:
        key = f"seat-{number}" if scheme is Scheme.PLAIN else client.new_ticket()[1]
    except ClientError:
        tally.add(name, "not_run", 0.0)
        return
    callers = 3 if rng.random() < TRIPLED else 1

    def ask(index: int) -> None:
        # A lone caller lets the library choose the ticket, as callers do.
        alone = callers == 1 and scheme is Scheme.TICKET
        caller = site.client("alpha", seed=number * 10 + index)
        try:
            caller.call_service(
                "booking",
                "/confirm",
                body,
                "POST",
                DEADLINE_S,
                None if alone else key,
            )
            word = "answered"
        except AnswerNotRun as failure:
            word = "not_run" if failure.problem else "not_reached"
        except ClientError:
            word = "unknown"
        tally.add(name, word, time.monotonic() - started)

    threads = [threading.Thread(target=ask, args=(i,)) for i in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


# -- failures ----------------------------------------------------------------


def _freeze(site: RunningSite, rng: random.Random) -> None:
    node = site.nodes[rng.choice(list(site.nodes))]
    node.freeze()
    time.sleep(rng.uniform(0.5, 4.0))
    node.thaw()


def _crash(site: RunningSite, rng: random.Random) -> None:
    name = rng.choice(list(site.nodes))
    site.nodes[name].kill()
    time.sleep(rng.uniform(0.2, 1.0))
    site.start_node(name)
    time.sleep(1.5)


def _leave(site: RunningSite, rng: random.Random) -> None:
    name = rng.choice(list(site.nodes))
    site.nodes[name].signal(signal.SIGTERM)
    site.nodes[name].popen.wait(timeout=20.0)
    site.start_node(name)
    time.sleep(1.5)


def _log_outage(site: RunningSite, rng: random.Random) -> None:
    site.faults("log", **rng.choice([{"refuse": True}, {"hang_s": 3.0}]))
    time.sleep(rng.uniform(1.0, 4.0))
    site.faults("log")


def _lost_appends(site: RunningSite, rng: random.Random) -> None:
    site.faults("log", lose_answers=5, lost_s=1.5)
    time.sleep(2.0)
    site.faults("log")


def _crash_in_append(site: RunningSite, rng: random.Random) -> None:
    site.faults("log", slow_s=0.3)
    time.sleep(0.3)
    _crash(site, rng)
    site.faults("log")


def _lost_answers(site: RunningSite, rng: random.Random) -> None:
    desk = f"desk-{rng.randint(1, DESKS)}"
    site.faults(desk, lose_answers=2, lost_s=4.0)
    time.sleep(1.0)


Failure = Callable[[RunningSite, random.Random], None]
FAILURES: dict[str, Failure] = {
    "frozen": _freeze,
    "crash": _crash,
    "leave": _leave,
    "outage": _log_outage,
    "append": _lost_appends,
    "midappend": _crash_in_append,
    "answer": _lost_answers,
}


def _disturb(
    site: RunningSite, scenario: str, seed: int, stop: threading.Event
) -> None:
    rng = random.Random(seed)
    if scenario == "none":
        return
    if scenario == "outage60":
        site.faults("log", refuse=True)
        stop.wait(60.0)
        site.faults("log")
        return
    while not stop.wait(rng.uniform(0.2, 1.0)):
        name = rng.choice(list(FAILURES)) if scenario == "mix" else scenario
        FAILURES[name](site, rng)


# -- the run -----------------------------------------------------------------


def _send_all(
    site: RunningSite, scheme: Scheme, requests: int, rate: float, tally: Tally
) -> None:
    numbers = iter(range(requests))
    lock = threading.Lock()
    began = time.monotonic()

    def work() -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            _book(site, scheme, number, tally)

    threads = [threading.Thread(target=work) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _judge(tally: Tally, runs: dict[str, int]) -> dict[str, object]:
    words = Counter(word for told in tally.told.values() for word in told)
    doubled = sum(1 for name in tally.told if runs.get(name, 0) > 1)
    false_not_run = sum(
        1
        for name, told in tally.told.items()
        if "not_run" in told and runs.get(name, 0) > 0
    )
    lost = sum(
        1
        for name, told in tally.told.items()
        if "answered" in told and runs.get(name, 0) == 0
    )
    asked = sum(words.values())
    in_time = sum(1 for seconds in tally.seconds if seconds <= IN_TIME_S)
    ordered = sorted(tally.seconds) or [0.0]
    return {
        "bookings": len(tally.told),
        "asked": asked,
        "words": dict(words),
        "doubled": doubled,
        "false_not_run": false_not_run,
        "answered_without_run": lost,
        "answered_share": round(words["answered"] / asked, 4),
        "in_time_share": round(in_time / asked, 4),
        "median_ms": round(1000 * ordered[len(ordered) // 2], 1),
        "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1),
    }


def run(
    scheme: Scheme, scenario: str, requests: int, rate: float, seed: int
) -> dict[str, object]:
    """Run one campaign and return its figures."""
    tally, stop = Tally(), threading.Event()
    with run_site(
        small_site(nodes=NODES, engines=1, services=DESKS), settings=SETTINGS
    ) as site:
        appends = site.get(site.platform["log"], "/statistics")
        disturber = threading.Thread(target=_disturb, args=(site, scenario, seed, stop))
        disturber.start()
        began = time.monotonic()
        _send_all(site, scheme, requests, rate, tally)
        elapsed = time.monotonic() - began
        stop.set()
        disturber.join()
        site.faults("log")
        time.sleep(DEADLINE_S)
        figures = _judge(tally, site.runs())
        after = site.get(site.platform["log"], "/statistics")
    figures["seconds"] = round(elapsed, 1)
    figures["appends"] = after["appends"] - appends["appends"]
    return {"scheme": scheme.value, "scenario": scenario, "seed": seed, **figures}


def main() -> int:
    """Run a campaign; exit code 1 if a booking was doubled or a word was false."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scheme", choices=[s.value for s in Scheme], required=True)
    scenarios = ["none", "mix", "outage60", *FAILURES]
    parser.add_argument("--scenario", choices=scenarios, required=True)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    figures = run(
        Scheme(options.scheme),
        options.scenario,
        options.requests,
        options.rate,
        options.seed,
    )
    print(json.dumps(figures))
    wrong = figures["doubled"] or figures["false_not_run"]
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
