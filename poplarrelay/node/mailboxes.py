"""Where threads wait for what the tick thread decides."""

from __future__ import annotations

import threading
from itertools import count
from queue import Empty, SimpleQueue
from typing import Any

from poplarrelay.exception import PoplarrelayError
from poplarrelay.identifiers import RequestId
from poplarrelay.messages.effects import (
    AcceptDeferred,
    EndRequest,
    MoveAttempt,
    RejectRequest,
    RunAttempt,
)
from poplarrelay.messages.questions import CallId
from poplarrelay.tables.requests import MovePlan

__all__ = ["CallTimedOut", "Instruction", "Mailbox", "Mailboxes"]

Instruction = RunAttempt | EndRequest | RejectRequest | AcceptDeferred


class CallTimedOut(PoplarrelayError):
    """The tick thread did not answer in time."""


class Mailbox:
    """Instructions for one request.

    Notes
    -----
    A move does not queue behind other instructions: the thread that reads the
    running attempt looks for it between two events.
    """

    def __init__(self) -> None:
        self._instructions: SimpleQueue[Instruction] = SimpleQueue()
        self._plan: MovePlan | None = None
        self._concluded: EndRequest | None = None

    @property
    def concluded(self) -> EndRequest | None:
        """Return the final outcome, if it is known already."""
        return self._concluded

    def put(self, instruction: Instruction | MoveAttempt) -> None:
        """Add an instruction; called by the tick thread."""
        if isinstance(instruction, MoveAttempt):
            self._plan = instruction.plan
            return
        if isinstance(instruction, EndRequest):
            self._concluded = instruction
        self._instructions.put(instruction)

    def take_plan(self) -> MovePlan | None:
        """Return the plan to move, once."""
        plan, self._plan = self._plan, None
        return plan

    def next(self) -> Instruction:
        """Wait for the next instruction."""
        return self._instructions.get()


class Mailboxes:
    """All mailboxes, and the calls that wait for one reply."""

    def __init__(self) -> None:
        self._by_request: dict[RequestId, Mailbox] = {}
        self._calls: dict[CallId, SimpleQueue[Any]] = {}
        self._ids = count(1)
        self._lock = threading.Lock()

    def open(self, request: RequestId) -> Mailbox:
        """Make the mailbox of a request."""
        mailbox = Mailbox()
        with self._lock:
            self._by_request[request] = mailbox
        return mailbox

    def close(self, request: RequestId, mailbox: Mailbox) -> None:
        """Forget a mailbox, unless another one took its place."""
        with self._lock:
            if self._by_request.get(request) is mailbox:
                del self._by_request[request]

    def find(self, request: RequestId) -> Mailbox | None:
        """Return the mailbox of a request, None if nobody waits."""
        with self._lock:
            return self._by_request.get(request)

    def open_call(self) -> CallId:
        """Make an id for a call."""
        with self._lock:
            call = CallId(next(self._ids))
            self._calls[call] = SimpleQueue()
        return call

    def wait(self, call: CallId, timeout_s: float) -> Any:
        """Wait for a call's reply.

        Raises
        ------
        CallTimedOut
            If there is none in time.
        """
        with self._lock:
            replies = self._calls[call]
        try:
            return replies.get(timeout=timeout_s)
        except Empty:
            raise CallTimedOut(f"no reply within {timeout_s} s") from None
        finally:
            with self._lock:
                self._calls.pop(call, None)

    def reply(self, call: CallId, value: Any) -> None:
        """Give a call its reply; dropped if nobody waits any more."""
        with self._lock:
            replies = self._calls.get(call)
        if replies is not None:
            replies.put(value)
