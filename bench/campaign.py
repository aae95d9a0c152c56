"""Send bookings to real processes under a seeded sequence of failures.

The campaign compares the outcome that each caller received with the number of runs
that the booking services (desks) counted. It runs with one of the two key schemes, and
without failures, with one kind of failure, or with a mix of all kinds.
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
#: Seconds from the start of a booking within which its answer is in time.
IN_TIME_S = 2.0
#: Fraction of the bookings that three callers send at the same time under one key.
TRIPLED_FRACTION = 0.1


class KeyScheme(Enum):
    """Source of a booking's idempotency key: the caller, or a ticket of a node."""

    CALLER_KEY = "plain"
    TICKET = "ticket"


@dataclass(slots=True)
class ReceivedOutcomes:
    """Outcomes that the callers received, by booking.

    Attributes
    ----------
    outcomes : dict of str to list of str
        Outcomes of each booking, one for each caller that requested it.
    seconds : list of float
        Seconds from the start of the booking to each answer.
    """

    outcomes: dict[str, list[str]] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, name: str, outcome: str, seconds: float) -> None:
        """Record the outcome that a caller received."""
        with self.lock:
            self.outcomes.setdefault(name, []).append(outcome)
            if outcome == "answered":
                self.seconds.append(seconds)


def _book_seat(
    site: RunningSite, scheme: KeyScheme, number: int, received: ReceivedOutcomes
) -> None:
    rng = random.Random(number)
    client = site.client("alpha", seed=number)
    body = json.dumps({"seat": number}).encode()
    name = call_name("POST", "/confirm", body)
    started = time.monotonic()
    try:
        key = (
            f"seat-{number}"
            if scheme is KeyScheme.CALLER_KEY
            else client.new_ticket()[1]
        )
    except ClientError:
        received.add(name, "not_run", 0.0)
        return
    callers = 3 if rng.random() < TRIPLED_FRACTION else 1

    def send(index: int) -> None:
        # If there is one caller only, the client library chooses the ticket, as usual.
        single = callers == 1 and scheme is KeyScheme.TICKET
        caller = site.client("alpha", seed=number * 10 + index)
        try:
            caller.call_service(
                "booking",
                "/confirm",
                body,
                "POST",
                DEADLINE_S,
                None if single else key,
            )
            outcome = "answered"
        except AnswerNotRun as failure:
            outcome = "not_run" if failure.problem else "not_reached"
        except ClientError:
            outcome = "unknown"
        received.add(name, outcome, time.monotonic() - started)

    threads = [threading.Thread(target=send, args=(i,)) for i in range(callers)]
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


def _crash_and_restart(site: RunningSite, rng: random.Random) -> None:
    name = rng.choice(list(site.nodes))
    site.nodes[name].kill()
    time.sleep(rng.uniform(0.2, 1.0))
    site.start_node(name)
    time.sleep(1.5)


def _drain_and_restart(site: RunningSite, rng: random.Random) -> None:
    name = rng.choice(list(site.nodes))
    site.nodes[name].signal(signal.SIGTERM)
    site.nodes[name].popen.wait(timeout=20.0)
    site.start_node(name)
    time.sleep(1.5)


def _interrupt_log(site: RunningSite, rng: random.Random) -> None:
    site.faults("log", **rng.choice([{"refuse": True}, {"hang_s": 3.0}]))
    time.sleep(rng.uniform(1.0, 4.0))
    site.faults("log")


def _lose_appends(site: RunningSite, rng: random.Random) -> None:
    site.faults("log", lose_answers=5, lost_s=1.5)
    time.sleep(2.0)
    site.faults("log")


def _crash_during_append(site: RunningSite, rng: random.Random) -> None:
    site.faults("log", slow_s=0.3)
    time.sleep(0.3)
    _crash_and_restart(site, rng)
    site.faults("log")


def _lose_answers(site: RunningSite, rng: random.Random) -> None:
    desk = f"desk-{rng.randint(1, DESKS)}"
    site.faults(desk, lose_answers=2, lost_s=4.0)
    time.sleep(1.0)


Failure = Callable[[RunningSite, random.Random], None]
FAILURES: dict[str, Failure] = {
    "frozen": _freeze,
    "crash": _crash_and_restart,
    "leave": _drain_and_restart,
    "outage": _interrupt_log,
    "append": _lose_appends,
    "midappend": _crash_during_append,
    "answer": _lose_answers,
}


def _inject_failures(
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


# -- campaign ----------------------------------------------------------------


def _send_all(
    site: RunningSite,
    scheme: KeyScheme,
    requests: int,
    rate: float,
    received: ReceivedOutcomes,
) -> None:
    numbers = iter(range(requests))
    lock = threading.Lock()
    began = time.monotonic()

    def send_next() -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            _book_seat(site, scheme, number, received)

    threads = [threading.Thread(target=send_next) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _evaluate(received: ReceivedOutcomes, runs: dict[str, int]) -> dict[str, object]:
    counts = Counter(
        outcome for outcomes in received.outcomes.values() for outcome in outcomes
    )
    doubled = sum(1 for name in received.outcomes if runs.get(name, 0) > 1)
    false_not_run = sum(
        1
        for name, outcomes in received.outcomes.items()
        if "not_run" in outcomes and runs.get(name, 0) > 0
    )
    answered_without_run = sum(
        1
        for name, outcomes in received.outcomes.items()
        if "answered" in outcomes and runs.get(name, 0) == 0
    )
    requested = sum(counts.values())
    in_time = sum(1 for seconds in received.seconds if seconds <= IN_TIME_S)
    ordered = sorted(received.seconds) or [0.0]
    return {
        "bookings": len(received.outcomes),
        "asked": requested,
        "words": dict(counts),
        "doubled": doubled,
        "false_not_run": false_not_run,
        "answered_without_run": answered_without_run,
        "answered_share": round(counts["answered"] / requested, 4),
        "in_time_share": round(in_time / requested, 4),
        "median_ms": round(1000 * ordered[len(ordered) // 2], 1),
        "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1),
    }


def run(
    scheme: KeyScheme, scenario: str, requests: int, rate: float, seed: int
) -> dict[str, object]:
    """Run one campaign and return its figures."""
    received, stop = ReceivedOutcomes(), threading.Event()
    with run_site(
        small_site(nodes=NODES, engines=1, services=DESKS), settings=SETTINGS
    ) as site:
        appends = site.get(site.platform["log"], "/statistics")
        injector = threading.Thread(
            target=_inject_failures, args=(site, scenario, seed, stop)
        )
        injector.start()
        began = time.monotonic()
        _send_all(site, scheme, requests, rate, received)
        elapsed = time.monotonic() - began
        stop.set()
        injector.join()
        site.faults("log")
        time.sleep(DEADLINE_S)
        figures = _evaluate(received, site.runs())
        after = site.get(site.platform["log"], "/statistics")
    figures["seconds"] = round(elapsed, 1)
    figures["appends"] = after["appends"] - appends["appends"]
    return {"scheme": scheme.value, "scenario": scenario, "seed": seed, **figures}


def main() -> int:
    """Run a campaign; return 1 if a booking ran twice or a "not run" was false."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scheme", choices=[s.value for s in KeyScheme], required=True)
    scenarios = ["none", "mix", "outage60", *FAILURES]
    parser.add_argument("--scenario", choices=scenarios, required=True)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    figures = run(
        KeyScheme(options.scheme),
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
