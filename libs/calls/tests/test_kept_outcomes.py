"""Tests of celeryfork_calls.kept_outcomes."""

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.kept_outcomes import (
    ENTRY_OVERHEAD_BYTES,
    KeptOutcome,
    KeptOutcomeStore,
    kept_from_wire,
)


def make_outcome(key, outcome=Outcome.DONE, body=b"booked"):
    return KeptOutcome("o", key, outcome, 200, "text/plain", body, "ab", 7)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return KeptOutcomeStore(clock, Counters(), 3, 3 * ENTRY_OVERHEAD_BYTES + 3000, 60.0)


def test_an_outcome_is_returned_only_to_its_organisation(store):
    store.put(make_outcome("k"))
    assert store.get("o", "k") == make_outcome("k")
    assert store.get("p", "k") is None


def test_count_bytes_and_time_are_limited(store, clock):
    for n in range(5):
        store.put(make_outcome(f"k{n}"))
    assert [k.key for k in store.all()] == ["k2", "k3", "k4"]
    store.put(make_outcome("large", body=b"x" * 3000))
    assert [k.key for k in store.all()] == ["k4", "large"]
    clock.advance(61)
    assert store.get("o", "large") is None
    assert store.dump() == {"count": 0, "bytes": 0}


def test_an_unknown_outcome_never_replaces_a_known_one(store):
    store.put(make_outcome("k", Outcome.UNKNOWN))
    store.put(make_outcome("k"))
    store.put(make_outcome("k", Outcome.UNKNOWN))
    assert store.get("o", "k").outcome is Outcome.DONE
    assert store.dump()["count"] == 1


def test_an_unrecognised_outcome_value_becomes_unknown():
    wire = make_outcome("k").to_wire()
    assert kept_from_wire(wire) == make_outcome("k")
    wire.outcome = "perhaps"
    assert kept_from_wire(wire).outcome is Outcome.UNKNOWN
