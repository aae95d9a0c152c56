"""Asking the nodes that keep count of engines' prompts what is in line there."""

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

__all__ = ["BacklogClient", "Carrier", "choose_coordinator"]

_LOG = logging.getLogger("poplarrelay.entry.survey")

#: Seconds for which the answers to a question are waited for. A way between domains
#: and back takes a millisecond, a busy node some more; beyond that a request loses
#: more by the wait than by a worse choice.
ANSWER_WAIT_S = 0.02
#: Seconds for which a node that left a question unanswered is not asked again, so
#: that one that is down or cut off costs a wait now and then and not every request.
SILENT_S = 0.5

#: Kinds of message, the first element of each.
QUESTION, ANSWER, PLACED, TAKEN_OUT = "ask", "told", "placed", "out"


def choose_coordinator(endpoint: EndpointId, nodes: Mapping[NodeId, str]) -> NodeId:
    """Return the node that keeps count of an engine's prompts.

    Notes
    -----
    Rendezvous hashing: all nodes that see the same nodes find the same one without
    asking, and a node that is lost moves only its own engines.
    """
    return max(nodes, key=lambda n: (zlib.crc32(f"{n}|{endpoint}".encode()), n))


class Carrier(Protocol):
    """Carries messages to peers, which may lose, delay and reorder them."""

    def send_backlog(self, host: str, message: list[Any]) -> None:
        """Send a message to a peer's survey."""


@dataclass(slots=True)
class _Question:
    """A question under way: hosts that have not answered, and what came so far."""

    open_hosts: set[str]
    done: asyncio.Future[None]
    views: dict[EndpointId, BacklogView]


@dataclass(slots=True)
class BacklogClient:
    """Tells and asks which prompts are in line at engines.

    Attributes
    ----------
    own_host : str
        This node's host.
    nodes : callable
        Returns the hosts of all live nodes by id, this one's included.
    table : BacklogTable
        The engines that this node keeps count of.

    Notes
    -----
    An engine reads one prompt after the other, and a long one holds up all others for
    up to a second. News between nodes come each half second, so all of them would
    send to an engine that is busy with a prompt of another node's. One node an engine
    knows all of its prompts at once. A request costs a question to each of a few of
    those nodes and two messages to one, however many nodes there are.
    """

    own_host: str
    nodes: Callable[[], Mapping[NodeId, str]]
    carrier: Carrier
    monotonic: Callable[[], float]
    table: BacklogTable = field(default_factory=BacklogTable)
    _number: int = 0
    _questions: dict[int, _Question] = field(default_factory=dict)
    _coordinators: dict[EndpointId, str] = field(default_factory=dict)
    _silent_until: dict[str, float] = field(default_factory=dict)

    def refresh(self, known: Sequence[EndpointId]) -> None:
        """Take changes of nodes and endpoints into account."""
        self._coordinators.clear()
        self.table.forget(known, self.monotonic())

    def _coordinator(self, endpoint: EndpointId) -> str:
        """Return the host of the node that keeps count of an engine's prompts."""
        host = self._coordinators.get(endpoint)
        if host is None:
            nodes = self.nodes()
            host = nodes[choose_coordinator(endpoint, nodes)]
            self._coordinators[endpoint] = host
        return host

    # asking

    async def ask(
        self, endpoints: Sequence[EndpointId], parts: Sequence[str]
    ) -> dict[EndpointId, BacklogView]:
        """Return what is in line at engines, as far as their keepers answer.

        Parameters
        ----------
        endpoints : sequence of EndpointId
            Engines that a prompt might go to.
        parts : sequence of str
            Ids of the prompt's shared parts, in order.
        """
        now = self.monotonic()
        by_host: dict[str, list[EndpointId]] = defaultdict(list)
        for endpoint in endpoints:
            by_host[self._coordinator(endpoint)].append(endpoint)
        views = self._views(self.own_host, by_host.pop(self.own_host, ()), parts)
        asked = {h for h in by_host if self._silent_until.get(h, now) <= now}
        if asked:
            await self._ask_hosts({h: by_host[h] for h in asked}, parts, views)
        return views

    async def _ask_hosts(
        self,
        by_host: Mapping[str, Sequence[EndpointId]],
        parts: Sequence[str],
        views: dict[EndpointId, BacklogView],
    ) -> None:
        """Ask keepers, and add what they answer in time."""
        self._number += 1
        number = self._number
        done = asyncio.get_running_loop().create_future()
        question = _Question(set(by_host), done, views)
        self._questions[number] = question
        for host, endpoints in by_host.items():
            message = [QUESTION, number, list(endpoints), list(parts)]
            self.carrier.send_backlog(host, message)
        try:
            async with asyncio.timeout(ANSWER_WAIT_S):
                await done
        except TimeoutError:
            silent_until = self.monotonic() + SILENT_S
            for host in question.open_hosts:
                self._silent_until[host] = silent_until
            _LOG.debug("no answer", extra={"hosts": sorted(question.open_hosts)})
        finally:
            del self._questions[number]

    def _views(
        self, host: str, endpoints: Sequence[EndpointId], parts: Sequence[str]
    ) -> dict[EndpointId, BacklogView]:
        now = self.monotonic()
        return {e: self.table.view(host, e, parts, now) for e in endpoints}

    # telling

    def add_prompt(self, placed: Placement) -> None:
        """Tell that this node has sent a prompt to an engine."""
        host = self._coordinator(placed.endpoint)
        if host == self.own_host:
            self.table.add_prompt(host, placed, self.monotonic())
        else:
            self.carrier.send_backlog(host, [PLACED, *placed.encode()])

    def remove_prompt(
        self, endpoint: EndpointId, request: RequestId, end: PromptEnd
    ) -> None:
        """Tell that a prompt of this node has begun, or will not."""
        host = self._coordinator(endpoint)
        if host == self.own_host:
            self.table.remove_prompt(endpoint, request, end, self.monotonic())
        else:
            message = [TAKEN_OUT, endpoint, request, end.value]
            self.carrier.send_backlog(host, message)

    # hearing

    def receive(self, host: str, message: list[Any]) -> None:
        """Take a peer's message; raises `ValueError` or the like if it is none."""
        kind, *rest = message
        if kind == QUESTION:
            number, endpoints, parts = rest
            known = [EndpointId(str(endpoint)) for endpoint in endpoints]
            views = self._views(host, known, [str(part) for part in parts])
            told = [view.encode() for view in views.values()]
            self.carrier.send_backlog(host, [ANSWER, number, told])
        elif kind == ANSWER:
            number, told = rest
            self._take_answer(host, int(number), [BacklogView.decode(v) for v in told])
        elif kind == PLACED:
            self.table.add_prompt(host, Placement.decode(rest), self.monotonic())
        elif kind == TAKEN_OUT:
            endpoint, request, end = rest
            self.table.remove_prompt(
                EndpointId(str(endpoint)),
                RequestId(str(request)),
                PromptEnd(end),
                self.monotonic(),
            )
        else:
            raise ValueError(f"no kind of message: {kind!r}")

    def _take_answer(self, host: str, number: int, views: list[BacklogView]) -> None:
        question = self._questions.get(number)
        if question is None or host not in question.open_hosts:
            # It came too late, or twice.
            return
        question.open_hosts.discard(host)
        question.views.update((view.endpoint, view) for view in views)
        if not question.open_hosts and not question.done.done():
            question.done.set_result(None)
