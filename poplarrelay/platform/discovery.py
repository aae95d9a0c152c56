"""Paths and bodies of the platform's discovery and readiness requests to a node."""

from __future__ import annotations

from collections.abc import Sequence

import orjson

__all__ = ["READINESS_PATH", "RESOLVE_PATH", "encode_addresses"]

RESOLVE_PATH = b"/api/resolve"
READINESS_PATH = b"/api/readyz"


def encode_addresses(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Return the body with addresses to connect to and the time to keep them."""
    return orjson.dumps({"addresses": list(addresses), "ttlS": ttl_s})
