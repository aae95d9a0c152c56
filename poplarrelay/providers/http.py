"""JSON calls over HTTP, with typed failures and no hidden retries."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import orjson
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from poplarrelay.exception import PoplarrelayError

__all__ = ["CallFailed", "JsonHttpClient", "JsonReply", "TrafficMeter"]

#: Bytes of a call's request line and headers beyond its path, about.
HEAD_BYTES = 140
JSON_HEADERS = {"Content-Type": "application/json"}


class CallFailed(PoplarrelayError):
    """A call got no answer.

    Parameters
    ----------
    sent : bool
        Whether a byte of the call may have reached the other side.
    """

    def __init__(self, sent: bool, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}")
        self.sent = sent


@dataclass(frozen=True, slots=True)
class JsonReply:
    """An answer; `value` is None if the body, `raw`, is no JSON."""

    status: int
    value: Any
    headers: Mapping[str, str] = field(default_factory=dict)
    raw: bytes = b""

    @property
    def ok(self) -> bool:
        """Return whether the status is in the 200s."""
        return 200 <= self.status < 300


def _decode(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None


class TrafficMeter(Protocol):
    """Counts the bytes of calls."""

    def add(self, path: str, sent: int, received: int) -> None:
        """Count one call."""
        ...


def _header_bytes(headers: Mapping[str, str]) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers.items())


class JsonHttpClient:
    """Makes calls to any address.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds until a connection must stand.
    pools : int
        Addresses to which connections are kept.
    connections : int
        Connections kept to one address.
    meter : TrafficMeter or None
        Counts the bytes of all calls.

    Notes
    -----
    urllib3 repeats calls by default. That is switched off: a second send of an
    append, an order or a booking is for the caller to decide.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        pools: int = 64,
        connections: int = 16,
        meter: TrafficMeter | None = None,
    ) -> None:
        self._meter = meter
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(
            num_pools=pools, maxsize=connections, retries=False
        )

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        timeout_s: float = 1.0,
        headers: Mapping[str, str] | None = None,
    ) -> JsonReply:
        """Make one call.

        Parameters
        ----------
        method, address, path : str
            What to call; `address` is ``host:port``.
        body : Any
            JSON value, None for no body.
        timeout_s : float
            Seconds without a byte after which the call fails.
        headers : mapping or None
            More headers.

        Raises
        ------
        CallFailed
            If there was no whole answer.
        """
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s)
        content = None if body is None else orjson.dumps(body)
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=content,
                headers={**JSON_HEADERS, **(headers or {})},
                timeout=timeout,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise CallFailed(False, error) from error
        except (HTTPError, OSError) as error:
            raise CallFailed(True, error) from error
        if self._meter is not None:
            sent = len(content or b"") + len(path) + HEAD_BYTES
            received = len(response.data) + _header_bytes(response.headers)
            self._meter.add(path, sent, received)
        data = response.data
        return JsonReply(response.status, _decode(data), response.headers, data)
