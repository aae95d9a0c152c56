"""Clients of the platform's host list and cloud API."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any, Protocol

from poplarrelay.exception import PlatformError
from poplarrelay.identifiers import DomainId, EndpointId
from poplarrelay.messages.effects import StartHost, StopHost
from poplarrelay.messages.platform import (
    HostRow,
    NoticeReceived,
    NoticeSource,
    StartedHost,
)
from poplarrelay.providers.http import CallFailed, JsonHttpClient
from poplarrelay.tables.endpoints import EndpointKind

__all__ = [
    "CloudNotices",
    "CloudStarts",
    "HostList",
    "HttpCloud",
    "HttpHostList",
    "Notices",
]

NOT_MODIFIED = 304
#: Seconds after which a call to start or stop a host times out.
START_TIMEOUT_S = 1.0


class HostList(Protocol):
    """The platform's list of endpoints, which lags behind the actual state."""

    def hosts(self) -> tuple[HostRow, ...]:
        """Return all endpoints.

        Raises
        ------
        PlatformError
            If there was no valid answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class Notices:
    """Reclaim notices, and the number at which the next read starts."""

    next: int
    notices: tuple[NoticeReceived, ...]


class CloudNotices(Protocol):
    """The cloud API's reclaim notices."""

    def notices(self, start: int, wait_s: float) -> Notices:
        """Return notices from number `start` on; wait up to `wait_s` for the first.

        Raises
        ------
        PlatformError
            If there was no valid answer.
        """
        ...


def _parse_host_row(item: dict[str, Any]) -> HostRow:
    return HostRow(
        endpoint=EndpointId(item["endpoint"]),
        kind=EndpointKind(item["kind"]),
        address=item["address"],
        domain=DomainId(item["failure_domain"]),
        names=frozenset(item["names"]),
        price=float(item["price"]),
        reclaimable=bool(item["reclaimable"]),
        checks_fencing=bool(item["checks_fencing"]),
        leaving=item["state"] != "live",
    )


def _parse_notice(item: dict[str, Any]) -> NoticeReceived:
    endpoint, domain = item.get("endpoint"), item.get("failure_domain")
    return NoticeReceived(
        remaining_s=float(item["remaining_s"]),
        source=NoticeSource.CLOUD,
        endpoint=None if endpoint is None else EndpointId(endpoint),
        domain=None if domain is None else DomainId(domain),
    )


class CloudStarts(Protocol):
    """The cloud API's calls that list, start and stop hosts."""

    def started(self) -> tuple[StartedHost, ...]:
        """Return all hosts that were started and have not stopped.

        Raises
        ------
        PlatformError
            If there was no valid answer.
        """
        ...

    def start(self, order: StartHost) -> bool:
        """Start a host; return False if the cloud API refused.

        Raises
        ------
        PlatformError
            If it is unknown whether the host was started, or the lease has expired.
        """
        ...

    def stop(self, order: StopHost) -> None:
        """Stop a host after its grace period.

        If the call fails, the host remains in the next list of started hosts.
        """
        ...


def _parse_started_host(item: dict[str, Any]) -> StartedHost:
    endpoint = item.get("endpoint")
    return StartedHost(
        token=item["token"],
        model=item["model"],
        machine_class=item["machine_class"],
        domain=DomainId(item["failure_domain"]),
        starting=item["state"] == "starting",
        stopping=item["state"] == "stopping",
        endpoint=None if endpoint is None else EndpointId(endpoint),
    )


class HttpHostList:
    """Client of the host list over HTTP.

    Notes
    -----
    The list is long and seldom changes, so it is requested conditionally, with the
    ``If-None-Match`` header.
    """

    def __init__(self, address: str, http_client: JsonHttpClient) -> None:
        self._address = address
        self._http_client = http_client
        self._etag: str | None = None
        self._rows: tuple[HostRow, ...] = ()

    def hosts(self) -> tuple[HostRow, ...]:
        """Return all endpoints."""
        condition = {} if self._etag is None else {"If-None-Match": self._etag}
        try:
            reply = self._http_client.call(
                "GET", self._address, "/hosts", headers=condition
            )
            if reply.status == NOT_MODIFIED:
                return self._rows
            if not reply.ok:
                raise PlatformError(
                    f"the host list answered with status {reply.status}"
                )
            self._rows = tuple(_parse_host_row(item) for item in reply.value["hosts"])
            self._etag = reply.headers.get("ETag")
            return self._rows
        except (CallFailed, KeyError, TypeError, ValueError) as error:
            raise PlatformError("the host list gave no valid answer") from error


class HttpCloud:
    """Client of the cloud API over HTTP."""

    def __init__(self, address: str, http_client: JsonHttpClient) -> None:
        self._address = address
        self._http_client = http_client

    def notices(self, start: int, wait_s: float) -> Notices:
        """Return notices from number `start` on; wait up to `wait_s` for the first."""
        path = f"/notices?from={start}&wait_ms={int(wait_s * 1000)}"
        try:
            reply = self._http_client.call(
                "GET", self._address, path, timeout_s=wait_s + 1.0
            )
            if not reply.ok:
                raise PlatformError(
                    f"the cloud API answered with status {reply.status}"
                )
            value = reply.value
            notices = tuple(_parse_notice(item) for item in value["notices"])
            return Notices(int(value["next"]), notices)
        except (CallFailed, KeyError, TypeError, ValueError) as error:
            raise PlatformError("the cloud API gave no valid answer") from error

    def started(self) -> tuple[StartedHost, ...]:
        """Return all hosts that were started and have not stopped."""
        try:
            reply = self._http_client.call("GET", self._address, "/starts")
            if not reply.ok:
                raise PlatformError(
                    f"the cloud API answered with status {reply.status}"
                )
            return tuple(_parse_started_host(item) for item in reply.value["starts"])
        except (CallFailed, KeyError, TypeError, ValueError) as error:
            raise PlatformError("the cloud API gave no valid answer") from error

    def start(self, order: StartHost) -> bool:
        """Start a host; return False if the cloud API refused.

        Notes
        -----
        The expiry of the lease is checked immediately before the call, because the
        process may have been paused after the tick thread issued the order.
        """
        if time.monotonic() >= order.expires_at:
            raise PlatformError("the lease has expired")
        body = {
            "token": order.token,
            "model": order.model,
            "machine_class": order.machine_class,
            "failure_domain": order.domain,
        }
        try:
            reply = self._http_client.call(
                "POST", self._address, "/starts", body, START_TIMEOUT_S
            )
        except CallFailed as error:
            raise PlatformError("the cloud API gave no answer") from error
        return reply.ok

    def stop(self, order: StopHost) -> None:
        """Stop a host after its grace period; do nothing if the lease has expired."""
        if time.monotonic() >= order.expires_at:
            return
        body = {"token": order.token, "grace_s": order.grace_s}
        try:
            self._http_client.call(
                "POST", self._address, "/stops", body, START_TIMEOUT_S
            )
        except CallFailed as error:
            raise PlatformError("the cloud API gave no answer") from error
