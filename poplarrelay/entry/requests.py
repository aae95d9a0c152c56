"""A caller's request, decoded from HTTP."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from poplarrelay.entry.http.connection import Headers
from poplarrelay.identifiers import RequestFingerprint, RequestId, TeamId

__all__ = ["CallerRequest", "PromptPart", "shorten_id"]

#: Longest id that a caller chooses and that tables and messages keep as it is.
MAX_ID_CHARS = 64
#: Size of the digest in bytes; the hexadecimal fingerprint has two characters a byte.
FINGERPRINT_BYTES = 12


def shorten_id(text: str) -> str:
    """Return an id that a caller has chosen, or a digest in place of a long one.

    Examples
    --------
    >>> shorten_id("q1")
    'q1'
    >>> len(shorten_id(15_000 * "q"))
    25
    """
    if len(text) <= MAX_ID_CHARS:
        return text
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return "~" + digest.hexdigest()


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests can share.

    Attributes
    ----------
    part : str
        Id of the part; the same id stands for the same tokens.
    tokens : int
        Length of the part in tokens.
    """

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller.

    Attributes
    ----------
    request : RequestId
        Id of this try, set by the caller; each retry has another id.
    path : str
        Path without the query; it selects the route.
    method, target, body : bytes
        As received; they are forwarded unchanged.
    has_body : bool
        Whether the request has a body, even an empty one.
    forwarded_headers : list
        Headers for the endpoint, without those that concern only one connection and
        those that this system sets.
    started_at : float
        Monotonic time at which the first byte arrived.
    timeout_s : float or None
        Seconds that the caller waits for the answer, None if not stated.
    key : str or None
        The caller's key, None if it sent none.
    credentials : bytes or None
        The header that holds the key, for endpoints that check callers themselves.
    prompt_tokens, max_output_tokens : int or None
        Token counts of a generation, None if the request states none.
    model : str
        Name of the model, empty if the request names none.
    prefix : tuple of PromptPart
        The prompt's parts in order; other requests do not share the last one.
    last_event_id : bytes or None
        Id of the event after which the caller resumes a stream.
    resumes : RequestId or None
        Id of the try that brought the first event of the resumed stream.
    """

    request: RequestId
    host: str
    path: str
    method: bytes
    target: bytes
    body: bytes
    has_body: bool
    forwarded_headers: Headers
    started_at: float
    timeout_s: float | None = None
    key: str | None = None
    credentials: bytes | None = None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    prefix: tuple[PromptPart, ...] = field(default=())
    last_event_id: bytes | None = None
    resumes: RequestId | None = None
    model: str = ""

    @property
    def short_id(self) -> RequestId:
        """Return the id of this try for tables and for messages to other nodes."""
        return RequestId(shorten_id(self.request))

    @property
    def tokens(self) -> int:
        """Return the prompt tokens plus the largest number of output tokens."""
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
        """Return the number of tokens in the parts that other requests can share."""
        return sum(part.tokens for part in self.prefix[:-1])

    @property
    def affinity_key(self) -> str | None:
        """Return the id of the last part that other requests can share."""
        if len(self.prefix) < 2:
            return None
        return self.prefix[-2].part
