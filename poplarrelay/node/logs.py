"""Write a node's decisions to its log."""

from __future__ import annotations

import logging

from poplarrelay.messages.effects import LogDecision

__all__ = ["log_decision"]

_LOG = logging.getLogger("poplarrelay.decision")


def log_decision(effect: LogDecision) -> None:
    """Write the log line of a decision, such as routing or placement."""
    if _LOG.isEnabledFor(logging.INFO):
        _LOG.info(effect.decision.value, extra=dict(effect.fields))
