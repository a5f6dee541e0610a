"""Tests of celeryfork_admission.retry_after."""

import random

from celeryfork_admission.retry_after import (
    JITTER,
    MAX_RETRY_AFTER_S,
    RetryAfterEstimator,
)


def retry_after_values(refused_share, count=200):
    estimator = RetryAfterEstimator(random=random.Random(1))
    values = []
    for number in range(count):
        now_s = number * 0.03
        estimator.record_arrival(now_s)
        if number % 20 < refused_share * 20:
            values.append(estimator.record_refusal(now_s))
    return values


def test_retry_after_grows_with_the_share_of_refusals():
    few, many = retry_after_values(0.05), retry_after_values(0.9)
    assert sum(few) / len(few) < 2.0
    assert sum(many) / len(many) > 2 * sum(few) / len(few)
    assert max(many) <= MAX_RETRY_AFTER_S * (1 + JITTER)


def test_retry_after_values_are_spread():
    """All callers are refused within half a second, as when a domain is lost."""
    values = retry_after_values(1.0, count=17)
    assert len(set(values)) > 0.9 * len(values)
    assert max(values) - min(values) > 1.0


def test_refusals_outside_the_window_do_not_count():
    estimator = RetryAfterEstimator(random=random.Random(1))
    for _ in range(50):
        estimator.record_arrival(0.0)
        estimator.record_refusal(0.0)
    for number in range(20):
        estimator.record_arrival(10.0 + number / 100)
    assert estimator.record_refusal(10.2) < 2.0
