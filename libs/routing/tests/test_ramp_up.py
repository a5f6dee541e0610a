"""Ramp-up of targets on simulated time, with 60 instances that decide by themselves.

The load is three quarters of what the targets can do: with less there is no need for a
starting target, and with more there is no free capacity elsewhere.
"""

from math import inf

import pytest
from celeryfork_routing.ramp_up import (
    END_FACTOR,
    FIRST_WINDOW,
    FLAP_MEMORY_S,
    OBJECTIVE_MS,
    QUICK_ANSWERS_TO_END,
    TURN_S,
    RampUp,
)
from ramp_fleet import SERVICE_S, RampFleet, SimulatedTarget, longest_s, rate

SEEDS = range(10)
START_S = 1.0
FULL_S = START_S + 2.0
"""A healthy target is at its full share from here on."""
PER_TARGET = 0.75 * 16 / SERVICE_S
OBJECTIVE_S = OBJECTIVE_MS / 1000
EXPECTED_MS = 50.0


def make_targets(names, number, **fields):
    return [SimulatedTarget(f"{names}{n}", **fields) for n in range(number)]


def run(old, new, seconds=6.0, seed=1, per_s=None, starts=None):
    """Run a fleet in which targets start, and return it."""
    if starts is None:
        starts = [(each.listed_s, each.id) for each in new]
    per_s = per_s or PER_TARGET * len(old)
    fleet = RampFleet([*old, *new], starts, seed=seed, per_s=per_s)
    fleet.run(seconds)
    return fleet


def assert_full_share(old, new, fleet):
    """Check that new targets get as much as the others within 2 s, without a rush."""
    assert rate(new, FULL_S, FULL_S + 1) >= 0.9 * rate(old, FULL_S, FULL_S + 1)
    assert longest_s(new) < OBJECTIVE_S / 2
    assert longest_s(old, FULL_S) < OBJECTIVE_S / 2
    assert not fleet.fallbacks


