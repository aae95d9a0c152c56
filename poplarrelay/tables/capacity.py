"""Demand for models, as the holder of the placement duty sees it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Demand"]


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests that run or wait for a model.

    Attributes
    ----------
    total, urgent : float
        All, and those that must be served even without one failure domain.
    """

    total: float
    urgent: float
