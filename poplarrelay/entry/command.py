"""The command that runs an entry node."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from poplarrelay.commands.output import ExitCode, fail
from poplarrelay.entry.process import EntryNode
from poplarrelay.entry.settings import EntrySettings
from poplarrelay.entry.signals import ProcessSignals
from poplarrelay.exception import SettingsError
from poplarrelay.logs import start_logging

__all__ = ["entry", "run_entry"]

#: Messages of which callers and peers can cause any number without being served.
LIMITED_MESSAGES = (
    "refused",
    "request failed",
    "response cut",
    "tunnel refused",
    "unreadable news",
    "unreadable request",
)


def entry(*, settings: Path) -> None:
    """Run an entry node on an operator's platform until it gets a stop signal.

    Parameters
    ----------
    settings
        JSON file with the node's settings.
    """
    run_entry(settings, ProcessSignals.install())


def run_entry(settings: Path, signals: ProcessSignals) -> None:
    """Run an entry node.

    Parameters
    ----------
    settings : pathlib.Path
        JSON file with the node's settings.
    signals : ProcessSignals
        Handlers of the process's signals.
    """
    try:
        checked = EntrySettings.from_file(settings)
    except SettingsError as error:
        fail(ExitCode.CONFIGURATION, *(str(fault) for fault in error.faults))
    listener = start_logging(
        checked.node, checked.log_level, limited_messages=LIMITED_MESSAGES
    )
    node = EntryNode.from_settings(checked, settings)
    try:
        asyncio.run(node.run(signals))
    except OSError as error:
        listener.stop()
        fail(ExitCode.UNREACHABLE, f"cannot listen: {error}")
    finally:
        signals.ignore()
    listener.stop()
    sys.stdout.flush()
