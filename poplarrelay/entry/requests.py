"""A caller's request as the decisions see it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from poplarrelay.entry.http.connection import Headers
from poplarrelay.identifiers import RequestFingerprint, RequestId, TeamId

__all__ = ["CallerRequest", "PromptPart"]

#: Digest size; the hexadecimal fingerprint has twice as many characters.
FINGERPRINT_BYTES = 12


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other requests may share.

    Attributes
    ----------
    part : str
        Its id; the same id stands for the same tokens.
    tokens : int
        Its length.
    """

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller.

    Attributes
    ----------
    request : RequestId
        The caller's id of this try; each try has its own.
    path : str
        Path without the query, for the choice of the route.
    method, target, body : bytes
        As received, to be passed on unchanged.
    has_body : bool
        Whether a body came with it, be it empty.
    passed_headers : list
        Headers to be passed on: those that concern only one connection, and those
        that are this system's to set, are not among them.
    started_at : float
        Monotonic time of its first byte.
    patience_s : float or None
        How long the caller will wait, None if it does not say.
    key : str or None
        The caller's key, where it sent one.
    credentials : bytes or None
        The header that holds it, for endpoints that check callers themselves.
    prompt_tokens, max_output_tokens : int or None
        The size of a generation, None where the request states none.
    prefix : tuple of PromptPart
        The prompt's parts in order; the last one is the request's own.
    last_event_id : bytes or None
        Where the caller wants a stream to go on.
    """

    request: RequestId
    host: str
    path: str
    method: bytes
    target: bytes
    body: bytes
    has_body: bool
    passed_headers: Headers
    started_at: float
    patience_s: float | None = None
    key: str | None = None
    credentials: bytes | None = None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    prefix: tuple[PromptPart, ...] = field(default=())
    last_event_id: bytes | None = None

    @property
    def tokens(self) -> int:
        """Return the tokens that it reads and may generate."""
        return (self.prompt_tokens or 0) + (self.max_output_tokens or 0)

    def fingerprint(self, team: TeamId | None) -> RequestFingerprint:
        """Return a digest of the caller, host, method, target and body.

        Parameters
        ----------
        team : TeamId or None
            The caller's team. If None, the credentials identify the caller.
        """
        caller = (self.credentials or b"") if team is None else team.encode()
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        host = self.host.encode()
        for part in (caller, host, self.method, self.target, self.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return RequestFingerprint(digest.hexdigest())

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.prefix[:-1])

    @property
    def affinity_key(self) -> str | None:
        """Return the id of the longest part that other requests may share."""
        if len(self.prefix) < 2:
            return None
        return self.prefix[-2].part
