"""Templates, deployments, and what they come to for a team."""

from poplarrelay.configuration.policy import ClassPolicy, ServicePolicy, TeamPolicy
from poplarrelay.configuration.resolve import resolve_deployment
from poplarrelay.configuration.schema import ConfigurationFile, Deployment, Template

__all__ = [
    "ClassPolicy",
    "ConfigurationFile",
    "Deployment",
    "ServicePolicy",
    "TeamPolicy",
    "Template",
    "resolve_deployment",
]
