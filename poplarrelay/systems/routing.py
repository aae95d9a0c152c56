"""Choose the endpoint that runs a request.

Notes
-----
The candidates are the cheapest endpoints that are predicted to meet the class's target
for the first token. Two of them are sampled at random, and the faster one is chosen.
The sampling is necessary since every node sees the same old load reports. Without it
all nodes would send to the one endpoint that looked idle. If the prefix of a prompt
was sent to an endpoint before, that endpoint is preferred while it meets the target,
since its engine has the prefix in its cache.

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

#: Load report assumed for an endpoint without a recent report.
DEFAULT_REPORT = LoadReport(slots=4, prefill_tokens_per_s=2000.0, step_s=0.03)
#: Prices within this ratio of the lowest count as equal.
PRICE_TOLERANCE = 1.02
#: Requests per slot that can wait at an endpoint, by class.
QUEUE_PER_SLOT = {
    RequestClass.URGENT: 1.0,
    RequestClass.STANDARD: 0.5,
    RequestClass.PATIENT: 0.0,
}
#: Fraction of an endpoint's slots reserved for teams within their fair share.
RESERVED_SHARE = 0.2
#: Seconds for which an engine is assumed to keep a prompt's prefix in its cache.
PREFIX_MEMORY_S = 120.0
#: Seconds after which a load report is no longer used.
REPORT_MEMORY_S = 15.0


@dataclass(frozen=True, slots=True)
class Criteria:
    """Criteria by which an endpoint is chosen for a request.

    Attributes
    ----------
    domains : frozenset of DomainId
        Failure domains of the team's deployment.
    avoided : frozenset of DomainId
        Failure domains under notice; used only if no other endpoint is eligible.
    tried : frozenset of EndpointId
        Endpoints that failed this request; used only if no other is eligible.
    now : float
        Monotonic time.
    exceeds_fair_share : bool
        Whether the team has used up its fair share. It then cannot use the reserved
        slots of an endpoint.
    nodes : int
        Number of nodes that send to the same endpoints.
    policy : RoutingPolicy
        The default policy, or a baseline for measurements.
    turn : int
        Requests sent so far, for the round-robin baseline.
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
    """The chosen endpoint and the reasons for the choice.

    Attributes
    ----------
    predicted_s : float
        Predicted seconds to the first token.
    cached : bool
        Whether the prompt's prefix is assumed to be in the endpoint's cache.
    candidates : int
        Number of endpoints that could take the request.
    """

    endpoint: Endpoint
    predicted_s: float
    cached: bool
    candidates: int


def _kind(request: Request) -> EndpointKind:
    if request.work.kind is WorkKind.COMPLETION:
        return EndpointKind.ENGINE
    return EndpointKind.SERVICE


def _usable_report(endpoint: Endpoint, now: float) -> LoadReport:
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


def _load_change(endpoint: Endpoint) -> int:
    """Return the requests that this node added since the report, less those ended."""
    return sum(change.requests for change in endpoint.changes)


def _load(endpoint: Endpoint, report: LoadReport) -> int:
    """Return the endpoint's reported load, corrected by this node's later changes."""
    reported = report.running + report.queued
    return max(reported + _load_change(endpoint), len(endpoint.running_attempts), 0)


def predict_first_token(endpoint: Endpoint, request: Request, now: float) -> float:
    """Return the predicted seconds to the first token, or to a service's answer.

    Parameters
    ----------
    endpoint : Endpoint
        An endpoint that could take the request.
    request : Request
        The request to send.
    now : float
        Monotonic time.

    Notes
    -----
    The load report is old, so the requests that this node sent after it are added. The
    time for an engine is the sum of the wait for a free slot, the prefill of the prompt
    tokens queued ahead, and the prefill of the request's own prompt tokens. A prompt
    whose prefix is assumed to be cached counts as fully cached.
    """
    report = _usable_report(endpoint, now)
    load = _load(endpoint, report)
    waiting = max(0, load + 1 - report.slots)
    wait_s = waiting * endpoint.attempt_s / max(1, report.slots)
    if endpoint.kind is EndpointKind.SERVICE:
        return wait_s + endpoint.attempt_s
    sent_tokens = sum(change.tokens for change in endpoint.changes)
    uncached_tokens = (
        0 if _has_prefix(endpoint, request, now) else request.work.prompt_tokens
    )
    tokens = report.queued_tokens + sent_tokens + uncached_tokens + request.tokens
    return wait_s + tokens / max(1.0, report.prefill_tokens_per_s) + report.step_s


