"""Description of a site: failure domains, nodes, endpoints and configuration."""

from __future__ import annotations

import hashlib
import os
import socket
from pathlib import Path

from pydantic import Field

from poplarrelay.configuration.schema import ConfigurationFile, Name
from poplarrelay.settings import StrictModel, load_json_file

__all__ = [
    "Site",
    "SiteEndpoint",
    "SiteNode",
    "free_address",
    "hash_token",
    "loopback_host",
    "team_token",
]


#: Addresses that `free_address` has returned.
_RETURNED_ADDRESSES: set[str] = set()


class SiteNode(StrictModel):
    """A node and its failure domain."""

    name: Name
    failure_domain: Name


class SiteEndpoint(StrictModel):
    """An endpoint and the behaviour of its stand-in.

    Attributes
    ----------
    names : tuple of str
        Models or services that the endpoint runs.
    price : float
        Price of the host per hour.
    slots : int
        Maximum number of concurrent requests.
    step_s : float
        Seconds between two tokens of an engine, or per call of a service.
    """

    name: Name
    kind: str = Field(pattern=r"^(engine|service)$")
    failure_domain: Name
    machine_class: Name
    names: tuple[Name, ...] = Field(min_length=1)
    price: float = Field(gt=0)
    reclaimable: bool = True
    checks_fencing: bool = False
    slots: int = Field(default=8, ge=1)
    step_s: float = Field(default=0.01, gt=0)
    prefill_tokens_per_s: float = Field(default=20_000.0, gt=0)
    cache_blocks: int = Field(default=2000, ge=1)


class Site(StrictModel):
    """A site, as read from a site file.

    Attributes
    ----------
    configuration : ConfigurationFile
        Templates and deployments; the tokens are derived from the teams' names
        (see `team_token`), for demonstrations only.
    """

    name: Name
    failure_domains: tuple[Name, ...] = Field(min_length=1)
    nodes: tuple[SiteNode, ...] = Field(min_length=1)
    endpoints: tuple[SiteEndpoint, ...] = Field(min_length=1)
    configuration: ConfigurationFile

    @classmethod
    def from_file(cls, path: Path) -> Site:
        """Read and validate a site file.

        Raises
        ------
        SettingsError
            If the file is invalid; the error lists every fault.
        """
        return load_json_file(cls, path)


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in the form that deployments contain.

    Examples
    --------
    >>> len(hash_token("a"))
    64
    """
    return hashlib.sha256(token.encode()).hexdigest()


def team_token(team: str) -> str:
    """Return the token of a team in the example sites.

    Examples
    --------
    >>> team_token("registry")
    'example-token-of-registry'
    """
    return f"example-token-of-{team}"


def loopback_host(number: int) -> str:
    """Return one of the loopback addresses reserved for this process.

    Notes
    -----
    Between the lookup of a free port and its use, another process can bind it. With
    separate addresses, sites of several test processes cannot take each other's ports.
    """
    process_id = os.getpid()
    return f"127.{16 + process_id % 200}.{process_id // 200 % 250}.{number}"


def free_address(host: str) -> str:
    """Return ``host:port`` with a free port; no address is returned twice."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = f"{host}:{probe.getsockname()[1]}"
        if address not in _RETURNED_ADDRESSES:
            _RETURNED_ADDRESSES.add(address)
            return address
