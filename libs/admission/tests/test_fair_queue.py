"""Tests of celeryfork_admission.fair_queue."""

from celeryfork_admission.fair_queue import FairQueue, QueuedRequest


def waiting(
    organisation: str, cost: float = 1, weight: float = 1, expires_s: float = 9
):
    return QueuedRequest(organisation, cost=cost, weight=weight, expires_s=expires_s)


def test_a_flood_of_one_organisation_does_not_delay_another() -> None:
    queue = FairQueue()
    for _ in range(100):
        queue.push(waiting("large"))
    queue.push(waiting("small"))
    served = [queue.pop().organisation for _ in range(3)]
    assert "small" in served


def test_weights_share_the_slots() -> None:
    queue = FairQueue()
    for _ in range(90):
        queue.push(waiting("heavy", weight=3))
        queue.push(waiting("light", weight=1))
    served = [queue.pop().organisation for _ in range(40)]
    assert 28 <= served.count("heavy") <= 32


def test_expired_and_withdrawn_requests_are_never_served() -> None:
    queue = FairQueue()
    late, kept, withdrawn = waiting("a", expires_s=1), waiting("a"), waiting("b")
    for each in (late, kept, withdrawn):
        queue.push(each)
    assert list(queue.pop_expired(2)) == [late]
    assert queue.withdraw(withdrawn)
    assert not queue.withdraw(withdrawn)
    assert queue.pop() is kept
    assert queue.pop() is None
    assert queue.waiting_count == 0
    assert queue.waiting_cost == 0
    assert queue.next_expiry_s() is None
