"""Access of the listeners' handlers to the tick thread and to sessions."""

from __future__ import annotations

import secrets
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from typing import Any

import cherrypy

from poplarrelay.engines.protocols import Engine, PlainService
from poplarrelay.identifiers import RequestId
from poplarrelay.messages.calls import RequestArrived
from poplarrelay.messages.inbox import Message
from poplarrelay.messages.questions import CallId
from poplarrelay.node.arrivals import ArrivalClock
from poplarrelay.node.loop import TickLoop
from poplarrelay.node.mailboxes import Mailbox, Mailboxes
from poplarrelay.node.metrics import NodeMetrics
from poplarrelay.node.sessions import CallerEvent, Session
from poplarrelay.settings import NodeSettings
from poplarrelay.tables.requests import Attempt
from poplarrelay.web.listener import QUEUED_AT

__all__ = ["Gateway"]

#: Seconds in which the tick thread must reply to a call.
CALL_TIMEOUT_S = 5.0


class Gateway:
    """Connects request handlers with the tick thread and the endpoints.

    Attributes
    ----------
    engine : Engine
        Client of model engines.
    service : PlainService
        Client of plain services.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: str,
        loop: TickLoop,
        mailboxes: Mailboxes,
        metrics: NodeMetrics,
        arrivals: ArrivalClock,
        engine: Engine,
        service: PlainService,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._loop = loop
        self._mailboxes = mailboxes
        self._metrics = metrics
        self._arrivals = arrivals
        self._serial = count(1)
        self._cancel_pool = ThreadPoolExecutor(2, "cancel")
        self.engine = engine
        self.service = service

    @property
    def settings(self) -> NodeSettings:
        """Return the node's settings."""
        return self._settings

    @property
    def metrics(self) -> NodeMetrics:
        """Return the node's metrics."""
        return self._metrics

    def new_request_id(self) -> RequestId:
        """Return a new id that names this node, its owner, and the incarnation."""
        serial = f"{next(self._serial)}-{secrets.token_hex(6)}"
        return RequestId(f"r.{self._settings.node}.{self._incarnation}.{serial}")

    def submit(self, message: Message) -> None:
        """Queue a message for the tick thread."""
        self._loop.submit(message)

    def call(self, make_message: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Send a message to the tick thread and wait for its reply.

        Parameters
        ----------
        make_message : callable
            Function that returns the message for a call id.
        timeout_s : float
            Seconds to wait.

        Raises
        ------
        CallTimedOut
            If there is no reply in time.
        """
        call_id: CallId = self._mailboxes.open_call()
        self._loop.submit(make_message(call_id))
        return self._mailboxes.wait(call_id, timeout_s)

    def serve(self, arrival: RequestArrived) -> SessionEvents:
        """Submit a request to the tick thread and return the events of its session."""
        mailbox = self._mailboxes.open(arrival.id)
        session = Session(self, arrival.id, mailbox)
        self._loop.submit(arrival)
        return SessionEvents(self._mailboxes, arrival.id, mailbox, session)

    def cancel(self, attempt: Attempt) -> None:
        """Start to cancel an attempt without waiting for the result."""
        self._cancel_pool.submit(self.engine.cancel, attempt)

    def count_dropped(self, reason: str) -> None:
        """Count an event of an endpoint that was not forwarded to the caller."""
        self._metrics.count_dropped(reason)

    def arrival_time(self) -> float:
        """Return the monotonic time at which the current HTTP request arrived."""
        queued_at = cherrypy.request.wsgi_environ.get(QUEUED_AT, time.monotonic())
        return self._arrivals.arrival_time(queued_at)


class SessionEvents:
    """Iterator over the events of a session.

    Notes
    -----
    This is a class, because the ``finally`` block of a generator does not run if the
    generator is closed before its first step.
    """

    def __init__(
        self,
        mailboxes: Mailboxes,
        request: RequestId,
        mailbox: Mailbox,
        session: Session,
    ) -> None:
        self._mailboxes = mailboxes
        self._mailbox = mailbox
        self._request = request
        self._events = session.events()

    def __iter__(self) -> SessionEvents:
        return self

    def __next__(self) -> CallerEvent:
        return next(self._events)

    def close(self) -> None:
        """Close the session, which abandons a request that has not ended."""
        self._events.close()  # type: ignore[attr-defined]
        self._mailboxes.close(self._request, self._mailbox)
