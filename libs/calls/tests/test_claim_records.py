"""Tests of celeryfork_calls.claim_records."""

import orjson
import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_records import (
    MAX_LOGGED_BODY_BYTES,
    Abandon,
    Batch,
    Claim,
    HandedOver,
    MalformedRecordError,
    NewerRecordError,
    Settled,
    decode_batch,
    encode_batch,
    settled_for_log,
)
from celeryfork_calls.kept_outcomes import KeptOutcome

NONCE = "0f" * 8
KEPT = KeptOutcome("o", "k", Outcome.DONE, 200, "text/plain", b"\x00\xff", "ab", 7)


def test_a_batch_is_decoded_as_it_was_encoded():
    entries = [
        Claim("o", "k", "ab", NONCE),
        Abandon("o", "k", NONCE),
        Settled(NONCE, KEPT),
        HandedOver(KEPT),
    ]
    assert decode_batch(encode_batch(Batch("a@1", entries))) == Batch("a@1", entries)


@pytest.mark.parametrize(
    "data",
    ["", "no json", "[]", "{}", '{"v":1,"by":7,"e":[]}', '{"v":0,"by":"","e":[]}'],
)
def test_text_that_is_not_a_batch_is_rejected(data):
    with pytest.raises(MalformedRecordError):
        decode_batch(data)


def test_a_batch_of_a_newer_version_raises_its_own_error():
    with pytest.raises(NewerRecordError):
        decode_batch('{"v":2,"by":"a@1","e":[]}')


def test_malformed_entries_are_counted_and_extra_fields_ignored():
    entries = [
        ["c", "o", "k", "ab", NONCE, "a later version's field"],
        ["c", "o", "k", "no hex", NONCE],
        ["c", "o", "k", "ab", "0f"],
        ["o", NONCE, True, "o", "k", "perhaps", 200, "", "", "", 7],
        ["o", NONCE, True, "o", "k", "done", 200, "", "%", "", 7],
        ["z"],
        7,
    ]
    batch = decode_batch(orjson.dumps({"v": 1, "by": "a@1", "e": entries}).decode())
    assert batch.entries == [Claim("o", "k", "ab", NONCE)]
    assert batch.malformed_entries == 6


def test_a_large_answer_is_logged_without_its_body():
    kept = KeptOutcome(
        "o", "k", Outcome.DONE, 200, "", b"x" * (MAX_LOGGED_BODY_BYTES + 1), "", 7
    )
    entry = settled_for_log(NONCE, kept)
    assert not entry.body_logged
    assert entry.kept.body == b""
