"""Templates, deployments and the team policies that result from them."""

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
