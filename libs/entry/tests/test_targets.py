"""The table of targets: the list, and what requests have shown."""

from types import SimpleNamespace

from attrs import evolve
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.targets import (
    LEARNT_TOLD_S,
    LEAVING_LIFE_S,
    LIST_LAG_S,
    LONGEST_HOLD_S,
    Listed,
    ReportedLayers,
    Target,
    TargetTable,
    Unlisted,
)
from celeryfork_routing.layers import LayerRange

TARGET = Target("t1", "desk", "10.0.0.1:80", "a", entry_number=3, born_ms=1000)


def make_table():
    table = TargetTable()
    table.apply([Listed(TARGET)])
    return table


def test_a_draining_target_gets_no_new_work():
    table = make_table()
    table.apply([Listed(evolve(TARGET, draining=True))])
    assert table.available("desk") == []


def test_an_older_entry_of_the_same_start_changes_nothing():
    table = make_table()
    table.apply([Listed(evolve(TARGET, entry_number=2, draining=True))])
    assert table.available("desk") == [TARGET]


def test_an_entry_of_an_earlier_start_changes_nothing():
    table = make_table()
    table.apply([Listed(evolve(TARGET, born_ms=900, entry_number=9))])
    assert table.available("desk") == [TARGET]


def test_a_restart_clears_what_was_seen():
    table = make_table()
    table.exclude("t1", "refused", 1.0)
    assert table.available("desk") == []
    again = evolve(TARGET, born_ms=2000, entry_number=0)
    table.apply([Listed(again)])
    assert table.available("desk") == [again]


def test_what_a_whole_list_lacks_is_gone():
    table = make_table()
    other = evolve(TARGET, id="t2")
    table.replace_all([other])
    assert list(table.by_id) == ["t2"]


def test_an_entry_that_goes_is_forgotten():
    table = make_table()
    table.apply([Unlisted("t1")])
    assert table.by_id == {}


def test_a_held_target_stays_a_last_resort():
    table = make_table()
    table.exclude("t1", "refused", 1.0)
    assert table.listed("desk") == [TARGET]


def test_a_held_target_is_asked_though_its_entry_does_not_change():
    """Entries are written only on a change: a cut that heals leaves none."""
    table = make_table()
    table.exclude("t1", "refused", 1.5)
    table.apply([Listed(evolve(TARGET, id="t2"))])
    assert table.due_for_check(1.6) == []
    assert table.due_for_check(2.5) == [TARGET]


def test_of_a_domain_that_is_cut_off_one_target_is_asked():
    table = make_table()
    for number in range(2, 6):
        table.apply([Listed(evolve(TARGET, id=f"t{number}"))])
    for target_id in list(table.by_id):
        table.exclude(target_id, "silent", 1.0)
    assert len(table.due_for_check(5.0)) == 1
    table.succeeded("t1")
    table.check_domain_now("a", 5.0)
    assert len(table.due_for_check(5.0)) == 4


def test_questions_become_rarer():
    table = make_table()
    for _ in range(10):
        table.exclude("t1", "refused", 1.0)
    assert table.health("t1").hold_s == LONGEST_HOLD_S
    table.succeeded("t1")
    assert table.available("desk") == [TARGET]


def test_failed_answers_raise_the_share_and_good_ones_lower_it():
    table = make_table()
    for _ in range(5):
        table.failed("t1")
    share = table.health("t1").failed_share
    assert 0.5 < share < 1.0
    table.succeeded("t1")
    assert table.health("t1").failed_share < share


def test_the_speed_of_an_engine_is_known_until_it_starts_anew():
    table = make_table()
    born = evolve(table.by_id["t1"], born_ms=1000)
    table.apply([Listed(born)])
    slow = Speed(12.0, 1000, 100.0, own=True)
    assert table.record_speed("t1", slow)
    earlier_start = Speed(1.0, 900, 100.5, own=False)
    assert not table.record_speed("t1", earlier_start)
    assert not table.record_speed("nobody", slow)
    assert table.speeds.slowness("t1", 101.0) == 12.0
    table.apply([Listed(evolve(born, born_ms=2000))])
    assert table.speeds.slowness("t1", 101.0) == 1.0


