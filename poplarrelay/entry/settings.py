"""Settings of an entry node, read from a JSON file and checked together."""

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
    "ResourceSettings",
    "SchedulingSettings",
    "StoreSettings",
    "TunnelSettings",
    "parse_address",
]


#: IPv4 address.
IP_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}$"


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
        Addresses for callers' requests, for the platform's readiness checks and for
        callers that ask which nodes to connect to.
    control : str
        Address for peers and operators.
    metrics : str or None
        Additional address for metrics, which the control address serves too.
    gossip_port : int
        UDP port of the gossip between nodes, the same on all nodes.
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
    store : str
        Address of the store.
    cloud : str or None
        Address of the API for usage reports and orders of endpoints.
    duties : str
        Names of the API's duties, joined by commas.
    group_ttl_min_ms : int
        Shortest time in milliseconds for which the store keeps a silent member in a
        group.
    history_s : float
        Time in seconds for which the store keeps records.
    """

    store: str = Field(pattern=ADDRESS_PATTERN)
    cloud: str | None = Field(default=None, pattern=ADDRESS_PATTERN)
    duties: str = ""
    group_ttl_min_ms: int = Field(default=1000, ge=1)
    history_s: float = Field(default=20, gt=0)


class BoundSettings(StrictModel):
    """Bounds that the operators of the platform require the system to keep.

    Attributes
    ----------
    leaving_endpoint_ms : int
        Time after which a leaving endpoint must get no new work.
    endpoint_heartbeat_ms : int
        Time between two records of an endpoint. An endpoint without a record for three
        times as long expires.
    stop_grace_s : float
        Time from the stop signal to the end of the process.
    retry_ratio, retry_slack, retry_window_s : float
        Retries allowed in a window of this length: the ratio of the requests in it,
        plus the slack.
    quota_window_s, quota_overrun, quota_slack : float
        Tolerance of the teams' quotas over all nodes: window, relative overrun in it
        and absolute slack.
    lease_ms : int
        Time in which a duty must not pass to another node and back.
    usage_window_s, usage_late_s : float
        Length of a usage window, and time from its end until its report is due.
    canary_share : float
        Largest share of a service's requests that an unproven version gets during a
        roll-out.
    address_ttl_most_s : float
        Longest time for which callers keep addresses from discovery.
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
    canary_share: float = Field(default=0.1, gt=0, le=1)
    address_ttl_most_s: float = Field(default=5, gt=0)


class SchedulingSettings(StrictModel):
    """How nodes divide contended services among the teams.

    Attributes
    ----------
    fair_shares : bool
        Whether contended services are divided between the teams, by the weights of
        their quotas. One node per endpoint then grants the slots of plain services to
        the requests of all nodes. It takes effect if the configuration has several
        teams or priorities.
    prompt_shares : bool
        Whether `fair_shares` also limits the queues of prompts at engines.
    forecast_quantile : float
        Share of the prompts admitted to a service that is short whose first event must
        not come after its forecast; with 0, they are admitted by the plain forecast.
    """

    fair_shares: bool = False
    prompt_shares: bool = False
    forecast_quantile: float = Field(default=0.0, ge=0, lt=1)


class TunnelSettings(StrictModel):
    """Connections to endpoints that peers relay for each other.

    Attributes
    ----------
    enabled : bool
        Whether the node connects through peers where its own paths are lost, and
        relays connections of its peers.
    max_carried : int
        Most connections of peers that the node relays at the same time.
    """

    enabled: bool = True
    max_carried: int = Field(default=500, ge=0)


class ResourceSettings(StrictModel):
    """Resources of the process's host, of which callers get a part.

    Attributes
    ----------
    memory_mb : float or None
        Memory that the process may use, in MB; None for 256.
    descriptors : int or None
        Descriptors that the process may open, at most those that the system allows it;
        None for these.
    """

    memory_mb: float | None = Field(default=None, ge=64)
    descriptors: int | None = Field(default=None, ge=64)


class EntrySettings(StrictModel):
    """Settings of one entry node.

    Attributes
    ----------
    node : str
        Name of the node, unique among the nodes.
    failure_domain, failure_domains : str, str
        Failure domain of the node's host, and all failure domains, joined by commas.
    seeds : str
        Control addresses of up to three other nodes, joined by commas.
    first_start : bool
        Whether the complete system starts for the first time.
    source_host : str or None
        IP address from which the node connects to endpoints and tunnels; None to let
        the system choose it.
    """

    node: str = Field(pattern=NAME_PATTERN)
    failure_domain: str = Field(pattern=NAME_PATTERN)
    failure_domains: str = ""
    listeners: EntryListeners
    seeds: str = ""
    first_start: bool = True
    source_host: str | None = Field(default=None, pattern=IP_PATTERN)
    platform: StoreSettings
    bounds: BoundSettings = BoundSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    tunnels: TunnelSettings = TunnelSettings()
    resources: ResourceSettings = ResourceSettings()
    log_level: str = Field(default="INFO", pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")

    @classmethod
    def from_file(cls, path: Path) -> EntrySettings:
        """Read and check a settings file.

        Raises
        ------
        SettingsError
            If the file is invalid; the exception has all faults.
        """
        return load_json_file(cls, path)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the seeds."""
        return tuple(parse_address(s)[0] for s in self.seeds.split(",") if s)
