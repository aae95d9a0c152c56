"""Parsing of the rate limits that endpoints send in headers."""

from math import isfinite

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.rate_limits import StatedLimit
from poplarrelay.platform.headers import stated_limit


def _parse(*values: bytes) -> StatedLimit:
    return stated_limit([(b"Server-Limit", value) for value in values])


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ((), StatedLimit()),
        ((b"1.7",), StatedLimit(1.7)),
        ((b" 3 ",), StatedLimit(3.0)),
        ((b"0",), StatedLimit(0.0)),
        ((b"2", b"1.5"), StatedLimit(1.5)),
        ((b"2", b"soon"), StatedLimit(2.0)),
        ((b"",), StatedLimit(readable=False)),
        ((b"-1",), StatedLimit(readable=False)),
        ((b"1e400",), StatedLimit(readable=False)),
        ((b"NaN",), StatedLimit(readable=False)),
        ((b"soon",), StatedLimit(readable=False)),
    ],
)
def test_stated_limit_is_parsed_from_header_values(values, expected):
    assert _parse(*values) == expected


@given(st.lists(st.binary(max_size=20), max_size=3))
def test_arbitrary_header_values_give_no_limit_or_a_finite_non_negative_one(values):
    per_s = _parse(*values).per_s
    assert per_s is None or (isfinite(per_s) and per_s >= 0)
