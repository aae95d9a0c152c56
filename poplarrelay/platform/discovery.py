"""The platform's questions to every node: where to connect, and readiness."""

from __future__ import annotations

from collections.abc import Sequence

import orjson

__all__ = ["READINESS_PATH", "RESOLVE_PATH", "encode_addresses"]

RESOLVE_PATH = b"/api/resolve"
READINESS_PATH = b"/api/readyz"


def encode_addresses(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Return the body that names the addresses to connect to, and for how long."""
    return orjson.dumps({"addresses": list(addresses), "ttlS": ttl_s})
