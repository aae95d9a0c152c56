"""Distributed rate limiting for endpoints that state a request limit.

Notes
-----
A limit applies to the requests of all nodes together. One node per endpoint issues
permits at the stated rate, and the others request a permit before they send. Dividing
the limit equally would leave each node of a large system far below one request per
second, and allowing each node one request per second would far exceed the limit.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.rate_limits import StatedLimit, apply_stated_limit, set_limit
from poplarrelay.entry.scheduling.coordinators import choose_coordinator
from poplarrelay.identifiers import EndpointId, NodeId, StartTime

__all__ = ["PROBE_PER_S", "Permit", "PermitBroker", "PermitIssuer", "PermitSender"]

#: Seconds for which a permit is valid.
PERMIT_VALID_S = 0.5
#: Minimum rate in requests per second. Only an answer of the endpoint shows that its
#: limit has been raised or cleared.
PROBE_PER_S = 0.2
#: Maximum idle time in seconds for which an issuer may catch up.
CATCH_UP_S = 0.5
#: Seconds to wait for the issuer's reply before a permit is requested again.
REPLY_TIMEOUT_S = 0.1
#: Consecutive unanswered permit requests after which a node issues permits for its own
#: share of the limit.
MAX_UNANSWERED = 3
#: Minimum seconds between broadcasts of one endpoint's limit.
BROADCAST_INTERVAL_S = 0.5

#: Message kinds, sent as the first element of each message.
LIMIT, REQUEST, REPLY = "limit", "ask", "permit"


class PermitSender(Protocol):
    """Sends messages to peers; messages can be lost, delayed or reordered."""

    def send_permits(self, hosts: Sequence[str], messages: list[list[Any]]) -> None:
        """Send messages to the given peers."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Reply to a request for a permit.

    Attributes
    ----------
    wait_s : float
        Seconds until the next permit is due, 0 if a permit is granted.
    """

    wait_s: float

    @property
    def granted(self) -> bool:
        """Return whether a request can be sent now."""
        return self.wait_s <= 0


@dataclass(slots=True)
class PermitIssuer:
    """Issues permits at the rate that each endpoint states."""

    _next_at: dict[tuple[EndpointId, StartTime | None], float] = field(
        default_factory=dict
    )

    def issue(
        self,
        endpoint: EndpointId,
        run: StartTime | None,
        per_s: float,
        share: float,
        now: float,
    ) -> Permit:
        """Issue a permit, or return the time until the next one is due.

        Parameters
        ----------
        endpoint, run : EndpointId, StartTime or None
            Endpoint, and its run, for which the permit is issued.
        per_s : float
            Limit in requests per second.
        share : float
            Fraction of the limit for which this node may issue permits.
        now : float
            Current monotonic time.
        """
        interval_s = 1 / (max(per_s, PROBE_PER_S) * share)
        # Without an entry, wait for one interval: a previous issuer may have issued a
        # permit just before this node took over. A time that is more than one interval
        # ahead was computed at a lower rate.
        next_at = min(self._next_at.get((endpoint, run), inf), now + interval_s)
        if next_at > now:
            self._next_at[endpoint, run] = next_at
            return Permit(next_at - now)
        earliest = now - min(interval_s, CATCH_UP_S)
        self._next_at[endpoint, run] = max(next_at, earliest) + interval_s
        return Permit(0.0)

    def forget(self, rows: Mapping[EndpointId, Endpoint]) -> None:
        """Drop the state of runs that are not in the given rows."""
        for endpoint, run in list(self._next_at):
            if endpoint not in rows or rows[endpoint].started_ms != run:
                del self._next_at[endpoint, run]


@dataclass(slots=True)
class PermitBroker:
    """Obtains permits for this node and issues permits to its peers.

    Attributes
    ----------
    own_host : str
        Host of this node.
    rows : mapping of EndpointId to Endpoint
        Rows of the endpoint table.
    nodes : callable
        Returns the hosts of all live nodes by id, including this node.
    shares : callable
        Returns the fraction of all nodes that this node can reach, including itself,
        and the fraction that a single node represents.
    sender : PermitSender
        Sends messages to peers.
    monotonic : callable
        Returns the current monotonic time.
    on_permit : callable
        Called with the service when a peer grants a permit for one of its endpoints.
    on_denial : callable
        Called with the service when a peer denies a permit.
    issuer : PermitIssuer
        Issues this node's permits.
    """

    own_host: str
    rows: Mapping[EndpointId, Endpoint]
    nodes: Callable[[], Mapping[NodeId, str]]
    shares: Callable[[], tuple[float, float]]
    sender: PermitSender
    monotonic: Callable[[], float]
    on_permit: Callable[[ServiceName], None] = lambda service: None
    on_denial: Callable[[ServiceName], None] = lambda service: None
    issuer: PermitIssuer = field(default_factory=PermitIssuer)
    _unanswered: dict[EndpointId, tuple[str, int]] = field(default_factory=dict)
    _broadcast_at: dict[EndpointId, float] = field(default_factory=dict)

    def refresh(self) -> None:
        """Drop the state of endpoints that are no longer in the table."""
        self.issuer.forget(self.rows)
        for by_endpoint in (self._unanswered, self._broadcast_at):
            for endpoint in [each for each in by_endpoint if each not in self.rows]:
                del by_endpoint[endpoint]

    def note_stated_limit(
        self, row: Endpoint, stated: StatedLimit, sent_at: float
    ) -> None:
        """Apply a limit stated in an answer, and broadcast a change to the peers."""
        now = self.monotonic()
        if not apply_stated_limit(row, stated, sent_at, now):
            return
        if now - self._broadcast_at.get(row.endpoint, -inf) < BROADCAST_INTERVAL_S:
            return
        self._broadcast_at[row.endpoint] = now
        peers = [host for host in self.nodes().values() if host != self.own_host]
        message = [LIMIT, row.endpoint, row.started_ms, row.limit_per_s, 0.0]
        self.sender.send_permits(peers, [message])

    def prepare(self, rows: Sequence[Endpoint], now: float) -> None:
        """Request permits for the limited endpoints that have none.

        Parameters
        ----------
        rows : sequence of Endpoint
            Candidate endpoints for a request.
        now : float
            Current monotonic time.
        """
        for row in rows:
            if row.limit_per_s is None:
                continue
            row.drop_expired_permits(now)
            if not row.permits and now >= row.next_permit_request_at:
                self._request_permit(row, row.limit_per_s, now)

    def _request_permit(self, row: Endpoint, per_s: float, now: float) -> None:
        nodes = self.nodes()
        host = nodes[choose_coordinator(row.endpoint, nodes)]
        previous_host, unanswered = self._unanswered.get(row.endpoint, (host, 0))
        if previous_host != host:
            unanswered = 0
        reachable, own = self.shares()
        if host == self.own_host or unanswered >= MAX_UNANSWERED:
            share = reachable if host == self.own_host else own
            permit = self.issuer.issue(row.endpoint, row.started_ms, per_s, share, now)
            self._apply_permit(row, permit, now)
            # The next call tries the coordinator once before it uses this node's own
            # share.
            self._unanswered[row.endpoint] = host, MAX_UNANSWERED - 1
            return
        self._unanswered[row.endpoint] = host, unanswered + 1
        row.next_permit_request_at = now + REPLY_TIMEOUT_S
        message = [REQUEST, row.endpoint, row.started_ms, per_s]
        self.sender.send_permits([host], [message])

    def _apply_permit(self, row: Endpoint, permit: Permit, now: float) -> None:
        row.next_permit_request_at = row.next_permit_at = now + permit.wait_s
        if permit.granted:
            row.permits.append(now + PERMIT_VALID_S)

    def receive(self, host: str, messages: Sequence[list[Any]]) -> None:
        """Handle messages from a peer.

        Raises
        ------
        ValueError or TypeError
            If a message is malformed.
        """
        for kind, *rest in messages:
            if kind == LIMIT:
                self._receive_limit(host, *rest)
            elif kind == REQUEST:
                self._receive_request(host, *rest)
            elif kind == REPLY:
                self._receive_reply(*rest)
            else:
                raise ValueError(f"unknown message kind: {kind!r}")

    def _find_row(self, endpoint: str, run: int | None) -> Endpoint | None:
        row = self.rows.get(EndpointId(str(endpoint)))
        return row if row is not None and row.started_ms == run else None

    def _receive_limit(
        self, host: str, endpoint: str, run: int | None, per_s: Any, age_s: float
    ) -> None:
        set_at = self.monotonic() - max(0.0, float(age_s))
        limit = None if per_s is None else max(0.0, float(per_s))
        row = self._find_row(endpoint, run)
        if row is not None and set_at > row.limit_updated_at:
            set_limit(row, limit, set_at, f"peer {host}")

    def _receive_request(
        self, host: str, endpoint: str, run: int | None, per_s: float
    ) -> None:
        now = self.monotonic()
        row = self._find_row(endpoint, run)
        known_limit = None if row is None else row.limit_per_s
        reachable, _ = self.shares()
        permit = self.issuer.issue(
            EndpointId(str(endpoint)),
            None if run is None else StartTime(int(run)),
            float(per_s) if known_limit is None else known_limit,
            reachable,
            now,
        )
        # A wait rounded to zero would mean that the permit is granted.
        wait_s = 0.0 if permit.granted else max(0.001, round(permit.wait_s, 3))
        reply = [REPLY, endpoint, run, wait_s]
        self.sender.send_permits([host], [reply])

    def _receive_reply(self, endpoint: str, run: int | None, wait_s: float) -> None:
        row = self._find_row(endpoint, run)
        permit = Permit(max(0.0, float(wait_s)))
        if row is None:
            return
        if not self._unanswered.pop(row.endpoint, None) and not permit.granted:
            # A denial without a pending request is late or a duplicate.
            return
        self._apply_permit(row, permit, self.monotonic())
        if permit.granted:
            self.on_permit(row.service)
        else:
            self.on_denial(row.service)