def _has_capacity(endpoint: Endpoint, request: Request, criteria: Criteria) -> bool:
    """Return whether the endpoint can take one more request.

    Notes
    -----
    A team over its fair share could fill all slots and queues, and requests of other
    teams would wait behind its requests. So the reserved slots are not available to it.
    Its callers use all nodes, and no node sees the requests that other nodes have sent
    since the last report. So the load that this node added since then counts once for
    every node. A request that replaces one that has ended adds no load, so the endpoint
    stays in use between two reports.
    """
    report = _usable_report(endpoint, criteria.now)
    load = _load(endpoint, report)
    if criteria.exceeds_fair_share:
        load += (criteria.nodes - 1) * max(0, _load_change(endpoint))
        return load < report.slots - _reserved_slots(report)
    allowed = report.slots * (1.0 + QUEUE_PER_SLOT[request.request_class])
    return load < allowed


def _reserved_slots(report: LoadReport) -> int:
    """Return the number of slots that teams over their fair share cannot use."""
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
    untried = [e for e in candidates if e.id not in criteria.tried] or candidates
    return [e for e in untried if e.domain not in criteria.avoided] or untried


def choose_endpoint(
    endpoints: list[Endpoint], request: Request, criteria: Criteria, rng: Random
) -> EndpointChoice | None:
    """Return the endpoint for a request, None if no endpoint can take it now.

    Parameters
    ----------
    endpoints : list of Endpoint
        All endpoints.
    request : Request
        A request that is ready to run.
    criteria : Criteria
        Criteria for the choice.
    rng : random.Random
        Random number generator.
    """
    now = criteria.now
    eligible = _eligible(endpoints, request, criteria)
    candidates = [
        endpoint
        for endpoint in _preferred(eligible, criteria)
        if _has_capacity(endpoint, request, criteria)
    ]
    if not candidates:
        return None
    predicted = {e.id: predict_first_token(e, request, now) for e in candidates}
    if criteria.policy is not RoutingPolicy.PREDICTED:
        baseline = BASELINES[criteria.policy]
        selected = baseline(candidates, request, criteria.turn, rng)
        cached = _has_prefix(selected, request, now)
        return EndpointChoice(selected, predicted[selected.id], cached, len(candidates))
    target = request.first_token_s - (now - request.arrived)
    in_time = [e for e in candidates if predicted[e.id] <= target]
    pool = _cheapest(in_time) if in_time else candidates
    chosen = _best_with_prefix(in_time, request, now) or _fastest_of_two(
        pool, predicted, rng
    )
    return EndpointChoice(
        chosen,
        predicted[chosen.id],
        _has_prefix(chosen, request, now),
        len(candidates),
    )


def _cheapest(in_time: list[Endpoint]) -> list[Endpoint]:
    lowest = min(endpoint.price for endpoint in in_time)
    return [e for e in in_time if e.price <= lowest * PRICE_TOLERANCE]


def _best_with_prefix(
    in_time: list[Endpoint], request: Request, now: float
) -> Endpoint | None:
    holders = [e for e in in_time if _has_prefix(e, request, now)]
    if not holders:
        return None
    return min(holders, key=lambda e: (e.price, _load(e, _usable_report(e, now)), e.id))


def _fastest_of_two(
    pool: list[Endpoint], predicted: dict[EndpointId, float], rng: Random
) -> Endpoint:
    drawn = rng.sample(pool, min(2, len(pool)))
    return min(drawn, key=lambda e: predicted[e.id])
