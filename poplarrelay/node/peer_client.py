"""Client for the calls from one node to another."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from poplarrelay.messages.gossip import (
    CopyMessage,
    CopyQuery,
    CopyReply,
    CopyStatuses,
    HandoverMessage,
    HandoverReply,
    KeyQuery,
    KeyReply,
    OutcomeMessage,
    ProbeMessage,
    RequestMessage,
)
from poplarrelay.messages.records import SnapshotRecord
from poplarrelay.providers.http import CallFailed, JsonHttpClient

__all__ = ["IndirectProbe", "PeerClient"]

#: Timeout of a query for a key, in seconds.
KEY_TIMEOUT_S = 0.6
#: Seconds after a request's deadline in which its owner can still reply.
FORWARD_GRACE_S = 0.5
#: Timeout of a configuration transfer or a handover, in seconds.
TRANSFER_TIMEOUT_S = 2.0
#: Timeout of storing a copy, in seconds; during this time the caller waits for
#: "accepted".
COPY_TIMEOUT_S = 0.7

ModelT = TypeVar("ModelT", bound=BaseModel)


class IndirectProbe(BaseModel):
    """Request to a peer to probe another node."""

    target: str
    message: ProbeMessage


class PeerClient:
    """Makes calls to peers.

    A call without a reply, or with a reply that is not valid, returns None.

    Parameters
    ----------
    http_client : JsonHttpClient
        HTTP client for the calls.
    probe_timeout_s : float
        Timeout of a probe, in seconds.
    """

    def __init__(self, http_client: JsonHttpClient, probe_timeout_s: float) -> None:
        self._http_client = http_client
        self._probe_timeout_s = probe_timeout_s
        self._pool = ThreadPoolExecutor(16, "ask")

    def _post(
        self,
        peer: str,
        path: str,
        body: BaseModel,
        reply_type: type[ModelT],
        timeout_s: float,
    ) -> ModelT | None:
        # Nodes of the previous version reject fields that they do not have.
        value = body.model_dump(mode="json", exclude_defaults=True)
        return self._call("POST", peer, path, value, reply_type, timeout_s)

    def _call(
        self,
        method: str,
        peer: str,
        path: str,
        body: object,
        reply_type: type[ModelT],
        timeout_s: float,
    ) -> ModelT | None:
        try:
            reply = self._http_client.call(method, peer, path, body, timeout_s)
        except CallFailed:
            return None
        if not reply.ok:
            return None
        try:
            return reply_type.model_validate(reply.value)
        except ValidationError:
            return None

    def probe(
        self, peer: str, message: ProbeMessage, helpers: Sequence[str]
    ) -> ProbeMessage | None:
        """Probe a peer directly; if it does not reply, probe it through the helpers."""
        timeout = self._probe_timeout_s
        reply = self._post(peer, "/peer/probe", message, ProbeMessage, timeout)
        if reply is not None or not helpers:
            return reply
        indirect_probe = IndirectProbe(target=peer, message=message)
        for helper in helpers:
            reply = self._post(
                helper, "/peer/through", indirect_probe, ProbeMessage, 2 * timeout
            )
            if reply is not None:
                return reply
        return None

    def query_key(self, peer: str, query: KeyQuery) -> KeyReply | None:
        """Ask a peer for the state of a key."""
        return self._post(peer, "/peer/key", query, KeyReply, KEY_TIMEOUT_S)

    def all_absent(self, peers: Sequence[str], query: KeyQuery) -> bool:
        """Return whether every peer replies that it has no state of a key."""
        replies = self._pool.map(lambda peer: self.query_key(peer, query), peers)
        return all(reply is not None and reply.state == "absent" for reply in replies)

    def forward(
        self, peer: str, message: RequestMessage, timeout_s: float
    ) -> KeyReply | None:
        """Send a request to the peer that its ticket names, and return the outcome."""
        timeout = max(0.0, timeout_s) + FORWARD_GRACE_S
        reply = self._post(peer, "/peer/forward", message, OutcomeMessage, timeout)
        if reply is None:
            return None
        return KeyReply(state="finished", outcome=reply)

    def configuration(self, peer: str) -> SnapshotRecord | None:
        """Return the configuration in force at a peer."""
        return self._call(
            "GET",
            peer,
            "/peer/configuration",
            None,
            SnapshotRecord,
            TRANSFER_TIMEOUT_S,
        )

    def store_copy(self, peer: str, message: CopyMessage) -> CopyReply | None:
        """Send a copy of a deferred request to a peer."""
        return self._post(peer, "/peer/copy", message, CopyReply, COPY_TIMEOUT_S)

    def query_copies(self, peer: str, query: CopyQuery) -> CopyStatuses | None:
        """Ask a peer for the copies that it has of requests whose owner is gone."""
        return self._post(peer, "/peer/copies", query, CopyStatuses, COPY_TIMEOUT_S)

    def hand_over(self, peer: str, message: HandoverMessage) -> HandoverReply | None:
        """Hand over keys and requests of this node to a peer."""
        return self._post(
            peer, "/peer/handover", message, HandoverReply, TRANSFER_TIMEOUT_S
        )
