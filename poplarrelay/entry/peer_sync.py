"""Reads of peers' state, for changes that the store does not give to this node."""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.configuration_follower import apply_configuration
from poplarrelay.entry.endpoint_list import EndpointChange, EndpointList
from poplarrelay.entry.http.pool import JsonClient
from poplarrelay.entry.state import EntryState
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId, Offset

__all__ = ["STATE_PATH", "PeerSync", "encode_state"]

_LOG = logging.getLogger("poplarrelay.entry.sync")

STATE_PATH = "/v1/state"
#: Seconds between checks whether a peer has newer state.
POLL_INTERVAL_S = 0.25
#: Age of the endpoint list, as a fraction of the bound on leaving endpoints, from which
#: this node reads a peer's complete list. By then neither the store nor datagrams of
#: peers have confirmed the list.
STALE_FRACTION = 0.8
#: Seconds between reads of a peer's complete list.
LIST_READ_INTERVAL_S = 0.8
CONNECT_TIMEOUT_S = 0.5
REPLY_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 8_000_000


def encode_state(
    state: EntryState, endpoints: EndpointList, known_version: int
) -> bytes:
    """Return this node's endpoint list and configuration as JSON, for a peer.

    Parameters
    ----------
    known_version : int
        Version of the peer's configuration. This node's configuration is included only
        if its version is later.
    """
    value: dict[str, Any] = {
        "endpoints_age_s": state.freshness.reported_age_s(monotonic()),
        "endpoints_as_of": state.freshness.known_offset,
        "endpoints": [
            [
                change.endpoint,
                change.offset,
                base64.b64encode(change.content or b"").decode(),
            ]
            for change in endpoints.all()
        ],
        "rollouts": state.rollouts.all_progress(),
        "departures": state.departures.all(monotonic()),
    }
    if state.eras.stated:
        value["era"] = state.eras.latest
    configuration = state.configuration
    if configuration is not None and configuration.version > known_version:
        value["configuration"] = base64.b64encode(state.configuration_record).decode()
    return orjson.dumps(value)


@dataclass(slots=True)
class PeerSync:
    """Client that reads the state of other nodes if it is newer than this node's.

    Attributes
    ----------
    control_port : int
        Port of the nodes' control listeners, the same on all nodes.
    endpoints_read_at : float
        Monotonic time of the last read of a peer's list of endpoints.

    Notes
    -----
    The store can refuse some nodes and serve the others. Without this class, a refused
    node would keep using a route or key that operators have removed. The configuration
    versions in peers' rows show that there is a newer configuration.
    """

    state: EntryState
    endpoints: EndpointList
    control_port: int
    endpoints_read_at: float = float("-inf")

    async def run(self) -> None:
        """Read state of peers when necessary, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S * (0.8 + 0.4 * self.state.rng.random()))
            peer = self.peer_to_ask(monotonic())
            if peer is not None:
                await self._read(peer)

    def peer_to_ask(self, now: float) -> str | None:
        """Return the host of a peer to read from, None if no read is necessary."""
        alive = self.state.peers.alive(now)
        newer = [row.host for row in alive if row.configuration > self._version]
        if newer:
            return self.state.rng.choice(newer)
        freshness = self.state.freshness
        stale = freshness.age_s(now) > STALE_FRACTION * freshness.times.bound_s
        if stale and alive and now - self.endpoints_read_at > LIST_READ_INTERVAL_S:
            return self.state.rng.choice(alive).host
        return None

    @property
    def _version(self) -> int:
        configuration = self.state.configuration
        return 0 if configuration is None else configuration.version

    async def _read(self, host: str) -> None:
        client = JsonClient(
            (host, self.control_port), CONNECT_TIMEOUT_S, MAX_REPLY_BYTES
        )
        sent_at = monotonic()
        target = f"{STATE_PATH}?version={self._version}"
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                response = await client.call("GET", target, [], b"")
            value = orjson.loads(response.body)
        except (ExchangeFailed, TimeoutError, orjson.JSONDecodeError) as error:
            _LOG.debug("peer state unreadable", extra={"peer": host, "why": str(error)})
            return
        finally:
            client.close()
        # The endpoints of the list can belong to a roll-out.
        self._apply_rollouts(value.get("rollouts", ()), host)
        self._apply_departures(value.get("departures", ()), host)
        content = value.get("configuration")
        if content is not None:
            apply_configuration(self.state, base64.b64decode(content), f"peer {host}")
        self.endpoints_read_at = monotonic()
        if self._has_latest_era(value.get("era"), host):
            self._apply_endpoints(value, sent_at, host)

    def _apply_rollouts(self, records: Iterable[list[Any]], peer: str) -> None:
        try:
            self.state.rollouts.receive(records, peer)
        except ValueError as error:
            _LOG.warning("rollouts unreadable", extra={"peer": peer, "why": str(error)})

    def _has_latest_era(self, era: object, peer: str) -> bool:
        try:
            return self.state.eras.accepts(era, peer)
        except ValueError as error:
            _LOG.warning("era unreadable", extra={"peer": peer, "why": str(error)})
            return False

    def _apply_departures(self, departures: Iterable[list[Any]], peer: str) -> None:
        try:
            self.state.departures.receive(departures, peer, monotonic())
        except (ValueError, TypeError) as error:
            extra = {"peer": peer, "why": str(error)}
            _LOG.warning("departures unreadable", extra=extra)

    def _apply_endpoints(
        self, value: dict[str, Any], sent_at: float, peer: str
    ) -> None:
        listed_at = sent_at - value["endpoints_age_s"]
        if listed_at <= self.state.freshness.confirmed_at:
            return
        as_of = Offset(value["endpoints_as_of"])
        changes = [
            EndpointChange(
                EndpointId(endpoint), Offset(offset), base64.b64decode(content)
            )
            for endpoint, offset, content in value["endpoints"]
        ]
        self.endpoints.replace_all(changes, as_of, peer)
        if as_of > 0:
            self.state.endpoints_known = True
        self.state.freshness.confirm(listed_at, as_of, f"peer {peer}")
