"""Eras of the store: each restore from an older copy begins one.

Notes
-----
A restored store has lost the newest records, and gives their offsets to others. An
offset is therefore comparable only to offsets of the same era, and nodes hear of an era
at different times.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from poplarrelay.identifiers import Offset, StoreEra

__all__ = [
    "FIRST_ERA",
    "MAX_ERA",
    "EraTracker",
    "ordered_offset",
    "same_era",
    "same_position",
]

_LOG = logging.getLogger("poplarrelay.entry.era")

#: Era of a store that states none.
FIRST_ERA = StoreEra(0)
#: Largest valid era. It keeps tokens and ordered offsets within 64 bits, and a corrupt
#: value must not make all later eras look older.
MAX_ERA = 1 << 20
#: Bits of an ordered offset that hold the offset within its era.
OFFSET_BITS = 40
_OFFSET_MASK = (1 << OFFSET_BITS) - 1


def ordered_offset(era: StoreEra, offset: Offset) -> Offset:
    """Return an offset that is comparable over eras: a later era makes it larger.

    Examples
    --------
    >>> ordered_offset(StoreEra(0), Offset(7))
    7
    >>> ordered_offset(StoreEra(2), Offset(3)) > ordered_offset(StoreEra(1), Offset(7))
    True
    """
    return Offset((era << OFFSET_BITS) | offset)


def same_era(one: Offset, other: Offset) -> bool:
    """Return whether two ordered offsets belong to the same era.

    Examples
    --------
    >>> one, other = (ordered_offset(StoreEra(era), Offset(7)) for era in (1, 2))
    >>> same_era(one, other), same_era(one, one)
    (False, True)
    """
    return one >> OFFSET_BITS == other >> OFFSET_BITS


def same_position(one: Offset, other: Offset) -> bool:
    """Return whether two ordered offsets are the same number, in whatever eras.

    Examples
    --------
    >>> one, other = (ordered_offset(StoreEra(era), Offset(7)) for era in (1, 2))
    >>> same_position(one, other)
    True
    """
    return one & _OFFSET_MASK == other & _OFFSET_MASK


class EraTracker:
    """Latest era of the store that this node has heard of.

    Parameters
    ----------
    time_of_day : callable
        Returns the time of day that the nodes agree on.

    Attributes
    ----------
    on_restore : callable
        Called when a later era replaces a known one.
    """

    def __init__(self, time_of_day: Callable[[], float] = lambda: 0.0) -> None:
        self._time_of_day = time_of_day
        self._latest: StoreEra | None = None
        self._seen_at = 0.0
        self.on_restore: Callable[[], None] = lambda: None

    @property
    def latest(self) -> StoreEra:
        """Return the latest era, 0 before any has been stated."""
        return FIRST_ERA if self._latest is None else self._latest

    @property
    def stated(self) -> bool:
        """Return whether the store states its era."""
        return self._latest is not None

    @property
    def seen_at(self) -> float:
        """Return the time of day, in seconds, at which this node heard of the era."""
        return self._seen_at

    def observe(self, era: StoreEra, source: str) -> bool:
        """Record a stated era, and return whether it is the latest one."""
        before = self._latest
        if before is not None and era <= before:
            return era == before
        self._latest = era
        self._seen_at = self._time_of_day()
        _LOG.log(
            logging.INFO if before is None else logging.WARNING,
            "store era",
            extra={"era": era, "before": before, "source": source},
        )
        if before is not None:
            self.on_restore()
        return True

    def accepts(self, era: object, source: str) -> bool:
        """Return whether offsets that a peer has sent belong to the latest era.

        Parameters
        ----------
        era : object
            Era that the peer's message states, None if it states none.
        source : str
            The peer, for the log.

        Raises
        ------
        ValueError
            If the era is malformed.
        """
        if era is None:
            return self.latest == FIRST_ERA
        if isinstance(era, bool) or not isinstance(era, int):
            raise ValueError(f"invalid era: {era!r}")
        if not 0 <= era <= MAX_ERA:
            raise ValueError(f"invalid era: {era!r}")
        return self.observe(StoreEra(era), f"peer {source}")
