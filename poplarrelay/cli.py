"""Define the command line of poplarrelay and start its commands."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from poplarrelay import __version__
from poplarrelay.commands.call import call_app
from poplarrelay.commands.config import config_app, template_app
from poplarrelay.commands.explain import explain
from poplarrelay.commands.losses import losses
from poplarrelay.commands.operators import OperatorClient
from poplarrelay.commands.output import ExitCode, fail, print_json, print_lines
from poplarrelay.commands.replay import replay, trace_app
from poplarrelay.commands.soak import soak_command
from poplarrelay.commands.standin import standin_app
from poplarrelay.exception import SettingsError

__all__ = ["app", "main"]

app = App(
    name="poplarrelay",
    help="Serve model and application traffic on reclaimable hosts.",
    version=__version__,
)
app.command(config_app)
app.command(template_app)
app.command(call_app)
app.command(standin_app)
app.command(trace_app)
app.command(replay)
app.command(explain)
app.command(losses)
app.command(soak_command, name="soak")

Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


@app.command
def node(*, settings: Path) -> None:
    """Run a node until it is stopped.

    Parameters
    ----------
    settings
        JSON file with the node's settings.
    """
    from poplarrelay.logs import start_logging
    from poplarrelay.node.process import Node
    from poplarrelay.settings import NodeSettings

    try:
        node_settings = NodeSettings.from_file(settings)
    except SettingsError as error:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
    listener = start_logging(node_settings.node, node_settings.log_level)
    running_node = Node.from_settings(node_settings)
    running_node.install_signals()
    try:
        running_node.start()
    except OSError as error:
        listener.stop()
        fail(ExitCode.UNREACHABLE, f"cannot listen: {error}")
    code = running_node.wait()
    listener.stop()
    sys.stdout.flush()
    # A normal interpreter exit waits without a time limit for threads whose requests
    # hang. All output is flushed at this point, so an immediate exit loses nothing.
    os._exit(code)


@app.command
def entry(*, settings: Path) -> None:
    """Run an entry node on an operator's platform until it is stopped.

    Parameters
    ----------
    settings
        JSON file with the node's settings.
    """
    from poplarrelay.entry.command import entry as run_entry

    run_entry(settings=settings)


@app.command
def status(
    *,
    node: Annotated[
        str, Parameter(help="Address at which a node serves peers and operators.")
    ],
    json: Json = False,
) -> None:
    """Print a node's view of itself, the other nodes and the endpoints."""
    node_status = OperatorClient(node).get("/status")
    if json:
        print_json(node_status)
        return
    lines = [
        f"node {node_status['node']}  {node_status['phase']}  "
        f"{'ready' if node_status['ready'] else 'not ready'}  "
        f"domain {node_status['failure_domain']}  "
        f"log {'available' if node_status['log_available'] else 'unavailable'}",
    ]
    for name, member in sorted(node_status["members"].items()):
        ready = "ready" if member["ready"] else "not ready"
        lines.append(
            f"peer {name}  {member['status']}  {ready}  "
            f"domain {member['failure_domain']}"
        )
    for name, endpoint in sorted(node_status["endpoints"].items()):
        lines.append(
            f"endpoint {name}  {endpoint['state']}  "
            f"domain {endpoint['failure_domain']}  running {endpoint['running']}"
        )
    counts = "  ".join(f"{k} {v}" for k, v in node_status["requests"].items() if v)
    lines.append(f"requests  {counts or 'none'}")
    print_lines(lines)


@app.command
def version(*, json: Json = False) -> None:
    """Print the version."""
    print_json({"version": __version__}) if json else print(__version__)


def main() -> None:
    """Run the command line."""
    app()
