"""Splitting of streams into events."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.events import EventSplitter

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def split(parts):
    splitter = EventSplitter()
    events = [splitter.feed(part) for part in parts]
    return splitter, b"".join(each.content for each in events), events


@pytest.mark.parametrize("second", LINE_ENDS)
@pytest.mark.parametrize("first", LINE_ENDS)
def test_event_ends_with_an_empty_line_of_any_line_end(first, second):
    # Guards against events that are held back until the stream ends.
    if first == b"\r" and second == b"\n":
        return
    splitter, content, events = split([b"id: 1", first, second, b"id: 2"])
    assert content == b"id: 1" + first + second
    assert sum(each.count for each in events) == 1
    assert splitter.rest == b"id: 2"


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_stream_is_inside_an_event_until_its_whole_end_has_arrived(line_end):
    # Guards against a part of an event that is taken as the whole one.
    event = line_end.join((b"id: 1", b"data: x", b"", b""))
    for size in range(1, len(event)):
        splitter, content, _ = split([event[:size]])
        assert splitter.inside_event
        assert not content
    splitter, content, _ = split([event])
    assert not splitter.inside_event
    assert content == event


@pytest.mark.parametrize(
    ("rest", "inside"),
    [
        (b"", False),
        (b"\n", False),
        (b"\r\n\r\n\r", False),
        (b": a comment\n", False),
        (b": a comm", True),
        (b"id: 2\n", True),
        (b"d", True),
        (b": a comment\ndata", True),
    ],
)
def test_empty_lines_and_whole_comments_are_no_event(rest, inside):
    # Guards against whole streams that are taken as broken.
    splitter, _, _ = split([b"data: x\n\n", rest])
    assert splitter.inside_event is inside


def test_many_comments_are_checked_in_linear_time():
    # Guards against a stream whose end keeps the event loop busy.
    splitter, _, _ = split([b":\r\n" * 100_000 + b"x"])
    assert splitter.inside_event


@given(st.data(), st.sampled_from(LINE_ENDS))
def test_events_do_not_depend_on_how_their_bytes_arrive(data, line_end):
    # Guards against an event that is lost or split where two reads meet.
    lines = st.sampled_from((b"id: 1", b"data: x", b": c", b"id: 22", b""))
    content = b"".join(
        line + line_end for line in data.draw(st.lists(lines, max_size=12))
    )
    cuts = sorted(data.draw(st.lists(st.integers(0, len(content)), max_size=6)))
    bounds = [0, *cuts, len(content)]
    parts = [content[a:b] for a, b in pairwise(bounds)]
    whole, at_once, _ = split([content])
    pieces, in_parts, _ = split(parts)
    assert in_parts + pieces.rest == content == at_once + whole.rest
    assert pieces.inside_event == whole.inside_event
