"""Which instances relay: the most powerful of a domain that are heard."""

import pytest
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import (
    ASKED_LIFE_S,
    LISTED_LIFE_S,
    RELAYS,
    RETRY_S,
    SILENT_AWAY_S,
    SILENT_S,
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
    roster.listed(peers)
    return roster


def test_a_small_domain_has_relays_only():
    peers = [peer(number) for number in range(RELAYS)]
    for own in peers:
        roster = make_roster(own, peers)
        assert roster.is_relay
        assert set(roster.relays("west")) == set(peers) - {own}


def test_the_most_powerful_relay_whatever_their_address():
    """Pattern: a domain of 29, two of them with four times the processor."""
    peers = [peer(number) for number in range(1, 28)]
    strong = [peer(40, power=2.15), peer(41, power=2.15)]
    for own in (*peers, *strong):
        roster = make_roster(own, [*peers, *strong])
        known = set(roster.relays("west")) | ({own} if roster.is_relay else set())
        assert known == {*strong, peers[0]}


def test_a_relay_that_falls_silent_is_replaced_and_taken_back_when_heard():
    clock = Clock()
    peers = [peer(number) for number in range(1, 9)]
    roster = make_roster(peers[7], peers, clock)
    for each in peers[:RELAYS]:
        roster.heard(each)
    clock.now_s += SILENT_S + 0.1
    for each in peers[1:RELAYS]:
        roster.heard(each)
    assert peers[0] in roster.relays("west"), "it is tried for a moment"
    clock.now_s += SILENT_S - 0.2
    for each in peers[1:RELAYS]:
        roster.heard(each)
    clock.now_s += 0.3
    assert roster.relays("west") == peers[1 : RELAYS + 1]
    roster.heard(peers[0])
    assert roster.relays("west") == peers[:RELAYS]


def test_of_a_domain_whose_first_ten_are_killed_a_living_one_is_found():
    """Pattern: herd_kill of half of the instances at one instant."""
    clock = Clock()
    peers = [peer(number) for number in range(1, 30)]
    roster = make_roster(peers[28], peers, clock)
    begun_s = clock.now_s
    while not roster.live_relays("west"):
        for each in roster.relays("west"):
            if each not in peers[:10]:
                roster.heard(each)
        clock.now_s += 0.25
        assert clock.now_s - begun_s < RETRY_S
    assert set(roster.live_relays("west")) <= set(peers[10:])


def test_an_instance_that_is_addressed_as_a_relay_relays():
    """Pattern: instances that know different peers rank them differently."""
    clock = Clock()
    peers = [peer(number) for number in range(1, 9)]
    roster = make_roster(peers[7], peers, clock)
    assert not roster.is_relay
    roster.asked_to_relay()
    assert roster.is_relay
    clock.now_s += ASKED_LIFE_S + 0.1
    assert not roster.is_relay


def test_instances_that_left_are_dropped():
    """Pattern: the store names instances whose machines were removed for good."""
    clock = Clock()
    roster = make_roster(peer(1), [peer(2), peer(3)], clock)
    clock.now_s += LISTED_LIFE_S - 0.1
    roster.heard(peer(3))
    clock.now_s += 0.2
    assert roster.peers() == [peer(3)]


def test_one_that_the_store_does_not_name_is_kept_while_it_is_heard():
    """One that the store turns away drops off the list and hears of no change."""
    clock = Clock()
    roster = make_roster(peer(1), [], clock)
    roster.heard(peer(2))
    clock.now_s += LISTED_LIFE_S - 0.1
    assert roster.members() == [peer(2)]


def test_instances_are_counted_by_the_relays_of_their_domains():
    """Pattern: a budget for all instances was shared out by 16 of 88."""
    clock = Clock()
    west = [peer(number) for number in range(1, 30)]
    relay, follower = make_roster(west[0], west, clock), make_roster(west[20], west)
    for each in west[1:]:
        relay.heard(each)
    relay.counted("east", 30)
    assert relay.instances() == 59
    for domain, count in {**relay.counts(), "west": relay.count()}.items():
        follower.counted(domain, count)
    assert follower.instances() == 59
    clock.now_s += SILENT_AWAY_S + 0.1
    assert relay.count() == 1


@pytest.mark.parametrize("own", range(1, 9))
def test_relays_of_another_domain_are_told_once_a_second_only(own):
    clock = Clock()
    east = [peer(number, "east") for number in range(1, 9)]
    roster = make_roster(peer(own), east, clock)
    for each in roster.relays("east"):
        roster.heard(each)
    clock.now_s += SILENT_S + 0.5
    assert roster.live_relays("east") == east[:RELAYS]


def test_a_domain_that_is_cut_off_does_not_take_all_of_the_retry_budget():
    """Counts of other domains lapse after 10 s; all three would use the whole of it."""
    now_s = [100.0]
    roster = Roster(Peer("i0", "a", "10.0.0.1:7"), lambda: now_s[0])
    others = [Peer(f"i{n}", "a", f"10.0.1.{n}:7") for n in range(1, 30)]
    counted = []
    for second in range(100):
        now_s[0] += 1
        for peer in others:
            roster.heard(peer)
        for domain in "abc" if second < 5 else "a":
            roster.counted(domain, 30)
        counted.append(roster.peak_instances())
    assert counted[4:60] == [90] * 56
    assert counted[-1] == 30
