"""A short soak of entry processes, and some that break a promise on purpose."""

import signal

import pytest
from entry_soak import Soak
from planted_faults import PLANTED

SEED = 1
SECONDS = 10.0
RETRY_SLACK = 2_000
"""A slack that faults don't use up: what is done then is for other tests (issue 21)."""
SEEN_SECONDS = 3.0
ONE_RUN = """
from celeryfork_entry import stream_bounds
stream_bounds.MOST_RUNS = 1
"""
SEEN = {
    "layers left out": (*PLANTED["layers left out"], ("store", "configure")),
    "a stop that waits for nobody": (
        *PLANTED["a stop that waits for nobody"],
        ("instance", "signal", signal.SIGTERM),
    ),
    "what leaves is chosen on": (
        *PLANTED["what leaves is chosen on"],
        ("service", "drain"),
    ),
    "a begun answer ends with its first path": ("begun", ONE_RUN, ("engine", "kill")),
}
"""Planted faults, each with the promise that it breaks and the fault that shows it."""


@pytest.mark.slow
@pytest.mark.trial
def test_promises_hold_while_faults_overlap(tmp_path):
    assert Soak(SEED, SECONDS, tmp_path, slack=RETRY_SLACK).run() == []


@pytest.mark.slow
@pytest.mark.trial
@pytest.mark.parametrize(("promise", "planted", "fault"), SEEN.values(), ids=SEEN)
def test_a_soak_sees_a_planted_fault(promise, planted, fault, tmp_path):
    soak = Soak(SEED, SEEN_SECONDS, tmp_path, planted, [fault], RETRY_SLACK)
    assert promise in {broken for broken, _ in soak.run()}
