"""Simulated system of worlds that needs no processes, clocks or sockets.

Every effect that leaves a world becomes an action. The test decides when an action
is performed, whether its reply is lost, and when a node is paused or crashes.
"""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field, replace

from poplarrelay.identifiers import (
    IdempotencyKey,
    Offset,
    RequestId,
    StreamName,
    TeamId,
)
from poplarrelay.messages.calls import AttemptEnded, AttemptResult, RequestArrived
from poplarrelay.messages.effects import (
    AcceptDeferred,
    AppendRecord,
    Effect,
    EndRequest,
    ForwardRequest,
    QueryAllPeers,
    QueryCopies,
    QueryKey,
    RejectRequest,
    Reply,
    RunAttempt,
    SendHandover,
    StopProcess,
    StoreCopy,
)
from poplarrelay.messages.encoding import decode_work, encode_outcome
from poplarrelay.messages.gossip import (
    CopyReply,
    CopyStatuses,
    HandoverReply,
    KeyReply,
)
from poplarrelay.messages.inbox import Inbox, Message
from poplarrelay.messages.peers import (
    AllPeersAnswered,
    CopiesAnswered,
    CopiesQueried,
    CopyAnswered,
    CopyReceived,
    ForwardAnswered,
    HandoverAnswered,
    HandoverReceived,
    KeyAnswered,
    KeyQueried,
)
from poplarrelay.messages.platform import LogFailed, RecordsRead
from poplarrelay.messages.questions import CallId, LookupRequested, ShutdownRequested
from poplarrelay.messages.records import Record, RecordValue
from poplarrelay.outcomes import NotRun, Outcome, ServiceAnswer
from poplarrelay.systems.concluding import outcome_tag
from poplarrelay.systems.gossiping import gossip_rows, merge_row, own_row
from poplarrelay.systems.keys import ticket_prefix
from poplarrelay.systems.lookups import (
    LookupAtPeers,
    LookupResult,
    SearchResult,
    combine_search,
)
from poplarrelay.systems.schedule import run_tick
from poplarrelay.tables.members import MemberStatus
from poplarrelay.tables.requests import RequestClass, Work, WorkKind
from poplarrelay.tables.world import CLAIMS, CONFIGURATION, World
from poplarrelay.testing.site import hash_token, team_token
from poplarrelay.testing.worlds import TEAM, make_world

__all__ = [
    "Action",
    "Deferral",
    "FakeLog",
    "FakeNode",
    "FakeSystem",
    "Submission",
]


class FakeLog:
    """In-memory log that keeps the records of each stream.

    Attributes
    ----------
    up : bool
        Whether the log is available.
    """

    def __init__(self) -> None:
        self.up = True
        self._streams: dict[StreamName, list[RecordValue]] = {}

    def append(self, stream: StreamName, value: RecordValue) -> None:
        """Append a record to a stream."""
        self._streams.setdefault(stream, []).append(value)

    def read(self, stream: StreamName, start: int) -> RecordsRead:
        """Return all records of a stream at or after an offset."""
        values = self._streams.get(stream, [])
        records = tuple(
            Record(Offset(offset), value)
            for offset, value in enumerate(values)
            if offset >= start
        )
        next_offset = Offset(len(values))
        return RecordsRead(stream, Offset(start), Offset(0), next_offset, None, records)


@dataclass(slots=True)
class Submission:
    """A request as its caller sees it.

    Attributes
    ----------
    number : int
        Serial number of the request.
    key : str
        Its idempotency key.
    node : str
        Name of the node that received it.
    outcomes : list of Outcome
        Outcomes that the caller has received.
    """

    number: int
    key: str
    node: str
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(slots=True)
class Deferral:
    """A deferred request as its caller sees it.

    Attributes
    ----------
    owner : str
        Name of the node that owns the request.
    repeatable : bool
        Whether the request can run more than once.
    accepted : bool
        Whether the caller has received the id.
    copied : bool
        Whether a peer had confirmed a copy when the request was accepted.
    fetched_outcome : str or None
        Tag of the outcome that the caller has fetched.
    runs : int
        Number of runs at the service.
    """

    id: RequestId
    owner: str
    repeatable: bool
    accepted: bool = False
    copied: bool = False
    fetched_outcome: str | None = None
    runs: int = 0


@dataclass(slots=True)
class Action:
    """An effect that has left a node and has not been performed yet."""

    node: FakeNode
    effect: Effect
    sent: bool = False


