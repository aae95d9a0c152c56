"""Client for the backlogs of engines, which coordinator nodes keep."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from poplarrelay.entry.backlogs import (
    BacklogTable,
    BacklogView,
    Placement,
    PromptEnd,
)
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.entry.scheduling.occupancy import Load
from poplarrelay.identifiers import EndpointId, NodeId, RequestId

__all__ = ["BacklogClient", "BacklogSender"]

_LOG = logging.getLogger("poplarrelay.entry.survey")

#: Timeout in seconds for replies. A round trip between domains takes a millisecond, and
#: a busy node takes longer. A longer wait costs a request more than a worse choice of
#: the endpoint.
REPLY_TIMEOUT_S = 0.02
#: Seconds for which a node that did not reply gets no further requests, so that an
#: unreachable node delays a request only once in this time.
UNANSWERED_PAUSE_S = 0.5
#: Seconds between confirmations of this node's request counts.
CONFIRM_INTERVAL_S = 1.0

#: Message kinds, sent as the first element of each message.
REQUEST, REPLY, ADDED, REMOVED = "ask", "told", "placed", "out"


class BacklogSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_backlog(
        self, host: str, message: list[Any], counts: Mapping[EndpointId, Any]
    ) -> None:
        """Send a message and counts of requests to the backlog client of a peer."""

    def send_request_counts(self, host: str, counts: Mapping[EndpointId, int]) -> None:
        """Send only counts of this node's requests to a peer."""


@dataclass(slots=True)
class _PendingRequest:
    """Request in flight: hosts that have not replied, and the views received."""

    unanswered_hosts: set[str]
    done: asyncio.Future[None]
    views: dict[EndpointId, BacklogView]


@dataclass(slots=True)
class BacklogStatistics:
    """Counters of a backlog client, for the metrics.

    Attributes
    ----------
    requested, unanswered : int
        Requests sent to coordinators, and those without a reply in time.
    coordinators_changed : int
        Changes of the coordinator of an engine that had requests of this node.
    """

    requested: int = 0
    unanswered: int = 0
    coordinators_changed: int = 0

    def gauges(self) -> dict[str, float]:
        """Return the counters by the names of the metrics."""
        return {
            "backlog_requests": float(self.requested),
            "backlog_requests_unanswered": float(self.unanswered),
            "backlog_coordinators_changed": float(self.coordinators_changed),
        }


