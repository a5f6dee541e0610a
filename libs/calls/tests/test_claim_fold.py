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
FIRST_NONCE, SECOND_NONCE = "11" * 8, "22" * 8


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


def test_the_first_claim_of_a_key_holds_it(fold, key):
    effects = apply(
        fold, claim(key, FIRST_NONCE), claim(key, SECOND_NONCE), claim(key, FIRST_NONCE)
    )
    assert effects == [
        ClaimWon(FIRST_NONCE),
        ClaimLost(SECOND_NONCE),
        ClaimWon(FIRST_NONCE),
    ]
    assert fold.held("o", key).holder == "a@1"
    assert fold.held("another", key) is None


def test_only_the_abandon_of_the_holders_claim_frees_the_key(fold, key):
    apply(fold, claim(key, FIRST_NONCE), claim(key, SECOND_NONCE))
    assert apply(fold, Abandon("o", key, SECOND_NONCE)) == []
    assert fold.held("o", key).nonce == FIRST_NONCE
    (ended,) = apply(fold, Abandon("o", key, FIRST_NONCE))
    assert isinstance(ended, ClaimEnded)
    assert fold.held("o", key) is None
    assert apply(fold, claim(key, "33" * 8)) == [ClaimWon("33" * 8)]


def test_a_claim_appended_after_its_abandon_does_not_take_the_key(fold, key):
    apply(fold, Abandon("o", key, FIRST_NONCE))
    assert apply(fold, claim(key, FIRST_NONCE), claim(key, SECOND_NONCE)) == [
        ClaimLost(FIRST_NONCE),
        ClaimWon(SECOND_NONCE),
    ]


def test_only_an_unknown_outcome_is_replaced(fold, key):
    apply(fold, claim(key, FIRST_NONCE))
    apply(fold, settled(key, SECOND_NONCE, Outcome.DONE))
    assert fold.held("o", key).outcome is None
    apply(fold, settled(key, FIRST_NONCE, Outcome.UNKNOWN), offset=5)
    apply(fold, settled(key, FIRST_NONCE, Outcome.DONE), offset=6)
    apply(
        fold,
        settled(key, FIRST_NONCE, Outcome.FAILED),
        Abandon("o", key, FIRST_NONCE),
        offset=7,
    )
    held = fold.held("o", key)
    assert (held.outcome, held.outcome_offset) == (Outcome.DONE, 6)


def test_keys_that_are_expired_or_too_far_ahead_are_ignored(fold, key):
    apply(fold, claim(key, FIRST_NONCE))
    assert fold.key_count() == 1
    apply(fold, at_ms=NOW_MS + KEY_STATE_TTL_MS + 61_000)
    assert fold.key_count() == 0
    assert apply(fold, claim(key, SECOND_NONCE)) == [ClaimIgnored(SECOND_NONCE)]
    ahead = str(make_uuid7(NOW_MS + MAX_FUTURE_MS + KEY_STATE_TTL_MS + 70_000))
    assert apply(fold, claim(ahead, SECOND_NONCE)) == [ClaimIgnored(SECOND_NONCE)]
    assert apply(fold, claim("no uuid", SECOND_NONCE)) == [ClaimIgnored(SECOND_NONCE)]


def test_too_many_abandons_in_a_slice_stop_its_grants(fold, key, monkeypatch):
    monkeypatch.setattr("celeryfork_calls.claim_fold.MAX_ABANDONED_PER_SLICE", 3)
    apply(fold, *(Abandon("o", key, f"{n:016x}") for n in range(4)))
    assert apply(fold, claim(key, FIRST_NONCE)) == [ClaimIgnored(FIRST_NONCE)]
