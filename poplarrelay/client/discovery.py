"""Discover the addresses of nodes."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from poplarrelay.client.failures import AnswerNotRun, RequestRefused
from poplarrelay.providers.http import CallFailed, JsonHttpClient

__all__ = ["Discovery", "NodeAddress"]

#: Timeout of a request for addresses, in seconds.
DISCOVERY_TIMEOUT_S = 1.0
#: Seconds for which an address is avoided after a failure.
AVOIDED_S = 3.0


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Address of a node and the prefix of the tickets that the node runs."""

    address: str
    failure_domain: str
    ticket: str


class Discovery:
    """Addresses of nodes, cached for the time that the nodes state.

    Parameters
    ----------
    initial_addresses : tuple of str
        Addresses of some nodes, asked first and when no discovered node answers.
    token : str
        The team's bearer token.
    """

    def __init__(
        self,
        initial_addresses: tuple[str, ...],
        token: str,
        http_client: JsonHttpClient,
        rng: random.Random,
    ) -> None:
        self._initial_addresses = initial_addresses
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http_client = http_client
        self._rng = rng
        self._cached: tuple[NodeAddress, ...] = ()
        self._expires_at = 0.0
        self._avoided: dict[str, float] = {}

    def avoid(self, address: str) -> None:
        """Avoid an address for `AVOIDED_S` seconds."""
        self._avoided[address] = time.monotonic() + AVOIDED_S

    def addresses(self) -> list[NodeAddress]:
        """Return the addresses to use, in random order.

        Raises
        ------
        AnswerNotRun
            If no node has returned addresses since the start.
        RequestRefused
            If a node rejects the token.
        """
        now = time.monotonic()
        if now >= self._expires_at or not self._usable(now):
            self._refresh()
        usable = self._usable(now) or list(self._cached)
        self._rng.shuffle(usable)
        return usable

    def _usable(self, now: float) -> list[NodeAddress]:
        return [a for a in self._cached if self._avoided.get(a.address, 0.0) <= now]

    def _refresh(self) -> None:
        candidates = [a.address for a in self._cached] + self._rng.sample(
            self._initial_addresses, len(self._initial_addresses)
        )
        now = time.monotonic()
        candidates.sort(key=lambda address: self._avoided.get(address, 0.0) > now)
        for address in dict.fromkeys(candidates):
            try:
                reply = self._http_client.call(
                    "GET",
                    address,
                    "/v1/addresses",
                    timeout_s=DISCOVERY_TIMEOUT_S,
                    headers=self._headers,
                )
            except CallFailed:
                self.avoid(address)
                continue
            if reply.status == 401:
                raise RequestRefused("the node rejected the bearer token", reply.value)
            if reply.ok and reply.value.get("addresses"):
                self._keep(reply.value)
                return
        if not self._cached:
            raise AnswerNotRun("no node returned an address")

    def _keep(self, value: dict) -> None:
        self._cached = tuple(
            NodeAddress(item["address"], item["failure_domain"], item["ticket"])
            for item in value["addresses"]
        )
        self._expires_at = time.monotonic() + float(value["ttl_s"])
