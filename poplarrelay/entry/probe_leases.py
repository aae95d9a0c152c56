"""Leases on discriminating probes: one probe of a service at a time over all nodes.

Notes
-----
A coordinator, picked by rendezvous hashing of the service, grants the leases. If it
does not reply, the next one is asked; groups of nodes that do not reach each other have
one probe each. A lease that is not released expires.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import Any, Protocol

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.identifiers import NodeId

__all__ = ["ProbeLease", "ProbeLeaseBroker", "ProbeLeaseSender"]

#: Seconds after which a lease that is not released expires.
LEASE_S = 3.0
#: Seconds between the release of a lease and the next one. All nodes have received the
#: result of the probe by then.
RESULT_SPREAD_S = 0.5
#: Seconds until an unanswered question is sent again, and until the next coordinator is
#: asked.
RESEND_S, REPLY_TIMEOUT_S = 0.05, 0.12
#: Coordinators that are asked in turn.
MAX_COORDINATORS = 2


class _Kind(Enum):
    """Kind of a message, its first element."""

    ASK = "ask"
    REPLY = "reply"
    RELEASE = "release"


class ProbeLeaseSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_probe_lease(self, host: str, message: list[Any]) -> None:
        """Send a message to the lease broker of a peer."""


@dataclass(frozen=True, slots=True)
class ProbeLease:
    """Lease that this node holds.

    Attributes
    ----------
    coordinator : str
        Host of the coordinator.
    number : int
        Number of the lease at this node.
    """

    service: ServiceName
    coordinator: str
    number: int


@dataclass(slots=True)
class _Grant:
    """Lease that this node has granted as a coordinator."""

    host: str
    number: int
    until: float


@dataclass(slots=True)
class ProbeLeaseBroker:
    """Obtains leases for this node's probes, and grants leases as a coordinator.

    Attributes
    ----------
    own_host : str
        Host of this node.
    nodes : callable
        Returns the hosts of all nodes that can be coordinators by id.
    sender : ProbeLeaseSender
        Sends messages to peers.
    monotonic : callable
        Returns the current monotonic time.
    asked, granted : int
        Leases that this node has asked for, and those that it has got.
    """

    own_host: str
    nodes: Callable[[], Mapping[NodeId, str]]
    sender: ProbeLeaseSender
    monotonic: Callable[[], float]
    asked: int = 0
    granted: int = 0
    _grants: dict[ServiceName, _Grant] = field(default_factory=dict)
    _replies: dict[int, asyncio.Future[bool]] = field(default_factory=dict)
    _asking: set[ServiceName] = field(default_factory=set)
    _numbers: count[int] = field(default_factory=lambda: count(1))

    def _coordinators(self, service: ServiceName) -> list[str]:
        nodes = dict(self.nodes())
        hosts: list[str] = []
        while nodes and len(hosts) < MAX_COORDINATORS:
            hosts.append(nodes.pop(choose_coordinator(f"probes|{service}", nodes)))
        return hosts

    async def acquire(self, service: ServiceName) -> ProbeLease | None:
        """Return a lease on a probe of a service, None if another probe is under way.

        Only one request of this node asks at a time; the others get no lease.
        """
        if service in self._asking:
            return None
        self._asking.add(service)
        self.asked += 1
        try:
            for host in self._coordinators(service):
                lease = ProbeLease(service, host, next(self._numbers))
                granted = await self._ask(lease)
                if granted is None:
                    continue
                self.granted += granted
                return lease if granted else None
            return None
        finally:
            self._asking.discard(service)

    async def _ask(self, lease: ProbeLease) -> bool | None:
        """Return whether a coordinator grants a lease, None if it does not reply."""
        if lease.coordinator == self.own_host:
            return self._grant(lease.service, self.own_host, lease.number)
        reply = asyncio.get_running_loop().create_future()
        self._replies[lease.number] = reply
        message = [_Kind.ASK.value, lease.service, lease.number]
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                self.sender.send_probe_lease(lease.coordinator, message)
                done, _ = await asyncio.wait([reply], timeout=RESEND_S)
                if not done:
                    self.sender.send_probe_lease(lease.coordinator, message)
                return await reply
        except TimeoutError:
            # The question may still arrive.
            self.release(lease, used=False)
            return None
        except asyncio.CancelledError:
            self.release(lease, used=False)
            raise
        finally:
            del self._replies[lease.number]

    def release(self, lease: ProbeLease, used: bool) -> None:
        """Give a lease back.

        Parameters
        ----------
        lease : ProbeLease
            The lease.
        used : bool
            Whether the probe has been sent, so that its result has to reach all nodes
            before the next one.
        """
        if lease.coordinator == self.own_host:
            self._end(lease.service, self.own_host, lease.number, used)
        else:
            message = [_Kind.RELEASE.value, lease.service, lease.number, used]
            self.sender.send_probe_lease(lease.coordinator, message)

    # coordinator

    def _grant(self, service: ServiceName, host: str, number: int) -> bool:
        now = self.monotonic()
        grant = self._grants.get(service)
        if grant is None or grant.until <= now:
            self._grants[service] = _Grant(host, number, now + LEASE_S)
            return True
        return (grant.host, grant.number) == (host, number)

    def _end(self, service: ServiceName, host: str, number: int, used: bool) -> None:
        grant = self._grants.get(service)
        if grant is not None and (grant.host, grant.number) == (host, number):
            spread_s = RESULT_SPREAD_S if used else 0.0
            grant.until = min(grant.until, self.monotonic() + spread_s)

    def receive(self, host: str, message: list[Any]) -> None:
        """Handle a message from a peer.

        Raises
        ------
        ValueError or TypeError
            If the message is malformed.
        """
        raw_kind, raw_service, raw_number, *rest = message
        kind, service = _Kind(raw_kind), ServiceName(str(raw_service))
        number = int(raw_number)
        if kind is _Kind.ASK:
            granted = self._grant(service, host, number)
            reply = [_Kind.REPLY.value, service, number, granted]
            self.sender.send_probe_lease(host, reply)
        elif kind is _Kind.RELEASE:
            (used,) = rest
            self._end(service, host, number, bool(used))
        else:
            (granted,) = rest
            future = self._replies.get(number)
            if future is not None and not future.done():
                future.set_result(bool(granted))
