"""The table of targets: the list, and what requests have shown."""

from attrs import evolve
from celeryfork_entry.targets import (
    LONGEST_HOLD_S,
    Listed,
    Target,
    TargetTable,
    Unlisted,
)

TARGET = Target("t1", "desk", "10.0.0.1:80", "a", orders=3, born_ms=1000)


def make_table():
    table = TargetTable()
    table.apply([Listed(TARGET)], 1.0)
    return table


def test_a_draining_target_gets_no_new_work():
    table = make_table()
    table.apply([Listed(evolve(TARGET, draining=True))], 2.0)
    assert table.in_choice("desk") == []


def test_an_older_entry_of_the_same_start_changes_nothing():
    table = make_table()
    table.apply([Listed(evolve(TARGET, orders=2, draining=True))], 2.0)
    assert table.in_choice("desk") == [TARGET]


def test_an_entry_of_an_earlier_start_changes_nothing():
    table = make_table()
    table.apply([Listed(evolve(TARGET, born_ms=900, orders=9))], 2.0)
    assert table.in_choice("desk") == [TARGET]


def test_a_restart_clears_what_was_seen():
    table = make_table()
    table.hold("t1", "refused", 1.0)
    assert table.in_choice("desk") == []
    again = evolve(TARGET, born_ms=2000, orders=0)
    table.apply([Listed(again)], 2.0)
    assert table.in_choice("desk") == [again]


def test_what_a_whole_list_lacks_is_gone():
    table = make_table()
    other = evolve(TARGET, id="t2")
    table.replace_all([other], 2.0)
    assert list(table.by_id) == ["t2"]


def test_an_entry_that_goes_is_forgotten():
    table = make_table()
    table.apply([Unlisted("t1")], 2.0)
    assert table.by_id == {}


def test_a_held_target_stays_a_last_resort():
    table = make_table()
    table.hold("t1", "refused", 1.0)
    assert table.listed("desk") == [TARGET]


def test_a_silent_entry_is_not_asked_while_the_list_is_current():
    table = make_table()
    table.hold("t1", "refused", 1.5)
    assert table.to_ask(5.0, list_is_current=True) == []
    assert table.to_ask(5.0, list_is_current=False) == [TARGET]
    table.apply([Listed(TARGET)], 4.0)
    assert table.to_ask(5.0, list_is_current=True) == [TARGET]


def test_questions_become_rarer():
    table = make_table()
    for _ in range(10):
        table.hold("t1", "refused", 1.0)
    assert table.standing("t1").hold_s == LONGEST_HOLD_S
    table.succeeded("t1")
    assert table.in_choice("desk") == [TARGET]


def test_failed_answers_raise_the_share_and_good_ones_lower_it():
    table = make_table()
    for _ in range(5):
        table.failed("t1")
    share = table.standing("t1").failed_share
    assert 0.5 < share < 1.0
    table.succeeded("t1")
    assert table.standing("t1").failed_share < share