@pytest.mark.parametrize("seed", SEEDS)
def test_an_engine_that_starts_is_at_its_full_share_within_2_s(seed):
    """Instances without a request there in the first turns would leave it idle."""
    old, new = make_targets("old", 8), make_targets("new", 1, listed_s=START_S)
    assert_full_share(old, new, run(old, new, seed=seed))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_domain_that_returns_is_at_its_full_share_within_2_s(seed):
    """As many targets as were left start at once, and the others were fully used."""
    old, new = make_targets("old", 8), make_targets("new", 8, listed_s=START_S)
    fleet = run(old, new, seed=seed, per_s=PER_TARGET * 8 * 1.2)
    assert_full_share(old, new, fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_few_added_engines_are_at_their_full_share_within_2_s(seed):
    old, new = make_targets("old", 8), make_targets("new", 3, listed_s=START_S)
    assert_full_share(old, new, run(old, new, seed=seed))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_rolling_replacement_overloads_neither_old_nor_new_targets(seed):
    """One target leaves each second, and its successor starts then."""
    old = [SimulatedTarget(f"old{n}", leaves_s=n + 2.0) for n in range(8)]
    new = [SimulatedTarget(f"new{n}", listed_s=n + 2.0) for n in range(8)]
    rest = make_targets("rest", 4)
    fleet = run([*old, *rest], new, 14.0, seed, per_s=PER_TARGET * 12 * 0.75)
    assert longest_s([*old, *new, *rest]) < OBJECTIVE_S
    assert rate(new, 11.0, 14.0) >= 0.8 * rate(rest, 11.0, 14.0)
    assert not fleet.fallbacks


def flapping_is_up(now_s):
    return now_s < START_S or (now_s - START_S) % 1.5 < 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_a_flapping_target_fails_ever_fewer_requests(seed):
    """It fails all requests for 0.7 s of each 1.5 s, and is listed all the while."""
    old = make_targets("old", 8)
    flapping = SimulatedTarget("flapping", listed_s=START_S, up=flapping_is_up)
    returns = [(START_S + 1.5 * n, "flapping") for n in range(8)]
    fleet = run(old, [flapping], 13.0, seed, starts=returns)
    at_first = rate([flapping], START_S, START_S + 1.5)
    later = [rate([flapping], s, s + 1.5) for s, _ in returns[3:]]
    assert sum(later) / len(later) < at_first / 2
    assert longest_s(old) < OBJECTIVE_S
    without_ramps = len(returns) * fleet.instances  # One by one, each finds it down.
    assert fleet.failed < without_ramps / 5


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cold_target_gets_no_more_than_it_answers_within_the_objective(seed):
    """It is 5 times slower than usual, so that it answers 26 requests in 500 ms.

    Two groups of instances in a row may have 21 requests there together, as the hash
    spreads 8 in each only on average.
    """
    old = make_targets("old", 8)
    cold = SimulatedTarget(
        "cold", listed_s=START_S, slowness=lambda now_s: 1 + 4 * (now_s < 6)
    )
    fleet = run(old, [cold], 10.0, seed)
    assert longest_s([cold]) < OBJECTIVE_S
    assert all(at_s > 6 for at_s, _ in fleet.ends)
    assert rate([cold], 9.0, 10.0) >= 0.5 * rate(old, 9.0, 10.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_new_layers_of_a_target_in_use_need_no_second_rush(seed):
    """It gets its first window, whatever it had before, and its full share again."""
    old, new = make_targets("old", 8), make_targets("new", 1)
    fleet = run(old, new, seed=seed, starts=[(START_S, "new0")])
    assert rate(new, START_S, START_S + 0.5) < 0.6 * rate(old, START_S, START_S + 0.5)
    assert_full_share(old, new, fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_target_that_refuses_gets_a_steady_rate(seed):
    """Its memory holds 12 requests, half of its share: windows must not swing."""
    old = make_targets("old", 8)
    small = SimulatedTarget("small", listed_s=START_S, queue_limit=12)
    run(old, [small], 8.0, seed)
    rates = [rate([small], s, s + 1) for s in (4.0, 5.0, 6.0, 7.0)]
    assert max(rates) < 1.5 * min(rates)


def test_no_request_waits_if_all_targets_are_starting():
    new = make_targets("new", 8, listed_s=0.0)
    fleet = run([], new, 3.0, per_s=PER_TARGET * 8)
    assert fleet.fallbacks
    assert sum(len(each.taken) for each in new) > 0.95 * 3.0 * PER_TARGET * 8
    assert longest_s(new) < OBJECTIVE_S


def fleet_room(ramps, now_s, target_id="t"):
    return sum(each.room(target_id, now_s) for each in ramps)


def begin(sharers, number=None, target_id="t"):
    ramps = [RampUp(f"i{n}") for n in range(number or sharers)]
    for each in ramps:
        each.began(target_id, 0.0, sharers, 7)
    return ramps


@pytest.mark.parametrize("sharers", [1, 5, 8, 20, 60, 230])
def test_the_first_window_is_that_of_all_instances_together(sharers):
    rooms = [
        fleet_room(begin(sharers, target_id=f"t{n}"), 0.0, f"t{n}") for n in range(60)
    ]
    assert sum(rooms) / len(rooms) == pytest.approx(FIRST_WINDOW, rel=0.15)
    assert max(rooms) <= 2.5 * FIRST_WINDOW


def test_each_instance_has_a_turn():
    """One that never had any would never have an answer, and never send its share."""
    for ramp in begin(60):
        turns = [n for n in range(8) if ramp.room("t", n * TURN_S) > 0]
        assert 1 <= len(turns) <= 2


def test_starts_of_a_target_have_their_first_requests_at_different_instances():
    """The same few instances would be the ones whose requests fail each time."""
    firsts = set()
    for start in range(6):
        ramps = [RampUp(f"i{n}") for n in range(60)]
        for each in ramps:
            each.began("t", 0.0, 60, start)
        firsts.add(tuple(each.room("t", 0.0) for each in ramps))
    assert len(firsts) == 6


def in_turn(ramps):
    return next(each for each in ramps if each.room("t", 0.0))


def test_an_instance_with_quick_answers_doubles_its_window():
    ramp = in_turn(begin(60))
    rooms = []
    now_s = 0.0
    while ramp.is_ramping("t"):
        rooms.append(ramp.room("t", now_s))
        now_s += 0.1
        for _ in range(int(max(1, rooms[-1] // 2))):
            ramp.record_start("t", now_s - 0.05)
            end = ramp.record_answer("t", EXPECTED_MS, EXPECTED_MS, now_s)
    assert rooms == [1, 2, 4]
    assert (end.requests, end.seconds) == (4, pytest.approx(0.3))
    assert ramp.room("t", now_s) == inf
    assert ramp.may_start("t", 1_000, now_s)


def test_a_slow_answer_ends_the_turn_and_grows_nothing():
    ramp = in_turn(begin(60))
    ramp.record_answer("t", 4 * EXPECTED_MS, EXPECTED_MS, 0.2)
    assert not ramp.may_start("t", 0, 0.25)
    turns = [n for n in range(1, 16) if ramp.room("t", n * TURN_S + 0.1)]
    assert 1 <= len(turns) <= 3


def test_a_burst_of_refusals_halves_the_window_once():
    ramp = begin(1)[0]
    for number in range(5):
        ramp.record_refusal("t", 0.1 + number / 100)
    assert ramp.room("t", 0.2) == FIRST_WINDOW / 2


def test_the_window_grows_slowly_above_half_of_the_size_that_failed():
    ramp = begin(1)[0]
    ramp.record_failure("t", 0.1)
    rooms = [ramp.room("t", 0.1)]
    now_s = 0.1
    for _ in range(3):
        now_s += 0.1
        for _ in range(int(rooms[-1] // 2)):
            ramp.record_answer("t", EXPECTED_MS, EXPECTED_MS, now_s)
        rooms.append(ramp.room("t", now_s))
    assert rooms == [4, 5, 6, 7]


def test_a_full_engine_that_answers_quickly_ends_its_ramp():
    """Refusals of an engine at its full share would keep it ramping for good."""
    ramp = begin(60)[0]
    for number in range(QUICK_ANSWERS_TO_END):
        assert ramp.is_ramping("t")
        ramp.record_refusal("t", float(number))
        ramp.record_answer("t", EXPECTED_MS, EXPECTED_MS, number + 0.5)
    assert not ramp.is_ramping("t")


def test_an_answer_slower_than_the_objective_halves_the_window():
    ramp = begin(1)[0]
    ramp.record_answer("t", OBJECTIVE_MS + 1, EXPECTED_MS, 1.0)
    assert ramp.room("t", 1.0) == FIRST_WINDOW / 2
    ramp.record_answer("t", OBJECTIVE_MS + 1, OBJECTIVE_MS, 2.0)
    assert ramp.room("t", 2.0) >= FIRST_WINDOW / 2, "a long prompt takes longer"


def test_the_first_window_halves_with_each_start_in_a_row():
    ramp = RampUp("i1")
    windows = [ramp.began("t", n * 2.0, 60, n) for n in range(6)]
    assert windows == [8, 4, 2, 1, 1, 1]
    assert ramp.began("t", 10.0 + FLAP_MEMORY_S + 1, 60, 9) == FIRST_WINDOW


def test_a_process_and_its_first_layers_are_one_start():
    ramp = RampUp("i1")
    assert [ramp.began("t", at_s, 60) for at_s in (0.0, 0.1)] == [FIRST_WINDOW] * 2


def test_a_target_that_is_no_longer_listed_is_forgotten():
    ramp = begin(60)[0]
    ramp.forget("t")
    assert ramp.target_ids == frozenset()
    assert ramp.record_answer("t", 1.0, 1.0, 1.0) is None


def test_a_small_fleet_ends_its_ramp_at_the_same_window_as_a_large_one():
    ramp = begin(1)[0]
    now_s = 0.0
    while ramp.is_ramping("t") and now_s < 9:
        now_s += 0.1
        last = ramp.room("t", now_s)
        for _ in range(int(last // 2)):
            ramp.record_answer("t", EXPECTED_MS, EXPECTED_MS, now_s)
    assert last <= FIRST_WINDOW * END_FACTOR
