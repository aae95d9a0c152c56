"""Stand-ins for the host list, the cloud API and the weight store."""

from __future__ import annotations

import hashlib
import threading
import time
from typing import Any

import cherrypy
from pydantic import BaseModel

from poplarrelay.providers.hosts import NOT_MODIFIED
from poplarrelay.standins.base import MAX_BODY_BYTES, StandIn, refuse
from poplarrelay.web.exchange import answer_json, header, read_json, require_method

__all__ = ["CloudStandIn", "HostListStandIn", "WeightStoreStandIn"]


#: Seconds that a host takes to start.
START_S = 1.0


class HostListFaults(BaseModel):
    """Faults of the host list.

    Attributes
    ----------
    stale : bool
        Keep returning the list as it was when this fault was set.
    """

    refuse: bool = False
    stale: bool = False


class HostListStandIn(StandIn[HostListFaults]):
    """List of endpoints in which changes appear after a delay.

    Parameters
    ----------
    hosts : list of dict
        Initial endpoints, in the form that ``GET /hosts`` returns.
    lag_s : float
        Seconds until a change appears in the list.
    """

    def __init__(self, hosts: list[dict[str, Any]], lag_s: float) -> None:
        super().__init__(HostListFaults())
        self._lag_s = lag_s
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, hosts)]
        self._stale_hosts: list[dict[str, Any]] | None = None

    def _visible_hosts(self) -> list[dict[str, Any]]:
        cutoff = time.monotonic() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.pop(0)
        return self._history[0][1]

    def faults_changed(self) -> None:
        """Save the current list while `stale` is set, else discard the saved one."""
        with self.lock:
            self._stale_hosts = (
                self._visible_hosts() if self.current_faults.stale else None
            )

    @cherrypy.expose
    def hosts(self, endpoint: str | None = None) -> bytes:
        """Return all endpoints, or set (PUT) or remove (DELETE) one."""
        require_method("GET", "PUT", "DELETE")
        with self.lock:
            if cherrypy.request.method == "GET":
                if self.current_faults.refuse:
                    raise refuse(503, "outage")
                return self._answer_if_changed(
                    {"hosts": self._stale_hosts or self._visible_hosts()}
                )
            latest_hosts = [
                h for h in self._history[-1][1] if h["endpoint"] != endpoint
            ]
            if cherrypy.request.method == "PUT":
                latest_hosts.append(read_json(_Host, MAX_BODY_BYTES).model_dump())
            self._history.append((time.monotonic(), latest_hosts))
        return answer_json({"status": "ok"})

    @staticmethod
    def _answer_if_changed(value: Any) -> bytes:
        """Return the body with its ETag, or 304 if the caller has this version."""
        body = answer_json(value)
        tag = f'"{hashlib.blake2b(body, digest_size=8).hexdigest()}"'
        cherrypy.response.headers["ETag"] = tag
        if header("If-None-Match") == tag:
            cherrypy.response.status = NOT_MODIFIED
            return b""
        return body

    @cherrypy.expose
    def prices(self, endpoint: str) -> bytes:
        """Set the price of an endpoint's host."""
        price = read_json(_Price, MAX_BODY_BYTES).price
        with self.lock:
            latest_hosts = [
                {**h, "price": price} if h["endpoint"] == endpoint else h
                for h in self._history[-1][1]
            ]
            self._history.append((time.monotonic(), latest_hosts))
        return answer_json({"status": "ok"})


class _Price(BaseModel):
    price: float


class _Host(BaseModel):
    endpoint: str
    kind: str
    address: str
    failure_domain: str
    names: list[str]
    price: float
    reclaimable: bool
    checks_fencing: bool
    state: str


class CloudFaults(BaseModel):
    """Faults of the cloud API.

    Attributes
    ----------
    refuse_starts : bool
        Answer starts of hosts with 503.
    lose_answers : int
        Number of starts that are carried out but answered only after `lost_s` seconds.
    """

    refuse: bool = False
    refuse_starts: bool = False
    lose_answers: int = 0
    lost_s: float = 3.0


class NoticeBody(BaseModel):
    """Notice that an endpoint or a failure domain is reclaimed in `remaining_s`."""

    remaining_s: float
    endpoint: str | None = None
    failure_domain: str | None = None


class StartBody(BaseModel):
    """Request to start a host; `token` makes the call idempotent."""

    token: str
    model: str
    machine_class: str
    failure_domain: str


