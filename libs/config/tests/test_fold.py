"""Tests of celeryfork_config.fold: one for each rule, and for each fault found."""

from typing import Any

import orjson
import pytest
from celeryfork_base.counters import Counters
from celeryfork_base.errors import InputFaultError
from celeryfork_config.fold import Fold
from celeryfork_config.records import Model, validate_record
from celeryfork_platform.model import LogRecord, LogSlice

NAME = "model/a"


def read_old(name: str, schema: int, payload: Any) -> Model:
    if schema > 1 or payload["layers"] >= 90:
        raise InputFaultError("$", "It can't be read.", "upgrade")
    return Model(name=name.split("/")[1], layers=payload["layers"])


def make_fold(read_payload=validate_record) -> Fold:
    return Fold(Counters(), read_payload)


def record(based_on: int | None, layers: int | None, schema: int = 1) -> dict:
    payload = None if layers is None else {"layers": layers}
    return {"name": NAME, "schema": schema, "based_on": based_on, "payload": payload}


def carry(offset: int, as_of: int, of: dict, born: int | None = None, **more) -> dict:
    body = {
        "original_offset": offset,
        "original_ms": 0,
        "born_offset": offset if born is None else born,
        "as_of": as_of,
        "made_ms": as_of,
        "record": of,
    }
    return {"carry": {**body, **more}}


def feed(fold: Fold, first_offset: int, *entries: Any) -> Fold:
    records = tuple(
        LogRecord(first_offset + i, first_offset + i, "", orjson.dumps(entry).decode())
        for i, entry in enumerate(entries)
    )
    end = first_offset + len(entries)
    fold.apply_slice(LogSlice(records, min(first_offset, end), end))
    return fold


def layers(fold: Fold) -> int | None:
    model = fold.configuration.models_by_name.get("a")
    return model.layers if model else None


def test_the_first_of_two_racing_records_wins() -> None:
    fold = feed(make_fold(), 0, record(None, 1), record(0, 2), record(0, 3))
    assert layers(fold) == 2
    assert fold.live(NAME)[1].offset == 1


def test_after_a_retraction_a_record_is_based_on_nothing() -> None:
    fold = feed(make_fold(), 0, record(None, 1), record(0, None))
    assert layers(fold) is None
    feed(fold, 2, record(0, 2), record(1, 3), record(None, 4))
    assert layers(fold) == 4


def test_schema_versions_stand_side_by_side() -> None:
    old, new = make_fold(read_old), make_fold(lambda n, s, p: Model(name="a", **p))
    for fold in (old, new):
        feed(fold, 0, record(None, 1), record(None, 2, schema=2), record(0, 3))
    assert (layers(old), layers(new)) == (3, 2)
    for fold in (old, new):
        feed(fold, 3, record(1, None, schema=2))
    assert (layers(old), layers(new)) == (3, 3)


def test_an_unreadable_payload_is_accepted_and_the_readable_one_stays() -> None:
    fold = feed(make_fold(read_old), 0, record(None, 1), record(0, 99))
    assert layers(fold) == 1
    assert fold.dump()["unreadable"][0]["offset"] == 1
    feed(fold, 2, record(0, 2), record(1, 3))
    assert layers(fold) == 3


@pytest.mark.parametrize("error", [ValueError, KeyError, RecursionError, TypeError])
def test_whatever_a_payload_does_to_its_reader_the_stream_goes_on(error) -> None:
    def read(name: str, schema: int, payload: Any) -> Model:
        raise error("planted")

    fold = feed(make_fold(read), 0, record(None, 1))
    assert fold.dump()["unreadable"][0]["fault"]


@pytest.mark.parametrize(
    "data",
    [
        "",
        "nonsense",
        "[]",
        "{}",
        "\ud800",
        '{"carry": null}',
        '{"name": "model/a", "schema": true, "based_on": null, "payload": {}}',
        '{"name": "model/a", "schema": 1, "based_on": -1, "payload": {}}',
        '{"name": "model/a", "schema": 1, "based_on": null, "payload": 7}',
        '{"name": "a b", "schema": 1, "based_on": null, "payload": {}}',
        '{"name": ["x"], "schema": 1, "based_on": null, "payload": {}}',
        '{"name": "model/a", "schema": 1, "based_on": null, "payload": {"x":"'
        + "y" * 200_000
        + '"}}',
        "[" * 100_000,
    ],
)
def test_malformed_entries_are_counted_skipped_and_shown(data) -> None:
    fold = make_fold()
    fold.apply(LogRecord(0, 0, "", data))
    feed(fold, 1, record(None, 1))
    assert layers(fold) == 1
    assert fold.dump()["skipped"][0]["kind"] == "malformed"


