"""Ask the system which of its addresses to use."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from poplarrelay.client.failures import AnswerNotRun, RequestRefused
from poplarrelay.providers.http import CallFailed, JsonHttpClient

__all__ = ["Discovery", "NodeAddress"]

#: Seconds that a node may take to name addresses.
DISCOVERY_TIMEOUT_S = 1.0
#: Seconds for which an address that failed is not used.
AVOIDED_S = 3.0


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """A node's address and the prefix of tickets that it runs."""

    address: str
    failure_domain: str
    ticket: str


class Discovery:
    """Addresses of nodes, kept for as long as they may be.

    Parameters
    ----------
    known : tuple of str
        Addresses that the caller knows to begin with.
    token : str
        The team's bearer token.
    """

    def __init__(
        self,
        known: tuple[str, ...],
        token: str,
        http_client: JsonHttpClient,
        rng: random.Random,
    ) -> None:
        self._known = known
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http_client = http_client
        self._rng = rng
        self._kept: tuple[NodeAddress, ...] = ()
        self._until = 0.0
        self._avoided: dict[str, float] = {}

    def avoid(self, address: str) -> None:
        """Do not use an address for a moment."""
        self._avoided[address] = time.monotonic() + AVOIDED_S

    def addresses(self) -> list[NodeAddress]:
        """Return addresses to use, best first.

        Raises
        ------
        AnswerNotRun
            If no known node answers.
        RequestRefused
            If the token is not accepted.
        """
        now = time.monotonic()
        if now >= self._until or not self._usable(now):
            self._ask()
        usable = self._usable(now) or list(self._kept)
        self._rng.shuffle(usable)
        return usable

    def _usable(self, now: float) -> list[NodeAddress]:
        return [a for a in self._kept if self._avoided.get(a.address, 0.0) <= now]

    def _ask(self) -> None:
        asked = [a.address for a in self._kept] + self._rng.sample(
            self._known, len(self._known)
        )
        now = time.monotonic()
        asked.sort(key=lambda address: self._avoided.get(address, 0.0) > now)
        for address in dict.fromkeys(asked):
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
                raise RequestRefused("the token is not accepted", reply.value)
            if reply.ok and reply.value.get("addresses"):
                self._keep(reply.value)
                return
        if not self._kept:
            raise AnswerNotRun("no known node names an address")

    def _keep(self, value: dict) -> None:
        self._kept = tuple(
            NodeAddress(item["address"], item["failure_domain"], item["ticket"])
            for item in value["addresses"]
        )
        self._until = time.monotonic() + float(value["ttl_s"])
