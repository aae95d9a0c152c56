"""Forms of idempotency keys: caller keys and tickets.

Notes
-----
A caller key is any text that the caller chose; it is claimed by a log record. A ticket
consists of a prefix that the system issued together with an address, and a part that
the caller added: ``t1.NODE.INCARNATION.EPOCH.NONCE``. It names the only process that
can run it, and therefore needs no record. That process counts the epoch by its own
monotonic clock, so clocks of two hosts are never compared.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from uuid import UUID

from poplarrelay.exception import MalformedKey
from poplarrelay.identifiers import IdempotencyKey, Incarnation, NodeId

__all__ = [
    "CallerKey",
    "Ticket",
    "caller_key_time",
    "read_key",
    "ticket_prefix",
]

TICKET_START = "t1."
_TICKET = re.compile(
    r"^t1\.(?P<node>[A-Za-z0-9_-]{1,63})\.(?P<incarnation>[0-9a-f]{8,32})"
    r"\.(?P<epoch>[0-9]{1,9})\.(?P<nonce>[A-Za-z0-9_-]{1,64})$"
)
_CALLER_KEY = re.compile(r"^[\x21-\x7e]{1,200}$")
_UUID7 = re.compile(
    r"^[0-9a-fA-F]{8}-?[0-9a-fA-F]{4}-?7[0-9a-fA-F]{3}-?[89abAB][0-9a-fA-F]{3}"
    r"-?[0-9a-fA-F]{12}$"
)


@dataclass(frozen=True, slots=True)
class CallerKey:
    """A key that the caller chose."""

    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class Ticket:
    """A key that only the process that issued it can run.

    Attributes
    ----------
    node : NodeId
        The node of that process, the owner of the ticket.
    incarnation : Incarnation
        The run of that process.
    epoch : int
        Ticket epoch of the owner at the time of issue.
    """

    key: IdempotencyKey
    node: NodeId
    incarnation: Incarnation
    epoch: int


def read_key(key: IdempotencyKey) -> CallerKey | Ticket:
    """Return the parsed value of an ``Idempotency-Key`` header.

    Raises
    ------
    MalformedKey
        If the value is neither a ticket nor 1 to 200 visible ASCII characters.

    Examples
    --------
    >>> read_key(IdempotencyKey("seat-17"))
    CallerKey(key='seat-17')
    >>> read_key(IdempotencyKey("t1.n1.0123abcd.4.x")).epoch
    4
    """
    if not _CALLER_KEY.match(key):
        raise MalformedKey("1 to 200 visible ASCII characters are taken")
    if not key.startswith(TICKET_START):
        return CallerKey(key)
    match = _TICKET.match(key)
    if match is None:
        raise MalformedKey("this is not a whole ticket")
    return Ticket(
        key,
        NodeId(match["node"]),
        Incarnation(match["incarnation"]),
        int(match["epoch"]),
    )


def ticket_prefix(node: NodeId, incarnation: Incarnation, epoch: int) -> str:
    """Return the prefix that a caller completes to a ticket with ``.NONCE``."""
    return f"{TICKET_START}{node}.{incarnation}.{epoch}"


def caller_key_time(key: IdempotencyKey) -> float | None:
    """Return the time of day within a key of UUID version 7, in seconds.

    Return None for a key of any other form, because its age is not known.
    """
    if not _UUID7.match(key):
        return None
    return (UUID(key).int >> 80) / 1000
