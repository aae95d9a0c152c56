"""Metrics of a node, stored and rendered by aioprometheus."""

from __future__ import annotations

import resource
import threading
from collections.abc import Sequence

from aioprometheus import Counter as PrometheusCounter
from aioprometheus import Gauge, Histogram, Registry
from aioprometheus.renderer import render

from poplarrelay.messages.effects import IncrementCounter, Metric, ObserveValue

__all__ = ["NodeMetrics"]

FIRST_TOKEN_BUCKETS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.7, 3.0, 5.0, 10.0]
_HELP = {
    Metric.ACCEPTED: "Requests accepted, by class and team.",
    Metric.OUTCOMES: "Requests ended, by class, outcome and team.",
    Metric.ATTEMPTS: "Attempts sent to endpoints, by team.",
    Metric.RETRIES: "Attempts after a failed one, by the failure.",
    Metric.MOVES: "Attempts moved off leaving endpoints, by way.",
    Metric.RECOMPUTED: "Tokens computed again, by cause.",
    Metric.LATE: "Requests that reached their deadline, by class.",
    Metric.REJECTED: "Requests that were not acceptable, by type.",
}
PREFIX = "poplarrelay_"


class NodeMetrics:
    """Counters, gauges and histograms of one process.

    Notes
    -----
    aioprometheus is written for asyncio and takes no locks. Therefore a lock
    protects every update and the rendering.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = Registry()
        self._counters = {
            metric: PrometheusCounter(
                f"{PREFIX}{metric.value}_total", text, registry=self._registry
            )
            for metric, text in _HELP.items()
        }
        self._first_token = Histogram(
            f"{PREFIX}{Metric.FIRST_TOKEN.value}",
            "Seconds from arrival to the first token, by class.",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self._registry,
        )
        self._dropped = PrometheusCounter(
            f"{PREFIX}events_dropped_total",
            "Events of endpoints that were late, doubled or foreign.",
            registry=self._registry,
        )
        self._bytes = PrometheusCounter(
            f"{PREFIX}control_bytes_total",
            "Bytes of calls to peers, the platform and endpoints' reports, by kind.",
            registry=self._registry,
        )
        self._memory = Gauge(
            f"{PREFIX}peak_resident_bytes",
            "Peak resident memory of the process.",
            registry=self._registry,
        )

    def count(self, effect: IncrementCounter) -> None:
        """Add to a counter."""
        with self._lock:
            self._counters[effect.metric].add(dict(effect.labels), effect.amount)

    def observe(self, effect: ObserveValue) -> None:
        """Add a value to a histogram."""
        with self._lock:
            self._first_token.observe(dict(effect.labels), effect.value)

    def count_dropped(self, reason: str) -> None:
        """Count an event of an endpoint that was not forwarded to the caller."""
        with self._lock:
            self._dropped.inc({"why": reason})

    def add(self, path: str, sent: int, received: int) -> None:
        """Count the bytes of a call, as `poplarrelay.providers.http.TrafficMeter`."""
        kind = path.split("/", 2)[1].split("?")[0]
        with self._lock:
            self._bytes.add({"kind": kind, "way": "sent"}, sent)
            self._bytes.add({"kind": kind, "way": "received"}, received)

    def render(self, accept_headers: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the text format and the HTTP headers for them."""
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with self._lock:
            self._memory.set({}, peak_kb * 1024)
            return render(self._registry, list(accept_headers))
