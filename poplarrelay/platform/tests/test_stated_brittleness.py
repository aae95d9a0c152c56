"""Parsing of the number of rejections that endpoints survive."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.brittleness import StatedBrittleness
from poplarrelay.platform.headers import endpoint_notice


def _parse(*values, status=200):
    headers = [(b"Server-Brittle", value) for value in values]
    return endpoint_notice(status, headers, 0.0).brittleness


@pytest.mark.parametrize("status", [200, 404, 421, 429, 500, 503])
@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ((), StatedBrittleness()),
        ((b"6",), StatedBrittleness(6.0)),
        ((b"0",), StatedBrittleness(0.0)),
        ((b"0.5",), StatedBrittleness(0.5)),
        ((b"7", b"3"), StatedBrittleness(3.0)),
        ((b"7", b"many"), StatedBrittleness(7.0)),
        ((b"1" * 30,), StatedBrittleness(float(b"1" * 30))),
        ((b"",), StatedBrittleness(readable=False)),
        ((b"-1",), StatedBrittleness(readable=False)),
        ((b"1e400",), StatedBrittleness(readable=False)),
        ((b"many",), StatedBrittleness(readable=False)),
    ],
)
def test_brittleness_is_parsed_from_answers_of_all_kinds(status, values, expected):
    assert _parse(*values, status=status) == expected


@given(st.lists(st.binary(max_size=20), max_size=3))
def test_arbitrary_values_give_nothing_or_a_number_that_is_not_negative(values):
    survives = _parse(*values).rejections_per_s
    assert survives is None or survives >= 0
