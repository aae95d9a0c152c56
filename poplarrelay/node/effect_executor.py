"""Execute the effects of the tick thread without blocking it."""

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
#: Threads for calls to endpoints, hosts and the cloud, which can block until timeout.
POLL_THREADS = 6
#: Threads for forwarded requests, which wait for their owner's outcome.
FORWARD_THREADS = 24

_LOG = logging.getLogger("poplarrelay.outbox")


@dataclass(frozen=True, slots=True)
class _DeferredRun:
    """The session of a deferred request and its mailbox, for all attempts."""

    mailbox: Mailbox
    session: Session


class EffectExecutor:
    """Executes each effect on the thread or thread pool for its type.

    Notes
    -----
    The pools are separate. Endpoints that hang cannot delay probes, and forwarded
    requests that wait cannot delay probes or polls.
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
        self._deferred_runs: dict[RequestId, _DeferredRun] = {}
        self._peer_pool = ThreadPoolExecutor(PEER_THREADS, "peer")
        self._poll_pool = ThreadPoolExecutor(POLL_THREADS, "poll")
        self._forward_pool = ThreadPoolExecutor(FORWARD_THREADS, "forward")
        self._deferred_pool = ThreadPoolExecutor(deferred_threads, "deferred")

    def set_runtime(self, runtime: Runtime) -> None:
        """Set the runtime for the sessions of deferred requests."""
        self._runtime = runtime

    def perform(self, effect: Effect) -> None:
        """Execute an effect, or submit it to a thread pool; never blocks."""
        match effect:
            case RunAttempt(deferred=True):
                self._deferred_pool.submit(self._run, self._run_deferred, effect)
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
                self._submit_to_pool(effect)

    def _submit_to_pool(self, effect: Effect) -> None:
        match effect:
            case PollLoad():
                self._poll_pool.submit(self._run, self._poll_load, effect)
            case SendModelOrder():
                self._poll_pool.submit(self._run, self._send_model_order, effect)
            case ListStartedHosts():
                self._poll_pool.submit(self._run, self._list_started_hosts, effect)
            case StartHost():
                self._poll_pool.submit(self._run, self._start_host, effect)
            case StopHost():
                self._poll_pool.submit(self._run, self._stop_host, effect)
            case ListHosts():
                self._poll_pool.submit(self._run, self._list_hosts, effect)
            case ForwardRequest():
                self._forward_pool.submit(self._run, self._forward_request, effect)
            case ProbePeer():
                self._peer_pool.submit(self._run, self._probe, effect)
            case SendGossip():
                for peer in effect.peers:
                    self._peer_pool.submit(
                        self._run, self._send_gossip, (peer, effect.message)
                    )
            case QueryKey():
                self._peer_pool.submit(self._run, self._query_key, effect)
            case QueryAllPeers():
                self._forward_pool.submit(self._run, self._query_all_peers, effect)
            case FetchConfiguration():
                self._peer_pool.submit(self._run, self._fetch_configuration, effect)
            case StoreCopy():
                self._forward_pool.submit(self._run, self._store_copy, effect)
            case QueryCopies():
                self._forward_pool.submit(self._run, self._query_copies, effect)
            case SendHandover():
                self._peer_pool.submit(self._run, self._send_handover, effect)

    @staticmethod
    def _run(function: Callable, argument: object) -> None:
        try:
            function(argument)
        except Exception:
            # A thread pool does not log exceptions. Without this line, a defect in
            # an effect would look like a peer that does not reply.
            _LOG.exception("effect failed")

    def _deliver(
        self,
        request: RequestId,
        effect: RunAttempt | MoveAttempt | EndRequest | RejectRequest | AcceptDeferred,
    ) -> None:
        """Put an instruction into the mailboxes of the caller and of a deferred run.

        A deferred request can run before its caller receives the acceptance. Therefore
        the thread that waits for the caller and the thread that runs the
        request have separate mailboxes.
        """
        mailbox = self._mailboxes.find(request)
        only_for_run = isinstance(effect, EndRequest) and effect.deferred
        if mailbox is not None and not only_for_run:
            mailbox.put(effect)
        run = self._deferred_runs.get(request)
        if run is not None:
            run.mailbox.put(effect)
        if isinstance(effect, EndRequest):
            self._deferred_runs.pop(request, None)

    def _run_deferred(self, effect: RunAttempt) -> None:
        """Run an attempt of a deferred request.

        The session is kept until the request ends, because it holds the tokens of
        earlier attempts, which are part of the answer.
        """
        assert self._runtime is not None
        request = effect.attempt.request
        run = self._deferred_runs.get(request)
        if run is None:
            mailbox = Mailbox()
            run = _DeferredRun(mailbox, Session(self._runtime, request, mailbox))
            self._deferred_runs[request] = run
        for _ in run.session.run_attempt(effect):
            pass

    def _poll_load(self, effect: PollLoad) -> None:
        try:
            reply = read_load(effect.endpoint, effect.address, self._http_client)
        except EndpointBroken:
            self._submit(LoadFailed(effect.endpoint))
            return
        if reply.leaving_s is not None:
            source = NoticeSource.ENDPOINT
            self._submit(NoticeReceived(reply.leaving_s, source, effect.endpoint))
        self._submit(LoadReported(effect.endpoint, reply.report, reply.models))

    def _send_model_order(self, effect: SendModelOrder) -> None:
        accepted = send_model_order(effect, self._http_client, self._order_timeout_s)
        self._submit(OrderAnswered(effect.endpoint, accepted))

    def _list_started_hosts(self, effect: ListStartedHosts) -> None:
        with suppress(PlatformError):
            self._submit(StartedHostsListed(self._cloud.started()))

    def _start_host(self, effect: StartHost) -> None:
        # If the cloud API does not answer, the next list of started hosts shows the
        # host, or the start is repeated with the same token.
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
            # The table stays unchanged until the next periodic listing.
            return
        self._submit(HostsListed(rows))

    def _probe(self, effect: ProbePeer) -> None:
        reply = self._peers.probe(effect.peer, effect.message, effect.helpers)
        if reply is None:
            self._submit(ProbeFailed(effect.node))
        else:
            self._submit(ProbeAnswered(effect.node, reply))

    def _send_gossip(self, argument: tuple) -> None:
        peer, message = argument
        self._peers.probe(peer, message, ())

    def _query_key(self, effect: QueryKey) -> None:
        reply = self._peers.query_key(effect.peer, effect.query)
        self._submit(KeyAnswered(effect.request, reply))

    def _query_all_peers(self, effect: QueryAllPeers) -> None:
        absent = self._peers.all_absent(effect.peers, effect.query)
        self._submit(AllPeersAnswered(effect.request, absent))

    def _forward_request(self, effect: ForwardRequest) -> None:
        reply = self._peers.forward(effect.peer, effect.message, effect.timeout_s)
        self._submit(ForwardAnswered(effect.request, reply is not None, reply))

    def _fetch_configuration(self, effect: FetchConfiguration) -> None:
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
