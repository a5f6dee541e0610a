"""Lending of retry budget between instances that run as processes."""

import json
import time

import pytest
from celeryfork_entry.roster import RELAYS_PER_DOMAIN
from entry_process import Entry, wait_for

INSTANCES = RELAYS_PER_DOMAIN + 2
RETRY_SLACK = 50
STREAMS = 11
WINDOW_S = 3.0
"""Window of the retry budget in seconds.

An instance lends nothing in the first window after its start.
"""


@pytest.fixture
def domain(fleet, tmp_path):
    """Instances of one failure domain, each with an own share of four retries."""
    entries = []
    for number in range(INSTANCES):
        beside = entries[0] if entries else None
        entry = Entry(fleet, tmp_path, f"entry-{number}", "west", beside=beside)
        bounds = {"retrySlack": RETRY_SLACK, "retryWindowS": WINDOW_S}
        entry.settings["bounds"] |= bounds
        entry.write_settings()
        entries.append(entry.start())
    for entry in entries:
        entry.wait_ready()
    wait_for(lambda: all(knows_fleet(entry) for entry in entries), 15)
    time.sleep(WINDOW_S)
    yield entries
    for entry in entries:
        entry.end()
        assert not entry.events("task_failed")
        assert not entry.events("unstructured")


def dump(entry):
    return json.loads(entry.ask("/dump"))


def knows_fleet(entry):
    known = dump(entry)
    held = [each["held"] for each in known["targets"].values() if each["held"]]
    return known["instances"] == INSTANCES and len(held) >= 8


@pytest.mark.parametrize("relays", [True, False], ids=["relay", "follower"])
def test_interrupted_streams_are_resumed_with_borrowed_retries(domain, fleet, relays):
    """Issue 21: streams failed once the share of their own instance was spent.

    Each run of a stream breaks off after three events, and each stream has six, so
    that each stream needs one retry.
    """
    for engine in fleet.engines.values():
        engine.events_before_cut = 3
    borrower = next(each for each in domain if dump(each)["is_relay"] is relays)
    for number in range(STREAMS):
        body = borrower.stream(f"s{number}", events=6).read()
        events = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        assert events == [b"id: %d" % each for each in range(1, 7)], number
    lent = sum(line["lent"] for each in domain for line in each.events("repeats_lent"))
    assert (
        0 < lent == sum(line["repeats"] for line in borrower.events("repeats_borrowed"))
    )
    runs = sum(len(engine.runs) for engine in fleet.engines.values())
    assert runs - STREAMS <= RETRY_SLACK + 0.2 * STREAMS
