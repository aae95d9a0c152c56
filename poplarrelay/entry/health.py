"""What an endpoint's answers say of its health."""

from __future__ import annotations

from collections.abc import Sequence

from poplarrelay.entry.endpoints import Endpoint

__all__ = ["note_failure", "note_success", "note_success_time"]

#: Weight of one attempt in the moving failure rate: about the last ten count.
RATE_WEIGHT = 0.12
#: Weight of one answer in the moving time to the first answer.
PACE_WEIGHT = 0.15
#: Failure rate above which an endpoint is avoided, if its service fails less than
#: half as often. Some services answer one request in seven with an error of their
#: own; that is no reason to avoid all of their endpoints.
RATE_LIMIT = 0.3
#: Failures in a row that make an endpoint avoided whatever its rate.
ROW_LIMIT = 2
#: Seconds for which it is avoided at first; each further failure doubles that.
FIRST_AVOIDANCE_S = 0.5
#: Longest avoidance of a run that may be alive. An endpoint that has recovered is found
#: again within it.
LONGEST_AVOIDANCE_S = 4.0
#: Avoidance of a run that has ended, in seconds. Longer than its record lasts.
ENDED_RUN_AVOIDANCE_S = 30.0


def note_success(row: Endpoint) -> None:
    """Note an attempt that the endpoint answered well."""
    health = row.health
    health.failures_in_row = 0
    health.failure_rate *= 1 - RATE_WEIGHT
    if health.failure_rate < RATE_LIMIT / 2:
        health.avoided_until = 0.0


def note_success_time(row: Endpoint, took_s: float) -> None:
    """Note the time to the first byte of an answer."""
    health = row.health
    if health.first_answer_s == 0.0:
        health.first_answer_s = took_s
    health.first_answer_s += PACE_WEIGHT * (took_s - health.first_answer_s)


def note_failure(
    row: Endpoint,
    peers: Sequence[Endpoint],
    now: float,
    certain: bool,
    run_ended: bool = False,
) -> bool:
    """Note a failed attempt and return whether the endpoint is avoided anew.

    Parameters
    ----------
    row : Endpoint
        Where it failed.
    peers : sequence of Endpoint
        All endpoints of the same service.
    now : float
        Monotonic time.
    certain : bool
        Whether the failure shows a dead endpoint (it refused the connection, or
        another has its address) rather than one bad answer.
    run_ended : bool
        Whether the failure shows that this run of the endpoint has ended, because
        another run answered at its address.
    """
    health = row.health
    health.failures_in_row += 1
    health.failure_rate += RATE_WEIGHT * (1 - health.failure_rate)
    others = [peer.health.failure_rate for peer in peers if peer is not row]
    usual = sum(others) / len(others) if others else 0.0
    stands_out = health.failure_rate > max(RATE_LIMIT, 2 * usual)
    in_row = health.failures_in_row >= ROW_LIMIT and health.failure_rate > 2 * usual
    if not (certain or stands_out or in_row):
        return False
    again = max(0, health.failures_in_row - ROW_LIMIT)
    avoidance_s = min(LONGEST_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2 ** min(again, 6))
    if run_ended:
        avoidance_s = ENDED_RUN_AVOIDANCE_S
    was_avoided = health.avoided_until > now
    health.avoided_until = max(health.avoided_until, now + avoidance_s)
    return not was_avoided
