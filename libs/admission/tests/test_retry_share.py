"""Tests of celeryfork_admission.retry_share."""

import random

import pytest
from celeryfork_admission.retry_share import RetryShare


def count_acquired(share, now_s, instances, attempts):
    return sum(share.acquire(now_s, instances) is not None for _ in range(attempts))


def test_all_instances_together_stay_within_the_budget():
    instances, requests = 7, 50
    shares = [RetryShare(0.2, 198, 10.0) for _ in range(instances)]
    for share in shares:
        for _ in range(requests):
            share.record_request(100.0)
    total = sum(count_acquired(share, 101.0, instances, 500) for share in shares)
    assert total <= 0.2 * requests * instances + 198
    assert total >= 0.8 * (0.2 * requests * instances + 198)


def test_retries_are_allowed_again_when_they_leave_the_window():
    share = RetryShare(0.2, 10, 10.0)
    assert count_acquired(share, 0.0, 1, 50) == 9
    assert count_acquired(share, 9.0, 1, 50) == 0
    assert count_acquired(share, 10.1, 1, 50) == 9


def test_every_window_stays_within_the_budget():
    share = RetryShare(0.2, 10, 10.0)
    retries_s = []
    for tick in range(400):
        now_s = tick / 10
        share.record_request(now_s)
        if share.acquire(now_s, 1) is not None:
            retries_s.append(now_s)
    for start_s in retries_s:
        inside = sum(start_s <= at_s < start_s + 10.0 for at_s in retries_s)
        assert inside <= 0.2 * 101 + 10


def test_refunded_retry_can_be_acquired_again():
    share = RetryShare(0.0, 10, 10.0)
    acquired = [share.acquire(0.5, 1) for _ in range(9)]
    assert share.acquire(1.0, 1) is None
    share.refund(acquired[4])
    assert share.acquire(1.0, 1) is not None
    assert share.acquire(1.0, 1) is None


def test_refund_of_a_retry_outside_the_window_is_ignored():
    share = RetryShare(0.0, 10, 10.0)
    old = share.acquire(0.0, 1)
    assert count_acquired(share, 10.5, 1, 50) == 9
    share.refund(old)
    assert share.acquire(10.5, 1) is None


LOAN_LIFETIME_S = 1.0


def test_loan_is_counted_at_the_lender_as_of_its_expiry():
    lender, borrower = (RetryShare(0.0, 20, 10.0) for _ in range(2))
    assert lender.lend(5.0, 2, 50, LOAN_LIFETIME_S) == 4
    assert lender.lendable(15.9, 2) == 2
    assert lender.lendable(16.1, 2) == 4
    borrower.borrow(4, 6.0)
    assert count_acquired(borrower, 6.0, 2, 50) == 4 + 9


def test_expired_loan_cannot_be_used():
    borrower = RetryShare(0.0, 20, 10.0)
    borrower.borrow(4, 6.0)
    assert count_acquired(borrower, 6.1, 2, 50) == 9


def test_share_lends_half_of_its_unused_retries():
    share = RetryShare(0.0, 20, 10.0)
    assert [share.lend(0.0, 2, 50, LOAN_LIFETIME_S) for _ in range(5)] == [
        4,
        2,
        1,
        1,
        0,
    ]
    assert count_acquired(share, 0.0, 2, 50) == 1
    assert share.lend(0.0, 2, 50, LOAN_LIFETIME_S) == 0


def test_refunded_borrowed_retry_can_be_used_until_it_expires():
    share = RetryShare(0.0, 0, 10.0)
    share.borrow(1, 6.0)
    retry = share.acquire(5.0, 1)
    assert share.acquire(5.0, 1) is None
    share.refund(retry)
    assert share.can_acquire(5.5, 1)
    assert not share.can_acquire(6.5, 1)


@pytest.mark.parametrize("seed", range(20))
def test_every_window_stays_within_the_budget_with_loans(seed):
    """Loans get lost (10 %) or are delayed, and are used shortly before they expire.

    Lenders lend and retry as soon as their windows allow it. The failure would be a
    loan that its lender counts too early: its retry then falls into a window that the
    lender has filled again.
    """
    rng, instances, slack = random.Random(seed), 6, 60
    shares = [RetryShare(0.0, slack, 10.0) for _ in range(instances)]
    borrower, lenders = shares[0], shares[1:]
    retries_s, loans, now_s = [], [], 0.0
    while now_s < 60.0:
        now_s += rng.uniform(0.005, 0.015)
        for share in lenders:
            if lent := share.lend(now_s, instances, rng.randint(1, 9), LOAN_LIFETIME_S):
                until_s = now_s - rng.uniform(0.0, 0.02) + LOAN_LIFETIME_S
                if rng.random() < 0.9:
                    loans.append((until_s, lent))
        for until_s, lent in [loan for loan in loans if loan[0] - now_s < 0.03]:
            loans.remove((until_s, lent))
            borrower.borrow(lent, until_s)
        for share in shares:
            while retry := share.acquire(now_s, instances):
                if rng.random() < 0.1:
                    share.refund(retry)
                    break
                retries_s.append(now_s)
    assert len(retries_s) > 4 * slack
    for start_s in retries_s:
        assert sum(start_s <= at_s < start_s + 10.0 for at_s in retries_s) <= slack
