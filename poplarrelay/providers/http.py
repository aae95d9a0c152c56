"""JSON calls over HTTP, with typed failures and without automatic retries."""

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

#: Approximate bytes of a call's request line and headers, without the path.
HEAD_BYTES = 140
JSON_HEADERS = {"Content-Type": "application/json"}


class CallFailed(PoplarrelayError):
    """A call got no complete answer.

    Parameters
    ----------
    sent : bool
        Whether any byte of the call may have reached the server.
    cause : Exception
        Error of the HTTP client.
    """

    def __init__(self, sent: bool, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}")
        self.sent = sent


@dataclass(frozen=True, slots=True)
class JsonReply:
    """An HTTP answer.

    Attributes
    ----------
    value : Any
        Decoded body, None if the body is not JSON.
    raw : bytes
        The body as received.
    """

    status: int
    value: Any
    headers: Mapping[str, str] = field(default_factory=dict)
    raw: bytes = b""

    @property
    def ok(self) -> bool:
        """Return whether the status is a success (200 to 299)."""
        return 200 <= self.status < 300


def _decode(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None


class TrafficMeter(Protocol):
    """Counter of the bytes that calls send and receive."""

    def add(self, path: str, sent: int, received: int) -> None:
        """Add the bytes of one call."""
        ...


def _header_bytes(headers: Mapping[str, str]) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers.items())


class JsonHttpClient:
    """Client that sends JSON calls to any address.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds after which an attempt to connect times out.
    pools : int
        Number of addresses to which connections are kept open.
    connections : int
        Number of connections kept open to one address.
    meter : TrafficMeter or None
        Counter of the bytes of all calls.

    Notes
    -----
    urllib3 retries by default. Retries are switched off because a second send of an
    append, an order or a booking can take effect twice; the caller decides on it.
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
        """Send one call and return the answer.

        Parameters
        ----------
        method, address, path : str
            HTTP method, ``host:port`` and path of the call.
        body : Any
            JSON value, None for no body.
        timeout_s : float
            Seconds without a byte after which the call fails.
        headers : mapping or None
            Additional headers.

        Raises
        ------
        CallFailed
            If there was no complete answer.
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
