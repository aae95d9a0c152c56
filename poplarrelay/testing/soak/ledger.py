"""Checks of the invariants on the requests and duties of a soak run."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from poplarrelay.standins.users.cloud import AcceptedCall
from poplarrelay.standins.users.runner import ReceivedRequest, RunnerStandIn

__all__ = [
    "Ending",
    "Invariant",
    "SentRequest",
    "Violation",
    "check_duties",
    "check_requests",
    "count_endings",
]

#: HTTP statuses that state that a request has not run and will not run.
NOT_RUN = frozenset((408, 421, 429, 503))


class Invariant(Enum):
    """A property that must hold under all faults."""

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
class SentRequest:
    """A request as its caller sees it.

    Attributes
    ----------
    kind : str
        First part of the path.
    repeatable : bool
        Whether the request is allowed to run more than once.
    streams : bool
        Whether the response is a stream.
    body : bytes
        Body of the response.
    node_was_paused : bool
        Whether the node was paused while the request was open, so that the request
        could not end by its deadline.
    custom_body : bytes
        Request body to send instead of the request id; empty to send the id.
    """

    request_id: str
    node: str
    kind: str
    team: str
    repeatable: bool
    streams: bool
    ending: Ending | None = None
    status: int = 0
    body: bytes = b""
    node_was_paused: bool = False
    custom_body: bytes = b""

    @property
    def request_body(self) -> bytes:
        """Return the request body."""
        return self.custom_body or self.request_id.encode()


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that did not hold."""

    invariant: Invariant
    detail: str


def check_requests(
    requests: Iterable[SentRequest],
    runners: Iterable[RunnerStandIn],
    keys: Iterable[str],
) -> list[Violation]:
    """Return the violations of the invariants on requests.

    Parameters
    ----------
    requests : iterable of SentRequest
        All requests of the run.
    runners : iterable of RunnerStandIn
        All runs of all endpoints, including endpoints that have left.
    keys : iterable of str
        The callers' keys. They must not reach an endpoint.
    """
    runners = list(runners)
    ran_at: defaultdict[str, list[str]] = defaultdict(list)
    violations: list[Violation] = []
    by_id = {each.request_id: each for each in requests}
    secrets = list(keys)
    for runner in runners:
        for received in runner.received:
            violations += _check_received(received, by_id, secrets)
            if received.ran:
                ran_at[received.attempt].append(runner.endpoint)
    by_endpoint = {runner.endpoint: runner for runner in runners}
    for each in by_id.values():
        violations += _check_sent(each, ran_at[each.request_id], by_endpoint)
    return violations


def _check_received(
    received: ReceivedRequest, by_id: dict[str, SentRequest], keys: list[str]
) -> list[Violation]:
    sent = by_id.get(received.attempt)
    if sent is None:
        detail = f"{received.method} {received.target}: id {received.attempt!r}"
        return [Violation(Invariant.NOTHING_INVENTED, f"no caller sent {detail}")]
    violations = []
    team = received.headers.get("x-poplarrelay-tenant")
    if team != sent.team:
        detail = f"{sent.request_id} of team {sent.team} arrived as team {team}"
        violations.append(Violation(Invariant.NOTHING_INVENTED, detail))
    if received.body != sent.request_body or sent.kind not in received.target:
        detail = (
            f"{sent.request_id} arrived as {received.target} {received.body[:60]!r}"
        )
        violations.append(Violation(Invariant.NOTHING_INVENTED, detail))
    if any(key in value for key in keys for value in received.headers.values()):
        detail = f"{sent.request_id} was forwarded with a caller's key"
        violations.append(Violation(Invariant.NOTHING_INVENTED, detail))
    return violations


def _check_sent(
    sent: SentRequest, ran_at: list[str], runners: dict[str, RunnerStandIn]
) -> list[Violation]:
    violations = []
    name = f"{sent.request_id} ({sent.kind} at {sent.node})"
    if not sent.repeatable and len(ran_at) > 1:
        violations.append(Violation(Invariant.AT_MOST_ONCE, f"{name} ran at {ran_at}"))
    if not sent.repeatable and sent.status in NOT_RUN and ran_at:
        detail = f"{name} got {sent.status} and ran at {ran_at}"
        violations.append(Violation(Invariant.NOT_RUN_IS_TRUE, detail))
    if sent.ending is Ending.STILL_OPEN and not sent.node_was_paused:
        violations.append(Violation(Invariant.ENDS_IN_TIME, name))
    if sent.ending is Ending.ANSWERED and sent.status == 200:
        possible = [_possible_bodies(sent, runners[endpoint]) for endpoint in ran_at]
        if not any(sent.body in bodies for bodies in possible):
            detail = f"{name} got {sent.body[:80]!r}, ran at {ran_at}"
            violations.append(Violation(Invariant.OWN_WHOLE_ANSWER, detail))
    return violations


def _possible_bodies(sent: SentRequest, runner: RunnerStandIn) -> tuple[bytes, ...]:
    """Return the complete responses that an endpoint can send to a request."""
    plain = runner.body_of(sent.request_id)
    if not sent.streams:
        return (plain,)
    # A faulty endpoint can also answer a streaming request with a plain body.
    return plain, b"".join(runner.event_of(i) for i in range(1, runner.events + 1))


def check_duties(calls: Iterable[AcceptedCall]) -> list[Violation]:
    """Return the violations of the invariants on duties."""
    violations = []
    first_counts: dict[int, dict[str, int]] = {}
    holders: dict[tuple[str, int], str] = {}
    for call in calls:
        holder = holders.setdefault((call.subject, call.token), call.holder)
        if holder != call.holder:
            detail = (
                f"token {call.token} held by {holder} and {call.holder}: {call.subject}"
            )
            violations.append(Violation(Invariant.ONE_HOLDER, detail))
        if call.subject != "usage":
            continue
        window = call.value["windowId"]
        first = first_counts.setdefault(window, call.value["counts"])
        if first != call.value["counts"]:
            detail = f"window {window}: reported {first}, then {call.value['counts']}"
            violations.append(Violation(Invariant.ONE_REPORT, detail))
    return violations


def count_endings(requests: Iterable[SentRequest]) -> dict[str, int]:
    """Return the number of requests by HTTP status or by ending."""
    ends = Counter(
        f"{each.status}" if each.ending is Ending.ANSWERED else str(each.ending)
        for each in requests
    )
    return dict(sorted(ends.items()))
