"""Connections to endpoints, direct or through a peer that reaches them."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from math import inf
from time import monotonic
from typing import Any, TypeVar

from poplarrelay.entry.carriers import Carriers
from poplarrelay.entry.endpoints import Endpoint, EndpointTable
from poplarrelay.entry.http.connection import Connection, Headers
from poplarrelay.entry.http.dialing import Address, Dialer
from poplarrelay.entry.http.pool import ConnectionPool
from poplarrelay.entry.http.tunnels import TunnelRefused, TunnelTarget, open_tunnel
from poplarrelay.entry.racing import first_success
from poplarrelay.entry.reachability import QUIET_S, RECENT_S, Reachability
from poplarrelay.exception import ConnectionsExhausted, EndpointDown, ExchangeFailed

__all__ = ["EndpointPaths", "TunnelPolicy"]

_LOG = logging.getLogger("poplarrelay.entry.paths")

#: Timeout in seconds of a new connection to an endpoint.
ENDPOINT_CONNECT_S = 0.6
#: Seconds after which a peer is asked beside a direct connection that is not open yet.
#: It is some times the longest time that a connection takes at an intact link.
DIRECT_HEAD_START_S = 0.1
#: Seconds after which a further peer is asked, and timeout of one peer's tunnel.
CARRIER_STAGGER_S, CARRIER_TIMEOUT_S = 0.1, 0.3
#: Timeout in seconds of a connection that this node opens for a peer.
CARRIED_CONNECT_S = 0.1
#: Timeout in seconds of a direct connection that only checks the path, and seconds for
#: which it must stay open.
CHECK_TIMEOUT_S, SETTLE_S = 0.15, 0.02
#: Seconds between two checks of paths that have been silent.
CHECK_INTERVAL_S = 1.5
#: Statuses with which a peer with intact paths states that it does not reach the
#: endpoint either.
_UNREACHED = (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)
ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class TunnelPolicy:
    """Whether and how a node uses and carries tunnels.

    Attributes
    ----------
    enabled : bool
        Whether the node uses tunnels through its peers.
    port : int
        TCP port on which all nodes accept requests for tunnels.
    max_carried : int
        Most tunnels that the node carries at the same time.
    """

    enabled: bool
    port: int
    max_carried: int


@dataclass(slots=True, eq=False)
class _DirectConnection:
    """Observer of a direct connection.

    Attributes
    ----------
    abandonable : bool
        Whether the request in progress can be repeated if the path is lost.
    """

    paths: EndpointPaths
    row: Endpoint
    connection: Connection
    abandonable: bool = False

    def heard(self) -> None:
        """Note bytes of the endpoint."""
        self.paths.reachability.note_heard(self.row.address, monotonic())

    def lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        self.paths.note_ended(self, error)


@dataclass(slots=True, eq=False)
class _Tunnel:
    """Observer of a tunnel."""

    paths: EndpointPaths
    host: str

    def heard(self) -> None:
        """Note bytes that the peer has relayed."""
        self.paths.carriers.note_heard(self.host, monotonic())

    def lost(self, error: Exception | None) -> None:
        """Note the end: a tunnel shows nothing about this node's own paths."""
        self.paths.note_tunnel_ended(self)


