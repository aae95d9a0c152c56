"""Which endpoint gets a request."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from heapq import nlargest
from random import Random
from statistics import median

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.http.pool import Address
from poplarrelay.identifiers import DomainId, EndpointId

__all__ = [
    "Choice",
    "SelectionCriteria",
    "answered_since",
    "choose_candidate",
    "choose_endpoint",
    "median_prefill_speed",
    "sample_candidates",
]

#: Prompt tokens that count like one request already at an engine: each request in its
#: batch makes every step of a prompt's reading a little longer.
TOKENS_PER_REQUEST = 500
#: Prompt tokens a second that an engine is taken to read while no first event of any
#: of its service's engines has shown it: the slower ones of today's large engines.
FIRST_SPEED = 45_000.0
#: Endpoints that rendezvous hashing names for a prompt's shared part. Only the first
#: is sure to hold it; the second is where all nodes look when that one is busy, so
#: the part is read again at one endpoint instead of anywhere.
HOMES = 2
#: Endpoints drawn at random besides. Nodes hear of each other's requests a second
#: late: when each of 61 nodes took the least loaded of all endpoints, the busiest one
#: got 13 times the requests of the least busy one in the same second.
DRAWN = 3
#: Smallest time assumed for a first answer, in seconds, so that an endpoint without
#: a measurement is not taken for infinitely fast.
LEAST_ANSWER_S = 0.005
#: Part of its reading that fetching a shared part from another engine takes.
FETCH_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """What matters of a request for the choice.

    Attributes
    ----------
    affinity_key : str or None
        Id of the longest shared part of its prompt.
    prompt_tokens, shared_tokens : int
        Length of its prompt, and of the parts that others may share.
    tried : collection of EndpointId
        Endpoints that it has been at.
    """

    affinity_key: str | None
    prompt_tokens: int
    shared_tokens: int
    tried: Collection[EndpointId]
    local_domain: DomainId

    @property
    def is_prompt(self) -> bool:
        """Return whether an engine has a prompt to read for it."""
        return self.prompt_tokens > 0 or self.affinity_key is not None


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint that was chosen, and by what.

    Attributes
    ----------
    fetch_from : tuple of str and int, or None
        Address of an engine that keeps more of the prompt's shared parts.
    unread_tokens : int
        What of its prompt the engine has to read.
    queue_s, prefill_s : float
        Seconds for which the engine reads other prompts first, and then this one.
    """

    endpoint: Endpoint
    reason: str
    fetch_from: Address | None = None
    unread_tokens: int = 0
    queue_s: float = 0.0
    prefill_s: float = 0.0


def _score(key: str, endpoint: EndpointId) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _cost(row: Endpoint, local_domain: DomainId) -> tuple[float, int, int]:
    """Return what makes an endpoint less welcome for a plain call.

    The time to the first answer grows with the requests there; among equals, one
    in the node's own failure domain saves bytes between domains.
    """
    pace = max(LEAST_ANSWER_S, row.health.first_answer_s)
    return (
        (row.load + 1) / max(1, row.slots) * pace,
        row.load,
        row.domain != local_domain,
    )


def median_prefill_speed(rows: Sequence[Endpoint]) -> float:
    """Return the prompt tokens a second that engines of a service read."""
    known = [row.prefill_speed for row in rows if row.prefill_speed > 0]
    return median(known) if known else FIRST_SPEED


def sample_candidates(
    rows: Sequence[Endpoint], criteria: SelectionCriteria, now: float, rng: Random
) -> list[Endpoint]:
    """Return the few engines among which a prompt's is chosen, its homes first.

    Notes
    -----
    Rendezvous hashing names the homes of a prompt's shared part: all nodes find the
    same ones without asking each other, and a home that is lost moves only its own
    prompts.
    """
    pool, _ = _usable(rows, criteria, now)
    key = criteria.affinity_key or ""
    homes = nlargest(HOMES, pool, key=lambda row: _score(key, row.endpoint))
    others = [row for row in pool if row not in homes]
    return [*homes, *rng.sample(others, min(DRAWN, len(others)))]


