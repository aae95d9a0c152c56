"""The messages that one tick processes, by type."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import TypeVar, cast

from poplarrelay.messages.calls import (
    AttemptEnded,
    AttemptProgressed,
    CallerDisconnected,
    RequestArrived,
)
from poplarrelay.messages.peers import (
    AllPeersAnswered,
    ConfigurationAsked,
    ConfigurationReceived,
    CopiesAnswered,
    CopiesQueried,
    CopyAnswered,
    CopyReceived,
    ForwardAnswered,
    HandoverAnswered,
    HandoverReceived,
    KeyAnswered,
    KeyQueried,
    ProbeAnswered,
    ProbeFailed,
    ProbeReceived,
)
from poplarrelay.messages.platform import (
    HostsListed,
    LoadFailed,
    LoadReported,
    LogFailed,
    NoticeReceived,
    OrderAnswered,
    RecordsRead,
    StartedHostsListed,
    StartRefused,
)
from poplarrelay.messages.questions import (
    AddressesAsked,
    ChangeAsked,
    HistoryAsked,
    LookupAsked,
    ShutdownAsked,
    StatusAsked,
)

__all__ = ["Inbox", "Message"]

Message = (
    RequestArrived
    | AttemptProgressed
    | AttemptEnded
    | CallerDisconnected
    | RecordsRead
    | LogFailed
    | HostsListed
    | NoticeReceived
    | LoadReported
    | OrderAnswered
    | StartedHostsListed
    | StartRefused
    | LoadFailed
    | ProbeReceived
    | ProbeAnswered
    | ProbeFailed
    | KeyQueried
    | KeyAnswered
    | AllPeersAnswered
    | ForwardAnswered
    | AddressesAsked
    | StatusAsked
    | HistoryAsked
    | LookupAsked
    | ChangeAsked
    | ConfigurationAsked
    | ConfigurationReceived
    | CopyReceived
    | CopiesAnswered
    | CopiesQueried
    | CopyAnswered
    | HandoverReceived
    | HandoverAnswered
    | ShutdownAsked
)

MessageT = TypeVar("MessageT")


class Inbox:
    """The messages of one tick, by type and in order of arrival.

    Examples
    --------
    >>> inbox = Inbox([ShutdownAsked(5.0)])
    >>> [message.within_s for message in inbox.of(ShutdownAsked)]
    [5.0]
    """

    def __init__(self, messages: list[Message] | None = None) -> None:
        self._by_type: dict[type, list[Message]] = defaultdict(list)
        for message in messages or ():
            self._by_type[type(message)].append(message)

    def add_all(self, messages: Iterable[Message]) -> None:
        """Add messages that a system derived from others in the same tick."""
        for message in messages:
            self._by_type[type(message)].append(message)

    def of(self, kind: type[MessageT]) -> list[MessageT]:
        """Return the messages of one type."""
        return cast("list[MessageT]", self._by_type.get(kind, []))
