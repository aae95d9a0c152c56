"""Traffic of callers at nodes of which some have lost their paths to endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from time import monotonic

from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import CALLS, STREAMS, EntrySite

__all__ = [
    "KINDS",
    "Sent",
    "add_endpoints",
    "send_requests",
    "served_share",
    "unserved",
]

#: Paths of an idempotent call, a call that must not be repeated, a prompt whose stream
#: can be resumed, and one whose stream cannot.
KINDS = ("/look/x", "/book/x", "/draft/x", "/brief/x")


@dataclass(frozen=True, slots=True)
class Sent:
    """One request of a caller; `status` is None if the connection broke."""

    node: str
    kind: str
    at: float
    took_s: float
    status: int | None


async def add_endpoints(site: EntrySite, per_service: int = 3) -> list[str]:
    """Start endpoints of both services, and return their names once nodes list them."""
    names = []
    for service in (CALLS, STREAMS):
        for number in range(per_service):
            names.append(f"{service}-{number}")
            await site.add_runner(names[-1], service)
    for node in site.nodes:
        await site.ready(node, endpoints=len(names))
    return names


async def _send(site: EntrySite, node: str, kind: str) -> Sent:
    at = monotonic()
    status: int | None
    headers = {"X_Poplarrelay_Deadline_Ms": "1500"}
    if kind in KINDS[2:]:
        headers["X_Poplarrelay_Token_Usage"] = "100,10"
    try:
        status = (await site.call(kind, node, b"", **headers)).status
    except (ExchangeFailed, TimeoutError):
        status = None
    return Sent(node, kind, at, monotonic() - at, status)


async def send_requests(
    site: EntrySite,
    nodes: Sequence[str],
    for_s: float,
    per_s: float,
    kinds: Sequence[str] = KINDS,
) -> list[Sent]:
    """Send requests of all kinds to each node at a rate, and return them.

    Parameters
    ----------
    site : EntrySite
        The nodes and endpoints.
    nodes : sequence of str
        Names of the nodes.
    for_s : float
        Seconds for which requests are sent.
    per_s : float
        Requests per second to each node.
    kinds : sequence of str
        Paths of the requests, sent in turn.
    """
    tasks: list[asyncio.Task[Sent]] = []
    end, number = monotonic() + for_s, 0
    while monotonic() < end:
        kind = kinds[number % len(kinds)]
        tasks += [asyncio.create_task(_send(site, node, kind)) for node in nodes]
        number += 1
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*tasks))


def unserved(requests: Iterable[Sent], nodes: str) -> list[Sent]:
    """Return the requests at some nodes that got no complete answer."""
    return [each for each in requests if each.node in nodes and each.status != 200]


def served_share(
    requests: Iterable[Sent], nodes: str, kind: str | None = None, since: float = 0.0
) -> float:
    """Return the share of requests at some nodes that got a complete answer."""
    chosen = [
        each.status == 200
        for each in requests
        if each.node in nodes and each.at >= since and kind in (None, each.kind)
    ]
    return sum(chosen) / len(chosen)
