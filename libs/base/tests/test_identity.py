"""Tests of celeryfork_base.identity."""

import uuid

from celeryfork_base.identity import make_uuid7, uuid7_timestamp_ms


def test_uuid7_contains_its_creation_time() -> None:
    key = make_uuid7(1_800_000_000_123)
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert uuid7_timestamp_ms(key) == 1_800_000_000_123


def test_other_uuid_versions_have_no_timestamp() -> None:
    assert uuid7_timestamp_ms(uuid.uuid4()) is None
