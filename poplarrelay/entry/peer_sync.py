"""Learning from peers what the platform's store does not tell this node."""

from __future__ import annotations

import asyncio
import base64
import logging
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

__all__ = ["PeerSync", "STATE_PATH", "encode_state"]

_LOG = logging.getLogger("poplarrelay.entry.sync")

STATE_PATH = "/v1/state"
#: Seconds between looks at what peers know.
LOOK_S = 0.25
#: Age of the list of endpoints, as a part of the time after which a leaving endpoint
#: may get nothing more, from which a peer is asked for its whole list: by then neither
#: the store nor the peers' datagrams have renewed it.
STALE = 0.8
#: Seconds between such reads.
ENDPOINTS_S = 0.8
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8_000_000


def encode_state(
    state: EntryState, endpoints: EndpointList, known_version: int
) -> bytes:
    """Return what this node knows, for a peer that knows less.

    Parameters
    ----------
    known_version : int
        The peer's configuration; it is sent only if it is older.
    """
    value: dict[str, Any] = {
        "endpoints_age_s": state.freshness.reported_age_s(monotonic()),
        "endpoints_as_of": state.freshness.as_of,
        "endpoints": [
            [
                change.endpoint,
                change.offset,
                base64.b64encode(change.content or b"").decode(),
            ]
            for change in endpoints.all()
        ],
    }
    configuration = state.configuration
    if configuration is not None and configuration.version > known_version:
        value["configuration"] = base64.b64encode(state.configuration_record).decode()
    return orjson.dumps(value)


@dataclass(slots=True)
class PeerSync:
    """Reads other nodes' state where it is newer than this node's.

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
    endpoints: EndpointList
    control_port: int
    endpoints_read_at: float = float("-inf")

    async def run(self) -> None:
        """Look at the peers' news until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S * (0.8 + 0.4 * self.state.rng.random()))
            peer = self.peer_to_ask(monotonic())
            if peer is not None:
                await self._read(peer)

    def peer_to_ask(self, now: float) -> str | None:
        """Return the host of the peer to ask, None if there is nothing to ask for."""
        alive = self.state.peers.alive(now)
        newer = [row.host for row in alive if row.configuration > self._version]
        if newer:
            return self.state.rng.choice(newer)
        freshness = self.state.freshness
        stale = freshness.age_s(now) > STALE * freshness.times.bound_s
        if stale and alive and now - self.endpoints_read_at > ENDPOINTS_S:
            return self.state.rng.choice(alive).host
        return None

    @property
    def _version(self) -> int:
        configuration = self.state.configuration
        return 0 if configuration is None else configuration.version

    async def _read(self, host: str) -> None:
        client = JsonClient(
            (host, self.control_port), CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES
        )
        asked_at = monotonic()
        target = f"{STATE_PATH}?version={self._version}"
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await client.call("GET", target, [], b"")
            value = orjson.loads(response.body)
        except (ExchangeFailed, TimeoutError, orjson.JSONDecodeError) as error:
            _LOG.debug("peer unreadable", extra={"peer": host, "why": str(error)})
            return
        finally:
            client.close()
        content = value.get("configuration")
        if content is not None:
            apply_configuration(self.state, base64.b64decode(content), f"peer {host}")
        self._take_endpoints(value, asked_at, host)

    def _take_endpoints(
        self, value: dict[str, Any], asked_at: float, peer: str
    ) -> None:
        self.endpoints_read_at = monotonic()
        listed_at = asked_at - value["endpoints_age_s"]
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
