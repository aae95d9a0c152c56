"""Update the health of endpoints by the results of attempts."""

from __future__ import annotations

from collections.abc import Sequence

from poplarrelay.entry.endpoints import Endpoint

__all__ = ["note_failure", "note_success", "note_success_time"]

#: Weight of one attempt in the moving failure rate: about the last ten attempts count.
FAILURE_RATE_WEIGHT = 0.12
#: Weight of one answer in the moving time to the first byte of an answer.
ANSWER_TIME_WEIGHT = 0.15
#: Failure rate above which an endpoint is avoided, if the other endpoints of its
#: service fail less than half as often. Some services answer one request in seven with
#: an error at every endpoint, which is no reason to avoid all of their endpoints.
FAILURE_RATE_LIMIT = 0.3
#: Consecutive failures after which an endpoint is avoided even below that rate, if the
#: other endpoints fail less than half as often.
CONSECUTIVE_FAILURE_LIMIT = 2
#: Seconds for which an endpoint is avoided at first. Each further consecutive failure
#: doubles the time.
FIRST_AVOIDANCE_S = 0.5
#: Longest avoidance, in seconds, of an endpoint that was silent. A sound endpoint can
#: be silent for a moment, in which the requests of many callers fail.
MAX_SILENT_AVOIDANCE_S = 1.0
#: Longest avoidance, in seconds, of a run that may be alive. An endpoint that has
#: recovered gets requests again within this time.
MAX_AVOIDANCE_S = 4.0
#: Avoidance, in seconds, of a run that has ended. It is longer than the lifetime of the
#: run's record in the list.
ENDED_RUN_AVOIDANCE_S = 30.0


def note_success(row: Endpoint) -> None:
    """Count an attempt that the endpoint answered without a failure."""
    health = row.health
    health.failures_in_row = 0
    health.failure_rate *= 1 - FAILURE_RATE_WEIGHT
    if health.failure_rate < FAILURE_RATE_LIMIT / 2:
        health.avoided_until = 0.0


def note_success_time(row: Endpoint, took_s: float) -> None:
    """Update the moving time to the first byte of an answer."""
    health = row.health
    if health.first_byte_s == 0.0:
        health.first_byte_s = took_s
    health.first_byte_s += ANSWER_TIME_WEIGHT * (took_s - health.first_byte_s)


def note_failure(
    row: Endpoint,
    peers: Sequence[Endpoint],
    now: float,
    certain: bool,
    run_ended: bool = False,
    silent: bool = False,
) -> bool:
    """Count a failed attempt, and return whether an avoidance begins.

    Parameters
    ----------
    row : Endpoint
        The endpoint that failed.
    peers : sequence of Endpoint
        All endpoints of the same service.
    now : float
        Monotonic time.
    certain : bool
        Whether the failure shows that the endpoint is dead, and not only a bad answer:
        the connection was refused, or another endpoint has the address.
    run_ended : bool
        Whether the failure shows that this run of the endpoint has ended: another run
        has answered at its address.
    silent : bool
        Whether the endpoint had sent nothing.
    """
    health = row.health
    health.failures_in_row += 1
    health.failure_rate += FAILURE_RATE_WEIGHT * (1 - health.failure_rate)
    other_rates = [peer.health.failure_rate for peer in peers if peer is not row]
    mean_other_rate = sum(other_rates) / len(other_rates) if other_rates else 0.0
    exceeds_failure_rate = health.failure_rate > max(
        FAILURE_RATE_LIMIT, 2 * mean_other_rate
    )
    in_row = (
        health.failures_in_row >= CONSECUTIVE_FAILURE_LIMIT
        and health.failure_rate > 2 * mean_other_rate
    )
    if not (certain or exceeds_failure_rate or in_row):
        return False
    further_failures = max(0, health.failures_in_row - CONSECUTIVE_FAILURE_LIMIT)
    longest_s = MAX_SILENT_AVOIDANCE_S if silent else MAX_AVOIDANCE_S
    avoidance_s = min(longest_s, FIRST_AVOIDANCE_S * 2 ** min(further_failures, 6))
    if run_ended:
        avoidance_s = ENDED_RUN_AVOIDANCE_S
    was_avoided = health.avoided_until > now
    health.avoided_until = max(health.avoided_until, now + avoidance_s)
    return not was_avoided
