"""Stand-in of an endpoint, with the faults that the platform's documents name."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from time import monotonic

import h11

from poplarrelay.standins.users.floods import Flood, send_flood

__all__ = [
    "BadVersion",
    "Fault",
    "ReceivedRequest",
    "RunnerStandIn",
    "SentNotice",
]

#: Seconds between looks for room for a waiting request.
QUEUE_POLL_S = 0.002


class Fault(Enum):
    """How an endpoint handles a request incorrectly.

    SHED
        Refuse the request without running it.
    ERROR
        Run the request and answer with status 500.
    RESET
        Run the request and reset the connection.
    HANG
        Run the request and never answer.
    TRUNCATED
        Close the connection in the middle of the response body.
    SECOND_RESPONSE
        Send a second response after the complete one.
    WRONG_ATTEMPT_ID
        Send a response with the id of another request.
    INVALID_BYTES
        Send bytes that are not an HTTP response.
    NO_LENGTH
        Send a response without a length, so that the end of the connection ends the
        body.
    RESET_UNFRAMED
        Reset the connection in the middle of a body without a length.
    """

    SHED = "shed"
    ERROR = "error"
    RESET = "reset"
    HANG = "hang"
    TRUNCATED = "short"
    SECOND_RESPONSE = "extra"
    WRONG_ATTEMPT_ID = "stray"
    INVALID_BYTES = "noise"
    NO_LENGTH = "unframed"
    RESET_UNFRAMED = "reset unframed"


#: Faults after which no sound and whole answer has been sent.
_BREAKING_FAULTS = frozenset(
    (
        Fault.RESET,
        Fault.TRUNCATED,
        Fault.WRONG_ATTEMPT_ID,
        Fault.INVALID_BYTES,
        Fault.RESET_UNFRAMED,
    )
)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Request as the endpoint received it; `ran` if the endpoint ran it."""

    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool

    @property
    def attempt(self) -> str:
        """Return the attempt id that the caller sent, or an empty string."""
        return self.headers.get("x-poplarrelay-attempt-id", "")


@dataclass(frozen=True, slots=True)
class SentNotice:
    """Statement about new requests at the head of a response.

    Attributes
    ----------
    at : float
        Monotonic time of the response.
    attempt : str
        Attempt id of the request that it answers.
    leaving : bool
        Whether the endpoint states that it leaves.
    pause : str or None
        Value of the ``Retry-After`` header, None if there is none.
    """

    at: float
    attempt: str
    leaving: bool
    pause: str | None


@dataclass(frozen=True, slots=True)
class BadVersion:
    """Fault of the software that an endpoint runs.

    Attributes
    ----------
    failure_share : float
        Share of the requests that are answered with status 500.
    slowdown : float
        Factor by which answers and events take longer.
    after : int
        Requests that are answered well before the fault begins.
    min_active : int
        Requests in progress without which the fault does not show.
    prefix : str
        Beginning of the paths of the requests that the fault concerns.
    """

    failure_share: float = 0.0
    slowdown: float = 1.0
    after: int = 0
    min_active: int = 0
    prefix: str = "/"


