"""Metrics of an entry node."""

from __future__ import annotations

import resource
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from poplarrelay.entry.caller_budget import Limit, Reaction
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.http.cuts import CutReason
from poplarrelay.entry.rollouts.evidence import Side
from poplarrelay.entry.rollouts.table import RolloutTable
from poplarrelay.entry.scheduling.shares import ShareMarker

__all__ = ["EntryMetrics"]

#: Bounds of the latency histogram in seconds, around the latency targets of both kinds
#: of requests: 0.1 s for calls and 1 s for the first event of a stream.
BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0]


class EntryMetrics:
    """Counters, gauges and histograms, updated on the event loop only."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = Counter(
            "poplarrelay_requests_total",
            "Requests ended, by status; 0 for those broken off.",
            registry=self._registry,
        )
        self._cuts = Counter(
            "poplarrelay_responses_cut_total",
            "Responses that ended before they were complete, by reason.",
            registry=self._registry,
        )
        self._limited = Counter(
            "poplarrelay_limited_total",
            "What was closed, refused or delayed for a limit of the process.",
            registry=self._registry,
        )
        self._latency = Histogram(
            "poplarrelay_request_seconds",
            "Seconds from a request's first byte to the end of its answer.",
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._rollouts = Gauge(
            "poplarrelay_rollout",
            "Requests of the latest roll-out of a service, by version.",
            registry=self._registry,
        )
        self._shares = Gauge(
            "poplarrelay_team_share",
            "Part of a team's demand that its share of a short service covers.",
            registry=self._registry,
        )
        self._gauges = Gauge(
            "poplarrelay_node",
            "State of the node, by what is measured.",
            registry=self._registry,
        )

    def observe(self, route: str, status: str, took_s: float) -> None:
        """Record the status and the duration of a request that has ended."""
        self._requests.inc({"status": status})
        self._latency.observe({"status": status[:1]}, took_s)

    def observe_cut(self, reason: CutReason) -> None:
        """Record a response that ended before it was complete."""
        self._cuts.inc({"reason": reason.value})

    def set_limits(self, reactions: Mapping[tuple[Limit, str, Reaction], int]) -> None:
        """Set what was done for limits of the process."""
        for (limit, listener, reaction), count in reactions.items():
            labels = {"limit": limit.value, "listener": listener}
            self._limited.set({**labels, "action": reaction.value}, count)

    def set_rollouts(self, rollouts: RolloutTable) -> None:
        """Set the counts of both sides of the roll-outs since their orders."""
        for local in rollouts:
            order, evidence = local.progress.order, local.evidence
            for side in Side:
                version = order.target if side is Side.TARGET else "others"
                counts = {
                    "sent": evidence.sent[side],
                    "answers": evidence.answers(side),
                    "failures": evidence.failures(side),
                }
                for name, value in counts.items():
                    labels = {"service": order.service, "version": version}
                    self._rollouts.set({**labels, "what": name}, value)

    def set_shares(self, markers: Mapping[ServiceName, ShareMarker]) -> None:
        """Set the shares of the teams that ask for more than their share."""
        self._shares.values.clear()
        for service, marker in markers.items():
            for team, fraction in marker.fractions.items():
                labels = {"service": service, "team": team}
                self._shares.set(labels, round(fraction, 3))

    def render(self, values: dict[str, float]) -> bytes:
        """Return all metrics as text, with the given values of gauges."""
        for name, value in values.items():
            self._gauges.set({"what": name}, value)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._gauges.set({"what": "peak_resident_bytes"}, usage.ru_maxrss * 1024)
        self._gauges.set({"what": "cpu_seconds"}, usage.ru_utime + usage.ru_stime)
        content, _ = render(self._registry, [])
        return content
