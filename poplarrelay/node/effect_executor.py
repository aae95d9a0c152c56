"""Carry out the tick thread's effects without ever making it wait."""

from __future__ import annotations

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass

from poplarrelay.engines.http import read_load, send_model_order
from poplarrelay.exception import EndpointBroken, PlatformError
from poplarrelay.identifiers import RequestId
from poplarrelay.messages.effects import (
    AcceptDeferred,
    AppendRecord,
    Effect,
    EndRequest,
    FetchConfiguration,
    ForwardRequest,
    IncrementCounter,
    ListHosts,
    ListStartedHosts,
    LogDecision,
    MoveAttempt,
    ObserveValue,
    PollLoad,
    ProbePeer,
    QueryAllPeers,
    QueryCopies,
    QueryKey,
    RejectRequest,
    Reply,
    RunAttempt,
    SendGossip,
    SendHandover,
    SendModelOrder,
    StartHost,
    StopHost,
    StopProcess,
    StoreCopy,
)
from poplarrelay.messages.inbox import Message
from poplarrelay.messages.peers import (
    AllPeersAnswered,
    ConfigurationReceived,
    CopiesAnswered,
    CopyAnswered,
    ForwardAnswered,
    HandoverAnswered,
    KeyAnswered,
    ProbeAnswered,
    ProbeFailed,
)
from poplarrelay.messages.platform import (
    HostsListed,
    LoadFailed,
    LoadReported,
    NoticeReceived,
    NoticeSource,
    OrderAnswered,
    StartedHostsListed,
    StartRefused,
)
from poplarrelay.node.log_threads import LogAppender
from poplarrelay.node.logs import log_decision
from poplarrelay.node.mailboxes import Mailbox, Mailboxes
from poplarrelay.node.metrics import NodeMetrics
from poplarrelay.node.peer_client import PeerClient
from poplarrelay.node.sessions import Runtime, Session
from poplarrelay.providers.hosts import CloudStarts, HostList
from poplarrelay.providers.http import JsonHttpClient

__all__ = ["EffectExecutor"]

#: Threads for probes and other short calls to peers.
PEER_THREADS = 6
#: Threads for polls of endpoints, which may hang until their timeout.
POLL_THREADS = 6
#: Threads for requests that are sent on to their home and wait there.
FORWARD_THREADS = 24

_LOG = logging.getLogger("poplarrelay.outbox")


@dataclass(frozen=True, slots=True)
class _DeferredRun:
    """The session of a deferred request, over all its attempts."""

    mailbox: Mailbox
    session: Session


