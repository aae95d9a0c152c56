"""Budget of a process for its callers: bytes, connections, and who gives way."""

from __future__ import annotations

import asyncio
import os
import resource
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import inf

from poplarrelay.entry.settings import ResourceSettings

__all__ = [
    "CALLERS",
    "LARGE_BYTES",
    "SMALL_ANSWER_BYTES",
    "TUNNELS",
    "Account",
    "CallerBudget",
    "Capacity",
    "Limit",
    "Reaction",
    "Standing",
    "count_descriptors",
    "detect_descriptors",
]

BYTES_PER_MB = 1_000_000
#: Memory of a host whose settings state none. The process must not rely on memory that
#: other processes of a large host use.
DEFAULT_MEMORY_MB = 256.0
#: Memory of the process without callers, and the largest share of all memory for it.
OWN_BYTES, OWN_MEMORY_SHARE = 64 * BYTES_PER_MB, 0.4
#: Share of the other memory for bytes that are held for callers, and the part of it for
#: requests in progress and answers that callers have not taken. The rest is lost to
#: fragmentation and to copies that exist for a moment.
HELD_SHARE, PINNED_SHARE = 0.5, 0.75
#: Share of the other memory for connections, and bytes that one connection takes.
CONNECTION_SHARE, CONNECTION_BYTES = 0.3, 16_384
#: Bytes that a request in progress takes besides its body and a large answer: its task,
#: its connection to an endpoint, and what is read ahead on both connections.
REQUEST_BYTES = 65_536
#: Copies of a body that a request in progress can hold: its own, and the unsent one.
BODY_COPIES = 2
#: Bytes of an answer that `REQUEST_BYTES` includes.
SMALL_ANSWER_BYTES = 16_384
#: Bytes from which an unfinished request counts, and closing it makes room.
LARGE_BYTES = 4096
#: Descriptors kept for files, the store, the cloud API and gossip, and the largest
#: share of all descriptors for them.
OWN_DESCRIPTORS, OWN_SHARE = 200, 0.2
#: Listeners of callers' requests, and of tunnels for peers.
CALLERS, TUNNELS = "callers", "tunnels"
#: Shares of the other descriptors by listener. Callers and connections to endpoints
#: divide the rest.
LISTENER_SHARES = {
    "discovery": 0.06,
    "control": 0.03,
    "readiness": 0.02,
    "metrics": 0.02,
    TUNNELS: 0.12,
}
#: Smallest number of descriptors for one listener, if there are ten times as many.
MIN_CONNECTIONS = 16
#: Descriptors of one tunnel that is carried for a peer.
TUNNEL_DESCRIPTORS = 2
#: Share of a listener's connections that may have a request in progress.
BUSY_SHARE = 0.9
#: Share of the places, and of the bytes, from which the connections that have finished
#: no request compete among themselves.
UNPROVEN_SHARE = 0.5
#: Connections that give way when the system has no descriptor left.
CLOSED_WITHOUT_DESCRIPTORS = 8


class Standing(IntEnum):
    """What a connection has earned.

    OVERDUE
        Its caller has not taken an answer by its deadline, or the connection only waits
        for its end.
    UNPROVEN
        It has finished no request.
    REFUSED
        All its requests were refused.
    SERVED
        A request of it was served.
    """

    OVERDUE = 0
    UNPROVEN = 1
    REFUSED = 2
    SERVED = 3


class Limit(Enum):
    """Limit of the budget that can be reached."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    REQUESTS = "requests"
    DESCRIPTORS = "descriptors"


class Reaction(Enum):
    """What is done when a limit is reached."""

    CLOSED = "closed"
    REFUSED = "refused"
    DELAYED = "delayed"


def detect_descriptors() -> int:
    """Return the number of descriptors that this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 1 << 20 if soft == resource.RLIM_INFINITY else soft


