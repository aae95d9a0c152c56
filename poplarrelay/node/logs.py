"""Log lines of a node's decisions."""

from __future__ import annotations

import logging

from poplarrelay.messages.effects import LogDecision

__all__ = ["log_decision"]

_LOG = logging.getLogger("poplarrelay.decision")


def log_decision(decided: LogDecision) -> None:
    """Write the line of a routing, placement or other decision."""
    if _LOG.isEnabledFor(logging.INFO):
        _LOG.info(decided.decision.value, extra=dict(decided.fields))
