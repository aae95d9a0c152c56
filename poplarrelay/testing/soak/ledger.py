"""Checks of the invariants on the requests and duties of a soak run."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

from poplarrelay.standins.users.cloud import AcceptedCall
from poplarrelay.standins.users.runner import (
    ReceivedRequest,
    RunnerStandIn,
    SentNotice,
)

__all__ = [
    "Ending",
    "Invariant",
    "Disruption",
    "SentRequest",
    "Violation",
    "check_duties",
    "check_notices",
    "check_requests",
    "check_stream",
    "count_endings",
]

#: Seconds after which a node sends no requests to an endpoint that has told it that it
#: leaves.
DEPARTURE_BOUND_S = 2.0
#: Requests of a node that may reach an endpoint in a pause that it has asked for, from
#: this many seconds after it has asked.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_APPLIED_S = 0.5
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
    LEFT_ALONE = "an endpoint that has told a node that it leaves gets none from it"
    PAUSE_KEPT = "an endpoint gets few requests of a node in a pause it has asked for"
    ONE_VERSION = "a stream has each event once, in order, of one software version"
    STREAMS_GO_ON = "streams go on after the loss of all nodes as new ones begin"
    SOUND_PROMPTS_GO_ON = "sound prompts are not refused beside a crashing part"
    LIMITS_IN_FORCE = "what the limits in force allow is not denied"
    NOTHING_LOST = "a request that ran or was read whole gets an answer"
    STOPS_IN_TIME = "a node that is stopped ends within its grace time"
    SERVES_AGAIN = "all nodes serve, by the newest configuration, after the faults"
    WITHIN_RESOURCES = "a node keeps the memory and descriptors of its host"


class Ending(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    CUT = "cut"
    ABANDONED = "abandoned by its caller"
    STREAMED = "answered, and checked by its caller"
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
    sent_at, ended_at : float
        Monotonic times at which the caller sent the request, and got its answer or lost
        the connection.
    body_sent_at : float
        Monotonic time at which the caller sent its last byte.
    timeout_s : float
        Seconds until its deadline or its route's time-out, whichever is first.
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
    sent_at: float = 0.0
    ended_at: float = 0.0
    body_sent_at: float = 0.0
    timeout_s: float = inf

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


@dataclass(frozen=True, slots=True)
class Disruption:
    """Time in which a node or a link was disrupted.

    Attributes
    ----------
    name : str
        Name of the node, or of the endpoint to which the link leads.
    since, until : float
        Monotonic times of its start and end.
    planned : bool
        Whether it is planned work on the node, which excuses no lost request.
    """

    name: str
    since: float
    until: float
    planned: bool = False


def check_notices(
    requests: Iterable[SentRequest],
    runners: Iterable[RunnerStandIn],
    disruptions: Collection[Disruption],
) -> list[Violation]:
    """Return the violations of what endpoints have told nodes about new requests.

    A node is excused if it, or its link to the endpoint, was disrupted since.
    """
    by_id = {each.request_id: each for each in requests}
    violations = []
    for runner in runners:
        for node in {sent.node for sent in by_id.values()}:
            arrivals = [
                received
                for received in runner.received
                if _node_of(received.attempt, by_id) == node
            ]
            notices = [
                notice
                for notice in runner.notices
                if _node_of(notice.attempt, by_id) == node
            ]
            excused = [d for d in disruptions if d.name in (node, runner.endpoint)]
            violations += _check_departure(runner, notices, arrivals, by_id, excused)
            violations += _check_pauses(runner, notices, arrivals, excused)
    return violations


def _node_of(request_id: str, by_id: dict[str, SentRequest]) -> str | None:
    sent = by_id.get(request_id)
    return None if sent is None else sent.node


def _disrupted(disruptions: Iterable[Disruption], since: float, until: float) -> bool:
    return any(d.since <= until and d.until >= since for d in disruptions)


def _check_departure(
    runner: RunnerStandIn,
    notices: Iterable[SentNotice],
    arrivals: Iterable[ReceivedRequest],
    by_id: dict[str, SentRequest],
    excused: Collection[Disruption],
) -> list[Violation]:
    answered = [by_id[notice.attempt] for notice in notices if notice.leaving]
    told_at = min(
        (sent.ended_at for sent in answered if sent.ending is Ending.ANSWERED),
        default=inf,
    )
    violations = []
    for received in arrivals:
        sent_at = by_id[received.attempt].sent_at
        if sent_at > told_at + DEPARTURE_BOUND_S and not _disrupted(
            excused, told_at, received.at
        ):
            detail = (
                f"{received.attempt} reached {runner.endpoint} "
                f"{sent_at - told_at:.2f} s after it had told the node"
            )
            violations.append(Violation(Invariant.LEFT_ALONE, detail))
    return violations


def _check_pauses(
    runner: RunnerStandIn,
    notices: Iterable[SentNotice],
    arrivals: Iterable[ReceivedRequest],
    excused: Collection[Disruption],
) -> list[Violation]:
    violations = []
    for notice in notices:
        try:
            end = notice.at + float(notice.pause or 0)
        except ValueError:
            continue
        since = notice.at + PAUSE_APPLIED_S
        late = [each for each in arrivals if since < each.at < end]
        if len(late) > MAX_REQUESTS_IN_PAUSE and not _disrupted(
            excused, notice.at, end
        ):
            detail = f"{len(late)} reached {runner.endpoint} in {notice.pause} s"
            violations.append(Violation(Invariant.PAUSE_KEPT, detail))
    return violations


def check_stream(stream: str, content: bytes, last: int) -> list[Violation]:
    """Return the violations of a stream, over all tries of its caller.

    Parameters
    ----------
    stream : str
        Id of the try that began it.
    content : bytes
        Complete events that the caller got.
    last : int
        Number of the last event of a whole stream, 0 if the stream is not complete.
    """
    events = [each for each in content.split(b"\n\n") if each]
    numbers = [int(event.partition(b"\n")[0].removeprefix(b"id: ")) for event in events]
    labels = {event.partition(b"token ")[2].partition(b" ")[2] for event in events}
    whole = not last or len(events) == last
    if len(labels) <= 1 and whole and numbers == list(range(1, len(events) + 1)):
        return []
    detail = f"{stream} has the events {numbers} of the versions {sorted(labels)}"
    return [Violation(Invariant.ONE_VERSION, detail)]


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
