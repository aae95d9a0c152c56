"""Resolve a deployment against its template."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from poplarrelay.configuration.policy import ClassPolicy, ServicePolicy, TeamPolicy
from poplarrelay.configuration.schema import ConfigurationFile, Deployment, Template
from poplarrelay.exception import FieldError, InvalidConfiguration
from poplarrelay.identifiers import DomainId, TeamId

__all__ = ["check_file", "resolve_deployment"]


def _unknown_names(
    place: str, chosen: Iterable[str] | None, allowed: Iterable[str]
) -> Iterator[FieldError]:
    known = set(allowed)
    for name in chosen or ():
        if name not in known:
            yield FieldError(place, f"{name!r} is not in the template")


def _exceeded_bounds(
    place: str, chosen: float | None, bound: float
) -> Iterator[FieldError]:
    if chosen is not None and chosen > bound:
        yield FieldError(place, f"{chosen} is over the template's {bound}")


def _find_faults(template: Template, deployment: Deployment) -> Iterator[FieldError]:
    services = [service.name for service in template.services]
    yield from _unknown_names("models", deployment.models, template.models)
    yield from _unknown_names("services", deployment.services, services)
    yield from _unknown_names(
        "failure_domains", deployment.failure_domains, template.failure_domains
    )
    limits, bounds = deployment.limits, template.limits
    yield from _exceeded_bounds(
        "limits.max_running", limits.max_running, bounds.max_running
    )
    yield from _exceeded_bounds(
        "limits.max_queued", limits.max_queued, bounds.max_queued
    )
    yield from _exceeded_bounds(
        "limits.retry_ratio", limits.retry_ratio, bounds.retry_ratio
    )


def resolve_deployment(template: Template, deployment: Deployment) -> TeamPolicy:
    """Return the team's policy.

    Parameters
    ----------
    template : Template
        The template to which the deployment refers.
    deployment : Deployment
        The team's parameters.

    Raises
    ------
    InvalidConfiguration
        If the template does not allow some parameters; the error names all of them.
    """
    faults = tuple(_find_faults(template, deployment))
    if faults:
        raise InvalidConfiguration(faults)
    limits, bounds = deployment.limits, template.limits
    models = template.models if deployment.models is None else deployment.models
    domains = deployment.failure_domains or template.failure_domains
    services = {
        service.name: ServicePolicy(
            service.name, frozenset(m.upper() for m in service.repeatable_methods)
        )
        for service in template.services
        if deployment.services is None or service.name in deployment.services
    }
    classes = {
        name: ClassPolicy(targets.first_token_s, targets.deadline_s)
        for name, targets in template.classes.items()
    }
    return TeamPolicy(
        team=TeamId(deployment.team),
        models=frozenset(models),
        services=services,
        failure_domains=frozenset(DomainId(domain) for domain in domains),
        classes=classes,
        priority=deployment.priority,
        max_running=limits.max_running or bounds.max_running,
        max_queued=(
            bounds.max_queued if limits.max_queued is None else limits.max_queued
        ),
        retry_ratio=(
            bounds.retry_ratio if limits.retry_ratio is None else limits.retry_ratio
        ),
        token_sha256=frozenset(deployment.token_sha256),
    )


def check_file(file: ConfigurationFile) -> tuple[FieldError, ...]:
    """Return the faults that need several parts of a configuration file to detect.

    A deployment is skipped if its template is not in the file. The template may be in
    force already, so the node that receives the deployment checks it.
    """
    templates = {template.name: template for template in file.templates}
    faults: list[FieldError] = []
    for index, deployment in enumerate(file.deployments):
        template = templates.get(deployment.template)
        if template is None:
            continue
        for fault in _find_faults(template, deployment):
            faults.append(
                FieldError(f"deployments.{index}.{fault.place}", fault.problem)
            )
    owners: dict[str, str] = {}
    for index, deployment in enumerate(file.deployments):
        for digest in deployment.token_sha256:
            owner = owners.setdefault(digest, deployment.team)
            if owner != deployment.team:
                place = f"deployments.{index}.token_sha256"
                faults.append(FieldError(place, f"a token of team {owner!r}"))
    return tuple(faults)