def count_descriptors() -> int:
    """Return the number of descriptors that this process has open, 0 if unknown."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


@dataclass(frozen=True, slots=True)
class Capacity:
    """Limits of a process for its callers.

    Attributes
    ----------
    held_bytes : float
        Most bytes that are held for callers.
    pinned_bytes : float
        Most of them for requests in progress and answers that callers have not taken.
    connections : mapping of str to float
        Most connections by listener; listeners that are missing have no limit.
    endpoint_connections : float
        Most connections to endpoints.
    """

    held_bytes: float = inf
    pinned_bytes: float = inf
    connections: Mapping[str, float] = field(default_factory=dict)
    endpoint_connections: float = inf

    @classmethod
    def from_config(cls, resources: ResourceSettings) -> Capacity:
        """Return the limits for the resources that the settings state."""
        memory_mb = resources.memory_mb
        if memory_mb is None:
            memory_mb = DEFAULT_MEMORY_MB
        descriptors = detect_descriptors()
        if resources.descriptors is not None:
            descriptors = min(descriptors, resources.descriptors)
        return cls.of(memory_mb * BYTES_PER_MB, descriptors)

    @classmethod
    def of(cls, memory_bytes: float, descriptors: int) -> Capacity:
        """Return the limits for some memory and some descriptors.

        Examples
        --------
        >>> capacity = Capacity.of(160e6, 1638)
        >>> capacity.connections["callers"], capacity.connections["readiness"]
        (540, 28)
        """
        memory_bytes -= min(OWN_BYTES, OWN_MEMORY_SHARE * memory_bytes)
        affordable = int(CONNECTION_SHARE * memory_bytes / CONNECTION_BYTES)
        descriptors = min(descriptors, affordable)
        free = descriptors - min(OWN_DESCRIPTORS, int(OWN_SHARE * descriptors))
        least = min(MIN_CONNECTIONS, free // 10)
        parts = {
            name: max(least, int(share * free))
            for name, share in LISTENER_SHARES.items()
        }
        rest = free - sum(parts.values())
        parts[TUNNELS] //= TUNNEL_DESCRIPTORS
        parts[CALLERS] = rest // 2
        held = HELD_SHARE * memory_bytes
        return cls(held, PINNED_SHARE * held, parts, rest - rest // 2)


def _ignore(limit: Limit) -> None:
    """Replace the callback of a connection that has closed."""


class Account:
    """What one connection holds.

    Attributes
    ----------
    listener : str
        Name of the listener.
    give_way : callable
        Called with the limit when the connection must close.
    earned : Standing
        What the connection has earned.
    overdue : bool
        Whether nobody waits for what it holds.
    held, pinned : int
        Bytes that are freed if it closes, and bytes that it keeps until its request has
        ended and its answer is taken.
    busy : bool
        Whether a request is in progress.
    """

    __slots__ = (
        "_budget",
        "busy",
        "earned",
        "give_way",
        "held",
        "is_open",
        "listener",
        "overdue",
        "pinned",
    )

    def __init__(
        self, budget: CallerBudget, listener: str, give_way: Callable[[Limit], None]
    ) -> None:
        self._budget = budget
        self.listener = listener
        self.give_way = give_way
        self.earned = Standing.UNPROVEN
        self.overdue = False
        self.held = 0
        self.pinned = 0
        self.busy = False
        self.is_open = True

    @property
    def standing(self) -> Standing:
        """Return the order in which the connection gives way."""
        return Standing.OVERDUE if self.overdue else self.earned

    @property
    def can_give_way(self) -> bool:
        """Return whether the connection may be closed to make room."""
        return self.is_open and not self.busy and (self.overdue or not self.pinned)

    def hold(self, size: int) -> bool:
        """State the bytes of an unfinished request; return whether it may go on."""
        return self._budget.hold(self, size)

    def admit(self, body_bytes: int) -> Limit | None:
        """Begin a complete request; return the limit that refuses it, if one does."""
        return self._budget.admit(self, body_bytes)

    def add_answer(self, size: int) -> None:
        """Add bytes of an answer to those that the request in progress keeps."""
        self._budget.pin(self, self.pinned + size)

    def finish(self, served: bool, unsent_bytes: int) -> None:
        """End the request in progress.

        Parameters
        ----------
        served : bool
            Whether the request was not refused.
        unsent_bytes : int
            Bytes of the answer that the caller has not taken yet.
        """
        self._budget.finish(self, served, unsent_bytes)

    def settle(self) -> None:
        """State that the caller has taken all answers."""
        self._budget.settle(self)

    def expire(self) -> None:
        """State that nobody waits for what the connection still holds."""
        self._budget.expire(self)

    def close(self) -> None:
        """Free all that the connection holds."""
        self._budget.close(self)


class CallerBudget:
    """Counts what connections of callers hold, and chooses those that give way.

    Parameters
    ----------
    capacity : Capacity
        The limits in force.

    Attributes
    ----------
    capacity : Capacity
        The limits in force; see `resize`.
    reactions : Counter of tuple of Limit, str and Reaction
        Number of closed and refused ones by limit, listener and reaction.
    """

    def __init__(self, capacity: Capacity | None = None) -> None:
        self.capacity = capacity or Capacity()
        self.reactions: Counter[tuple[Limit, str, Reaction]] = Counter()
        self._open: Counter[str] = Counter()
        self._busy: Counter[str] = Counter()
        self._held = 0
        self._pinned = 0
        # Accounts that can give way, the one that has waited longest first. Those that
        # hold little are not worth closing for memory.
        self._waiting: dict[str, dict[Standing, dict[Account, None]]] = {}
        self._large: dict[Standing, dict[Account, None]] = {s: {} for s in Standing}
        self._large_bytes: Counter[Standing] = Counter()
        self._answers: deque[tuple[Account, int, asyncio.Future[None]]] = deque()
        self._overdraft: Account | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for callers."""
        return self._held + self._pinned

    @property
    def pinned_bytes(self) -> int:
        """Return the bytes of requests in progress and of answers not taken."""
        return self._pinned

    def connections(self, listener: str) -> int:
        """Return the number of connections of a listener."""
        return self._open[listener]

    def limit_of(self, listener: str) -> float:
        """Return the largest number of connections of a listener."""
        return self.capacity.connections.get(listener, inf)

    def resize(self, capacity: Capacity) -> None:
        """Put other limits in force; connections give way until they hold."""
        self.capacity = capacity
        for listener in list(self._open):
            while self._open[listener] > self.limit_of(listener):
                if not self._close_one(listener, Limit.CONNECTIONS):
                    break
        self._make_room()
        self._grant_answers()

    # connections

    def make_place(self, listener: str) -> bool:
        """Return whether a connection can be opened; another one may give way."""
        while self._open[listener] >= self.limit_of(listener):
            if not self._close_one(listener, Limit.CONNECTIONS):
                self.note(Limit.CONNECTIONS, listener, Reaction.DELAYED)
                return False
        return True

    def open(self, listener: str, give_way: Callable[[Limit], None]) -> Account:
        """Return the account of a new connection."""
        account = Account(self, listener, give_way)
        self._open[listener] += 1
        self._wait(account)
        return account

    def close(self, account: Account) -> None:
        """Free all that a connection holds."""
        if not account.is_open:
            return
        self._stop_waiting(account)
        account.is_open = False
        self._open[account.listener] -= 1
        if account.busy:
            account.busy = False
            self._busy[account.listener] -= 1
        self._held -= account.held
        self._pinned -= account.pinned
        account.held = account.pinned = 0
        account.give_way = _ignore
        if self._overdraft is account:
            self._overdraft = None
        self._grant_answers()

    def close_some(self, listener: str) -> None:
        """Close some connections, as the system has no descriptor left."""
        for _ in range(CLOSED_WITHOUT_DESCRIPTORS):
            if not self._close_one(listener, Limit.DESCRIPTORS):
                return

    def note(self, limit: Limit, listener: str, reaction: Reaction) -> None:
        """Count a reaction to a limit."""
        self.reactions[limit, listener, reaction] += 1

    # requests

    def hold(self, account: Account, size: int) -> bool:
        """Set the bytes of an unfinished request; return whether it may go on."""
        if not account.is_open or account.overdue:
            return False
        self._stop_waiting(account, keep_place=True)
        self._held += size - account.held
        account.held = size
        self._wait(account, keep_place=True)
        self._make_room()
        return account.is_open and not account.overdue

    def can_admit(self, account: Account, body_bytes: int) -> Limit | None:
        """Return the limit that a request would reach, None if it can be admitted."""
        listener = account.listener
        if self._busy[listener] >= BUSY_SHARE * self.limit_of(listener):
            return Limit.REQUESTS
        size = REQUEST_BYTES + BODY_COPIES * body_bytes
        if self._pinned + size > self.capacity.pinned_bytes:
            return Limit.MEMORY
        return None

    def admit(self, account: Account, body_bytes: int) -> Limit | None:
        """Begin a complete request; return the limit that refuses it, if one does."""
        if not account.is_open:
            return Limit.CONNECTIONS
        self._stop_waiting(account)
        self._held -= account.held
        account.held = 0
        account.busy = True
        self._busy[account.listener] += 1
        limit = self.can_admit(account, body_bytes)
        size = 0
        if limit is None:
            size = REQUEST_BYTES + BODY_COPIES * body_bytes
        else:
            self.note(limit, account.listener, Reaction.REFUSED)
        self.pin(account, size)
        self._make_room()
        return limit

    def pin(self, account: Account, size: int) -> None:
        """Set the bytes that the request in progress keeps."""
        if account.is_open:
            self._pinned += size - account.pinned
            account.pinned = size

    def finish(self, account: Account, served: bool, unsent_bytes: int) -> None:
        """End the request in progress."""
        if not account.is_open:
            return
        account.busy = False
        self._busy[account.listener] -= 1
        earned = Standing.SERVED if served else Standing.REFUSED
        account.earned = max(account.earned, earned)
        account.overdue = False
        if self._overdraft is account:
            self._overdraft = None
        self._stop_waiting(account)
        self._pinned += unsent_bytes - account.pinned
        account.pinned = unsent_bytes
        self._wait(account)
        self._grant_answers()

    def settle(self, account: Account) -> None:
        """Free an answer that its caller has taken."""
        if not account.is_open:
            return
        self._stop_waiting(account)
        self._pinned -= account.pinned
        account.pinned = 0
        account.overdue = False
        self._wait(account)
        self._grant_answers()

    def expire(self, account: Account) -> None:
        """Let a connection give way first: nobody waits for what it holds."""
        if account.is_open:
            self._stop_waiting(account)
            account.overdue = True
            self._wait(account)
            self._make_room(self._answers[0][1] if self._answers else 0)

    # answers

    async def reserve_answer(self, account: Account, size: int) -> None:
        """Wait until more bytes of an answer may be held, and add them.

        Notes
        -----
        One answer at a time may exceed the limit. Without that, several answers that
        have been read in part could wait for each other.
        """
        self._make_room(size)
        if self._answers or not self._takes_answer(account, size):
            granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            entry = (account, size, granted)
            self._answers.append(entry)
            self.note(Limit.MEMORY, account.listener, Reaction.DELAYED)
            self._grant_answers()
            try:
                await granted
            except asyncio.CancelledError:
                if entry in self._answers:
                    self._answers.remove(entry)
                if self._overdraft is account:
                    self._overdraft = None
                self._grant_answers()
                raise
        else:
            account.add_answer(size)

    def _takes_answer(self, account: Account, size: int) -> bool:
        if self.held_bytes + size <= self.capacity.held_bytes:
            return True
        within = self.held_bytes <= self.capacity.held_bytes
        if self._overdraft is account or (self._overdraft is None and within):
            self._overdraft = account
            return True
        return False

    def _grant_answers(self) -> None:
        # An answer that exceeds the limit already goes on ahead of the others.
        for entry in list(self._answers):
            account, size, granted = entry
            first = entry is self._answers[0]
            if not (first or account is self._overdraft):
                continue
            if granted.done() or not account.is_open:
                self._answers.remove(entry)
                if not granted.done():
                    granted.set_result(None)
            elif self._takes_answer(account, size):
                self._answers.remove(entry)
                self._pinned += size
                account.pinned += size
                granted.set_result(None)

    # who gives way

    def _wait(self, account: Account, keep_place: bool = False) -> None:
        """Add an account to those that can give way, if it can."""
        by_standing = self._waiting.setdefault(
            account.listener, {standing: {} for standing in Standing}
        )
        if not account.can_give_way:
            if keep_place:
                by_standing[account.standing].pop(account, None)
                self._large[account.standing].pop(account, None)
            return
        by_standing[account.standing].setdefault(account)
        size = account.held + account.pinned
        if size >= LARGE_BYTES:
            self._large[account.standing].setdefault(account)
            self._large_bytes[account.standing] += size
        elif keep_place:
            self._large[account.standing].pop(account, None)

    def _stop_waiting(self, account: Account, keep_place: bool = False) -> None:
        """Remove an account from those that can give way.

        With `keep_place`, it keeps its place in their order until `_wait`.
        """
        if not account.can_give_way:
            return
        standing, size = account.standing, account.held + account.pinned
        if size >= LARGE_BYTES:
            self._large_bytes[standing] -= size
        if not keep_place:
            self._waiting[account.listener][standing].pop(account, None)
            self._large[standing].pop(account, None)

    def _close_one(self, listener: str, limit: Limit) -> bool:
        """Close the connection of a listener that gives way first, if one can."""
        waiting = self._waiting.get(listener)
        if waiting is None:
            return False
        weights = {standing: len(accounts) for standing, accounts in waiting.items()}
        half = UNPROVEN_SHARE * self.limit_of(listener)
        return self._give_way(waiting, weights, half, limit)

    def _make_room(self, size: int = 0) -> None:
        """Close connections until the bytes held, and some more, are in the limit."""
        while self.held_bytes + size > self.capacity.held_bytes:
            half = UNPROVEN_SHARE * self._large_bytes.total()
            if not self._give_way(self._large, self._large_bytes, half, Limit.MEMORY):
                return

    def _give_way(
        self,
        waiting: Mapping[Standing, dict[Account, None]],
        weights: Mapping[Standing, float],
        half: float,
        limit: Limit,
    ) -> bool:
        order = [Standing.REFUSED, Standing.SERVED, Standing.UNPROVEN]
        if weights[Standing.UNPROVEN] >= half:
            order.insert(0, order.pop())
        for standing in (Standing.OVERDUE, *order):
            if waiting[standing]:
                self._release(next(iter(waiting[standing])), limit)
                return True
        return False

    def _release(self, victim: Account, limit: Limit) -> None:
        """Free what a connection holds, and tell it so.

        For memory, a connection with an unfinished request stays open until its caller
        has got the refusal.
        """
        self.note(limit, victim.listener, Reaction.CLOSED)
        give_way = victim.give_way
        if limit is Limit.MEMORY and not victim.overdue:
            self._stop_waiting(victim)
            self._held -= victim.held
            victim.held = 0
            victim.overdue = True
            self._wait(victim)
        else:
            self.close(victim)
        give_way(limit)
