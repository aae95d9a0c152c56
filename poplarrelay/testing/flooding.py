"""Servers and clients that send bytes without end, each in a thread of its own."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["FloodServer", "LoopUse", "flood_server"]

#: Size in bytes of one write of a fast flood, and seconds between two units of a slow
#: one.
BLOCK_BYTES, SLOW_PAUSE_S = 65_536, 0.02


@dataclass(slots=True)
class FloodServer:
    """Server that floods each client once it has received its request.

    Attributes
    ----------
    beginning, unit : bytes
        Bytes that are sent first, and then again and again.
    fast : bool
        Whether they are sent as fast as the client reads.
    sent_bytes : int
        Bytes sent so far, to all clients.
    """

    beginning: bytes
    unit: bytes
    fast: bool = True
    sent_bytes: int = 0
    _socket: socket.socket = field(default_factory=socket.socket)

    def start(self) -> None:
        """Start to listen."""
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen()
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._socket.close()

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port."""
        host, port = self._socket.getsockname()
        return host, port

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._socket.accept()
                threading.Thread(
                    target=self._flood, args=(client,), daemon=True
                ).start()

    def _flood(self, client: socket.socket) -> None:
        block = self.unit * (BLOCK_BYTES // len(self.unit) if self.fast else 1)
        with contextlib.suppress(OSError), client:
            client.recv(BLOCK_BYTES)
            client.sendall(self.beginning)
            while True:
                client.sendall(block)
                self.sent_bytes += len(block)
                if not self.fast:
                    time.sleep(SLOW_PAUSE_S)


@contextlib.contextmanager
def flood_server(
    beginning: bytes, unit: bytes, fast: bool = True
) -> Iterator[FloodServer]:
    """Run a server that floods its clients, and stop it on exit."""
    server = FloodServer(beginning, unit, fast)
    server.start()
    try:
        yield server
    finally:
        server.stop()


@dataclass(slots=True)
class LoopUse:
    """Share of an event loop's time that is spent on the processor.

    Other processes on the machine lower the share and never raise it.
    """

    _wall: float = field(default_factory=time.monotonic)
    _processor: float = field(default_factory=time.thread_time)

    @property
    def share(self) -> float:
        """Return the share since the object was made."""
        return (time.thread_time() - self._processor) / (time.monotonic() - self._wall)

    async def measure(self, duration_s: float) -> float:
        """Return the share after some seconds."""
        await asyncio.sleep(duration_s)
        return self.share
