"""Choose the endpoint that a request is sent to."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from heapq import nlargest
from random import Random
from statistics import mean, median

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.http.dialing import Address
from poplarrelay.identifiers import DomainId, EndpointId, SoftwareVersion

__all__ = [
    "Choice",
    "HasRoom",
    "SelectionCriteria",
    "answered_since",
    "assume_mean",
    "choose_candidate",
    "choose_endpoint",
    "median_prefill_speed",
    "sample_candidates",
]

#: Prompt tokens that have the same weight as one request running at an engine. Each
#: request in the engine's batch lengthens every step of a prefill.
TOKENS_PER_REQUEST = 500
#: Assumed prefill speed in tokens per second, used until first events of the service's
#: engines have shown the real one. It is the speed of the slower ones among current
#: large engines.
DEFAULT_PREFILL_SPEED = 45_000.0
#: Endpoints that rendezvous hashing picks for a prompt's shared part. Only the first
#: is sure to have the part cached. All nodes consider the same second one when the
#: first is busy, so the prefill of the part is repeated at one endpoint only.
AFFINITY_ENDPOINTS = 2
#: Additional candidates, drawn at random. Nodes receive the load of each other's
#: requests a second late: when each of 61 nodes took the least loaded of all
#: endpoints, the busiest endpoint got 13 times the requests of the least busy one in
#: the same second.
SAMPLE_SIZE = 3
#: Smallest assumed time to the first byte of an answer, in seconds. Without it, an
#: endpoint without a measurement would count as infinitely fast.
MIN_ANSWER_S = 0.005
#: Time to fetch a shared part from another engine, as a share of its prefill time.
FETCH_SHARE = 0.15


#: Returns whether a request can be sent to an endpoint at a monotonic time.
HasRoom = Callable[[Endpoint, float], bool]


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """Properties of a request that determine the choice of its endpoint.

    Attributes
    ----------
    affinity_key : str or None
        Id of the longest shared part of the prompt.
    prompt_tokens, shared_tokens : int
        Length of the prompt, and of the parts that other prompts can share.
    tried : collection of EndpointId
        Endpoints that the request has been sent to.
    local_domain : DomainId
        Failure domain of the choosing node.
    version : SoftwareVersion or None
        Version that has begun the stream, None for a request without events.
    """

    affinity_key: str | None
    prompt_tokens: int
    shared_tokens: int
    tried: Collection[EndpointId]
    local_domain: DomainId
    version: SoftwareVersion | None = None

    @property
    def is_prompt(self) -> bool:
        """Return whether the request has a prompt."""
        return self.prompt_tokens > 0 or self.affinity_key is not None


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen endpoint, with the reason and the forecast of the choice.

    Attributes
    ----------
    reason : str
        Rule that selected the endpoint, for the log.
    fetch_from : tuple of str and int, or None
        Address of an engine that has more of the prompt's shared parts cached.
    unread_tokens : int
        Uncached tokens of the prompt at the engine.
    queue_s, prefill_s : float
        Seconds that the engine needs for the queued prompts, and then for this one.
    queued_tokens : float
        Uncached tokens of the queued prompts.
    load : int
        Requests of all nodes at the endpoint.
    counted : bool
        Whether the endpoint's coordinator has counted the queued prompts.
    """

    endpoint: Endpoint
    reason: str
    fetch_from: Address | None = None
    unread_tokens: int = 0
    queue_s: float = 0.0
    prefill_s: float = 0.0
    queued_tokens: float = 0.0
    load: int = 0
    counted: bool = False


def _score(key: str, endpoint: EndpointId) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _cost(row: Endpoint, local_domain: DomainId) -> tuple[float, int, int]:
    """Return the cost of an endpoint for a request without a prompt; less is better.

    The time to the first answer grows with the number of requests at the endpoint.
    Among equal endpoints, one in the node's own failure domain saves traffic between
    domains.
    """
    answer_s = max(MIN_ANSWER_S, row.health.first_byte_s)
    return (
        (row.load + 1) / max(1, row.slots) * answer_s,
        row.load,
        row.domain != local_domain,
    )