def test_slow_engines_of_one_domain_are_asked_for_their_speed():
    table = make_table()
    domain = table.by_id["t1"].domain
    born_ms = table.by_id["t1"].born_ms
    table.record_speed("t1", Speed(12.0, born_ms, 100.0, own=False))
    assert table.slow_in(domain, 101.5) == ["t1"]
    assert table.slow_in("elsewhere", 101.5) == []
    table.exclude("t1", "it is down", 101.0)
    assert table.slow_in(domain, 101.5) == [], "it is asked whether it is back"


def test_an_engine_that_refuses_is_left_out_for_a_moment():
    table = make_table()
    table.refused("t1", 100.0)
    assert 100.0 < table.health("t1").refused_until_s < 101.0
    assert table.available("desk") == [TARGET]


def test_entries_that_lapsed_with_the_store_may_come_back():
    """Pattern: the store is down for longer than three renewals of an entry."""
    table = make_table()
    other = evolve(TARGET, id="t2")
    table.apply([Listed(other)])
    table.apply([Unlisted("t1"), Unlisted("t2")], spare=True)
    assert len(table.available("desk")) == 2
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    assert table.drop_lapsed() == ["t2"]
    assert list(table.by_id) == ["t1"]


def test_a_whole_list_after_an_outage_spares_what_it_lacks():
    table = make_table()
    table.replace_all([], spare=True)
    assert list(table.by_id) == ["t1"]
    assert table.drop_lapsed() == ["t1"]
    assert table.by_id == {}


def refused_until_s(table, times_s):
    for now_s in times_s:
        table.refused("t1", now_s)
    return table.health("t1").refused_until_s


def test_an_engine_that_left_while_the_store_is_away_is_offered_ever_less():
    """The pattern of incident inc-807a: engines leave while nothing can say so."""
    table = make_table()
    table.list_is_stale = True
    assert refused_until_s(table, [100.0]) < 100.5
    assert refused_until_s(table, [101.0, 102.0, 103.0, 104.0, 105.0]) > 107.0
    assert refused_until_s(table, [110.0]) < 113.0


def test_an_engine_without_memory_is_tried_again_soon_however_often_it_refuses():
    assert refused_until_s(make_table(), [100.0, 101.0, 102.0, 103.0]) < 103.5


def test_an_engine_that_takes_work_again_is_trusted_again():
    table = make_table()
    table.list_is_stale = True
    refused_until_s(table, [100.0, 101.0, 102.0])
    table.accepted(["t1"])
    assert refused_until_s(table, [110.0]) < 110.5


def test_an_engine_may_refuse_for_days():
    """Two to the number of refusals was too large for a float after 1,025 of them."""
    table = make_table()
    refused_until_s(table, [float(second) for second in range(2_000)])
    table.list_is_stale = True
    assert refused_until_s(table, [3_000.0]) < 3_003.0


def test_an_engine_that_refuses_on_while_the_list_is_old_should_be_asked():
    """Pattern: wanjiru-descale hunt-0b8a-27, engines drain while the store is away."""
    table = make_table()
    assert not any(table.refused("t1", now_s) for now_s in (100.0, 101.0, 102.0))
    table.list_is_stale = True
    table.accepted(["t1"])
    assert [table.refused("t1", now_s) for now_s in (103.0, 104.0)] == [False, True]


def test_a_target_that_says_it_leaves_gets_no_new_work_until_its_next_entry():
    table = make_table()
    table.mark_leaving("t1", 100.0)
    assert table.listed("desk") == table.available("desk") == []
    assert table.counts_by_service() == {}
    table.apply([Listed(TARGET)])
    assert table.listed("desk") == []
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    assert len(table.listed("desk")) == 1


