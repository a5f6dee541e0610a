"""Tests of celeryfork_daemon.deadlines."""

import pytest
from celeryfork_base.errors import RequestRefusedError
from celeryfork_config.payloads import Policy
from celeryfork_config.settings import StopSettings
from celeryfork_daemon.deadlines import HAND_OVER_S, Deadlines
from celeryfork_daemon.http_call import HttpCall

RECEIVED_S = 1000.0


def call(deadline: str | None = None) -> HttpCall:
    headers = {} if deadline is None else {"x-deadline-ms": deadline}
    return HttpCall("POST", "/", "", headers, b"", "r1", RECEIVED_S)


def deadlines(most_stop_s: float = 620.0) -> Deadlines:
    return Deadlines(Policy, StopSettings(notice_s=1.0, most_stop_s=most_stop_s))


def test_the_callers_wish_counts_within_the_policy() -> None:
    assert deadlines().of(call("1500")) == RECEIVED_S + 1.5
    assert deadlines().of(call()) == RECEIVED_S + Policy().default_deadline_s
    assert deadlines().of(call("9" * 5000)) == RECEIVED_S + Policy().longest_deadline_s


@pytest.mark.parametrize("wrong", ["", "0", "000", "-5", "1.5", "soon", "٣"])
def test_an_absurd_deadline_is_refused(wrong: str) -> None:
    with pytest.raises(RequestRefusedError) as caught:
        deadlines().of(call(wrong))
    assert caught.value.code == "bad_deadline"


def test_no_call_is_accepted_beyond_what_a_stop_waits_for() -> None:
    short = deadlines(most_stop_s=30.0)
    assert short.of(call("60000")) == RECEIVED_S + 30.0 - HAND_OVER_S


def test_a_call_that_comes_during_a_stop_ends_with_it() -> None:
    short = deadlines(most_stop_s=30.0)
    calls_end_s = short.begin_stop(RECEIVED_S - 10.0)
    assert short.of(call("60000")) == calls_end_s
    assert short.of(call("2000")) == RECEIVED_S + 2.0
