"""Stand-in of the platform API: usage reports and scaling orders, with fencing."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.http.connection import header_value
from poplarrelay.entry.http.listener import Exchange, IncomingRequest, Listener
from poplarrelay.standins.users.floods import Flood, flood_caller

__all__ = ["AcceptedCall", "CloudStandIn"]


@dataclass(frozen=True, slots=True)
class AcceptedCall:
    """Call that the API carried out.

    Attributes
    ----------
    subject : str
        ``usage``, or the service and zone of an order. Fencing tokens are compared
        within a subject.
    """

    at: float
    subject: str
    holder: str
    token: int
    value: dict[str, Any]


class CloudStandIn:
    """Platform API that records the calls it carries out.

    Attributes
    ----------
    accepted : list of AcceptedCall
        Calls in the order in which they were carried out.
    exhausted_domains : set of str
        Failure domains in which orders for reclaimable endpoints are refused.
    flood : Flood or None
        Bytes without end that it sends in place of its answers.
    floods_fast : bool
        Whether it sends them as fast as they are read.
    lose_answers : bool
        Whether calls are carried out but not answered.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._listener = Listener(host, 0, self._handle)
        self._highest_tokens: dict[str, int] = {}
        self.accepted: list[AcceptedCall] = []
        self.exhausted_domains: set[str] = set()
        self.lose_answers = False
        self.flood: Flood | None = None
        self.floods_fast = True

    async def start(self) -> None:
        """Start to listen."""
        await self._listener.start()

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._listener.stop()
        for connection in list(self._listener.connections):
            connection.abort()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self._host}:{self._listener.port}"

    def record_token(self, subject: str, token: int) -> None:
        """Record a fencing token as used by another holder."""
        self._highest_tokens[subject] = token

    def windows(self) -> dict[int, list[dict[str, int]]]:
        """Return the accepted usage counts by window."""
        counts: dict[int, list[dict[str, int]]] = {}
        for call in self.accepted:
            if call.subject == "usage":
                window = counts.setdefault(call.value["windowId"], [])
                window.append(call.value["counts"])
        return counts

    async def _handle(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        if self.flood is not None:
            await flood_caller(exchange, self.flood, self.floods_fast)
            return
        value = orjson.loads(incoming.body)
        headers = incoming.headers
        holder = header_value(headers, b"x-poplarrelay-duty-holder") or b""
        token = int(header_value(headers, b"x-poplarrelay-fencing-token") or b"-1")
        subject = "usage"
        if incoming.target == b"/scale":
            subject = f"{value['service']}/{value['zone']}"
        if token < self._highest_tokens.get(subject, -1):
            await exchange.send(409, [], b'{"error":"a higher fence was seen"}')
            return
        self._highest_tokens[subject] = token
        if value.get("preemptible") and value["zone"] in self.exhausted_domains:
            await exchange.send(409, [], b'{"error":"none of that kind"}')
            return
        self.accepted.append(
            AcceptedCall(monotonic(), subject, holder.decode(), token, value)
        )
        if self.lose_answers:
            await asyncio.Event().wait()
        await exchange.send(200, [], b"{}")
