"""What the listeners' handlers use: ask the tick thread, run sessions."""

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

#: Seconds within which the tick thread answers a question.
CALL_TIMEOUT_S = 5.0


class Gateway:
    """The way from handlers to the tick thread and to the endpoints.

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
        self._cancels = ThreadPoolExecutor(2, "cancel")
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
        """Return an id that names its home node and incarnation."""
        serial = f"{next(self._serial)}-{secrets.token_hex(6)}"
        return RequestId(f"r.{self._settings.node}.{self._incarnation}.{serial}")

    def submit(self, message: Message) -> None:
        """Give a message to the tick thread."""
        self._loop.submit(message)

    def ask(self, make: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Ask the tick thread and wait for its reply.

        Parameters
        ----------
        make : callable
            Returns the message for a call id.
        timeout_s : float
            Seconds to wait.

        Raises
        ------
        CallTimedOut
            If there is no reply in time.
        """
        call: CallId = self._mailboxes.open_call()
        self._loop.submit(make(call))
        return self._mailboxes.wait(call, timeout_s)

    def serve(self, arrived: RequestArrived) -> SessionEvents:
        """Bring a request and return its events."""
        mailbox = self._mailboxes.open(arrived.id)
        session = Session(self, arrived.id, mailbox)
        self._loop.submit(arrived)
        return SessionEvents(self._mailboxes, arrived.id, mailbox, session)

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt without waiting for it."""
        self._cancels.submit(self.engine.cancel, attempt)

    def drop(self, why: str) -> None:
        """Count an event that was not passed on."""
        self._metrics.drop(why)

    def received(self) -> float:
        """Return the monotonic time at which the current request came."""
        queued_at = cherrypy.request.wsgi_environ.get(QUEUED_AT, time.monotonic())
        return self._arrivals.arrived(queued_at)


class SessionEvents:
    """Events of one session; closing it tells the tick thread.

    Notes
    -----
    An iterator class and not a generator, since a generator that was never
    started would not run its clean-up when it is closed.
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
        """Stop the session; a request that has not ended is given up."""
        self._events.close()  # type: ignore[attr-defined]
        self._mailboxes.close(self._request, self._mailbox)
