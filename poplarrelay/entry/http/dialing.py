"""Opening of TCP connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

__all__ = ["Address", "Dialer"]

#: Host and port.
Address = tuple[str, int]

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


class Dialer:
    """Opens connections from one local address.

    Parameters
    ----------
    source_host : str or None
        IP address that connections come from; None to let the system choose it.
    """

    def __init__(self, source_host: str | None = None) -> None:
        self._source = None if source_host is None else (source_host, 0)

    async def connect(
        self, make_protocol: Callable[[], ProtocolT], address: Address
    ) -> ProtocolT:
        """Connect to an address; raise `OSError` if that fails."""
        _, protocol = await asyncio.get_running_loop().create_connection(
            make_protocol, *address, local_addr=self._source
        )
        return protocol
