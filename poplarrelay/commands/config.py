"""``poplarrelay config`` and ``poplarrelay template``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from poplarrelay.commands.operators import Operator
from poplarrelay.commands.output import ExitCode, fail, print_json, print_lines
from poplarrelay.configuration.resolve import check_file
from poplarrelay.configuration.schema import ConfigurationFile
from poplarrelay.entry.settings import EntrySettings
from poplarrelay.exception import SettingsError
from poplarrelay.settings import NodeSettings
from poplarrelay.testing.site import Site

__all__ = ["config_app", "template_app"]

config_app = App(name="config", help="Check, publish and follow the configuration.")
template_app = App(name="template", help="Publish templates.")

Node = Annotated[str, Parameter(help="Address of a node's second listener.")]
Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


def _read(path: Path) -> ConfigurationFile:
    """Read a configuration file, or the configuration within a site file."""
    try:
        return ConfigurationFile.from_file(path)
    except SettingsError as error:
        try:
            return Site.from_file(path).configuration
        except SettingsError as site_error:
            best = min(error, site_error, key=lambda each: len(each.faults))
            fail(ExitCode.CONFIGURATION, *(str(fault) for fault in best.faults))


def _checked(path: Path) -> ConfigurationFile:
    file = _read(path)
    faults = check_file(file)
    if faults:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in faults))
    return file


@config_app.command
def check(
    path: Path,
    *,
    settings: Annotated[
        bool, Parameter(help="The file holds a node's settings.", negative="")
    ] = False,
    entry: Annotated[
        bool, Parameter(help="The file holds an entry node's settings.", negative="")
    ] = False,
    json: Json = False,
) -> None:
    """Check a configuration, site or settings file, and tell every fault.

    Parameters
    ----------
    path
        The file.
    """
    if settings or entry:
        try:
            found: EntrySettings | NodeSettings = (
                EntrySettings.from_file(path) if entry else NodeSettings.from_file(path)
            )
        except SettingsError as error:
            fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
        text = f"{path}: settings of node {found.node} are valid"
        print_json({"valid": True}) if json else print(text)
        return
    file = _checked(path)
    counts = {
        "templates": len(file.templates),
        "deployments": len(file.deployments),
    }
    if json:
        print_json({"valid": True, **counts})
    else:
        print(
            f"{path}: {counts['templates']} templates and "
            f"{counts['deployments']} deployments are valid"
        )


def _changes(file: ConfigurationFile) -> list[tuple[str, Any]]:
    templates = [
        (f"template/{t.name}", t.model_dump(mode="json")) for t in file.templates
    ]
    deployments = [
        (f"deployment/{d.team}", d.model_dump(mode="json")) for d in file.deployments
    ]
    return templates + deployments


_CODES = {
    409: ExitCode.REFUSED,
    422: ExitCode.CONFIGURATION,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNKNOWN,
}


def _publish(
    operator: Operator, changes: list[tuple[str, Any]], after: int | None, json: bool
) -> None:
    results: list[dict[str, Any]] = []
    for number, (subject, body) in enumerate(changes, 1):
        reply = operator.publish(subject, body, after)
        value = reply.value or {}
        results.append({"subject": subject, **value})
        if not reply.ok:
            if json:
                print_json({"published": results})
            code = _CODES.get(reply.status, ExitCode.FAILED)
            fail(code, f"{subject}: {value.get('detail', reply.status)}")
        if not json:
            offset = value.get("offset")
            print(f"[{number}/{len(changes)}] {subject} in force at offset {offset}")
            sys.stdout.flush()
    if json:
        print_json({"published": results})


@config_app.command
def publish(
    path: Path,
    *,
    node: Node,
    after: Annotated[
        int | None, Parameter(help="Offset that must be in force, for one change.")
    ] = None,
    json: Json = False,
) -> None:
    """Publish all templates and deployments of a file.

    Parameters
    ----------
    path
        A configuration or site file.
    """
    changes = _changes(_checked(path))
    if after is not None and len(changes) != 1:
        fail(ExitCode.USAGE, "--after goes with a file that holds one change")
    _publish(Operator(node), changes, after, json)


@config_app.command
def remove(subject: str, *, node: Node, json: Json = False) -> None:
    """Remove a template or deployment.

    Parameters
    ----------
    subject
        Such as ``deployment/registry``.
    """
    _publish(Operator(node), [(subject, None)], None, json)


@config_app.command
def status(*, node: Node, json: Json = False) -> None:
    """Tell what is in force, and how far each node has come."""
    seen = Operator(node).get("/status")
    nodes = {seen["node"]: seen["configuration_next"]}
    nodes.update(
        {
            name: member["configuration_next"]
            for name, member in seen["members"].items()
            if member["status"] in ("alive", "leaving", "suspect")
        }
    )
    if json:
        print_json({"in_force": seen["in_force"], "nodes": nodes})
        return
    newest = max(nodes.values())
    lines = [f"{s}  offset {o}" for s, o in sorted(seen["in_force"].items())]
    for name, following in sorted(nodes.items()):
        state = "current" if following == newest else f"{newest - following} behind"
        lines.append(f"node {name}  folded up to {following}  {state}")
    print_lines(lines)


@config_app.command
def history(*, node: Node, json: Json = False) -> None:
    """Tell the newest changes and which of them came into force."""
    changes = Operator(node).get("/operator/history")["changes"]
    if json:
        print_json({"changes": changes})
        return
    for change in changes:
        verdict = change["verdict"]
        if verdict["won"]:
            text = "in force"
        elif verdict["problem"]:
            text = f"invalid: {verdict['problem']}"
        else:
            text = f"lost to offset {verdict['winner']}"
        print(f"{change['offset']:>6}  {change['subject']}  {text}")


@template_app.command(name="publish")
def publish_template(path: Path, *, node: Node, json: Json = False) -> None:
    """Publish the templates of a file, and none of its deployments.

    Parameters
    ----------
    path
        A configuration or site file.
    """
    file = _checked(path)
    changes = [c for c in _changes(file) if c[0].startswith("template/")]
    if not changes:
        fail(ExitCode.CONFIGURATION, f"{path} holds no template")
    _publish(Operator(node), changes, None, json)
