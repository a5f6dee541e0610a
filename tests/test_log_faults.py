"""The log slow, down, losing answers, late: bookings stay truthful, tickets go on."""

from collections.abc import Callable

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_bench.field import Event, Field
from celeryfork_bench.history import Exchange, PlainAsk
from celeryfork_bench.rig import Rig, wait_until
from trial import (
    described,
    in_order,
    plain_asks,
    run_trial,
    small_rig,
    ticket_asks,
    tickets_of,
)

LOAD_S = 3.0
FAULT_AT_S = 0.5
SOUND_ANSWERS = 10
LONGEST_WAIT_S = 5.0
FAULTS: dict[str, Callable[[Field], None]] = {
    "slow": lambda field: field.rig.platform.log.slow(1.0),
    "outage": lambda field: field.rig.platform.log.outage(True),
    "down": lambda field: field.rig.platform.down(True),
    "loses_answers": lambda field: field.rig.platform.log.lose_answers(0.5),
    "late_appends": lambda field: field.rig.platform.log.late_appends(0.5, 2.0),
    "refuses": lambda field: field.rig.platform.log.refuse_appends(0.5),
}


def keyed_exchanges(field: Field) -> list[Exchange]:
    """Return the bookings and cancellations that have ended, tickets left out."""
    return [
        one
        for one in field.history.exchanges()
        if isinstance(one.ask, PlainAsk) and is_uuid(one.ask.key)
    ]


def is_uuid(key: str | None) -> bool:
    return key is not None and not key.startswith("tk1.")


def after(sound: list[Exchange], fault: str) -> Callable[[Field], None]:
    """Return the fault, struck once enough bookings have ended; note those.

    At a set time a busy machine may not have claimed the first ten yet; what the log
    then refuses has not run, and is said not to have.
    """

    def strike(field: Field) -> None:
        wait_until(
            "ten bookings done",
            lambda: len(done_of(keyed_exchanges(field))) >= SOUND_ANSWERS,
            LONGEST_WAIT_S,
        )
        sound.extend(keyed_exchanges(field))
        FAULTS[fault](field)

    return strike


def done_of(exchanges: list[Exchange]) -> list[Exchange]:
    return [one for one in exchanges if one.outcome is Outcome.DONE]


def is_shed(exchange: Exchange) -> bool:
    """Return whether a booking was refused since too many wait for the log.

    A busy machine sends the first bookings late and together; they are more than may
    wait then, and those refused are told when to come back.
    """
    return (
        exchange.outcome is Outcome.NOT_RUN
        and exchange.status == 429
        and exchange.code == "queue_full"
        and (exchange.retry_after_s or 0) > 0
    )


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
    sound = []
    trial = run_trial(rig, asks, [Event(FAULT_AT_S, fault, after(sound, fault))])
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
    done = done_of(sound)
    assert len(done) >= SOUND_ANSWERS
    others = [one for one in sound if one not in done and not is_shed(one)]
    assert not others, "".join(described(one) for one in others)
    if fault == "outage":
        assert Outcome.NOT_RUN in {last.outcome for last in keyed}
