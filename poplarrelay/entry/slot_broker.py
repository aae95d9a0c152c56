"""Slots at endpoints of plain services, granted by one coordinator per endpoint."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from poplarrelay.entry.brittleness import BrittlenessTable
from poplarrelay.entry.endpoints import Endpoint, EndpointTable, RunKey
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.entry.scheduling.fair_queue import Waiting
from poplarrelay.entry.scheduling.slot_ledger import Decision, Outcome, SlotLedger
from poplarrelay.identifiers import EndpointId, NodeId, RequestId, StartTime, TeamId

__all__ = ["SlotBroker", "SlotReply", "SlotSender", "SlotStatistics"]

_LOG = logging.getLogger("poplarrelay.entry.slots")

#: Timeout in seconds for the first reply of a coordinator. A busy node replies within
#: some hundredths of a second; a longer wait would cost more than a local decision.
REPLY_TIMEOUT_S = 0.03
#: Seconds for which a coordinator that did not reply is not asked again.
UNANSWERED_PAUSE_S = 0.5
#: Seconds between confirmations of the requests that hold slots.
CONFIRM_INTERVAL_S = 1.0
#: Seconds after a change of the nodes in which a new coordinator of a brittle endpoint
#: grants nothing. All nodes have confirmed their slots by then.
TAKEOVER_S = 1.5
#: Most requests in one confirmation.
MAX_CONFIRMED = 40

#: Message kinds, sent as the first element of each message.
JOIN, REPLY, END, HELD = "join", "reply", "end", "held"
REJECTED, BRITTLE, ROOM = "rejected", "brittle", "room"


class SlotSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_slots(self, host: str, messages: list[list[Any]]) -> None:
        """Send messages to the slot broker of a peer."""


@dataclass(frozen=True, slots=True)
class SlotReply:
    """Final reply to a request for a slot.

    Attributes
    ----------
    granted : bool
        Whether the request holds a slot now.
    wait_s : float
        Expected seconds until a slot is free for the request, if it was rejected.
    """

    granted: bool
    wait_s: float = 0.0


@dataclass(slots=True)
class SlotStatistics:
    """Counters of a slot broker, for the metrics.

    Attributes
    ----------
    decisions : Counter of Outcome
        Decisions of this node as coordinator.
    expired : int
        Requests that waited at this node as coordinator until a slot was of no use.
    unanswered : int
        Requests of this node to which a coordinator did not reply.
    """

    decisions: Counter[Outcome] = field(default_factory=Counter)
    expired: int = 0
    unanswered: int = 0


@dataclass(slots=True)
class _Pending:
    """A request that waits for a coordinator's reply."""

    host: str
    answered: asyncio.Event
    reply: asyncio.Future[SlotReply]


