"""Tests of celeryfork_config.records, .in_force and .describe."""

from pathlib import Path

import pytest
from celeryfork_config.describe import configuration_page
from celeryfork_config.in_force import ForceTable
from celeryfork_config.records import Organisation, Policy, validate_record

PAGE = Path(__file__).parents[3] / "docs" / "CONFIGURATION.md"
KEY = "ab" * 32


def paths(name: str, payload, schema: int = 1) -> set[str]:
    with pytest.raises(ExceptionGroup) as caught:
        validate_record(name, schema, payload)
    return {error.path for error in caught.value.exceptions}


def test_the_name_fills_the_payload_and_can_not_be_contradicted() -> None:
    service = validate_record(
        "service/visits", 1, {"kinds_by_name": {"book": {"idempotent": False}}}
    )
    assert service.name == "visits"
    assert service.kinds_by_name["book"].name == "book"
    link = validate_record("link/westlands/karen", 1, {"latency_ms": 0.25})
    assert (link.from_domain, link.to_domain) == ("westlands", "karen")
    assert paths("model/a", {"name": "b", "layers": 1}) == {"$.name"}


def test_defaults_fill_what_is_left_out_and_unknown_keys_are_refused() -> None:
    assert validate_record("policy/default", 1, {}) == Policy()
    assert paths("policy/default", {"most_atempts": 3}) == {"$.most_atempts"}


def test_all_faults_of_a_record_come_at_once() -> None:
    payload = {
        "kinds_by_name": {
            "book": {"idempotent": "no", "timeout_s": 0},
            "see": {"name": "look", "idempotent": True, "status_path": "/x"},
            "odd": 7,
        }
    }
    assert paths("service/visits", payload) == {
        "$.kinds_by_name.book.idempotent",
        "$.kinds_by_name.book.timeout_s",
        "$.kinds_by_name.see.name",
        "$.kinds_by_name.see.status_path",
        "$.kinds_by_name.odd",
    }


@pytest.mark.parametrize(
    ("name", "schema"),
    [("colour/red", 1), ("model/a", 9), ("model/a/b", 1), ("policy/other", 1)],
)
def test_what_this_version_can_not_read_is_refused(name, schema) -> None:
    assert paths(name, {}, schema) == {"$"}


def test_faults_between_two_fields_are_found() -> None:
    assert paths("policy/default", {"default_deadline_s": 700}) == {
        "$.default_deadline_s"
    }
    assert paths("policy/default", {"claim_window_s": 80_000}) == {"$.claim_window_s"}


def test_a_key_finds_its_organisation_whatever_order_they_came_in() -> None:
    first = Organisation(name="a", key_sha256s=(KEY,))
    second = Organisation(name="b", key_sha256s=(KEY,))
    for order in [(first, second), (second, first)]:
        table = ForceTable()
        for organisation in order:
            table.replace(None, organisation)
        before = table.snapshot(1)
        assert before.organisation_by_key_sha256(KEY) == first
        table.replace(first, Organisation(name="a"))
        assert table.snapshot(2).organisation_by_key_sha256(KEY) == second
        table.replace(second, None)
        assert table.snapshot(3).organisation_by_key_sha256(KEY) is None
        assert before.organisation_by_key_sha256(KEY) == first, "snapshots stay"


def test_the_page_is_current() -> None:
    assert PAGE.read_text() == configuration_page(), (
        "run python -m celeryfork_config.describe > docs/CONFIGURATION.md"
    )