def choose_candidate(
    candidates: Sequence[Endpoint],
    criteria: SelectionCriteria,
    cached_tokens: Mapping[EndpointId, int],
    now: float,
    assume_affinity_cached: bool = True,
) -> Choice:
    """Choose the engine at which a prompt's first event is due first.

    Parameters
    ----------
    candidates : sequence of Endpoint
        Those that were drawn, the first home first.
    criteria : SelectionCriteria
        What matters of the request.
    cached_tokens : mapping of EndpointId to int
        Tokens of its shared parts that engines are known to keep.
    now : float
        Monotonic time.
    assume_affinity_cached : bool
        Whether the first home counts as keeping shared parts that nobody keeps.

    Notes
    -----
    It answers long prompts beside short ones: an engine reads them one after the
    other, and a prompt that goes where there is the least to read first is late by
    its own length at most. Where nobody is known to keep the shared part, its first
    home is taken for keeping it, so that it is read there and found again.

    A hot prompt outgrows what its home saves by the load that it brings, and goes to
    another engine, which fetches the shared part. The choice takes no account of
    the fetch, or all prompts would move away from what they share.
    """
    median_speed = median_prefill_speed(candidates)
    home = candidates[0]
    believed = dict(cached_tokens)
    if assume_affinity_cached and not any(cached_tokens.values()):
        believed = {home.endpoint: criteria.shared_tokens}

    def speed(row: Endpoint) -> float:
        return row.prefill_speed or median_speed

    def due_s(row: Endpoint) -> float:
        unread = criteria.prompt_tokens - believed.get(row.endpoint, 0)
        work = row.backlog(now, speed(row)) + unread + TOKENS_PER_REQUEST * row.load
        return work / speed(row)

    best = min(candidates, key=due_s)
    source = max(candidates, key=lambda row: believed.get(row.endpoint, 0))
    missing = believed.get(source.endpoint, 0) - believed.get(best.endpoint, 0)
    unread = criteria.prompt_tokens - cached_tokens.get(best.endpoint, 0)
    if missing > 0 and cached_tokens.get(source.endpoint, 0):
        unread -= round((1 - FETCH_SHARE) * missing)
    return Choice(
        best,
        "prefix home" if best is home else "first event due first",
        source.address if missing > 0 else None,
        unread,
        best.backlog(now, speed(best)) / speed(best),
        unread / speed(best),
    )


def answered_since(rows: Sequence[Endpoint], since: float) -> list[Endpoint]:
    """Return the endpoints whose own answers show that they have not left.

    Parameters
    ----------
    rows : sequence of Endpoint
        Those of the service that accept work, as far as this node knows.
    since : float
        Monotonic time of the oldest request whose answer counts.

    Notes
    -----
    For a node that can no longer tell how old its list is: any endpoint may have left
    meanwhile, but for those that have just answered.
    """
    return [row for row in rows if row.last_accepting_at >= since]


def choose_endpoint(
    rows: Sequence[Endpoint], criteria: SelectionCriteria, now: float, rng: Random
) -> Choice | None:
    """Choose among the endpoints that accept work; None if all are full.

    Parameters
    ----------
    rows : sequence of Endpoint
        Those of the service that accept work.
    criteria : SelectionCriteria
        What matters of the request.
    now : float
        Monotonic time.
    rng : random.Random
        Draws the pair of which the better is taken.

    Notes
    -----
    An endpoint that has failed lately is used only when no other is free: being
    wrong about a healthy one costs some load elsewhere, being wrong about a broken
    one costs the request.
    """
    if criteria.is_prompt:
        candidates = sample_candidates(rows, criteria, now, rng)
        return choose_candidate(candidates, criteria, {}, now) if candidates else None
    pool, sound = _usable(rows, criteria, now)
    if not pool:
        return None
    # The better of two drawn at random: all nodes read the same late news, and the
    # least loaded endpoint would be everyone's choice until the next news.
    pair = rng.sample(pool, 2) if len(pool) > 2 else pool
    best = min(pair, key=lambda row: _cost(row, criteria.local_domain))
    return Choice(best, "least load" if sound else "least load, avoided")


def _usable(
    rows: Sequence[Endpoint], criteria: SelectionCriteria, now: float
) -> tuple[list[Endpoint], bool]:
    """Return the endpoints with room, and whether any of those is sound."""
    fresh = [row for row in rows if row.endpoint not in criteria.tried and row.free]
    sound = [row for row in fresh if row.health.avoided_until <= now]
    return sound or fresh, bool(sound)
