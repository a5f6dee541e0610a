"""How long a stream's next event may take before its engines are asked."""

from celeryfork_entry.stream_progress import (
    EVENT_CHECK_DELAY_S,
    MAX_EVENT_CHECK_DELAY_S,
    EventGaps,
    StreamProgress,
)


def pace_of(gaps_s):
    gaps, now_s = EventGaps(), 0.0
    gaps.record_event(now_s)
    for gap_s in gaps_s:
        now_s += gap_s
        gaps.record_event(now_s)
    return gaps


def asked(gaps_s):
    """Return how many of the gaps make the engines be asked."""
    gaps, now_s, count = EventGaps(), 0.0, 0
    gaps.record_event(now_s)
    for gap_s in gaps_s:
        count += gap_s > gaps.check_delay_s
        now_s += gap_s
        gaps.record_event(now_s)
    return count


def test_a_steady_stream_is_asked_about_soon():
    assert pace_of([0.02] * 30).check_delay_s == EVENT_CHECK_DELAY_S
    assert EventGaps().check_delay_s == EVENT_CHECK_DELAY_S


def test_streams_over_slow_engines_are_not_asked_about_at_each_event():
    """The pattern of trouble-2 of the hosting site: engines work four times as long."""
    gaps_s = [0.02] * 20 + [0.09] * 60
    assert asked(gaps_s) <= 6


def test_streams_whose_gaps_are_over_the_longest_patience_are_seldom_asked_about():
    """Pattern: engines work five times as long, and 74 instances ask 98 of them 4,500
    times a second, at nearly each event of each stream."""
    gaps_s = [0.02] * 20 + [0.17, 0.21, 0.19] * 20
    assert asked(gaps_s) <= 8
    assert pace_of(gaps_s).is_slow
    assert not pace_of([0.06] * 20).is_slow


def test_a_slow_stream_that_stops_is_asked_about_before_its_callers_bound():
    assert pace_of([0.09] * 40).check_delay_s <= MAX_EVENT_CHECK_DELAY_S < 0.2


def test_a_stream_that_is_fast_again_is_asked_about_soon_again():
    assert pace_of([0.09] * 40 + [0.02] * 10).check_delay_s <= 0.07
    assert pace_of([0.09] * 40 + [0.02] * 14).check_delay_s == EVENT_CHECK_DELAY_S


def test_the_longest_pause_is_between_two_events():
    progress = StreamProgress(None)
    progress.record_forwarded(5.0)
    progress.begun = True
    for now_s in (5.1, 5.4, 5.5):
        progress.record_forwarded(now_s)
    assert round(progress.max_event_gap_s, 3) == 0.3
