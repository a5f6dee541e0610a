"""How instances copy the target list: from the store, or from relays that read it."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry.peer_state import CHANGES_PATH
from celeryfork_entry.relayed_list import RELAY_SILENCE_S, STALE_S, STALE_SPREAD_S
from celeryfork_entry.target_http import LostError
from celeryfork_entry.targets import Listed, TargetTable, Unlisted
from followed_store import TARGET, Relay, follow_relays, make_follower, receive_digests


def test_a_peer_is_asked_again_after_concurrent_failures():
    """The second of two concurrent failures used to raise.

    The first had removed the record of both requests.
    """
    follower = make_follower()
    asked_addresses = []

    async def request_peer(address, path):
        asked_addresses.append(address)
        await asyncio.sleep(0)
        raise LostError("no answer")

    follower.request_peer = request_peer

    async def fetch_twice():
        await asyncio.gather(
            follower.fetch_configuration(5, "127.0.0.1:1"),
            follower.fetch_configuration(6, "127.0.0.1:1"),
        )
        await follower.fetch_configuration(6, "127.0.0.1:1")

    asyncio.run(fetch_twice())
    assert len(asked_addresses) == 2, (
        "one of the concurrent requests, and the later one"
    )


def test_a_follower_copies_the_list_of_its_relay():
    """Otherwise each of 88 instances reads all renewals of 98 engines itself."""
    relay, table = Relay(), TargetTable()
    relay.table.apply([Listed(TARGET), Listed(evolve(TARGET, id="t2"))])
    follower = follow_relays(relay, table=table)
    receive_digests(follower, relay)
    assert table.by_id == relay.table.by_id
    relay.table.apply(
        [Unlisted("t2"), Listed(evolve(TARGET, draining=True, entry_number=1))]
    )
    receive_digests(follower, relay, relay)
    assert table.by_id == relay.table.by_id
    assert relay.requested_paths[0] == f"{CHANGES_PATH}-1"
    assert len(relay.requested_paths) == 2, "no request for an unchanged revision"


def test_a_follower_switches_to_a_relay_with_a_fresher_list():
    """The store rejects one relay and serves the others."""
    stale, fresh, table = Relay(), Relay("10.0.0.3:7"), TargetTable()
    follower = follow_relays(stale, fresh, table=table)
    stale.table.apply([Listed(TARGET)])
    receive_digests(follower, stale)
    stale.age_s = STALE_S + 0.1
    fresh.table.apply([Listed(evolve(TARGET, draining=True, entry_number=1))])
    receive_digests(follower, stale, fresh)
    assert table.by_id[TARGET.id].draining


def test_a_follower_keeps_its_relay_while_all_lists_are_stale():
    """During a store outage 85 followers fetched full lists 7 times a second.

    Each switched to whichever relay had just reported the lowest list age.
    """
    first, second, table = Relay(), Relay("10.0.0.3:7"), TargetTable()
    follower = follow_relays(first, second, table=table)
    first.table.apply([Listed(TARGET)])
    receive_digests(follower, first)
    assert follower._relayed.current_relay == first.peer.address
    first.age_s, second.age_s = STALE_S + 0.2, STALE_S + 0.1
    receive_digests(follower, second, first)
    receive_digests(follower, second, first)
    assert follower._relayed.current_relay == first.peer.address
    second.age_s = 0.1
    receive_digests(follower, second, first)
    assert follower._relayed.current_relay == second.peer.address


def test_a_follower_switches_from_a_silent_relay():
    """The current relay dies, and an engine starts to drain right after."""
    first, second, table = Relay(), Relay("10.0.0.3:7"), TargetTable()
    follower = follow_relays(first, second, table=table)
    for relay in (first, second):
        relay.table.apply([Listed(TARGET)])
    receive_digests(follower, first, second)
    assert follower._relayed.current_relay == first.peer.address
    second.age_s = 1.5
    received_s = time.monotonic() - RELAY_SILENCE_S
    follower._relayed._digest_by_relay[first.peer.address] = (
        first.digest(),
        received_s,
    )
    second.table.apply([Listed(evolve(TARGET, draining=True, entry_number=1))])
    receive_digests(follower, second)
    assert table.by_id[TARGET.id].draining


def test_the_store_is_read_if_no_relay_has_a_fresh_list():
    """The store rejects a third of the machines, including all relays."""
    one, other = Relay(), Relay("10.0.0.3:7")
    follower = follow_relays(one, other)
    assert follower.relays_are_stale(), "no digest was received"
    one.age_s = other.age_s = STALE_S + STALE_SPREAD_S
    receive_digests(follower, one, other)
    assert follower.relays_are_stale()
    other.age_s = 0.1
    receive_digests(follower, other)
    assert not follower.relays_are_stale()


def test_a_follower_that_switches_to_the_store_makes_full_reads():
    follower = follow_relays(relay := Relay())
    receive_digests(follower, relay)

    async def run_both_loops():
        for work in (follower.follow_configuration, follower.follow_targets):
            task = asyncio.ensure_future(work())
            await asyncio.sleep(0.01)
            task.cancel()

    follower.configuration = SimpleNamespace(version=1)
    follower.list_read_s = 1.0
    asyncio.run(run_both_loops())
    assert follower._configurations.full_read_requested
    assert follower._targets.full_read_requested


def test_followers_adopt_the_list_age_of_their_relay():
    relay, table = Relay(), TargetTable()
    relay.list_is_stale, relay.age_s = True, 0.5
    follower = follow_relays(relay, table=table)
    receive_digests(follower, relay)
    assert table.list_is_stale
    age_s = follower.list_state().age_s
    assert 0.5 <= age_s < 0.9


def test_a_relay_that_does_not_answer_is_asked_again():
    relay, table = Relay(), TargetTable()
    relay.table.apply([Listed(TARGET)])
    relay.requested_paths = ["silent"]
    follower = follow_relays(relay, table=table)
    receive_digests(follower, relay)
    assert table.by_id == {}
    relay.requested_paths = []
    receive_digests(follower, relay)
    assert table.by_id == relay.table.by_id


def test_an_instance_that_reads_the_store_follows_a_relay_only_in_an_outage():
    relay, table = Relay(), TargetTable()
    relay.table.apply([Listed(TARGET)])
    follower = follow_relays(relay, table=table)
    follower.reads_store = lambda: True
    receive_digests(follower, relay)
    assert table.by_id == {}
    follower.unavailable_feeds.add("targets")
    receive_digests(follower, relay)
    assert table.by_id == relay.table.by_id


@pytest.mark.parametrize(
    "message",
    [b"", b"[]", b"{}", b'{"revision": 1, "whole": true, "targets": [{}], "gone": []}'],
)
def test_a_malformed_answer_of_a_relay_leaves_the_list_unchanged(message):
    relay, table = Relay(), TargetTable()
    table.apply([Listed(TARGET)])
    follower = follow_relays(relay, table=table)

    async def request_peer(address, path):
        return message

    follower.request_peer = request_peer
    receive_digests(follower, relay)
    assert list(table.by_id) == [TARGET.id]
    assert not follower._relayed._fetching
