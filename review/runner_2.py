"""Stand-in of a runner, a process of its own, for the scripts of the second review.

It follows the users' pages: it runs a limited number of requests, queues a few more and
rejects others as not executed, echoes the id of each request, and answers 421 if the
request names another runner. It writes what it does to a log.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

#: Bytes of one write of a body.
WRITE_BYTES = 65_536
#: Bytes that are no answer to a request: they have neither its id nor a signature.
SPOILED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n\x00 spoiled"


@dataclass(slots=True)
class RunnerProgram:
    """Runner that answers calls or streams.

    Attributes
    ----------
    name : str
        Id of the runner.
    log : str
        File to which it writes a line for each request.
    slots, queue : int
        Requests that it runs at the same time, and that wait.
    work_s : float
        Seconds that a call takes, or that pass before each event.
    events : int
        Events of a stream, 0 to answer calls.
    body_bytes : int
        Size of the body of an answer to a call.
    port : int
        Port to listen on, 0 for a free one.
    version : str
        Version of its software, which its events name.
    halves_s : float
        Seconds between the two halves of an answer to a call.
    framed : bool
        Whether answers have a length or chunks; others end with their connection.
    stops_each : int
        Of so many streams, one stops in the middle of an event; 0 for none.
    spoils_each : int
        Of so many answers to calls, one is replaced by other bytes, and another one is
        followed by such bytes, which come where the next answer is due; 0 for none.
    full_for : str
        Beginning of the ids of the attempts that find it full when they first arrive.
    doubles_s : float
        Seconds from the first request in which its rejections of these are sent a
        second time, late.
    """

    name: str
    log: str
    slots: int
    queue: int = 24
    work_s: float = 0.02
    events: int = 0
    body_bytes: int = 800
    port: int = 0
    version: str = "1"
    halves_s: float = 0.0
    framed: bool = True
    stops_each: int = 0
    spoils_each: int = 0
    _streams: int = 0
    _calls: int = 0
    full_for: str = ""
    doubles_s: float = 0.0
    _first_at: float = 0.0
    _running: int = 0
    _waiting: int = 0
    _rejected: set[str] = field(default_factory=set)

    def _note(self, what: str, attempt: str) -> None:
        line = {"at": time.monotonic(), "what": what, "attempt": attempt}
        with Path(self.log).open("a") as log:
            log.write(json.dumps(line) + "\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        late = b""
        try:
            while True:
                headers = await self._read_request(reader)
                self._first_at = self._first_at or time.monotonic()
                attempt = headers.get("x-poplarrelay-attempt-id", "")
                target = headers.get("x-poplarrelay-target-instance", self.name)
                writer.write(late)
                late = b""
                if target != self.name:
                    self._note("answered 421 to", attempt)
                    writer.write(self._rejection(421, attempt))
                elif self._is_full(attempt):
                    self._note("rejected as full", attempt)
                    rejection = self._rejection(503, attempt)
                    writer.write(rejection)
                    if self._doubles(attempt):
                        # It comes where the answer to the next request is due.
                        self._note("will double its rejection of", attempt)
                        late = rejection
                else:
                    await self._run(attempt, headers, writer)
                    if self.spoils_each > 0 and self._follows():
                        self._note("sends more bytes after the answer to", attempt)
                        late = SPOILED
                    if not self.framed:
                        await writer.drain()
                        return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> dict[str, str]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        pairs = (line.partition(":") for line in head.split("\r\n")[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        return headers

    def _is_full(self, attempt: str) -> bool:
        if self.full_for and attempt.startswith(self.full_for):
            first = attempt not in self._rejected
            self._rejected.add(attempt)
            return first
        return self._running >= self.slots and self._waiting >= self.queue

    def _doubles(self, attempt: str) -> bool:
        disturbed = time.monotonic() - self._first_at < self.doubles_s
        return disturbed and attempt.startswith(self.full_for)

    def _follows(self) -> bool:
        return self._calls % self.spoils_each == self.spoils_each // 2

    def _head(self, status: int, attempt: str, *more: str) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Poplarrelay-Attempt-Id: {attempt}",
            "Keep-Alive: timeout=10",
            *more,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _rejection(self, status: int, attempt: str) -> bytes:
        executed = "X-Poplarrelay-Not-Executed: 1"
        return self._head(status, attempt, executed, "Content-Length: 0")

    async def _run(
        self, attempt: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self._waiting += 1
        while self._running >= self.slots:
            await asyncio.sleep(0.002)
        self._waiting -= 1
        self._running += 1
        self._note("ran", attempt)
        signature = f"X-Poplarrelay-Response-Signature: {self.name}.{attempt}"
        try:
            if self.events:
                await self._stream(attempt, headers, signature, writer)
            else:
                await asyncio.sleep(self.work_s)
                self._calls += 1
                if self.spoils_each > 0 and self._calls % self.spoils_each == 0:
                    self._note("spoils the answer to", attempt)
                    writer.write(SPOILED)
                    return
                length = [f"Content-Length: {self.body_bytes}"] if self.framed else []
                writer.write(self._head(200, attempt, signature, *length))
                body = attempt.encode().ljust(self.body_bytes)
                if self.halves_s:
                    writer.write(body[: len(body) // 2])
                    body = body[len(body) // 2 :]
                    await asyncio.sleep(self.halves_s)
                for start in range(0, len(body), WRITE_BYTES):
                    writer.write(body[start : start + WRITE_BYTES])
                    await writer.drain()
            self._note("finished", attempt)
        finally:
            self._running -= 1

    async def _stream(
        self,
        attempt: str,
        headers: dict[str, str],
        signature: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        stream = "Content-Type: text/event-stream"
        chunked = ["Transfer-Encoding: chunked"] if self.framed else []
        head = self._head(200, attempt, signature, stream, *chunked)
        self._streams += 1
        stops = self.stops_each > 0 and self._streams % self.stops_each == 0
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            data = f"token {number} of version {self.version} at {self.name}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            stops_here = stops and number > self.events // 2
            if stops_here:
                event = event[: len(event) // 2]
            if self.framed:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(head + event)
            head = b""
            if stops_here:
                self._note("stops in the middle of an event of", attempt)
                break
            await writer.drain()
            if writer.is_closing():
                raise ConnectionError("closed")
        writer.write(head + (b"0\r\n\r\n" if self.framed else b""))


async def _main(options: dict[str, Any]) -> None:
    runner = RunnerProgram(**options)
    server = await asyncio.start_server(runner.serve, "127.0.0.1", runner.port)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
