"""Tests of celeryfork_admission.fair_queue."""

from celeryfork_admission.fair_queue import FairQueue, QueuedRequest


def queued_request(
    organisation: str, cost: float = 1, weight: float = 1, expires_s: float = 9
):
    return QueuedRequest(organisation, cost=cost, weight=weight, expires_s=expires_s)


def test_many_requests_of_one_organisation_do_not_delay_another() -> None:
    queue = FairQueue()
    for _ in range(100):
        queue.push(queued_request("large"))
    queue.push(queued_request("small"))
    served = [queue.pop().organisation for _ in range(3)]
    assert "small" in served


def test_slots_are_shared_by_weight() -> None:
    queue = FairQueue()
    for _ in range(90):
        queue.push(queued_request("heavy", weight=3))
        queue.push(queued_request("light", weight=1))
    served = [queue.pop().organisation for _ in range(40)]
    assert 28 <= served.count("heavy") <= 32


def test_expired_and_withdrawn_requests_are_not_served() -> None:
    queue = FairQueue()
    expired, kept, withdrawn = (
        queued_request("a", expires_s=1),
        queued_request("a"),
        queued_request("b"),
    )
    for each in (expired, kept, withdrawn):
        queue.push(each)
    assert list(queue.pop_expired(2)) == [expired]
    assert queue.withdraw(withdrawn)
    assert not queue.withdraw(withdrawn)
    assert queue.pop() is kept
    assert queue.pop() is None
    assert queue.waiting_count == 0
    assert queue.waiting_cost == 0
    assert queue.next_expiry_s() is None