def median_prefill_speed(rows: Sequence[Endpoint]) -> float:
    """Return the median prefill speed of a service's engines in tokens per second."""
    measured = [row.prefill_speed for row in rows if row.prefill_speed > 0]
    return median(measured) if measured else DEFAULT_PREFILL_SPEED


def sample_candidates(
    rows: Sequence[Endpoint],
    criteria: SelectionCriteria,
    now: float,
    rng: Random,
    has_room: HasRoom = Endpoint.has_room,
) -> list[Endpoint]:
    """Return a few candidate engines for a prompt, the affinity endpoints first.

    Notes
    -----
    Rendezvous hashing picks the affinity endpoints of a prompt's shared part. All
    nodes find the same ones without communication, and the loss of an endpoint moves
    only the prompts that have their affinity there.
    """
    pool, _ = _usable(rows, criteria, now, has_room)
    key = criteria.affinity_key or ""
    affinity_endpoints = nlargest(
        AFFINITY_ENDPOINTS, pool, key=lambda row: _score(key, row.endpoint)
    )
    others = [row for row in pool if row not in affinity_endpoints]
    return [*affinity_endpoints, *rng.sample(others, min(SAMPLE_SIZE, len(others)))]


def assume_mean(
    candidates: Sequence[Endpoint], counted: Collection[EndpointId], now: float
) -> None:
    """Assume the mean of the counted backlogs at the candidates without a count.

    Parameters
    ----------
    candidates : sequence of Endpoint
        The candidates for a prompt.
    counted : collection of EndpointId
        Those whose coordinators have replied.
    now : float
        Monotonic time.

    Notes
    -----
    Load: a coordinator is down or slow while many nodes send prompts. Its engines would
    look empty and get the prompts of all nodes. With the mean, they are chosen only for
    what they have cached.
    """
    reported = [r for r in candidates if r.endpoint in counted]
    if not reported:
        return
    tokens = round(mean(row.other_nodes_prefill_tokens for row in reported))
    for row in candidates:
        if row.endpoint not in counted:
            row.update_backlog(tokens, 0.0, now)


def choose_candidate(
    candidates: Sequence[Endpoint],
    criteria: SelectionCriteria,
    cached_tokens: Mapping[EndpointId, int],
    now: float,
    assume_affinity_cached: bool = True,
) -> Choice:
    """Choose the engine with the earliest forecast first event of a prompt.

    Parameters
    ----------
    candidates : sequence of Endpoint
        The candidates; the first one is the first affinity endpoint.
    criteria : SelectionCriteria
        Properties of the request.
    cached_tokens : mapping of EndpointId to int
        Cached tokens of the prompt's shared parts, by engine, as far as known.
    now : float
        Monotonic time.
    assume_affinity_cached : bool
        Whether the first affinity endpoint counts as having the shared parts cached
        if no engine is known to have them.

    Notes
    -----
    An engine processes long and short prompts one after the other. A prompt that is
    sent to the engine with the fewest tokens to process is delayed, compared with an
    even distribution of all tokens, by at most the time of its own prefill. If no
    engine is known to have the shared part cached, its first affinity endpoint counts
    as having it. The prompt is then processed there, and later prompts find the part
    in its cache.

    When many requests share a part, their load outweighs the prefill that the cache
    of the affinity endpoint saves. The next prompt is then sent to another engine,
    which fetches the shared part. The choice ignores that a fetch is possible;
    otherwise all prompts would move away from the engines that cache their parts.
    """
    median_speed = median_prefill_speed(candidates)
    affinity_endpoint = candidates[0]
    assumed_cached = dict(cached_tokens)
    if assume_affinity_cached and not any(cached_tokens.values()):
        assumed_cached = {affinity_endpoint.endpoint: criteria.shared_tokens}

    def speed(row: Endpoint) -> float:
        return row.prefill_speed or median_speed

    def first_event_s(row: Endpoint) -> float:
        uncached = criteria.prompt_tokens - assumed_cached.get(row.endpoint, 0)
        queue_s = row.backlog(now, speed(row)) / speed(row)
        tokens = uncached + TOKENS_PER_REQUEST * row.load
        return max(queue_s, row.slot_wait_s(now)) + tokens / speed(row)

    best = min(candidates, key=first_event_s)
    # Versions may store KV cache in different forms.
    same_version = [row for row in candidates if row.version == best.version]
    source = max(same_version, key=lambda row: assumed_cached.get(row.endpoint, 0))
    missing_tokens = assumed_cached.get(source.endpoint, 0) - assumed_cached.get(
        best.endpoint, 0
    )
    uncached = criteria.prompt_tokens - cached_tokens.get(best.endpoint, 0)
    if missing_tokens > 0 and cached_tokens.get(source.endpoint, 0):
        uncached -= round((1 - FETCH_SHARE) * missing_tokens)
    queued_tokens = best.backlog(now, speed(best))
    return Choice(
        best,
        "prefix home" if best is affinity_endpoint else "first event due first",
        source.address if missing_tokens > 0 else None,
        uncached,
        max(queued_tokens / speed(best), best.slot_wait_s(now)),
        uncached / speed(best),
        queued_tokens,
        best.load,
    )


