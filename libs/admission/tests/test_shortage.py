"""Tests of celeryfork_admission.shortage, by hand and on a simulated fleet."""

import random
from collections import Counter
from functools import cache
from math import pi, sin

import pytest
from attrs import evolve
from celeryfork_admission.service_load import (
    DemandRow,
    ServiceDemand,
    ServiceLoad,
    Urgency,
)
from celeryfork_admission.shortage import (
    MAX_RETRY_AFTER_S,
    Admit,
    ArrivingRequest,
    Refuse,
    ShortagePolicy,
    weighted_fractions,
)
from celeryfork_routing.room import Room
from shortage_fleet import STEP_S, Fleet, Source

FIRST, SECOND, THIRD = Urgency(0, 0), Urgency(0, 1), Urgency(1, 0)
PER_S = 300.0
"""Requests per second that the simulated engines serve: 600, held for 2 s each."""
TOTAL = 60_000.0
"""Memory of the simulated engines in tokens, for requests of 100."""


def row(urgency, organisation, tokens_per_s, organisations=1):
    return DemandRow(urgency, organisation, tokens_per_s, 1.0, organisations)


def make_load(rows, released=1_000.0, free=100.0, age_s=0.5, complete=True):
    demand = ServiceDemand("llm", tuple(rows), released, released)
    return ServiceLoad(Room(10_000.0, free), demand, age_s, 60, complete)


def make_policy(load=None, weights=None):
    weights = weights or {}
    policy = ShortagePolicy("i1", lambda o: weights.get(o, 1.0), random.Random(1))
    for step in range(100 if load else 0):
        policy.update(load, step * 0.1)
    return policy


def request(urgency=FIRST, organisation="a", tokens=100.0, left_s=20.0, due=False):
    return ArrivingRequest(urgency, organisation, tokens, 0.5, left_s, due)


def count_admitted(policy, requests):
    return sum(isinstance(policy.decide(each, 10.0), Admit) for each in requests)


def fractions(rows, supply, weights=None):
    weights = weights or {}
    demand = ServiceDemand("llm", tuple(rows), 0.0, 0.0)
    return weighted_fractions(demand, supply, lambda o: weights.get(o, 1.0))


def constant(share):
    """Return a rate of requests, as a share of what the engines serve."""
    return lambda now_s: share * PER_S


def test_everything_is_admitted_while_demand_fits_the_supply():
    rows = [row(FIRST, "a", 600.0), row(SECOND, "b", 400.0), row(THIRD, None, 0.0, 3)]
    assert set(fractions(rows, 1_000.0).values()) == {1.0}


def test_urgencies_are_served_in_order():
    """The least urgent kind was served best, the most urgent one worst."""
    rows = [row(THIRD, "a", 500.0), row(FIRST, "a", 500.0), row(SECOND, "a", 500.0)]
    found = fractions(rows, 750.0)
    assert found == {(FIRST, "a"): 1.0, (SECOND, "a"): 0.5, (THIRD, "a"): 0.0}


def test_shares_are_weighted_max_min():
    """A large organisation's excess must not reduce the shares of small ones."""
    rows = [
        row(FIRST, "large", 1_000.0), row(FIRST, "heavy", 1_000.0),
        row(FIRST, "small", 50.0), row(FIRST, None, 300.0, organisations=4),
    ]  # fmt: skip
    found = fractions(rows, 750.0, {"heavy": 3.0})
    assert found[FIRST, "small"] == 1.0 and found[FIRST, None] == 1.0
    assert found[FIRST, "large"] == pytest.approx(0.1)
    assert found[FIRST, "heavy"] == pytest.approx(0.3)


def test_without_information_everything_is_admitted():
    assert count_admitted(make_policy(), [request()] * 50) == 50


@pytest.mark.parametrize("age_s", [0.5, 3.0])
def test_nothing_is_refused_while_there_is_capacity(age_s):
    """A rule that holds back a reserve refuses requests that the engines could run."""
    fitting = [row(FIRST, "a", 600.0), row(SECOND, "b", 300.0)]
    load = make_load(fitting, released=900.0, free=2_000.0, age_s=age_s)
    requests = [request(SECOND, "b"), request(THIRD, "new")] * 200
    assert count_admitted(make_policy(load), requests) == 400


def test_an_instance_that_starts_in_a_shortage_serves_the_urgent_at_once():
    """Without a known holding time, no supply was left on full engines."""
    policy = make_policy()
    policy.update(make_load([row(FIRST, "a", 900.0), row(SECOND, "a", 900.0)]), 0.0)
    assert count_admitted(policy, [request()] * 20) == 20


