"""Builders of worlds and endpoint rows, for tests that start no process."""

from __future__ import annotations

from typing import Any

from poplarrelay.configuration.schema import Deployment, Template
from poplarrelay.identifiers import DomainId, EndpointId, Incarnation, Offset
from poplarrelay.settings import NodeSettings
from poplarrelay.systems.configuring import rebuild
from poplarrelay.tables.configuration import InForce
from poplarrelay.tables.endpoints import Endpoint, EndpointKind
from poplarrelay.tables.world import CONFIGURATION, NodePhase, World
from poplarrelay.testing.builders import deployment_body, template_body

__all__ = ["TEAM", "make_endpoint", "make_settings", "make_world"]

TEAM = "alpha"
DOMAINS = ("east", "west", "north", "south")


def make_settings(name: str, index: int) -> NodeSettings:
    """Return the settings of a node that is never started."""
    return NodeSettings.model_validate(
        {
            "node": name,
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "callers": {"host": "127.0.0.1", "port": 1000 + index},
            "seeds": ["127.0.0.1:2001"],
            "peers": {"host": "127.0.0.1", "port": 2000 + index},
            "platform": {
                "log": "127.0.0.1:1",
                "hosts": "127.0.0.1:2",
                "cloud": "127.0.0.1:3",
            },
        }
    )


def make_endpoint(
    name: str, kind: EndpointKind, domain: str, **changes: Any
) -> Endpoint:
    """Return an endpoint's row; keyword arguments replace its attributes."""
    names = {"small"} if kind is EndpointKind.ENGINE else {"booking"}
    endpoint = Endpoint(
        id=EndpointId(name),
        kind=kind,
        address=f"{name}:1",
        domain=DomainId(domain),
        names=frozenset(names),
        price=1.0,
        polled_at=float("inf"),
    )
    for attribute, value in changes.items():
        setattr(endpoint, attribute, value)
    return endpoint


def make_world(
    name: str, index: int, incarnation: str, now: float, seed: int = 1
) -> World:
    """Return the world of a ready node with one service endpoint."""
    world = World.from_settings(
        make_settings(name, index), Incarnation(incarnation), int(now), now, seed
    )
    table = world.configuration
    template = Template.model_validate(template_body())
    deployment = Deployment.model_validate(deployment_body(TEAM))
    table.entries["template/base"] = InForce(Offset(0), template)
    table.entries[f"deployment/{TEAM}"] = InForce(Offset(1), deployment)
    rebuild(table)
    world.phase = NodePhase.SERVING
    world.me.ready = True
    world.next_hosts_at = world.next_probe_at = float("inf")
    desk = make_endpoint("desk", EndpointKind.SERVICE, "east")
    world.endpoints[desk.id] = desk
    world.streams[CONFIGURATION].caught_up = True
    return world
