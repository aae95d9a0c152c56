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
    ConfigurationReceived,
    ConfigurationRequested,
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
    AddressesRequested,
    ChangeRequested,
    HistoryRequested,
    LookupRequested,
    ShutdownRequested,
    StatusRequested,
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
    | AddressesRequested
    | StatusRequested
    | HistoryRequested
    | LookupRequested
    | ChangeRequested
    | ConfigurationRequested
    | ConfigurationReceived
    | CopyReceived
    | CopiesAnswered
    | CopiesQueried
    | CopyAnswered
    | HandoverReceived
    | HandoverAnswered
    | ShutdownRequested
)

MessageT = TypeVar("MessageT")


class Inbox:
    """The messages of one tick, by type and in order of arrival.

    Examples
    --------
    >>> inbox = Inbox([ShutdownRequested(5.0)])
    >>> [message.within_s for message in inbox.of(ShutdownRequested)]
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