@dataclass(slots=True)
class BacklogClient:
    """Reports this node's requests to coordinators and gets backlogs from them.

    Attributes
    ----------
    own_host : str
        Host of this node.
    nodes : callable
        Returns the hosts of all nodes that can be coordinators by id, including this
        node.
    count_requests : callable
        Returns the number of this node's requests at an engine.
    table : BacklogTable
        Backlogs of the engines that this node coordinates.

    Notes
    -----
    An engine prefills one prompt after the other, and a long prompt delays all others
    by up to a second. Gossip is sent every half second, so nodes that rely on it would
    send prompts to an engine that is busy with another node's prompt. The coordinator
    of an engine receives a report of each of its prompts immediately. A request
    causes one message to each of a few coordinators and three messages to one of them,
    independent of the number of nodes.
    """

    own_host: str
    nodes: Callable[[], Mapping[NodeId, str]]
    sender: BacklogSender
    monotonic: Callable[[], float]
    count_requests: Callable[[EndpointId], int] = lambda endpoint: 0
    table: BacklogTable = field(default_factory=BacklogTable)
    statistics: BacklogStatistics = field(default_factory=BacklogStatistics)
    _last_number: int = 0
    _pending: dict[int, _PendingRequest] = field(default_factory=dict)
    _coordinators: dict[EndpointId, str] = field(default_factory=dict)
    _skip_until: dict[str, float] = field(default_factory=dict)
    _nodes: dict[NodeId, str] = field(default_factory=dict)
    _queued: dict[EndpointId, dict[RequestId, Placement]] = field(default_factory=dict)
    _confirm_at: float = 0.0

    # Coordinators

    def refresh(self, known: Sequence[EndpointId]) -> None:
        """Drop the state of unlisted endpoints, and confirm this node's counts."""
        now = self.monotonic()
        self.table.forget(known, now)
        self.check_coordinators()
        if now >= self._confirm_at:
            self._confirm_at = now + CONFIRM_INTERVAL_S
            self._confirm_counts(known)

    def _confirm_counts(self, known: Sequence[EndpointId]) -> None:
        by_host: dict[str, dict[EndpointId, int]] = defaultdict(dict)
        for endpoint in known:
            count = self.count_requests(endpoint)
            if count:
                by_host[self._coordinator(endpoint)][endpoint] = count
        for host, counts in by_host.items():
            self._send_counts(host, counts)

    def _send_counts(self, host: str, counts: Mapping[EndpointId, int]) -> None:
        if host == self.own_host:
            self.table.report_requests(host, counts, self.monotonic())
        else:
            self.sender.send_request_counts(host, counts)

    def check_coordinators(self) -> None:
        """Report this node's prompts again where the coordinator has changed."""
        nodes = dict(self.nodes())
        if nodes == self._nodes:
            return
        before, self._coordinators = self._coordinators, {}
        self._nodes = nodes
        hosts = set(nodes.values())
        for endpoint, host in before.items():
            new_host = self._coordinator(endpoint)
            queued = self._queued.get(endpoint, {})
            count = self.count_requests(endpoint)
            if new_host == host or not (queued or count):
                continue
            self.statistics.coordinators_changed += 1
            if host in hosts:
                for request in queued:
                    self._send_removed(host, endpoint, request, PromptEnd.NOT_BEGUN)
                self._send_counts(host, {endpoint: 0})
            for placement in queued.values():
                self._send_added(new_host, placement)
            self._send_counts(new_host, {endpoint: count})

    def _coordinator(self, endpoint: EndpointId) -> str:
        """Return the host of an endpoint's coordinator."""
        host = self._coordinators.get(endpoint)
        if host is None:
            if not self._nodes:
                self._nodes = dict(self.nodes())
            host = self._nodes[choose_coordinator(endpoint, self._nodes)]
            self._coordinators[endpoint] = host
        return host

    def _counts(self, endpoints: Sequence[EndpointId]) -> dict[EndpointId, int]:
        """Return the numbers of this node's requests at some engines."""
        return {endpoint: self.count_requests(endpoint) for endpoint in endpoints}

    # Requests to coordinators

    async def request_backlogs(
        self, endpoints: Sequence[EndpointId], parts: Sequence[str]
    ) -> dict[EndpointId, BacklogView]:
        """Return the backlogs of engines whose coordinators reply in time.

        Parameters
        ----------
        endpoints : sequence of EndpointId
            Engines that are candidates for a prompt.
        parts : sequence of str
            Ids of the prompt's shared parts, in order.
        """
        now = self.monotonic()
        by_host: dict[str, list[EndpointId]] = defaultdict(list)
        for endpoint in endpoints:
            by_host[self._coordinator(endpoint)].append(endpoint)
        views = self._views(self.own_host, by_host.pop(self.own_host, ()), parts)
        requested = {h for h in by_host if self._skip_until.get(h, now) <= now}
        if requested:
            await self._request_views({h: by_host[h] for h in requested}, parts, views)
        return views

    async def _request_views(
        self,
        by_host: Mapping[str, Sequence[EndpointId]],
        parts: Sequence[str],
        views: dict[EndpointId, BacklogView],
    ) -> None:
        """Request backlogs from coordinators, and add replies that arrive in time."""
        self._last_number += 1
        number = self._last_number
        done = asyncio.get_running_loop().create_future()
        pending = _PendingRequest(set(by_host), done, views)
        self._pending[number] = pending
        self.statistics.requested += len(by_host)
        for host, endpoints in by_host.items():
            message = [REQUEST, number, list(endpoints), list(parts)]
            self.sender.send_backlog(host, message, self._counts(endpoints))
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await done
        except TimeoutError:
            skip_until = self.monotonic() + UNANSWERED_PAUSE_S
            for host in pending.unanswered_hosts:
                self._skip_until[host] = skip_until
            self.statistics.unanswered += len(pending.unanswered_hosts)
            _LOG.debug("no answer", extra={"hosts": sorted(pending.unanswered_hosts)})
        finally:
            del self._pending[number]

    def _views(
        self, host: str, endpoints: Sequence[EndpointId], parts: Sequence[str]
    ) -> dict[EndpointId, BacklogView]:
        now = self.monotonic()
        return {e: self.table.view(host, e, parts, now) for e in endpoints}

    # Reports of this node's prompts

    def add_prompt(self, placed: Placement) -> None:
        """Report that this node has sent a prompt to an engine."""
        self._queued.setdefault(placed.endpoint, {})[placed.request] = placed
        self._send_added(self._coordinator(placed.endpoint), placed)

    def _send_added(self, host: str, placed: Placement) -> None:
        counts = self._counts([placed.endpoint])
        if host == self.own_host:
            self.table.add_prompt(host, placed, self.monotonic())
            self.table.report_requests(host, counts, self.monotonic())
        else:
            self.sender.send_backlog(host, [ADDED, *placed.encode()], counts)

    def remove_prompt(
        self, endpoint: EndpointId, request: RequestId, end: PromptEnd
    ) -> None:
        """Report that a prompt has started at an engine, or will not start there."""
        queued = self._queued.get(endpoint, {})
        queued.pop(request, None)
        if not queued:
            self._queued.pop(endpoint, None)
        self._send_removed(self._coordinator(endpoint), endpoint, request, end)

    def _send_removed(
        self, host: str, endpoint: EndpointId, request: RequestId, end: PromptEnd
    ) -> None:
        if host == self.own_host:
            self._remove(host, endpoint, request, end)
        else:
            message = [REMOVED, endpoint, request, end.value]
            self.sender.send_backlog(host, message, self._counts([endpoint]))

    def report_end(self, endpoint: EndpointId, request: RequestId) -> None:
        """Report the count of requests at an engine after one of them has ended."""
        host = self._coordinator(endpoint)
        if host == self.own_host:
            counts = self._counts([endpoint])
            self.table.report_requests(host, counts, self.monotonic())
        else:
            # The prompt is not queued any more, so only the count has an effect.
            self._send_removed(host, endpoint, request, PromptEnd.NOT_BEGUN)

    # Messages from peers

    def receive(
        self, host: str, message: list[Any], counts: Mapping[str, Any] | None = None
    ) -> None:
        """Handle a peer's message; raise `ValueError` or similar if it is malformed.

        Parameters
        ----------
        host : str
            Host of the peer.
        message : list
            Message kind and its values.
        counts : mapping of str to int or list, or None
            Numbers of the peer's requests at some engines; in a reply, the loads of the
            engines. None from nodes of versions that send neither.
        """
        kind, *rest = message
        if kind == REPLY:
            number, encoded = rest
            loads = {e: Load.decode(raw) for e, raw in (counts or {}).items()}
            views = [BacklogView.decode(v) for v in encoded]
            views = [replace(v, load=loads.get(v.endpoint)) for v in views]
            self._receive_reply(host, int(number), views)
            return
        decoded = _decode_counts(counts)
        if kind == REQUEST:
            self._reply(host, *rest)
        elif kind == ADDED:
            self.table.add_prompt(host, Placement.decode(rest), self.monotonic())
        elif kind == REMOVED:
            endpoint, request, end = rest
            self._remove(
                host, EndpointId(str(endpoint)), RequestId(str(request)), PromptEnd(end)
            )
        else:
            raise ValueError(f"unknown message kind: {kind!r}")
        self.table.report_requests(host, decoded, self.monotonic())

    def _remove(
        self, host: str, endpoint: EndpointId, request: RequestId, end: PromptEnd
    ) -> None:
        """Remove a prompt of a node from an engine's queue."""
        self.table.remove_prompt(endpoint, request, end, self.monotonic())
        if end is PromptEnd.ENGINE_GONE:
            extra = {"endpoint": endpoint, "reported_by": host}
            _LOG.info("engine reported gone", extra=extra)

    def receive_counts(self, host: str, counts: Mapping[str, Any]) -> None:
        """Store the numbers of a peer's requests; raise `ValueError` if malformed."""
        self.table.report_requests(host, _decode_counts(counts), self.monotonic())

    def _reply(
        self, host: str, number: int, endpoints: Sequence[str], parts: Sequence[str]
    ) -> None:
        known = [EndpointId(str(endpoint)) for endpoint in endpoints]
        views = self._views(host, known, [str(part) for part in parts])
        encoded = [view.encode() for view in views.values()]
        loads = {e: v.load.encode() for e, v in views.items() if v.load is not None}
        self.sender.send_backlog(host, [REPLY, number, encoded], loads)

    def _receive_reply(self, host: str, number: int, views: list[BacklogView]) -> None:
        pending = self._pending.get(number)
        if pending is None or host not in pending.unanswered_hosts:
            # The reply is late or a duplicate.
            return
        pending.unanswered_hosts.discard(host)
        pending.views.update((view.endpoint, view) for view in views)
        if not pending.unanswered_hosts and not pending.done.done():
            pending.done.set_result(None)


def _decode_counts(counts: Mapping[str, Any] | None) -> dict[EndpointId, int]:
    """Return counts by engine from their JSON values; raises `ValueError`."""
    if counts is None:
        return {}
    return {EndpointId(e): max(0, int(count)) for e, count in counts.items()}
