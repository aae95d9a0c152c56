"""Idle outgoing connections, kept by address for reuse."""

from __future__ import annotations

from time import monotonic

from poplarrelay.entry.http.connection import (
    Connection,
    Headers,
    WholeResponse,
    fetch,
)

__all__ = ["Address", "ConnectionPool", "JsonClient"]

Address = tuple[str, int]

#: Idle connections kept to one address.
MAX_IDLE = 16


class ConnectionPool:
    """Idle connections by address.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a new connection.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Return how many connections have been opened."""
        return self._opened

    def take_idle(self, address: Address) -> Connection | None:
        """Return the idle connection that was used last, None if there is none."""
        idle = self._idle.get(address)
        now = monotonic()
        while idle:
            connection = idle.pop()
            if connection.usable(now):
                return connection
            connection.abort()
        return None

    async def take(self, address: Address) -> Connection:
        """Return an idle connection or a new one.

        Raises
        ------
        ExchangeFailed
            If there is none and connecting fails.
        """
        connection = self.take_idle(address)
        if connection is not None:
            return connection
        self._opened += 1
        return await Connection.open(*address, self._connect_timeout_s)

    def give_back(
        self, address: Address, connection: Connection, headers: Headers
    ) -> None:
        """Keep a connection whose exchange is complete, if it may be reused."""
        if not connection.recycle(headers, monotonic()):
            return
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.pop(0).abort()

    def forget(self, address: Address) -> None:
        """Drop all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Drop all idle connections."""
        for address in list(self._idle):
            self.forget(address)


class JsonClient:
    """Calls with small bodies to one address, over kept connections.

    Parameters
    ----------
    address : tuple of str and int
        Where the calls go.
    connect_timeout_s : float
        Longest wait for a new connection.
    limit : int
        Largest body that is accepted.
    """

    def __init__(self, address: Address, connect_timeout_s: float, limit: int) -> None:
        self._address = address
        self._limit = limit
        self._pool = ConnectionPool(connect_timeout_s)
        self._host = f"{address[0]}:{address[1]}".encode()

    async def call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> WholeResponse:
        """Carry out one call.

        Raises
        ------
        ExchangeFailed
            If no whole answer arrived.
        """
        connection = await self._pool.take(self._address)
        head: Headers = [(b"Host", self._host), *headers]
        if body or method != "GET":
            head.append((b"Content-Length", str(len(body)).encode()))
        response = await fetch(
            connection, method.encode(), target.encode(), head, body, self._limit
        )
        self._pool.give_back(self._address, connection, response.headers)
        return response

    def close(self) -> None:
        """Drop the kept connections."""
        self._pool.close()
