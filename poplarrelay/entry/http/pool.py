"""Pool of idle client connections, kept by address for reuse."""

from __future__ import annotations

from collections.abc import Callable, Collection
from time import monotonic

from poplarrelay.entry.http.connection import (
    CompleteResponse,
    Connection,
    Headers,
    fetch,
)
from poplarrelay.entry.http.dialing import Address

__all__ = ["Address", "ConnectionPool", "JsonClient"]

#: Largest number of idle connections to one address.
MAX_IDLE = 16


class ConnectionPool:
    """Pool of idle connections by address.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout of a new connection in seconds.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[Connection]] = {}

    def take_idle(
        self,
        address: Address,
        accepts: Callable[[Connection], bool] | None = None,
        avoided: Collection[Connection] = (),
    ) -> Connection | None:
        """Return the most recently used idle connection, None if there is none.

        The request must be sent before the event loop runs again: the connection is
        checked for bytes that have arrived until now.

        Parameters
        ----------
        address : tuple of str and int
            Address of the server.
        accepts : callable or None
            Returns whether a connection may be used; others are aborted.
        avoided : collection of Connection
            Connections that stay idle, for other requests.
        """
        idle = self._idle.get(address, [])
        now = monotonic()
        kept: list[Connection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if connection in avoided:
                kept.append(connection)
            elif (
                connection.usable(now)
                and (accepts is None or accepts(connection))
                and not connection.has_unread_bytes()
            ):
                found = connection
            else:
                connection.abort()
        idle.extend(reversed(kept))
        return found

    async def take(self, address: Address) -> Connection:
        """Return an idle connection or open a new one.

        Raises
        ------
        ExchangeFailed
            If no idle connection exists and connecting fails.
        """
        connection = self.take_idle(address)
        if connection is not None:
            return connection
        return await Connection.open(*address, self._connect_timeout_s)

    def release(
        self, address: Address, connection: Connection, headers: Headers
    ) -> None:
        """Keep a connection after a complete response if it can be reused."""
        if not connection.prepare_reuse(headers, monotonic()):
            return
        self._keep(address, connection)

    def add_idle(self, address: Address, connection: Connection) -> None:
        """Keep a new connection that has not been used."""
        connection.keep_idle(monotonic())
        self._keep(address, connection)

    def _keep(self, address: Address, connection: Connection) -> None:
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.pop(0).abort()

    def abort_idle(
        self, address: Address, applies: Callable[[Connection], bool]
    ) -> None:
        """Abort the idle connections to an address to which a condition applies."""
        idle = self._idle.pop(address, [])
        ended = [each for each in idle if applies(each)]
        if len(ended) < len(idle):
            self._idle[address] = [each for each in idle if each not in ended]
        for connection in ended:
            connection.abort()

    def prune(self) -> None:
        """Abort the idle connections that are too old to be used."""
        now = monotonic()
        for address in list(self._idle):
            self.abort_idle(address, lambda each: not each.usable(now))

    def drop_one(self) -> bool:
        """Abort one idle connection to make room; return whether there was one."""
        for address, idle in list(self._idle.items()):
            if idle:
                idle.pop(0).abort()
                return True
            del self._idle[address]
        return False

    def forget(self, address: Address) -> None:
        """Abort all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Abort all idle connections."""
        for address in list(self._idle):
            self.forget(address)


class JsonClient:
    """Client that sends small requests to one address over reused connections.

    Parameters
    ----------
    address : tuple of str and int
        Address of the server.
    connect_timeout_s : float
        Timeout of a new connection in seconds.
    limit : int
        Largest size of a response's body in bytes.
    """

    def __init__(self, address: Address, connect_timeout_s: float, limit: int) -> None:
        self._address = address
        self._limit = limit
        self._pool = ConnectionPool(connect_timeout_s)
        self._host = f"{address[0]}:{address[1]}".encode()

    async def call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CompleteResponse:
        """Send a request and return its response.

        Raises
        ------
        ExchangeFailed
            If no complete response arrived.
        """
        connection = await self._pool.take(self._address)
        head: Headers = [(b"Host", self._host), *headers]
        if body or method != "GET":
            head.append((b"Content-Length", str(len(body)).encode()))
        response = await fetch(
            connection, method.encode(), target.encode(), head, body, self._limit
        )
        self._pool.release(self._address, connection, response.headers)
        return response

    def close(self) -> None:
        """Abort the idle connections."""
        self._pool.close()
