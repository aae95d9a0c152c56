"""Choose the endpoint that runs a request.

Notes
-----
Among the endpoints that are predicted to meet the class's target for the first
token, the cheapest are kept, and of two drawn at random the faster one is taken.
The draw matters because every node sees the same old load reports: without it all
nodes would send to the one endpoint that looked idle. A prompt whose head was sent
to an endpoint before prefers that endpoint as long as it is good, since the engine
has the head in its cache.

References
----------
M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems, 2001.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from poplarrelay.identifiers import DomainId, EndpointId
from poplarrelay.settings import RoutingPolicy
from poplarrelay.systems.baselines import BASELINES
from poplarrelay.tables.endpoints import (
    Endpoint,
    EndpointKind,
    EndpointState,
    LoadReport,
)
from poplarrelay.tables.requests import Request, RequestClass, WorkKind

__all__ = ["Criteria", "EndpointChoice", "choose_endpoint", "predict_first_token"]

#: What is assumed of an endpoint that has not reported yet.
DEFAULT_REPORT = LoadReport(slots=4, prefill_tokens_per_s=2000.0, step_s=0.03)
#: Prices within this ratio of the lowest count as equal.
PRICE_TOLERANCE = 1.02
#: Requests per slot that may wait at an endpoint, by class.
QUEUE_PER_SLOT = {
    RequestClass.URGENT: 1.0,
    RequestClass.STANDARD: 0.5,
    RequestClass.PATIENT: 0.0,
}
#: Share of an endpoint's slots that stays free of teams over their fair share.
RESERVED_SHARE = 0.2
#: Seconds for which an engine is assumed to keep the head of a prompt.
PREFIX_MEMORY_S = 120.0
#: Seconds after which a report says nothing any more.
REPORT_MEMORY_S = 15.0


@dataclass(frozen=True, slots=True)
class Criteria:
    """What an endpoint must fulfil.

    Attributes
    ----------
    domains : frozenset of DomainId
        Failure domains of the team's deployment.
    avoided : frozenset of DomainId
        Failure domains under notice: used only if there is nothing else.
    tried : frozenset of EndpointId
        Endpoints that failed this request: used only if there is nothing else.
    now : float
        Monotonic time.
    exceeds_fair_share : bool
        Whether the team runs more than its fair share already: it then leaves a
        part of every endpoint free for the others.
    nodes : int
        Nodes that send to the same endpoints.
    policy : RoutingPolicy
        The design, or a baseline to measure it against.
    turn : int
        Requests sent so far, for the baseline that takes endpoints in turn.
    """

    domains: frozenset[DomainId]
    avoided: frozenset[DomainId]
    tried: frozenset[EndpointId]
    now: float
    exceeds_fair_share: bool = False
    nodes: int = 1
    policy: RoutingPolicy = RoutingPolicy.PREDICTED
    turn: int = 0


@dataclass(frozen=True, slots=True)
class EndpointChoice:
    """The endpoint chosen and why.

    Attributes
    ----------
    predicted_s : float
        Predicted time to the first token.
    cached : bool
        Whether the head of the prompt is assumed to be in its cache.
    candidates : int
        Endpoints that could have been taken.
    """

    endpoint: Endpoint
    predicted_s: float
    cached: bool
    candidates: int


def _kind(request: Request) -> EndpointKind:
    if request.work.kind is WorkKind.COMPLETION:
        return EndpointKind.ENGINE
    return EndpointKind.SERVICE


def _report(endpoint: Endpoint, now: float) -> LoadReport:
    reported_at = endpoint.reported_at
    if endpoint.report is None or reported_at is None:
        return DEFAULT_REPORT
    if now - reported_at > REPORT_MEMORY_S:
        return DEFAULT_REPORT
    return endpoint.report


def _has_prefix(endpoint: Endpoint, request: Request, now: float) -> bool:
    if not request.work.prefix:
        return False
    sent_at = endpoint.prefixes.get(f"{request.team}/{request.work.prefix}")
    return sent_at is not None and now - sent_at < PREFIX_MEMORY_S


def _change(endpoint: Endpoint) -> int:
    """Return by how many requests this node has changed the load since the report."""
    return sum(change.requests for change in endpoint.changes)


def _load(endpoint: Endpoint, report: LoadReport) -> int:
    """Return the requests there: as reported, and as changed since by this node."""
    reported = report.running + report.queued
    return max(reported + _change(endpoint), len(endpoint.sent), 0)


def predict_first_token(endpoint: Endpoint, request: Request, now: float) -> float:
    """Return the predicted seconds to the first token, or to a service's answer.

    Parameters
    ----------
    endpoint : Endpoint
        A candidate.
    request : Request
        The request that would be sent.
    now : float
        Monotonic time.

    Notes
    -----
    The load report is old, so what this node sent since is added. Waiting for a
    free slot, computing the prompt tokens ahead, and computing the request's own
    prompt tokens (less those assumed to be cached) follow each other.
    """
    report = _report(endpoint, now)
    load = _load(endpoint, report)
    waiting = max(0, load + 1 - report.slots)
    wait_s = waiting * endpoint.attempt_s / max(1, report.slots)
    if endpoint.kind is EndpointKind.SERVICE:
        return wait_s + endpoint.attempt_s
    since = sum(change.tokens for change in endpoint.changes)
    own = 0 if _has_prefix(endpoint, request, now) else request.work.prompt_tokens
    tokens = report.queued_tokens + since + own + request.tokens
    return wait_s + tokens / max(1.0, report.prefill_tokens_per_s) + report.step_s


def _open(endpoint: Endpoint, request: Request, criteria: Criteria) -> bool:
    """Return whether the endpoint takes one more request.

    Notes
    -----
    A team over its share could fill every slot and every engine's queue, and all
    others would wait behind it. So it leaves a part of the slots free, and counts
    what it added since the last report once for every node, since its callers come
    to all of them and none sees what the others send. A request in place of one
    that has ended adds nothing, so the endpoint stays in use between two reports.
    """
    report = _report(endpoint, criteria.now)
    load = _load(endpoint, report)
    if criteria.exceeds_fair_share:
        load += (criteria.nodes - 1) * max(0, _change(endpoint))
        return load < report.slots - _reserve(report)
    allowed = report.slots * (1.0 + QUEUE_PER_SLOT[request.request_class])
    return load < allowed


def _reserve(report: LoadReport) -> int:
    """Return the slots that stay free of teams over their share."""
    if report.slots == 1:
        return 0
    return max(1, round(RESERVED_SHARE * report.slots))


def _eligible(
    endpoints: list[Endpoint], request: Request, criteria: Criteria
) -> list[Endpoint]:
    kind = _kind(request)
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.kind is kind
        and endpoint.state is EndpointState.LIVE
        and endpoint.serves(request.work.name)
        and endpoint.domain in criteria.domains
        and endpoint.closed_until <= criteria.now
    ]


def _preferred(candidates: list[Endpoint], criteria: Criteria) -> list[Endpoint]:
    fresh = [e for e in candidates if e.id not in criteria.tried] or candidates
    return [e for e in fresh if e.domain not in criteria.avoided] or fresh


def choose_endpoint(
    endpoints: list[Endpoint], request: Request, criteria: Criteria, rng: Random
) -> EndpointChoice | None:
    """Return the endpoint for a request, None if none can take it now.

    Parameters
    ----------
    endpoints : list of Endpoint
        All endpoints.
    request : Request
        A request that may run.
    criteria : Criteria
        What the endpoint must fulfil.
    rng : random.Random
        Source of the random choices.
    """
    now = criteria.now
    eligible = _eligible(endpoints, request, criteria)
    candidates = [
        endpoint
        for endpoint in _preferred(eligible, criteria)
        if _open(endpoint, request, criteria)
    ]
    if not candidates:
        return None
    predicted = {e.id: predict_first_token(e, request, now) for e in candidates}
    if criteria.policy is not RoutingPolicy.PREDICTED:
        baseline = BASELINES[criteria.policy]
        taken = baseline(candidates, request, criteria.turn, rng)
        cached = _has_prefix(taken, request, now)
        return EndpointChoice(taken, predicted[taken.id], cached, len(candidates))
    target = request.first_token_s - (now - request.arrived)
    good = [e for e in candidates if predicted[e.id] <= target]
    pool = _cheapest(good) if good else candidates
    chosen = _with_prefix(good, request, now) or _draw(pool, predicted, rng)
    return EndpointChoice(
        chosen,
        predicted[chosen.id],
        _has_prefix(chosen, request, now),
        len(candidates),
    )


def _cheapest(good: list[Endpoint]) -> list[Endpoint]:
    lowest = min(endpoint.price for endpoint in good)
    return [e for e in good if e.price <= lowest * PRICE_TOLERANCE]


def _with_prefix(good: list[Endpoint], request: Request, now: float) -> Endpoint | None:
    holders = [e for e in good if _has_prefix(e, request, now)]
    if not holders:
        return None
    return min(holders, key=lambda e: (e.price, _load(e, _report(e, now)), e.id))


def _draw(
    pool: list[Endpoint], predicted: dict[EndpointId, float], rng: Random
) -> Endpoint:
    drawn = rng.sample(pool, min(2, len(pool)))
    return min(drawn, key=lambda e: predicted[e.id])
