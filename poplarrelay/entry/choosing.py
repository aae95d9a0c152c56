"""Which endpoint gets a request."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import DomainId, EndpointId

__all__ = ["Choice", "Wish", "choose_endpoint"]

#: Load above the mean, as a factor, up to which a prompt stays at the endpoint that
#: probably has its prefix. With 1.25 the home of a prompt that gets a quarter of all
#: requests spills the rest to its second choice instead of queueing them.
HOME_LOAD_FACTOR = 1.25
#: Requests above that, so that an idle service does not spill at one request.
HOME_LOAD_EXTRA = 3
#: Smallest time assumed for a first answer, in seconds, so that an endpoint without
#: a measurement is not taken for infinitely fast.
LEAST_ANSWER_S = 0.005


@dataclass(frozen=True, slots=True)
class Wish:
    """What matters of a request for the choice.

    Attributes
    ----------
    affinity_key : str or None
        Id of the longest shared part of its prompt.
    tried : collection of EndpointId
        Endpoints that it has been at.
    """

    affinity_key: str | None
    tried: Collection[EndpointId]
    near: DomainId


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint that was chosen, and by what."""

    endpoint: Endpoint
    reason: str


def _score(key: str, endpoint: EndpointId) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _cost(row: Endpoint, near: DomainId) -> tuple[float, int, int]:
    """Return what makes an endpoint less welcome, the smallest first.

    The time to the first answer grows with the requests there; among equals, one
    in the node's own failure domain saves bytes between domains.
    """
    pace = max(LEAST_ANSWER_S, row.health.first_answer_s)
    return (row.load + 1) / max(1, row.slots) * pace, row.load, row.domain != near


def _home(rows: Sequence[Endpoint], key: str) -> Endpoint | None:
    """Return the endpoint that keeps a prompt's prefix, unless it is overloaded.

    Notes
    -----
    Rendezvous hashing with bounded load: all nodes find the same home without
    asking each other, and a home that is lost moves only its own prompts. It
    answers hot prompts: their excess goes to the next choice, which then holds the
    prefix as well.
    """
    mean = sum(row.load for row in rows) / len(rows)
    bound = HOME_LOAD_FACTOR * mean + HOME_LOAD_EXTRA
    ranked = sorted(rows, key=lambda row: _score(key, row.endpoint), reverse=True)
    for row in ranked:
        if row.load < bound and row.free:
            return row
    return None


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
    if wish.affinity_key is not None:
        home = _home(pool, wish.affinity_key)
        if home is not None:
            return Choice(home, "prefix home" if sound else "prefix home, avoided")
    # The better of two drawn at random: all nodes read the same late news, and the
    # least loaded endpoint would be everyone's choice until the next news.
    pair = rng.sample(pool, 2) if len(pool) > 2 else pool
    best = min(pair, key=lambda row: _cost(row, wish.near))
    return Choice(best, "least load" if sound else "least load, avoided")