@dataclass(slots=True)
class SlotBroker:
    """Obtains slots for this node's requests, and grants slots as a coordinator.

    Attributes
    ----------
    own_host : str
        Host of this node.
    endpoints : EndpointTable
        Table of endpoints.
    nodes : callable
        Returns the hosts of all nodes that can be coordinators by id.
    brittleness : BrittlenessTable
        Brittleness of the endpoints.

    Notes
    -----
    The grants of a coordinator are lost with it. Nodes confirm what they hold every
    second, so its successor knows all slots in use after that time. A node whose
    coordinator does not reply decides by its own knowledge, as without a broker.
    """

    own_host: str
    endpoints: EndpointTable
    nodes: Callable[[], Mapping[NodeId, str]]
    sender: SlotSender
    monotonic: Callable[[], float]
    brittleness: BrittlenessTable
    statistics: SlotStatistics = field(default_factory=SlotStatistics)
    _ledgers: dict[RunKey, SlotLedger] = field(default_factory=dict)
    _pending: dict[tuple[RunKey, RequestId], _Pending] = field(default_factory=dict)
    _held: dict[tuple[RunKey, RequestId], str] = field(default_factory=dict)
    _skip_until: dict[str, float] = field(default_factory=dict)
    _hosts: dict[EndpointId, str] = field(default_factory=dict)
    _confirm_at: float = 0.0
    _rooms: dict[RunKey, int] = field(default_factory=dict)
    _known_hosts: set[str] = field(default_factory=set)
    _nodes_changed_at: float = -inf

    def __post_init__(self) -> None:
        self.brittleness.on_change = self._announce_brittleness

    # Requests of this node

    async def acquire(self, row: Endpoint, waiting: Waiting) -> SlotReply | None:
        """Obtain a slot at an endpoint.

        Returns
        -------
        SlotReply or None
            None if the coordinator does not reply.

        Notes
        -----
        A cancelled request gives up its place in the queue, or the slot.
        """
        now = self.monotonic()
        host = self._coordinator(row.endpoint)
        if self._skip_until.get(host, now) > now:
            return None
        key = (row.run, waiting.request)
        reply = asyncio.get_running_loop().create_future()
        pending = _Pending(host, asyncio.Event(), reply)
        self._pending[key] = pending
        answer: SlotReply | None = None
        try:
            self._send(host, [JOIN, *row.run, row.slots, *_encode(waiting, now)])
            # A reply can arrive in the same turn of the event loop as the timeout.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    await pending.answered.wait()
            if not pending.answered.is_set():
                self._note_unanswered(host)
                return None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(waiting.expires_at - now):
                    await asyncio.wait([reply])
            answer = reply.result() if reply.done() else SlotReply(False)
            return answer
        finally:
            del self._pending[key]
            rejected = reply.done() and not reply.result().granted
            if answer is not None and answer.granted:
                self._held[key] = host
            elif not rejected:
                self._send(host, [END, *row.run, waiting.request])

    def _note_unanswered(self, host: str) -> None:
        self.statistics.unanswered += 1
        self._skip_until[host] = self.monotonic() + UNANSWERED_PAUSE_S
        _LOG.debug("coordinator silent", extra={"host": host})

    def end(self, row: Endpoint, request: RequestId) -> None:
        """Give back the slot of a request, if it holds one."""
        host = self._held.pop((row.run, request), None)
        if host is not None:
            self._send(host, [END, *row.run, request])

    def reject(self, row: Endpoint, request: RequestId) -> None:
        """Report that a brittle endpoint has rejected a request."""
        host = self._held.pop((row.run, request), None)
        self._send(
            host or self._coordinator(row.endpoint), [REJECTED, *row.run, request]
        )

    def _announce_brittleness(self, row: Endpoint, per_s: float | None) -> None:
        """Tell all nodes what an endpoint has stated."""
        self._broadcast([BRITTLE, *row.run, per_s, 0.0])

    def _broadcast(self, message: list[Any]) -> None:
        for host in self.nodes().values():
            if host != self.own_host:
                self._send(host, message)

    def _coordinator(self, endpoint: EndpointId) -> str:
        host = self._hosts.get(endpoint)
        if host is None:
            nodes = self.nodes()
            host = nodes[choose_coordinator(endpoint, nodes)]
            self._hosts[endpoint] = host
        return host

    def refresh(self) -> None:
        """Confirm the slots in use, and drop the state of endpoints that are gone."""
        now = self.monotonic()
        self._hosts.clear()
        self._note_nodes(now)
        self.brittleness.forget(now)
        for run, ledger in list(self._ledgers.items()):
            self.statistics.expired += len(ledger.expire(now))
            self._grant_free(run, ledger, now)
        # The list of this node can be older than that of a node which holds slots.
        runs = {row.run for row in self.endpoints.rows.values()}
        self._rooms = {run: n for run, n in self._rooms.items() if run in runs}
        self._ledgers = {
            run: ledger
            for run, ledger in self._ledgers.items()
            if run in runs or ledger.load
        }
        if now >= self._confirm_at:
            self._confirm_at = now + CONFIRM_INTERVAL_S
            self._confirm_held()

    def _note_nodes(self, now: float) -> None:
        hosts = set(self.nodes().values())
        if hosts != self._known_hosts:
            self._known_hosts, self._nodes_changed_at = hosts, now

    def _ledger(self, run: RunKey, slots: int, now: float) -> SlotLedger:
        """Return the ledger of an endpoint; create it if necessary."""
        row = self.endpoints.rows.get(run[0])
        survives = None if row is None else self.brittleness.of(row.service, now)
        ledger = self._ledgers.get(run)
        if ledger is None:
            ledger = self._ledgers[run] = SlotLedger(slots)
            self._note_nodes(now)
            if survives is not None:
                ledger.opens_at = self._nodes_changed_at + TAKEOVER_S
                ledger.take_over(self._rooms.get(run), now)
        ledger.slots = max(1, slots)
        ledger.note_brittleness(survives)
        return ledger

    def _confirm_held(self) -> None:
        by_run: dict[RunKey, list[RequestId]] = defaultdict(list)
        for run, request in self._held:
            by_run[run].append(request)
        for run, requests in by_run.items():
            host = self._coordinator(run[0])
            for request in requests:
                self._held[run, request] = host
            for start in range(0, len(requests), MAX_CONFIRMED):
                chunk = requests[start : start + MAX_CONFIRMED]
                self._send(host, [HELD, *run, chunk])

    def gauges(self) -> dict[str, float]:
        """Return the counters by the names of the metrics."""
        decisions = self.statistics.decisions
        gauges = {f"slots_{each.value}": float(decisions[each]) for each in Outcome}
        regretted = sum(ledger.regretted for ledger in self._ledgers.values())
        gauges["slots_regretted"] = float(regretted)
        gauges["slots_expired"] = float(self.statistics.expired)
        gauges["slot_requests_unanswered"] = float(self.statistics.unanswered)
        return gauges

    # Messages

    def _send(self, host: str, message: list[Any]) -> None:
        if host == self.own_host:
            self.receive(host, [message])
        else:
            self.sender.send_slots(host, [message])

    def receive(self, host: str, messages: Sequence[list[Any]]) -> None:
        """Handle messages from a peer.

        Raises
        ------
        ValueError or TypeError
            If a message is malformed.
        """
        for kind, endpoint, started_ms, *rest in messages:
            started = None if started_ms is None else StartTime(int(started_ms))
            run = (EndpointId(str(endpoint)), started)
            if kind == JOIN:
                self._receive_join(host, run, *rest)
            elif kind == REPLY:
                self._receive_reply(host, run, *rest)
            elif kind == END:
                self._receive_end(run, *rest)
            elif kind == HELD:
                self._receive_held(run, *rest)
            elif kind == REJECTED:
                self._receive_rejected(run, *rest)
            elif kind == BRITTLE:
                self._receive_brittleness(host, run, *rest)
            elif kind == ROOM:
                (room,) = rest
                self._rooms[run] = max(1, int(room))
            else:
                raise ValueError(f"unknown message kind: {kind!r}")

    def _receive_join(self, host: str, run: RunKey, slots: int, *rest: Any) -> None:
        now = self.monotonic()
        waiting = _decode(host, now, *rest)
        ledger = self._ledger(run, int(slots), now)
        decision = ledger.join(waiting, now)
        self.statistics.decisions[decision.outcome] += 1
        self._reply(run, waiting, decision, ledger.load)
        self._grant_free(run, ledger, now)

    def _grant_free(self, run: RunKey, ledger: SlotLedger, now: float) -> None:
        for waiting in ledger.grant_free(now):
            self.statistics.decisions[Outcome.GRANTED] += 1
            self._reply(run, waiting, Decision(Outcome.GRANTED), ledger.load)

    def _reply(
        self, run: RunKey, waiting: Waiting, decision: Decision, load: int
    ) -> None:
        wait_s = round(decision.wait_s, 3)
        outcome = decision.outcome.value
        message = [REPLY, *run, waiting.request, outcome, wait_s, load]
        self._send(waiting.node, message)

    def _receive_reply(
        self,
        host: str,
        run: RunKey,
        request: str,
        outcome: str,
        wait_s: float,
        load: int,
    ) -> None:
        row = self.endpoints.rows.get(run[0])
        if row is not None and row.run == run:
            row.running_at_other_nodes = max(0, int(load) - row.running)
        decided = Outcome(outcome)
        pending = self._pending.get((run, RequestId(str(request))))
        if pending is None or pending.host != host:
            held = (run, RequestId(str(request))) in self._held
            if decided is Outcome.GRANTED and not held:
                # The request has left, and its report of that was lost or late.
                self._send(host, [END, *run, request])
            return
        pending.answered.set()
        if decided is not Outcome.QUEUED and not pending.reply.done():
            granted = decided is Outcome.GRANTED
            pending.reply.set_result(SlotReply(granted, float(wait_s)))

    def _receive_end(self, run: RunKey, request: str) -> None:
        ledger = self._ledgers.get(run)
        if ledger is not None:
            now = self.monotonic()
            ledger.end(RequestId(str(request)), now)
            self._grant_free(run, ledger, now)

    def _receive_rejected(self, run: RunKey, request: str) -> None:
        row = self.endpoints.rows.get(run[0])
        if row is None or row.run != run:
            return
        now = self.monotonic()
        ledger = self._ledger(run, row.slots, now)
        ledger.note_rejection(RequestId(str(request)), now)
        if ledger.survives_per_s is not None:
            # A node that takes over needs it.
            self._broadcast([ROOM, *run, ledger.room])
        self._grant_free(run, ledger, now)

    def _receive_brittleness(
        self, host: str, run: RunKey, per_s: Any, age_s: float
    ) -> None:
        row = self.endpoints.rows.get(run[0])
        if row is None or row.run != run:
            return
        stated = None if per_s is None else max(0.0, float(per_s))
        stated_at = self.monotonic() - max(0.0, float(age_s))
        self.brittleness.receive(row, stated, stated_at, host)

    def _receive_held(self, run: RunKey, requests: Sequence[str]) -> None:
        row = self.endpoints.rows.get(run[0])
        ledger = self._ledgers.get(run)
        if ledger is None:
            if row is None or row.run != run:
                return
            ledger = self._ledger(run, row.slots, self.monotonic())
        known = [RequestId(str(request)) for request in requests]
        ledger.confirm(known, self.monotonic())


def _encode(waiting: Waiting, now: float) -> list[Any]:
    return [
        waiting.request,
        waiting.team,
        waiting.priority,
        waiting.cost,
        round(waiting.weight, 4),
        round(waiting.expires_at - now, 4),
    ]


def _decode(
    host: str,
    now: float,
    request: str,
    team: str,
    priority: int,
    cost: float,
    weight: float,
    wait_s: float,
) -> Waiting:
    if float(cost) <= 0 or float(weight) <= 0:
        raise ValueError("cost and weight must be positive")
    return Waiting(
        RequestId(str(request)),
        host,
        TeamId(str(team)),
        int(priority),
        float(cost),
        float(weight),
        now + max(0.0, float(wait_s)),
    )
