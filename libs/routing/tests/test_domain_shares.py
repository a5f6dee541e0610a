"""Shares between domains on simulated time: waves, bursts, cuts, missing reports."""

from itertools import pairwise
from math import inf, pi, sin

import pytest
from attrs import evolve
from celeryfork_routing.domain_shares import (
    FALL_S,
    RISE_S,
    DomainLoad,
    DomainShares,
    UnevenDemand,
    target_shares,
)
from domain_fleet import DomainFleet

STARTED_S = 4.0
"""Time at which the fleet's first reports with load have arrived everywhere."""
UPDATE_S = 0.1
EQUAL = dict.fromkeys("abc", 600)


def load(used, total=1_000.0, held=None, busy_ms=None):
    held = used if held is None else held
    if busy_ms is None:
        busy_ms = 600.0 * (1 + 2 * (held / total) ** 3) if total else inf
    return DomainLoad(total, total - held, used, busy_ms)


BURST = {"a": load(900.0), "b": load(100.0), "c": load(200.0)}


def wave(domain, now_s, mean=200):
    phase = "abc".index(domain) / 3
    return mean * (1 + 0.55 * sin(2 * pi * (now_s / 15 - phase)))


def burst(domain, now_s):
    return 480 if domain == "a" and now_s >= 5 else 80


def turns(values, step):
    """Return how often a curve turns by at least ``step``."""
    count, direction, extreme = 0, 0, values[0]
    for value in values:
        if direction * (value - extreme) > 0:
            extreme = value
        elif abs(value - extreme) >= step:
            count += 1
            direction, extreme = (1 if value > extreme else -1), value
    return count


def settled_shares(loads, own="a", seconds=20):
    shares = DomainShares()
    for step in range(seconds * 10):
        shares.update(own, loads, step / 10)
    return shares


@pytest.mark.parametrize("report_s", [0.5, 1.0])
@pytest.mark.parametrize("instances", [3, 60])
def test_a_wave_that_turns_is_balanced_without_overshoot_or_flapping(
    instances, report_s
):
    """Domains diverged, with refusals in one while another had free capacity.

    A receiving domain mustn't get busier than the sending one by over 20%, nor the
    share turn by over 10 points more often than the wave does, twice in 15 s.
    """
    before = DomainFleet(EQUAL, wave, instances, balanced=False)
    before.run(45)
    fleet = DomainFleet(EQUAL, wave, instances, report_s)
    fleet.run(45)
    assert before.refused > 1_000
    assert fleet.refused == 0
    assert max(excess for now_s, *_, excess in fleet.moved if now_s > 15) <= 1.2
    for domain in EQUAL:
        curve = [shares[domain] for now_s, shares in fleet.history if now_s > 15]
        assert turns(curve, 0.1) <= 5


@pytest.mark.parametrize("instances", [5, 60])
def test_a_burst_is_spread_without_a_thundering_herd(instances):
    """All instances react to the same late report; the others' engines must not fill.

    The share doesn't oscillate either once it has risen.
    """
    before = DomainFleet(EQUAL, burst, instances, balanced=False)
    before.run(20)
    fleet = DomainFleet(EQUAL, burst, instances)
    fleet.run(20)
    assert before.refused > 2_000
    assert fleet.refused < before.refused / 10
    moved = [each for each in fleet.moved if each[0] > STARTED_S]
    assert {origin for _, origin, _, _ in moved} == {"a"}
    assert max(excess for *_, excess in moved) <= 1.2
    settled = [shares["a"] for now_s, shares in fleet.history if now_s > 12]
    assert turns(settled, 0.1) <= 1


def test_domains_of_unequal_capacity_get_shares_in_proportion_to_their_room():
    """Guards against equal shares, which would fill the small domain."""
    fleet = DomainFleet({"a": 300, "b": 900, "c": 150}, lambda *_: 140)
    fleet.run(20)
    moved = [(origin, place) for now_s, origin, place, _ in fleet.moved if now_s > 10]
    assert moved.count(("a", "b")) > 0
    assert {place for _, place in moved} == {"b"}
    excesses = [excess for now_s, *_, excess in fleet.moved if now_s > STARTED_S]
    assert max(excesses) <= 1.2
    loads = {"a": load(900.0), "b": load(100.0), "c": load(200.0, total=2_000.0)}
    target = target_shares("a", loads)
    assert target["c"] / target["b"] == pytest.approx((600 - 200) / (300 - 100))


def test_a_partitioned_domain_gets_nothing_at_once():
    """Guards against a smoothed end: each instance stops at its next update."""
    fleet = DomainFleet(EQUAL, burst)
    fleet.run(12)
    fleet.moved = [each for each in fleet.moved if each[0] > STARTED_S]
    assert {place for _, _, place, _ in fleet.moved} == {"b", "c"}
    fleet.cut, fleet.moved = {"b"}, []
    fleet.run(14)
    places = [place for now_s, _, place, _ in fleet.moved if now_s > 12 + UPDATE_S]
    assert set(places) == {"c"}
    fleet.cut, fleet.moved = {"a"}, []
    fleet.run(16)
    late = [moved for moved in fleet.moved if moved[0] > 14 + UPDATE_S]
    assert "a" not in {domain for _, *pair, _ in late for domain in pair}


