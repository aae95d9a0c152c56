"""What callers sent and got, what endpoints ran, and the promises between the two."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from poplarrelay.standins.users.cloud import AcceptedCall
from poplarrelay.standins.users.runner import ReceivedRequest, RunnerStandIn

__all__ = [
    "Asked",
    "Ending",
    "Invariant",
    "Violation",
    "check_duties",
    "check_requests",
    "summary",
]

#: Statuses that say that a request has not run and will not.
NOT_RUN = frozenset((408, 421, 429, 503))


class Invariant(Enum):
    """What must hold whatever fails."""

    AT_MOST_ONCE = "work that must not be repeated runs at most once"
    NOT_RUN_IS_TRUE = "what is said not to have run has not run"
    OWN_WHOLE_ANSWER = "a success is the whole answer of the caller's own request"
    NOTHING_INVENTED = "endpoints get what callers sent, under their team's name"
    ENDS_IN_TIME = "every request ends by its deadline"
    ONE_REPORT = "a window of usage is reported with one count"
    ONE_HOLDER = "a fencing token has one holder"
    SERVES_AGAIN = "all nodes serve, by the newest configuration, after the faults"


class Ending(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    CUT = "cut"
    REFUSED_CONNECTION = "no connection"
    STILL_OPEN = "still open after its deadline"


@dataclass(slots=True)
class Asked:
    """A request as its caller sees it.

    Attributes
    ----------
    kind : str
        First part of its path.
    repeatable : bool
        Whether it may run more than once.
    disturbed : bool
        Whether its node was paused meanwhile, so that nothing can end in time.
    custom_body : bytes
        Request body to send instead of the request's id; empty to send the id.
    """

    request: str
    node: str
    kind: str
    team: str
    repeatable: bool
    streams: bool
    ending: Ending | None = None
    status: int = 0
    body: bytes = b""
    disturbed: bool = False
    custom_body: bytes = b""

    @property
    def request_body(self) -> bytes:
        """Return the request body."""
        return self.custom_body or self.request.encode()


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold."""

    invariant: Invariant
    what: str


def check_requests(
    asked: Iterable[Asked], runners: Iterable[RunnerStandIn], keys: Iterable[str]
) -> list[Violation]:
    """Return the promises on requests that did not hold.

    Parameters
    ----------
    asked : iterable of Asked
        All requests of the run.
    runners : iterable of RunnerStandIn
        All endpoints, those that have left included.
    keys : iterable of str
        The callers' keys, which no endpoint may see.
    """
    runners = list(runners)
    ran: defaultdict[str, list[str]] = defaultdict(list)
    found: list[Violation] = []
    by_request = {each.request: each for each in asked}
    secrets = list(keys)
    for runner in runners:
        for received in runner.received:
            found += _check_received(received, by_request, secrets)
            if received.ran:
                ran[received.attempt].append(runner.endpoint)
    by_endpoint = {runner.endpoint: runner for runner in runners}
    for each in by_request.values():
        found += _check_asked(each, ran[each.request], by_endpoint)
    return found


def _check_received(
    received: ReceivedRequest, asked: dict[str, Asked], keys: list[str]
) -> list[Violation]:
    sent = asked.get(received.attempt)
    if sent is None:
        what = f"{received.method} {received.target}: id {received.attempt!r}"
        return [Violation(Invariant.NOTHING_INVENTED, f"nobody sent {what}")]
    found = []
    team = received.headers.get("x-poplarrelay-tenant")
    if team != sent.team:
        what = f"{sent.request} of {sent.team} came as {team}"
        found.append(Violation(Invariant.NOTHING_INVENTED, what))
    if received.body != sent.request_body or sent.kind not in received.target:
        what = f"{sent.request} came as {received.target} {received.body[:60]!r}"
        found.append(Violation(Invariant.NOTHING_INVENTED, what))
    if any(key in value for key in keys for value in received.headers.values()):
        what = f"{sent.request} was passed on with a key"
        found.append(Violation(Invariant.NOTHING_INVENTED, what))
    return found


def _check_asked(
    asked: Asked, ran: list[str], runners: dict[str, RunnerStandIn]
) -> list[Violation]:
    found = []
    name = f"{asked.request} ({asked.kind} at {asked.node})"
    if not asked.repeatable and len(ran) > 1:
        found.append(Violation(Invariant.AT_MOST_ONCE, f"{name} ran at {ran}"))
    if not asked.repeatable and asked.status in NOT_RUN and ran:
        what = f"{name} got {asked.status} and ran at {ran}"
        found.append(Violation(Invariant.NOT_RUN_IS_TRUE, what))
    if asked.ending is Ending.STILL_OPEN and not asked.disturbed:
        found.append(Violation(Invariant.ENDS_IN_TIME, name))
    if asked.ending is Ending.ANSWERED and asked.status == 200:
        possible = [_answers(asked, runners[endpoint]) for endpoint in ran]
        if not any(asked.body in bodies for bodies in possible):
            what = f"{name} got {asked.body[:80]!r}, ran at {ran}"
            found.append(Violation(Invariant.OWN_WHOLE_ANSWER, what))
    return found


def _answers(asked: Asked, runner: RunnerStandIn) -> tuple[bytes, ...]:
    """Return the whole answers that an endpoint may have made of a request."""
    plain = runner.body_of(asked.request)
    if not asked.streams:
        return (plain,)
    # An endpoint that misbehaves answers a stream's request in one piece as well.
    return plain, b"".join(runner.event_of(i) for i in range(1, runner.events + 1))


def check_duties(calls: Iterable[AcceptedCall]) -> list[Violation]:
    """Return the promises on duties that did not hold."""
    found = []
    counts: dict[int, dict[str, int]] = {}
    holders: dict[tuple[str, int], str] = {}
    for call in calls:
        holder = holders.setdefault((call.subject, call.token), call.holder)
        if holder != call.holder:
            what = f"token {call.token} of {holder} and {call.holder}: {call.subject}"
            found.append(Violation(Invariant.ONE_HOLDER, what))
        if call.subject != "usage":
            continue
        window = call.value["windowId"]
        known = counts.setdefault(window, call.value["counts"])
        if known != call.value["counts"]:
            what = f"window {window}: {known}, then {call.value['counts']}"
            found.append(Violation(Invariant.ONE_REPORT, what))
    return found


def summary(asked: Iterable[Asked]) -> dict[str, int]:
    """Return how many requests ended in which way."""
    ends = Counter(
        f"{each.status}" if each.ending is Ending.ANSWERED else str(each.ending)
        for each in asked
    )
    return dict(sorted(ends.items()))