def test_large_requests_are_admitted_as_often_as_small_ones():
    """Alternating sizes resonate with a remainder that they share."""
    policy = make_policy(make_load([row(FIRST, "a", 2_000.0)]))
    large = small = 0
    for _ in range(300):
        small += count_admitted(policy, [request(tokens=100.0)])
        large += count_admitted(policy, [request(tokens=5_000.0)])
    assert 0.3 < small / 300 < 0.7
    assert large == pytest.approx(small, abs=2)


def test_instances_with_few_requests_admit_the_fraction_together():
    """With a remainder of 0 at first, each of many instances refuses the first."""
    load = make_load([row(FIRST, "a", 2_000.0)])
    refusals = []
    for number in range(300):
        policy = ShortagePolicy(f"i{number}", lambda o: 1.0)
        for step in range(50):
            policy.update(load, step * 0.1)
        decision = policy.decide(request(), 10.0)
        refusals += [decision] if isinstance(decision, Refuse) else []
    expected = 300 * (1 - refusals[0].inputs.fraction)
    assert 0.8 * expected < len(refusals) < min(300, 1.2 * expected)


def test_due_retries_go_first_within_the_share_of_their_organisation():
    """Retries must not use more than the fraction of their organisation."""
    policy = make_policy(make_load([row(FIRST, "a", 4_000.0)]))
    before = count_admitted(policy, [request(due=False)] * 400)
    mixed = [request(due=number % 4 == 0) for number in range(400)]
    admitted_due = count_admitted(policy, mixed[:1])
    assert admitted_due == 1
    outcomes = Counter(
        (each.due, isinstance(policy.decide(each, 10.0), Admit)) for each in mixed
    )
    assert outcomes[True, True] > 3 * outcomes[False, True]
    both = outcomes[True, True] + outcomes[False, True]
    assert both == pytest.approx(before, abs=4)


def test_a_refusal_tells_its_inputs_and_when_to_retry():
    load = make_load([row(FIRST, "a", 900.0), row(SECOND, "a", 900.0)], complete=False)
    policy = make_policy(load)
    refusals = [policy.decide(request(THIRD), 10.0) for _ in range(200)]
    assert all(isinstance(each, Refuse) for each in refusals)
    waits = [each.retry_after_s for each in refusals]
    assert 0.8 * 0.7 <= min(waits) < max(waits) <= MAX_RETRY_AFTER_S * 1.3
    assert len(set(waits)) > 20, "callers that are refused together return together"
    inputs = refusals[0].inputs
    assert inputs.demand_more_urgent == pytest.approx(1_800.0)
    assert inputs.demand == 0.0 and inputs.fraction == 0.0
    assert not inputs.complete and inputs.age_s == 0.5
    assert refusals[0].reason == "more_urgent"


def test_retry_after_is_at_most_a_third_of_the_time_left():
    """Callers don't wait for longer, and would give up."""
    policy = make_policy(make_load([row(FIRST, "a", 9_000.0)]))
    for left_s in (3.0, 6.0, 12.0):
        decisions = [policy.decide(request(THIRD, left_s=left_s), 10.0)] * 50
        assert all(each.retry_after_s <= left_s / 3 + 0.01 for each in decisions)
    hopeless = policy.decide(request(THIRD, left_s=0.6), 10.0)
    assert hopeless.retry_after_s <= 0.8 * 1.3


SMALL = tuple(Source(SECOND, f"o{n}", constant(0.8 / 9)) for n in range(9))
LARGE = Source(SECOND, "large", constant(0.8))
FAIR_TOKENS = (TOTAL / (2.0 + STEP_S / 2) - 0.4 * PER_S * 100.0) / 10 * 20.0
"""Fair share of an organisation in 20 s; releases come up to a step late."""


@cache
def run_at_twice_the_capacity(instances, age_s):
    """Run a fleet with an urgent kind, and one organisation with half of the load."""
    urgent = Source(FIRST, "o0", constant(0.4))
    least = Source(THIRD, "o1", constant(0.05))
    fleet = Fleet(instances, TOTAL, age_s, warm_up_s=12.0)
    return fleet.run([urgent, LARGE, *SMALL, least], 32)


@pytest.mark.slow
@pytest.mark.parametrize("age_s", [0.5, 3.0])
@pytest.mark.parametrize("instances", [60, 300])
def test_bounds_at_twice_the_capacity(instances, age_s):
    """Guards against a fleet that oscillates, or that a large organisation takes."""
    fleet = run_at_twice_the_capacity(instances, age_s)
    assert fleet.utilisation >= 0.95
    assert fleet.share(urgency=FIRST) >= 0.95
    assert sum(fleet.served[each] for each in SMALL) >= 0.9 * 9 * FAIR_TOKENS
    assert fleet.served[LARGE] <= 1.6 * FAIR_TOKENS
    assert fleet.lost <= 0.05
    assert fleet.share(urgency=THIRD) <= fleet.share(urgency=SECOND) + 0.05
    assert fleet.share(urgency=SECOND) <= fleet.share(urgency=FIRST) + 0.05


