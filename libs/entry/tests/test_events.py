"""Splitting of bytes into events, however the bytes are cut into chunks."""

import contextlib
import time
from itertools import pairwise

import pytest
from celeryfork_entry.events import MAX_EVENT_BYTES, Event, EventSplitter
from fuzzing import examples, pieces
from hypothesis import given
from hypothesis import strategies as st

DATA = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n"
EVENTS = [
    Event(1, b"id: 1\ndata: a\n\n"),
    Event(2, b"id: 2\ndata: b\n\n"),
    Event(None, b"data: no id\n\n"),
]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_events_are_returned_complete(size):
    splitter = EventSplitter()
    found = []
    for start in range(0, len(DATA), size):
        found += splitter.feed(DATA[start : start + size])
    assert found == EVENTS
    assert not splitter.incomplete


def test_a_truncated_event_is_incomplete():
    splitter = EventSplitter()
    assert splitter.feed(DATA[:20]) == EVENTS[:1]
    assert splitter.incomplete


def test_lines_may_end_in_crlf():
    assert EventSplitter().feed(b"id: 7\r\ndata: x\r\n\r\n") == [
        Event(7, b"id: 7\r\ndata: x\r\n\r\n")
    ]


def test_an_event_over_the_maximum_size_is_rejected():
    with pytest.raises(ValueError, match="exceeds"):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))


def events_of(splitter, data_in_pieces):
    return [event for piece in data_in_pieces for event in splitter.feed(piece)]


PARTS = st.sampled_from(
    [b"\n", b"\r\n", b"\r", b"\n\n", b"\r\n\r\n", b"id: 7", b"id:8", b"id: x",
     b"data: a", b": note", b"\xff\x00", b" "]
)  # fmt: skip
ANY_BYTES = st.lists(PARTS | st.binary(max_size=4), max_size=24).map(b"".join)


@examples(300)
@given(data=st.data(), stream=ANY_BYTES)
def test_events_do_not_depend_on_how_bytes_are_cut(data, stream):
    whole, cut = EventSplitter(), EventSplitter()
    events = whole.feed(stream)
    assert events_of(cut, data.draw(pieces(stream))) == events
    assert cut.incomplete == whole.incomplete
    single = [stream[n : n + 1] for n in range(len(stream))]
    assert events_of(EventSplitter(), single) == events
    assert stream.startswith(b"".join(event.data for event in events))


def times_accepted(length):
    """Return in how many of four ways to cut an event it is accepted."""
    event = b"x" * (length - 2) + b"\n\n"
    accepted = 0
    for places in ([], [9], [length - 1], [length - 2, length - 1]):
        cut = [event[first:last] for first, last in pairwise([0, *places, length])]
        with contextlib.suppress(ValueError):
            accepted += len(events_of(EventSplitter(), cut))
    return accepted


@pytest.mark.parametrize("short_by", [0, 1, 2, 1000])
def test_an_event_up_to_the_maximum_size_is_accepted_however_it_is_cut(short_by):
    assert times_accepted(MAX_EVENT_BYTES - short_by) == 4


@pytest.mark.parametrize("over_by", [1, 2, 1000])
def test_an_event_over_the_maximum_size_is_rejected_however_it_is_cut(over_by):
    """The result must not depend on how the network segments the bytes."""
    assert times_accepted(MAX_EVENT_BYTES + over_by) == 0


SEGMENT_BYTES = 1448
"""Payload of a typical TCP segment."""
MAX_LONG_EVENT_S = 0.5
"""Maximum CPU seconds for the longest event, which blocks the event loop."""


def test_a_long_event_in_segments_does_not_block_other_streams():
    splitter = EventSplitter()
    begun_s = time.process_time()
    for _ in range(MAX_EVENT_BYTES // SEGMENT_BYTES):
        splitter.feed(b"x" * SEGMENT_BYTES)
    assert time.process_time() - begun_s <= MAX_LONG_EVENT_S


def test_an_event_id_with_too_many_digits_is_rejected():
    with pytest.raises(ValueError, match="digits"):
        EventSplitter().feed(b"id: " + b"1" * 5000 + b"\n\n")


@pytest.mark.parametrize(
    ("data", "is_well_formed"),
    [
        (b"id: 1\ndata: HTTP/1.1 500 X\n\n", True),
        (b"x-weight-versions: 3\r\nid: 1\r\ndata: x\r\n\r\n", True),
        (b": comment\n\n", True),
        (b"data\n\n", True),
        (b"event\ndata: x\n\n", True),
        (b"id\r\nretry\r\ndata: x\r\n\r\n", True),
        (b"weight_version: 3\ndata: x\n\n", True),
        (b"error\n\n", False),
        (b"data x\n\n", False),
        (b"data: \xff\xfe\x00\n\n", True),
        (b"HTTP/1.1 500 X\r\nid: 4\r\n\r\n", False),
        (b"id: 4\nContent-Type: text/plain\n\n", False),
        (b"the engine failed\n\n", False),
        (b'{"error": "x"}\n\n', False),
        (b"<html>\n\n", False),
        (b"id: 4\nid 5\n\n", False),
    ],
)
def test_text_that_is_no_event_is_recognised(data, is_well_formed):
    """The text of an error that ends with an empty line was taken for an event."""
    assert Event(None, data).is_well_formed == is_well_formed
