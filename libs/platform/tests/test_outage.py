"""Tests of celeryfork_platform.outage."""

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from celeryfork_platform.outage import LONGEST_BACKOFF_S, Outage


def make_outage() -> tuple[Outage, ManualClock]:
    clock = ManualClock()
    return Outage("log", clock, Counters(), seed=1), clock


def test_one_lost_answer_is_no_outage_and_two_are() -> None:
    outage, _ = make_outage()
    outage.failed(outage.enter(), refused=False)
    assert outage.available
    outage.failed(outage.enter(), refused=False)
    assert not outage.available


def test_one_probe_goes_through_at_a_time() -> None:
    outage, clock = make_outage()
    outage.failed(outage.enter(), refused=True)
    with pytest.raises(PlatformUnavailableError):
        outage.enter()
    clock.advance(LONGEST_BACKOFF_S)
    probe = outage.enter()
    assert probe.probes
    with pytest.raises(PlatformUnavailableError):
        outage.enter()
    outage.succeeded(probe)
    assert outage.available


def test_a_probe_that_was_abandoned_lets_the_next_one_through() -> None:
    outage, clock = make_outage()
    outage.failed(outage.enter(), refused=True)
    clock.advance(LONGEST_BACKOFF_S)
    outage.abandoned(outage.enter())
    assert outage.enter().probes


def test_an_answer_from_before_the_outage_does_not_end_it() -> None:
    outage, _ = make_outage()
    early = outage.enter()
    outage.failed(outage.enter(), refused=True)
    outage.succeeded(early)
    assert not outage.available


def test_the_backoff_grows_to_its_bound_and_is_jittered() -> None:
    outage, clock = make_outage()
    outage.failed(outage.enter(), refused=True)
    waits = []
    for _ in range(12):
        began_s = clock.monotonic()
        while True:
            try:
                probe = outage.enter()
                break
            except PlatformUnavailableError:
                clock.advance(0.01)
        waits.append(clock.monotonic() - began_s)
        outage.failed(probe, refused=True)
    assert waits[0] < 0.12
    assert max(waits) <= LONGEST_BACKOFF_S + 0.02
    assert min(waits[-6:]) >= LONGEST_BACKOFF_S / 2
    assert len({round(wait, 2) for wait in waits[-6:]}) > 1