def test_a_late_carry_changes_nothing() -> None:
    fold = feed(make_fold(), 0, record(None, 1), record(0, 2))
    feed(fold, 2, carry(0, 1, record(None, 1)))
    assert layers(fold) == 2


def test_a_record_based_on_the_original_is_accepted_after_its_carry() -> None:
    fold = feed(make_fold(), 50, carry(7, 50, record(None, 1)), record(7, 2))
    assert layers(fold) == 2


def test_a_record_before_the_carry_that_proves_its_base_is_accepted() -> None:
    fold = feed(make_fold(), 50, record(7, 2), carry(7, 50, record(None, 1)))
    assert layers(fold) == 2


def test_a_record_that_lost_before_the_readers_first_offset_is_refused() -> None:
    entries = (record(7, 2), carry(20, 50, record(7, 1), born=7))
    fold = feed(make_fold(), 50, *entries)
    assert layers(fold) == 1


def test_a_carry_made_before_the_readers_first_offset_proves_nothing() -> None:
    fold = feed(make_fold(), 50, carry(7, 49, record(None, 1)))
    fold.settle()
    assert layers(fold) is None


def test_a_late_carry_does_not_revive_a_record_whose_retraction_is_forgotten() -> None:
    fold = feed(make_fold(), 0, record(None, 1), record(0, None))
    fold.forget_retracted(before_ms=1000)
    feed(fold, 2, carry(0, 1, record(None, 1)))
    assert layers(fold) is None


def test_new_records_are_judged_at_the_logs_end() -> None:
    fold = feed(make_fold(), 50, record(None, 1), record(50, 2))
    assert layers(fold) is None
    fold.settle()
    assert layers(fold) == 2


def test_after_a_gap_what_is_in_force_stays_until_there_is_evidence() -> None:
    fold = feed(make_fold(), 0, record(None, 1))
    feed(fold, 50, record(40, 3))
    assert layers(fold) == 1
    fold.settle()
    assert layers(fold) == 1
    assert fold.dump()["uncertain"] == ["model/a#1"]
    assert list(fold.due_before(10_000)) == [], "an uncertain record is not carried"
    feed(fold, 51, carry(40, 50, record(0, 2), born=0), record(51, 4), record(40, 5))
    assert layers(fold) == 5


def test_a_key_that_changes_often_is_still_due_to_be_carried() -> None:
    entries = [record(None, 1)] + [record(i, i + 2) for i in range(9)]
    fold = feed(make_fold(), 0, *entries)
    ((kept, evidence_ms),) = fold.due_before(5)
    assert (kept.offset, evidence_ms) == (9, 0)


def test_a_new_reader_finds_the_readable_record_below_a_carried_one() -> None:
    entries = (record(7, 2), record(50, 99), carry(51, 52, record(50, 99), born=7))
    assert layers(feed(make_fold(read_old), 50, *entries)) == 2


def test_nothing_falls_back_on_what_came_before_a_retraction() -> None:
    source = feed(make_fold(read_old), 0, record(None, 1))
    peer = make_fold(read_old)
    peer.merge_peer_entries(source.entries_after(-1))
    feed(source, 1, record(0, None), record(None, 99))
    peer.merge_peer_entries(source.entries_after(0))
    assert layers(source) is None
    assert layers(peer) is None


def test_a_peer_takes_over_the_newest_readable_record_too() -> None:
    source = feed(make_fold(read_old), 0, record(None, 1))
    peer = make_fold(read_old)
    peer.merge_peer_entries(source.entries_after(-1))
    feed(source, 1, record(0, 2), record(1, 99))
    peer.merge_peer_entries(source.entries_after(0))
    assert (layers(source), layers(peer)) == (2, 2)
