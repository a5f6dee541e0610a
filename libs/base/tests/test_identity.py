"""Tests of celeryfork_base.identity."""

import uuid

from celeryfork_base.identity import birth_ms_of_uuid7, make_uuid7


def test_a_key_carries_its_birth_time() -> None:
    key = make_uuid7(1_800_000_000_123)
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert birth_ms_of_uuid7(key) == 1_800_000_000_123


def test_other_versions_have_no_birth_time() -> None:
    assert birth_ms_of_uuid7(uuid.uuid4()) is None
