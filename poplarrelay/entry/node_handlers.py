"""Handlers for readiness, discovery, status and metrics of a node."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from time import monotonic
from urllib.parse import parse_qs

import orjson

from poplarrelay.entry.caller_budget import CallerBudget
from poplarrelay.entry.endpoint_list import EndpointList
from poplarrelay.entry.http.listener import Exchange, IncomingRequest
from poplarrelay.entry.metrics import EntryMetrics
from poplarrelay.entry.peer_sync import STATE_PATH, encode_state
from poplarrelay.entry.peers import choose_addresses
from poplarrelay.entry.settings import parse_address
from poplarrelay.entry.state import EntryState
from poplarrelay.platform.discovery import (
    READINESS_PATH,
    RESOLVE_PATH,
    encode_addresses,
)

__all__ = ["METRICS_PATH", "NodeHandlers"]

#: Path of the metrics, on the control address and on the metrics address.
METRICS_PATH = "/metrics"
#: Path of the node's state for operators, on the control address.
STATUS_PATH = "/status"
#: Seconds for which callers keep the addresses: long enough that discovery costs
#: little, short enough that callers leave a stopping node before its process ends.
ADDRESS_TTL_S = 2.5


class NodeHandlers:
    """Handlers of the listeners for the platform, peers and operators.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    endpoints : EndpointList
        The endpoints' records, which peers fetch from this node.
    metrics : EntryMetrics
        The node's metrics.
    gauges : callable
        Returns the values of gauges that only the process can read, by name.
    budget : CallerBudget
        Budget of the process for its callers.
    """

    def __init__(
        self,
        state: EntryState,
        endpoints: EndpointList,
        metrics: EntryMetrics,
        gauges: Callable[[], dict[str, float]],
        budget: CallerBudget,
    ) -> None:
        self._state = state
        self._endpoints = endpoints
        self._metrics = metrics
        self._gauges = gauges
        self._budget = budget

    async def readiness(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Answer the platform whether this node is ready for callers."""
        path = incoming.target.partition(b"?")[0]
        if path != READINESS_PATH:
            await exchange.send(404, [], b"")
            return
        exchange.served = True
        await exchange.send(200 if self._state.ready else 503, [], b"")

    async def discovery(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Answer a caller with addresses of nodes to connect to."""
        path = incoming.target.partition(b"?")[0]
        if path != RESOLVE_PATH:
            await exchange.send(404, [], b"")
            return
        exchange.served = True
        port = parse_address(self._state.settings.listeners.callers)[1]
        addresses = choose_addresses(
            self._state.peers, port, monotonic(), self._state.rng
        )
        if not addresses:
            await exchange.send(503, [(b"Retry-After", b"0.5")], b"")
            return
        ttl_s = min(ADDRESS_TTL_S, self._state.settings.bounds.address_ttl_most_s)
        body = encode_addresses(addresses, ttl_s)
        await exchange.send(200, [(b"Content-Type", b"application/json")], body)

    async def control(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Answer peers and operators."""
        path, _, query = incoming.target.decode("latin-1").partition("?")
        exchange.served = path in (STATE_PATH, METRICS_PATH, STATUS_PATH)
        if path == STATE_PATH:
            known_version = int(parse_qs(query).get("version", ["0"])[0])
            body = encode_state(self._state, self._endpoints, known_version)
            await exchange.send(200, [(b"Content-Type", b"application/json")], body)
        elif path == METRICS_PATH:
            await self.metrics(incoming, exchange)
        elif path == STATUS_PATH:
            body = orjson.dumps(self._status())
            await exchange.send(200, [(b"Content-Type", b"application/json")], body)
        else:
            await exchange.send(404, [], b"")

    async def metrics(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        """Answer with the node's metrics."""
        if incoming.target.partition(b"?")[0] != METRICS_PATH.encode():
            await exchange.send(404, [], b"")
            return
        exchange.served = True
        self._metrics.set_limits(self._budget.reactions)
        self._metrics.set_rollouts(self._state.rollouts)
        self._metrics.set_shares(self._state.markers)
        body = self._metrics.render({**self._own_gauges(), **self._gauges()})
        await exchange.send(200, [(b"Content-Type", b"text/plain")], body)

    def _status(self) -> dict[str, object]:
        now = monotonic()
        state = self._state
        return {
            "node": state.me.node,
            "state": state.me.state.value,
            "configuration": state.me.configuration,
            "endpoints_as_of": state.freshness.known_offset,
            "endpoints_age_s": round(state.freshness.reported_age_s(now), 2),
            "endpoints_vouched": state.freshness.within_bound(now),
            "endpoints_source": state.freshness.source,
            "endpoints_unreadable": self._endpoints.unreadable,
            "peers": {
                node: {
                    "state": seen.row.state.value,
                    "alive": seen.alive(now),
                    "configuration": seen.row.configuration,
                }
                for node, seen in state.peers.seen.items()
            },
            "blocked_requests": {
                record.fingerprint: {
                    "team": record.team,
                    "crashes": len(record.counted_crashes(now)),
                    "for_s": round(record.blocked_s(now) or 0.0, 1),
                }
                for record in state.crashes.records
                if record.blocked_s(now) is not None
            },
            "blocked_parts": {
                record.key: {
                    "service": record.service,
                    "crashes": len(record.sequence(now)),
                    "probe_in_s": round(record.blocked_s(now) or 0.0, 1),
                    "failed_probes": state.quarantine.count_failed_probes(record, now),
                    "begun_s_ago": (
                        round(now - record.begun_at, 1)
                        if record.begun_at > -inf
                        else None
                    ),
                }
                for record in state.quarantine.records
                if record.blocked_s(now) is not None
            },
            "rollouts": {
                local.progress.order.service: local.describe()
                for local in state.rollouts
            },
            "endpoints": {
                row.endpoint: {
                    "service": row.service,
                    "version": row.version,
                    "domain": row.domain,
                    "leaving": row.departing,
                    "running": row.running,
                    "limit_per_s": row.limit_per_s,
                    "backoff_s": round(max(0.0, row.backoff_until - now), 2),
                    "elsewhere": row.running_at_other_nodes,
                    "avoided": row.health.avoided_until > now,
                    "failure_rate": round(row.health.failure_rate, 3),
                }
                for row in state.endpoints.rows.values()
            },
        }

    def _own_gauges(self) -> dict[str, float]:
        state = self._state
        return {
            "ready": float(state.ready),
            "peers_alive": float(len(state.peers.alive(monotonic()))),
            "endpoints": float(len(state.endpoints.rows)),
            "endpoints_age_s": state.freshness.reported_age_s(monotonic()),
            "endpoints_unreadable": float(len(self._endpoints.unreadable)),
            "configuration_version": float(state.me.configuration),
            "crashes_noted": float(state.crashes.noted),
            "crashing_requests_refused": float(state.crashes.refused),
            "part_crashes_noted": float(state.quarantine.noted),
            "poison_prompts_refused": float(state.quarantine.refused),
            "part_probes": float(state.quarantine.probes),
            "part_probes_discriminating": float(state.quarantine.discriminating_probes),
            "part_crashes_outlived": float(state.quarantine.survived),
            "streams_unknown": float(state.streams_unknown),
            "answers_foreign": float(state.answers_foreign),
            "streams_incomplete": float(state.streams_incomplete),
            "running": float(sum(r.running for r in state.endpoints.rows.values())),
        }
