"""The command line of poplarrelay."""

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
from poplarrelay.commands.operators import Operator
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
    """Run a node until it is told to leave.

    Parameters
    ----------
    settings
        JSON file with the node's settings.
    """
    from poplarrelay.logs import start_logging
    from poplarrelay.node.process import Node
    from poplarrelay.settings import NodeSettings

    try:
        checked = NodeSettings.from_file(settings)
    except SettingsError as error:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
    listener = start_logging(checked.node, checked.log_level)
    running = Node.from_settings(checked)
    running.install_signals()
    try:
        running.start()
    except OSError as error:
        listener.stop()
        fail(ExitCode.UNREACHABLE, f"cannot listen: {error}")
    code = running.wait()
    listener.stop()
    sys.stdout.flush()
    # The interpreter's own end waits for threads whose requests hang, without bound.
    # All that may still be written has been; nothing else of the node must last.
    os._exit(code)


@app.command
def entry(*, settings: Path) -> None:
    """Run an entry node on an operator's platform until it is told to leave.

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
    node: Annotated[str, Parameter(help="Address of a node's second listener.")],
    json: Json = False,
) -> None:
    """Tell a node's view of itself, the other nodes and the endpoints."""
    seen = Operator(node).get("/status")
    if json:
        print_json(seen)
        return
    lines = [
        f"node {seen['node']}  {seen['phase']}  "
        f"{'ready' if seen['ready'] else 'not ready'}  "
        f"domain {seen['failure_domain']}  "
        f"log {'available' if seen['log_available'] else 'unavailable'}",
    ]
    for name, member in sorted(seen["members"].items()):
        ready = "ready" if member["ready"] else "not ready"
        lines.append(
            f"peer {name}  {member['status']}  {ready}  "
            f"domain {member['failure_domain']}"
        )
    for name, endpoint in sorted(seen["endpoints"].items()):
        lines.append(
            f"endpoint {name}  {endpoint['state']}  "
            f"domain {endpoint['failure_domain']}  running {endpoint['running']}"
        )
    counts = "  ".join(f"{k} {v}" for k, v in seen["requests"].items() if v)
    lines.append(f"requests  {counts or 'none'}")
    print_lines(lines)


@app.command
def version(*, json: Json = False) -> None:
    """Print the version."""
    print_json({"version": __version__}) if json else print(__version__)


def main() -> None:
    """Run the command line."""
    app()
