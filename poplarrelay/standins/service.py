"""Stand-in for a service that is not a model engine, such as a booking desk."""

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

#: Exit code of a service that ends because of a fault.
EXIT_DIED = 137


class ServiceFaults(BaseModel):
    """Faults of a service.

    Attributes
    ----------
    refuse : bool
        Answer 429 without running the call.
    slow_s : float
        Extra seconds that a call takes.
    lose_answers : int
        Number of calls that run but are answered only after `lost_s` seconds.
    die_after_run : bool
        End the process after a call has run and before it is answered.
    """

    refuse: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lost_s: float = 30.0
    die_after_run: bool = False


class NoticeBody(BaseModel):
    """Notice that the service leaves in `remaining_s`; None cancels the notice."""

    remaining_s: float | None


class ServiceStandIn(StandIn[ServiceFaults]):
    """A service that runs calls and counts the runs of each.

    Parameters
    ----------
    endpoint : str
        Name of the service in its load reports.
    slots : int
        Number of calls that can run at the same time.
    call_s : float
        Seconds that a call takes.

    Notes
    -----
    A call is identified by its method, path and body. A test that gives each booking
    a different body can detect a booking that ran twice.
    """

    def __init__(self, endpoint: str, slots: int, call_s: float) -> None:
        super().__init__(ServiceFaults())
        self._endpoint = endpoint
        self._slots = slots
        self._call_s = call_s
        self._running = 0
        self._free_slots = threading.Semaphore(slots)
        self._runs: dict[str, int] = {}
        self._leaving_at: float | None = None

    @cherrypy.expose
    def load(self) -> bytes:
        """Return the load."""
        leaving = self._leaving_at
        leaving_s = None if leaving is None else max(0.0, leaving - time.monotonic())
        return answer_json(
            {
                "endpoint": self._endpoint,
                "running": min(self._running, self._slots),
                "queued": max(0, self._running - self._slots),
                "slots": self._slots,
                "queued_tokens": 0,
                "prefill_tokens_per_s": 1.0,
                "step_s": self._call_s,
                "leaving_s": leaving_s,
            }
        )

    @cherrypy.expose
    def notice(self) -> bytes:
        """Accept or cancel a notice that this service leaves."""
        remaining = read_json(NoticeBody, MAX_BODY_BYTES).remaining_s
        now = time.monotonic()
        self._leaving_at = None if remaining is None else now + remaining
        return answer_json({"status": "ok"})

    @cherrypy.expose
    def runs(self) -> bytes:
        """Return the number of runs by call."""
        with self.lock:
            return answer_json({"runs": self._runs})

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Run a call; serves every path that has no other handler."""
        faults = self.current_faults
        if faults.refuse:
            raise refuse(429, "busy", 0.5)
        body = read_body(MAX_BODY_BYTES)
        method = cherrypy.request.method
        name = call_name(method, "/" + "/".join(path), body)
        with self.lock:
            self._running += 1
        try:
            with self._free_slots:
                run_number = self._count_run(name)
                time.sleep(self._call_s + faults.slow_s)
        finally:
            with self.lock:
                self._running -= 1
        if faults.die_after_run:
            os._exit(EXIT_DIED)
        if self._consume_lost_answer():
            time.sleep(faults.lost_s)
        return answer_json({"confirmed": name, "run": run_number})

    def _count_run(self, name: str) -> int:
        with self.lock:
            self._runs[name] = self._runs.get(name, 0) + 1
            return self._runs[name]

    def _consume_lost_answer(self) -> bool:
        with self.lock:
            if self.current_faults.lose_answers <= 0:
                return False
            self.current_faults.lose_answers -= 1
            return True


def call_name(method: str, path: str, body: bytes) -> str:
    """Return the name under which the runs of a call are counted."""
    digest = hashlib.blake2b(body, digest_size=8).hexdigest()
    return f"{method} {path} {digest}"
