"""Generate traces of a shortened day from a seed.

The load imitates one of the two organizations in `Day`. Demand halves at night. Prompts
of one family share a long prefix. Bookings arrive in bursts. Urgent queries are mixed
with patient reports. The platform reclaims an engine in one failure domain, then in a
second one.
"""

from __future__ import annotations

import math
import random
from enum import Enum

from poplarrelay.replay.trace import (
    EventKind,
    StatedOutcomes,
    Trace,
    TraceEvent,
    TraceHead,
    TraceRequest,
    TraceWork,
)
from poplarrelay.tables.requests import RequestClass
from poplarrelay.testing.site import Site

__all__ = ["Day", "generate_trace"]

#: Lowest demand at night, as a share of the demand at noon.
NIGHT_SHARE = 0.5
#: Number of bookings that arrive at the same time.
BOOKINGS_PER_BURST = 6


class Day(Enum):
    """Organization whose load a trace imitates."""

    CEREMONY = "ceremony"
    HARBOUR = "harbour"


class _RequestGenerator:
    """Generator of random requests to a site."""

    def __init__(self, site: Site, day: Day, rng: random.Random) -> None:
        self._rng = rng
        self._day = day
        self._teams = [d.team for d in site.configuration.deployments]
        template = site.configuration.templates[0]
        self._model = template.models[0]
        self._service = template.services[0].name
        self._may_use_model = {
            d.team: d.models is None or self._model in d.models
            for d in site.configuration.deployments
        }
        self._count = 0

    def _draw_team(self) -> str:
        # The weights fall with the rank, so a few teams send most requests.
        weights = [1.0 / (rank + 1) for rank in range(len(self._teams))]
        return self._rng.choices(self._teams, weights)[0]

    def _next_id(self) -> str:
        self._count += 1
        return f"q{self._count}"

    def completion(self, at: float) -> TraceRequest:
        """Return a completion; prompts of a ceremony day are long."""
        rng, team = self._rng, self._draw_team()
        while not self._may_use_model[team]:
            team = self._draw_team()
        patient = rng.random() < 0.25
        urgent = not patient and rng.random() < 0.4
        long_prompts = self._day is Day.CEREMONY
        request_class = RequestClass.STANDARD
        if patient:
            request_class = RequestClass.PATIENT
        elif urgent:
            request_class = RequestClass.URGENT
        return TraceRequest(
            at=at,
            id=self._next_id(),
            team=team,
            request_class=request_class,
            work=TraceWork.DEFERRED if patient else TraceWork.COMPLETION,
            name=self._model,
            prompt_tokens=rng.randint(400, 1200)
            if long_prompts
            else rng.randint(30, 120),
            family=f"case{rng.randint(1, 12)}"
            if long_prompts
            else f"port{rng.randint(1, 6)}",
            answer_tokens=rng.randint(60, 120) if patient else rng.randint(10, 40),
            timeout_s=60.0 if patient else 15.0,
        )

    def booking(self, at: float) -> TraceRequest:
        """Return a booking, which must not be repeated."""
        return TraceRequest(
            at=at,
            id=self._next_id(),
            team=self._draw_team(),
            request_class=RequestClass.URGENT,
            work=TraceWork.SERVICE,
            name=self._service,
            timeout_s=8.0,
            may_repeat=False,
        )


def _demand(at: float, seconds: float) -> float:
    """Return the demand at a time of day as a share of the demand at noon."""
    phase = math.cos(2 * math.pi * (at / seconds - 0.5))
    return NIGHT_SHARE + (1.0 - NIGHT_SHARE) * (1.0 + phase) / 2


def _reclaim_events(site: Site, seconds: float, rng: random.Random) -> list[TraceEvent]:
    """Return a notice and a reclaim of one engine in each of two domains."""
    events: list[TraceEvent] = []
    domains = rng.sample(site.failure_domains, 2)
    for index, domain in enumerate(domains):
        at = 0.5 * seconds + 4.0 * index
        candidates = [
            e
            for e in site.endpoints
            if e.failure_domain == domain and e.reclaimable and e.kind == "engine"
        ]
        for engine in candidates[:1]:
            events.append(
                TraceEvent(
                    at=at,
                    event=EventKind.NOTICE,
                    endpoint=engine.name,
                    remaining_s=3.0,
                )
            )
            events.append(
                TraceEvent(at=at + 3.0, event=EventKind.RECLAIM, endpoint=engine.name)
            )
    return events


def generate_trace(
    site: Site, day: Day, seed: int, seconds: float, rate: float
) -> Trace:
    """Return the trace of a shortened day.

    Parameters
    ----------
    site : Site
        Site with the teams, models and endpoints of the trace.
    day : Day
        User whose load the trace imitates.
    seed : int
        Seed of the random numbers; equal seeds give equal traces.
    seconds : float
        Length of the shortened day.
    rate : float
        Requests per second at noon.
    """
    rng = random.Random(seed)
    generator = _RequestGenerator(site, day, rng)
    requests: list[TraceRequest] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate * _demand(at, seconds))
        if at >= seconds:
            break
        if rng.random() < 0.08:
            requests += [generator.booking(at) for _ in range(BOOKINGS_PER_BURST)]
        else:
            requests.append(generator.completion(at))
    log_outage = TraceEvent(
        at=0.25 * seconds, event=EventKind.LOG_OUTAGE, duration_s=0.1 * seconds
    )
    events = sorted(
        [log_outage, *_reclaim_events(site, seconds, rng)], key=lambda e: e.at
    )
    head = TraceHead(
        name=f"{day.value}-{seed}",
        seconds=seconds,
        targets_s={
            RequestClass.URGENT: 1.0,
            RequestClass.STANDARD: 1.7,
            RequestClass.PATIENT: 60.0,
        },
        stated=StatedOutcomes(
            in_time_share={RequestClass.URGENT: 0.95, RequestClass.STANDARD: 0.95}
        ),
    )
    return Trace(head=head, requests=tuple(requests), events=tuple(events))
