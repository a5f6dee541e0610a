"""A short soak of entry processes, and some that break promises on purpose."""

import signal

import pytest
from entry_soak import Soak
from planted_faults import PLANTED
from promises import PROMISES

SEED = 1
SECONDS = 10.0
RETRY_SLACK = 2_000
"""A slack that faults don't use up: what is done then is for other tests (issue 21)."""
SEEN_SECONDS = 4.0
ONE_RUN = """
from celeryfork_entry import stream_limits
stream_limits.MAX_FAILURES = 1
"""
SOAKED = PLANTED | {"a begun answer ends with its first path": ("begun", ONE_RUN)}
SEEN = {
    "plain calls": (
        "another request's answer",
        "sent again whatever became of it",
        "a promise that no target made",
        ("service", "change", "behaviour", "other"),
        ("service", "change", "behaviour", "busy"),
    ),
    "streams": (
        "layers left out",
        "a begun answer ends with its first path",
        ("engine", "kill"),
    ),
    "stops": ("a stop that waits for nobody", ("instance", "signal", signal.SIGTERM)),
    "leaving": ("what leaves is chosen on", ("service", "drain")),
    "configurations": (
        "any configuration is taken",
        ("store", "configure_older"),
        ("store", "configure"),
    ),
}
"""Planted faults by name, and the faults of the plan that show them."""


@pytest.mark.slow
@pytest.mark.trial
def test_promises_hold_while_faults_overlap(tmp_path):
    assert Soak(SEED, SECONDS, tmp_path, slack=RETRY_SLACK).run() == []


@pytest.mark.slow
@pytest.mark.trial
@pytest.mark.parametrize("seen", SEEN.values(), ids=SEEN)
def test_a_soak_sees_planted_faults(seen, tmp_path):
    planted = [SOAKED[each] for each in seen if each in SOAKED]
    faults = [each for each in seen if each not in SOAKED]
    program = "\n".join(program for _, program in planted)
    soak = Soak(SEED, SEEN_SECONDS, tmp_path, program, faults, RETRY_SLACK)
    assert {promise for promise, _ in planted} <= {broken for broken, _ in soak.run()}


def test_every_promise_has_a_planted_fault_that_soaks_see():
    seen = {SOAKED[each][0] for row in SEEN.values() for each in row if each in SOAKED}
    assert seen == {*PROMISES, "begun"}
