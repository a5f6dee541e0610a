"""Tests of celeryfork_calls.retry_decisions."""

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.retry_decisions import (
    DoNotRetry,
    ReturnToCaller,
    TryAnotherTarget,
    decide_retry,
)
from celeryfork_calls.service_client import Lost, NotSent, Sent


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, Outcome.DONE),
        (302, Outcome.DONE),
        (404, Outcome.FAILED),
        (422, Outcome.FAILED),
        (500, Outcome.FAILED),
    ],
)
def test_a_complete_answer_is_returned_to_the_caller(status, outcome):
    sent = Sent(status, "", b"")
    assert decide_retry(sent, rejects_before_running=False) == ReturnToCaller(
        sent, outcome
    )


@pytest.mark.parametrize(
    ("result", "rejects", "may_have_run"),
    [
        (NotSent("refused"), False, False),
        (Lost("reset"), True, True),
        (Sent(429, "", b""), False, True),
        (Sent(429, "", b""), True, False),
        (Sent(503, "", b""), False, True),
        (Sent(503, "", b""), True, False),
        (Sent(503, "", b"", draining=True), False, True),
        (Sent(503, "", b"", draining=True), True, False),
        (Sent(502, "", b""), True, True),
        (Sent(504, "", b""), True, True),
    ],
)
def test_a_call_may_have_run_unless_proven_otherwise(result, rejects, may_have_run):
    decision = decide_retry(result, rejects)
    assert isinstance(decision, TryAnotherTarget)
    assert decision.may_have_run is may_have_run


def test_a_call_with_a_too_large_answer_is_not_retried():
    assert isinstance(decide_retry(Lost("x", answer_too_large=True), True), DoNotRetry)
