"""Parsing of the era that the store states in its answers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.http.connection import CompleteResponse
from poplarrelay.entry.store_era import MAX_ERA
from poplarrelay.platform.store import _stated_era


def _response(value: bytes) -> CompleteResponse:
    return CompleteResponse(200, [(b"Store-Era", value)], b"")


@pytest.mark.parametrize(
    ("value", "era"),
    [
        (b"0", 0),
        (b"3", 3),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b"NaN", None),
        (b"1e400", None),
        (b"soon", None),
        (b"9" * 30, None),
    ],
)
def test_era_is_parsed_from_the_header(value, era):
    assert _stated_era(_response(value)) == era


def test_answer_without_the_header_states_no_era():
    assert _stated_era(CompleteResponse(200, [], b"")) is None


@given(st.binary(max_size=30))
def test_arbitrary_header_value_gives_no_era_or_a_bounded_one(value):
    era = _stated_era(_response(value))
    assert era is None or 0 <= era <= MAX_ERA
