"""Builders of small sites and their configuration, for tests."""

from __future__ import annotations

from typing import Any

from poplarrelay.configuration.schema import ConfigurationFile
from poplarrelay.testing.site import Site, hash_token, team_token

__all__ = ["deployment_body", "small_site", "template_body"]

DOMAINS = ("east", "west", "north", "south")
TEAMS = ("alpha", "beta")


def _engine(index: int, **changes: Any) -> dict[str, Any]:
    engine = {
        "name": f"engine-{index + 1}",
        "kind": "engine",
        "failure_domain": DOMAINS[index % len(DOMAINS)],
        "machine_class": "gpu-spot",
        "names": ["small"],
        "price": 2.0,
        "checks_fencing": index % 2 == 0,
        "slots": 8,
        "step_s": 0.01,
    }
    return {**engine, **changes}


def _service(index: int, **changes: Any) -> dict[str, Any]:
    service = {
        "name": f"desk-{index + 1}",
        "kind": "service",
        "failure_domain": DOMAINS[index % len(DOMAINS)],
        "machine_class": "cpu-spot",
        "names": ["booking"],
        "price": 0.2,
        "slots": 16,
        "step_s": 0.002,
    }
    return {**service, **changes}


def template_body(**changes: Any) -> dict[str, Any]:
    """Return the body of a template; keyword arguments replace its fields."""
    body: dict[str, Any] = {
        "name": "base",
        "models": ["small"],
        "services": [{"name": "booking", "repeatable_methods": ["GET", "HEAD"]}],
        "failure_domains": list(DOMAINS),
        "classes": {
            "urgent": {"first_token_s": 1.0, "deadline_s": 20.0},
            "standard": {"first_token_s": 2.0, "deadline_s": 60.0},
            "patient": {"first_token_s": 60.0, "deadline_s": 300.0},
        },
        "limits": {"max_running": 64, "max_queued": 256, "retry_ratio": 0.5},
    }
    return {**body, **changes}


def deployment_body(team: str, **changes: Any) -> dict[str, Any]:
    """Return the body of a deployment; keyword arguments replace its fields."""
    body: dict[str, Any] = {
        "team": team,
        "template": "base",
        "token_sha256": [hash_token(team_token(team))],
    }
    return {**body, **changes}


def small_site(
    nodes: int = 3,
    engines: int = 3,
    services: int = 1,
    engine: dict[str, Any] | None = None,
    service: dict[str, Any] | None = None,
    template: dict[str, Any] | None = None,
) -> Site:
    """Return a site with two teams and four failure domains.

    Parameters
    ----------
    nodes, engines, services : int
        Number of nodes, engines and services.
    engine, service, template : dict or None
        Fields to replace in every engine, every service and the template.
    """
    endpoints = [_engine(index, **(engine or {})) for index in range(engines)]
    endpoints += [_service(index, **(service or {})) for index in range(services)]
    configuration = ConfigurationFile.model_validate(
        {
            "templates": [template_body(**(template or {}))],
            "deployments": [deployment_body(team) for team in TEAMS],
        }
    )
    return Site.model_validate(
        {
            "name": "small",
            "failure_domains": DOMAINS,
            "nodes": [
                {"name": f"node-{i + 1}", "failure_domain": DOMAINS[i % len(DOMAINS)]}
                for i in range(nodes)
            ],
            "endpoints": endpoints,
            "configuration": configuration.model_dump(mode="json"),
        }
    )
