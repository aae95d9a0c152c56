"""Where a replay sends its requests and events."""

from __future__ import annotations

from pydantic import Field

from poplarrelay.settings import StrictModel

__all__ = ["ReplayTarget"]


class ReplayTarget(StrictModel):
    """Addresses and tokens of a running system.

    Attributes
    ----------
    callers : tuple of str
        Callers' addresses of some nodes.
    peers : tuple of str
        Addresses of the second listeners, for metrics.
    tokens : dict of str to str
        Bearer token of each team.
    cloud, log, hosts : str or None
        Stand-ins that take the trace's events; None to leave such events out.
    endpoints : dict of str to str
        Addresses of the endpoints' stand-ins.
    """

    callers: tuple[str, ...]
    peers: tuple[str, ...] = ()
    tokens: dict[str, str]
    cloud: str | None = None
    log: str | None = None
    hosts: str | None = None
    endpoints: dict[str, str] = Field(default_factory=dict)
