"""Delay without an event after which the engines of a stream are checked."""

import pytest
from celeryfork_entry.events import Event
from celeryfork_entry.stream_progress import (
    EVENT_CHECK_DELAY_S,
    MAX_EVENT_CHECK_DELAY_S,
    EventGaps,
    StreamProgress,
)


def event_gaps(gaps_s):
    """Return the moving average after events with these gaps."""
    gaps, now_s = EventGaps(), 0.0
    gaps.record_event(now_s)
    for gap_s in gaps_s:
        now_s += gap_s
        gaps.record_event(now_s)
    return gaps


def count_checks(gaps_s):
    """Return the number of gaps that trigger a check of the engines."""
    gaps, now_s, count = EventGaps(), 0.0, 0
    gaps.record_event(now_s)
    for gap_s in gaps_s:
        count += gap_s > gaps.check_delay_s
        now_s += gap_s
        gaps.record_event(now_s)
    return count


def test_engines_of_a_steady_stream_are_checked_early():
    assert event_gaps([0.02] * 30).check_delay_s == EVENT_CHECK_DELAY_S
    assert EventGaps().check_delay_s == EVENT_CHECK_DELAY_S


def test_slow_engines_are_not_checked_at_each_event():
    """Engines become over four times slower during the stream.

    Seen in bench trial troskgille-hosting trouble-2.
    """
    gaps_s = [0.02] * 20 + [0.09] * 60
    assert count_checks(gaps_s) <= 6


def test_engines_with_gaps_over_the_maximum_delay_are_seldom_checked():
    """Engines were five times slower, and 74 instances sent 98 of them 4,500 checks per
    second, nearly one for each event of each stream."""
    gaps_s = [0.02] * 20 + [0.17, 0.21, 0.19] * 20
    assert count_checks(gaps_s) <= 8
    assert event_gaps(gaps_s).is_slow
    assert not event_gaps([0.06] * 20).is_slow


def test_engines_of_a_stalled_slow_stream_are_checked_before_callers_give_up():
    assert event_gaps([0.09] * 40).check_delay_s <= MAX_EVENT_CHECK_DELAY_S < 0.2


def test_the_check_delay_falls_when_a_stream_is_fast_again():
    assert event_gaps([0.09] * 40 + [0.02] * 10).check_delay_s <= 0.07
    assert event_gaps([0.09] * 40 + [0.02] * 14).check_delay_s == EVENT_CHECK_DELAY_S


def test_the_maximum_gap_is_measured_between_events():
    progress = StreamProgress(None)
    progress.record_forwarded(5.0)
    progress.started = True
    for now_s in (5.1, 5.4, 5.5):
        progress.record_forwarded(now_s)
    assert round(progress.max_event_gap_s, 3) == 0.3


def numbered(*numbers):
    return [Event(n, b"id: %d\ndata: x\n\n" % n) for n in numbers]


UNNUMBERED = Event(None, b"data: x\n\n")
TEXT = Event(None, b"HTTP/1.1 500 Internal Server Error\r\nX: y\r\n\r\n")


@pytest.mark.parametrize(
    ("events", "continued", "following", "wrong"),
    [
        (numbered(4, 5), True, [4, 5], False),
        (numbered(2, 3, 4), True, [4], False),
        (numbered(4, 6), True, [4], True),
        (numbered(4, 5, 3, 6), True, [4, 5, 6], False),
        ([*numbered(4), UNNUMBERED, *numbered(5)], True, [4], True),
        ([*numbered(4), UNNUMBERED, *numbered(5)], False, [4, None, 5], False),
        ([*numbered(4), TEXT, *numbered(5)], False, [4], True),
        ([TEXT], True, [], True),
        ([], True, [], False),
    ],
)
def test_events_up_to_the_first_wrong_one_come_next(
    events, continued, following, wrong
):
    """An error's text was forwarded as an event, and events before a gap were lost."""
    progress = StreamProgress(3, started=True)
    found, fault = progress.next_events(events, continued=continued)
    assert [each.number for each in found] == following
    assert (fault is not None) == wrong
    assert progress.last_event == 3
