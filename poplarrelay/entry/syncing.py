"""Learning from peers what the platform's store does not tell this node."""

from __future__ import annotations

import asyncio
import base64
import logging
from dataclasses import dataclass
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.following import Dependency, StoreView, apply_configuration
from poplarrelay.entry.http.pool import JsonClient
from poplarrelay.entry.peers import PeerRow
from poplarrelay.entry.state import EntryState
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId

__all__ = ["PeerSync", "STATE_PATH", "encode_state"]

_LOG = logging.getLogger("poplarrelay.entry.sync")

STATE_PATH = "/v1/state"
#: Seconds between looks at what peers know.
LOOK_S = 0.25
#: Seconds without an answer of the store after which endpoints are read from peers.
STALE_S = 1.6
#: Seconds between such reads.
ENDPOINTS_S = 0.8
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8_000_000


def encode_state(
    state: EntryState, view: StoreView, endpoints: Dependency, known_version: int
) -> bytes:
    """Return what this node knows, for a peer that cannot reach the store.

    Parameters
    ----------
    known_version : int
        The peer's configuration; it is sent only if it is older.
    """
    value: dict[str, Any] = {
        "endpoints_age_s": endpoints.silence_s(monotonic()),
        "endpoints": {
            endpoint: base64.b64encode(content).decode()
            for endpoint, content in view.records.items()
        },
    }
    configuration = state.configuration
    if configuration is not None and configuration.version > known_version:
        value["configuration"] = base64.b64encode(state.configuration_record).decode()
    return orjson.dumps(value)


@dataclass(slots=True)
class PeerSync:
    """Reads other nodes' state when the store is out of reach.

    Attributes
    ----------
    control_port : int
        Port of the nodes' control listeners, the same on all nodes.

    Notes
    -----
    The store may refuse some nodes and serve the others. A node that was refused
    would keep a route or a key in force that operators have removed; the version
    that peers name in their news shows that there is a newer one.
    """

    state: EntryState
    view: StoreView
    endpoints: Dependency
    control_port: int
    endpoints_read_at: float = float("-inf")

    async def run(self) -> None:
        """Look at the peers' news until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S * (0.8 + 0.4 * self.state.rng.random()))
            peer = self._pick(monotonic())
            if peer is not None:
                await self._read(peer)

    def _pick(self, now: float) -> PeerRow | None:
        """Return the peer to ask, None if there is nothing to ask for."""
        alive = self.state.peers.alive(now)
        if not alive:
            return None
        newer = [row for row in alive if row.configuration > self._version]
        if newer:
            return self.state.rng.choice(newer)
        stale = (
            not self.state.endpoints_known or self.endpoints.silence_s(now) > STALE_S
        )
        if stale and now - self.endpoints_read_at > ENDPOINTS_S:
            return self.state.rng.choice(alive)
        return None

    @property
    def _version(self) -> int:
        configuration = self.state.configuration
        return 0 if configuration is None else configuration.version

    async def _read(self, peer: PeerRow) -> None:
        client = JsonClient(
            (peer.host, self.control_port), CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES
        )
        target = f"{STATE_PATH}?version={self._version}"
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await client.call("GET", target, [], b"")
            value = orjson.loads(response.body)
        except (ExchangeFailed, TimeoutError, orjson.JSONDecodeError) as error:
            _LOG.debug("peer unreadable", extra={"peer": peer.node, "why": str(error)})
            return
        finally:
            client.close()
        content = value.get("configuration")
        if content is not None:
            apply_configuration(
                self.state, base64.b64decode(content), f"peer {peer.node}"
            )
        self._take_endpoints(value)

    def _take_endpoints(self, value: dict[str, Any]) -> None:
        now = monotonic()
        self.endpoints_read_at = now
        own_age = self.endpoints.silence_s(now)
        if self.state.endpoints_known and own_age < STALE_S:
            return
        if value["endpoints_age_s"] >= own_age:
            return
        listed = {EndpointId(name) for name in value["endpoints"]}
        for name, content in value["endpoints"].items():
            self.view.put(EndpointId(name), base64.b64decode(content))
        for endpoint in [e for e in self.state.endpoints.rows if e not in listed]:
            self.view.remove(endpoint, "gone from a peer's list")
        if listed:
            self.state.endpoints_known = True
