"""Which endpoint gets a request."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from heapq import nlargest
from random import Random

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.http.pool import Address
from poplarrelay.identifiers import DomainId, EndpointId

__all__ = ["Choice", "Wish", "choose_endpoint", "vouched_rows"]

#: Prompt tokens that count like one request already at an engine. An engine reads
#: about 90 tokens in a millisecond, and each request in its batch makes every step
#: longer by about a tenth of a millisecond over some fifty steps.
TOKENS_PER_REQUEST = 500
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
#: How many times its service's usual time to the first answer an endpoint may take
#: before its load counts more.
SLOW_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class Wish:
    """What matters of a request for the choice.

    Attributes
    ----------
    affinity_key : str or None
        Id of the longest shared part of its prompt.
    prompt_tokens, shared_tokens : int
        Length of its prompt, and of the parts that others share.
    tried : collection of EndpointId
        Endpoints that it has been at.
    """

    affinity_key: str | None
    prompt_tokens: int
    shared_tokens: int
    tried: Collection[EndpointId]
    near: DomainId


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint that was chosen, and by what.

    Attributes
    ----------
    fetch_from : tuple of str and int, or None
        Address of the home of the prompt's shared part, where that is another one.
    """

    endpoint: Endpoint
    reason: str
    fetch_from: Address | None = None


def _score(key: str, endpoint: EndpointId) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _cost(row: Endpoint, near: DomainId) -> tuple[float, int, int]:
    """Return what makes an endpoint less welcome for a plain call.

    The time to the first answer grows with the requests there; among equals, one
    in the node's own failure domain saves bytes between domains.
    """
    pace = max(LEAST_ANSWER_S, row.health.first_answer_s)
    return (row.load + 1) / max(1, row.slots) * pace, row.load, row.domain != near


def _work_before_first_event(row: Endpoint, unread: int, usual_s: float) -> float:
    """Return the tokens' worth of work before a prompt's first event.

    Prompts in line there, the part of this prompt that it has to read, and the
    batch that slows both. An endpoint that has been slower than its service's
    usual weighs more.
    """
    work = row.prefill_tokens + unread + TOKENS_PER_REQUEST * row.load
    pace = row.health.first_answer_s / usual_s if usual_s > 0 else 1.0
    return work * max(1.0, pace / SLOW_FACTOR)


def _usual_first_answer(rows: Sequence[Endpoint]) -> float:
    """Return the median time to the first answer, 0 before any is known."""
    known = [r.health.first_answer_s for r in rows if r.health.first_answer_s > 0]
    return sorted(known)[len(known) // 2] if known else 0.0


def _choose_for_prompt(rows: Sequence[Endpoint], wish: Wish, rng: Random) -> Choice:
    """Choose the endpoint at which a prompt's first event is due first.

    Notes
    -----
    Rendezvous hashing names the homes of a prompt's shared part: all nodes find the
    same ones without asking each other, and a home that is lost moves only its own
    prompts. A home holds the shared part already; a hot prompt outgrows that saving
    by the load that it brings, and goes to the best of a few drawn at random, which
    fetches the shared part from the home if that keeps it. The choice takes no account
    of the fetch: with a third of the length counted where it is fetched, less than
    half of the prompts came to their homes, and as much was read again as without.
    """
    key = wish.affinity_key or ""
    homes = nlargest(HOMES, rows, key=lambda row: _score(key, row.endpoint))
    others = [row for row in rows if row not in homes]
    drawn = rng.sample(others, min(DRAWN, len(others)))
    usual_s = _usual_first_answer(rows)

    def work(row: Endpoint) -> float:
        shared = wish.shared_tokens if row is homes[0] else 0
        return _work_before_first_event(row, wish.prompt_tokens - shared, usual_s)

    best = min([*homes, *drawn], key=work)
    if best is homes[0]:
        return Choice(best, "prefix home")
    fetch_from = homes[0].address if wish.shared_tokens else None
    return Choice(best, "less work than at its home", fetch_from)


def vouched_rows(rows: Sequence[Endpoint], since: float) -> list[Endpoint]:
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
    return [row for row in rows if row.vouched_at >= since]


def choose_endpoint(
    rows: Sequence[Endpoint], wish: Wish, now: float, rng: Random
) -> Choice | None:
    """Choose among the endpoints that accept work; None if all are full.

    Parameters
    ----------
    rows : sequence of Endpoint
        Those of the service that accept work.
    wish : Wish
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
    fresh = [row for row in rows if row.endpoint not in wish.tried and row.free]
    if not fresh:
        return None
    sound = [row for row in fresh if row.health.avoided_until <= now]
    pool = sound or fresh
    if wish.prompt_tokens or wish.affinity_key is not None:
        return _choose_for_prompt(pool, wish, rng)
    # The better of two drawn at random: all nodes read the same late news, and the
    # least loaded endpoint would be everyone's choice until the next news.
    pair = rng.sample(pool, 2) if len(pool) > 2 else pool
    best = min(pair, key=lambda row: _cost(row, wish.near))
    return Choice(best, "least load" if sound else "least load, avoided")
