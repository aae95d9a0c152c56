"""Crowds of clients that do not behave, run as a process of their own.

``python -m poplarrelay.testing.crowds KIND HOST:PORT CONNECTIONS SECONDS`` prints what
the crowd has done as JSON. The crowd opens all connections at once, and a new one for
each that the server closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import selectors
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from enum import Enum
from time import monotonic, sleep

import orjson

from poplarrelay.testing.entry_site import HOST, KEY

__all__ = ["Behaviour", "Crowd", "CrowdReport", "run_crowd", "start_crowd"]

#: Bytes that a client hands to its socket at once, and reads at once.
BLOCK_BYTES = 65_536
#: Longest wait in seconds for an event on one of the sockets.
POLL_S = 0.05
#: Seconds until the next connection after a refused one.
REFUSED_PAUSE_S = 0.01
#: Body of an upload in bytes. The node must allow bodies of this size.
BODY_BYTES = 990_000
#: Size in bytes of a long id or path, within the limit on heads.
LONG_BYTES = 15_000
#: Fields of a head with many short ones, within the limit on heads.
FIELDS = 2_500
#: Clients that send requests ahead need a body of requests of this size in bytes.
AHEAD_BYTES = 65_536


def _request(
    target: str, *headers: str, method: str = "GET", host: str | None = HOST
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"Host: {host}"] if host is not None else []
    return "\r\n".join([*lines, *headers, "", ""]).encode()


def _repeated(request: bytes) -> bytes:
    return request * (AHEAD_BYTES // len(request) + 1)


def _upload(*headers: str, target: str = "/look/x") -> bytes:
    """Return the beginning of an upload that lacks its last byte."""
    head = _request(target, *headers, f"Content-Length: {BODY_BYTES}", method="POST")
    return head + b"x" * (BODY_BYTES - 1)


_AUTHORIZED = f"Authorization: Bearer {KEY}"
_CHUNKED = "Transfer-Encoding: chunked"
_SHORT_FIELDS = tuple(f"a{number % 10}:" for number in range(FIELDS))


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What one client of a crowd sends and reads.

    Attributes
    ----------
    opening : bytes
        Bytes that are sent first.
    repeated : bytes
        Bytes that are then sent again and again, as fast as the server reads.
    reads : bool
        Whether the client reads what it gets.
    half_closes : bool
        Whether it closes its sending side after the opening.
    resets : bool
        Whether it resets the connection after the opening.
    """

    opening: bytes = b""
    repeated: bytes = b""
    reads: bool = False
    half_closes: bool = False
    resets: bool = False


