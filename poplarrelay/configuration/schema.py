"""Schemas of the templates and deployments that operators publish."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field

from poplarrelay.settings import NAME_PATTERN, StrictModel, load_json_file
from poplarrelay.tables.requests import RequestClass

__all__ = [
    "CapacityPolicy",
    "ClassTargets",
    "ConfigurationFile",
    "Deployment",
    "MachineOffer",
    "DeploymentLimits",
    "Service",
    "Template",
    "TemplateLimits",
]

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class ClassTargets(StrictModel):
    """Latency targets of one request class, in seconds."""

    first_token_s: float = Field(gt=0)
    deadline_s: float = Field(gt=0)


class Service(StrictModel):
    """A plain service, with the HTTP methods that are safe to repeat."""

    name: Name
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")


class MachineOffer(StrictModel):
    """A machine class that the cloud API offers, and its price per hour."""

    machine_class: Name
    price: float = Field(gt=0)
    reclaimable: bool = True


class CapacityPolicy(StrictModel):
    """How many hosts to run for a model.

    Attributes
    ----------
    slots : int
        Requests that one host runs concurrently.
    base_hosts : int
        Number of hosts that cannot be reclaimed.
    headroom : float
        Ratio of the capacity to the demand.
    """

    model: Name
    slots: int = Field(ge=1)
    min_hosts: int = Field(default=1, ge=0)
    max_hosts: int = Field(ge=1)
    base_hosts: int = Field(default=0, ge=0)
    headroom: float = Field(default=1.3, ge=1)
    offers: tuple[MachineOffer, ...] = Field(min_length=1)


class TemplateLimits(StrictModel):
    """Upper bounds on the limits of a team."""

    max_running: int = Field(default=64, ge=1)
    max_queued: int = Field(default=256, ge=0)
    retry_ratio: float = Field(default=0.2, ge=0, le=1)


class DeploymentLimits(StrictModel):
    """Limits of one team; None means the template's limit."""

    max_running: int | None = Field(default=None, ge=1)
    max_queued: int | None = Field(default=None, ge=0)
    retry_ratio: float | None = Field(default=None, ge=0, le=1)


class Template(StrictModel):
    """Configuration that the deployments of several teams share.

    Attributes
    ----------
    runners : dict of str to int
        Number of engines that must have a model loaded, by model. The nodes do not
        load or unload models that are not listed.
    capacity : tuple of CapacityPolicy
        Hosts to start and stop; empty if the hosts are managed by another system.
    """

    name: Name
    models: tuple[Name, ...] = ()
    services: tuple[Service, ...] = ()
    failure_domains: tuple[Name, ...] = Field(min_length=1)
    classes: dict[RequestClass, ClassTargets]
    limits: TemplateLimits = TemplateLimits()
    runners: dict[Name, int] = Field(default_factory=dict)
    capacity: tuple[CapacityPolicy, ...] = ()


class Deployment(StrictModel):
    """Parameters of one team that refine a template.

    Attributes
    ----------
    priority : int
        Weight of the team when several teams wait for the same endpoint.
    token_sha256 : tuple of str
        SHA-256 hashes of the bearer tokens that identify the team.
    """

    team: Name
    template: Name
    token_sha256: tuple[Sha256, ...] = Field(min_length=1)
    models: tuple[Name, ...] | None = None
    services: tuple[Name, ...] | None = None
    failure_domains: tuple[Name, ...] | None = None
    priority: int = Field(default=1, ge=1, le=100)
    limits: DeploymentLimits = DeploymentLimits()


class ConfigurationFile(StrictModel):
    """A file for ``config check`` and ``config publish``."""

    templates: tuple[Template, ...] = ()
    deployments: tuple[Deployment, ...] = ()

    @classmethod
    def from_file(cls, path: Path) -> ConfigurationFile:
        """Read and validate a configuration file.

        Raises
        ------
        SettingsError
            If the file has faults; the error holds all of them.
        """
        return load_json_file(cls, path)
