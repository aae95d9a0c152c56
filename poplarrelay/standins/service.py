"""Stand-in for a plain service, such as a booking desk."""

from __future__ import annotations

import hashlib
import os
import threading
import time

import cherrypy
from pydantic import BaseModel

from poplarrelay.standins.base import MAX_BODY_BYTES, StandIn, refuse
from poplarrelay.web.exchange import answer_json, read_body, read_json

__all__ = ["ServiceFaults", "ServiceStandIn"]

#: Exit code of a service that dies on request.
EXIT_DIED = 137


class ServiceFaults(BaseModel):
    """Faults of a service.

    Attributes
    ----------
    refuse : bool
        Answer 429 before anything is done.
    slow_s : float
        Seconds that a call takes.
    lose_answers : int
        Run so many calls and then keep their answers back for `lost_s`.
    die_after_run : bool
        Run a call and end the process before it is answered.
    """

    refuse: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lost_s: float = 30.0
    die_after_run: bool = False


class NoticeBody(BaseModel):
    """The service is told that it goes."""

    remaining_s: float | None


class ServiceStandIn(StandIn[ServiceFaults]):
    """Runs calls and counts how often each ran.

    Parameters
    ----------
    endpoint : str
        Its name.
    slots : int
        Calls that run at once.
    call_s : float
        Seconds that a call takes.

    Notes
    -----
    A call is known by its method, path and body, so a test that gives each booking
    a body of its own sees a doubled one.
    """

    def __init__(self, endpoint: str, slots: int, call_s: float) -> None:
        super().__init__(ServiceFaults())
        self._endpoint = endpoint
        self._slots = slots
        self._call_s = call_s
        self._running = 0
        self._free = threading.Semaphore(slots)
        self._runs: dict[str, int] = {}
        self._leaving_at: float | None = None

    @cherrypy.expose
    def load(self) -> bytes:
        """Report the load."""
        leaving = self._leaving_at
        left = None if leaving is None else max(0.0, leaving - time.monotonic())
        return answer_json(
            {
                "endpoint": self._endpoint,
                "running": min(self._running, self._slots),
                "queued": max(0, self._running - self._slots),
                "slots": self._slots,
                "queued_tokens": 0,
                "prefill_tokens_per_s": 1.0,
                "step_s": self._call_s,
                "leaving_s": left,
            }
        )

    @cherrypy.expose
    def notice(self) -> bytes:
        """Take notice that this service goes."""
        remaining = read_json(NoticeBody, MAX_BODY_BYTES).remaining_s
        now = time.monotonic()
        self._leaving_at = None if remaining is None else now + remaining
        return answer_json({"status": "ok"})

    @cherrypy.expose
    def runs(self) -> bytes:
        """Tell how often each call ran."""
        with self.lock:
            return answer_json({"runs": self._runs})

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Run a call."""
        faults = self.current_faults
        if faults.refuse:
            raise refuse(429, "busy", 0.5)
        body = read_body(MAX_BODY_BYTES)
        method = cherrypy.request.method
        name = call_name(method, "/" + "/".join(path), body)
        with self.lock:
            self._running += 1
        try:
            with self._free:
                number = self._run(name)
                time.sleep(self._call_s + faults.slow_s)
        finally:
            with self.lock:
                self._running -= 1
        if faults.die_after_run:
            os._exit(EXIT_DIED)
        if self._loses_answer():
            time.sleep(faults.lost_s)
        return answer_json({"confirmed": name, "run": number})

    def _run(self, name: str) -> int:
        with self.lock:
            self._runs[name] = self._runs.get(name, 0) + 1
            return self._runs[name]

    def _loses_answer(self) -> bool:
        with self.lock:
            if self.current_faults.lose_answers <= 0:
                return False
            self.current_faults.lose_answers -= 1
            return True


def call_name(method: str, path: str, body: bytes) -> str:
    """Return the name under which a call's runs are counted."""
    digest = hashlib.blake2b(body, digest_size=8).hexdigest()
    return f"{method} {path} {digest}"
