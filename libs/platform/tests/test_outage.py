"""Tests of celeryfork_platform.outage."""

import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from celeryfork_platform.outage import MAX_BACKOFF_S, CircuitBreaker


def make_breaker() -> tuple[CircuitBreaker, ManualClock]:
    clock = ManualClock()
    return CircuitBreaker("log", clock, Counters(), seed=1), clock


def test_two_consecutive_failures_mark_the_service_as_down() -> None:
    breaker, _ = make_breaker()
    breaker.record_failure(breaker.acquire(), refused=False)
    assert breaker.available
    breaker.record_failure(breaker.acquire(), refused=False)
    assert not breaker.available


def test_one_probe_is_allowed_at_a_time() -> None:
    breaker, clock = make_breaker()
    breaker.record_failure(breaker.acquire(), refused=True)
    with pytest.raises(PlatformUnavailableError):
        breaker.acquire()
    clock.advance(MAX_BACKOFF_S)
    probe = breaker.acquire()
    assert probe.probes
    with pytest.raises(PlatformUnavailableError):
        breaker.acquire()
    breaker.record_success(probe)
    assert breaker.available


def test_abandoned_probe_allows_the_next_probe() -> None:
    breaker, clock = make_breaker()
    breaker.record_failure(breaker.acquire(), refused=True)
    clock.advance(MAX_BACKOFF_S)
    breaker.record_abandoned(breaker.acquire())
    assert breaker.acquire().probes


def test_success_of_a_call_started_before_the_outage_does_not_end_it() -> None:
    breaker, _ = make_breaker()
    earlier_permit = breaker.acquire()
    breaker.record_failure(breaker.acquire(), refused=True)
    breaker.record_success(earlier_permit)
    assert not breaker.available


def test_backoff_grows_to_its_maximum_and_is_jittered() -> None:
    breaker, clock = make_breaker()
    breaker.record_failure(breaker.acquire(), refused=True)
    waits = []
    for _ in range(12):
        started_s = clock.monotonic()
        while True:
            try:
                probe = breaker.acquire()
                break
            except PlatformUnavailableError:
                clock.advance(0.01)
        waits.append(clock.monotonic() - started_s)
        breaker.record_failure(probe, refused=True)
    assert waits[0] < 0.12
    assert max(waits) <= MAX_BACKOFF_S + 0.02
    assert min(waits[-6:]) >= MAX_BACKOFF_S / 2
    assert len({round(wait, 2) for wait in waits[-6:]}) > 1
