"""Health of endpoints by the results of attempts."""

from __future__ import annotations

from poplarrelay.entry.health import note_failure
from poplarrelay.testing.rows import make_endpoint

#: Seconds after a silence in which the endpoint may still be avoided.
AVOIDED_S = 1.0


def test_silent_endpoint_is_not_avoided_for_long():
    # Guards against an avoidance that doubles while all requests wait for one silence.
    rows = [make_endpoint(name) for name in ("r1", "r2")]
    for _ in range(8):
        note_failure(rows[0], rows, 10.0, certain=False, silent=True)
    assert 10.0 < rows[0].health.avoided_until <= 10.0 + AVOIDED_S
