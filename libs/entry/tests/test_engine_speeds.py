"""How long engines count as slow, and who is told and asked."""

import pytest
from celeryfork_entry.engine_speeds import (
    ASK_PAUSE_S,
    SLOWNESS_LIFE_S,
    TOLD_S,
    EngineSpeeds,
    Speed,
)


def say(slowness, at_s, own=True):
    return Speed(slowness, 1000, at_s, own)


def test_a_slow_engine_counts_as_slow_for_a_while():
    """Pattern: engines turn twelve times slower and recover after some seconds."""
    speeds = EngineSpeeds()
    assert speeds.learn("x", say(12.0, 100.0))
    assert speeds.slowness("x", 101.0) == 12.0
    assert speeds.slowness("x", 100.0 + SLOWNESS_LIFE_S) == 1.0
    assert speeds.slowness("y", 101.0) == 1.0


def test_the_newest_report_counts_whoever_got_it():
    speeds = EngineSpeeds()
    speeds.learn("x", say(12.0, 100.0))
    assert not speeds.learn("x", say(1.0, 99.0, own=False))
    assert speeds.slowness("x", 100.5) == 12.0
    assert speeds.learn("x", say(1.0, 100.4, own=False))
    assert speeds.slowness("x", 100.5) == 1.0


def test_slow_engines_are_asked_again_before_their_slowness_is_forgotten():
    """Pattern: at 22 s slowness known since 19 s was forgotten, and 400 events of
    streams over engines that stayed slow until 28 s came late."""
    speeds = EngineSpeeds()
    speeds.learn("x", say(12.0, 100.0))
    speeds.learn("sound", say(1.0, 100.0))
    assert speeds.due_for_check(100.5) == []
    assert speeds.due_for_check(100.0 + ASK_PAUSE_S) == ["x"]
    assert speeds.due_for_check(100.0 + SLOWNESS_LIFE_S) == [], (
        "it counts as sound then"
    )


def test_peers_are_told_of_slow_engines_and_that_they_are_sound_again():
    speeds = EngineSpeeds()
    speeds.learn("sound", say(1.0, 100.0))
    assert speeds.own_slow(100.0) == {}
    speeds.learn("x", say(12.0, 100.0))
    speeds.learn("x", say(1.0, 102.0))
    assert speeds.own_slow(103.0) == {"x": say(1.0, 102.0)}
    assert speeds.own_slow(100.0 + TOLD_S) == {}


def test_what_a_peer_told_is_not_told_as_ones_own():
    speeds = EngineSpeeds()
    speeds.learn("x", say(12.0, 100.0, own=False))
    assert speeds.own_slow(100.0) == {}


@pytest.mark.parametrize("slowness", [1.0, 12.0])
def test_nothing_is_known_of_an_engine_that_has_left(slowness):
    speeds = EngineSpeeds()
    speeds.learn("x", say(slowness, 100.0))
    speeds.forget("x")
    assert speeds.slowness("x", 100.0) == 1.0
    assert speeds.own_slow(100.0) == {}
    assert speeds.due_for_check(101.5) == []
