"""Tests of celeryfork_admission.retry_budget."""

from celeryfork_admission.retry_budget import INITIAL_RETRIES, make_retry_budget
from celeryfork_base.clock import ManualClock


def test_retries_are_limited_to_a_share_of_successes() -> None:
    budget = make_retry_budget(lambda: 0.1, ManualClock())
    for _ in range(1000):
        budget.record_success()
    allowed = sum(budget.try_spend() for _ in range(1000))
    assert allowed <= 1000 * 0.1 + INITIAL_RETRIES


def test_spent_budget_is_refilled_by_time() -> None:
    clock = ManualClock()
    budget = make_retry_budget(lambda: 0.1, clock)
    while budget.try_spend():
        pass
    clock.advance(2.1)
    assert budget.try_spend()
    assert not budget.try_spend()
