"""Tests of celeryfork_membership.peer_selector and budget."""

from random import Random

from celeryfork_base.clock import ManualClock
from celeryfork_membership.peer_selector import (
    MIN_SEEDS,
    PeerEndpoint,
    PeerSelector,
)
from celeryfork_membership.peers import PeerTable, PeerView
from celeryfork_membership.token_bucket import TokenBucket
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState


def peer(name: str, domain: str) -> PeerView:
    return PeerView(name, 1, domain, name, name, 0, InstanceState.SERVING, 0.0)


def make_partners(clock: ManualClock, *peers: PeerView) -> PeerSelector:
    table = PeerTable("me", clock)
    for one in peers:
        table.put(one)
    return PeerSelector(table, "d0", 0.75, "me", clock, Random(1))


def test_most_exchanges_stay_in_the_own_domain() -> None:
    peers = [peer(f"i{n}", f"d{n % 3}") for n in range(9)]
    partners = make_partners(ManualClock(), *peers)
    chosen = [partners.choose() for _ in range(1000)]
    near = sum(p is not None and int(p.address[1:]) % 3 == 0 for p in chosen)
    assert 700 < near < 800


def test_a_peer_that_failed_once_is_tried_again_before_it_is_suspected() -> None:
    partners = make_partners(ManualClock(), *(peer(f"i{n}", "d0") for n in range(50)))
    failing = PeerEndpoint("i7", "i7")
    assert not partners.record_failure(failing)
    assert partners.choose() == failing
    assert partners.record_failure(failing)


def test_an_answer_clears_a_failure() -> None:
    partners = make_partners(ManualClock(), peer("i7", "d0"))
    partners.record_failure(PeerEndpoint("i7", "i7"))
    partners.record_contact("i7", "i7")
    assert not partners.record_failure(PeerEndpoint("i7", "i7"))


def test_dead_seeds_are_tried_ever_less_and_dropped_unless_few_are_left() -> None:
    clock = ManualClock()
    partners = make_partners(clock, peer("i0", "d0"))
    partners.add_seeds(["me", *(f"s{n}" for n in range(200))])
    tries = 0
    for _ in range(5000):
        chosen = partners.choose()
        if chosen is not None and chosen.instance is None:
            tries += 1
            partners.record_failure(chosen)
        clock.advance(1)
    assert partners.seed_count == MIN_SEEDS
    assert tries < 4000


def test_a_budget_grants_what_is_earned_and_saves_up_to_a_limit() -> None:
    clock = ManualClock()
    budget = TokenBucket(clock, rate_per_s=2.0, capacity=3.0)
    assert [budget.try_acquire(1) for _ in range(4)] == [True, True, True, False]
    clock.advance(1)
    assert [budget.try_acquire(1) for _ in range(3)] == [True, True, False]
    clock.advance(100)
    assert budget.available() == 3
