"""Tests of celeryfork_membership.peer_selector and token_bucket."""

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


def make_peer(name: str, domain: str) -> PeerView:
    return PeerView(name, 1, domain, name, name, 0, InstanceState.SERVING, 0.0)


def make_selector(clock: ManualClock, *peers: PeerView) -> PeerSelector:
    table = PeerTable("me", clock)
    for peer in peers:
        table.put(peer)
    return PeerSelector(table, "d0", 0.75, "me", clock, Random(1))


def test_most_exchanges_go_to_own_domain() -> None:
    peers = [make_peer(f"i{n}", f"d{n % 3}") for n in range(9)]
    selector = make_selector(ManualClock(), *peers)
    chosen = [selector.choose() for _ in range(1000)]
    same_domain_count = sum(
        p is not None and int(p.address[1:]) % 3 == 0 for p in chosen
    )
    assert 700 < same_domain_count < 800


def test_failed_peer_is_retried_before_it_is_suspected() -> None:
    selector = make_selector(
        ManualClock(), *(make_peer(f"i{n}", "d0") for n in range(50))
    )
    failing = PeerEndpoint("i7", "i7")
    assert not selector.record_failure(failing)
    assert selector.choose() == failing
    assert selector.record_failure(failing)


def test_contact_clears_failures() -> None:
    selector = make_selector(ManualClock(), make_peer("i7", "d0"))
    selector.record_failure(PeerEndpoint("i7", "i7"))
    selector.record_contact("i7", "i7")
    assert not selector.record_failure(PeerEndpoint("i7", "i7"))


def test_dead_seeds_are_backed_off_and_removed_down_to_minimum() -> None:
    clock = ManualClock()
    selector = make_selector(clock, make_peer("i0", "d0"))
    selector.add_seeds(["me", *(f"s{n}" for n in range(200))])
    seed_tries = 0
    for _ in range(5000):
        chosen = selector.choose()
        if chosen is not None and chosen.instance is None:
            seed_tries += 1
            selector.record_failure(chosen)
        clock.advance(1)
    assert selector.seed_count == MIN_SEEDS
    assert seed_tries < 4000


def test_token_bucket_refills_up_to_capacity() -> None:
    clock = ManualClock()
    bucket = TokenBucket(clock, rate_per_s=2.0, capacity=3.0)
    assert [bucket.try_acquire(1) for _ in range(4)] == [True, True, True, False]
    clock.advance(1)
    assert [bucket.try_acquire(1) for _ in range(3)] == [True, True, False]
    clock.advance(100)
    assert bucket.available() == 3