class Crowd(Enum):
    """Kind of a crowd, with the behaviour of its clients."""

    FOREIGN_HOST = Behaviour(repeated=_repeated(_request("/look/x", host="nobody")))
    NO_KEY = Behaviour(repeated=_repeated(_request("/look/x")))
    NO_HOST = Behaviour(repeated=_repeated(_request("/look/x", host=None)))
    NO_ROUTE = Behaviour(repeated=_repeated(_request("/nowhere/x", _AUTHORIZED)))
    NO_ROUTE_HEAD = Behaviour(
        repeated=_repeated(_request("/nowhere/x", _AUTHORIZED, method="HEAD"))
    )
    READY = Behaviour(repeated=_repeated(_request("/api/readyz")))
    RESOLVE = Behaviour(repeated=_repeated(_request("/api/resolve?name=desk.example")))
    METRICS = Behaviour(repeated=_repeated(_request("/metrics")))
    STATUS = Behaviour(repeated=_repeated(_request("/status")))
    SERVED_UNREAD = Behaviour(repeated=_repeated(_request("/look/x", _AUTHORIZED)))
    LONG_IDS = Behaviour(
        repeated=_request("/look/x", f"X-Poplarrelay-Attempt-Id: {'i' * LONG_BYTES}"),
        reads=True,
    )
    LONG_PATHS = Behaviour(
        repeated=_request("/nowhere/" + "p" * LONG_BYTES, _AUTHORIZED), reads=True
    )
    BYTES_BEHIND_A_STREAM = Behaviour(
        opening=_request("/brief/x", _AUTHORIZED), repeated=b"x" * BLOCK_BYTES
    )
    UNFINISHED_BODIES = Behaviour(opening=_upload(_AUTHORIZED))
    UNFINISHED_BODIES_WITHOUT_KEY = Behaviour(opening=_upload())
    UNFINISHED_PROMPTS = Behaviour(opening=_upload(target="/v1/completions"))
    TINY_CHUNKS = Behaviour(
        opening=_request("/look/x", _AUTHORIZED, _CHUNKED, method="POST"),
        repeated=b"1\r\nx\r\n" * (BLOCK_BYTES // 6),
    )
    MANY_FIELDS = Behaviour(
        opening=_request(
            "/look/x", _AUTHORIZED, "Content-Length: 1", *_SHORT_FIELDS, method="POST"
        )
    )
    EXPECTS_CONTINUE = Behaviour(
        opening=_request(
            "/look/x",
            _AUTHORIZED,
            "Expect: 100-continue",
            f"Content-Length: {BODY_BYTES}",
            method="POST",
        )
    )
    UNFINISHED_HEADS = Behaviour(
        opening=b"GET /look/x HTTP/1.1\r\n" + b"a: b\r\n" * 2_000
    )
    IDLE = Behaviour()
    IDLE_AFTER_A_REFUSAL = Behaviour(opening=_request("/look/x"))
    HALF_CLOSED = Behaviour(opening=_request("/brief/x", _AUTHORIZED), half_closes=True)
    RESETS = Behaviour(opening=_request("/look/x", _AUTHORIZED), resets=True)


@dataclass(slots=True)
class CrowdReport:
    """What a crowd has done.

    Attributes
    ----------
    opened, most_open : int
        Connections that the server has accepted, and most of them at the same time.
    closed : int
        Connections that the server has closed.
    sent_bytes, received_bytes : int
        Bytes sent to the server, and read from it.
    """

    opened: int = 0
    most_open: int = 0
    closed: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class _Client:
    """One client of a crowd."""

    def __init__(self, behaviour: Behaviour, address: tuple[str, int]) -> None:
        self._behaviour = behaviour
        self._unsent = memoryview(behaviour.opening or behaviour.repeated)
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.connected = False
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(address)

    @property
    def events(self) -> int:
        """Return the events that the client waits for."""
        events = 0
        if not self.connected or self._unsent:
            events |= selectors.EVENT_WRITE
        if self.connected and (self._behaviour.reads or not self._unsent):
            events |= selectors.EVENT_READ
        return events

    def handle(self, mask: int, report: CrowdReport) -> bool:
        """Send and receive what is possible; return whether the connection is open."""
        if not self.connected:
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                return False
            self.connected = True
            report.opened += 1
        try:
            if mask & selectors.EVENT_READ:
                received = len(self.sock.recv(BLOCK_BYTES))
                report.received_bytes += received
                if not received:
                    return False
            if mask & selectors.EVENT_WRITE and self._unsent:
                self._send(report)
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True

    def _send(self, report: CrowdReport) -> None:
        sent = self.sock.send(self._unsent[:BLOCK_BYTES])
        report.sent_bytes += sent
        self._unsent = self._unsent[sent:]
        if self._unsent:
            return
        if self._behaviour.half_closes:
            self.sock.shutdown(socket.SHUT_WR)
        elif self._behaviour.resets:
            linger = (1).to_bytes(4, "little") + bytes(4)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            raise OSError(errno.ECONNRESET, "reset")
        else:
            self._unsent = memoryview(self._behaviour.repeated)


def run_crowd(
    crowd: Crowd, address: tuple[str, int], connections: int, duration_s: float
) -> CrowdReport:
    """Run a crowd for some seconds.

    Parameters
    ----------
    crowd : Crowd
        Kind of the crowd.
    address : tuple of str and int
        Host and port of the server, on loopback.
    connections : int
        Connections that are open at the same time.
    duration_s : float
        Seconds until all clients leave.
    """
    if not address[0].startswith("127."):
        raise ValueError(f"{address[0]} is not on loopback")
    report, selector = CrowdReport(), selectors.DefaultSelector()

    def join() -> None:
        client = _Client(crowd.value, address)
        selector.register(client.sock, client.events, client)

    def leave(client: _Client) -> None:
        selector.unregister(client.sock)
        client.sock.close()

    for _ in range(connections):
        join()
    until = monotonic() + duration_s
    while (now := monotonic()) < until:
        for key, mask in selector.select(min(POLL_S, until - now)):
            client: _Client = key.data
            if client.handle(mask, report):
                if client.events != key.events:
                    selector.modify(client.sock, client.events, client)
            else:
                report.closed += client.connected
                leave(client)
                if not client.connected:
                    # Nobody listens there now.
                    sleep(REFUSED_PAUSE_S)
                join()
        clients = [key.data for key in selector.get_map().values()]
        report.most_open = max(report.most_open, sum(c.connected for c in clients))
    for key in list(selector.get_map().values()):
        leave(key.data)
    return report


@contextlib.asynccontextmanager
async def start_crowd(
    crowd: Crowd, address: tuple[str, int], connections: int, duration_s: float
) -> AsyncIterator[asyncio.Task[CrowdReport]]:
    """Run a crowd as a process; yield the task that returns its report."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "poplarrelay.testing.crowds",
        crowd.name,
        ":".join(map(str, address)),
        str(connections),
        str(duration_s),
        stdout=asyncio.subprocess.PIPE,
    )

    async def finish() -> CrowdReport:
        output, _ = await process.communicate()
        return CrowdReport(**orjson.loads(output))

    report = asyncio.create_task(finish())
    try:
        yield report
    finally:
        if process.returncode is None:
            process.kill()
        await asyncio.gather(report, return_exceptions=True)


def _main() -> None:
    name, address, connections, duration_s = sys.argv[1:]
    host, _, port = address.rpartition(":")
    report = run_crowd(
        Crowd[name], (host, int(port)), int(connections), float(duration_s)
    )
    print(orjson.dumps(asdict(report)).decode())


if __name__ == "__main__":
    _main()
