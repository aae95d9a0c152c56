"""Check that no request is lost: read whole or run, and ended without an answer."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.testing.soak.ledger import (
    Disruption,
    Ending,
    Invariant,
    SentRequest,
    Violation,
)

__all__ = ["GRACE_S", "NodeStop", "check_lost", "check_stops"]

#: Seconds from the stop signal to the end of a process, as the nodes' settings say.
GRACE_S = 8.0
#: Seconds for which an unplanned disruption of a node excuses it.
CONTACT_S = 3.0
#: Seconds after the last byte of a request in which a close counts as crossing it.
LOSS_SLACK_S = 0.2
#: Seconds after the stop signal in which a request may be sent that is too long for the
#: rest of the grace time, and share of that time in which it may then be ended.
LATE_SENT_S, LAST_SHARE = 3.0, 1 / 6


@dataclass(slots=True)
class NodeStop:
    """Stop of a node by a signal.

    Attributes
    ----------
    at, ended_at : float
        Monotonic times of the first signal and of the end of the process.
    grace_s : float
        Grace time of the node in seconds.
    """

    node: str
    at: float
    ended_at: float = inf
    grace_s: float = GRACE_S


def check_stops(
    stops: Iterable[NodeStop], disruptions: Collection[Disruption]
) -> list[Violation]:
    """Return the stops that took longer than the grace time.

    A node that was disrupted without a plan meanwhile, such as paused, is excused.
    """
    violations = []
    for stop in stops:
        end = stop.at + stop.grace_s
        excused = any(
            d.name == stop.node
            and not d.planned
            and d.since < end
            and d.until > stop.at
            for d in disruptions
        )
        if stop.ended_at > end and not excused:
            detail = f"{stop.node} still runs after {stop.grace_s} s"
            violations.append(Violation(Invariant.STOPS_IN_TIME, detail))
    return violations


def check_lost(
    requests: Iterable[SentRequest],
    runners: Iterable[RunnerStandIn],
    read: Collection[str],
    stops: Collection[NodeStop],
    disruptions: Collection[Disruption],
) -> list[Violation]:
    """Return the requests that were lost without an excuse.

    Parameters
    ----------
    requests : iterable of SentRequest
        All requests of the run.
    runners : iterable of RunnerStandIn
        All runs of all endpoints, including endpoints that have left.
    read : collection of str
        Ids of the requests that nodes have logged.
    stops : collection of NodeStop
        Stops of nodes.
    disruptions : collection of Disruption
        Disruptions of nodes, and of links to endpoints.

    Notes
    -----
    A request is excused if its endpoint broke off or its link was disturbed, if its
    time was over, if its node was disrupted without a plan in or shortly before it, and
    if it was sent shortly after the stop signal and its endpoint was still at work near
    the end of the grace time.
    """
    received_by: dict[str, list[RunnerStandIn]] = {}
    for runner in runners:
        for received in runner.received:
            received_by.setdefault(received.attempt, []).append(runner)
    violations = []
    for sent in requests:
        if sent.ending is not Ending.CUT:
            continue
        endpoints = received_by.get(sent.request_id, [])
        waited_s = sent.ended_at - sent.body_sent_at
        if not endpoints and (sent.request_id not in read or waited_s < LOSS_SLACK_S):
            continue
        if sent.ended_at >= sent.sent_at + sent.timeout_s:
            continue
        if any(sent.request_id in runner.broken_off for runner in endpoints):
            continue
        names = {runner.endpoint for runner in endpoints}
        if _is_disrupted(sent, names, disruptions):
            continue
        node_stops = [stop for stop in stops if stop.node == sent.node]
        if endpoints and any(_is_excused_by(stop, sent) for stop in node_stops):
            continue
        violations.append(
            Violation(Invariant.NOTHING_LOST, _describe(sent, names, node_stops))
        )
    return violations


def _is_disrupted(
    sent: SentRequest, endpoints: set[str], disruptions: Collection[Disruption]
) -> bool:
    for each in disruptions:
        since_s = CONTACT_S if each.name == sent.node else 0.0
        concerned = each.name == sent.node or each.name in endpoints
        overlaps = each.since <= sent.ended_at and each.until >= sent.sent_at - since_s
        if concerned and overlaps and not each.planned:
            return True
    return False


def _is_excused_by(stop: NodeStop, sent: SentRequest) -> bool:
    begun = sent.sent_at <= stop.at + LATE_SENT_S
    return begun and sent.ended_at >= stop.at + stop.grace_s * (1 - LAST_SHARE)


def _describe(
    sent: SentRequest, endpoints: set[str], stops: Collection[NodeStop]
) -> str:
    detail = (
        f"{sent.request_id} ({sent.kind} at {sent.node}) passed on to "
        f"{sorted(endpoints)}, cut {sent.ended_at - sent.sent_at:.2f} s after it was "
        f"sent, its time {sent.timeout_s:.2f} s"
    )
    stop = max((s for s in stops if s.at <= sent.ended_at), key=_time, default=None)
    if stop is None:
        return detail
    sent_s, ended_s = sent.sent_at - stop.at, sent.ended_at - stop.at
    return f"{detail}; sent {sent_s:.2f} s and cut {ended_s:.2f} s after SIGTERM"


def _time(stop: NodeStop) -> float:
    return stop.at
