"""Tests of celeryfork_config.publisher."""

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.errors import (
    AppendUnknownError,
    InputFaultError,
    PlatformUnavailableError,
    PublishConflictError,
)
from celeryfork_config.publisher import NEW_RECORD, make_publisher

NAME = "model/reminder-writer"


def publisher(log, timeout_s=2.0):
    return make_publisher(log, SystemClock(), timeout_s)


def test_a_published_record_can_be_shown_replaced_and_retracted(log) -> None:
    operator = publisher(log)
    first = operator.publish(NAME, 1, {"layers": 24})
    second = operator.publish(NAME, 1, {"layers": 32}, based_on=first)
    (shown,) = operator.show(NAME)
    assert (shown.offset, shown.payload) == (second, {"layers": 32})
    (retracted,) = operator.retract(NAME)
    assert operator.show(NAME) == ()
    history = operator.history(NAME)
    assert [item.offset for item in history] == [first, second, retracted]
    assert all(item.accepted for item in history)


def test_the_loser_of_a_race_learns_the_winners_offset(log) -> None:
    operator, rival = publisher(log), publisher(log)
    first = operator.publish(NAME, 1, {"layers": 24})
    winner = rival.publish(NAME, 1, {"layers": 32}, based_on=first)
    with pytest.raises(PublishConflictError) as caught:
        operator.publish(NAME, 1, {"layers": 40}, based_on=first)
    assert caught.value.winner_offset == winner


def test_a_race_lost_in_the_log_itself_is_reported(log) -> None:
    operator = publisher(log)
    first = operator.publish(NAME, 1, {"layers": 24})
    put = log.put

    def put_after_rival(data: str, nonce: str = "") -> int:
        log.put = put
        log.put_record(NAME, 1, first, {"layers": 32})
        return put(data, nonce)

    log.put = put_after_rival
    with pytest.raises(PublishConflictError) as caught:
        operator.publish(NAME, 1, {"layers": 40}, based_on=first)
    assert caught.value.winner_offset == first + 1
    assert [i.accepted for i in operator.history(NAME)] == [True, True, False]


def test_a_lost_answer_is_resolved_by_the_nonce(log) -> None:
    log.lose_answers = 1
    assert publisher(log).publish(NAME, 1, {"layers": 24}) == 0
    assert len(log.records) == 1


def test_an_append_that_never_turns_up_stays_unknown(log) -> None:
    log.hold_back = True
    operator = publisher(log, timeout_s=0.3)
    with pytest.raises(AppendUnknownError):
        operator.publish(NAME, 1, {"layers": 24})
    log.hold_back = False
    log.release_held_back()
    assert operator.show(NAME)[0].offset == 0


def test_an_append_that_was_refused_is_sent_again(log) -> None:
    log.refuse_appends = 3
    assert publisher(log).publish(NAME, 1, {"layers": 24}) == 0


def test_a_log_that_stays_down_is_reported_within_the_timeout(log) -> None:
    log.down = True
    with pytest.raises(PlatformUnavailableError):
        publisher(log, timeout_s=0.3).publish(NAME, 1, {"layers": 24})


def test_a_log_that_fails_after_the_append_leaves_acceptance_unknown(log) -> None:
    put = log.put

    def put_and_fail(data: str, nonce: str = "") -> int:
        log.down = True
        return put(data, nonce)

    log.put = put_and_fail
    with pytest.raises(AppendUnknownError, match="offset 0"):
        publisher(log, timeout_s=0.3).publish(NAME, 1, {"layers": 24})
    log.down = False
    assert publisher(log).show(NAME)[0].offset == 0


def test_the_winner_is_told_by_schema_version(log) -> None:
    log.put_record(NAME, 1, None, {"layers": 1})
    log.put_record(NAME, 2, None, {"colour": "red"})
    with pytest.raises(PublishConflictError) as caught:
        publisher(log).publish(NAME, 1, {"layers": 2}, based_on=7)
    assert caught.value.winner_offset == 0


def test_a_faulty_record_is_not_appended(log) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        publisher(log).publish(NAME, 1, {"layers": 0, "colour": "red"})
    paths = {error.path for error in caught.value.exceptions}
    assert paths == {"$.layers", "$.colour"}
    assert log.records == []


def test_a_new_record_must_have_no_live_predecessor(log) -> None:
    operator = publisher(log)
    first = operator.publish(NAME, 1, {"layers": 24}, based_on=NEW_RECORD)
    with pytest.raises(PublishConflictError) as caught:
        operator.publish(NAME, 1, {"layers": 24}, based_on=NEW_RECORD)
    assert caught.value.winner_offset == first


def test_retracting_what_is_not_published_names_the_remedy(log) -> None:
    with pytest.raises(InputFaultError, match="config show"):
        publisher(log).retract(NAME)


def test_waiting_tells_who_is_behind(log) -> None:
    operator = publisher(log)
    result = operator.wait(5, lambda: {"a": 7, "b": 4}, timeout_s=0)
    assert (result.reached, dict(result.behind)) == (("a",), {"b": 4})
    assert not operator.wait(5, lambda: {"a": 7, "b": 5}, timeout_s=5).behind
