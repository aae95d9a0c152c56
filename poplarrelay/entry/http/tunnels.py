"""Tunnels: connections to endpoints that a peer opens and relays.

A node sends ``CONNECT host:port`` to a peer, as to an HTTP proxy. After a success,
bytes to the endpoint are copied unchanged, and bytes from it are sent in frames.

Notes
-----
The end of a connection can be the end of a response's body. A peer that is killed
closes its connections too, so without frames a truncated response would look complete.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import h11

from poplarrelay.entry.caller_budget import TUNNELS, CallerBudget, Limit
from poplarrelay.entry.http.accepting import AcceptedProtocol, Acceptor
from poplarrelay.entry.http.connection import Connection, header_value
from poplarrelay.entry.http.dialing import Address, Dialer
from poplarrelay.entry.http.sockets import BUSY_SILENCE_MS, enable_dead_peer_detection
from poplarrelay.entry.http.turns import ParsingTurns
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId

__all__ = ["TunnelListener", "TunnelRefused", "TunnelTarget", "open_tunnel"]

_LOG = logging.getLogger("poplarrelay.entry.tunnels")

#: Header with the id of the endpoint that a tunnel leads to.
_ENDPOINT = b"Endpoint-Id"
#: Bytes of a frame's length.
_LENGTH_BYTES = 4
#: Largest number of bytes in a frame.
MAX_FRAME_BYTES = 1 << 24
#: Largest size of a request for a tunnel and of the response to it in bytes.
MAX_HEAD_BYTES = 4096
#: Largest port number.
MAX_PORT = 65_535
#: Seconds within which a request for a tunnel must arrive.
HEAD_TIMEOUT_S = 1.0


class _Mark(Enum):
    """Frame without content; the value stands in place of a length.

    CLOSED
        The endpoint has closed its connection after all of its bytes.
    RESET
        The endpoint has reset its connection.
    RETIRED
        The tunnel must not be used for another request.
    """

    CLOSED = 0
    RESET = 0xFFFFFFFF
    RETIRED = 0xFFFFFFFE

    def encode(self) -> bytes:
        """Return the frame."""
        return self.value.to_bytes(_LENGTH_BYTES)


_MARKS = {mark.value: mark for mark in _Mark}


class TunnelRefused(ExchangeFailed):
    """A peer did not open a tunnel; `status` is its HTTP status, None if it is silent.

    The status is ``BAD_GATEWAY`` if no process listens at the endpoint's address,
    ``GATEWAY_TIMEOUT`` if the peer cannot connect to it, and another one if the peer
    does not carry tunnels to it now.
    """

    def __init__(self, problem: str, status: int | None) -> None:
        super().__init__(problem, sent=False)
        self.status = status


@dataclass(frozen=True, slots=True)
class TunnelTarget:
    """Endpoint that a tunnel leads to."""

    endpoint: EndpointId
    address: Address

    @property
    def authority(self) -> bytes:
        """Return the target of the ``CONNECT`` request."""
        host, port = self.address
        return f"{host}:{port}".encode()


# The node that uses a tunnel


class _TunnelProtocol(asyncio.Protocol):
    """Opens a tunnel, and passes the endpoint's bytes to a connection."""

    def __init__(self, target: TunnelTarget, connection: Connection) -> None:
        self._target = target
        self._connection = connection
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._remaining = 0
        self._head_bytes = 0
        self._turns = ParsingTurns(self._read_frame, self._update_reading)
        self._open = False
        self._ended = False
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the tunnel."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        authority = self._target.authority
        request = h11.Request(
            method=b"CONNECT",
            target=authority,
            headers=[
                (b"Host", authority),
                (_ENDPOINT, self._target.endpoint.encode()),
            ],
        )
        head = self._http.send(request) or b""
        transport.write(head + (self._http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        """Read the peer's response, or frames."""
        if self._open:
            self._received += data
            self._turns.run()
            return
        self._head_bytes += len(data)
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._refuse(f"invalid response of the peer: {error}", None)
            return
        if not isinstance(event, h11.Response):
            if event is not h11.NEED_DATA or self._head_bytes > MAX_HEAD_BYTES:
                self._refuse("invalid response of the peer", None)
            return
        if event.status_code != HTTPStatus.OK:
            self._refuse(f"peer answers {event.status_code}", event.status_code)
            return
        if self.opened.done():
            return
        self._open = True
        assert self._transport is not None
        self._connection.connection_made(self._transport)
        self.opened.set_result(None)
        self._http.next_event()
        rest, _ = self._http.trailing_data
        self._received += rest
        self._turns.run()

    def _refuse(self, problem: str, status: int | None) -> None:
        if not self.opened.done():
            self.opened.set_exception(TunnelRefused(problem, status))
            # Nobody waits for it if the attempt was cancelled; asyncio would log that.
            self.opened.exception()
        self.abort()

    def _read_frame(self) -> bool:
        """Read a frame's length or content; return whether more may follow."""
        assert self._transport is not None
        received = self._received
        if not received or self._transport.is_closing():
            return False
        if self._remaining:
            content = bytes(received[: self._remaining])
            del received[: len(content)]
            self._remaining -= len(content)
            self._connection.data_received(content)
            return True
        if len(received) < _LENGTH_BYTES:
            return False
        length = int.from_bytes(received[:_LENGTH_BYTES])
        del received[:_LENGTH_BYTES]
        mark = _MARKS.get(length)
        if mark is not None:
            self._handle_mark(mark)
        elif length > MAX_FRAME_BYTES:
            self.abort()
        else:
            self._remaining = length
        return True

    def _update_reading(self) -> None:
        """Read from the peer only if its frames have been parsed."""
        self._connection.hold_reading(self._turns.waiting)

    def _handle_mark(self, mark: _Mark) -> None:
        if mark is _Mark.RETIRED:
            self._connection.retire()
            return
        self._ended = True
        if mark is _Mark.CLOSED:
            self._connection.eof_received()
        else:
            self._connection.connection_lost(ConnectionResetError("by the endpoint"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the connection: the tunnel has broken, which is not the endpoint's end.

        An error that is no `ConnectionError` shows this to `Connection`.
        """
        self._turns.cancel()
        self._refuse(f"peer closed: {exc!r}", None)
        if self._open and not self._ended:
            self._connection.connection_lost(OSError(f"tunnel broke: {exc!r}"))

    def abort(self) -> None:
        """Abort the tunnel."""
        if self._transport is not None:
            self._transport.abort()


async def open_tunnel(
    dialer: Dialer, carrier: Address, target: TunnelTarget, timeout_s: float
) -> Connection:
    """Open a connection to an endpoint through a peer.

    Parameters
    ----------
    dialer : Dialer
        Opens the connection to the peer.
    carrier : tuple of str and int
        Address of the peer's `TunnelListener`.
    target : TunnelTarget
        The endpoint.
    timeout_s : float
        Seconds until the tunnel must be open.

    Raises
    ------
    TunnelRefused
        If the peer does not open the tunnel in time.
    """
    connection = Connection()
    protocol: _TunnelProtocol | None = None
    try:
        async with asyncio.timeout(timeout_s):
            protocol = await dialer.connect(
                lambda: _TunnelProtocol(target, connection), carrier
            )
            await protocol.opened
            connection.carrier = carrier[0]
            return connection
    except (OSError, TimeoutError) as error:
        raise TunnelRefused(f"no tunnel: {error!r}", None) from error
    finally:
        if protocol is not None and connection.carrier is None:
            protocol.opened.cancel()
            protocol.abort()


# The peer that carries a tunnel

#: Opens a connection to an endpoint for a peer, or raises `TunnelRefused`.
TunnelOpener = Callable[
    [TunnelTarget, Callable[[], "_EndpointSide"]], Awaitable["_EndpointSide"]
]


class _EndpointSide(asyncio.Protocol):
    """Connection of a tunnel to its endpoint."""

    def __init__(self, peer_side: _PeerSide) -> None:
        self._peer_side = peer_side
        self._ended = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        enable_dead_peer_detection(sock, BUSY_SILENCE_MS)

    def data_received(self, data: bytes) -> None:
        """Send the endpoint's bytes to the peer."""
        self._peer_side.send_content(data)

    def eof_received(self) -> bool:
        """Pass on that the endpoint has closed the connection."""
        self._end(_Mark.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on a reset by the endpoint; without a mark, the tunnel has broken."""
        if isinstance(exc, ConnectionError) and not self._ended:
            self._ended = True
            self._peer_side.end_after_reset()
        else:
            self._end(None)

    def _end(self, mark: _Mark | None) -> None:
        if not self._ended:
            self._ended = True
            self._peer_side.end(mark)

    def pause_writing(self) -> None:
        """Stop reading from the peer, as the endpoint reads more slowly."""
        self._peer_side.pause_reading()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        self._peer_side.resume_reading()

    def abort(self) -> None:
        """Abort the connection."""
        self._ended = True
        if self.transport is not None:
            self.transport.abort()


class _PeerSide(AcceptedProtocol, asyncio.Protocol):
    """Connection of a tunnel to the peer that uses it."""

    def __init__(self, listener: TunnelListener) -> None:
        self._listener = listener
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._endpoint_side: _EndpointSide | None = None
        self._target: TunnelTarget | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._account = listener.budget.open(TUNNELS, self._give_way)

    def _give_way(self, limit: Limit) -> None:
        self.abort()

    def discard(self) -> None:
        """Free the account of a connection that was never made."""
        self._account.close()

    @property
    def is_open(self) -> bool:
        """Return whether the tunnel is open."""
        return self._endpoint_side is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._account.is_open:
            transport.abort()
            return
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        self._listener.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEAD_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        """Read the request, or send bytes to the endpoint."""
        if self._endpoint_side is not None:
            assert self._endpoint_side.transport is not None
            self._endpoint_side.transport.write(data)
            return
        if self._task is not None:
            # The peer waits for the response before it uses the tunnel.
            self.abort()
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._answer(error.error_status_hint)
            return
        if not isinstance(event, h11.Request):
            return
        self._http.next_event()
        self._set_timer_off()
        target = self._target = _decode_target(event)
        if target is None:
            self._answer(HTTPStatus.BAD_REQUEST)
            return
        if self._account.admit(0) is not None:
            self._answer(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._task = asyncio.create_task(self._open(target))

    async def _open(self, target: TunnelTarget) -> None:
        try:
            endpoint_side = await self._listener.open(
                target, lambda: _EndpointSide(self)
            )
        except TunnelRefused as refusal:
            status = refusal.status or HTTPStatus.SERVICE_UNAVAILABLE
            _LOG.info(
                "tunnel refused",
                extra={
                    "endpoint": target.endpoint,
                    "status": int(status),
                    "why": str(refusal),
                },
            )
            self._answer(status)
            return
        if self._transport is None or self._transport.is_closing():
            endpoint_side.abort()
            return
        self._endpoint_side = endpoint_side
        response = h11.Response(status_code=HTTPStatus.OK, headers=[])
        self._transport.write(self._http.send(response) or b"")

    def _answer(self, status: int) -> None:
        if self._transport is None:
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        with contextlib.suppress(h11.LocalProtocolError):
            self._transport.write(self._http.send(response) or b"")
        self._transport.close()

    def send_content(self, data: bytes) -> None:
        """Send bytes of the endpoint in a frame."""
        if self._transport is None:
            return
        self._listener.carried_bytes += len(data)
        for start in range(0, len(data), MAX_FRAME_BYTES):
            part = data[start : start + MAX_FRAME_BYTES]
            self._transport.write(len(part).to_bytes(_LENGTH_BYTES) + part)

    def end(self, mark: _Mark | None) -> None:
        """Close the tunnel after its endpoint, or abort it without a mark."""
        if self._transport is None:
            return
        if mark is None:
            self._transport.abort()
            return
        self._transport.write(mark.encode())
        self._transport.close()

    def end_after_reset(self) -> None:
        """Pass on a reset, unless the path of this node has caused it."""
        assert self._target is not None
        self._task = asyncio.create_task(self._judge_reset(self._target))

    async def _judge_reset(self, target: TunnelTarget) -> None:
        lost = await self._listener.is_path_lost(target)
        self.end(None if lost else _Mark.RESET)

    def retire(self) -> None:
        """Ask the peer not to use the tunnel for another request."""
        if self.is_open and self._transport is not None:
            self._transport.write(_Mark.RETIRED.encode())

    def pause_reading(self) -> None:
        """Stop reading from the peer."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the peer again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Stop reading from the endpoint, as the peer reads more slowly."""
        side = self._endpoint_side
        if side is not None and side.transport is not None:
            side.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the endpoint again."""
        side = self._endpoint_side
        if side is not None and side.transport is not None:
            side.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the connection to the endpoint: the peer has abandoned its request."""
        self._account.close()
        self._set_timer_off()
        self._listener.remove(self)
        if self._task is not None:
            self._task.cancel()
        if self._endpoint_side is not None:
            self._endpoint_side.abort()

    def _set_timer_off(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """Abort the tunnel."""
        if self._transport is not None:
            self._transport.abort()


def _decode_target(request: h11.Request) -> TunnelTarget | None:
    """Return the endpoint that a request names, None if it names none."""
    host, _, port = request.target.decode("latin-1").rpartition(":")
    headers = [(bytes(name), bytes(value)) for name, value in request.headers]
    endpoint = header_value(headers, _ENDPOINT.lower())
    valid_port = port.isdigit() and 0 < int(port) <= MAX_PORT
    if request.method != b"CONNECT" or not host or not valid_port or not endpoint:
        return None
    return TunnelTarget(EndpointId(endpoint.decode("latin-1")), (host, int(port)))


class TunnelListener:
    """Accepts requests for tunnels from peers.

    Parameters
    ----------
    open_endpoint : callable
        Opens a connection to an endpoint; raises `TunnelRefused` if this node does not
        carry a tunnel to it.
    is_path_lost : callable
        Returns whether this node has lost its path to an endpoint.
    budget : CallerBudget or None
        Budget of the process, None for one without limits.

    Attributes
    ----------
    carried : int
        Tunnels opened so far.
    refused : int
        Requests for tunnels that were refused.
    carried_bytes : int
        Bytes of endpoints that were sent to peers.
    """

    def __init__(
        self,
        open_endpoint: TunnelOpener,
        is_path_lost: Callable[[TunnelTarget], Awaitable[bool]],
        budget: CallerBudget | None = None,
    ) -> None:
        self._open_endpoint = open_endpoint
        self.is_path_lost = is_path_lost
        self.budget = budget or CallerBudget()
        self._acceptor = Acceptor(TUNNELS, self.budget, lambda: _PeerSide(self))
        self._sides: set[_PeerSide] = set()
        self.carried = 0
        self.refused = 0
        self.carried_bytes = 0

    @property
    def busy(self) -> int:
        """Return the number of open tunnels."""
        return sum(side.is_open for side in self._sides)

    @property
    def port(self) -> int:
        """Return the number of the port."""
        return self._acceptor.port

    async def start(self, address: Address) -> None:
        """Listen; raise `OSError` if the address cannot be bound."""
        self._acceptor.start(address)

    async def open(
        self, target: TunnelTarget, make_side: Callable[[], _EndpointSide]
    ) -> _EndpointSide:
        """Open the connection of a tunnel to its endpoint."""
        try:
            side = await self._open_endpoint(target, make_side)
        except TunnelRefused:
            self.refused += 1
            raise
        self.carried += 1
        return side

    def add(self, side: _PeerSide) -> None:
        """Add a connection of a peer."""
        self._sides.add(side)

    def remove(self, side: _PeerSide) -> None:
        """Remove a connection of a peer."""
        self._sides.discard(side)

    def retire(self) -> None:
        """Ask the peers not to use the open tunnels for further requests."""
        for side in list(self._sides):
            side.retire()

    def stop(self) -> None:
        """Stop listening and abort all tunnels."""
        self._acceptor.stop()
        for side in list(self._sides):
            side.abort()
