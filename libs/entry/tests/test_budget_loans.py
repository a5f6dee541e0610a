"""Repeats lent between instances by datagrams that arrive, are lost, or come twice."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry.budget_loans import ASK_PAUSE_S, LOAN_LIFE_S, MOST_LENDERS
from celeryfork_entry.peer_messages import (
    MOST_REPEATS,
    Reach,
    RetryLoan,
    RetryLoanRequest,
    decode,
    encode_lent,
    encode_wanted,
)
from orjson import dumps
from stream_trial import Caller, Fleet, Run

SLACK = 120.0
INSTANCES = 30


def spend(trial):
    while trial.share.acquire(time.monotonic(), INSTANCES):
        pass


def asked(trial):
    """Return how many questions an instance asked in the last second."""
    return len(trial.loans._questions_by_number)


def wait_for_repeats(fleet, trial, wanted, within_s=0.5, lost=None):
    """Return how many repeats a spent instance gets for requests that wait together.

    Parameters
    ----------
    lost
        Tells which datagrams are lost from the time on at which they begin to wait.
    """
    spend(trial)

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
def test_a_spent_instance_gets_repeats_of_members_and_of_other_domains(number):
    """Each of 30 lends 1 of its 3; its own domain has nine others."""
    fleet = Fleet(INSTANCES, SLACK)
    trial = fleet.trials[number]
    assert wait_for_repeats(fleet, trial, 9) == 9
    lenders = {
        line["lender"].split(".")[1] for line in trial.logged("repeats_borrowed")
    }
    assert lenders == {"0"}
    assert wait_for_repeats(fleet, trial, 16) == 16
    assert all(line["after_ms"] < 100 for line in trial.logged("repeats_borrowed"))


def test_a_domain_that_is_cut_off_lends_what_it_has():
    def lost(sender, receiver):
        return sender.split(".")[1] != receiver.split(".")[1]

    fleet = Fleet(INSTANCES, SLACK, lost)
    assert 9 <= wait_for_repeats(fleet, fleet.trials[0], 20) < 20


def test_loans_on_lost_datagrams_make_no_repeats():
    """Each third datagram of a loan is lost; what it carried counts at its lender."""
    dropped = iter(range(10_000))
    fleet = Fleet(INSTANCES, SLACK)

    def lost(sender, receiver):
        return next(dropped) % 3 == 0

    got = wait_for_repeats(fleet, fleet.trials[0], 12, lost=lost)
    assert 0 < got <= 12
    assert fleet.repeats() >= 3 + got


def test_a_question_whose_answer_is_lost_is_put_again():
    fleet, begun_s = Fleet(INSTANCES, SLACK), []

    def lost(sender, receiver):
        begun_s.append(time.monotonic())
        soon = time.monotonic() < begun_s[0] + ASK_PAUSE_S / 2
        return soon and receiver.endswith(".0.0:7")

    assert wait_for_repeats(fleet, fleet.trials[0], 5, lost=lost) == 5
    assert asked(fleet.trials[0]) >= 2


def test_requests_that_wait_together_ask_together():
    """A burst of a hundred requests asks as often as one: in each 0.1 s."""
    fleet = Fleet(INSTANCES, SLACK)
    for trial in fleet.trials:
        spend(trial)
    borrower = fleet.trials[27]
    wait_for_repeats(fleet, borrower, 100, within_s=5 * ASK_PAUSE_S)
    assert 2 <= asked(borrower) <= 6


def test_a_question_brings_a_bounded_number_of_datagrams():
    """Nothing grows with the fleet: three domains of 40, where each lends one."""
    fleet = Fleet(120, 480.0)
    borrower = fleet.trials[0]
    delivered = []

    def count(*addresses):
        delivered.append(addresses)
        return False

    assert wait_for_repeats(fleet, borrower, 200, ASK_PAUSE_S / 2, count) > 60
    assert len(delivered) <= asked(borrower) * 2 * 3 * (MOST_LENDERS + 1)


def wanted_message(repeats=2, number=1):
    return RetryLoanRequest("10.0.0.0:7", number, "llm", repeats, Reach.FLEET)


def test_a_loan_that_comes_twice_counts_once_and_a_late_one_not_at_all():
    trial = Fleet(INSTANCES, SLACK).trials[0]
    spend(trial)

    async def run():
        waiting = asyncio.ensure_future(
            trial.loans.wait_for_retry("llm", time.monotonic() + 0.5)
        )
        await asyncio.sleep(0.01)
        loan = RetryLoan("10.0.0.3:7", trial.loans._number, 2)
        for _ in range(3):
            trial.loans.heard(loan)
        assert await waiting
        for question in trial.loans._questions_by_number.values():
            question.asked_s -= LOAN_LIFE_S
        trial.loans.heard(RetryLoan("10.0.0.6:7", loan.number, 2))
        trial.loans.heard(RetryLoan("10.0.0.6:7", 77, 2))

    asyncio.run(run())
    assert len(trial.share._borrowed_until_s) == 2
    assert trial.counters.count("repeats.came_late") == 4


@pytest.mark.parametrize(
    "message", [wanted_message(), RetryLoan("10.0.0.3:7", 4, MOST_REPEATS)]
)
def test_messages_come_through_as_they_are(message):
    encode = encode_lent if isinstance(message, RetryLoan) else encode_wanted
    assert decode(encode(message)) == message


@pytest.mark.parametrize("repeats", [0, -1, MOST_REPEATS + 1, 1e9, True, "3", None])
def test_impossible_numbers_of_repeats_are_unreadable(repeats):
    for fields in (
        {"lends": repeats, "at": "10.0.0.3:7", "number": 4},
        {"wants": repeats, "for": "10.0.0.3:7", "number": 4, "service": "llm",
         "reach": "fleet"},
    ):  # fmt: skip
        with pytest.raises(ValueError, match="repeats|number"):
            decode(dumps(fields))


def test_a_call_that_has_not_run_is_refused_without_waiting_for_a_loan():
    """Its caller may come back; repeats are kept for answers that would be lost."""
    trial = Fleet(INSTANCES, SLACK).trials[0]
    spend(trial)
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
    assert asked(trial) == 0


def test_an_answer_whose_repeat_nobody_lends_goes_on_when_the_share_has_room_again():
    """Pattern: all shares are spent at once; the window moves on within the wait."""
    trial = Fleet(1, 1.2).trials[0]
    trial.add("first", Run(3), Run(3), Run(3))
    trial.share.window_s = 1.0
    caller = trial.serve(Caller())
    assert caller.has_complete_answer
    assert trial.logged("broken_off") == []


def test_an_instance_that_has_just_started_lends_nothing():
    """It has forgotten what it used, and counts few instances yet."""
    trial = Fleet(INSTANCES, SLACK).trials[0]
    assert trial.loans.spare() == {"llm": 1}
    trial.loans._begun_s = time.monotonic()
    assert trial.loans.spare() == {}
    trial.loans.heard(evolve(wanted_message(), reach=Reach.NOBODY))
    assert trial.logged("repeats_lent") == []


def test_questions_for_unknown_services_leave_nothing_behind():
    trial, shares = Fleet(INSTANCES, SLACK).trials[0], {}
    trial.loans._share_of = lambda service: shares.setdefault(service, trial.share)
    for number in range(1000):
        message = evolve(wanted_message(), service=f"s{number}", reach=Reach.NOBODY)
        trial.loans.heard(message)
    assert shares == {}


def test_a_loan_for_an_earlier_start_of_an_instance_counts_for_no_other_question():
    """It may be of another service."""
    numbers = {Fleet(1, SLACK).trials[0].loans._number for _ in range(20)}
    assert len(numbers) == 20


def test_a_call_that_has_not_run_takes_no_lent_repeat():
    trial = Fleet(INSTANCES, 0.0).trials[0]
    trial.share.borrow(1, time.monotonic() + 1.0)
    call = trial.call(Caller(), "r1", 5.0)
    assert trial.context.acquire_send(call)
    assert not trial.context.acquire_send(call)
    call.may_have_run = True
    assert trial.context.acquire_send(call)
