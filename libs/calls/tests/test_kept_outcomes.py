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


def kept(key, outcome=Outcome.DONE, body=b"booked"):
    return KeptOutcome("o", key, outcome, 200, "text/plain", body, "ab", 7)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return KeptOutcomeStore(clock, Counters(), 3, 3 * ENTRY_OVERHEAD_BYTES + 3000, 60.0)


def test_what_is_kept_is_returned_whole_to_its_organisation_alone(store):
    store.put(kept("k"))
    assert store.get("o", "k") == kept("k")
    assert store.get("p", "k") is None


def test_count_bytes_and_time_are_bounded(store, clock):
    for n in range(5):
        store.put(kept(f"k{n}"))
    assert [k.key for k in store.all()] == ["k2", "k3", "k4"]
    store.put(kept("large", body=b"x" * 3000))
    assert [k.key for k in store.all()] == ["k4", "large"]
    clock.advance(61)
    assert store.get("o", "large") is None
    assert store.dump() == {"count": 0, "bytes": 0}


def test_unknown_never_replaces_what_is_known(store):
    store.put(kept("k", Outcome.UNKNOWN))
    store.put(kept("k"))
    store.put(kept("k", Outcome.UNKNOWN))
    assert store.get("o", "k").outcome is Outcome.DONE
    assert store.dump()["count"] == 1


def test_an_outcome_that_this_version_cannot_name_is_unknown():
    wire = kept("k").to_wire()
    assert kept_from_wire(wire) == kept("k")
    wire.outcome = "perhaps"
    assert kept_from_wire(wire).outcome is Outcome.UNKNOWN