@dataclass(slots=True)
class EndpointPaths:
    """Connections of one node to endpoints.

    Attributes
    ----------
    dialer : Dialer
        Opens TCP connections.
    carriers : Carriers
        Peers that can carry tunnels.
    policy : callable
        Returns the policy in force.
    endpoints : EndpointTable
        Table of endpoints.
    max_connections : callable
        Returns the largest number of connections to endpoints.
    """

    dialer: Dialer
    carriers: Carriers
    policy: Callable[[], TunnelPolicy]
    endpoints: EndpointTable
    max_connections: Callable[[], float] = lambda: inf
    reachability: Reachability = field(default_factory=Reachability)
    statistics: Counter[str] = field(default_factory=Counter)
    _idle: ConnectionPool = field(
        default_factory=lambda: ConnectionPool(ENDPOINT_CONNECT_S)
    )
    _direct: dict[Connection, _DirectConnection] = field(default_factory=dict)
    _tunnels: set[_Tunnel] = field(default_factory=set)
    _opening: int = 0
    _checks: dict[Address, asyncio.Task[bool]] = field(default_factory=dict)
    _second_looks: dict[Address, asyncio.Task[bool]] = field(default_factory=dict)
    _survival_checks: dict[Address, asyncio.Task[bool]] = field(default_factory=dict)
    _accepted_at: dict[Address, float] = field(default_factory=dict)
    _silent: set[Address] = field(default_factory=set)
    _next_check_at: float = -inf
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    # connections for requests

    async def take(
        self,
        row: Endpoint,
        repeatable: bool,
        abandonable: bool,
        avoided: Collection[Connection] = (),
    ) -> Connection:
        """Return a connection to an endpoint, a kept or a new one.

        Parameters
        ----------
        row : Endpoint
            The endpoint.
        repeatable : bool
            Whether the request may run more than once. Another one is sent on a kept
            connection only if the path is known to work.
        abandonable : bool
            Whether the attempt may be ended early when the path is lost.
        avoided : collection of Connection
            Kept connections that must not carry the request.

        Raises
        ------
        EndpointDown
            If no process listens at the endpoint's address.
        ConnectionsExhausted
            If this node has no place for another connection.
        ExchangeFailed
            If no connection can be opened.
        """
        lost = self.is_lost(row)
        connection = None
        if repeatable or lost or self._trusted(monotonic()):
            accepts = None if repeatable else self._carrier_is_heard
            connection = self._idle.take_idle(row.address, accepts, avoided)
        if connection is None:
            connection = await self._open(row, lost)
        use = self._direct.get(connection)
        if use is not None:
            use.abandonable = abandonable
        connection.expect_silence()
        return connection

    def release(self, row: Endpoint, connection: Connection, headers: Headers) -> None:
        """Keep a connection after a complete response if it can be reused."""
        tunnelled = connection.carrier is not None
        if tunnelled is not self.is_lost(row):
            # The path was lost or has returned meanwhile.
            connection.abort()
        else:
            connection.expect_silence(False)
            self._idle.release(row.address, connection, headers)

    def is_lost(self, row: Endpoint) -> bool:
        """Return whether this node reaches an endpoint through peers only."""
        return self.reachability.is_lost(row.address, monotonic())

    def abort_idle(self, address: Address) -> None:
        """Abort the idle connections to an address."""
        self._idle.forget(address)

    def forget(self, known: set[Address]) -> None:
        """Drop old connections, and the state of endpoints that are not listed."""
        self._idle.prune()
        self._accepted_at = {a: t for a, t in self._accepted_at.items() if a in known}
        self.reachability.forget(known, monotonic())

    def close(self) -> None:
        """Abort the idle connections and all checks."""
        for task in self._tasks:
            task.cancel()
        self._idle.close()

    def _trusted(self, now: float) -> bool:
        """Return whether the kept direct connections can be trusted with a request."""
        unanswered = [c.unanswered_since for c in self._direct]
        oldest = min((at for at in unanswered if at is not None), default=inf)
        return self.reachability.can_trust(oldest, now)

    def _carrier_is_heard(self, connection: Connection) -> bool:
        """Return whether a kept tunnel can be trusted with a request."""
        host = connection.carrier
        return host is None or self.carriers.heard_since(host, monotonic() - RECENT_S)

    async def _open(self, row: Endpoint, lost: bool) -> Connection:
        """Open a connection by the first way that succeeds.

        Notes
        -----
        A process that is killed refuses connections as a lost path can do. Only a peer
        with intact paths shows the difference.
        """
        if self._connections >= self.max_connections() and not self._idle.drop_one():
            raise ConnectionsExhausted("too many connections to endpoints")
        self._opening += 1
        try:
            return await self._open_by_any_way(row, lost)
        finally:
            self._opening -= 1

    @property
    def _connections(self) -> int:
        return len(self._direct) + len(self._tunnels) + self._opening

    async def _open_by_any_way(self, row: Endpoint, lost: bool) -> Connection:
        direct = partial(self._open_directly, row, ENDPOINT_CONNECT_S)
        if not self.policy().enabled:
            return await direct()
        through_peer = partial(self._open_through_peer, row)
        # A lost path is tried in the background only.
        ways = (through_peer,) if lost else (direct, through_peer)
        try:
            connection = await first_success(
                ways, DIRECT_HEAD_START_S, Connection.abort, _is_unreached
            )
        except TunnelRefused as refusal:
            if refusal.status == HTTPStatus.BAD_GATEWAY:
                raise EndpointDown(str(refusal)) from refusal
            raise ExchangeFailed(str(refusal), sent=False) from refusal
        except ExceptionGroup as failures:
            error = min(failures.exceptions, key=lambda e: isinstance(e, TunnelRefused))
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            if refused and not self.carriers.peers():
                raise EndpointDown(str(error)) from failures
            raise ExchangeFailed(str(error), sent=False) from failures
        if connection.carrier is not None and not lost:
            self._run(self._look_again(row, connection))
        return connection

    async def _open_directly(self, row: Endpoint, timeout_s: float) -> Connection:
        self.statistics["direct_opened"] += 1
        connection = await Connection.open(*row.address, timeout_s, self.dialer)
        use = _DirectConnection(self, row, connection)
        connection.observer = self._direct[connection] = use
        use.heard()
        return connection

    async def _open_through_peer(self, row: Endpoint) -> Connection:
        """Open a tunnel through the first peer that reaches the endpoint."""
        target = TunnelTarget(row.endpoint, row.address)
        hosts = self.carriers.choose(monotonic())
        ways = [partial(self._ask_peer, host, target) for host in hosts]
        try:
            if not ways:
                raise TunnelRefused("no peer carries tunnels now", None)
            return await first_success(
                ways, CARRIER_STAGGER_S, Connection.abort, _is_unreached
            )
        except ExceptionGroup as failures:
            self.statistics["tunnels_failed"] += 1
            raise TunnelRefused(str(failures.exceptions[-1]), None) from failures
        except TunnelRefused:
            self.statistics["tunnels_failed"] += 1
            raise

    async def _ask_peer(self, host: str, target: TunnelTarget) -> Connection:
        carrier = (host, self.policy().port)
        try:
            connection = await open_tunnel(
                self.dialer, carrier, target, CARRIER_TIMEOUT_S
            )
        except TunnelRefused as refusal:
            if refusal.status not in _UNREACHED:
                self.carriers.note_refused(host, monotonic())
            raise
        self.statistics["tunnels_opened"] += 1
        tunnel = _Tunnel(self, host)
        connection.observer = tunnel
        self._tunnels.add(tunnel)
        tunnel.heard()
        return connection

    # lost and returned paths

    def note_ended(self, use: _DirectConnection, error: Exception | None) -> None:
        """Note the end of a direct connection."""
        self._direct.pop(use.connection, None)
        if isinstance(error, TimeoutError):
            self._silent.add(use.row.address)

    def note_tunnel_ended(self, tunnel: _Tunnel) -> None:
        """Note the end of a tunnel."""
        self._tunnels.discard(tunnel)

    def _lose(self, row: Endpoint, since: float) -> None:
        """Use peers for an endpoint, and end what its lost path holds up.

        Parameters
        ----------
        row : Endpoint
            The endpoint.
        since : float
            Monotonic time from which direct connection attempts have failed.
        """
        now = monotonic()
        if not self.reachability.note_lost(row.address, now):
            return
        self.statistics["paths_lost"] += 1
        isolated = self.reachability.isolated(now)
        extra = {"endpoint": row.endpoint, "service": row.service}
        _LOG.warning("path", extra={**extra, "state": "lost", "isolated": isolated})
        for use in list(self._direct.values()):
            address = use.row.address
            concerned = isolated or address == row.address
            if not concerned or self.reachability.heard_since(address, since):
                # Open connections can work although new ones are refused.
                continue
            quiet_since = use.connection.quiet_since
            if quiet_since is None:
                self._idle.abort_idle(address, lambda each: each.carrier is None)
            elif isolated and use.abandonable and now - quiet_since > QUIET_S:
                use.connection.abort("path lost")

    async def accepts_connections(self, row: Endpoint) -> bool:
        """Return whether an endpoint accepts a direct connection now."""
        return await self._reach_directly(row)

    async def accepts_after(self, row: Endpoint, at: float) -> bool:
        """Return whether an endpoint has accepted a connection after some time.

        Parameters
        ----------
        row : Endpoint
            The endpoint.
        at : float
            Monotonic time in the past.
        """
        if self._accepted_at.get(row.address, -inf) > at:
            return True
        return await self._share(self._survival_checks, row, self._reach_directly)

    async def _reach_directly(self, row: Endpoint, keep: bool = False) -> bool:
        """Return whether a direct connection can be opened and stays open."""
        opened_at = monotonic()
        try:
            connection = await self._open_directly(row, CHECK_TIMEOUT_S)
        except ExchangeFailed:
            return False
        await asyncio.sleep(SETTLE_S)
        reached = connection in self._direct
        if reached:
            self._accepted_at[row.address] = opened_at
        if reached and keep:
            self._idle.add_idle(row.address, connection)
        else:
            connection.abort()
        return reached

    async def _look_again(self, row: Endpoint, tunnel: Connection) -> bool:
        """Count a path as lost if it still fails after a peer has connected.

        Notes
        -----
        Between a peer and an endpoint there can be a proxy, which accepts a connection
        and closes it when it cannot reach the endpoint either.
        """
        if self.is_lost(row):
            return True
        since = monotonic()
        if not await self._share(self._second_looks, row, self._fails_again):
            return False
        await asyncio.sleep(max(0.0, since + SETTLE_S - monotonic()))
        if tunnel.ended:
            return False
        self._lose(row, since)
        return True

    async def _fails_again(self, row: Endpoint) -> bool:
        return not await self._reach_directly(row, keep=True)

    async def check(self, row: Endpoint) -> bool:
        """Return whether this node's path to an endpoint is lost."""
        if self.is_lost(row):
            return True
        if not self.policy().enabled:
            return False
        return await self._share(self._checks, row, self._compare_with_peer)

    async def _compare_with_peer(self, row: Endpoint) -> bool:
        if await self._reach_directly(row, keep=True):
            return False
        try:
            tunnel = await self._open_through_peer(row)
        except TunnelRefused:
            return False
        lost = await self._look_again(row, tunnel)
        if lost:
            self._idle.add_idle(row.address, tunnel)
        else:
            tunnel.abort()
        return lost

    async def _share(
        self,
        running: dict[Address, asyncio.Task[bool]],
        row: Endpoint,
        look: Callable[[Endpoint], Coroutine[Any, Any, bool]],
    ) -> bool:
        """Return the result of a look at a path, of the running one if there is one."""
        task = running.get(row.address)
        if task is None:
            task = running[row.address] = self._run(look(row))
            task.add_done_callback(lambda _: running.pop(row.address, None))
        return await asyncio.shield(task)

    async def check_reset(self, row: Endpoint) -> bool:
        """Return whether the path, not the endpoint, has reset a connection."""
        if not self.policy().enabled:
            return False
        for address in self.reachability.note_reset(row.address, monotonic()):
            other = self.endpoints.at_address(address)
            if other is not None and address != row.address:
                self._run(self.check(other))
        return await self.check(row)

    def tick(self, now: float) -> None:
        """Check paths that are silent, and try lost ones."""
        if not self.policy().enabled:
            return
        self._check_silent(now)
        address = self.reachability.next_probe(now)
        row = None if address is None else self.endpoints.at_address(address)
        if row is not None:
            self._run(self._probe(row))

    def _check_silent(self, now: float) -> None:
        silent = self._silent | {
            use.row.address
            for use in self._direct.values()
            if (at := use.connection.unanswered_since) is not None
            and now - max(at, self.reachability.heard_at) > QUIET_S
        }
        if not silent or now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        self._silent.clear()
        others = {use.row.address for use in self._direct.values()} - silent
        rows = [self.endpoints.at_address(each) for each in (*silent, *others)]
        self._run(self._check_in_turn([row for row in rows if row is not None]))

    async def _check_in_turn(self, rows: list[Endpoint]) -> None:
        """Check paths until one is intact or this node is isolated."""
        for row in rows:
            isolated = self.reachability.isolated(monotonic())
            if isolated or not await self.check(row):
                return

    async def _probe(self, row: Endpoint) -> None:
        reached = await self._reach_directly(row)
        restored = self.reachability.note_probe(row.address, reached, monotonic())
        for address in restored:
            self._idle.abort_idle(address, lambda each: each.carrier is not None)
            found = self.endpoints.at_address(address)
            if found is not None:
                extra = {"endpoint": found.endpoint, "service": found.service}
                _LOG.info("path", extra={**extra, "state": "direct"})

    def _run(self, coroutine: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # tunnels of peers

    async def connect_for_peer(
        self, row: Endpoint, make_protocol: Callable[[], ProtocolT]
    ) -> ProtocolT:
        """Open a direct connection to an endpoint for a peer.

        Raises
        ------
        TunnelRefused
            If this node does not reach the endpoint. The status blames the endpoint
            only if this node reaches another one of the same service now.
        """
        if self.is_lost(row):
            raise TunnelRefused("path lost", HTTPStatus.SERVICE_UNAVAILABLE)
        since = monotonic()
        try:
            async with asyncio.timeout(CARRIED_CONNECT_S):
                protocol = await self.dialer.connect(make_protocol, row.address)
        except (OSError, TimeoutError) as error:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if await self._reaches_another(row, since):
                status = HTTPStatus.GATEWAY_TIMEOUT
                if isinstance(error, ConnectionRefusedError):
                    status = HTTPStatus.BAD_GATEWAY
            raise TunnelRefused(repr(error), status) from error
        self.reachability.note_heard(row.address, monotonic())
        return protocol

    async def _reaches_another(self, row: Endpoint, since: float) -> bool:
        """Return whether this node reaches another endpoint of a service.

        Parameters
        ----------
        row : Endpoint
            The endpoint that is not reached.
        since : float
            Monotonic time before which bytes of others prove nothing.
        """
        others = [r for r in self.endpoints.accepting(row.service) if r is not row]
        if any(self.reachability.heard_since(r.address, since) for r in others):
            return True
        return bool(others) and await self._reach_directly(others[0], keep=True)

    def gauges(self) -> dict[str, float]:
        """Return the counters by the names of the metrics."""
        names = ("tunnels_opened", "tunnels_failed", "paths_lost")
        return {
            "endpoint_connections_opened": float(self.statistics["direct_opened"]),
            **{name: float(self.statistics[name]) for name in names},
            "paths_lost_now": float(len(self.reachability.lost)),
            "isolated": float(self.reachability.isolated(monotonic())),
        }


def _is_unreached(error: Exception) -> bool:
    return isinstance(error, TunnelRefused) and error.status in _UNREACHED
