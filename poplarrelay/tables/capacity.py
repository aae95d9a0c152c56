"""Demand for models, computed by the holder of the placement duty."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Demand"]


@dataclass(frozen=True, slots=True)
class Demand:
    """The number of requests that run at a model or wait for it.

    Attributes
    ----------
    total : float
        All requests.
    urgent : float
        The requests that must be served even if one failure domain fails.
    """

    total: float
    urgent: float
