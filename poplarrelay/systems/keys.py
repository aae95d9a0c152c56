"""Forms of idempotency keys: plain keys and tickets.

Notes
-----
A plain key is any text that the caller chose; it is claimed on the log. A ticket is
a prefix that the system issued together with an address, and a part that the caller
added: ``t1.NODE.INCARNATION.EPOCH.NONCE``. It names the only process that may run
it, so it needs no record. The epoch is counted by that process's own monotonic
clock, so no two clocks are ever compared.
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

TICKET_MARK = "t1."
_TICKET = re.compile(
    r"^t1\.(?P<node>[A-Za-z0-9_-]{1,63})\.(?P<incarnation>[0-9a-f]{8,32})"
    r"\.(?P<epoch>[0-9]{1,9})\.(?P<nonce>[A-Za-z0-9_-]{1,64})$"
)
_PLAIN = re.compile(r"^[\x21-\x7e]{1,200}$")
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
    """A key that one process may run.

    Attributes
    ----------
    epoch : int
        Ticket epoch of the home at the time of issue.
    """

    key: IdempotencyKey
    node: NodeId
    incarnation: Incarnation
    epoch: int


def read_key(key: IdempotencyKey) -> CallerKey | Ticket:
    """Return the typed form of an ``Idempotency-Key``.

    Raises
    ------
    MalformedKey
        If it is neither a ticket nor 1 to 200 visible ASCII characters.

    Examples
    --------
    >>> read_key(IdempotencyKey("seat-17"))
    CallerKey(key='seat-17')
    >>> read_key(IdempotencyKey("t1.n1.0123abcd.4.x")).epoch
    4
    """
    if not _PLAIN.match(key):
        raise MalformedKey("1 to 200 visible ASCII characters are taken")
    if not key.startswith(TICKET_MARK):
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
    """Return what a caller completes to a ticket by adding ``.NONCE``."""
    return f"{TICKET_MARK}{node}.{incarnation}.{epoch}"


def caller_key_time(key: IdempotencyKey) -> float | None:
    """Return the time of day within a key of UUID version 7, in seconds.

    None for a key of any other form, whose age cannot be told.
    """
    if not _UUID7.match(key):
        return None
    return (UUID(key).int >> 80) / 1000
