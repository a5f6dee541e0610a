"""Short soak tests of entry processes, also of processes with planted faults."""

import signal

import pytest
from entry_soak import Soak
from planted_faults import PLANTED
from promises import PROMISES

SEED = 1
SOAK_S = 10.0
RETRY_SLACK = 2_000
"""Retry budget that the faults don't exhaust; other tests exhaust it (issue 21)."""
PLANTED_SOAK_S = 4.0
END_AT_FIRST_FAILURE = """
from celeryfork_entry import stream_limits
stream_limits.MAX_FAILURES = 1
"""
"""Planted fault, as code that runs in the process before it starts."""
KEEP_EVIDENCE = """
from celeryfork_admission.crash_evidence import CrashEvidence
CrashEvidence.take_changes = lambda self: []
CrashEvidence.records = lambda self, limit: []
"""
CONVICT_ALL = """
from celeryfork_admission import crash_records
from celeryfork_admission.crash_evidence import CrashEvidence
crash_records.CONVICTION_WEIGHT = 1
CrashEvidence.record_sound = lambda self, traits: None
"""
PLANTED_BY_NAME = PLANTED | {
    "a started stream ends when its first run fails": ("begun", END_AT_FIRST_FAILURE),
    "evidence that peers are not told": ("deadly_part", KEEP_EVIDENCE),
    "all parts of a prompt that crashed": ("sound_again", CONVICT_ALL),
}
OF_DEADLY_PARTS = {"deadly_part", "sound_again"}
"""Promises that only a soak with a deadly part can break."""
SOAK_PLANS = {
    "plain calls": (
        "another request's answer",
        "sent again whatever became of it",
        "a promise that no target made",
        ("service", "change", "behaviour", "other"),
        ("service", "change", "behaviour", "busy"),
    ),
    "streams": (
        "layers left out",
        "a started stream ends when its first run fails",
        ("engine", "kill"),
    ),
    "stops": ("a stop that waits for nobody", ("instance", "signal", signal.SIGTERM)),
    "leaving": ("what leaves is chosen on", ("service", "drain")),
    "configurations": (
        "any configuration is taken",
        ("store", "configure_older"),
        ("store", "configure"),
    ),
    "evidence": ("evidence that peers are not told", ("store", "configure")),
    "sound parts": ("all parts of a prompt that crashed", ("store", "configure")),
}
"""Names of planted faults, and the faults of the fleet that reveal them (tuples)."""


@pytest.mark.slow
@pytest.mark.trial
def test_no_promise_is_broken_under_overlapping_faults(tmp_path):
    assert Soak(SEED, SOAK_S, tmp_path, slack=RETRY_SLACK).run() == []


@pytest.mark.slow
@pytest.mark.trial
@pytest.mark.parametrize("plan", SOAK_PLANS.values(), ids=SOAK_PLANS)
def test_soak_detects_planted_faults(plan, tmp_path):
    planted = [PLANTED_BY_NAME[each] for each in plan if each in PLANTED_BY_NAME]
    faults = [each for each in plan if each not in PLANTED_BY_NAME]
    program = "\n".join(program for _, program in planted)
    promises = {promise for promise, _ in planted}
    deadly = not promises.isdisjoint(OF_DEADLY_PARTS)
    soak = Soak(SEED, PLANTED_SOAK_S, tmp_path, program, faults, RETRY_SLACK, deadly)
    assert promises <= {broken for broken, _ in soak.run()}


def test_soaks_cover_every_promise_with_a_planted_fault():
    covered = {
        PLANTED_BY_NAME[each][0]
        for plan in SOAK_PLANS.values()
        for each in plan
        if each in PLANTED_BY_NAME
    }
    assert covered == {*PROMISES, *OF_DEADLY_PARTS, "begun"}
