"""Messages that nodes exchange, and their fields on the wire."""

from __future__ import annotations

from typing import Literal

from poplarrelay.settings import StrictModel

__all__ = [
    "CopyMessage",
    "CopyQuery",
    "CopyReply",
    "CopyStatus",
    "CopyStatuses",
    "HandoverMessage",
    "HandoverReply",
    "KeyMessage",
    "KeyQuery",
    "KeyReply",
    "MemberRow",
    "NoticeRow",
    "OutcomeMessage",
    "ProbeMessage",
    "RequestMessage",
]


class MemberRow(StrictModel):
    """Encoded member; see `poplarrelay.tables.members.Member`."""

    node: str
    incarnation: str
    generation: int
    version: int
    status: Literal["alive", "leaving", "suspect", "dead", "left"]
    domain: str
    callers: str
    peers: str
    ready: bool
    epoch: int
    clock: float = 0.0
    configuration_next: int
    successor: str | None = None


class NoticeRow(StrictModel):
    """An endpoint is leaving.

    Attributes
    ----------
    remaining_s : float
        Seconds until the endpoint leaves. The message has a remaining time and not a
        time of day because the hosts' clocks can differ.
    """

    endpoint: str
    remaining_s: float


class ProbeMessage(StrictModel):
    """A probe or its answer, with piggybacked gossip.

    Attributes
    ----------
    sender : MemberRow
        The sender's row.
    rows : tuple of MemberRow
        Rows that changed recently.
    notices : tuple of NoticeRow
        Endpoints that are leaving.
    full : bool
        Whether the answer must contain the complete member table.
    """

    sender: MemberRow
    rows: tuple[MemberRow, ...] = ()
    notices: tuple[NoticeRow, ...] = ()
    full: bool = False


class KeyQuery(StrictModel):
    """Request for the state of a key, sent to the process that holds the key.

    Attributes
    ----------
    claim : int or None
        Log offset of the claim that the sender has read, None if the key is a ticket.
    """

    team: str
    key: str
    fingerprint: str
    incarnation: str
    claim: int | None


class OutcomeMessage(StrictModel):
    """Encoded outcome; see `poplarrelay.outcomes`.

    Attributes
    ----------
    body : str
        Body of a plain service's answer in base64.
    """

    tag: Literal["answered", "not_run", "unknown"]
    reason: str = ""
    retry_after_s: float | None = None
    tokens: tuple[str, ...] = ()
    status: int = 0
    content_type: str = ""
    body: str = ""
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0


class KeyReply(StrictModel):
    """Reply to a `KeyQuery`.

    Attributes
    ----------
    state : str
        ``absent`` means that the process does not hold the key and never ran it under
        the claim of the query; ``mismatch`` means that the key belongs to a different
        request.
    released_ago_s : float
        Seconds since the process answered a caller that the key was not run. A request
        that arrived before that must not run.
    """

    state: Literal["running", "finished", "released", "broken", "absent", "mismatch"]
    outcome: OutcomeMessage | None = None
    released_ago_s: float = 0.0


class KeyMessage(StrictModel):
    """Final state of a key, handed over by a node that is leaving."""

    team: str
    key: str
    state: Literal["finished", "released", "broken"]
    fingerprint: str
    claim: int | None
    outcome: OutcomeMessage | None = None
    age_s: float


class RequestMessage(StrictModel):
    """Encoded request: handed over, forwarded to its owner, or copied to a peer.

    Attributes
    ----------
    request_class, kind, name, ...
        See `poplarrelay.tables.requests`.
    remaining_s, age_s : float
        Seconds until the deadline and since the arrival.
    home_clock : float
        Newest clock reading of the receiving node that the sender had received when it
        forwarded the request. The receiver uses it as the earliest possible arrival,
        since the message can be delayed in transit.
    outcome : OutcomeMessage or None
        Set if the request has ended and its answer is kept for the caller.
    copies : int
        Number of copies of a deferred request sent so far. A copy with a higher number
        replaces one with a lower number in any order of arrival.
    """

    id: str
    team: str
    request_class: str
    kind: str
    name: str
    method: str = "POST"
    path: str = ""
    content_type: str = ""
    body: str = ""
    prompt: str = ""
    max_tokens: int = 0
    prefix: str = ""
    prompt_tokens: int = 0
    repeatable: bool = True
    fingerprint: str = ""
    key: str | None = None
    remaining_s: float
    age_s: float
    home_clock: float = 0.0
    first_token_s: float
    deferred: bool
    outcome: OutcomeMessage | None = None
    copies: int = 0


class HandoverMessage(StrictModel):
    """The keys and requests that a leaving node hands over to its successor.

    Attributes
    ----------
    id : str
        Identifier of the handover. Retries use the same id, so it takes effect once.
    """

    id: str
    node: str
    incarnation: str
    keys: tuple[KeyMessage, ...]
    requests: tuple[RequestMessage, ...]


class CopyMessage(StrictModel):
    """Copy of a deferred request or of its answer, stored by a peer.

    Attributes
    ----------
    node, incarnation, generation : str, str, int
        The owner of the request.
    """

    node: str
    incarnation: str
    generation: int = 0
    request: RequestMessage


class CopyReply(StrictModel):
    """Reply of a peer to a `CopyMessage`.

    Attributes
    ----------
    taken : bool
        Whether the peer accepted the copy.
    moved : bool
        Whether the peer has taken over the request and owns it now.
    outcome : OutcomeMessage or None
        Outcome of the request at the peer, None if there is none.
    """

    taken: bool
    moved: bool = False
    outcome: OutcomeMessage | None = None


class CopyQuery(StrictModel):
    """Request for a peer's state of requests whose owner has failed."""

    requests: tuple[str, ...]


class CopyStatus(StrictModel):
    """State of a deferred request at a node.

    Attributes
    ----------
    state : str
        ``home`` if the node owns the request, ``held`` if it stores a copy, ``absent``
        if it has neither.
    copies : int
        Number of the newest copy, as in `RequestMessage`.
    """

    request: str
    state: Literal["absent", "held", "home"]
    copies: int = 0
    outcome: OutcomeMessage | None = None


class CopyStatuses(StrictModel):
    """Reply to a `CopyQuery`."""

    standings: tuple[CopyStatus, ...]


class HandoverReply(StrictModel):
    """Reply to a `HandoverMessage`: whether the peer accepted the handover."""

    taken: bool
