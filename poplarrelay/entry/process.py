"""The process of an entry node: wiring, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import logging
import resource
import secrets
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from random import Random
from time import monotonic
from typing import TypeVar

from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.caller_budget import (
    CALLERS,
    TUNNELS,
    CallerBudget,
    Capacity,
    count_descriptors,
)
from poplarrelay.entry.carriers import Carriers
from poplarrelay.entry.cells import CellSummary
from poplarrelay.entry.clock import FreezeDetector
from poplarrelay.entry.configuration import CallerLimits
from poplarrelay.entry.configuration_follower import (
    ConfigurationApplier,
    ConfigurationFollower,
    DependencyLog,
)
from poplarrelay.entry.duty_worker import DutyWorker
from poplarrelay.entry.endpoint_list import EndpointList
from poplarrelay.entry.endpoint_reader import EndpointReader
from poplarrelay.entry.gossip import Gossip
from poplarrelay.entry.host_directory import HostDirectory
from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.http.dialing import Dialer
from poplarrelay.entry.http.listener import Handler, Listener
from poplarrelay.entry.http.tunnels import (
    TunnelListener,
    TunnelRefused,
    TunnelTarget,
)
from poplarrelay.entry.limit_log import LimitLog
from poplarrelay.entry.list_exchange import EXCHANGE_DELAY_S, ListExchange
from poplarrelay.entry.metrics import EntryMetrics
from poplarrelay.entry.node_handlers import ADDRESS_TTL_S, NodeHandlers
from poplarrelay.entry.paths import EndpointPaths, TunnelPolicy
from poplarrelay.entry.peer_rows import NodeState, PeerRow, reporter_of
from poplarrelay.entry.peer_sync import PeerSync
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.entry.probe_leases import ProbeLeaseBroker
from poplarrelay.entry.relaying import Relay
from poplarrelay.entry.resumption import ResumptionBroker
from poplarrelay.entry.rollouts.worker import RolloutFollower
from poplarrelay.entry.settings import EntrySettings, parse_address
from poplarrelay.entry.shutdown import ShutdownSchedule
from poplarrelay.entry.signals import ProcessSignals
from poplarrelay.entry.slot_broker import SlotBroker
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.store_contact import StoreContact
from poplarrelay.entry.stream_archive import ListPosition, StreamArchive
from poplarrelay.entry.stream_versions import StreamVersionTable
from poplarrelay.entry.supervision import TaskSupervisor
from poplarrelay.exception import SettingsError
from poplarrelay.identifiers import EndpointId, Incarnation
from poplarrelay.platform.cloud import CloudClient
from poplarrelay.platform.headers import identify_request
from poplarrelay.platform.store import Store

__all__ = ["EntryNode"]

_LOG = logging.getLogger("poplarrelay.entry")

#: Seconds between ticks of the node.
TICK_S = 0.1
#: Seconds between gossip rounds.
GOSSIP_S = 0.4
#: Shortest delay in seconds before an early broadcast of this node's row, so that one
#: broadcast carries several changes.
ANNOUNCE_DELAY_S = 0.05
#: Minimum seconds of this delay per receiving node. If every node of a cell broadcasts,
#: for example when a team exceeds its quota at all of them, each node receives at most
#: 200 announcements a second (about 2% of a core).
ANNOUNCE_DELAY_PER_NODE_S = 0.005
#: Share of the gossip rounds that may contact listed hosts of any cell, not only of
#: this node's cell.
ANY_CELL_SHARE = 0.3
#: Seconds that a read of the configuration waits for a change. Longer waits cost
#: fewer calls. Keep-alive probes find a dead connection within two seconds,
#: `StoreContact` ends reads that an outage has left without an answer, and the gossip
#: of peers carries the newest version meanwhile.
CONFIGURATION_WAIT_S = 10.0
#: Seconds between status log lines. If only logs are kept, these lines alone show
#: whether the node had contact with its peers; the cost of six lines a minute is
#: negligible.
STATUS_S = 10.0
#: Shortest gap in seconds between two ticks that counts as a freeze of the process.
FROZEN_S = 0.8
#: Seconds between reads of the settings file, which can change without a signal.
SETTINGS_POLL_S = 2.0
#: Seconds between two looks whether callers have taken all written responses.
DELIVERY_POLL_S = 0.02


ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)


class EntryNode:
    """One entry node.

    Parameters
    ----------
    settings : EntrySettings
        The node's settings.
    path : pathlib.Path or None
        Settings file; the node reads it again when it changes.
    """

    def __init__(self, settings: EntrySettings, path: Path | None = None) -> None:
        self._settings = settings
        self._path = path
        seed = secrets.randbits(64)
        self._rng = Random(seed)
        incarnation = Incarnation(f"{int(time.time() * 1000):013d}-{seed % 10**6:06d}")
        self._state = EntryState.from_settings(settings, incarnation, self._rng)
        self._store_contact = StoreContact()
        self._store = Store(
            parse_address(settings.platform.store),
            self._store_contact,
            self._state.eras,
        )
        self._metrics = EntryMetrics()
        self._budget = CallerBudget(Capacity.from_config(settings.resources))
        self._limit_log = LimitLog(self._budget)
        self._dialer = Dialer(settings.source_host)
        self._paths = EndpointPaths(
            self._dialer,
            Carriers(
                self._state.me.domain,
                lambda: self._state.peers.alive(monotonic()),
                self._rng,
            ),
            self._tunnel_policy,
            self._state.endpoints,
            max_connections=lambda: self._budget.capacity.endpoint_connections,
        )
        self._tunnels = TunnelListener(
            self._open_for_peer, self._is_path_lost, self._budget
        )
        self._endpoints_dependency = DependencyLog("store: endpoints")
        self._configuration_dependency = DependencyLog("store: configuration")
        self._gossip = Gossip(
            self._state.peers,
            self._state.clock,
            self._on_peer_row,
            monotonic,
            self._rng,
            self._on_new_summary,
        )
        self._backlog_client = BacklogClient(
            self._state.me.host,
            self._state.coordinators,
            self._gossip,
            monotonic,
            self._state.endpoints.count_running,
        )
        self._permits = PermitBroker(
            self._state.me.host,
            self._state.endpoints.rows,
            self._state.coordinators,
            self._state.reachable_fractions,
            self._gossip,
            monotonic,
        )
        self._slot_broker = SlotBroker(
            self._state.me.host,
            self._state.endpoints,
            self._state.coordinators,
            self._gossip,
            monotonic,
            self._state.brittleness,
        )
        self._archive = StreamArchive(
            self._state.me.host,
            self._state.coordinators,
            self._gossip,
            self._store,
            self._list_position,
            settings.platform.history_s,
            monotonic,
            StreamVersionTable(),
            self._state.versions,
        )
        self._resumption = ResumptionBroker(
            self._state.me.host,
            self._state.coordinators,
            self._gossip,
            self._state.freshness.age_s,
            monotonic,
            self._archive.table,
            self._state.versions,
            self._archive,
        )
        self._probe_leases = ProbeLeaseBroker(
            self._state.me.host,
            self._state.coordinators,
            self._gossip,
            monotonic,
        )
        self._relay = Relay(
            self._state,
            self._paths,
            self._metrics.observe,
            self._announce,
            self._backlog_client,
            self._permits,
            self._slot_broker,
            self._resumption,
            self._probe_leases,
        )
        self._endpoints = EndpointList(
            self._state,
            self._endpoints_dependency.lost_s,
            self._on_change,
            self._on_departure,
            lambda row: self._paths.abort_idle(row.address),
        )
        self._follower = ConfigurationFollower(
            self._store,
            self._store_contact,
            self._configuration_dependency,
            ConfigurationApplier(self._state, self._on_change),
            CONFIGURATION_WAIT_S,
            self._rng,
        )
        self._reader = EndpointReader(
            self._store,
            self._endpoints_dependency,
            self._endpoints,
            self._state.freshness,
            lambda now: self._exchange.announce_read(now),
            self._rng,
        )
        self._exchange = ListExchange(
            self._endpoints,
            self._state.freshness,
            self._gossip,
            self._alive_hosts,
            self._reader.resync,
            self._schedule_exchange,
            self._rng,
        )
        self._gossip.attach_list_exchange(self._exchange, self._backlog_client)
        self._gossip.attach_crashes(self._state.crashes, self._state.quarantine)
        self._gossip.attach_departures(self._state.departures)
        self._gossip.attach_eras(self._state.eras)
        self._state.departures.on_change = self._gossip.send_departures
        self._gossip.attach_permits(self._permits)
        self._gossip.attach_slots(self._slot_broker)
        self._gossip.attach_probe_leases(self._probe_leases)
        self._gossip.attach_resumption(self._resumption)
        self._state.freshness.on_confirm = self._exchange.note_confirmed
        self._within_bound = True
        self._directory = HostDirectory(self._state, self._store)
        control_port = parse_address(settings.listeners.control)[1]
        self._peer_sync = PeerSync(self._state, self._endpoints, control_port)
        self._cloud: CloudClient | None = None
        self._duties: DutyWorker | None = None
        if settings.platform.cloud is not None:
            self._cloud = CloudClient(parse_address(settings.platform.cloud))
            self._duties = DutyWorker(self._state, self._store, self._cloud)
        on_report = None if self._duties is None else self._duties.rollouts.receive
        self._gossip.attach_rollouts(self._state.rollouts, on_report)
        self._state.rollouts.on_change = self._on_change
        self._state.eras.on_restore = self._on_store_restored
        self._rollout_follower = RolloutFollower(
            self._state, self._store, self._store_contact, self._rng
        )
        self._freeze_detector = FreezeDetector(FROZEN_S)
        self._shutdown: ShutdownSchedule | None = None
        # A stop signal that is handled now was sent after this time.
        self._last_turn_at = monotonic()
        self._next_gossip_at = 0.0
        self._next_status_at = monotonic() + STATUS_S
        self._announce_timer: asyncio.TimerHandle | None = None
        self._exchange_timer: asyncio.TimerHandle | None = None
        self._supervisor = TaskSupervisor(lambda: self._shutdown is not None)
        self._listeners = self._make_listeners()
        self._state.on_configuration = self._apply_limits

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, path: Path | None = None
    ) -> EntryNode:
        """Return a node that is not started."""
        return cls(settings, path)

    @property
    def state(self) -> EntryState:
        """Return the node's tables."""
        return self._state

    @property
    def endpoints(self) -> EndpointList:
        """Return the list of endpoints."""
        return self._endpoints

    @property
    def exchange(self) -> ListExchange:
        """Return the exchange of endpoint lists with the peers."""
        return self._exchange

    @property
    def gossip(self) -> Gossip:
        """Return the gossip between this node and its peers."""
        return self._gossip

    @property
    def slot_broker(self) -> SlotBroker:
        """Return the broker of slots at plain endpoints."""
        return self._slot_broker

    @property
    def duties(self) -> DutyWorker:
        """Return the duty worker; the settings must name a cloud API."""
        assert self._duties is not None
        return self._duties

    def _make_listeners(self) -> dict[str, Listener]:
        node_handlers = NodeHandlers(
            self._state,
            self._endpoints,
            self._metrics,
            self._gauges,
            self._budget,
        )
        listeners = self._settings.listeners
        handlers: dict[str, tuple[str, Handler]] = {
            "callers": (listeners.callers, self._relay.handle),
            "readiness": (listeners.readiness, node_handlers.readiness),
            "discovery": (listeners.discovery, node_handlers.discovery),
            "control": (listeners.control, node_handlers.control),
        }
        result = {}
        if listeners.metrics is not None:
            handlers["metrics"] = (listeners.metrics, node_handlers.metrics)
        for name, (address, handler) in handlers.items():
            host, port = parse_address(address)
            result[name] = Listener(
                host, port, handler, self._limits, name=name, budget=self._budget
            )
        callers = result[CALLERS]
        callers.on_cut = self._metrics.observe_cut
        callers.refuse = self._relay.refuse_for_limit
        callers.identify = identify_request
        for listener in result.values():
            listener.shared_turns = callers.shared_turns
        return result

    def _limits(self) -> CallerLimits:
        configuration = self._state.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def _apply_limits(self) -> None:
        for listener in self._listeners.values():
            listener.apply_limits()

    def _list_position(self) -> ListPosition:
        freshness = self._state.freshness
        return ListPosition(
            self._state.eras.latest,
            freshness.known_offset,
            self._state.endpoints_known and freshness.within_bound(monotonic()),
        )

    # start and stop

    async def run(self, signals: ProcessSignals) -> None:
        """Serve until a stop signal and then until the node is drained.

        Callers keep the node's address for some time, so it serves at least as long. If
        a stop signal has arrived before the start, nothing is started.

        Parameters
        ----------
        signals : ProcessSignals
            Handlers of the process's signals.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        if signals.stop_requested:
            return
        await self.start()
        # Imported objects live until the process ends. If they were not frozen here,
        # every full garbage collection would visit them and delay the events of all
        # streams meanwhile.
        gc.collect()
        gc.freeze()
        loop = asyncio.get_running_loop()
        with signals.attached(loop, self.stop, self.reload):
            await self.serve()

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        for listener in self._listeners.values():
            await listener.start()
        host, _ = parse_address(self._settings.listeners.control)
        await self._gossip.start(host, self._settings.listeners.gossip_port)
        await self._tunnels.start((host, self._gossip.port))
        _LOG.info(
            "started",
            extra={
                "incarnation": self._state.me.incarnation,
                "callers": self._settings.listeners.callers,
                "domain": self._state.me.domain,
                "first_start": self._settings.first_start,
            },
        )
        self._start_tasks()

    async def serve(self) -> None:
        """Run ticks until the node is drained, and shut it down."""
        while not self._finished():
            self._last_turn_at = monotonic()
            await asyncio.sleep(TICK_S)
            self._supervisor.run_step("tick", self._tick)
        await self._shut_down()

    def _start_tasks(self) -> None:
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            "configuration": self._follower.run,
            "endpoints": self._reader.run,
            "directory": self._directory.run,
            "peer state": self._peer_sync.run,
            "settings": self._watch_settings,
            "rollout progress": self._rollout_follower.run,
            "stream archive": self._archive.append_forever,
        }
        if self._duties is not None:
            tasks["duty lease"] = self._duties.renew_forever
            tasks["usage"] = self._duties.report_forever
            tasks["orders"] = self._duties.order_forever
            tasks["rollouts"] = self._duties.advance_rollouts_forever
        for name, run in tasks.items():
            self._supervisor.start(name, run)

    def stop(self) -> None:
        """Begin to drain: refer callers to other nodes, but still serve requests."""
        if self._shutdown is not None:
            return
        self._shutdown = ShutdownSchedule(
            self._last_turn_at, monotonic(), self._settings.bounds.stop_grace_s
        )
        self._state.shutdown = self._shutdown
        self._relay.end_requests_at(self._shutdown.close_at)
        self._state.me.state = NodeState.DRAINING
        for listener in self._listeners.values():
            listener.drain()
        self._tunnels.retire()
        self._gossip_to_all()
        late_ms = 1000 * (self._shutdown.handled_at - self._shutdown.sent_after)
        extra: dict[str, object] = {
            "busy": self._listeners["callers"].busy,
            "grace_s": self._shutdown.grace_s,
            "late_ms_at_most": round(late_ms, 1),
        }
        _LOG.info("stopping", extra=extra)
        if self._duties is not None:
            self._supervisor.start("retirement", self._duties.retire)

    def _gossip_to_all(self) -> None:
        self._refresh_own_row()
        self._gossip.run_round(self._gossip_seeds, to_all=True)

    def _finished(self) -> bool:
        if self._shutdown is None:
            return False
        now = monotonic()
        if now >= self._shutdown.close_at + TICK_S:
            # The requests in progress have had their last answers.
            return True
        busy = self._listeners["callers"].busy + self._tunnels.busy
        return now >= self._shutdown.handled_at + ADDRESS_TTL_S and busy == 0

    async def _shut_down(self) -> None:
        busy = self._listeners["callers"].busy
        self._state.me.state = NodeState.STOPPED
        self._gossip_to_all()
        for listener in self._listeners.values():
            listener.stop()
            for connection in list(listener.connections):
                connection.close(CutReason.STOPPED)
        assert self._shutdown is not None
        while self._delivering and monotonic() < self._shutdown.delivered_at:
            await asyncio.sleep(DELIVERY_POLL_S)
        await self.abandon()
        _LOG.info("stopped", extra={"cut_off": busy})

    @property
    def _delivering(self) -> bool:
        """Return whether callers have not taken all written responses."""
        return any(listener.connections for listener in self._listeners.values())

    async def abandon(self) -> None:
        """Reset all connections and cancel all tasks, as if the process ended."""
        for listener in self._listeners.values():
            listener.stop()
            for connection in list(listener.connections):
                connection.abort(CutReason.STOPPED)
        await self._supervisor.cancel()
        self._paths.close()
        self._tunnels.stop()
        self._store.close()
        for timer in (self._exchange_timer, self._announce_timer):
            if timer is not None:
                timer.cancel()
        self._gossip.stop()

    # tunnels of peers

    def _tunnel_policy(self) -> TunnelPolicy:
        tunnels = self._settings.tunnels
        return TunnelPolicy(tunnels.enabled, self._gossip.port, tunnels.max_carried)

    async def _open_for_peer(
        self, target: TunnelTarget, make_protocol: Callable[[], ProtocolT]
    ) -> ProtocolT:
        """Open a connection to an endpoint for a peer; raises `TunnelRefused`."""
        policy = self._tunnel_policy()
        if self._state.me.state is not NodeState.READY or not policy.enabled:
            raise TunnelRefused("not ready", HTTPStatus.SERVICE_UNAVAILABLE)
        if self._tunnels.busy >= policy.max_carried:
            raise TunnelRefused("too many tunnels", HTTPStatus.SERVICE_UNAVAILABLE)
        row = self._state.endpoints.rows.get(target.endpoint)
        if row is None or row.address != target.address:
            raise TunnelRefused("endpoint not listed", HTTPStatus.NOT_FOUND)
        return await self._paths.connect_for_peer(row, make_protocol)

    async def _is_path_lost(self, target: TunnelTarget) -> bool:
        row = self._state.endpoints.rows.get(target.endpoint)
        return row is not None and await self._paths.check_reset(row)

    # settings

    def reload(self) -> None:
        """Read the settings file again; an invalid file changes nothing."""
        if self._path is None:
            return
        try:
            settings = EntrySettings.from_file(self._path)
        except SettingsError as error:
            _LOG.error(
                "settings not reloaded",
                extra={"faults": [str(fault) for fault in error.faults]},
            )
            return
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._state.apply_settings(settings)
        self._budget.resize(Capacity.from_config(settings.resources))
        _LOG.info("settings reloaded", extra={"changed": changed})

    async def _watch_settings(self) -> None:
        if self._path is None:
            await asyncio.Event().wait()
            return
        last_content: bytes | None = None
        while True:
            try:
                content = self._path.read_bytes()
            except OSError as error:
                _LOG.warning("settings unreadable", extra={"why": str(error)})
            else:
                if last_content is not None and content != last_content:
                    self.reload()
                last_content = content
            await asyncio.sleep(SETTINGS_POLL_S)

    # ticks

    @property
    def _gossip_seeds(self) -> tuple[str, ...]:
        """Return hosts that get gossip even if nothing was ever received from them.

        Notes
        -----
        In addition to the seeds of the settings, most rounds use only hosts of this
        node's cell. When all nodes start at the same time, a node needs its own cell
        first, but the cell is only a small part of all hosts (with 16 cells, one host
        in sixteen). The other rounds use all hosts, so that groups that were
        partitioned find each other.
        """
        hosts = self._directory.hosts
        if self._rng.random() >= ANY_CELL_SHARE:
            in_cell = self._state.peers.in_cell
            hosts = {node: host for node, host in hosts.items() if in_cell(node)}
        return (*self._settings.seed_hosts, *hosts.values())

    def _tick(self) -> None:
        now = monotonic()
        frozen_s = self._freeze_detector.check()
        if frozen_s > 0:
            self.resume_after_freeze(frozen_s)
        state = self._state
        if (
            state.me.state is NodeState.STARTING
            and state.configuration is not None
            and state.endpoints_known
        ):
            state.me.state = NodeState.READY
            _LOG.info("ready", extra={"configuration": state.me.configuration})
            self._gossip_to_all()
        steps: dict[str, Callable[[], None]] = {
            "endpoint expiry": lambda: self._endpoints.expire(now),
            "list exchange": lambda: self._exchange.tick(now),
            "limits": lambda: self._limit_log.tick(now),
            "list age": lambda: self._log_within_bound(now),
            "status": lambda: self._log_status_when_due(now),
            "gossip": lambda: self._gossip_when_due(now),
            "coordinators": self._backlog_client.check_coordinators,
            "paths": lambda: self._paths.tick(now),
            "versions": lambda: state.versions.note(state.endpoints.rows.values(), now),
            "resumption": self._resumption.tick,
            "archive": self._archive.tick,
            "rollout news": self._send_urgent_rollouts,
            "dispatch": self._dispatch_queued,
        }
        for name, step in steps.items():
            self._supervisor.run_step(name, step)

    def _log_status_when_due(self, now: float) -> None:
        if now >= self._next_status_at:
            self._next_status_at = now + STATUS_S
            self._log_status(now)

    def _gossip_when_due(self, now: float) -> None:
        state = self._state
        if now >= self._next_gossip_at or self._gossip.urgent:
            self._next_gossip_at = now + GOSSIP_S * (0.9 + 0.2 * self._rng.random())
            self._run_gossip(now)
        elif state.crashes.urgent or state.quarantine.urgent:
            self._gossip.send_crashes()

    def _send_urgent_rollouts(self) -> None:
        if self._state.rollouts.urgent:
            self._state.rollouts.urgent = False
            self._gossip.send_rollouts()

    def _dispatch_queued(self) -> None:
        if self._state.configuration is not None:
            for service in self._state.configuration.services:
                self._relay.slot_allocator.refuse_without_version(service)
                self._relay.slot_allocator.dispatch_queued(service)

    def resume_after_freeze(self, frozen_s: float) -> None:
        """Invalidate state that became outdated while the process was paused."""
        _LOG.warning("frozen", extra={"for_s": round(frozen_s, 2)})
        self._state.peers.resume_after_freeze(frozen_s)
        self._state.freshness.invalidate(monotonic())
        if self._duties is not None:
            self._duties.lease.relinquish()
        self._follower.resync()
        self._reader.resync()

    def _log_within_bound(self, now: float) -> None:
        """Log when the endpoint list exceeds its age bound, or meets the bound again.

        Notes
        -----
        A node whose list is too old prefers endpoints whose own answers show that they
        have not left. It still uses the others: an old list is better than no answer.
        """
        freshness = self._state.freshness
        if self._state.endpoints_known:
            self._state.versions.note_list_age(freshness.within_bound(now), now)
        within_bound = freshness.within_bound(now) or not self._state.endpoints_known
        if within_bound == self._within_bound:
            return
        self._within_bound = within_bound
        age_s = round(freshness.reported_age_s(now), 2)
        extra = {"list_age_s": age_s, "bound_s": freshness.times.bound_s}
        if within_bound:
            _LOG.info("endpoints vouched for", extra=extra)
        else:
            _LOG.warning("endpoints not vouched for", extra=extra)

    def _log_status(self, now: float) -> None:
        """Log the known nodes, the age of their rows and this node's resource usage."""
        peers = self._state.peers
        row_ages = [now - seen.last_seen_at for seen in peers.seen.values()]
        summary_ages = [now - seen.last_seen_at for seen in peers.summaries.values()]
        usage = resource.getrusage(resource.RUSAGE_SELF)
        _LOG.info(
            "status",
            extra={
                "nodes_listed": len(self._state.listed_nodes or ()) + 1,
                "nodes_known": len(peers.states()) + 1,
                "nodes_alive": len(peers.alive(now)) + 1,
                "cell": [peers.bits, peers.cell.number, len(peers.seen) + 1],
                "oldest_row_s": round(max(row_ages, default=0.0), 2),
                "oldest_summary_s": round(max(summary_ages, default=0.0), 2),
                "gossip_sent": [
                    self._gossip.sent_datagrams,
                    self._gossip.sent_bytes,
                ],
                "gossip_received_bytes": self._gossip.received_bytes,
                "store_calls": self._store.calls_by_purpose,
                "processor_s": round(usage.ru_utime + usage.ru_stime, 2),
            },
        )

    def _alive_hosts(self, now: float) -> list[str]:
        return [row.host for row in self._state.peers.alive(now)]

    def _on_store_restored(self) -> None:
        """Read everything again: offsets of an earlier era mean other records now."""
        self._follower.resync()
        self._endpoints.note_restore()
        self._reader.resync()
        self._rollout_follower.resync()
        self._directory.check_soon()
        if self._duties is not None:
            self._duties.note_restore()
        self._store_contact.interrupt()

    def _on_departure(self, endpoint: EndpointId) -> None:
        self._exchange.note_departure(endpoint)

    def _schedule_exchange(self) -> None:
        """Schedule an exchange tick after a short delay, to collect further changes."""
        if self._exchange_timer is None:
            loop = asyncio.get_running_loop()
            self._exchange_timer = loop.call_later(
                EXCHANGE_DELAY_S, self._tick_exchange
            )

    def _tick_exchange(self) -> None:
        self._exchange_timer = None
        self._exchange.tick(monotonic())

    def _run_gossip(self, now: float) -> None:
        state = self._state
        peers = state.peers
        self._refresh_own_row()
        peers.forget(now)
        self._endpoints.forget(now)
        rows = state.endpoints.rows.values()
        self._paths.forget({row.address for row in rows})
        state.crashes.forget(now)
        state.quarantine.forget(now)
        state.departures.forget(now)
        state.backoffs.forget(now)
        self._resumption.forget(now)
        state.sum_loads(now)
        self._update_shares(now)
        self._backlog_client.refresh(list(state.endpoints.rows))
        self._permits.refresh()
        self._slot_broker.refresh()
        alive = state.count_nodes(now)
        state.freshness.nodes = alive
        if peers.regroup(max(state.total_nodes, alive), now):
            # `bits` is the number of hash bits that select a node's cell.
            _LOG.info("cells", extra={"bits": peers.bits, "cell": peers.cell.number})
        reporters = {reporter_of(seen.row) for seen in peers.seen.values()}
        reporters |= {str(cell) for cell in peers.summaries if cell.bits == peers.bits}
        for bucket in state.buckets.values():
            bucket.forget(reporters)
        self._gossip.run_round(self._gossip_seeds)
        self._run_rollouts(now)

    def _update_shares(self, now: float) -> None:
        """Compute the shares of the teams, and log which services become short."""
        markers = self._state.markers
        before = set(markers)
        self._state.update_shares(now)
        for service in markers.keys() ^ before:
            short = service in markers
            fractions = markers[service].fractions if short else {}
            rounded = {team: round(part, 2) for team, part in fractions.items()}
            extra = {"service": service, "short": short, "shares": rounded}
            _LOG.info("service short" if short else "service suffices", extra=extra)

    def _run_rollouts(self, now: float) -> None:
        """Judge this node's evidence, and report it to the coordinators."""
        state = self._state
        state.rollouts.mark_endpoints(state.endpoints, now)
        state.rollouts.judge_own_evidence()
        for local in state.rollouts:
            host = local.progress.coordinator
            if local.is_open and host and host != state.me.host:
                rows = state.endpoints.of(local.progress.order.service)
                report = state.rollouts.report(
                    local, state.me.node, state.me.incarnation, rows
                )
                self._gossip.send_rollout_report(host, report)

    def _refresh_own_row(self) -> None:
        state = self._state
        me = state.me
        me.version += 1
        me.usage = state.usage.windows
        configuration = state.configuration
        if configuration is not None:
            for team in configuration.teams.values():
                state.bucket(team, monotonic())
        for bucket in state.buckets.values():
            bucket.reported = bucket.used
        me.used = {team: bucket.used for team, bucket in state.buckets.items()}
        me.demand = state.demand.rates(monotonic())
        if state.prompt_shares:
            me.demand |= state.team_demand.report(state.markers, monotonic())
        me.loads = {
            row.endpoint: row.running
            for row in state.endpoints.rows.values()
            if row.running
        }

    def _announce(self) -> None:
        """Schedule a broadcast of this node's row, unless one is scheduled already."""
        if self._announce_timer is None:
            loop = asyncio.get_running_loop()
            delay_s = max(
                ANNOUNCE_DELAY_S,
                ANNOUNCE_DELAY_PER_NODE_S * len(self._state.peers.seen),
            )
            self._announce_timer = loop.call_later(delay_s, self._announce_now)

    def _announce_now(self) -> None:
        self._announce_timer = None
        self._refresh_own_row()
        self._gossip.broadcast_row()

    def _on_new_summary(self, summary: CellSummary) -> None:
        """Charge the teams' buckets with the usage of another cell."""
        state = self._state
        configuration = state.configuration
        if configuration is None or summary.cell.bits != state.peers.bits:
            return
        now = monotonic()
        cell, run, nodes = str(summary.cell), summary.run, summary.alive
        for name, used in summary.used.items():
            team = configuration.teams.get(name)
            bucket = None if team is None else state.bucket(team, now)
            if bucket is not None:
                bucket.record_cell_usage(cell, run, used, nodes, now)

    def _on_peer_row(self, row: PeerRow) -> None:
        """Charge the teams' buckets with the usage of another node of this cell."""
        now = monotonic()
        reporter = reporter_of(row)
        configuration = self._state.configuration
        if configuration is None:
            return
        for name, used in row.used.items():
            team = configuration.teams.get(name)
            if team is None:
                continue
            bucket = self._state.bucket(team, now)
            if bucket is not None:
                # An older process may have used its total before this bucket existed,
                # so its first report is only a baseline. The usage of a younger process
                # falls entirely in the lifetime of this bucket.
                older = row.incarnation < self._state.me.incarnation
                bucket.receive(reporter, used, used if older else 0.0, now)

    def _on_change(self) -> None:
        self._state.rollouts.mark_endpoints(self._state.endpoints, monotonic())
        if self._state.configuration is None:
            return
        for service in self._state.configuration.services:
            self._relay.slot_allocator.dispatch_queued(service)

    def _gauges(self) -> dict[str, float]:
        """Return the values of gauges that only the process can read."""
        return {
            "store_calls": float(self._store.calls),
            "caller_bytes": float(self._budget.held_bytes),
            "caller_bytes_pinned": float(self._budget.pinned_bytes),
            "descriptors_open": float(count_descriptors()),
            **{
                f"connections_{name}": float(self._budget.connections(name))
                for name in (*self._listeners, TUNNELS)
            },
            **self._paths.gauges(),
            "brittleness_unreadable": float(self._state.brittleness.unreadable),
            "tunnels_carried": float(self._tunnels.carried),
            "tunnels_refused": float(self._tunnels.refused),
            "tunnels_carried_now": float(self._tunnels.busy),
            "tunnel_bytes_carried": float(self._tunnels.carried_bytes),
            "gossip_bytes_sent": float(self._gossip.sent_bytes),
            "gossip_bytes_received": float(self._gossip.received_bytes),
            "gossip_datagrams_sent": float(self._gossip.sent_datagrams),
            **self._backlog_client.statistics.gauges(),
            **self._slot_broker.gauges(),
            **self._resumption.gauges(),
            "forecasts": float(self._state.forecast_errors.made),
            "forecasts_missed": float(self._state.forecast_errors.missed),
            "task_failures": float(self._supervisor.failures.total()),
            "duty_held": float(self._duties is not None and self._duties.lease.held),
        }
