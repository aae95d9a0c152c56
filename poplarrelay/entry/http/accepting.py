"""Accepting of connections, as many as their listener has places for."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from math import inf

from poplarrelay.entry.caller_budget import CallerBudget
from poplarrelay.entry.http.dialing import Address

__all__ = ["OUT_OF_DESCRIPTORS", "AcceptedProtocol", "Acceptor"]

_LOG = logging.getLogger("poplarrelay.entry.listener")

#: Largest number of connections that wait to be accepted.
BACKLOG = 1024
#: Most connections that are accepted in one turn of the event loop, and the largest
#: share of the listener's places. A new connection is read before as many others have
#: come as would make it give way.
MAX_BATCH, BATCH_SHARE = 32, 1 / 32
#: Seconds until a listener without a place or a descriptor tries again.
PAUSE_S = 0.25
#: Errors of a system that has no descriptor or memory for another connection.
OUT_OF_DESCRIPTORS = frozenset((EMFILE, ENFILE, ENOBUFS, ENOMEM))


class AcceptedProtocol(asyncio.BaseProtocol):
    """Protocol of an accepted connection, which has an account from its start."""

    def discard(self) -> None:
        """Free the account of a connection that was never made."""


class Acceptor:
    """Accepts the connections of one listener.

    Parameters
    ----------
    name : str
        Name of the listener in the budget.
    budget : CallerBudget
        Budget that the connections share.
    make_protocol : callable
        Returns the protocol of a new connection, which opens its account.

    Notes
    -----
    The servers of asyncio accept as many connections as the system has descriptors.
    Then they log an error, with a traceback, as often as their backlog is long.
    """

    def __init__(
        self,
        name: str,
        budget: CallerBudget,
        make_protocol: Callable[[], AcceptedProtocol],
    ) -> None:
        self._name = name
        self._budget = budget
        self._make_protocol = make_protocol
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, address: Address) -> None:
        """Listen; raise `OSError` if the address cannot be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.setblocking(False)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self._socket = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    @property
    def port(self) -> int:
        """Return the port, even if the system chose it because port 0 was given."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        assert self._socket is not None
        places = self._budget.limit_of(self._name)
        batch = MAX_BATCH if places == inf else int(BATCH_SHARE * places)
        for _ in range(max(1, min(MAX_BATCH, batch))):
            if not self._budget.make_place(self._name):
                self._pause()
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in OUT_OF_DESCRIPTORS:
                    raise
                self._budget.close_some(self._name)
                self._pause()
                return
            sock.setblocking(False)
            protocol = self._make_protocol()
            task = asyncio.create_task(self._connect(sock, protocol))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, sock: socket.socket, protocol: AcceptedProtocol) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
            protocol.discard()

    def _pause(self) -> None:
        """Leave new connections in the backlog for a while."""
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._timer = loop.call_later(PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)
