"""Fakes at the interfaces: worlds that talk without processes, clocks or sockets.

Nothing happens by itself. Every effect that leaves a world becomes an action, and
the test decides when it is carried out, whether its answer is lost, and which node
is frozen, crashed or cut off meanwhile.
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
from poplarrelay.messages.questions import CallId, LookupAsked, ShutdownAsked
from poplarrelay.messages.records import Record, RecordValue
from poplarrelay.outcomes import NotRun, Outcome, ServiceAnswer
from poplarrelay.systems.concluding import outcome_tag
from poplarrelay.systems.gossiping import gossip_rows, merge_row, own_row
from poplarrelay.systems.keys import ticket_prefix
from poplarrelay.systems.lookups import (
    LookupElsewhere,
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
    """Streams in memory."""

    def __init__(self) -> None:
        self.up = True
        self._streams: dict[StreamName, list[RecordValue]] = {}

    def append(self, stream: StreamName, value: RecordValue) -> None:
        """Append a record."""
        self._streams.setdefault(stream, []).append(value)

    def read(self, stream: StreamName, start: int) -> RecordsRead:
        """Return all records from an offset on."""
        values = self._streams.get(stream, [])
        records = tuple(
            Record(Offset(offset), value)
            for offset, value in enumerate(values)
            if offset >= start
        )
        following = Offset(len(values))
        return RecordsRead(stream, Offset(start), Offset(0), following, None, records)


@dataclass(slots=True)
class Submission:
    """A request as its caller sees it."""

    number: int
    key: str
    node: str
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(slots=True)
class Deferral:
    """A deferred request as its caller sees it.

    Attributes
    ----------
    accepted : bool
        Whether the caller has its id.
    copied : bool
        Whether a peer had confirmed a copy by then.
    told : str or None
        The outcome that the caller has fetched.
    """

    id: RequestId
    home: str
    repeatable: bool
    accepted: bool = False
    copied: bool = False
    told: str | None = None
    runs: int = 0


@dataclass(slots=True)
class Action:
    """An effect that has left a node and has not been carried out yet."""

    node: FakeNode
    effect: Effect
    sent: bool = False


@dataclass(slots=True)
class FakeNode:
    """A world and whether its process runs."""

    name: str
    world: World = field(repr=False)
    inbox: list[Message] = field(default_factory=list)
    unread: list[RequestArrived] = field(default_factory=list)
    frozen_at: float | None = None
    dead: bool = False

    @property
    def frozen(self) -> bool:
        """Return whether the process is stopped."""
        return self.frozen_at is not None

    @property
    def answers(self) -> bool:
        """Return whether it answers its peers."""
        return not self.frozen and not self.dead


class FakeSystem:
    """Several nodes, a log, and a service that counts runs.

    Attributes
    ----------
    runs : Counter of str
        Runs at the service, by key.
    forbidden : dict of str to int
        By key, the newest presentation whose caller, or an earlier one's, was told
        "not run"; none up to it may run any more.
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
        self._numbers = itertools.count(1)
        self._incarnations = itertools.count(1)
        self._calls = itertools.count(1)
        self._replies: dict[int, object] = {}
        self._origins: dict[RequestId, tuple[FakeNode, RequestId]] = {}
        for name in names:
            self.start(name)
        self.introduce_all()

    # -- life of nodes -----------------------------------------------------

    def start(self, name: str) -> None:
        """Start a node's process, or start it again with a new incarnation."""
        incarnation = f"{next(self._incarnations):08x}"
        index = int(name[1:])
        world = make_world(name, index, incarnation, self.now)
        self.nodes[name] = FakeNode(name, world)

    def introduce_all(self) -> None:
        """Let all nodes that answer know each other."""
        for one in self.nodes.values():
            for other in self.nodes.values():
                if one is not other and one.answers and other.answers:
                    self.gossip(one, other)

    def gossip(self, one: FakeNode, other: FakeNode) -> None:
        """Let a node hear the newest of another, and all that it knows."""
        merge_row(one.world, own_row(other.world, self.now), self.now)
        for row in gossip_rows(other.world, full=True):
            merge_row(one.world, row, self.now)

    def crash(self, name: str) -> None:
        """End a process without any order."""
        node = self.nodes[name]
        node.dead = True
        self.actions = [action for action in self.actions if action.node is not node]

    def declare_dead(self, name: str) -> None:
        """Let all other nodes take one for dead."""
        for node in self.nodes.values():
            member = node.world.members.get(self.nodes[name].world.node)
            if member is not None and node.answers:
                member.status = MemberStatus.DEAD
                member.changed_at = self.now

    def freeze(self, name: str) -> None:
        """Stop a process; its sockets stay open."""
        node = self.nodes[name]
        if not node.frozen:
            node.frozen_at = self.now

    def thaw(self, name: str) -> None:
        """Let a process go on; it now reads what came meanwhile.

        Notes
        -----
        As the node's arrival clock has it, what is read then counts as having come
        when the freeze began.
        """
        node = self.nodes[name]
        if node.frozen_at is None:
            return
        frozen_at, node.frozen_at = node.frozen_at, None
        for arrived in node.unread:
            node.inbox.append(replace(arrived, received=frozen_at))
        node.unread.clear()

    # -- callers -----------------------------------------------------------

    def ticket(self, home: str, nonce: str) -> str:
        """Return a ticket that a node runs."""
        world = self.nodes[home].world
        prefix = ticket_prefix(world.node, world.incarnation, world.epoch(self.now))
        return f"{prefix}.{nonce}"

    def submit(self, name: str, key: str, timeout_s: float = 8.0) -> Submission:
        """Bring a booking to a node."""
        node = self.nodes[name]
        number = next(self._numbers)
        submission = Submission(number, key, name)
        request = RequestId(f"r.{name}.{node.world.incarnation}.{number}")
        self.submissions[request] = submission
        work = Work(WorkKind.SERVICE, "booking", path="/confirm", fingerprint=key)
        self._bring(
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
        """Bring a request whose answer is fetched later."""
        node = self.nodes[name]
        number = next(self._numbers)
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
        self._bring(node, arrived)
        return self.deferrals[request]

    def look_up(self, name: str, deferral: Deferral) -> str:
        """Ask a node what became of a deferred request, and return its word.

        Returns
        -------
        word : str
            An outcome's tag, or the value of a `SearchResult`.
        """
        found = self._ask(name, deferral.id, forwarded=False)
        if isinstance(found, LookupElsewhere):
            return self._search(deferral, found)
        return self._word(found)

    def _search(self, deferral: Deferral, found: LookupElsewhere) -> str:
        copies, silent = False, set()
        for peer in found.peers:
            node = self._at(peer)
            if node is None or not node.answers:
                silent.add(peer)
                continue
            answer = self._ask(node.name, deferral.id, forwarded=True)
            if isinstance(answer, LookupResult) and not answer.copy:
                return self._word(answer)
            copies = copies or isinstance(answer, LookupResult)
        return combine_search(found, copies, silent).value

    def _ask(self, name: str, request: RequestId, forwarded: bool) -> object:
        node = self.nodes[name]
        call = CallId(next(self._calls))
        token = hash_token(team_token(TEAM))
        team = TeamId(TEAM) if forwarded else None
        node.inbox.append(LookupAsked(call, token, request, team, forwarded))
        self.tick(name)
        return self._replies.pop(call)

    @staticmethod
    def _word(found: object) -> str:
        if not isinstance(found, LookupResult):
            return SearchResult.ABSENT.value
        if found.outcome is None:
            return SearchResult.RUNNING.value
        return outcome_tag(found.outcome)

    @staticmethod
    def _bring(node: FakeNode, arrived: RequestArrived) -> None:
        (node.unread if node.frozen else node.inbox).append(arrived)

    # -- time --------------------------------------------------------------

    def tick(self, name: str) -> None:
        """Run a node's systems once."""
        node = self.nodes[name]
        if not node.answers:
            return
        messages, node.inbox = node.inbox, []
        messages.append(
            RecordsRead(CONFIGURATION, Offset(2), Offset(0), Offset(2), None, ())
        )
        for effect in run_tick(node.world, Inbox(messages), self.now):
            self._take(node, effect)

    def tick_all(self) -> None:
        """Run the systems of every node."""
        for name in self.nodes:
            self.tick(name)

    def read_log(self, name: str) -> None:
        """Let a node read its claims, or fail to."""
        node = self.nodes[name]
        if not node.answers:
            return
        if not self.log.up:
            node.inbox.append(LogFailed(CLAIMS))
            return
        position = node.world.streams[CLAIMS]
        node.inbox.append(self.log.read(CLAIMS, position.next))

    def perform_all(self, kind: type, lost: bool = False) -> None:
        """Carry out all actions of a kind, once each."""
        for action in [a for a in self.actions if isinstance(a.effect, kind)]:
            self.perform(action, lost)

    def leave(self, name: str, within_s: float) -> None:
        """Tell a node to leave."""
        self.nodes[name].inbox.append(ShutdownAsked(within_s))

    # -- effects -----------------------------------------------------------

    def _take(self, node: FakeNode, effect: Effect) -> None:
        match effect:
            case Reply():
                self._replies[effect.call] = effect.value
            case EndRequest():
                self._conclude(node, effect)
            case AcceptDeferred():
                self._accept(node, effect)
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

    def _conclude(self, node: FakeNode, effect: EndRequest) -> None:
        origin = self._origins.pop(effect.request, None)
        if origin is not None:
            asker, request = origin
            reply = KeyReply(state="finished", outcome=encode_outcome(effect.outcome))
            asker.inbox.append(ForwardAnswered(request, True, reply))
            return
        submission = self.submissions.get(effect.request)
        if submission is None:
            return
        submission.outcomes.append(effect.outcome)
        if isinstance(effect.outcome, NotRun):
            self._told_not_run(submission)

    def _accept(self, node: FakeNode, effect: AcceptDeferred) -> None:
        deferral = self.deferrals[effect.request]
        deferral.accepted = True
        copy = node.world.sent_copies[effect.request]
        deferral.copied = copy.holder is not None

    def _told_not_run(self, submission: Submission) -> None:
        key = submission.key
        if self.runs[key]:
            self.violations.append(f"{key}: told not run after it ran")
        newest = max(p.number for p in self.submissions.values() if p.key == key)
        self.forbidden[key] = max(self.forbidden.get(key, 0), newest)

    def perform(self, action: Action, lost: bool = False) -> None:
        """Carry out an action.

        Parameters
        ----------
        action : Action
            One of `actions`; it is taken off unless it will be sent again.
        lost : bool
            Whether its answer is lost.
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
                self._run(action.node, effect, lost)
            case SendHandover():
                self._send_handover(action.node, effect, lost)
            case StoreCopy():
                self._store_copy(action.node, effect, lost)
            case QueryCopies():
                self._query_copies(action.node, effect, lost)

    def _append(self, action: Action, effect: AppendRecord, lost: bool) -> None:
        if self.now >= effect.until:
            return
        if self.log.up:
            self.log.append(effect.stream, effect.value)
        if not self.log.up or lost:
            action.node.inbox.append(LogFailed(effect.stream))
            self.actions.append(action)

    def _at(self, peer: str) -> FakeNode | None:
        for node in self.nodes.values():
            if node.world.me.peers == peer:
                return node
        return None

    def _call(self, peer: str, make) -> object | None:  # type: ignore[no-untyped-def]
        """Call a peer; a frozen one finds the call when it is thawed."""
        node = self._at(peer)
        if node is None or node.dead:
            return None
        call = CallId(next(self._calls))
        node.inbox.append(make(call))
        self.tick(node.name)
        return self._replies.pop(call, None)

    def _query_key(self, node: FakeNode, effect: QueryKey, lost: bool) -> None:
        reply = self._call(effect.peer, lambda call: KeyQueried(call, effect.query))
        answer = reply if isinstance(reply, KeyReply) and not lost else None
        node.inbox.append(KeyAnswered(effect.request, answer))

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
        home = self._at(effect.peer)
        unanswered = ForwardAnswered(effect.request, False)
        if home is None or home.dead:
            node.inbox.append(unanswered)
            return
        stored = effect.stored
        request = RequestId(f"{effect.request}~{next(self._calls)}")
        origin = self.submissions.get(effect.request)
        if origin is not None:
            self.submissions[request] = Submission(origin.number, origin.key, home.name)
        if home.frozen or lost:
            node.inbox.append(unanswered)
        else:
            self._origins[request] = (node, effect.request)
        self._bring(
            home,
            RequestArrived(
                id=request,
                token_sha256="",
                work=decode_work(stored),
                request_class=RequestClass(stored.request_class),
                timeout_s=stored.remaining_s,
                received=self.now,
                key=IdempotencyKey(stored.key or ""),
                forwarded=True,
                team=TeamId(stored.team),
                age_s=stored.age_s,
                home_clock=stored.home_clock,
            ),
        )

    def _run(self, node: FakeNode, effect: RunAttempt, lost: bool) -> None:
        attempt = effect.attempt
        if self.now >= attempt.deadline:
            result = AttemptResult.NOT_STARTED
            node.inbox.append(AttemptEnded(attempt.request, attempt.id, result))
            return
        deferral = self.deferrals.get(attempt.request)
        if deferral is not None:
            deferral.runs += 1
        else:
            self._note_run(self.submissions[attempt.request])
        result = AttemptResult.BROKEN if lost else AttemptResult.FINISHED
        answer = None if lost else ServiceAnswer(200, "text/plain", b"confirmed")
        node.inbox.append(
            AttemptEnded(attempt.request, attempt.id, result, service=answer)
        )

    def _note_run(self, submission: Submission) -> None:
        key = submission.key
        self.runs[key] += 1
        if self.runs[key] > 1:
            self.violations.append(f"{key}: ran {self.runs[key]} times")
        if submission.number <= self.forbidden.get(key, 0):
            self.violations.append(f"{key}: ran after it was told not run")

    def refuse_attempt(self, action: Action) -> None:
        """Let the endpoint refuse an attempt before it starts."""
        self.actions.remove(action)
        assert isinstance(action.effect, RunAttempt)
        attempt = action.effect.attempt
        ended = AttemptEnded(attempt.request, attempt.id, AttemptResult.NOT_STARTED)
        action.node.inbox.append(ended)

    def _send_handover(self, node: FakeNode, effect: SendHandover, lost: bool) -> None:
        message = effect.message
        reply = self._call(effect.peer, lambda call: HandoverReceived(call, message))
        answer = reply if isinstance(reply, HandoverReply) and not lost else None
        node.inbox.append(HandoverAnswered(effect.node, message.id, answer))

    def _store_copy(self, node: FakeNode, effect: StoreCopy, lost: bool) -> None:
        message = effect.message
        reply = self._call(effect.peer, lambda call: CopyReceived(call, message))
        answer = reply if isinstance(reply, CopyReply) and not lost else None
        node.inbox.append(CopyAnswered(effect.request, answer))

    def _query_copies(self, node: FakeNode, effect: QueryCopies, lost: bool) -> None:
        query = effect.query
        reply = self._call(effect.peer, lambda call: CopiesQueried(call, query))
        answer = reply if isinstance(reply, CopyStatuses) and not lost else None
        requests = tuple(RequestId(request) for request in query.requests)
        node.inbox.append(CopiesAnswered(effect.node, requests, answer))

    # -- running on --------------------------------------------------------

    def settle(self, rounds: int = 40) -> None:
        """Carry out everything that waits, round by round."""
        for _ in range(rounds):
            for name in self.nodes:
                self.read_log(name)
            self.tick_all()
            for action in list(self.actions):
                if action in self.actions:
                    self.perform(action)
            self.tick_all()
            self.now += 0.3
