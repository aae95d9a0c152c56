"""Calls from one node to another."""

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

#: Seconds that a question about a key may take.
KEY_TIMEOUT_S = 0.6
#: Seconds beyond a request's deadline that its home has to answer.
FORWARD_GRACE_S = 0.5
#: Seconds that a larger transfer may take.
TRANSFER_TIMEOUT_S = 2.0
#: Seconds that a copy may take, while its caller waits to hear "accepted".
COPY_TIMEOUT_S = 0.7

ModelT = TypeVar("ModelT", bound=BaseModel)


class IndirectProbe(BaseModel):
    """Ask a peer to probe another one."""

    target: str
    message: ProbeMessage


class PeerClient:
    """Makes calls to peers; no answer, or none that is understood, is None.

    Parameters
    ----------
    http_client : JsonHttpClient
        Makes the calls.
    probe_timeout_s : float
        Seconds that a probe may take.
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
        answer: type[ModelT],
        timeout_s: float,
    ) -> ModelT | None:
        # Nodes of the version before refuse fields that they do not know.
        value = body.model_dump(mode="json", exclude_defaults=True)
        return self._call("POST", peer, path, value, answer, timeout_s)

    def _call(
        self,
        method: str,
        peer: str,
        path: str,
        body: object,
        answer: type[ModelT],
        timeout_s: float,
    ) -> ModelT | None:
        try:
            reply = self._http_client.call(method, peer, path, body, timeout_s)
        except CallFailed:
            return None
        if not reply.ok:
            return None
        try:
            return answer.model_validate(reply.value)
        except ValidationError:
            return None

    def probe(
        self, peer: str, message: ProbeMessage, helpers: Sequence[str]
    ) -> ProbeMessage | None:
        """Probe a peer, and through helpers if it does not answer itself."""
        timeout = self._probe_timeout_s
        answer = self._post(peer, "/peer/probe", message, ProbeMessage, timeout)
        if answer is not None or not helpers:
            return answer
        through = IndirectProbe(target=peer, message=message)
        for helper in helpers:
            answer = self._post(
                helper, "/peer/through", through, ProbeMessage, 2 * timeout
            )
            if answer is not None:
                return answer
        return None

    def query_key(self, peer: str, query: KeyQuery) -> KeyReply | None:
        """Ask what became of a key."""
        return self._post(peer, "/peer/key", query, KeyReply, KEY_TIMEOUT_S)

    def all_absent(self, peers: Sequence[str], query: KeyQuery) -> bool:
        """Return whether every peer says that it knows nothing of a key."""
        replies = self._pool.map(lambda peer: self.query_key(peer, query), peers)
        return all(reply is not None and reply.state == "absent" for reply in replies)

    def forward(
        self, peer: str, stored: RequestMessage, timeout_s: float
    ) -> KeyReply | None:
        """Let a peer run a request whose ticket names it."""
        timeout = max(0.0, timeout_s) + FORWARD_GRACE_S
        answer = self._post(peer, "/peer/forward", stored, OutcomeMessage, timeout)
        if answer is None:
            return None
        return KeyReply(state="finished", outcome=answer)

    def configuration(self, peer: str) -> SnapshotRecord | None:
        """Return a peer's configuration in force."""
        return self._call(
            "GET",
            peer,
            "/peer/configuration",
            None,
            SnapshotRecord,
            TRANSFER_TIMEOUT_S,
        )

    def store_copy(self, peer: str, message: CopyMessage) -> CopyReply | None:
        """Give a peer a copy of a deferred request."""
        return self._post(peer, "/peer/copy", message, CopyReply, COPY_TIMEOUT_S)

    def query_copies(self, peer: str, query: CopyQuery) -> CopyStatuses | None:
        """Ask what a peer has of requests whose home is gone."""
        return self._post(peer, "/peer/copies", query, CopyStatuses, COPY_TIMEOUT_S)

    def hand_over(self, peer: str, message: HandoverMessage) -> HandoverReply | None:
        """Hand over to a peer."""
        return self._post(
            peer, "/peer/handover", message, HandoverReply, TRANSFER_TIMEOUT_S
        )
