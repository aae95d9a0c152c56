"""A site: failure domains, nodes, endpoints and configuration, in one file."""

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


_RETURNED: set[str] = set()


class SiteNode(StrictModel):
    """A node and its failure domain."""

    name: Name
    failure_domain: Name


class SiteEndpoint(StrictModel):
    """An endpoint and how its stand-in behaves.

    Attributes
    ----------
    names : tuple of str
        Models or services.
    price : float
        Price of its host per hour.
    slots : int
        Requests at once.
    step_s : float
        Seconds between two tokens, or of a call.
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
    """A whole site.

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
        """Read and check a site file.

        Raises
        ------
        SettingsError
            With every fault of the file.
        """
        return load_json_file(cls, path)


def hash_token(token: str) -> str:
    """Return a token's SHA-256, as deployments hold it.

    Examples
    --------
    >>> len(hash_token("a"))
    64
    """
    return hashlib.sha256(token.encode()).hexdigest()


def team_token(team: str) -> str:
    """Return the token that the example sites give to a team.

    Examples
    --------
    >>> team_token("registry")
    'example-token-of-registry'
    """
    return f"example-token-of-{team}"


def loopback_host(number: int) -> str:
    """Return one of this process's own loopback addresses.

    Notes
    -----
    A port is free when it is looked up and bound a moment later by another process.
    Were sites of several test processes on the same addresses, one could take the
    port of another in between.
    """
    process = os.getpid()
    return f"127.{16 + process % 200}.{process // 200 % 250}.{number}"


def free_address(host: str) -> str:
    """Return ``host:port`` with a free port that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = f"{host}:{probe.getsockname()[1]}"
        if address not in _RETURNED:
            _RETURNED.add(address)
            return address
