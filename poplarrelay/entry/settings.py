"""Settings of an entry node: a JSON file, checked as a whole."""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from poplarrelay.settings import (
    ADDRESS_PATTERN,
    NAME_PATTERN,
    StrictModel,
    load_json_file,
)

__all__ = [
    "BoundSettings",
    "EntryListeners",
    "EntrySettings",
    "StoreSettings",
    "parse_address",
]


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``.

    Examples
    --------
    >>> parse_address("10.1.0.14:8221")
    ('10.1.0.14', 8221)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class EntryListeners(StrictModel):
    """Addresses on which a node listens.

    Attributes
    ----------
    callers, readiness, discovery : str
        For requests, for the platform's readiness checks, for callers that ask
        where to connect.
    control : str
        For peers and operators.
    metrics : str or None
        For those who collect metrics, apart from the control address.
    gossip_port : int
        UDP port for news between nodes, the same on all nodes.
    """

    callers: str = Field(pattern=ADDRESS_PATTERN)
    readiness: str = Field(pattern=ADDRESS_PATTERN)
    discovery: str = Field(pattern=ADDRESS_PATTERN)
    control: str = Field(pattern=ADDRESS_PATTERN)
    metrics: str | None = Field(default=None, pattern=ADDRESS_PATTERN)
    gossip_port: int = Field(ge=0, le=65535)


class StoreSettings(StrictModel):
    """The platform's services.

    Attributes
    ----------
    store, cloud : str
        Addresses of the store and of the API for usage and orders.
    duties : str
        Duties that the API knows, joined by commas.
    group_ttl_min_ms : int
        Shortest time for which the store keeps a silent member in a group.
    """

    store: str = Field(pattern=ADDRESS_PATTERN)
    cloud: str | None = Field(default=None, pattern=ADDRESS_PATTERN)
    duties: str = ""
    group_ttl_min_ms: int = Field(default=1000, ge=1)


class BoundSettings(StrictModel):
    """What the operators of the platform hold the system to.

    Attributes
    ----------
    leaving_endpoint_ms : int
        Time after which a leaving endpoint may get no new work.
    endpoint_heartbeat_ms : int
        Time between two records of an endpoint; three without one, and it lapses.
    stop_grace_s : float
        Time from the stop signal to the end of the process.
    retry_ratio, retry_slack, retry_window_s : float
        Repeated sends in a window: a share of the requests, and a number besides.
    quota_window_s, quota_overrun, quota_slack : float
        Tolerance of the teams' quotas over all nodes.
    lease_ms : int
        Time within which a duty may not pass to another node and back.
    usage_window_s, usage_late_s : float
        Length of a usage window, and how long after it the report is due.
    address_ttl_most_s : float
        Longest time for which callers keep an answer of discovery.
    """

    leaving_endpoint_ms: int = Field(default=2000, gt=0)
    endpoint_heartbeat_ms: int = Field(default=1200, gt=0)
    stop_grace_s: float = Field(default=8, gt=0)
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_slack: float = Field(default=50, ge=0)
    retry_window_s: float = Field(default=10, gt=0)
    quota_window_s: float = Field(default=8, gt=0)
    quota_overrun: float = Field(default=0.1, ge=0)
    quota_slack: float = Field(default=0, ge=0)
    lease_ms: int = Field(default=3000, gt=0)
    usage_window_s: float = Field(default=5, gt=0)
    usage_late_s: float = Field(default=10, gt=0)
    address_ttl_most_s: float = Field(default=5, gt=0)


class EntrySettings(StrictModel):
    """Settings of one entry node.

    Attributes
    ----------
    node : str
        The node's name, unique among the nodes.
    failure_domain, failure_domains : str, str
        Where the node's host stands, and all domains, joined by commas.
    seeds : str
        Control addresses of up to three other nodes, joined by commas.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    node: str = Field(pattern=NAME_PATTERN)
    failure_domain: str = Field(pattern=NAME_PATTERN)
    failure_domains: str = ""
    listeners: EntryListeners
    seeds: str = ""
    first_start: bool = True
    platform: StoreSettings
    bounds: BoundSettings = BoundSettings()
    log_level: str = Field(default="INFO", pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")

    @classmethod
    def from_file(cls, path: Path) -> EntrySettings:
        """Read and check a settings file.

        Raises
        ------
        SettingsError
            With every fault of the file.
        """
        return load_json_file(cls, path)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the seeds."""
        return tuple(parse_address(s)[0] for s in self.seeds.split(",") if s)
