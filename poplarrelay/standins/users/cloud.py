"""Stand-in of the platform's API: usage reports and orders, with fences."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.http.connection import header_value
from poplarrelay.entry.http.listener import Exchange, IncomingRequest, Listener

__all__ = ["AcceptedCall", "CloudStandIn"]


@dataclass(frozen=True, slots=True)
class AcceptedCall:
    """A call that was carried out.

    Attributes
    ----------
    subject : str
        What the fences are counted by.
    """

    at: float
    subject: str
    holder: str
    token: int
    value: dict[str, Any]


class CloudStandIn:
    """The platform's API.

    Attributes
    ----------
    accepted : list of AcceptedCall
        In the order in which they were carried out.
    sold_out : set of str
        Failure domains without reclaimable endpoints.
    lose_answers : bool
        Whether calls are carried out and not answered.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._listener = Listener(host, 0, self._handle)
        self._fences: dict[str, int] = {}
        self.accepted: list[AcceptedCall] = []
        self.sold_out: set[str] = set()
        self.lose_answers = False

    async def start(self) -> None:
        """Listen."""
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

    def fence(self, subject: str, token: int) -> None:
        """Note a token that another holder has used."""
        self._fences[subject] = token

    def windows(self) -> dict[int, list[dict[str, int]]]:
        """Return the counts that were accepted, by window."""
        found: dict[int, list[dict[str, int]]] = {}
        for call in self.accepted:
            if call.subject == "usage":
                window = found.setdefault(call.value["windowId"], [])
                window.append(call.value["counts"])
        return found

    async def _handle(self, incoming: IncomingRequest, exchange: Exchange) -> None:
        value = orjson.loads(incoming.body)
        headers = incoming.headers
        holder = header_value(headers, b"x-poplarrelay-duty-holder") or b""
        token = int(header_value(headers, b"x-poplarrelay-fencing-token") or b"-1")
        subject = "usage"
        if incoming.target == b"/scale":
            subject = f"{value['service']}/{value['zone']}"
        if token < self._fences.get(subject, -1):
            await exchange.send(409, [], b'{"error":"a higher fence was seen"}')
            return
        self._fences[subject] = token
        if value.get("preemptible") and value["zone"] in self.sold_out:
            await exchange.send(409, [], b'{"error":"none of that kind"}')
            return
        self.accepted.append(
            AcceptedCall(monotonic(), subject, holder.decode(), token, value)
        )
        if self.lose_answers:
            await asyncio.Event().wait()
        await exchange.send(200, [], b"{}")
