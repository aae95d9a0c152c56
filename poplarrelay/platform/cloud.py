"""Client of the platform's API: usage reports and orders for endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.http.pool import Address, JsonClient
from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import DomainId, NodeId, TeamId

__all__ = ["CloudClient", "CloudOutcome", "DutyHolder", "EndpointOrder"]

#: Timeouts in seconds of a new connection and of an answer. A call without an answer in
#: time is sent again: both kinds of calls can be repeated safely.
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 65_536

_HOLDER = b"X-Poplarrelay-Duty-Holder"
_TOKEN = b"X-Poplarrelay-Fencing-Token"


class CloudOutcome(Enum):
    """Outcome of a call.

    CONFLICT
        Refused: another holder has used a higher fencing token, or (for an order) no
        such endpoints are available. The platform uses one status for both.
    UNKNOWN
        No answer; the platform may still execute the call later.
    """

    DONE = "done"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Holder of a duty, and its fencing token, which is higher for later holders."""

    holder: NodeId
    fencing_token: int


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """Target number of endpoints of one kind for a service in a failure domain."""

    service: ServiceName
    domain: DomainId
    count: int
    reclaimable: bool


class CloudClient:
    """Client of the platform's API.

    Parameters
    ----------
    address : tuple of str and int
        Address of the API.
    """

    def __init__(self, address: Address) -> None:
        self._client = JsonClient(address, CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES)

    async def _post(
        self, target: str, stamp: DutyHolder, value: dict[str, Any]
    ) -> tuple[CloudOutcome, str]:
        headers = [
            (_HOLDER, stamp.holder.encode()),
            (_TOKEN, str(stamp.fencing_token).encode()),
            (b"Content-Type", b"application/json"),
        ]
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                response = await self._client.call(
                    "POST", target, headers, orjson.dumps(value)
                )
        except (ExchangeFailed, TimeoutError) as error:
            return CloudOutcome.UNKNOWN, str(error)
        detail = response.body[:200].decode("utf-8", "replace")
        if response.status == 200:
            return CloudOutcome.DONE, detail
        if response.status == 409:
            return CloudOutcome.CONFLICT, detail
        return CloudOutcome.UNAVAILABLE, f"{response.status} {detail}"

    async def report_usage(
        self, stamp: DutyHolder, window: int, counts: dict[TeamId, int]
    ) -> tuple[CloudOutcome, str]:
        """Report the number of requests of each team that began in a window."""
        value = {"windowId": window, "counts": dict(counts)}
        return await self._post("/usage", stamp, value)

    async def order(
        self, stamp: DutyHolder, order: EndpointOrder
    ) -> tuple[CloudOutcome, str]:
        """Order a number of endpoints; the count is a target, not an addition."""
        value: dict[str, Any] = {
            "service": order.service,
            "zone": order.domain,
            "desired": order.count,
        }
        if order.reclaimable:
            value["preemptible"] = True
        return await self._post("/scale", stamp, value)

    def close(self) -> None:
        """Abort the idle connections."""
        self._client.close()
