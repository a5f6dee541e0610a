"""The table of targets: entries of the target list, and observed health."""

from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.targets import (
    LEAVING_TTL_S,
    LIST_LAG_S,
    MAX_EXCLUSION_S,
    MAX_LEFT,
    REPORTED_LAYERS_TTL_S,
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


def test_a_restart_clears_the_health():
    table = make_table()
    table.exclude("t1", "refused", 1.0)
    assert table.available("desk") == []
    again = evolve(TARGET, born_ms=2000, entry_number=0)
    table.apply([Listed(again)])
    assert table.available("desk") == [again]


def test_targets_missing_from_a_full_list_are_removed():
    table = make_table()
    other = evolve(TARGET, id="t2")
    table.replace_all([other])
    assert list(table.by_id) == ["t2"]


def test_an_unlisted_target_is_removed():
    table = make_table()
    table.apply([Unlisted("t1")])
    assert table.by_id == {}


def test_an_excluded_target_stays_listed():
    table = make_table()
    table.exclude("t1", "refused", 1.0)
    assert table.not_leaving("desk") == [TARGET]


def test_an_excluded_target_is_checked_without_a_change_of_its_entry():
    """Entries are written only on a change, and the end of a partition isn't one."""
    table = make_table()
    table.exclude("t1", "refused", 1.5)
    table.apply([Listed(evolve(TARGET, id="t2"))])
    assert table.due_for_check(1.6) == []
    assert table.due_for_check(2.5) == [TARGET]


def test_one_target_of_an_excluded_domain_is_checked():
    table = make_table()
    for number in range(2, 6):
        table.apply([Listed(evolve(TARGET, id=f"t{number}"))])
    for target_id in list(table.by_id):
        table.exclude(target_id, "silent", 1.0)
    assert len(table.due_for_check(5.0)) == 1
    table.succeeded("t1")
    table.check_domain_now("a", 5.0)
    assert len(table.due_for_check(5.0)) == 4


def test_checks_back_off():
    table = make_table()
    for _ in range(10):
        table.exclude("t1", "refused", 1.0)
    assert table.health("t1").hold_s == MAX_EXCLUSION_S
    table.succeeded("t1")
    assert table.available("desk") == [TARGET]


def test_failures_raise_the_failed_share_and_successes_lower_it():
    table = make_table()
    for _ in range(5):
        table.failed("t1")
    share = table.health("t1").failed_share
    assert 0.5 < share < 1.0
    table.succeeded("t1")
    assert table.health("t1").failed_share < share


def test_the_speed_of_an_engine_is_kept_until_it_restarts():
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
    assert table.slow_in(domain, 101.5) == [], "its health check asks for the speed"


def test_an_engine_that_refuses_is_avoided_briefly():
    table = make_table()
    table.refused("t1", 100.0)
    assert 100.0 < table.health("t1").refused_until_s < 101.0
    assert table.available("desk") == [TARGET]


def test_entries_that_expired_in_an_outage_may_be_renewed():
    """The store is down for longer than three renewals of an entry."""
    table = make_table()
    other = evolve(TARGET, id="t2")
    table.apply([Listed(other)])
    table.apply([Unlisted("t1"), Unlisted("t2")], keep_expired=True)
    assert len(table.available("desk")) == 2
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    assert table.drop_expired() == ["t2"]
    assert list(table.by_id) == ["t1"]


def test_a_full_list_after_an_outage_keeps_expired_entries():
    table = make_table()
    table.replace_all([], keep_expired=True)
    assert list(table.by_id) == ["t1"]
    assert table.drop_expired() == ["t1"]
    assert table.by_id == {}


def refused_until_s(table, times_s):
    for now_s in times_s:
        table.refused("t1", now_s)
    return table.health("t1").refused_until_s


def test_refusal_backoff_grows_while_the_list_is_stale():
    """Engines left while the store couldn't show it, and refused all work offered.

    (found by incident inc-807a)
    """
    table = make_table()
    table.list_is_stale = True
    assert refused_until_s(table, [100.0]) < 100.5
    assert refused_until_s(table, [101.0, 102.0, 103.0, 104.0, 105.0]) > 107.0
    assert refused_until_s(table, [110.0]) < 113.0


def test_refusal_backoff_is_constant_while_the_list_is_fresh():
    assert refused_until_s(make_table(), [100.0, 101.0, 102.0, 103.0]) < 103.5


def test_accepted_work_resets_the_refusal_backoff():
    table = make_table()
    table.list_is_stale = True
    refused_until_s(table, [100.0, 101.0, 102.0])
    table.accepted(["t1"])
    assert refused_until_s(table, [110.0]) < 110.5


def test_refusal_backoff_does_not_overflow():
    """2 to the power of the refusals overflowed a float after 1,025 of them."""
    table = make_table()
    refused_until_s(table, [float(second) for second in range(2_000)])
    table.list_is_stale = True
    assert refused_until_s(table, [3_000.0]) < 3_003.0


def test_repeated_refusals_with_a_stale_list_require_a_leaving_check():
    """Engines drain in a store outage and refuse work, but the stale list hides it.

    (found by bench trial wanjiru-descale hunt-0b8a-27)
    """
    table = make_table()
    assert not any(table.refused("t1", now_s) for now_s in (100.0, 101.0, 102.0))
    table.list_is_stale = True
    table.accepted(["t1"])
    assert [table.refused("t1", now_s) for now_s in (103.0, 104.0)] == [False, True]


def test_a_target_that_reports_leaving_gets_no_work_until_its_next_entry():
    table = make_table()
    table.mark_leaving("t1", 100.0)
    assert table.not_leaving("desk") == table.available("desk") == []
    assert table.counts_by_service() == {}
    table.apply([Listed(TARGET)])
    assert table.not_leaving("desk") == []
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    assert len(table.not_leaving("desk")) == 1


def test_a_report_of_leaving_expires():
    table = make_table()
    table.mark_leaving("t1", 100.0)
    table.due_for_check(100.0 + LEAVING_TTL_S - 0.1)
    assert table.not_leaving("desk") == []
    table.due_for_check(100.0 + LEAVING_TTL_S)
    assert table.not_leaving("desk") == [TARGET]


def table_of_leaving_target(target=TARGET):
    """Return a table, with its clock, whose target has answered that it is leaving."""
    clock = SimpleNamespace(now_s=100.0)
    table = TargetTable(clock=lambda: clock.now_s)
    table.apply([Listed(target)])
    assert table.record_leaving(target)
    assert not table.record_leaving(target), "known"
    return table, clock


# The answer was passed on, and requests reached the engine after the bound (DRAIN).
def test_a_target_that_answers_that_it_leaves_gets_no_work_for_good():
    table, clock = table_of_leaving_target()
    clock.now_s += 60.0
    table.due_for_check(clock.now_s)
    assert table.not_leaving("desk") == table.available("desk") == []


@pytest.mark.parametrize(("after_s", "usable"), [(1.0, False), (LEAVING_TTL_S, True)])
def test_an_entry_that_was_read_later_ends_what_a_target_has_answered(after_s, usable):
    """An entry that was written before the answer may be read after it."""
    table, clock = table_of_leaving_target()
    clock.now_s += after_s
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    assert bool(table.not_leaving("desk")) == usable


@pytest.mark.parametrize(
    ("after_s", "renewals", "usable"),
    [(1.0, 0, False), (1.0, 1, False), (60.0, 0, False), (LEAVING_TTL_S, 1, True)],
)
def test_a_target_that_is_listed_again_is_still_leaving(after_s, renewals, usable):
    """Its entry lapsed, as in an outage of the store, and came back."""
    table, clock = table_of_leaving_target()
    table.apply([Unlisted(TARGET.id)])
    clock.now_s += after_s
    number = TARGET.entry_number + renewals
    table.apply([Listed(evolve(TARGET, entry_number=number))])
    assert bool(table.not_leaving("desk")) == usable


def test_a_target_that_has_restarted_after_leaving_gets_work_again():
    table, _ = table_of_leaving_target()
    table.apply([Listed(evolve(TARGET, born_ms=2000))])
    assert len(table.not_leaving("desk")) == 1


def test_the_answer_of_an_earlier_process_does_not_stop_its_successor():
    table = TargetTable()
    table.apply([Listed(evolve(TARGET, born_ms=2000))])
    assert not table.record_leaving(TARGET)
    assert len(table.not_leaving("desk")) == 1


def test_what_a_target_without_a_start_time_has_answered_expires():
    table, clock = table_of_leaving_target(evolve(TARGET, born_ms=None))
    table.due_for_check(clock.now_s + LEAVING_TTL_S)
    assert len(table.not_leaving("desk")) == 1


def reported_layers(first, last, at_s, *, born_ms=1000, own=True):
    return ReportedLayers(LayerRange(first, last), born_ms, at_s, own)


def make_stale_table():
    table = make_table()
    table.list_is_stale = True
    return table


def test_reported_layers_are_used_while_the_list_is_stale():
    """Engines changed layers as the store failed, and the list showed their old ones.

    No path was found for 6 s (found by bench trial troskgille-hosting trouble-3, seed
    294790781814).
    """
    table = make_stale_table()
    assert table.record_layers("t1", reported_layers(0, 4, 100.0))
    assert table.by_id["t1"].held == LayerRange(0, 4)
    assert not table.record_layers("t1", reported_layers(0, 4, 101.0))
    assert table.record_layers("t1", reported_layers(4, 8, 102.0))


def test_an_older_report_changes_nothing():
    table = make_stale_table()
    table.record_layers("t1", reported_layers(0, 4, 100.0))
    assert not table.record_layers("t1", reported_layers(4, 8, 99.0, own=False))
    assert table.by_id["t1"].held == LayerRange(0, 4)


def test_a_report_of_another_start_or_of_an_unknown_engine_changes_nothing():
    table = make_stale_table()
    assert not table.record_layers("t1", reported_layers(0, 4, 100.0, born_ms=999))
    assert not table.record_layers("t2", reported_layers(0, 4, 100.0))
    assert table.by_id == {"t1": TARGET}


def table_at(now_s):
    """Return a table whose engine was listed at ``now_s``, and its clock."""
    clock = SimpleNamespace(now_s=now_s)
    table = TargetTable(clock=lambda: clock.now_s)
    table.apply([Listed(TARGET)])
    clock.now_s += 0.1
    table.apply([Listed(evolve(TARGET, entry_number=4))])
    return table, clock


def test_a_report_overrides_an_entry_that_was_read_before_it():
    """An engine changed layers, and the target list shows it one or two seconds later.

    The second step of a repair waited for that until its domain was cut off (found by
    bench trial troskgille-hosting trouble-3).
    """
    table, clock = table_at(100.0)
    assert not table.record_layers("t1", reported_layers(0, 4, clock.now_s - 0.05))
    assert table.record_layers("t1", reported_layers(0, 4, clock.now_s + 0.05))
    assert table.by_id["t1"].held == LayerRange(0, 4)


def test_an_entry_overrides_a_report_that_is_older_than_its_lag():
    table, clock = table_at(100.0)
    table.record_layers("t1", reported_layers(0, 4, 101.0))
    clock.now_s = 101.0 + LIST_LAG_S / 2
    table.apply([Listed(evolve(TARGET, entry_number=5))])
    assert table.by_id["t1"].held == LayerRange(0, 4)
    clock.now_s = 101.0 + LIST_LAG_S
    table.apply([Listed(evolve(TARGET, entry_number=5))])
    assert table.by_id["t1"].held == LayerRange(0, 4)
    table.apply([Listed(evolve(TARGET, entry_number=6))])
    assert table.by_id["t1"].held is None
    assert table.own_reported_layers() == {}


def test_only_recent_own_reports_are_forwarded():
    table, clock = table_at(100.0)
    table.record_layers("t1", reported_layers(0, 4, 100.0, own=False))
    assert table.own_reported_layers() == {}
    table.record_layers("t1", reported_layers(4, 8, 101.0))
    assert table.own_reported_layers() == {"t1": reported_layers(4, 8, 101.0)}
    clock.now_s = 101.0 + REPORTED_LAYERS_TTL_S
    assert table.own_reported_layers() == {}


BEFORE, RESTORED = LogPosition(1, 9), LogPosition(2, 8)


def make_table_after(*changes, now_s=100.0):
    """Return a table that a store has listed changes of, before its restore."""
    table = TargetTable(clock=lambda: now_s)
    table.move_to(BEFORE)
    table.apply([Listed(TARGET), *changes])
    return table


# Requests were sent to a target that had left: a restored store listed it as ready.
@pytest.mark.parametrize(
    "change", [Unlisted("t1"), Listed(evolve(TARGET, draining=True))]
)
def test_a_target_that_had_left_is_not_used_after_a_restore(change):
    table = make_table_after(change)
    table.move_to(RESTORED)
    table.replace_all([TARGET])
    assert table.available("desk") == []


def test_a_target_that_had_left_is_used_once_it_writes_its_entry_again():
    table = make_table_after(Unlisted("t1"))
    table.move_to(RESTORED)
    table.replace_all([TARGET])
    renewed = evolve(TARGET, entry_number=TARGET.entry_number + 1)
    table.apply([Listed(renewed)])
    assert table.available("desk") == [renewed]


def test_a_target_that_started_again_is_used_after_a_restore():
    table = make_table_after(Unlisted("t1"))
    table.move_to(RESTORED)
    again = evolve(TARGET, born_ms=2000, entry_number=0)
    table.replace_all([again])
    assert table.available("desk") == [again]


def test_a_target_that_comes_back_in_the_same_era_is_used():
    """Entries lapse while the store is away, and are back soon after its return."""
    table = make_table_after(Unlisted("t1"))
    table.move_to(LogPosition(1, 12))
    table.apply([Listed(TARGET)])
    assert table.available("desk") == [TARGET]


def test_targets_that_have_left_are_remembered_up_to_a_bound():
    table = make_table_after()
    for number in range(MAX_LEFT + 10):
        each = evolve(TARGET, id=f"x{number}")
        table.apply([Listed(each), Unlisted(each.id)])
    assert len(table._left_by_process) == MAX_LEFT
