"""``poplarrelay config`` and ``poplarrelay template``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from poplarrelay.commands.operators import OperatorClient
from poplarrelay.commands.output import ExitCode, fail, print_json, print_lines
from poplarrelay.configuration.resolve import check_file
from poplarrelay.configuration.schema import ConfigurationFile
from poplarrelay.entry.settings import EntrySettings
from poplarrelay.exception import SettingsError
from poplarrelay.settings import NodeSettings
from poplarrelay.testing.site import Site

__all__ = ["config_app", "template_app"]

config_app = App(
    name="config", help="Check and publish the configuration, and show its state."
)
template_app = App(name="template", help="Publish templates.")

Node = Annotated[
    str, Parameter(help="Address at which a node serves peers and operators.")
]
Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


def _read_configuration(path: Path) -> ConfigurationFile:
    """Return the configuration in a configuration file or a site file.

    If the file is neither, end the process with the shorter of the two fault lists.
    """
    try:
        return ConfigurationFile.from_file(path)
    except SettingsError as error:
        try:
            return Site.from_file(path).configuration
        except SettingsError as site_error:
            reported = min(error, site_error, key=lambda each: len(each.faults))
            fail(
                ExitCode.CONFIGURATION,
                *(str(fault) for fault in reported.faults),
            )


def _read_valid_configuration(path: Path) -> ConfigurationFile:
    file = _read_configuration(path)
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
    """Check a configuration, site or settings file and report every fault.

    Parameters
    ----------
    path
        File to check.
    """
    if settings or entry:
        try:
            node_settings: EntrySettings | NodeSettings = (
                EntrySettings.from_file(path) if entry else NodeSettings.from_file(path)
            )
        except SettingsError as error:
            fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
        text = f"{path}: settings of node {node_settings.node} are valid"
        print_json({"valid": True}) if json else print(text)
        return
    file = _read_valid_configuration(path)
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


_EXIT_CODES = {
    409: ExitCode.REFUSED,
    422: ExitCode.CONFIGURATION,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNKNOWN,
}


def _publish(
    operator: OperatorClient,
    changes: list[tuple[str, Any]],
    after: int | None,
    json: bool,
) -> None:
    results: list[dict[str, Any]] = []
    for number, (subject, body) in enumerate(changes, 1):
        reply = operator.publish(subject, body, after)
        value = reply.value or {}
        results.append({"subject": subject, **value})
        if not reply.ok:
            if json:
                print_json({"published": results})
            code = _EXIT_CODES.get(reply.status, ExitCode.FAILED)
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
        int | None,
        Parameter(help="Publish a single change only if this offset is in force."),
    ] = None,
    json: Json = False,
) -> None:
    """Publish all templates and deployments in a file.

    Parameters
    ----------
    path
        A configuration or site file.
    """
    changes = _changes(_read_valid_configuration(path))
    if after is not None and len(changes) != 1:
        fail(ExitCode.USAGE, "--after requires a file with exactly one change")
    _publish(OperatorClient(node), changes, after, json)


@config_app.command
def remove(subject: str, *, node: Node, json: Json = False) -> None:
    """Remove a template or deployment.

    Parameters
    ----------
    subject
        Name of the template or deployment, such as ``deployment/registry``.
    """
    _publish(OperatorClient(node), [(subject, None)], None, json)


@config_app.command
def status(*, node: Node, json: Json = False) -> None:
    """Print the configuration in force and the log offset that each node reached."""
    node_status = OperatorClient(node).get("/status")
    next_offsets = {node_status["node"]: node_status["configuration_next"]}
    next_offsets.update(
        {
            name: member["configuration_next"]
            for name, member in node_status["members"].items()
            if member["status"] in ("alive", "leaving", "suspect")
        }
    )
    if json:
        print_json({"in_force": node_status["in_force"], "nodes": next_offsets})
        return
    newest = max(next_offsets.values())
    lines = [
        f"{subject}  offset {offset}"
        for subject, offset in sorted(node_status["in_force"].items())
    ]
    for name, next_offset in sorted(next_offsets.items()):
        state = "current" if next_offset == newest else f"{newest - next_offset} behind"
        lines.append(f"node {name}  folded up to {next_offset}  {state}")
    print_lines(lines)


@config_app.command
def history(*, node: Node, json: Json = False) -> None:
    """Print the newest changes and whether each one came into force."""
    changes = OperatorClient(node).get("/operator/history")["changes"]
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
    """Publish the templates in a file but not its deployments.

    Parameters
    ----------
    path
        A configuration or site file.
    """
    file = _read_valid_configuration(path)
    changes = [c for c in _changes(file) if c[0].startswith("template/")]
    if not changes:
        fail(ExitCode.CONFIGURATION, f"{path} contains no template")
    _publish(OperatorClient(node), changes, None, json)
