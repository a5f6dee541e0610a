"""Processor time of the attribution of crashes, which blocks all streams meanwhile."""

import time

from celeryfork_admission.crash_evidence import (
    MAX_CRASHES,
    MAX_TRAITS,
    CrashRecord,
    TraitRecord,
    make_part_trait,
)
from celeryfork_admission.explanations import explain_crashes

MAX_S = 0.2
"""Gap in seconds between two events that callers count as late."""


def test_many_suspects_with_overlapping_crashes_delay_no_event():
    """Each crash or sound run was followed by 0.34 s without any event."""
    records = [
        TraitRecord(
            make_part_trait("llm", f"part-{first}"),
            tuple(
                CrashRecord(f"end-{number}", "org", float(number), False)
                for number in range(first, first + MAX_CRASHES)
            ),
        )
        for first in range(MAX_TRAITS)
    ]
    durations_s = []
    for _ in range(3):
        begun_s = time.process_time()
        explanation = explain_crashes(records)
        durations_s.append(time.process_time() - begun_s)
    assert len(explanation.crashes) == MAX_TRAITS + MAX_CRASHES - 1
    assert min(durations_s) <= MAX_S