def answered_since(rows: Sequence[Endpoint], since: float) -> list[Endpoint]:
    """Return the endpoints whose recent answers show that they still accept work.

    Parameters
    ----------
    rows : sequence of Endpoint
        Endpoints of the service that accept work by this node's list.
    since : float
        Monotonic time of the oldest request whose answer counts.

    Notes
    -----
    A node uses this when its list of endpoints is no longer within the age bound. Any
    endpoint may have left since then, except those that have just answered.
    """
    return [row for row in rows if row.last_accepting_at >= since]


def choose_endpoint(
    rows: Sequence[Endpoint],
    criteria: SelectionCriteria,
    now: float,
    rng: Random,
    has_room: HasRoom = Endpoint.has_room,
) -> Choice | None:
    """Choose among the endpoints that accept work; return None if all are full.

    Parameters
    ----------
    rows : sequence of Endpoint
        Endpoints of the service that accept work.
    criteria : SelectionCriteria
        Properties of the request.
    now : float
        Monotonic time.
    rng : random.Random
        Source of the random candidates.

    Notes
    -----
    An endpoint that has failed recently is used only if no other one is free. If a
    healthy endpoint is avoided by mistake, the others only get more load. If a broken
    one is used by mistake, the request fails.
    """
    if criteria.is_prompt:
        candidates = sample_candidates(rows, criteria, now, rng)
        return choose_candidate(candidates, criteria, {}, now) if candidates else None
    pool, healthy = _usable(rows, criteria, now, has_room)
    if not pool:
        return None
    # Choose the better of two random endpoints. All nodes have the same outdated loads;
    # otherwise all would choose the same least loaded endpoint until the next update.
    pair = rng.sample(pool, 2) if len(pool) > 2 else pool
    best = min(pair, key=lambda row: _cost(row, criteria.local_domain))
    return Choice(best, "least load" if healthy else "least load, avoided")


def _usable(
    rows: Sequence[Endpoint],
    criteria: SelectionCriteria,
    now: float,
    has_room: HasRoom,
) -> tuple[list[Endpoint], bool]:
    """Return the free endpoints that have not been tried, and whether they are healthy.

    Endpoints that are avoided for failures are left out unless all are avoided.
    """
    untried = [
        row for row in rows if row.endpoint not in criteria.tried and has_room(row, now)
    ]
    healthy = [row for row in untried if row.health.avoided_until <= now]
    return healthy or untried, bool(healthy)
