"""Whole events out of bytes that arrive in any pieces."""

import pytest
from celeryfork_entry.events import MOST_EVENT_BYTES, Event, EventSplitter

DATA = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n"
EVENTS = [
    Event(1, b"id: 1\ndata: a\n\n"),
    Event(2, b"id: 2\ndata: b\n\n"),
    Event(None, b"data: no id\n\n"),
]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_events_come_whole(size):
    splitter = EventSplitter()
    found = []
    for start in range(0, len(DATA), size):
        found += splitter.feed(DATA[start : start + size])
    assert found == EVENTS
    assert not splitter.incomplete


def test_an_event_that_stops_midway_is_incomplete():
    splitter = EventSplitter()
    assert splitter.feed(DATA[:20]) == EVENTS[:1]
    assert splitter.incomplete


def test_lines_may_end_in_crlf():
    assert EventSplitter().feed(b"id: 7\r\ndata: x\r\n\r\n") == [
        Event(7, b"id: 7\r\ndata: x\r\n\r\n")
    ]


def test_an_endless_event_is_refused():
    with pytest.raises(ValueError, match="exceeds"):
        EventSplitter().feed(b"x" * (MOST_EVENT_BYTES + 1))