class StopBody(BaseModel):
    """Request to stop a host after `grace_s` seconds."""

    token: str
    grace_s: float


class CloudStandIn(StandIn[CloudFaults]):
    """Cloud API with reclaim notices and with starts and stops of hosts."""

    def __init__(self) -> None:
        super().__init__(CloudFaults())
        self._notices: list[tuple[float, NoticeBody]] = []
        self._starts: dict[str, dict[str, Any]] = {}
        self._calls = 0
        self._changed = threading.Condition()

    @cherrypy.expose
    def notices(self, **query: str) -> bytes:
        """Add a notice (POST), or return the notices from a number on."""
        require_method("GET", "POST")
        if self.current_faults.refuse:
            raise refuse(503, "outage")
        if cherrypy.request.method == "POST":
            notice = read_json(NoticeBody, MAX_BODY_BYTES)
            with self._changed:
                self._notices.append((time.monotonic(), notice))
                self._changed.notify_all()
            return answer_json({"status": "sent"}, status=202)
        return self._read_notices(
            int(query.get("from", 0)), int(query.get("wait_ms", 0))
        )

    def _read_notices(self, start: int, wait_ms: int) -> bytes:
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._notices) > start, timeout=min(30.0, wait_ms / 1000)
            )
            now = time.monotonic()
            notices = [
                {**n.model_dump(), "remaining_s": max(0.0, n.remaining_s - (now - at))}
                for at, n in self._notices[start:]
            ]
            next_number = len(self._notices)
        return answer_json({"next": next_number, "notices": notices})

    def _current_hosts(self) -> list[dict[str, Any]]:
        """Update the states of all hosts and return those that exist.

        A host is running `START_S` seconds after its start, and is removed when its
        grace time is over.
        """
        now = time.monotonic()
        for token, host in list(self._starts.items()):
            if host["stops_at"] is not None and now >= host["stops_at"]:
                del self._starts[token]
            elif host["state"] == "starting" and now >= host["ready_at"]:
                host["state"] = "running"
        return [
            {name: value for name, value in host.items() if not name.endswith("_at")}
            for host in self._starts.values()
        ]

    @cherrypy.expose
    def starts(self) -> bytes:
        """Start a host (POST), or return the started hosts."""
        require_method("GET", "POST")
        if cherrypy.request.method == "GET":
            with self.lock:
                return answer_json(
                    {"starts": self._current_hosts(), "calls": self._calls}
                )
        body = read_json(StartBody, MAX_BODY_BYTES)
        with self.lock:
            self._calls += 1
            if self.current_faults.refuse or self.current_faults.refuse_starts:
                raise refuse(503, "no-capacity", 1.0)
            ready_at = time.monotonic() + START_S
            host = {"state": "starting", "ready_at": ready_at, "stops_at": None}
            self._starts.setdefault(body.token, {**body.model_dump(), **host})
            answer_lost = self.current_faults.lose_answers > 0
            self.current_faults.lose_answers -= answer_lost
        if answer_lost:
            time.sleep(self.current_faults.lost_s)
        return answer_json({"token": body.token}, status=201)

    @cherrypy.expose
    def stops(self) -> bytes:
        """Stop a host after its grace time."""
        body = read_json(StopBody, MAX_BODY_BYTES)
        with self.lock:
            host = self._starts.get(body.token)
            if host is not None and host["state"] != "stopping":
                host["state"] = "stopping"
                host["stops_at"] = time.monotonic() + body.grace_s
        return answer_json({"token": body.token})


class WeightFaults(BaseModel):
    """Faults of the weight store."""

    refuse: bool = False


class WeightStoreStandIn(StandIn[WeightFaults]):
    """Store of model weights that limits the rate of loads.

    Parameters
    ----------
    loads_per_s : float
        Loads that can start per second.
    """

    def __init__(self, loads_per_s: float) -> None:
        super().__init__(WeightFaults())
        self._interval_s = 1.0 / loads_per_s
        self._free_at = 0.0

    @cherrypy.expose
    def weights(self, model: str) -> bytes:
        """Start to load a model."""
        if self.current_faults.refuse:
            raise refuse(503, "outage")
        with self.lock:
            now = time.monotonic()
            if now < self._free_at:
                raise refuse(429, "rate-limit", self._free_at - now)
            self._free_at = now + self._interval_s
        return answer_json({"model": model})