@pytest.mark.slow
@pytest.mark.parametrize("age_s", [0.5, 3.0])
@pytest.mark.parametrize("instances", [60, 300])
def test_each_small_organisation_gets_its_share_at_twice_the_capacity(instances, age_s):
    """Guards against a mean that hides an organisation that is served too seldom."""
    fleet = run_at_twice_the_capacity(instances, age_s)
    assert min(fleet.served[each] for each in SMALL) >= 0.9 * FAIR_TOKENS


@pytest.mark.slow
def test_a_partitioned_domain_serves_by_what_it_knows():
    """A third of the fleet and of the engines, with demand of its own."""
    fleet = Fleet(20, TOTAL / 3, 0.5, complete=False)
    fleet.run([Source(u, "a", constant(0.25)) for u in (FIRST, SECOND, THIRD)], 28)
    assert fleet.utilisation >= 0.95
    assert fleet.share(urgency=FIRST) >= 0.95


@pytest.mark.slow
@pytest.mark.parametrize("age_s", [0.5, 3.0])
def test_a_fleet_below_its_capacity_refuses_nothing(age_s):
    """Random variation of arrivals must not look like a shortage."""
    sources = [Source(FIRST, f"o{n}", constant(0.08)) for n in range(10)]
    fleet = Fleet(60, TOTAL, age_s).run(sources, 28)
    assert fleet.retry_after_s == []


@pytest.mark.slow
def test_an_early_retry_storm_uses_only_its_own_share():
    """An organisation that repeats refused requests at once would crowd others out."""
    storm = Source(FIRST, "storm", constant(0.5), retry_s=0.4)
    calm = [Source(FIRST, f"o{n}", constant(0.1)) for n in range(8)]
    fleet = Fleet(60, TOTAL, 0.5).run([storm, *calm], 20)
    assert fleet.served[storm] <= 0.3 * PER_S * 100.0 * 12.0
    for each in calm:
        assert fleet.served[each] >= 0.9 * 0.1 * PER_S * 100.0 * 12.0


@cache
def run_burst():
    """Run a fleet whose demand rises to five times the usual level for 6 s."""

    def rate(now_s):
        return (5.0 if 12.0 <= now_s < 18.0 else 0.8) * PER_S / 3

    sources = [Source(each, "a", rate) for each in (FIRST, SECOND, THIRD)]
    return Fleet(60, TOTAL, 0.5, warm_up_s=14.5).run(sources, 18)


@pytest.mark.slow
def test_the_less_urgent_kinds_give_way_in_a_burst():
    """Guards against capacity that stays unused, or goes to the less urgent kinds."""
    fleet = run_burst()
    assert fleet.share(urgency=SECOND) <= 0.05
    assert fleet.utilisation >= 0.85


@pytest.mark.slow
def test_the_urgent_kind_is_served_through_a_burst():
    """Guards against engines that fill up with requests before the burst is known."""
    allowed_by_capacity = 0.6
    assert run_burst().share(urgency=FIRST) >= 0.95 * allowed_by_capacity


@pytest.mark.slow
def test_the_urgent_kind_is_served_through_a_wave_on_engines_of_unequal_speed():
    """Demand of plus or minus 55% in 15 s; the slow engines are six times slower."""

    def rate(now_s):
        return 0.4 * PER_S * (1 + 0.55 * sin(2 * pi * now_s / 15))

    sources = [Source(each, "a", rate) for each in (FIRST, SECOND, THIRD)]
    fleet = Fleet(60, TOTAL, 0.5, holding_s=(0.6, 3.4)).run(sources, 38)
    assert fleet.share(urgency=FIRST) >= 0.95
    assert fleet.share(urgency=THIRD) <= fleet.share(urgency=SECOND) + 0.05
    assert fleet.utilisation >= 0.9


def test_a_shortage_that_ends_is_forgotten():
    policy = make_policy(make_load([row(FIRST, "a", 4_000.0)]))
    assert count_admitted(policy, [request()] * 100) < 60
    load = make_load([row(FIRST, "a", 400.0)], released=400.0, free=9_000.0)
    for step in range(40):
        policy.update(evolve(load), 10.0 + step * 0.1)
    assert count_admitted(policy, [request()] * 100) == 100
