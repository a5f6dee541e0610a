"""Tests of celeryfork_calls.claim_coverage."""

import pytest
from celeryfork_base.errors import CeleryforkError
from celeryfork_calls.claim_coverage import Coverage
from celeryfork_calls.claim_results import ClaimLimits

LIMITS = ClaimLimits(retention_s=130.0, window_s=100.0, skew_s=5.0)
NOW_MS = 1_800_000_000_000


@pytest.mark.parametrize(
    ("age_s", "proven"), [(0, True), (105, True), (106, False), (-5, True), (-6, False)]
)
def test_a_claim_is_proven_only_inside_the_window(age_s, proven):
    coverage = Coverage(LIMITS)
    assert coverage.proves_no_claim_missed(NOW_MS - age_s * 1000, NOW_MS, 0.0) is proven


@pytest.mark.parametrize(
    ("read_s", "proven"), [(0.0, True), (24.0, True), (26.0, False)]
)
def test_a_gap_read_long_after_the_claim_proves_nothing(read_s, proven):
    coverage = Coverage(LIMITS)
    coverage.note_gap(read_ended_s=1000.0 + read_s)
    assert (
        coverage.proves_no_claim_missed(NOW_MS - 99_000, NOW_MS, sent_s=1000.0)
        is proven
    )


def test_keys_older_than_an_undecodable_record_are_not_proven():
    coverage = Coverage(LIMITS)
    coverage.note_skipped_record(NOW_MS)
    assert not coverage.proves_no_claim_missed(NOW_MS + 4000, NOW_MS + 4000, 0.0)
    assert coverage.proves_no_claim_missed(NOW_MS + 6000, NOW_MS + 6000, 0.0)


def test_a_window_not_below_the_retention_is_rejected():
    with pytest.raises(CeleryforkError, match="lower claim_window_s"):
        ClaimLimits(retention_s=110.0, window_s=100.0, skew_s=5.0)
