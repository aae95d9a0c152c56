"""Common parts of the stand-ins: faults set by HTTP, health, and a main loop."""

from __future__ import annotations

import os
import signal
import threading
from typing import Any, Generic, TypeVar

import cherrypy
from pydantic import BaseModel

from poplarrelay.web.exchange import answer_json, read_json, require_method
from poplarrelay.web.listener import Listener, ListenerLimits
from poplarrelay.web.problems import Problem, ProblemResponse

__all__ = ["StandIn", "refuse", "run_stand_in"]

#: Exit code of a stand-in whose host is reclaimed.
EXIT_RECLAIMED = 137
MAX_BODY_BYTES = 64_000_000

FaultsT = TypeVar("FaultsT", bound=BaseModel)


def refuse(
    status: int, slug: str, retry_after_s: float | None = None
) -> ProblemResponse:
    """Return the exception that answers a call with an error status.

    `slug` is the type of the problem and also its text.
    """
    return ProblemResponse(Problem(status, slug, slug, retry_after_s=retry_after_s))


class StandIn(Generic[FaultsT]):
    """Base class of the CherryPy roots of the stand-ins.

    Parameters
    ----------
    faults : pydantic.BaseModel
        Initial faults. The default values of a faults class mean no fault.

    Attributes
    ----------
    lock : threading.RLock
        Protects the state of the stand-in.
    """

    def __init__(self, faults: FaultsT) -> None:
        self._faults = faults
        self.lock = threading.RLock()

    @property
    def current_faults(self) -> FaultsT:
        """Return the current faults."""
        return self._faults

    def faults_changed(self) -> None:
        """React to changed faults; the default does nothing."""

    @cherrypy.expose
    def faults(self) -> bytes:
        """Replace all faults (PUT) or return them."""
        require_method("GET", "PUT")
        if cherrypy.request.method == "PUT":
            with self.lock:
                self._faults = read_json(type(self._faults), MAX_BODY_BYTES)
            self.faults_changed()
        return answer_json(self._faults.model_dump())

    @cherrypy.expose
    def exit(self) -> None:
        """End the process immediately, as the reclaim of its host does."""
        os._exit(EXIT_RECLAIMED)

    @cherrypy.expose
    def health(self) -> bytes:
        """Report that the stand-in is running."""
        return answer_json({"status": "ok"})


def run_stand_in(host: str, port: int, root: Any, threads: int = 64) -> None:
    """Serve a stand-in until the process gets SIGTERM or SIGINT."""
    threading.stack_size(512 * 1024)
    limits = ListenerLimits(threads, max_body_bytes=MAX_BODY_BYTES, sender_timeout_s=60)
    listener = Listener(host, port, root, limits)
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    listener.start()
    while not stopping.wait(timeout=1.0):
        continue
    listener.stop()