class EffectExecutor:
    """Hands each effect to the thread, or pool of threads, that carries it out.

    Notes
    -----
    The pools are apart, so that endpoints that hang cannot hold back probes, and
    waiting forwards cannot hold back either.
    """

    def __init__(
        self,
        submit: Callable[[Message], None],
        mailboxes: Mailboxes,
        metrics: NodeMetrics,
        appender: LogAppender,
        peers: PeerClient,
        host_list: HostList,
        cloud: CloudStarts,
        http_client: JsonHttpClient,
        deferred_threads: int,
        order_timeout_s: float,
        stop: Callable[[bool], None],
    ) -> None:
        self._submit = submit
        self._mailboxes = mailboxes
        self._metrics = metrics
        self._appender = appender
        self._peers = peers
        self._host_list = host_list
        self._cloud = cloud
        self._http_client = http_client
        self._stop = stop
        self._order_timeout_s = order_timeout_s
        self._runtime: Runtime | None = None
        self._runs: dict[RequestId, _DeferredRun] = {}
        self._peer_pool = ThreadPoolExecutor(PEER_THREADS, "peer")
        self._poll_pool = ThreadPoolExecutor(POLL_THREADS, "poll")
        self._forward_pool = ThreadPoolExecutor(FORWARD_THREADS, "forward")
        self._deferred_pool = ThreadPoolExecutor(deferred_threads, "deferred")

    def set_runtime(self, runtime: Runtime) -> None:
        """Set what deferred sessions run with."""
        self._runtime = runtime

    def perform(self, effect: Effect) -> None:
        """Carry out an effect, or hand it on; never blocks."""
        match effect:
            case RunAttempt(deferred=True):
                self._deferred_pool.submit(self._guard, self._run_deferred, effect)
            case RunAttempt():
                self._deliver(effect.attempt.request, effect)
            case MoveAttempt() | EndRequest() | RejectRequest() | AcceptDeferred():
                self._deliver(effect.request, effect)
            case Reply():
                self._mailboxes.reply(effect.call, effect.value)
            case LogDecision():
                log_decision(effect)
            case IncrementCounter():
                self._metrics.count(effect)
            case ObserveValue():
                self._metrics.observe(effect)
            case AppendRecord():
                self._appender.add(effect)
            case StopProcess():
                self._stop(effect.clean)
            case _:
                self._hand_on(effect)

    def _hand_on(self, effect: Effect) -> None:
        match effect:
            case PollLoad():
                self._poll_pool.submit(self._guard, self._poll, effect)
            case SendModelOrder():
                self._poll_pool.submit(self._guard, self._send_model_order, effect)
            case ListStartedHosts():
                self._poll_pool.submit(self._guard, self._list_started_hosts, effect)
            case StartHost():
                self._poll_pool.submit(self._guard, self._start_host, effect)
            case StopHost():
                self._poll_pool.submit(self._guard, self._stop_host, effect)
            case ListHosts():
                self._poll_pool.submit(self._guard, self._list_hosts, effect)
            case ForwardRequest():
                self._forward_pool.submit(self._guard, self._forward, effect)
            case ProbePeer():
                self._peer_pool.submit(self._guard, self._probe, effect)
            case SendGossip():
                for peer in effect.peers:
                    self._peer_pool.submit(
                        self._guard, self._send_news, (peer, effect.message)
                    )
            case QueryKey():
                self._peer_pool.submit(self._guard, self._query_key, effect)
            case QueryAllPeers():
                self._forward_pool.submit(self._guard, self._query_all_peers, effect)
            case FetchConfiguration():
                self._peer_pool.submit(self._guard, self._fetch, effect)
            case StoreCopy():
                self._forward_pool.submit(self._guard, self._store_copy, effect)
            case QueryCopies():
                self._forward_pool.submit(self._guard, self._query_copies, effect)
            case SendHandover():
                self._peer_pool.submit(self._guard, self._send_handover, effect)

    @staticmethod
    def _guard(work: Callable, argument: object) -> None:
        try:
            work(argument)
        except Exception:
            # A pool keeps a failure to itself; without this line a defect here
            # would look like a silent peer.
            _LOG.exception("effect failed")

    def _deliver(
        self,
        request: RequestId,
        effect: RunAttempt | MoveAttempt | EndRequest | RejectRequest | AcceptDeferred,
    ) -> None:
        """Give an instruction to the thread that waits, and to a deferred run.

        A deferred request may be run before its caller has been told that it is
        accepted, so the two have mailboxes of their own.
        """
        mailbox = self._mailboxes.find(request)
        to_run_alone = isinstance(effect, EndRequest) and effect.deferred
        if mailbox is not None and not to_run_alone:
            mailbox.put(effect)
        run = self._runs.get(request)
        if run is not None:
            run.mailbox.put(effect)
        if isinstance(effect, EndRequest):
            self._runs.pop(request, None)

    def _run_deferred(self, effect: RunAttempt) -> None:
        """Run an attempt of a deferred request.

        The session stays until the request has ended: it holds the tokens of
        earlier attempts, which belong to the answer.
        """
        assert self._runtime is not None
        request = effect.attempt.request
        run = self._runs.get(request)
        if run is None:
            mailbox = Mailbox()
            run = _DeferredRun(mailbox, Session(self._runtime, request, mailbox))
            self._runs[request] = run
        for _ in run.session.run_attempt(effect):
            pass

    def _poll(self, effect: PollLoad) -> None:
        try:
            answer = read_load(effect.endpoint, effect.address, self._http_client)
        except EndpointBroken:
            self._submit(LoadFailed(effect.endpoint))
            return
        if answer.leaving_s is not None:
            source = NoticeSource.ENDPOINT
            self._submit(NoticeReceived(answer.leaving_s, source, effect.endpoint))
        self._submit(LoadReported(effect.endpoint, answer.report, answer.models))

    def _send_model_order(self, effect: SendModelOrder) -> None:
        taken = send_model_order(effect, self._http_client, self._order_timeout_s)
        self._submit(OrderAnswered(effect.endpoint, taken))

    def _list_started_hosts(self, effect: ListStartedHosts) -> None:
        with suppress(PlatformError):
            self._submit(StartedHostsListed(self._cloud.started()))

    def _start_host(self, effect: StartHost) -> None:
        # A start without an answer shows in the next list or is repeated under the
        # same token.
        with suppress(PlatformError):
            if not self._cloud.start(effect):
                self._submit(StartRefused(effect.domain, effect.machine_class))

    def _stop_host(self, effect: StopHost) -> None:
        with suppress(PlatformError):
            self._cloud.stop(effect)

    def _list_hosts(self, effect: ListHosts) -> None:
        try:
            rows = self._host_list.hosts()
        except PlatformError:
            # The table stays as it is; the next listing comes in its turn.
            return
        self._submit(HostsListed(rows))

    def _probe(self, effect: ProbePeer) -> None:
        answer = self._peers.probe(effect.peer, effect.message, effect.helpers)
        if answer is None:
            self._submit(ProbeFailed(effect.node))
        else:
            self._submit(ProbeAnswered(effect.node, answer))

    def _send_news(self, argument: tuple) -> None:
        peer, message = argument
        self._peers.probe(peer, message, ())

    def _query_key(self, effect: QueryKey) -> None:
        reply = self._peers.query_key(effect.peer, effect.query)
        self._submit(KeyAnswered(effect.request, reply))

    def _query_all_peers(self, effect: QueryAllPeers) -> None:
        absent = self._peers.all_absent(effect.peers, effect.query)
        self._submit(AllPeersAnswered(effect.request, absent))

    def _forward(self, effect: ForwardRequest) -> None:
        reply = self._peers.forward(effect.peer, effect.stored, effect.timeout_s)
        self._submit(ForwardAnswered(effect.request, reply is not None, reply))

    def _fetch(self, effect: FetchConfiguration) -> None:
        snapshot = self._peers.configuration(effect.peer)
        if snapshot is not None:
            self._submit(ConfigurationReceived(snapshot))

    def _store_copy(self, effect: StoreCopy) -> None:
        reply = self._peers.store_copy(effect.peer, effect.message)
        self._submit(CopyAnswered(effect.request, reply))

    def _query_copies(self, effect: QueryCopies) -> None:
        reply = self._peers.query_copies(effect.peer, effect.query)
        requests = tuple(RequestId(request) for request in effect.query.requests)
        self._submit(CopiesAnswered(effect.node, requests, reply))

    def _send_handover(self, effect: SendHandover) -> None:
        reply = self._peers.hand_over(effect.peer, effect.message)
        self._submit(HandoverAnswered(effect.node, effect.message.id, reply))
