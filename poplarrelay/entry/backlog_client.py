"""Client for the backlogs of engines, which coordinator nodes keep."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from poplarrelay.entry.backlogs import (
    BacklogTable,
    BacklogView,
    Placement,
    PromptEnd,
)
from poplarrelay.identifiers import EndpointId, NodeId, RequestId

__all__ = ["BacklogClient", "BacklogSender", "choose_coordinator"]

_LOG = logging.getLogger("poplarrelay.entry.survey")

#: Timeout in seconds for replies. A round trip between domains takes a millisecond, and
#: a busy node takes longer. A longer wait costs a request more than a worse choice of
#: the endpoint.
REPLY_TIMEOUT_S = 0.02
#: Seconds for which a node that did not reply gets no further requests, so that an
#: unreachable node delays a request only once in this time.
UNANSWERED_PAUSE_S = 0.5

#: Message kinds, sent as the first element of each message.
REQUEST, REPLY, ADDED, REMOVED = "ask", "told", "placed", "out"


def choose_coordinator(endpoint: EndpointId, nodes: Mapping[NodeId, str]) -> NodeId:
    """Return the coordinator of an endpoint.

    Notes
    -----
    Rendezvous hashing: nodes with the same list of nodes choose the same coordinator
    without messages, and the loss of a node moves only the endpoints that it
    coordinates.
    """
    return max(nodes, key=lambda n: (zlib.crc32(f"{n}|{endpoint}".encode()), n))


class BacklogSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_backlog(self, host: str, message: list[Any]) -> None:
        """Send a message to the backlog client of a peer."""


@dataclass(slots=True)
class _PendingRequest:
    """Request in flight: hosts that have not replied, and the views received."""

    unanswered_hosts: set[str]
    done: asyncio.Future[None]
    views: dict[EndpointId, BacklogView]


@dataclass(slots=True)
class BacklogClient:
    """Reports this node's prompts to coordinators and requests backlogs from them.

    Attributes
    ----------
    own_host : str
        Host of this node.
    nodes : callable
        Returns the hosts of all live nodes by id, including this node.
    table : BacklogTable
        Backlogs of the engines that this node coordinates.

    Notes
    -----
    An engine prefills one prompt after the other, and a long prompt delays all others
    by up to a second. Gossip is sent every half second, so nodes that rely on it would
    send prompts to an engine that is busy with another node's prompt. The coordinator
    of an engine receives a report of each of its prompts immediately. A request
    causes one message to each of a few coordinators and two messages to one of them,
    independent of the number of nodes.
    """

    own_host: str
    nodes: Callable[[], Mapping[NodeId, str]]
    sender: BacklogSender
    monotonic: Callable[[], float]
    table: BacklogTable = field(default_factory=BacklogTable)
    _last_number: int = 0
    _pending: dict[int, _PendingRequest] = field(default_factory=dict)
    _coordinators: dict[EndpointId, str] = field(default_factory=dict)
    _skip_until: dict[str, float] = field(default_factory=dict)

    def refresh(self, known: Sequence[EndpointId]) -> None:
        """Update the state after changes of nodes or endpoints."""
        self._coordinators.clear()
        self.table.forget(known, self.monotonic())

    def _coordinator(self, endpoint: EndpointId) -> str:
        """Return the host of an endpoint's coordinator."""
        host = self._coordinators.get(endpoint)
        if host is None:
            nodes = self.nodes()
            host = nodes[choose_coordinator(endpoint, nodes)]
            self._coordinators[endpoint] = host
        return host

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
        for host, endpoints in by_host.items():
            message = [REQUEST, number, list(endpoints), list(parts)]
            self.sender.send_backlog(host, message)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await done
        except TimeoutError:
            skip_until = self.monotonic() + UNANSWERED_PAUSE_S
            for host in pending.unanswered_hosts:
                self._skip_until[host] = skip_until
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
        host = self._coordinator(placed.endpoint)
        if host == self.own_host:
            self.table.add_prompt(host, placed, self.monotonic())
        else:
            self.sender.send_backlog(host, [ADDED, *placed.encode()])

    def remove_prompt(
        self, endpoint: EndpointId, request: RequestId, end: PromptEnd
    ) -> None:
        """Report that a prompt has started at an engine, or will not start there."""
        host = self._coordinator(endpoint)
        if host == self.own_host:
            self.table.remove_prompt(endpoint, request, end, self.monotonic())
        else:
            message = [REMOVED, endpoint, request, end.value]
            self.sender.send_backlog(host, message)

    # Messages from peers

    def receive(self, host: str, message: list[Any]) -> None:
        """Handle a peer's message; raise `ValueError` or similar if it is malformed."""
        kind, *rest = message
        if kind == REQUEST:
            number, endpoints, parts = rest
            known = [EndpointId(str(endpoint)) for endpoint in endpoints]
            views = self._views(host, known, [str(part) for part in parts])
            encoded = [view.encode() for view in views.values()]
            self.sender.send_backlog(host, [REPLY, number, encoded])
        elif kind == REPLY:
            number, encoded = rest
            self._receive_reply(
                host, int(number), [BacklogView.decode(v) for v in encoded]
            )
        elif kind == ADDED:
            self.table.add_prompt(host, Placement.decode(rest), self.monotonic())
        elif kind == REMOVED:
            endpoint, request, end = rest
            self.table.remove_prompt(
                EndpointId(str(endpoint)),
                RequestId(str(request)),
                PromptEnd(end),
                self.monotonic(),
            )
        else:
            raise ValueError(f"unknown message kind: {kind!r}")

    def _receive_reply(self, host: str, number: int, views: list[BacklogView]) -> None:
        pending = self._pending.get(number)
        if pending is None or host not in pending.unanswered_hosts:
            # The reply is late or a duplicate.
            return
        pending.unanswered_hosts.discard(host)
        pending.views.update((view.endpoint, view) for view in views)
        if not pending.unanswered_hosts and not pending.done.done():
            pending.done.set_result(None)
