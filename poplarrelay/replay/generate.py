"""Make traces of a shortened day from a seed.

The day has the shape of the two users' days: demand halves at night, long case files
come back (prompts of one family), bookings come in bursts, urgent berth queries stand
beside patient reports, and a wave of reclaims takes one failure domain and the next.
"""

from __future__ import annotations

import math
import random
from enum import Enum

from poplarrelay.replay.trace import (
    EventKind,
    Stated,
    Trace,
    TraceEvent,
    TraceHead,
    TraceRequest,
    TraceWork,
)
from poplarrelay.tables.requests import RequestClass
from poplarrelay.testing.site import Site

__all__ = ["Day", "generate_trace"]

#: Lowest demand of the night, as a share of the noon's.
NIGHT_SHARE = 0.5
#: Bookings in a burst.
BURST = 6


class Day(Enum):
    """Whose day the trace has."""

    CEREMONY = "ceremony"
    HARBOUR = "harbour"


class _Maker:
    """Draws requests for a site."""

    def __init__(self, site: Site, day: Day, rng: random.Random) -> None:
        self._rng = rng
        self._day = day
        self._teams = [d.team for d in site.configuration.deployments]
        template = site.configuration.templates[0]
        self._model = template.models[0]
        self._service = template.services[0].name
        self._allowed = {
            d.team: d.models is None or self._model in d.models
            for d in site.configuration.deployments
        }
        self._count = 0

    def _team(self) -> str:
        # A few teams are large.
        weights = [1.0 / (rank + 1) for rank in range(len(self._teams))]
        return self._rng.choices(self._teams, weights)[0]

    def _id(self) -> str:
        self._count += 1
        return f"q{self._count}"

    def completion(self, at: float) -> TraceRequest:
        """Return a completion; case files are long and come back."""
        rng, team = self._rng, self._team()
        while not self._allowed[team]:
            team = self._team()
        patient = rng.random() < 0.25
        urgent = not patient and rng.random() < 0.4
        long = self._day is Day.CEREMONY
        request_class = RequestClass.STANDARD
        if patient:
            request_class = RequestClass.PATIENT
        elif urgent:
            request_class = RequestClass.URGENT
        return TraceRequest(
            at=at,
            id=self._id(),
            team=team,
            request_class=request_class,
            work=TraceWork.DEFERRED if patient else TraceWork.COMPLETION,
            name=self._model,
            prompt_tokens=rng.randint(400, 1200) if long else rng.randint(30, 120),
            family=f"case{rng.randint(1, 12)}" if long else f"port{rng.randint(1, 6)}",
            answer_tokens=rng.randint(60, 120) if patient else rng.randint(10, 40),
            timeout_s=60.0 if patient else 15.0,
        )

    def booking(self, at: float) -> TraceRequest:
        """Return a booking, which may not be repeated."""
        return TraceRequest(
            at=at,
            id=self._id(),
            team=self._team(),
            request_class=RequestClass.URGENT,
            work=TraceWork.SERVICE,
            name=self._service,
            timeout_s=8.0,
            may_repeat=False,
        )


def _demand(at: float, seconds: float) -> float:
    """Return the demand at a time of the day as a share of the noon's."""
    phase = math.cos(2 * math.pi * (at / seconds - 0.5))
    return NIGHT_SHARE + (1.0 - NIGHT_SHARE) * (1.0 + phase) / 2


def _wave(site: Site, seconds: float, rng: random.Random) -> list[TraceEvent]:
    """Return notices and reclaims of reclaimable engines in two domains in turn."""
    events: list[TraceEvent] = []
    domains = rng.sample(site.failure_domains, 2)
    for index, domain in enumerate(domains):
        at = 0.5 * seconds + 4.0 * index
        victims = [
            e
            for e in site.endpoints
            if e.failure_domain == domain and e.reclaimable and e.kind == "engine"
        ]
        for victim in victims[:1]:
            events.append(
                TraceEvent(
                    at=at,
                    event=EventKind.NOTICE,
                    endpoint=victim.name,
                    remaining_s=3.0,
                )
            )
            events.append(
                TraceEvent(at=at + 3.0, event=EventKind.RECLAIM, endpoint=victim.name)
            )
    return events


def generate_trace(
    site: Site, day: Day, seed: int, seconds: float, rate: float
) -> Trace:
    """Return a trace.

    Parameters
    ----------
    site : Site
        Whose teams, models and endpoints it uses.
    day : Day
        The shape of the demand.
    seed : int
        The same seed gives the same trace.
    seconds : float
        Length of the shortened day.
    rate : float
        Requests a second at noon.
    """
    rng = random.Random(seed)
    maker = _Maker(site, day, rng)
    requests: list[TraceRequest] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate * _demand(at, seconds))
        if at >= seconds:
            break
        if rng.random() < 0.08:
            requests += [maker.booking(at) for _ in range(BURST)]
        else:
            requests.append(maker.completion(at))
    outage = TraceEvent(
        at=0.25 * seconds, event=EventKind.LOG_OUTAGE, duration_s=0.1 * seconds
    )
    events = sorted([outage, *_wave(site, seconds, rng)], key=lambda e: e.at)
    head = TraceHead(
        name=f"{day.value}-{seed}",
        seconds=seconds,
        targets_s={
            RequestClass.URGENT: 1.0,
            RequestClass.STANDARD: 1.7,
            RequestClass.PATIENT: 60.0,
        },
        stated=Stated(
            in_time_share={RequestClass.URGENT: 0.95, RequestClass.STANDARD: 0.95}
        ),
    )
    return Trace(head=head, requests=tuple(requests), events=tuple(events))