def test_a_targets_word_that_it_leaves_counts_for_a_while():
    table = make_table()
    table.mark_leaving("t1", 100.0)
    table.due_for_check(100.0 + LEAVING_LIFE_S - 0.1)
    assert table.listed("desk") == []
    table.due_for_check(100.0 + LEAVING_LIFE_S)
    assert table.listed("desk") == [TARGET]


def learnt(first, last, at_s, *, born_ms=1000, own=True):
    return ReportedLayers(LayerRange(first, last), born_ms, at_s, own)


def make_old_table():
    table = make_table()
    table.list_is_stale = True
    return table


def test_reports_tell_what_an_engine_holds_while_the_list_is_old():
    """Pattern: troskgille-hosting trouble-3, seed 294790781814.

    Engines shifted as the store went away; no path was found for 6 s, since the list
    had their old layers.
    """
    table = make_old_table()
    assert table.record_layers("t1", learnt(0, 4, 100.0))
    assert table.by_id["t1"].held == LayerRange(0, 4)
    assert not table.record_layers("t1", learnt(0, 4, 101.0))
    assert table.record_layers("t1", learnt(4, 8, 102.0))


def test_an_older_report_changes_nothing():
    table = make_old_table()
    table.record_layers("t1", learnt(0, 4, 100.0))
    assert not table.record_layers("t1", learnt(4, 8, 99.0, own=False))
    assert table.by_id["t1"].held == LayerRange(0, 4)


def test_a_report_of_another_start_or_of_an_unknown_engine_changes_nothing():
    table = make_old_table()
    assert not table.record_layers("t1", learnt(0, 4, 100.0, born_ms=999))
    assert not table.record_layers("t2", learnt(0, 4, 100.0))
    assert table.by_id == {"t1": TARGET}


def table_at(now_s):
    """Return a table whose engine was listed at ``now_s``, and its clock."""
    clock = SimpleNamespace(now_s=now_s)
    table = TargetTable(clock=lambda: clock.now_s)
    table.apply([Listed(TARGET)])
    clock.now_s += 0.1
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    return table, clock


def test_a_report_goes_before_an_entry_that_was_read_before_it():
    """Pattern: an engine was moved, and the list says so a second or two later.

    In troskgille-hosting trouble-3 the second step of a repair waited for that until
    its domain was cut off.
    """
    table, clock = table_at(100.0)
    assert not table.record_layers("t1", learnt(0, 4, clock.now_s - 0.05))
    assert table.record_layers("t1", learnt(0, 4, clock.now_s + 0.05))
    assert table.by_id["t1"].held == LayerRange(0, 4)


def test_an_entry_goes_before_a_report_that_is_older_than_its_lag():
    table, clock = table_at(100.0)
    table.record_layers("t1", learnt(0, 4, 101.0))
    clock.now_s = 101.0 + LIST_LAG_S / 2
    table.apply([Listed(evolve(TARGET, entry_number=5))])
    assert table.by_id["t1"].held == LayerRange(0, 4)
    clock.now_s = 101.0 + LIST_LAG_S
    table.apply([Listed(evolve(TARGET, entry_number=5))])
    assert table.by_id["t1"].held == LayerRange(0, 4)
    table.apply([Listed(evolve(TARGET, entry_number=6))])
    assert table.by_id["t1"].held is None
    assert table.own_reported_layers() == {}


def test_only_own_reports_are_passed_on_and_for_a_while():
    table, clock = table_at(100.0)
    table.record_layers("t1", learnt(0, 4, 100.0, own=False))
    assert table.own_reported_layers() == {}
    table.record_layers("t1", learnt(4, 8, 101.0))
    assert table.own_reported_layers() == {"t1": learnt(4, 8, 101.0)}
    clock.now_s = 101.0 + LEARNT_TOLD_S
    assert table.own_reported_layers() == {}
