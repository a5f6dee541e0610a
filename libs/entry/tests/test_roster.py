"""Selection of relays: the most powerful live instances of a domain."""

import pytest
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import (
    PEER_TTL_S,
    RELAY_REQUEST_TTL_S,
    RELAY_RETRY_S,
    RELAY_TIMEOUT_S,
    RELAYS_PER_DOMAIN,
    REMOTE_RELAY_TIMEOUT_S,
    Roster,
)


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def peer(number, domain="west", power=1.0):
    zone = ("west", "east").index(domain)
    return Peer(f"{domain}-{number}", domain, f"10.{zone}.0.{number:02}:7", power)


def make_roster(own, peers=(), clock=None):
    roster = Roster(own, clock or Clock())
    roster.add_listed(peers)
    return roster


def test_all_instances_of_a_small_domain_are_relays():
    peers = [peer(number) for number in range(RELAYS_PER_DOMAIN)]
    for own in peers:
        roster = make_roster(own, peers)
        assert roster.is_relay
        assert set(roster.relays("west")) == set(peers) - {own}


def test_the_most_powerful_instances_are_relays_whatever_their_address():
    """A domain of 29 instances, two of them on much faster processors."""
    peers = [peer(number) for number in range(1, 28)]
    strong = [peer(40, power=2.15), peer(41, power=2.15)]
    for own in (*peers, *strong):
        roster = make_roster(own, [*peers, *strong])
        known = set(roster.relays("west")) | ({own} if roster.is_relay else set())
        assert known == {*strong, peers[0]}


def test_a_silent_relay_is_replaced_and_restored_at_its_next_message():
    clock = Clock()
    peers = [peer(number) for number in range(1, 9)]
    roster = make_roster(peers[7], peers, clock)
    for each in peers[:RELAYS_PER_DOMAIN]:
        roster.record_message(each)
    clock.now_s += RELAY_TIMEOUT_S + 0.1
    for each in peers[1:RELAYS_PER_DOMAIN]:
        roster.record_message(each)
    assert peers[0] in roster.relays("west"), (
        "a silent relay is tried until its timeout"
    )
    clock.now_s += RELAY_TIMEOUT_S - 0.2
    for each in peers[1:RELAYS_PER_DOMAIN]:
        roster.record_message(each)
    clock.now_s += 0.3
    assert roster.relays("west") == peers[1 : RELAYS_PER_DOMAIN + 1]
    roster.record_message(peers[0])
    assert roster.relays("west") == peers[:RELAYS_PER_DOMAIN]


def test_a_live_relay_is_found_after_the_first_ten_are_killed():
    """Bench fault herd_kill: half of the instances are killed at once."""
    clock = Clock()
    peers = [peer(number) for number in range(1, 30)]
    roster = make_roster(peers[28], peers, clock)
    begun_s = clock.now_s
    while not roster.live_relays("west"):
        for each in roster.relays("west"):
            if each not in peers[:10]:
                roster.record_message(each)
        clock.now_s += 0.25
        assert clock.now_s - begun_s < RELAY_RETRY_S
    assert set(roster.live_relays("west")) <= set(peers[10:])


def test_an_instance_that_is_addressed_as_a_relay_acts_as_one():
    """Instances that know different peers select different relays."""
    clock = Clock()
    peers = [peer(number) for number in range(1, 9)]
    roster = make_roster(peers[7], peers, clock)
    assert not roster.is_relay
    roster.record_relay_request()
    assert roster.is_relay
    clock.now_s += RELAY_REQUEST_TTL_S + 0.1
    assert not roster.is_relay


def test_instances_that_left_are_dropped():
    """The store lists instances whose machines were removed permanently."""
    clock = Clock()
    roster = make_roster(peer(1), [peer(2), peer(3)], clock)
    clock.now_s += PEER_TTL_S - 0.1
    roster.record_message(peer(3))
    clock.now_s += 0.2
    assert roster.peers() == [peer(3)]


def test_an_unlisted_instance_is_kept_while_it_sends_messages():
    """An instance rejected by the store isn't listed, but still sends messages."""
    clock = Clock()
    roster = make_roster(peer(1), [], clock)
    roster.record_message(peer(2))
    clock.now_s += PEER_TTL_S - 0.1
    assert roster.members() == [peer(2)]


def test_instances_are_counted_by_the_relays_of_their_domains():
    """A budget for all 88 instances was once divided by a count of 16."""
    clock = Clock()
    west = [peer(number) for number in range(1, 30)]
    relay, follower = make_roster(west[0], west, clock), make_roster(west[20], west)
    for each in west[1:]:
        relay.record_message(each)
    relay.record_count("east", 30)
    assert relay.instances() == 59
    for domain, count in {**relay.counts(), "west": relay.count()}.items():
        follower.record_count(domain, count)
    assert follower.instances() == 59
    clock.now_s += REMOTE_RELAY_TIMEOUT_S + 0.1
    assert relay.count() == 1


@pytest.mark.parametrize("own", range(1, 9))
def test_relays_of_another_domain_have_a_longer_timeout(own):
    clock = Clock()
    east = [peer(number, "east") for number in range(1, 9)]
    roster = make_roster(peer(own), east, clock)
    for each in roster.relays("east"):
        roster.record_message(each)
    clock.now_s += RELAY_TIMEOUT_S + 0.5
    assert roster.live_relays("east") == east[:RELAYS_PER_DOMAIN]


def test_a_domain_that_is_cut_off_does_not_use_the_whole_retry_budget():
    """Counts of other domains expire after 10 s; each of three domains would then use
    the whole budget."""
    now_s = [100.0]
    roster = Roster(Peer("i0", "a", "10.0.0.1:7"), lambda: now_s[0])
    others = [Peer(f"i{n}", "a", f"10.0.1.{n}:7") for n in range(1, 30)]
    counted = []
    for second in range(100):
        now_s[0] += 1
        for peer in others:
            roster.record_message(peer)
        for domain in "abc" if second < 5 else "a":
            roster.record_count(domain, 30)
        counted.append(roster.peak_instances())
    assert counted[4:60] == [90] * 56
    assert counted[-1] == 30
