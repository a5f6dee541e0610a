"""Refused callers come back later the more are refused, and not together."""

import random

from celeryfork_admission.retry_after import (
    LONGEST_RETRY_AFTER_S,
    SPREAD,
    RetryAfterEstimator,
)


def answers(refused_share, count=200):
    pressure = RetryAfterEstimator(random=random.Random(1))
    given = []
    for number in range(count):
        now_s = number * 0.03
        pressure.record_arrival(now_s)
        if number % 20 < refused_share * 20:
            given.append(pressure.record_refusal(now_s))
    return given


def test_the_more_are_refused_the_later_they_come_back():
    few, many = answers(0.05), answers(0.9)
    assert sum(few) / len(few) < 2.0
    assert sum(many) / len(many) > 2 * sum(few) / len(few)
    assert max(many) <= LONGEST_RETRY_AFTER_S * (1 + SPREAD)


def test_they_do_not_come_back_together():
    """Pattern: a domain is lost, and everyone is refused within half a second."""
    given = answers(1.0, count=17)
    assert len(set(given)) > 0.9 * len(given)
    assert max(given) - min(given) > 1.0


def test_old_refusals_are_forgotten():
    pressure = RetryAfterEstimator(random=random.Random(1))
    for _ in range(50):
        pressure.record_arrival(0.0)
        pressure.record_refusal(0.0)
    for number in range(20):
        pressure.record_arrival(10.0 + number / 100)
    assert pressure.record_refusal(10.2) < 2.0
