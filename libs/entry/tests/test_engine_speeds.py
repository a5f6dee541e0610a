"""Expiry of reported speeds, and which are sent to peers or checked again."""

import pytest
from celeryfork_entry.engine_speeds import (
    SLOW_REPORT_TTL_S,
    SLOWNESS_TTL_S,
    SPEED_RECHECK_INTERVAL_S,
    EngineSpeeds,
    Speed,
)


def report_speed(slowness, at_s, own=True):
    return Speed(slowness, 1000, at_s, own)


def test_a_slow_engine_counts_as_slow_for_a_while():
    """Engines become twelve times slower and recover after some seconds."""
    speeds = EngineSpeeds()
    assert speeds.learn("x", report_speed(12.0, 100.0))
    assert speeds.slowness("x", 101.0) == 12.0
    assert speeds.slowness("x", 100.0 + SLOWNESS_TTL_S) == 1.0
    assert speeds.slowness("y", 101.0) == 1.0


def test_the_newest_report_counts_whether_own_or_forwarded():
    speeds = EngineSpeeds()
    speeds.learn("x", report_speed(12.0, 100.0))
    assert not speeds.learn("x", report_speed(1.0, 99.0, own=False))
    assert speeds.slowness("x", 100.5) == 12.0
    assert speeds.learn("x", report_speed(1.0, 100.4, own=False))
    assert speeds.slowness("x", 100.5) == 1.0


def test_slow_engines_are_asked_again_before_their_report_expires():
    """Slowness reported at 19 s of a run expired at 22 s; the engines stayed slow until
    28 s, and 400 events of streams over them were late."""
    speeds = EngineSpeeds()
    speeds.learn("x", report_speed(12.0, 100.0))
    speeds.learn("sound", report_speed(1.0, 100.0))
    assert speeds.due_for_check(100.5) == []
    assert speeds.due_for_check(100.0 + SPEED_RECHECK_INTERVAL_S) == ["x"]
    assert speeds.due_for_check(100.0 + SLOWNESS_TTL_S) == [], (
        "an expired report means normal speed"
    )


def test_peers_receive_speeds_of_slow_and_of_recovered_engines():
    speeds = EngineSpeeds()
    speeds.learn("sound", report_speed(1.0, 100.0))
    assert speeds.own_slow(100.0) == {}
    speeds.learn("x", report_speed(12.0, 100.0))
    speeds.learn("x", report_speed(1.0, 102.0))
    assert speeds.own_slow(103.0) == {"x": report_speed(1.0, 102.0)}
    assert speeds.own_slow(100.0 + SLOW_REPORT_TTL_S) == {}


def test_forwarded_speeds_are_not_reported_as_own():
    speeds = EngineSpeeds()
    speeds.learn("x", report_speed(12.0, 100.0, own=False))
    assert speeds.own_slow(100.0) == {}


@pytest.mark.parametrize("slowness", [1.0, 12.0])
def test_no_speed_is_kept_of_an_engine_that_has_left(slowness):
    speeds = EngineSpeeds()
    speeds.learn("x", report_speed(slowness, 100.0))
    speeds.forget("x")
    assert speeds.slowness("x", 100.0) == 1.0
    assert speeds.own_slow(100.0) == {}
    assert speeds.due_for_check(101.5) == []
