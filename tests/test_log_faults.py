"""The log slow, down, losing answers, late: bookings stay truthful, tickets go on."""

from collections.abc import Callable

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_bench.field import Event, Field
from celeryfork_bench.rig import Rig
from trial import (
    in_order,
    plain_asks,
    run_trial,
    small_rig,
    ticket_asks,
    tickets_of,
)

LOAD_S = 3.0
FAULTS: dict[str, Callable[[Field], None]] = {
    "slow": lambda field: field.rig.platform.log.slow(1.0),
    "outage": lambda field: field.rig.platform.log.outage(True),
    "down": lambda field: field.rig.platform.down(True),
    "loses_answers": lambda field: field.rig.platform.log.lose_answers(0.5),
    "late_appends": lambda field: field.rig.platform.log.late_appends(0.5, 2.0),
    "refuses": lambda field: field.rig.platform.log.refuse_appends(0.5),
}


@pytest.fixture
def rig():
    with small_rig() as made:
        yield made


@pytest.mark.parametrize("fault", FAULTS)
def test_bookings_are_truthful_and_tickets_go_on(rig: Rig, fault: str) -> None:
    tickets = tickets_of(rig, 30)
    asks = in_order(
        plain_asks("cancel", 60, LOAD_S),
        plain_asks("book", 60, LOAD_S),
        plain_asks("slots", 30, LOAD_S),
        ticket_asks(tickets, LOAD_S),
    )
    trial = run_trial(rig, asks, [Event(0.5, fault, FAULTS[fault])])
    assert trial.violations == ()
    ran_by_key = rig.services.ran_by_key
    told = trial.last_of_each()
    for last in told:
        key = last.ask.key
        if key is None or key in tickets:
            assert last.outcome is Outcome.DONE, last
        else:
            assert last.outcome is not Outcome.FAILED, last
            assert len(ran_by_key.get(key, [])) <= 1
    keyed = [last for last in told if last.ask.key not in {None, *tickets}]
    assert {last.outcome for last in keyed[:10]} == {Outcome.DONE}
    if fault == "outage":
        assert Outcome.NOT_RUN in {last.outcome for last in keyed}
