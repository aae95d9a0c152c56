"""Notices of endpoints: that they leave, want a pause, or are brittle."""

from __future__ import annotations

from dataclasses import dataclass, field

from poplarrelay.entry.brittleness import StatedBrittleness

__all__ = ["EndpointNotice"]


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What the head of an endpoint's answer states about new requests.

    Attributes
    ----------
    leaving : bool
        Whether the endpoint is leaving.
    backoff_s : float or None
        Seconds for which the endpoint wants no more requests from this node, None if it
        asks for no pause.
    readable : bool
        False if the answer asks for a pause without a valid length.
    brittleness : StatedBrittleness
        How many rejections the endpoint survives.
    """

    leaving: bool = False
    backoff_s: float | None = None
    readable: bool = True
    brittleness: StatedBrittleness = field(default_factory=StatedBrittleness)
