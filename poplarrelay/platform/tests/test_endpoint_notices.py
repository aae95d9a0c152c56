"""Parsing of what endpoints state about new requests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.notices import EndpointNotice
from poplarrelay.platform.headers import MAX_BACKOFF_S, endpoint_notice

#: 2026-12-03 12:00:00 UTC in seconds since the start of 1970.
NOON = 1_796_299_200.0


def _notice(
    *pauses: bytes, status: int = 503, leaving: bytes | None = None
) -> EndpointNotice:
    headers = [(b"Retry-After", value) for value in pauses]
    if leaving is not None:
        headers.append((b"Server-Leaving", leaving))
    return endpoint_notice(status, headers, NOON)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ((), EndpointNotice()),
        ((b"3",), EndpointNotice(backoff_s=3.0)),
        ((b" 0.25 ",), EndpointNotice(backoff_s=0.25)),
        ((b"0",), EndpointNotice(backoff_s=0.0)),
        ((b"2", b"5"), EndpointNotice(backoff_s=5.0)),
        ((b"soon", b"5"), EndpointNotice(backoff_s=5.0)),
        ((b"86400",), EndpointNotice(backoff_s=MAX_BACKOFF_S)),
        ((b"Thu, 03 Dec 2026 12:00:04 GMT",), EndpointNotice(backoff_s=4.0)),
        ((b"Thu, 03 Dec 2026 11:00:00 GMT",), EndpointNotice(backoff_s=0.0)),
        ((b"-1",), EndpointNotice(readable=False)),
        ((b"NaN",), EndpointNotice(readable=False)),
        ((b"1e400",), EndpointNotice(readable=False)),
        ((b"",), EndpointNotice(readable=False)),
        ((b"soon",), EndpointNotice(readable=False)),
    ],
)
def test_pause_is_parsed_from_header_values(values, expected):
    assert _notice(*values) == expected


def test_pause_that_ends_at_a_date_counts_from_the_date_of_the_answer():
    headers = [
        (b"Date", b"Thu, 03 Dec 2026 10:00:00 GMT"),
        (b"Retry-After", b"Thu, 03 Dec 2026 10:00:02 GMT"),
    ]
    assert endpoint_notice(503, headers, NOON).backoff_s == 2.0


@pytest.mark.parametrize(
    ("status", "backoff_s"), [(200, None), (500, None), (429, 3.0), (503, 3.0)]
)
def test_only_refusals_ask_for_a_pause(status, backoff_s):
    assert _notice(b"3", status=status).backoff_s == backoff_s


@pytest.mark.parametrize("status", [200, 421, 500, 503])
@pytest.mark.parametrize(
    ("value", "leaving"),
    [(None, False), (b"1", True), (b" 1 ", True), (b"0", False), (b"", False)],
)
def test_any_answer_can_state_a_departure(status, value, leaving):
    assert _notice(status=status, leaving=value).leaving is leaving


@given(st.lists(st.binary(max_size=40), max_size=3), st.binary(max_size=4))
def test_arbitrary_header_values_give_no_pause_or_a_bounded_one(pauses, leaving):
    notice = _notice(*pauses, leaving=leaving)
    assert notice.backoff_s is None or 0 <= notice.backoff_s <= MAX_BACKOFF_S
