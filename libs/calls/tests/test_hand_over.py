"""Tests of celeryfork_calls.hand_over."""

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.hand_over import (
    HandedOverOutcomes,
    closing_marker,
    split_into_chunks,
)
from celeryfork_calls.kept_outcomes import KeptOutcome

RETENTION_S = 100.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def handed_over(clock):
    return HandedOverOutcomes(clock, RETENTION_S)


def make_outcome(key, body=b""):
    return KeptOutcome("o", key, Outcome.DONE, 200, "", body, "", 0)


def test_never_begun_needs_the_closing_marker_and_all_outcomes(handed_over):
    assert not handed_over.is_proven_never_begun("a@1", "o", "t3")
    handed_over.put("a@1", closing_marker("a@1", 2, 0))
    handed_over.put("a@1", make_outcome("t1"))
    handed_over.put("a@1", make_outcome("t1"))
    assert not handed_over.is_proven_never_begun("a@1", "o", "t3")
    handed_over.put("a@1", make_outcome("t2"))
    assert handed_over.is_proven_never_begun("a@1", "o", "t3")
    assert not handed_over.is_proven_never_begun("a@1", "o", "t1")
    assert not handed_over.is_proven_never_begun("a@2", "o", "t3")
    assert handed_over.get("a@1", "o", "t1") == make_outcome("t1")


def test_a_malformed_closing_marker_proves_nothing(handed_over):
    marker = closing_marker("a@1", 0, 0)
    handed_over.put("a@1", KeptOutcome(*[*_fields(marker)[:5], b"x", "", 0]))
    assert not handed_over.is_proven_never_begun("a@1", "o", "t1")


def _fields(kept):
    return (kept.organisation, kept.key, kept.outcome, kept.status, kept.content_type)


def test_outcomes_are_evicted_a_whole_incarnation_at_a_time(
    handed_over, clock, monkeypatch
):
    monkeypatch.setattr("celeryfork_calls.hand_over.MAX_HANDED_OVER_BYTES", 3000)
    handed_over.put("a@1", make_outcome("t1"))
    handed_over.put("a@1", closing_marker("a@1", 1, 0))
    assert handed_over.is_proven_never_begun("a@1", "o", "t2")
    handed_over.put("b@1", make_outcome("t1", b"x" * 2000))
    assert not handed_over.is_proven_never_begun("a@1", "o", "t2")
    assert handed_over.get("b@1", "o", "t1") is not None
    clock.advance(RETENTION_S + 1)
    handed_over.put("c@1", make_outcome("t1"))
    assert list(handed_over.dump()) == ["c@1"]


def test_chunks_have_bounded_size_and_keep_the_order():
    outcomes = [make_outcome(f"t{n}", b"x" * 400) for n in range(10)]
    chunks = split_into_chunks(outcomes, 3000)
    assert [outcome for chunk in chunks for outcome in chunk] == outcomes
    assert [len(chunk) for chunk in chunks] == [3, 3, 3, 1]