@dataclass(slots=True)
class FakeNode:
    """A world and the state of its process.

    Attributes
    ----------
    inbox : list of Message
        Messages for the next tick.
    unprocessed : list of RequestArrived
        Requests that have arrived since the process was paused.
    frozen_at : float or None
        Time at which the process was paused, None while it runs.
    dead : bool
        Whether the process has ended.
    """

    name: str
    world: World = field(repr=False)
    inbox: list[Message] = field(default_factory=list)
    unprocessed: list[RequestArrived] = field(default_factory=list)
    frozen_at: float | None = None
    dead: bool = False

    @property
    def frozen(self) -> bool:
        """Return whether the process is paused."""
        return self.frozen_at is not None

    @property
    def answers(self) -> bool:
        """Return whether the process runs, and so replies to its peers."""
        return not self.frozen and not self.dead


class FakeSystem:
    """Nodes, a log, and a service that counts runs.

    Attributes
    ----------
    now : float
        Simulated time in seconds.
    actions : list of Action
        Effects that have not been performed yet.
    runs : Counter of str
        Number of runs at the service, by key.
    forbidden : dict of str to int
        Highest submission number that must not run any more, by key. When a caller
        receives "not run", all submissions of the key up to then must not run.
    violations : list of str
        Violations of the rule that a key runs at most once, and never after a caller
        has received "not run".
    submissions, deferrals : dict
        Requests of callers, by id.
    """

    def __init__(self, names: tuple[str, ...] = ("n1", "n2", "n3")) -> None:
        self.now = 1000.0
        self.log = FakeLog()
        self.nodes: dict[str, FakeNode] = {}
        self.actions: list[Action] = []
        self.runs: Counter[str] = Counter()
        self.forbidden: dict[str, int] = {}
        self.violations: list[str] = []
        self.submissions: dict[RequestId, Submission] = {}
        self.answered = 0
        self.deferrals: dict[RequestId, Deferral] = {}
        self._request_numbers = itertools.count(1)
        self._incarnation_numbers = itertools.count(1)
        self._call_ids = itertools.count(1)
        self._replies: dict[int, object] = {}
        self._origins: dict[RequestId, tuple[FakeNode, RequestId]] = {}
        for name in names:
            self.start(name)
        self.exchange_all_gossip()

    # -- lifecycle of nodes ------------------------------------------------

    def start(self, name: str) -> None:
        """Start or restart a node's process with a new incarnation."""
        incarnation = f"{next(self._incarnation_numbers):08x}"
        index = int(name[1:])
        world = make_world(name, index, incarnation, self.now)
        self.nodes[name] = FakeNode(name, world)

    def exchange_all_gossip(self) -> None:
        """Exchange gossip between all running nodes."""
        for receiver in self.nodes.values():
            for sender in self.nodes.values():
                if receiver is not sender and receiver.answers and sender.answers:
                    self.gossip(receiver, sender)

    def gossip(self, receiver: FakeNode, sender: FakeNode) -> None:
        """Merge the sender's own row and its other rows into the receiver's table."""
        merge_row(receiver.world, own_row(sender.world, self.now), self.now)
        for row in gossip_rows(sender.world, full=True):
            merge_row(receiver.world, row, self.now)

    def crash(self, name: str) -> None:
        """End a process abruptly, and discard its actions."""
        node = self.nodes[name]
        node.dead = True
        self.actions = [action for action in self.actions if action.node is not node]

    def declare_dead(self, name: str) -> None:
        """Mark a node as dead at all running nodes that have its row."""
        for node in self.nodes.values():
            member = node.world.members.get(self.nodes[name].world.node)
            if member is not None and node.answers:
                member.status = MemberStatus.DEAD
                member.changed_at = self.now

    def freeze(self, name: str) -> None:
        """Pause a process; its sockets stay open."""
        node = self.nodes[name]
        if not node.frozen:
            node.frozen_at = self.now

    def thaw(self, name: str) -> None:
        """Resume a process, which then reads the requests that arrived meanwhile.

        Notes
        -----
        As with a node's arrival clock, these requests count as received at the
        beginning of the pause.
        """
        node = self.nodes[name]
        if node.frozen_at is None:
            return
        frozen_at, node.frozen_at = node.frozen_at, None
        for arrived in node.unprocessed:
            node.inbox.append(replace(arrived, received=frozen_at))
        node.unprocessed.clear()

    # -- callers -----------------------------------------------------------

    def ticket(self, owner: str, nonce: str) -> str:
        """Return a ticket that a node owns."""
        world = self.nodes[owner].world
        prefix = ticket_prefix(world.node, world.incarnation, world.epoch(self.now))
        return f"{prefix}.{nonce}"

    def submit(self, name: str, key: str, timeout_s: float = 8.0) -> Submission:
        """Send a booking to a node."""
        node = self.nodes[name]
        number = next(self._request_numbers)
        submission = Submission(number, key, name)
        request = RequestId(f"r.{name}.{node.world.incarnation}.{number}")
        self.submissions[request] = submission
        work = Work(WorkKind.SERVICE, "booking", path="/confirm", fingerprint=key)
        self._deliver_request(
            node,
            RequestArrived(
                id=request,
                token_sha256=hash_token(team_token(TEAM)),
                work=work,
                request_class=RequestClass.STANDARD,
                timeout_s=timeout_s,
                received=self.now,
                key=IdempotencyKey(key),
            ),
        )
        return submission

    def defer(
        self, name: str, repeatable: bool = True, key: str | None = None
    ) -> Deferral:
        """Send a deferred request to a node."""
        node = self.nodes[name]
        number = next(self._request_numbers)
        request = RequestId(f"r.{name}.{node.world.incarnation}.{number}")
        self.deferrals[request] = Deferral(request, name, repeatable)
        method = "GET" if repeatable else "POST"
        work = Work(WorkKind.SERVICE, "booking", method, fingerprint=request)
        arrived = RequestArrived(
            id=request,
            token_sha256=hash_token(team_token(TEAM)),
            work=work,
            request_class=RequestClass.PATIENT,
            timeout_s=None,
            received=self.now,
            key=None if key is None else IdempotencyKey(key),
            deferred=True,
        )
        self._deliver_request(node, arrived)
        return self.deferrals[request]

    def look_up(self, name: str, deferral: Deferral) -> str:
        """Look up a deferred request at a node, as its caller does.

        Returns
        -------
        result : str
            Tag of the outcome, or the value of a `SearchResult`.
        """
        found = self._request_lookup(name, deferral.id, forwarded=False)
        if isinstance(found, LookupAtPeers):
            return self._look_up_at_peers(deferral, found)
        return self._describe_result(found)

    def _look_up_at_peers(self, deferral: Deferral, found: LookupAtPeers) -> str:
        copies, silent = False, set()
        for peer in found.peers:
            node = self._node_at(peer)
            if node is None or not node.answers:
                silent.add(peer)
                continue
            reply = self._request_lookup(node.name, deferral.id, forwarded=True)
            if isinstance(reply, LookupResult) and not reply.copy:
                return self._describe_result(reply)
            copies = copies or isinstance(reply, LookupResult)
        return combine_search(found, copies, silent).value

    def _request_lookup(self, name: str, request: RequestId, forwarded: bool) -> object:
        node = self.nodes[name]
        call = CallId(next(self._call_ids))
        token = hash_token(team_token(TEAM))
        team = TeamId(TEAM) if forwarded else None
        node.inbox.append(LookupRequested(call, token, request, team, forwarded))
        self.tick(name)
        return self._replies.pop(call)

    @staticmethod
    def _describe_result(found: object) -> str:
        if not isinstance(found, LookupResult):
            return SearchResult.ABSENT.value
        if found.outcome is None:
            return SearchResult.RUNNING.value
        return outcome_tag(found.outcome)

    @staticmethod
    def _deliver_request(node: FakeNode, arrived: RequestArrived) -> None:
        (node.unprocessed if node.frozen else node.inbox).append(arrived)

    # -- time --------------------------------------------------------------

    def tick(self, name: str) -> None:
        """Run one tick of a node, if its process runs."""
        node = self.nodes[name]
        if not node.answers:
            return
        messages, node.inbox = node.inbox, []
        messages.append(
            RecordsRead(CONFIGURATION, Offset(2), Offset(0), Offset(2), None, ())
        )
        for effect in run_tick(node.world, Inbox(messages), self.now):
            self._handle_effect(node, effect)

    def tick_all(self) -> None:
        """Run one tick of every node."""
        for name in self.nodes:
            self.tick(name)

    def read_log(self, name: str) -> None:
        """Deliver the next claim records to a node, or a failure if the log is down."""
        node = self.nodes[name]
        if not node.answers:
            return
        if not self.log.up:
            node.inbox.append(LogFailed(CLAIMS))
            return
        position = node.world.streams[CLAIMS]
        node.inbox.append(self.log.read(CLAIMS, position.next))

    def perform_all(self, kind: type, lost: bool = False) -> None:
        """Perform each action whose effect is of a kind once."""
        for action in [a for a in self.actions if isinstance(a.effect, kind)]:
            self.perform(action, lost)

    def leave(self, name: str, within_s: float) -> None:
        """Order a node to shut down within some seconds."""
        self.nodes[name].inbox.append(ShutdownRequested(within_s))

    # -- effects -----------------------------------------------------------

    def _handle_effect(self, node: FakeNode, effect: Effect) -> None:
        match effect:
            case Reply():
                self._replies[effect.call] = effect.value
            case EndRequest():
                self._record_outcome(node, effect)
            case AcceptDeferred():
                self._record_acceptance(node, effect)
            case RejectRequest():
                self._origins.pop(effect.request, None)
            case StopProcess():
                node.dead = True
            case (
                AppendRecord()
                | QueryKey()
                | QueryAllPeers()
                | ForwardRequest()
                | RunAttempt()
                | SendHandover()
                | StoreCopy()
                | QueryCopies()
            ):
                self.actions.append(Action(node, effect))

    def _record_outcome(self, node: FakeNode, effect: EndRequest) -> None:
        origin = self._origins.pop(effect.request, None)
        if origin is not None:
            forwarder, request = origin
            reply = KeyReply(state="finished", outcome=encode_outcome(effect.outcome))
            forwarder.inbox.append(ForwardAnswered(request, True, reply))
            return
        submission = self.submissions.get(effect.request)
        if submission is None:
            return
        submission.outcomes.append(effect.outcome)
        if isinstance(effect.outcome, NotRun):
            self._record_not_run(submission)

    def _record_acceptance(self, node: FakeNode, effect: AcceptDeferred) -> None:
        deferral = self.deferrals[effect.request]
        deferral.accepted = True
        copy = node.world.sent_copies[effect.request]
        deferral.copied = copy.holder is not None

    def _record_not_run(self, submission: Submission) -> None:
        key = submission.key
        if self.runs[key]:
            self.violations.append(f"{key}: reported as not run after it ran")
        newest = max(p.number for p in self.submissions.values() if p.key == key)
        self.forbidden[key] = max(self.forbidden.get(key, 0), newest)

    def perform(self, action: Action, lost: bool = False) -> None:
        """Perform an action, unless its node is paused.

        Parameters
        ----------
        action : Action
            One of `actions`. It is removed, except an append that the node retries.
        lost : bool
            Whether the reply is lost.
        """
        if action.node.frozen:
            return
        self.actions.remove(action)
        effect = action.effect
        match effect:
            case AppendRecord():
                self._append(action, effect, lost)
            case QueryKey():
                self._query_key(action.node, effect, lost)
            case QueryAllPeers():
                self._query_all_peers(action.node, effect, lost)
            case ForwardRequest():
                self._forward(action.node, effect, lost)
            case RunAttempt():
                self._run_attempt(action.node, effect, lost)
            case SendHandover():
                self._send_handover(action.node, effect, lost)
            case StoreCopy():
                self._store_copy(action.node, effect, lost)
            case QueryCopies():
                self._query_copies(action.node, effect, lost)

    def _append(self, action: Action, effect: AppendRecord, lost: bool) -> None:
        if self.now >= effect.expires_at:
            return
        if self.log.up:
            self.log.append(effect.stream, effect.value)
        if not self.log.up or lost:
            action.node.inbox.append(LogFailed(effect.stream))
            self.actions.append(action)

    def _node_at(self, peer: str) -> FakeNode | None:
        for node in self.nodes.values():
            if node.world.me.peers == peer:
                return node
        return None

    def _call(self, peer: str, make_message) -> object | None:  # type: ignore[no-untyped-def]
        """Call a peer and return its reply; a paused peer reads the call later."""
        node = self._node_at(peer)
        if node is None or node.dead:
            return None
        call = CallId(next(self._call_ids))
        node.inbox.append(make_message(call))
        self.tick(node.name)
        return self._replies.pop(call, None)

    def _query_key(self, node: FakeNode, effect: QueryKey, lost: bool) -> None:
        reply = self._call(effect.peer, lambda call: KeyQueried(call, effect.query))
        received = reply if isinstance(reply, KeyReply) and not lost else None
        node.inbox.append(KeyAnswered(effect.request, received))

    def _query_all_peers(
        self, node: FakeNode, effect: QueryAllPeers, lost: bool
    ) -> None:
        replies = [
            self._call(peer, lambda call: KeyQueried(call, effect.query))
            for peer in effect.peers
        ]
        absent = not lost and all(
            isinstance(reply, KeyReply) and reply.state == "absent" for reply in replies
        )
        node.inbox.append(AllPeersAnswered(effect.request, absent))

    def _forward(self, node: FakeNode, effect: ForwardRequest, lost: bool) -> None:
        owner = self._node_at(effect.peer)
        unanswered = ForwardAnswered(effect.request, False)
        if owner is None or owner.dead:
            node.inbox.append(unanswered)
            return
        message = effect.message
        request = RequestId(f"{effect.request}~{next(self._call_ids)}")
        origin = self.submissions.get(effect.request)
        if origin is not None:
            self.submissions[request] = Submission(
                origin.number, origin.key, owner.name
            )
        if owner.frozen or lost:
            node.inbox.append(unanswered)
        else:
            self._origins[request] = (node, effect.request)
        self._deliver_request(
            owner,
            RequestArrived(
                id=request,
                token_sha256="",
                work=decode_work(message),
                request_class=RequestClass(message.request_class),
                timeout_s=message.remaining_s,
                received=self.now,
                key=IdempotencyKey(message.key or ""),
                forwarded=True,
                team=TeamId(message.team),
                age_s=message.age_s,
                owner_clock=message.home_clock,
            ),
        )

    def _run_attempt(self, node: FakeNode, effect: RunAttempt, lost: bool) -> None:
        attempt = effect.attempt
        if self.now >= attempt.deadline:
            result = AttemptResult.NOT_STARTED
            node.inbox.append(AttemptEnded(attempt.request, attempt.id, result))
            return
        deferral = self.deferrals.get(attempt.request)
        if deferral is not None:
            deferral.runs += 1
        else:
            self._record_run(self.submissions[attempt.request])
        result = AttemptResult.BROKEN if lost else AttemptResult.FINISHED
        answer = None if lost else ServiceAnswer(200, "text/plain", b"confirmed")
        node.inbox.append(
            AttemptEnded(attempt.request, attempt.id, result, service=answer)
        )

    def _record_run(self, submission: Submission) -> None:
        key = submission.key
        self.runs[key] += 1
        if self.runs[key] > 1:
            self.violations.append(f"{key}: ran {self.runs[key]} times")
        if submission.number <= self.forbidden.get(key, 0):
            self.violations.append(f"{key}: ran after it was reported as not run")

    def refuse_attempt(self, action: Action) -> None:
        """Perform an attempt that the endpoint refuses before it starts."""
        self.actions.remove(action)
        assert isinstance(action.effect, RunAttempt)
        attempt = action.effect.attempt
        ended = AttemptEnded(attempt.request, attempt.id, AttemptResult.NOT_STARTED)
        action.node.inbox.append(ended)

    def _send_handover(self, node: FakeNode, effect: SendHandover, lost: bool) -> None:
        message = effect.message
        reply = self._call(effect.peer, lambda call: HandoverReceived(call, message))
        received = reply if isinstance(reply, HandoverReply) and not lost else None
        node.inbox.append(HandoverAnswered(effect.node, message.id, received))

    def _store_copy(self, node: FakeNode, effect: StoreCopy, lost: bool) -> None:
        message = effect.message
        reply = self._call(effect.peer, lambda call: CopyReceived(call, message))
        received = reply if isinstance(reply, CopyReply) and not lost else None
        node.inbox.append(CopyAnswered(effect.request, received))

    def _query_copies(self, node: FakeNode, effect: QueryCopies, lost: bool) -> None:
        query = effect.query
        reply = self._call(effect.peer, lambda call: CopiesQueried(call, query))
        received = reply if isinstance(reply, CopyStatuses) and not lost else None
        requests = tuple(RequestId(request) for request in query.requests)
        node.inbox.append(CopiesAnswered(effect.node, requests, received))

    # -- running until idle ------------------------------------------------

    def run_rounds(self, rounds: int = 40) -> None:
        """Read the log, run ticks and perform all actions for a number of rounds."""
        for _ in range(rounds):
            for name in self.nodes:
                self.read_log(name)
            self.tick_all()
            for action in list(self.actions):
                if action in self.actions:
                    self.perform(action)
            self.tick_all()
            self.now += 0.3
