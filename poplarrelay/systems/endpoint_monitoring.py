"""Update the endpoint table from the host list, load reports and reclaim notices."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from math import ceil, log2

from poplarrelay.identifiers import EndpointId
from poplarrelay.messages.effects import (
    Decision,
    Effect,
    ListHosts,
    LogDecision,
    PollLoad,
    SendGossip,
)
from poplarrelay.messages.gossip import NoticeRow, ProbeMessage
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.platform import (
    HostRow,
    HostsListed,
    LoadFailed,
    LoadReported,
    NoticeReceived,
    NoticeSource,
)
from poplarrelay.systems.gossiping import current_notices, own_row
from poplarrelay.tables.endpoints import Endpoint, EndpointState
from poplarrelay.tables.members import MemberStatus
from poplarrelay.tables.world import World

__all__ = ["poll_endpoints", "receive_notices", "watch_hosts"]

#: Seconds for which a failure domain is avoided after a reclaim notice in it.
DOMAIN_AVOIDED_S = 60.0
#: Seconds after the announced end at which a notice lapses if the endpoint is still
#: listed as live and still reports. The endpoint then counts as live again.
NOTICE_LAPSE_S = 20.0
#: Consecutive failed polls after which an endpoint gets no new work.
POLL_FAILURES = 2
#: Seconds without new work for an endpoint after `POLL_FAILURES` failed polls.
POLL_PAUSE_S = 2.0
#: Seconds after its last request for which an endpoint counts as in use.
IN_USE_S = 5.0
#: Smallest number of peers to which a new notice is forwarded immediately.
MIN_FANOUT = 4


def _score(world: World, endpoint: EndpointId) -> bytes:
    text = f"{world.node}/{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _watched(world: World, rows: tuple[HostRow, ...]) -> list[HostRow]:
    """Return the endpoints that this node uses.

    Notes
    -----
    If there are many endpoints, each node uses a part of them, chosen by rendezvous
    hashing within each set of models or services. So the number of polls per node and
    per endpoint stays bounded, and a change of the host list replaces few endpoints.
    """
    limit = world.settings.limits.watched_endpoints
    groups: dict[frozenset[str], list[HostRow]] = {}
    for row in rows:
        groups.setdefault(row.names, []).append(row)
    watched: list[HostRow] = []
    for group in groups.values():
        group.sort(key=lambda row: _score(world, row.endpoint))
        watched.extend(group[:limit])
    return watched


def watch_hosts(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Merge the platform's host list, and request it again when it is due."""
    for listed in inbox.of(HostsListed):
        rows = _watched(world, listed.rows)
        watched_ids = {row.endpoint for row in rows}
        for row in rows:
            yield from _update_listed(world, row, now)
        for endpoint in list(world.endpoints.values()):
            endpoint.listed = endpoint.id in watched_ids
            if not endpoint.listed and not endpoint.running_attempts:
                endpoint.state = EndpointState.GONE
                del world.endpoints[endpoint.id]
                yield _state_change(endpoint, "unlisted")
    if now >= world.next_hosts_at:
        interval = world.settings.timing.host_poll_s
        world.next_hosts_at = now + interval * (0.8 + 0.4 * world.rng.random())
        yield ListHosts()


def _state_change(endpoint: Endpoint, why: str) -> LogDecision:
    fields = (
        ("endpoint", endpoint.id),
        ("domain", endpoint.domain),
        ("state", endpoint.state.value),
        ("why", why),
    )
    return LogDecision(Decision.ENDPOINT, fields)


def _update_listed(world: World, row: HostRow, now: float) -> Iterator[Effect]:
    endpoint = world.endpoints.get(row.endpoint)
    if endpoint is None:
        endpoint = Endpoint(
            id=row.endpoint,
            kind=row.kind,
            address=row.address,
            domain=row.domain,
            names=row.names,
            price=row.price,
            reclaimable=row.reclaimable,
            checks_fencing=row.checks_fencing,
        )
        world.endpoints[row.endpoint] = endpoint
        yield _state_change(endpoint, "listed")
    endpoint.price = row.price
    if row.leaving:
        remaining = world.settings.timing.drain_s
        yield from _mark_leaving(
            world, endpoint, remaining, NoticeSource.HOST_LIST, now
        )
    elif _notice_lapsed(endpoint, now):
        endpoint.state = EndpointState.LIVE
        endpoint.leaving_at = None
        yield _state_change(endpoint, "notice lapsed")


