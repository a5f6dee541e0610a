"""Tests of celeryfork_admission.returns."""

from celeryfork_admission.returns import MAX_ENTRIES, TTL_S, ReturnRegistry


def test_a_retry_is_due_from_the_time_that_its_refusal_named():
    registry = ReturnRegistry()
    registry.record_refusal(7, 102.0, 100.0)
    assert not registry.is_due(7, 101.8)
    assert registry.is_due(7, 101.95) and registry.is_due(7, 103.0)
    assert not registry.is_due(8, 103.0)
    assert not registry.is_due(7, 100.0 + TTL_S + 0.1)


def test_an_early_retry_does_not_renew_its_place():
    """Callers that retry at once would otherwise be due ahead of those that wait."""
    registry = ReturnRegistry()
    registry.record_refusal(7, 102.0, 100.0)
    registry.record_refusal(7, 105.0, 100.5)
    assert registry.is_due(7, 102.0)


def test_a_due_retry_that_is_refused_again_gets_a_new_time():
    registry = ReturnRegistry()
    registry.record_refusal(7, 102.0, 100.0)
    registry.record_refusal(7, 105.0, 102.0)
    assert not registry.is_due(7, 103.0)
    assert registry.is_due(7, 105.0)


def test_memory_is_bounded_and_the_oldest_are_dropped():
    registry = ReturnRegistry()
    for fingerprint in range(MAX_ENTRIES + 10):
        registry.record_refusal(fingerprint, 101.0, 100.0)
    assert len(registry) == MAX_ENTRIES
    assert not registry.is_due(0, 101.0)
    registry.forget(MAX_ENTRIES)
    assert not registry.is_due(MAX_ENTRIES, 101.0)