@dataclass(slots=True)
class RunnerStandIn:
    """Endpoint that serves calls or streams over HTTP/1.1.

    Attributes
    ----------
    endpoint : str
        Endpoint id. A request that names another endpoint is refused.
    events : int
        Number of events in a stream. With 0 the endpoint answers plain calls.
    pause_s : float
        Seconds before each event, or seconds that a call takes.
    faults : list of Fault
        Faults of the next requests, in order; each request removes one.
    break_after : int or None
        Number of the event in the middle of which streams are reset.
    break_ends_body : bool
        Whether such a stream ends its body regularly instead.
    break_bytes : int or None
        Bytes of that event that are sent, None for a half. A negative number counts
        from the end of the event.
    line_end : bytes
        Line end of events.
    states_length : bool
        Whether streams that end their body regularly have a length instead of chunks.
        All of their bytes are sent at once then.
    received : list of ReceivedRequest
        All requests, in order of arrival.
    connections : int
        Number of connections accepted so far.
    active_streams : int
        Number of streams in progress.
    disconnected_attempts : list of str
        Attempt ids of streams whose caller closed the connection before the end.
    flood : Flood or None
        Bytes without end that it sends in place of its answers.
    floods_fast : bool
        Whether it sends them as fast as they are read.
    floods_own_answer : bool
        Whether a response that they are part of has the request's id and a signature.
    min_body_bytes : int
        Size to which shorter answers to calls are padded.
    broken_off : set of str
        Attempt ids of the requests whose answer the endpoint itself has cut or spoiled.
    limit : str or None
        Value of the ``Server-Limit`` header in responses, None to omit it.
    leaving : bool
        Whether all responses state that the endpoint is leaving.
    pause : str or None
        Value of the ``Retry-After`` header in refusals; while it is set, the endpoint
        refuses all requests.
    raw_answers : list of bytes
        Bytes in place of the answers to the next requests that it runs, in order;
        ``{id}`` stands for the id of the request.
    late_answers : list of bytes
        Bytes of the same form behind its next answers, which come where the answer to
        the next request on their connection is due.
    crash_bodies : set of bytes
        Request bodies that crash the endpoint when the request starts to run.
    crash_parts : set of str
        Ids of prompt parts that crash the endpoint when it begins to write the answer.
    framed : bool
        Whether answers and streams have a length or are chunked. Others end with their
        connection.
    on_crash : callable or None
        Called after the first such crash.
    bad_version : BadVersion or None
        Fault of the endpoint's software.
    bad_answers : list of float
        Monotonic times of the answers that this fault has spoiled.
    active : int
        Number of requests in progress.
    notices : list of SentNotice
        Statements about new requests in the responses, in order.
    capacity : int or None
        Number of requests that it runs at the same time, None for no limit.
    queue : int
        Number of requests that wait while it runs that many; it refuses others.
    brittle : str or None
        Value of the ``Server-Brittle`` header in responses, None to omit it. If it
        refuses more requests in a second than the value says, it falls over: it resets
        all connections and stops.
    rejected_at : list of float
        Monotonic times of the requests that it refused for want of room.
    falls : list of float
        Monotonic times at which it fell over.
    on_fall : callable or None
        Called after a fall.
    label : str
        Text at the end of each event, to tell versions apart.
    event_counts : Counter of str
        Events sent, by the id of the try that began the stream.
    """

    endpoint: str
    host: str
    events: int = 0
    pause_s: float = 0.01
    faults: list[Fault] = field(default_factory=list)
    break_after: int | None = None
    break_ends_body: bool = False
    break_bytes: int | None = None
    line_end: bytes = b"\n"
    states_length: bool = False
    received: list[ReceivedRequest] = field(default_factory=list)
    disconnected_attempts: list[str] = field(default_factory=list)
    broken_off: set[str] = field(default_factory=set)
    connections: int = 0
    active_streams: int = 0
    limit: str | None = None
    leaving: bool = False
    pause: str | None = None
    raw_answers: list[bytes] = field(default_factory=list)
    late_answers: list[bytes] = field(default_factory=list)
    crash_bodies: set[bytes] = field(default_factory=set)
    crash_parts: set[str] = field(default_factory=set)
    framed: bool = True
    on_crash: Callable[[], None] | None = None
    bad_version: BadVersion | None = None
    bad_answers: list[float] = field(default_factory=list)
    active: int = 0
    notices: list[SentNotice] = field(default_factory=list)
    capacity: int | None = None
    queue: int = 0
    brittle: str | None = None
    rejected_at: list[float] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)
    on_fall: Callable[[], None] | None = None
    label: str = ""
    min_body_bytes: int = 0
    flood: Flood | None = None
    floods_fast: bool = True
    floods_own_answer: bool = True
    event_counts: Counter[str] = field(default_factory=Counter)
    _waiting: int = 0
    _server: asyncio.Server | None = None
    _port: int = 0
    _crashed: bool = False
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _in_progress: set[str] = field(default_factory=set)
    _late: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)

    async def start(self, port: int = 0) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self._port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.broken_off |= self._in_progress
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self._port}"

    @property
    def busy(self) -> bool:
        """Return whether a stream is in progress."""
        return self.active_streams > 0

    @property
    def ran(self) -> list[ReceivedRequest]:
        """Return the requests that were run."""
        return [request for request in self.received if request.ran]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(http, reader, writer):
                http.start_next_cycle()
        except (ConnectionError, asyncio.IncompleteReadError, h11.ProtocolError):
            # The caller closed the connection, as some tests require.
            pass
        except asyncio.CancelledError:
            # The event loop ends. If this error were raised again, asyncio would print
            # it for each connection.
            pass
        finally:
            self._writers.discard(writer)
            self._late.pop(writer, None)
            writer.close()

    async def _serve_request(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65_536)
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert head is not None
        headers = {k.decode().lower(): v.decode() for k, v in head.headers}
        writer.write(self._late.pop(writer, b""))
        fault = self.faults.pop(0) if self.faults else None
        if self.pause is not None:
            fault = Fault.SHED
        target_instance = headers.get("x-poplarrelay-target-instance", self.endpoint)
        runs = fault is not Fault.SHED and target_instance == self.endpoint
        runs = runs and await self._wait_for_room()
        self.received.append(
            ReceivedRequest(
                monotonic(),
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                runs,
            )
        )
        attempt = headers.get("x-poplarrelay-attempt-id", "")
        self._in_progress.add(attempt)
        try:
            return await self._handle(
                http, reader, writer, head.target.decode(), headers, body, fault, runs
            )
        finally:
            self._in_progress.discard(attempt)
            if self.late_answers:
                late = self.late_answers.pop(0)
                self._late[writer] = late.replace(b"{id}", attempt.encode())

    async def _handle(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        headers: dict[str, str],
        body: bytes,
        fault: Fault | None,
        runs: bool,
    ) -> bool:
        """Refuse, run or mishandle a request; return whether to read another one."""
        attempt = headers.get("x-poplarrelay-attempt-id", "")
        target_instance = headers.get("x-poplarrelay-target-instance", self.endpoint)
        if target_instance != self.endpoint:
            return self._answer(http, writer, 421, attempt, b"", refused=True)
        if not runs:
            more = self._answer(http, writer, 503, attempt, b"", refused=True)
            if fault is not Fault.SHED:
                self._note_rejection()
            return more
        if body in self.crash_bodies:
            self._crash(http, writer, attempt)
            return False
        if self.crash_parts & _parts(headers):
            await asyncio.sleep(self.pause_s)
            self._crash(http, writer, attempt)
            return False
        bad = self._bad_version(target)
        if bad is not None and self._fails(bad):
            fault = Fault.ERROR
        if self.flood is not None:
            self.broken_off.add(attempt)
            marks = self._response_headers(attempt) if self.floods_own_answer else []
            await send_flood(
                writer.write,
                writer.drain,
                writer.is_closing,
                self.flood,
                self.floods_fast,
                _header_lines(marks),
            )
            return False
        if self.raw_answers:
            return await self._answer_raw(http, writer, attempt)
        if fault is not None:
            return await self._answer_with_fault(fault, http, reader, writer, attempt)
        pause_s = self.pause_s * (1.0 if bad is None else bad.slowdown)
        self.active += 1
        try:
            if self.events:
                return await self._stream(
                    http, reader, writer, headers, attempt, pause_s
                )
            await asyncio.sleep(pause_s)
        finally:
            self.active -= 1
        return self._answer(http, writer, 200, attempt, self.body_of(attempt))

    async def _wait_for_room(self) -> bool:
        """Wait until a request can run; return whether there was room for it."""
        if self.capacity is None or self.active < self.capacity:
            return True
        if self._waiting >= self.queue:
            return False
        self._waiting += 1
        try:
            while self.capacity is not None and self.active >= self.capacity:
                await asyncio.sleep(QUEUE_POLL_S)
        finally:
            self._waiting -= 1
        return True

    def _note_rejection(self) -> None:
        """Count a request that was refused for want of room, and perhaps fall over."""
        now = monotonic()
        self.rejected_at.append(now)
        if self.brittle is None or not self.brittle.isdigit():
            return
        if sum(now - at <= 1.0 for at in self.rejected_at) > int(self.brittle):
            self.falls.append(now)
            self.stop()
            if self.on_fall is not None:
                self.on_fall()

    def _bad_version(self, target: str) -> BadVersion | None:
        """Return the software's fault if it concerns the latest request."""
        bad = self.bad_version
        if bad is None or not target.startswith(bad.prefix):
            return None
        shows = len(self.ran) > bad.after and self.active >= bad.min_active
        if shows and bad.slowdown > 1:
            self.bad_answers.append(monotonic())
        return bad if shows else None

    def _fails(self, bad: BadVersion) -> bool:
        """Return whether the latest request fails, evenly at the stated share."""
        number = len(self.ran)
        fails = int(number * bad.failure_share) > int((number - 1) * bad.failure_share)
        if fails:
            self.bad_answers.append(monotonic())
        return fails

    def body_of(self, attempt: str) -> bytes:
        """Return the body of the response to an attempt."""
        body = f"answer to {attempt} by {self.endpoint}".encode()
        return body.ljust(self.min_body_bytes)

    def event_of(self, number: int) -> bytes:
        """Return an event of a stream; it is the same at every endpoint of a label."""
        event = f"id: {number}\ndata: token {number}{self.label}\n\n".encode()
        return event.replace(b"\n", self.line_end)

    def _part_of(self, event: bytes) -> bytes:
        """Return the part of an event that is sent before its stream breaks off."""
        size = len(event) // 2 if self.break_bytes is None else self.break_bytes
        return event[:size]

    def _response_headers(
        self, attempt: str, *extra_headers: tuple[str, str], refused: bool = False
    ) -> list[tuple[str, str]]:
        headers = [
            ("X-Poplarrelay-Attempt-Id", attempt),
            ("Keep-Alive", "timeout=5"),
            *extra_headers,
        ]
        pause = self.pause if refused else None
        if self.leaving or pause is not None:
            self.notices.append(SentNotice(monotonic(), attempt, self.leaving, pause))
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if self.brittle is not None:
            headers.append(("Server-Brittle", self.brittle))
        if self.limit is not None and not refused:
            headers.append(("Server-Limit", self.limit))
        if pause is not None:
            headers.append(("Retry-After", pause))
        if refused:
            return [*headers, ("X-Poplarrelay-Not-Executed", "1")]
        return [*headers, ("X-Poplarrelay-Response-Signature", f"sig-{self.endpoint}")]

    def _write_head(
        self, writer: asyncio.StreamWriter, headers: list[tuple[str, str]]
    ) -> None:
        """Write the head of an answer that h11 does not frame."""
        writer.write(b"HTTP/1.1 200 OK\r\n" + _header_lines(headers) + b"\r\n")

    def _answer(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        attempt: str,
        body: bytes,
        refused: bool = False,
    ) -> bool:
        if not self.framed and status == 200:
            self._write_head(writer, self._response_headers(attempt))
            writer.write(body)
            return False
        headers = self._response_headers(
            attempt, ("Content-Length", str(len(body))), refused=refused
        )
        for event in (
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            writer.write(http.send(event) or b"")
        return _can_go_on(http)

    async def _answer_raw(
        self, http: h11.Connection, writer: asyncio.StreamWriter, attempt: str
    ) -> bool:
        """Send other bytes in place of an answer, and keep the connection."""
        self.broken_off.add(attempt)
        raw = self.raw_answers.pop(0)
        await asyncio.sleep(self.pause_s)
        writer.write(raw.replace(b"{id}", attempt.encode()))
        # The parser must take the request for answered.
        http.send(h11.Response(status_code=204, headers=[]))
        http.send(h11.EndOfMessage())
        return _can_go_on(http)

    def _crash(
        self, http: h11.Connection, writer: asyncio.StreamWriter, attempt: str
    ) -> None:
        """Close all connections and stop; a stream gets its response head first."""
        if self.events:
            self._begin_stream(http, writer, attempt)
        for open_writer in list(self._writers):
            open_writer.close()
        self.stop()
        if self.on_crash is not None and not self._crashed:
            self.on_crash()
        self._crashed = True

    async def _answer_with_fault(
        self,
        fault: Fault,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        attempt: str,
    ) -> bool:
        body = self.body_of(attempt)
        if fault in _BREAKING_FAULTS:
            self.broken_off.add(attempt)
        if fault is Fault.ERROR:
            return self._answer(http, writer, 500, attempt, b"error")
        if fault is Fault.RESET:
            writer.transport.abort()
        elif fault is Fault.HANG:
            await reader.read(1)
        elif fault is Fault.WRONG_ATTEMPT_ID:
            return self._answer(http, writer, 200, "another-request", body)
        elif fault is Fault.INVALID_BYTES:
            writer.write(b"\x00\x01 this is no HTTP\r\n\r\n")
        elif fault is Fault.SECOND_RESPONSE:
            self._answer(http, writer, 200, attempt, body)
            raw = f"HTTP/1.1 200 OK\r\nX-Poplarrelay-Attempt-Id: {attempt}\r\n"
            writer.write(f"{raw}Content-Length: 5\r\n\r\nextra".encode())
            await reader.read(1)
        elif fault is Fault.TRUNCATED:
            raw = f"HTTP/1.1 200 OK\r\nX-Poplarrelay-Attempt-Id: {attempt}\r\n"
            writer.write(f"{raw}Content-Length: 500\r\n\r\nhalf".encode())
        elif fault in (Fault.NO_LENGTH, Fault.RESET_UNFRAMED):
            self._write_head(writer, self._response_headers(attempt))
            if fault is Fault.NO_LENGTH:
                writer.write(body)
            else:
                await _write_and_reset(writer, body[: len(body) // 2])
        return False

    async def _stream(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        attempt: str,
        pause_s: float,
    ) -> bool:
        first = int(headers.get("last-event-id", "0")) + 1
        if self.states_length:
            self._send_whole_stream(writer, attempt, first)
            return False
        send = self._begin_stream(http, writer, attempt)
        disconnected = asyncio.ensure_future(reader.read(1))
        self.active_streams += 1
        try:
            for number in range(first, self.events + 1):
                done, _ = await asyncio.wait({disconnected}, timeout=pause_s)
                if done:
                    self.disconnected_attempts.append(attempt)
                    return False
                event = self.event_of(number)
                if self.break_after == number:
                    self.broken_off.add(attempt)
                    send(self._part_of(event))
                    await writer.drain()
                    if self.framed and self.break_ends_body:
                        writer.write(http.send(h11.EndOfMessage()) or b"")
                    elif self.framed:
                        writer.transport.abort()
                    return False
                send(event)
                self.event_counts[headers.get("resumes", attempt)] += 1
                await writer.drain()
        finally:
            self.active_streams -= 1
            disconnected.cancel()
        if self.framed:
            writer.write(http.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        return False

    def _send_whole_stream(
        self, writer: asyncio.StreamWriter, attempt: str, first: int
    ) -> None:
        """Send a stream with a length, which is right also if the stream breaks off."""
        last = self.events if self.break_after is None else self.break_after - 1
        events = [self.event_of(number) for number in range(first, last + 1)]
        if self.break_after is not None:
            self.broken_off.add(attempt)
            events.append(self._part_of(self.event_of(self.break_after)))
        body = b"".join(events)
        headers = self._response_headers(
            attempt,
            ("Content-Type", "text/event-stream"),
            ("Content-Length", str(len(body))),
        )
        self._write_head(writer, headers)
        writer.write(body)

    def _begin_stream(
        self, http: h11.Connection, writer: asyncio.StreamWriter, attempt: str
    ) -> Callable[[bytes], None]:
        """Write the head of a stream, and return a function that writes its data."""
        content_type = ("Content-Type", "text/event-stream")
        if not self.framed:
            headers = self._response_headers(attempt, content_type)
            self._write_head(writer, headers)
            return writer.write
        encoding = ("Transfer-Encoding", "chunked")
        headers = self._response_headers(attempt, content_type, encoding)
        head = h11.Response(status_code=200, headers=headers)
        writer.write(http.send(head) or b"")
        return lambda data: writer.write(http.send(h11.Data(data=data)) or b"")


def _header_lines(headers: list[tuple[str, str]]) -> bytes:
    return "".join(f"{name}: {value}\r\n" for name, value in headers).encode()


def _can_go_on(http: h11.Connection) -> bool:
    """Return whether the connection can serve another request."""
    return http.our_state is h11.DONE and http.their_state is h11.DONE


def _parts(headers: dict[str, str]) -> set[str]:
    """Return the ids of the parts of a prompt that other requests can share."""
    entries = headers.get("x-poplarrelay-prefix-hash", "").split(",")
    return {entry.strip().partition(":")[0] for entry in entries[:-1]}


async def _write_and_reset(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write data, and reset the connection once it can have been read."""
    writer.write(data)
    await writer.drain()
    await asyncio.sleep(QUEUE_POLL_S)
    connected = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
