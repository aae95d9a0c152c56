"""Messages between nodes."""

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
    """A member as it travels; see `poplarrelay.tables.members.Member`."""

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
        Seconds until it goes. A remaining time travels, not a time of day,
        because the hosts' clocks may differ.
    """

    endpoint: str
    remaining_s: float


class ProbeMessage(StrictModel):
    """A probe or its answer, with news on board.

    Attributes
    ----------
    sender : MemberRow
        The sender's own row.
    rows : tuple of MemberRow
        Rows that changed lately.
    notices : tuple of NoticeRow
        Endpoints that are leaving.
    full : bool
        Asks for the whole member table in the answer.
    """

    sender: MemberRow
    rows: tuple[MemberRow, ...] = ()
    notices: tuple[NoticeRow, ...] = ()
    full: bool = False


class KeyQuery(StrictModel):
    """Ask the process that holds a key what became of it.

    Attributes
    ----------
    claim : int or None
        Offset of the claim that the asker has read, None under a ticket.
    """

    team: str
    key: str
    fingerprint: str
    incarnation: str
    claim: int | None


class OutcomeMessage(StrictModel):
    """An outcome as it travels; see `poplarrelay.outcomes`.

    Attributes
    ----------
    body : str
        A plain service's body in base64.
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
    """Answer to a `KeyQuery`.

    ``absent`` means that this process does not hold the key and never ran it
    under the claim asked for; ``mismatch`` that the key came with another request.

    Attributes
    ----------
    released_ago_s : float
        Seconds since callers were told that the key was not run. A request that
        came before then must not run any more.
    """

    state: Literal["running", "finished", "released", "broken", "absent", "mismatch"]
    outcome: OutcomeMessage | None = None
    released_ago_s: float = 0.0


class KeyMessage(StrictModel):
    """A key's fate, handed over by a node that leaves."""

    team: str
    key: str
    state: Literal["finished", "released", "broken"]
    fingerprint: str
    claim: int | None
    outcome: OutcomeMessage | None = None
    age_s: float


class RequestMessage(StrictModel):
    """A request that a leaving node hands over.

    Attributes
    ----------
    request_class, kind, name, ...
        See `poplarrelay.tables.requests`.
    remaining_s, age_s : float
        Seconds until the deadline and since the arrival.
    home_clock : float
        The newest time of the receiver's own clock that the sender had heard
        when it took the request, so that one that got stuck on its way is known.
    outcome : OutcomeMessage or None
        Set if it has ended and its answer is kept for the caller.
    copies : int
        Copies that have been sent of a deferred request; a later one replaces an
        earlier one, whichever arrives first.
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
    """What a leaving node gives to its successor.

    Attributes
    ----------
    id : str
        The same for every repetition, so that it takes effect once.
    """

    id: str
    node: str
    incarnation: str
    keys: tuple[KeyMessage, ...]
    requests: tuple[RequestMessage, ...]


class CopyMessage(StrictModel):
    """A deferred request, or its answer, for a peer to keep.

    Attributes
    ----------
    node, incarnation, generation : str, str, int
        The request's home.
    """

    node: str
    incarnation: str
    generation: int = 0
    request: RequestMessage


class CopyReply(StrictModel):
    """Whether a peer keeps a copy.

    Attributes
    ----------
    moved : bool
        Whether the peer has taken the request over and is its home now.
    outcome : OutcomeMessage or None
        What the request came to there.
    """

    taken: bool
    moved: bool = False
    outcome: OutcomeMessage | None = None


class CopyQuery(StrictModel):
    """Ask a peer what it has of requests whose home is gone."""

    requests: tuple[str, ...]


class CopyStatus(StrictModel):
    """What a node has of a deferred request.

    Attributes
    ----------
    state : str
        ``home`` if the request has come to this node to stay, ``held`` if a copy has.
    copies : int
        Number of that copy.
    """

    request: str
    state: Literal["absent", "held", "home"]
    copies: int = 0
    outcome: OutcomeMessage | None = None


class CopyStatuses(StrictModel):
    """Answer to a `CopyQuery`."""

    standings: tuple[CopyStatus, ...]


class HandoverReply(StrictModel):
    """Whether a peer took a handover."""

    taken: bool
