"""Loans of retries between instances, with lost and duplicated datagrams."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry.budget_loans import (
    LOAN_REQUEST_INTERVAL_S,
    LOAN_TTL_S,
    MAX_LENDERS,
)
from celeryfork_entry.peer_messages import (
    MAX_LOAN_RETRIES,
    LoanScope,
    RetryLoan,
    RetryLoanRequest,
    decode,
    encode_loan,
    encode_loan_request,
)
from orjson import dumps
from stream_trial import Caller, Fleet, Run

SLACK = 120.0
INSTANCES = 30


def use_up_retries(trial):
    while trial.share.acquire(time.monotonic(), INSTANCES):
        pass


def request_count(trial):
    """Return the number of loan requests that an instance sent in the last second."""
    return len(trial.loans._requests_by_number)


def wait_for_retries(fleet, trial, wanted, within_s=0.5, lost=None):
    """Use up an instance's retries; return the number that its waiting calls borrow.

    Parameters
    ----------
    lost
        Returns True for datagrams that are lost once the calls wait.
    """
    use_up_retries(trial)

    async def wait_and_take():
        until_s = time.monotonic() + within_s
        while await trial.loans.wait_for_retry("llm", until_s):
            if trial.share.acquire(time.monotonic(), INSTANCES):
                return 1
        return 0

    async def run():
        fleet.lost = lost or fleet.lost
        return sum(await asyncio.gather(*(wait_and_take() for _ in range(wanted))))

    return fleet.run(run())


@pytest.mark.parametrize("number", [0, 27], ids=["relay", "follower"])
def test_an_instance_without_retries_borrows_from_members_and_other_domains(number):
    """Each of 30 instances lends 1 of its 3 retries; nine others are in its domain."""
    fleet = Fleet(INSTANCES, SLACK)
    trial = fleet.trials[number]
    assert wait_for_retries(fleet, trial, 9) == 9
    lenders = {
        line["lender"].split(".")[1] for line in trial.logged("repeats_borrowed")
    }
    assert lenders == {"0"}
    assert wait_for_retries(fleet, trial, 16) == 16
    assert all(line["after_ms"] < 100 for line in trial.logged("repeats_borrowed"))


def test_a_domain_that_is_cut_off_borrows_only_from_its_members():
    def lost(sender, receiver):
        return sender.split(".")[1] != receiver.split(".")[1]

    fleet = Fleet(INSTANCES, SLACK, lost)
    assert 9 <= wait_for_retries(fleet, fleet.trials[0], 20) < 20


def test_lost_loan_datagrams_never_create_retries():
    """Every third datagram of a loan is lost; the lender counts its retries as used."""
    dropped = iter(range(10_000))
    fleet = Fleet(INSTANCES, SLACK)

    def lost(sender, receiver):
        return next(dropped) % 3 == 0

    got = wait_for_retries(fleet, fleet.trials[0], 12, lost=lost)
    assert 0 < got <= 12
    assert fleet.counted_retries() >= 3 + got


def test_a_loan_request_without_answer_is_sent_again():
    fleet, begun_s = Fleet(INSTANCES, SLACK), []

    def lost(sender, receiver):
        begun_s.append(time.monotonic())
        soon = time.monotonic() < begun_s[0] + LOAN_REQUEST_INTERVAL_S / 2
        return soon and receiver.endswith(".0.0:7")

    assert wait_for_retries(fleet, fleet.trials[0], 5, lost=lost) == 5
    assert request_count(fleet.trials[0]) >= 2


def test_waiting_calls_share_loan_requests():
    """A burst of a hundred calls sends as many loan requests as one: every 0.1 s."""
    fleet = Fleet(INSTANCES, SLACK)
    for trial in fleet.trials:
        use_up_retries(trial)
    borrower = fleet.trials[27]
    wait_for_retries(fleet, borrower, 100, within_s=5 * LOAN_REQUEST_INTERVAL_S)
    assert 2 <= request_count(borrower) <= 6


def test_a_loan_request_causes_a_bounded_number_of_datagrams():
    """The bound is independent of the fleet: three domains of 40 that lend one each."""
    fleet = Fleet(120, 480.0)
    borrower = fleet.trials[0]
    delivered = []

    def count(*addresses):
        delivered.append(addresses)
        return False

    assert (
        wait_for_retries(fleet, borrower, 200, LOAN_REQUEST_INTERVAL_S / 2, count) > 60
    )
    assert len(delivered) <= request_count(borrower) * 2 * 3 * (MAX_LENDERS + 1)


def loan_request(retries=2, number=1):
    return RetryLoanRequest("10.0.0.0:7", number, "llm", retries, LoanScope.FLEET)


def test_duplicate_loans_count_once_and_late_loans_are_ignored():
    trial = Fleet(INSTANCES, SLACK).trials[0]
    use_up_retries(trial)

    async def run():
        waiting = asyncio.ensure_future(
            trial.loans.wait_for_retry("llm", time.monotonic() + 0.5)
        )
        await asyncio.sleep(0.01)
        loan = RetryLoan("10.0.0.3:7", trial.loans._number, 2)
        for _ in range(3):
            trial.loans.handle_message(loan)
        assert await waiting
        for request in trial.loans._requests_by_number.values():
            request.sent_s -= LOAN_TTL_S
        trial.loans.handle_message(RetryLoan("10.0.0.6:7", loan.number, 2))
        trial.loans.handle_message(RetryLoan("10.0.0.6:7", 77, 2))

    asyncio.run(run())
    assert len(trial.share._borrowed_until_s) == 2
    assert trial.counters.count("repeats.came_late") == 4


@pytest.mark.parametrize(
    "message", [loan_request(), RetryLoan("10.0.0.3:7", 4, MAX_LOAN_RETRIES)]
)
def test_loan_messages_survive_a_round_trip(message):
    encode = encode_loan if isinstance(message, RetryLoan) else encode_loan_request
    assert decode(encode(message)) == message


@pytest.mark.parametrize("retries", [0, -1, MAX_LOAN_RETRIES + 1, 1e9, True, "3", None])
def test_invalid_numbers_of_retries_are_rejected(retries):
    for fields in (
        {"lends": retries, "at": "10.0.0.3:7", "number": 4},
        {"wants": retries, "for": "10.0.0.3:7", "number": 4, "service": "llm",
         "reach": "fleet"},
    ):  # fmt: skip
        with pytest.raises(ValueError, match="retries|number"):
            decode(dumps(fields))


def test_a_call_that_has_not_run_is_refused_without_waiting_for_a_loan():
    """Its caller can retry; loans are reserved for answers that would be lost."""
    trial = Fleet(INSTANCES, SLACK).trials[0]
    use_up_retries(trial)
    call = SimpleNamespace(
        sends=1,
        service=SimpleNamespace(name="llm"),
        metadata=SimpleNamespace(id="r1"),
        route=SimpleNamespace(name="advice"),
        request=SimpleNamespace(arrived_s=time.monotonic()),
        version=1,
    )
    begun_s = time.monotonic()
    assert not asyncio.run(trial.context.wait_for_retry_budget(call, None))
    assert time.monotonic() - begun_s < 0.1
    assert request_count(trial) == 0


def test_a_stream_without_a_loan_resumes_when_the_share_has_room_again():
    """All shares are used up, and the budget window advances during the wait."""
    trial = Fleet(1, 1.2).trials[0]
    trial.add("first", Run(3), Run(3), Run(3))
    trial.share.window_s = 1.0
    caller = trial.serve(Caller())
    assert caller.has_complete_answer
    assert trial.logged("broken_off") == []


def test_an_instance_that_has_just_started_lends_nothing():
    """It doesn't know what it used before the restart, and counts few instances."""
    trial = Fleet(INSTANCES, SLACK).trials[0]
    assert trial.loans.lendable() == {"llm": 1}
    trial.loans._started_s = time.monotonic()
    assert trial.loans.lendable() == {}
    trial.loans.handle_message(evolve(loan_request(), scope=LoanScope.NOBODY))
    assert trial.logged("repeats_lent") == []


def test_loan_requests_for_unknown_services_leave_no_state():
    trial, shares = Fleet(INSTANCES, SLACK).trials[0], {}
    trial.loans._share_of = lambda service: shares.setdefault(service, trial.share)
    for number in range(1000):
        message = evolve(loan_request(), service=f"s{number}", scope=LoanScope.NOBODY)
        trial.loans.handle_message(message)
    assert shares == {}


def test_first_request_numbers_differ_between_starts():
    """Otherwise a loan for an earlier start may be used, for another service."""
    numbers = {Fleet(1, SLACK).trials[0].loans._number for _ in range(20)}
    assert len(numbers) == 20


def test_a_call_that_has_not_run_uses_no_borrowed_retry():
    trial = Fleet(INSTANCES, 0.0).trials[0]
    trial.share.borrow(1, time.monotonic() + 1.0)
    call = trial.call(Caller(), "r1", 5.0)
    assert trial.context.acquire_send(call)
    assert not trial.context.acquire_send(call)
    call.may_have_run = True
    assert trial.context.acquire_send(call)
