"""The number of permits that one issuer issues in any span of time."""

import random

import pytest
from celeryfork_admission.rate_issuer import (
    IDLE_TTL_S,
    MAX_SAVED_S,
    RateIssuer,
)


@pytest.mark.parametrize("per_s", [0.3, 2.1, 5.8, 40.0])
@pytest.mark.parametrize("seed", range(5))
def test_no_span_of_time_has_more_permits_than_its_rate_and_the_saved_ones(per_s, seed):
    """The sum over all instances must be bounded, not its average."""
    rng, issuer, now_s, issued = random.Random(seed), RateIssuer(), 100.0, []
    for _ in range(3_000):
        now_s += rng.choice([0.001, 0.02, 0.1, 2.0]) * rng.random()
        got = issuer.issue("x", 1, per_s, rng.randint(1, 20), now_s)
        issued += [now_s] * got.permits
        assert got.wait_s >= 0
    saved = max(1.0, per_s * MAX_SAVED_S)
    begin = 0
    for end, at_s in enumerate(issued):
        while issued[begin] < at_s - 4.0:
            begin += 1
        assert end - begin + 1 <= per_s * (at_s - issued[begin]) + saved + 1e-6
    assert len(issued) > per_s * (now_s - 100.0) * 0.3


def test_a_new_issuer_has_no_permits_saved():
    """The one before it may just have issued those of the last second."""
    first = RateIssuer().issue("x", 1, 4.0, 10, 100.0)
    assert (first.permits, first.wait_s) == (0, 0.25)


def test_the_wait_is_the_time_until_the_next_permit():
    issuer = RateIssuer()
    wait_s = issuer.issue("x", 1, 4.0, 1, 100.0).wait_s
    assert issuer.issue("x", 1, 4.0, 1, 100.0 + wait_s).permits == 1


def test_a_limit_of_0_gives_no_permits():
    issuer = RateIssuer()
    assert issuer.issue("x", 1, 0.0, 5, 100.0).permits == 0
    assert issuer.issue("x", 1, 0.0, 5, 160.0).permits == 0


def test_idle_buckets_are_dropped():
    issuer = RateIssuer()
    for number in range(1_000):
        issuer.issue(f"x{number}", 1, 1.0, 1, 100.0)
    issuer.issue("y", 1, 1.0, 1, 100.0 + 2 * IDLE_TTL_S)
    assert len(issuer._bucket_by_process) == 1
