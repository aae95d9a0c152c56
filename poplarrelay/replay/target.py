"""Addresses to which a replay sends its requests and events."""

from __future__ import annotations

from pydantic import Field

from poplarrelay.settings import StrictModel

__all__ = ["ReplayTarget"]


class ReplayTarget(StrictModel):
    """Addresses and tokens of a running system.

    Attributes
    ----------
    callers : tuple of str
        Addresses at which nodes serve callers.
    peers : tuple of str
        Addresses at which nodes serve peers and operators, for metrics.
    tokens : dict of str to str
        Bearer token by team.
    cloud, log, hosts : str or None
        Addresses of the stand-ins that receive the trace's events. Events for an
        address of None are left out.
    endpoints : dict of str to str
        Address of each endpoint's stand-in by endpoint name.
    """

    callers: tuple[str, ...]
    peers: tuple[str, ...] = ()
    tokens: dict[str, str]
    cloud: str | None = None
    log: str | None = None
    hosts: str | None = None
    endpoints: dict[str, str] = Field(default_factory=dict)
