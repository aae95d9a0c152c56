"""Queues on which threads wait for instructions and replies of the tick thread."""

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
    """The tick thread did not reply before the timeout."""


class Mailbox:
    """Queue of instructions for one request.

    Notes
    -----
    A move is not queued with the other instructions. The thread that reads the
    events of the running attempt looks for a move between two reads.
    """

    def __init__(self) -> None:
        self._instructions: SimpleQueue[Instruction] = SimpleQueue()
        self._move_plan: MovePlan | None = None
        self._end_request: EndRequest | None = None

    @property
    def end_request(self) -> EndRequest | None:
        """Return the instruction with the final outcome; None if there is none yet."""
        return self._end_request

    def put(self, instruction: Instruction | MoveAttempt) -> None:
        """Add an instruction; only the tick thread calls this method."""
        if isinstance(instruction, MoveAttempt):
            self._move_plan = instruction.plan
            return
        if isinstance(instruction, EndRequest):
            self._end_request = instruction
        self._instructions.put(instruction)

    def take_move_plan(self) -> MovePlan | None:
        """Return the plan of a move and remove it; None if there is none."""
        plan, self._move_plan = self._move_plan, None
        return plan

    def next(self) -> Instruction:
        """Wait for the next instruction."""
        return self._instructions.get()


class Mailboxes:
    """Mailboxes of all requests, and reply queues of calls to the tick thread."""

    def __init__(self) -> None:
        self._by_request: dict[RequestId, Mailbox] = {}
        self._reply_queues: dict[CallId, SimpleQueue[Any]] = {}
        self._call_ids = count(1)
        self._lock = threading.Lock()

    def open(self, request: RequestId) -> Mailbox:
        """Create the mailbox of a request."""
        mailbox = Mailbox()
        with self._lock:
            self._by_request[request] = mailbox
        return mailbox

    def close(self, request: RequestId, mailbox: Mailbox) -> None:
        """Remove a mailbox, unless another one has replaced it."""
        with self._lock:
            if self._by_request.get(request) is mailbox:
                del self._by_request[request]

    def find(self, request: RequestId) -> Mailbox | None:
        """Return the mailbox of a request; None if no thread waits for it."""
        with self._lock:
            return self._by_request.get(request)

    def open_call(self) -> CallId:
        """Create a reply queue for a call and return the id of the call."""
        with self._lock:
            call = CallId(next(self._call_ids))
            self._reply_queues[call] = SimpleQueue()
        return call

    def wait(self, call: CallId, timeout_s: float) -> Any:
        """Wait for a call's reply.

        Raises
        ------
        CallTimedOut
            If there is no reply before the timeout.
        """
        with self._lock:
            replies = self._reply_queues[call]
        try:
            return replies.get(timeout=timeout_s)
        except Empty:
            raise CallTimedOut(f"no reply within {timeout_s} s") from None
        finally:
            with self._lock:
                self._reply_queues.pop(call, None)

    def reply(self, call: CallId, value: Any) -> None:
        """Put the reply to a call; drop it if no thread waits for it any more."""
        with self._lock:
            replies = self._reply_queues.get(call)
        if replies is not None:
            replies.put(value)