@pytest.mark.parametrize(
    "lost", [{}, {"b": load(0.0, total=0.0)}, {"b": load(0.0, busy_ms=inf)}]
)
def test_an_unknown_domain_or_one_without_a_path_gets_nothing(lost):
    shares = settled_shares(BURST)
    assert set(shares.by_domain) == {"b", "c"}
    shares.update("a", {"a": BURST["a"], "c": BURST["c"]} | lost, 20.0)
    assert set(shares.by_domain) == {"c"}


def test_nothing_is_sent_without_information_of_the_own_domain_or_without_demand():
    assert target_shares("a", {}) == {}
    assert target_shares("a", {"b": load(100.0)}) == {}
    assert target_shares("a", BURST | {"a": load(0.0)}) == {}
    assert target_shares("a", {"a": load(5.0, total=0.0)}) == {}
    assert DomainShares().pick() == ""


def test_all_requests_may_leave_a_domain_without_a_path():
    """Its engines were lost: no surplus is kept for engines that it doesn't have."""
    target = target_shares("a", BURST | {"a": load(400.0, busy_ms=inf)})
    assert sum(target.values()) == pytest.approx(1.0)


def test_the_round_trip_counts():
    """Guards against a threshold of utilisation: a far domain isn't worth a trip."""
    uneven = {"a": load(400.0), "b": load(100.0)}
    assert target_shares("a", uneven)
    far = uneven | {"b": load(100.0, busy_ms=700.0)}
    assert target_shares("a", far) == {}


def test_a_transfer_ends_where_the_times_are_equal():
    loads = {"a": load(800.0), "b": load(100.0, busy_ms=800.0)}
    sent = 800.0 * sum(target_shares("a", loads).values())
    assert 0 < sent < 350
    here_ms = loads["a"].predicted_ms(800.0 - sent)
    assert loads["b"].predicted_ms(100.0 + sent) == pytest.approx(here_ms, rel=0.01)


def test_shares_rise_and_fall_with_their_time_constants():
    target = sum(target_shares("a", BURST).values())
    shares = DomainShares()
    shares.update("a", BURST, 0.0)
    assert shares.by_domain == {}
    shares.update("a", BURST, RISE_S)
    assert sum(shares.by_domain.values()) == pytest.approx(target * 0.632, rel=0.01)
    for step in range(20):
        shares.update("a", BURST, 2.0 + step)
    quiet = BURST | {"a": load(150.0, held=900.0)}
    assert target_shares("a", quiet) == {}
    # The demand that is known of the others is low enough not to limit the share.
    kept = BURST | {"a": evolve(BURST["a"], busy_ms=500.0)}
    shares.update("a", kept, 21.0 + FALL_S)
    left = sum(shares.by_domain.values())
    assert left == pytest.approx(target * 0.368, rel=0.01)


def test_a_share_under_two_percent_counts_as_zero():
    small = {"a": load(515.0), "b": load(500.0)}
    assert 0 < sum(target_shares("a", small).values()) < 0.02
    assert settled_shares(small).by_domain == {}


def test_picks_follow_the_shares_without_runs():
    """Random picks would send runs of requests to a narrow link."""
    shares = settled_shares(BURST)
    picks = [shares.pick() for _ in range(1_000)]
    for domain, share in shares.by_domain.items():
        assert picks.count(domain) / 1_000 == pytest.approx(share, abs=0.005)
    away = [number for number, domain in enumerate(picks) if domain != "a"]
    gaps = {second - first for first, second in pairwise(away)}
    assert max(gaps) - min(gaps) <= 1


def test_instances_with_other_phases_send_at_other_times():
    first = set()
    for phase in (0.0, 0.25, 0.5, 0.75):
        shares = DomainShares(phase)
        shares.update("a", BURST, 0.0)
        shares.update("a", BURST, 0.4)
        picks = [shares.pick() for _ in range(20)]
        first.add(next(n for n, domain in enumerate(picks) if domain != "a"))
    assert len(first) == 4


@pytest.mark.parametrize(
    ("a", "b", "expected"),
    [(900, 500, True), (700, 500, False), (390, 10, False), (410, 0, True)],
)
def test_demand_is_uneven_from_a_ratio_and_a_utilisation_on(a, b, expected):
    assert UnevenDemand().update({"a": load(a), "b": load(b)}) is expected
    assert UnevenDemand().update({"a": load(a)}) is False


def test_demand_near_the_limit_does_not_switch_balancing_on_and_off():
    demand = UnevenDemand()
    ratios = [1.4, 1.55, 1.45, 1.55, 1.3, 1.2, 1.45, 1.55]
    seen = [
        demand.update({"a": load(500.0 * ratio), "b": load(500.0)}) for ratio in ratios
    ]
    assert seen == [False, True, True, True, True, False, False, True]
