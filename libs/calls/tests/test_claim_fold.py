"""Tests of celeryfork_calls.claim_fold."""

import pytest
from celeryfork_base.identity import make_uuid7
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_fold import (
    MAX_FUTURE_MS,
    ClaimEnded,
    ClaimFold,
    ClaimIgnored,
    ClaimLost,
    ClaimWon,
)
from celeryfork_calls.claim_records import Abandon, Batch, Claim, Settled
from celeryfork_calls.kept_outcomes import KeptOutcome

NOW_MS = 1_800_000_000_000
KEY_STATE_TTL_MS = 120_000
ONE, TWO = "11" * 8, "22" * 8


@pytest.fixture
def fold():
    return ClaimFold(KEY_STATE_TTL_MS)


@pytest.fixture
def key():
    return str(make_uuid7(NOW_MS))


def claim(key, nonce):
    return Claim("o", key, "ab" * 16, nonce)


def settled(key, nonce, outcome, body=b"x"):
    kept = KeptOutcome("o", key, outcome, 200, "text/plain", body, "ab" * 16, NOW_MS)
    return Settled(nonce, kept)


def apply(fold, *entries, at_ms=NOW_MS, offset=0):
    return list(fold.apply(offset, at_ms, Batch("a@1", entries)))


def test_the_first_claim_wins_and_stays_the_winner(fold, key):
    effects = apply(fold, claim(key, ONE), claim(key, TWO), claim(key, ONE))
    assert effects == [ClaimWon(ONE), ClaimLost(TWO), ClaimWon(ONE)]
    assert fold.held("o", key).holder == "a@1"
    assert fold.held("another", key) is None


def test_an_abandon_frees_the_key_for_the_next_claim_alone(fold, key):
    apply(fold, claim(key, ONE), claim(key, TWO))
    assert apply(fold, Abandon("o", key, TWO)) == []
    assert fold.held("o", key).nonce == ONE
    (ended,) = apply(fold, Abandon("o", key, ONE))
    assert isinstance(ended, ClaimEnded)
    assert fold.held("o", key) is None
    assert apply(fold, claim(key, "33" * 8)) == [ClaimWon("33" * 8)]


def test_a_claim_that_turns_up_after_its_abandon_takes_nothing(fold, key):
    apply(fold, Abandon("o", key, ONE))
    assert apply(fold, claim(key, ONE), claim(key, TWO)) == [
        ClaimLost(ONE),
        ClaimWon(TWO),
    ]


def test_an_outcome_is_final_but_for_unknown(fold, key):
    apply(fold, claim(key, ONE))
    apply(fold, settled(key, TWO, Outcome.DONE))
    assert fold.held("o", key).outcome is None
    apply(fold, settled(key, ONE, Outcome.UNKNOWN), offset=5)
    apply(fold, settled(key, ONE, Outcome.DONE), offset=6)
    apply(fold, settled(key, ONE, Outcome.FAILED), Abandon("o", key, ONE), offset=7)
    held = fold.held("o", key)
    assert (held.outcome, held.outcome_offset) == (Outcome.DONE, 6)


def test_keys_outside_what_is_kept_are_ignored_and_dropped(fold, key):
    apply(fold, claim(key, ONE))
    assert fold.key_count() == 1
    apply(fold, at_ms=NOW_MS + KEY_STATE_TTL_MS + 61_000)
    assert fold.key_count() == 0
    assert apply(fold, claim(key, TWO)) == [ClaimIgnored(TWO)]
    ahead = str(make_uuid7(NOW_MS + MAX_FUTURE_MS + KEY_STATE_TTL_MS + 70_000))
    assert apply(fold, claim(ahead, TWO)) == [ClaimIgnored(TWO)]
    assert apply(fold, claim("no uuid", TWO)) == [ClaimIgnored(TWO)]


def test_too_many_abandons_of_a_minute_stop_its_grants(fold, key, monkeypatch):
    monkeypatch.setattr("celeryfork_calls.claim_fold.MAX_ABANDONED_PER_SLICE", 3)
    apply(fold, *(Abandon("o", key, f"{n:016x}") for n in range(4)))
    assert apply(fold, claim(key, ONE)) == [ClaimIgnored(ONE)]