def _notice_lapsed(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint still runs well after its announced end.

    Notes
    -----
    The host list is delayed, so an entry "live" alone does not cancel a notice. The
    endpoint is used again only `NOTICE_LAPSE_S` seconds after the announced end, and
    only if it still sends load reports.
    """
    if endpoint.state is not EndpointState.LEAVING or endpoint.leaving_at is None:
        return False
    if now < endpoint.leaving_at + NOTICE_LAPSE_S:
        return False
    return endpoint.reported_at is not None and now - endpoint.reported_at < 2.0


def _mark_leaving(
    world: World,
    endpoint: Endpoint,
    remaining_s: float,
    source: NoticeSource,
    now: float,
) -> Iterator[Effect]:
    leaving_at = now + max(0.0, remaining_s)
    if endpoint.state is EndpointState.LEAVING and endpoint.leaving_at is not None:
        # A repeated notice can only bring the end forward. A delayed or replayed
        # notice would otherwise postpone the end of an endpoint wrongly.
        endpoint.leaving_at = min(endpoint.leaving_at, leaving_at)
        return
    if endpoint.state is not EndpointState.LIVE:
        return
    endpoint.state = EndpointState.LEAVING
    endpoint.leaving_at = leaving_at
    world.notified_domains[endpoint.domain] = now + DOMAIN_AVOIDED_S
    yield _state_change(endpoint, f"notice from {source.value}")


def _affected(world: World, notice: NoticeReceived) -> list[Endpoint]:
    if notice.endpoint is not None:
        endpoint = world.endpoints.get(notice.endpoint)
        return [] if endpoint is None else [endpoint]
    return [e for e in world.endpoints.values() if e.domain == notice.domain]


def receive_notices(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Mark endpoints as leaving, and forward each notice when it is first received.

    Notes
    -----
    The platform can send a notice to only some of the nodes, and its host list is
    delayed. A node that receives a notice for the first time forwards it to several
    peers, which do the same. So the notice reaches all nodes in a few round trips.
    Nodes that were unreachable receive it with later probes.
    """
    first_notice = False
    for notice in inbox.of(NoticeReceived):
        for endpoint in _affected(world, notice):
            was_live = endpoint.state is EndpointState.LIVE
            yield from _mark_leaving(
                world, endpoint, notice.remaining_s, notice.source, now
            )
            first_notice = first_notice or was_live
    if first_notice:
        yield from _forward_notices(world, now)


def _forward_notices(world: World, now: float) -> Iterator[Effect]:
    peers = [m.peers for m in world.members.values() if m.status is MemberStatus.ALIVE]
    fanout = max(MIN_FANOUT, ceil(2 * log2(len(peers) + 1)))
    chosen = world.rng.sample(peers, min(fanout, len(peers)))
    if chosen:
        notices: tuple[NoticeRow, ...] = current_notices(world, now)
        message = ProbeMessage(sender=own_row(world, now), notices=notices)
        yield SendGossip(tuple(chosen), message)


def poll_endpoints(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Process load reports, and request new ones when they are due."""
    for reported in inbox.of(LoadReported):
        endpoint = world.endpoints.get(reported.endpoint)
        if endpoint is not None:
            endpoint.poll_in_flight = False
            endpoint.poll_failures = 0
            lag_s = world.settings.timing.report_lag_s
            endpoint.note_report(reported.report, now, lag_s)
            endpoint.loaded = reported.models
    for failed in inbox.of(LoadFailed):
        endpoint = world.endpoints.get(failed.endpoint)
        if endpoint is not None:
            endpoint.poll_in_flight = False
            endpoint.poll_failures += 1
            if endpoint.poll_failures >= POLL_FAILURES:
                endpoint.closed_until = max(endpoint.closed_until, now + POLL_PAUSE_S)
    for endpoint in world.endpoints.values():
        if endpoint.poll_in_flight or now < _poll_due(world, endpoint, now):
            continue
        endpoint.poll_in_flight = True
        endpoint.polled_at = now
        endpoint.poll_jitter = 0.8 + 0.4 * world.rng.random()
        yield PollLoad(endpoint.id, endpoint.address)


def _poll_due(world: World, endpoint: Endpoint, now: float) -> float:
    """Return the time at which an endpoint's load report is due.

    Notes
    -----
    Load reports are the largest part of an idle node's cost. So an endpoint that this
    node has not used for a while is polled at the longer `idle_poll_s`. The first
    request sent to it restores the short interval immediately.
    """
    timing = world.settings.timing
    in_use = bool(endpoint.running_attempts) or now - endpoint.used_at < IN_USE_S
    state_unknown = endpoint.report is None or endpoint.order_in_flight
    leaving = endpoint.state is not EndpointState.LIVE
    interval = timing.load_poll_s
    if not (in_use or state_unknown or leaving):
        interval = timing.idle_poll_s
    return endpoint.polled_at + interval * endpoint.poll_jitter
