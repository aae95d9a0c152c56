"""Tests of the checks on requests that end without an answer, and on stops."""

import pytest

from poplarrelay.standins.users.runner import ReceivedRequest, RunnerStandIn
from poplarrelay.testing.soak.ledger import Disruption, Ending, Invariant, SentRequest
from poplarrelay.testing.soak.lost import NodeStop, check_lost, check_stops


def make_request(sent_at, ended_at, **values):
    request = SentRequest("q1", "a", "book", "alpha", repeatable=False, streams=False)
    request.ending = Ending.CUT
    request.sent_at = request.body_sent_at = sent_at
    request.ended_at = ended_at
    request.timeout_s = 3.0
    for name, value in values.items():
        setattr(request, name, value)
    return request


def make_runner(*, ran=True, broken_off=()):
    runner = RunnerStandIn("r1", "127.0.0.1", broken_off=set(broken_off))
    if ran:
        headers = {"x-poplarrelay-attempt-id": "q1"}
        runner.received.append(ReceivedRequest(0.0, "POST", "/", headers, b"", True))
    return runner


def is_lost(request, runner=None, read=("q1",), stops=(), disruptions=()):
    found = check_lost([request], [runner or make_runner()], read, stops, disruptions)
    assert {violation.invariant for violation in found} <= {Invariant.NOTHING_LOST}
    return bool(found)


def test_detects_request_that_ran_and_was_cut():
    assert is_lost(make_request(10.0, 10.1))
    assert not is_lost(make_request(10.0, 10.1, ending=Ending.ANSWERED))
    assert not is_lost(make_request(10.0, 10.1, ending=Ending.ABANDONED))


def test_detects_request_that_was_read_whole_and_cut_later():
    idle = make_runner(ran=False)
    assert is_lost(make_request(10.0, 10.3), idle)
    assert not is_lost(make_request(10.0, 10.1), idle)
    assert not is_lost(make_request(10.0, 10.3), idle, read=())
    assert not is_lost(make_request(10.0, 10.3, body_sent_at=10.2), idle)


def test_excuses_time_that_is_over_and_endpoints_that_break_off():
    assert not is_lost(make_request(10.0, 13.0))
    assert not is_lost(make_request(10.0, 11.0), make_runner(broken_off=["q1"]))


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "excused"),
    [(12.9, 16.7, True), (13.1, 16.9, False), (12.9, 16.6, False)],
)
def test_excuses_long_requests_sent_shortly_after_the_stop_signal(
    sent_at, ended_at, excused
):
    request = make_request(sent_at, ended_at, timeout_s=15.0)
    stops = [NodeStop("a", 10.0), NodeStop("b", 11.0)]
    assert is_lost(request, stops=stops) is not excused
    assert is_lost(request, make_runner(ran=False), stops=stops)
    assert is_lost(request, stops=stops[1:])


@pytest.mark.parametrize(
    ("disruption", "excused"),
    [
        (Disruption("a", 6.0, 7.5), True),
        (Disruption("a", 6.0, 6.5), False),
        (Disruption("a", 10.0, 12.0, planned=True), False),
        (Disruption("r1", 9.0, 10.5), True),
        (Disruption("r1", 9.0, 9.5), False),
        (Disruption("b", 9.0, 12.0), False),
    ],
)
def test_excuses_unplanned_disruptions_only(disruption, excused):
    request = make_request(10.0, 11.0)
    assert is_lost(request, disruptions=[disruption]) is not excused


def test_detects_stop_that_takes_longer_than_the_grace_time():
    stops = [NodeStop("a", 10.0, 17.9), NodeStop("b", 10.0)]
    assert [v.detail for v in check_stops(stops, [])] == ["b still runs after 8.0 s"]
    assert check_stops(stops, [Disruption("b", 12.0, 13.0)]) == []
