"""Limits that engines name, and what is known of them."""

import math

from celeryfork_entry.engine_limits import EngineLimit, EngineLimits
from celeryfork_entry.targets import Listed, Target, TargetTable


def limit(per_s, at_s, born_ms=1):
    return EngineLimit(per_s, born_ms, at_s, own=True)


def test_an_older_message_does_not_bring_an_ended_limit_back():
    """A peer's older report arrives after the engine's answer without a limit."""
    limits = EngineLimits()
    assert limits.learn("x", limit(5.0, at_s=1.0))
    assert limits.learn("x", limit(math.inf, at_s=2.0))
    assert not limits.learn("x", limit(5.0, at_s=1.5))
    assert limits.limit("x") is None


def test_engines_without_a_limit_take_no_memory():
    limits = EngineLimits()
    assert not limits.learn("x", limit(math.inf, at_s=1.0))
    assert not limits._limit_by_id


def test_a_limit_ends_with_the_engines_process():
    """The limit of the process before was kept for one that has just started."""
    table = TargetTable()
    old = Target("x", "llm", "10.0.0.1:1", "a", born_ms=1)
    table.apply([Listed(old)])
    assert table.record_limit("x", limit(5.0, at_s=1.0))
    table.apply([Listed(Target("x", "llm", "10.0.0.1:1", "a", born_ms=2))])
    assert table.limits.limit("x") is None
    assert not table.record_limit("x", limit(5.0, at_s=3.0))
