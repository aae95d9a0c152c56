"""The process of a node: its objects, threads, signals and exit code."""

from __future__ import annotations

import logging
import random
import secrets
import signal
import threading
import time
from types import FrameType

from poplarrelay.engines.http import HttpEngine, HttpService
from poplarrelay.exception import PlatformError
from poplarrelay.identifiers import Incarnation
from poplarrelay.messages.questions import ShutdownRequested
from poplarrelay.node.arrivals import ArrivalClock
from poplarrelay.node.caller_handlers import CallersRoot
from poplarrelay.node.effect_executor import EffectExecutor
from poplarrelay.node.gateway import Gateway
from poplarrelay.node.log_threads import LogAppender, LogReader
from poplarrelay.node.loop import TickLoop
from poplarrelay.node.mailboxes import Mailboxes
from poplarrelay.node.metrics import NodeMetrics
from poplarrelay.node.peer_client import PeerClient
from poplarrelay.node.peer_handlers import MAX_PEER_BYTES, PeersRoot
from poplarrelay.providers.hosts import HttpCloud, HttpHostList
from poplarrelay.providers.http import JsonHttpClient
from poplarrelay.providers.log import HttpLogService
from poplarrelay.settings import NodeSettings
from poplarrelay.tables.world import CLAIMS, CONFIGURATION, World
from poplarrelay.web.listener import Listener, ListenerLimits, stop_listeners

__all__ = ["EXIT_OK", "EXIT_UNCLEAN", "Node"]

EXIT_OK = 0
#: Exit code if the node aborted requests or could not hand over all its state.
EXIT_UNCLEAN = 75
#: Stack size of a thread; streams need little stack, and hundreds can run at the
#: same time.
THREAD_STACK_BYTES = 512 * 1024
#: Seconds before the listeners stop, so that the last answer is written out.
FINAL_WRITE_S = 0.5
#: Seconds in which the node leaves after a second signal.
SECOND_SIGNAL_DRAIN_S = 2.0
#: Seconds that a request for notices waits for the first notice.
NOTICE_WAIT_S = 5.0

_LOG = logging.getLogger("poplarrelay.node")


class Node:
    """A node of the system.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    seed : int or None
        Seed of the node's random choices; None for a random seed.
    """

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        threading.stack_size(THREAD_STACK_BYTES)
        self._settings = settings
        self._seed = secrets.randbits(64) if seed is None else seed
        self._done = threading.Event()
        self._clean = True
        timing = settings.timing
        incarnation = Incarnation(secrets.token_hex(6))
        generation = int(time.time() * 1000)
        self._world = World.from_settings(
            settings, incarnation, generation, time.monotonic(), self._seed
        )
        self._mailboxes = Mailboxes()
        self._metrics = NodeMetrics()
        self._http_client = JsonHttpClient(
            timing.connect_timeout_s, meter=self._metrics
        )
        self._arrivals = ArrivalClock()
        self._loop = TickLoop(self._world, self._perform, self._arrivals.record_tick)
        log = HttpLogService(
            settings.platform.log, timing.log_timeout_s, self._http_client
        )
        rng = random.Random(self._seed)
        self._appender = LogAppender(log, self._loop.submit, rng)
        self._readers = [
            LogReader(stream, log, self._loop.submit, timing.log_wait_s, rng)
            for stream in (CONFIGURATION, CLAIMS)
        ]
        self._cloud = HttpCloud(settings.platform.cloud, self._http_client)
        peers = PeerClient(self._http_client, timing.probe_timeout_s)
        self._effect_executor = EffectExecutor(
            submit=self._loop.submit,
            mailboxes=self._mailboxes,
            metrics=self._metrics,
            appender=self._appender,
            peers=peers,
            host_list=HttpHostList(settings.platform.hosts, self._http_client),
            cloud=self._cloud,
            http_client=self._http_client,
            deferred_threads=settings.limits.deferred_threads,
            order_timeout_s=timing.order_timeout_s,
            stop=self._stop,
        )
        gateway = Gateway(
            settings,
            incarnation,
            self._loop,
            self._mailboxes,
            self._metrics,
            self._arrivals,
            HttpEngine(
                timing.connect_timeout_s, timing.progress_timeout_s, self._http_client
            ),
            HttpService(timing.connect_timeout_s),
        )
        self._effect_executor.set_runtime(gateway)
        self._callers = self._callers_listener(gateway)
        self._peers = self._peers_listener(gateway, peers)

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> Node:
        """Return a node that is not started."""
        return cls(settings)

    def _callers_listener(self, gateway: Gateway) -> Listener:
        settings, limits = self._settings, self._settings.limits
        bounds = ListenerLimits(
            settings.callers.threads, limits.max_header_bytes, limits.max_body_bytes
        )
        root = CallersRoot(gateway, self._http_client)
        return Listener(settings.callers.host, settings.callers.port, root, bounds)

    def _peers_listener(self, gateway: Gateway, peers: PeerClient) -> Listener:
        settings = self._settings
        bounds = ListenerLimits(
            settings.peers.threads,
            settings.limits.max_header_bytes,
            MAX_PEER_BYTES,
        )
        root = PeersRoot(gateway, peers)
        return Listener(settings.peers.host, settings.peers.port, root, bounds)

    def _perform(self, effect) -> None:  # type: ignore[no-untyped-def]
        self._effect_executor.perform(effect)

    def _stop(self, clean: bool) -> None:
        self._clean = clean
        self._done.set()

    def start(self) -> None:
        """Start all threads and listeners.

        Raises
        ------
        OSError
            If a listener's address cannot be bound.
        """
        self._peers.start()
        self._callers.start()
        self._loop.start()
        self._appender.start()
        for reader in self._readers:
            reader.start()
        threading.Thread(target=self._poll_notices, name="notices", daemon=True).start()
        _LOG.info(
            "started",
            extra={
                "incarnation": self._world.incarnation,
                "callers": self._callers.address,
                "peers": self._peers.address,
                "failure_domain": self._settings.failure_domain,
            },
        )

    def _poll_notices(self) -> None:
        """Poll the cloud API for notices and submit them to the tick thread."""
        start = 0
        rng = random.Random(self._seed + 1)
        while not self._done.is_set():
            try:
                batch = self._cloud.notices(start, NOTICE_WAIT_S)
            except PlatformError:
                self._done.wait(0.2 + 0.3 * rng.random())
                continue
            start = batch.next
            for notice in batch.notices:
                self._loop.submit(notice)

    def install_signals(self) -> None:
        """Make the node leave on SIGTERM or SIGINT, and sooner on a second signal.

        SIGHUP is ignored: the settings are read at the start only.
        """
        signals: list[int] = []

        def leave(number: int, frame: FrameType | None) -> None:
            drain_s = (
                SECOND_SIGNAL_DRAIN_S if signals else self._settings.timing.drain_s
            )
            signals.append(number)
            self._loop.submit(ShutdownRequested(drain_s))

        signal.signal(signal.SIGTERM, leave)
        signal.signal(signal.SIGINT, leave)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def wait(self) -> int:
        """Wait until the node has left, and return the exit code."""
        while not self._done.wait(timeout=1.0):
            continue
        time.sleep(FINAL_WRITE_S)
        for reader in self._readers:
            reader.stop()
        self._appender.stop()
        stop_listeners([self._callers, self._peers])
        self._loop.stop()
        _LOG.info("stopped", extra={"clean": self._clean})
        return EXIT_OK if self._clean else EXIT_UNCLEAN
