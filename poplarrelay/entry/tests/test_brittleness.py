"""Statements of brittleness, and the slots that are granted under them."""

from __future__ import annotations

from itertools import pairwise

import pytest

from poplarrelay.entry.brittleness import BrittlenessTable, StatedBrittleness
from poplarrelay.entry.endpoints import EndpointTable
from poplarrelay.entry.scheduling.fair_queue import Waiting
from poplarrelay.entry.scheduling.slot_ledger import Outcome, SlotLedger
from poplarrelay.identifiers import RequestId, TeamId
from poplarrelay.testing.rows import make_endpoint

SIX, NONE = StatedBrittleness(6.0), StatedBrittleness()


def make_table(*names):
    endpoints = EndpointTable()
    rows = [make_endpoint(name, started_ms=1) for name in names]
    for row in rows:
        endpoints.put(row)
    return BrittlenessTable(endpoints), rows


def wait_for(number, now, wait_s=0.5):
    request, team = RequestId(f"q{number}"), TeamId("alpha")
    return Waiting(request, "node", team, 0, 1.0, 1.0, now + wait_s)


def test_brittleness_ends_with_the_first_answer_without_it():
    # Guards against a service that is treated as brittle for ever.
    table, (row, _) = make_table("r1", "r2")
    table.note(row, SIX, 10.0, 10.1)
    table.note(row, NONE, 10.0, 10.2)
    assert table.of(row.service, 10.3) == 6.0
    table.note(row, NONE, 10.3, 10.4)
    assert table.of(row.service, 10.5) is None


def test_service_stays_brittle_while_all_its_endpoints_have_fallen():
    # Guards against a burst at endpoints that are back and have not answered yet.
    table, (row,) = make_table("r1")
    table.note(row, SIX, 10.0, 10.1)
    assert table.of(row.service, 10.2) == 6.0
    table.endpoints.put(make_endpoint("r1", started_ms=2))
    assert table.of(row.service, 13.0) == 6.0
    assert table.of(row.service, 30.0) is None


def test_unreadable_statement_changes_nothing_and_is_counted():
    table, (row,) = make_table("r1")
    table.note(row, StatedBrittleness(readable=False), 10.0, 10.1)
    assert table.of(row.service, 10.2) is None
    assert table.unreadable == 1


@pytest.mark.parametrize("nodes", [1, 4, 9, 300])
@pytest.mark.parametrize("survives", [0.0, 0.5, 1.0, 2.0, 6.0])
def test_unconfirmed_requests_of_all_nodes_stay_within_what_endpoints_survive(
    nodes, survives
):
    # Guards against nodes without a coordinator that each use the whole number.
    tables = [make_table("r1")[0] for _ in range(nodes)]
    service = make_endpoint("r1").service
    sent = [
        tick / 20
        for tick in range(400)
        for rank, table in enumerate(tables)
        if table.take_unconfirmed(service, survives, rank, nodes, tick / 20)
    ]
    most = max((sum(at <= x < at + 1 for x in sent) for at in sent), default=0)
    assert most <= survives
    assert sent or survives < 1


def test_rejections_lower_what_an_endpoint_gets():
    # Guards against slots that are granted again after the endpoint has rejected one.
    ledger = SlotLedger(8, survives_per_s=6.0)
    outcomes = [ledger.join(wait_for(n, 10.0), 10.0).outcome for n in range(6)]
    assert outcomes == [Outcome.GRANTED] * 6
    ledger.note_rejection(RequestId("q5"), 10.1)
    assert ledger.capacity(10.1) == 5
    assert ledger.capacity(12.2) == 6
    for number in range(2, 5):
        ledger.note_rejection(RequestId(f"q{number}"), 12.3)
    assert ledger.capacity(12.4) == 0
    assert 0 < ledger.capacity(13.5) <= 4


def test_rejected_growth_is_tried_less_and_less_often():
    # Guards against one rejection in every interval for as long as endpoints are full.
    ledger = SlotLedger(8, survives_per_s=6.0)
    now, waits = 10.0, []
    for number in range(8):
        ledger.join(wait_for(number, now), now)
    for number in range(5):
        ledger.note_rejection(RequestId(f"q{number}"), now)
        ledger.join(wait_for(number, now), now)
        start = now
        while ledger.capacity(now) <= ledger.taken:
            now += 0.25
        waits.append(now - start)
        ledger.join(wait_for(number + 10, now), now)
    assert all(2 * first <= second for first, second in pairwise(waits[1:]))


def test_endpoint_that_survives_no_rejection_is_hardly_tried_again():
    ledger = SlotLedger(8, survives_per_s=0.0)
    for number in range(5):
        ledger.join(wait_for(number, 10.0), 10.0)
    ledger.note_rejection(RequestId("q4"), 10.1)
    assert ledger.capacity(30.0) == 4
