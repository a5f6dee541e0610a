"""Following the store and the relays that read it."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry.peer_state import CHANGES_PATH
from celeryfork_entry.relayed_list import SILENT_RELAY_S, STALE_S, STALE_SPREAD_S
from celeryfork_entry.target_http import LostError
from celeryfork_entry.targets import Listed, TargetTable, Unlisted
from followed_store import TARGET, Relay, follow_relays, hear, make_following


def test_a_peer_that_does_not_answer_twice_at_a_time_is_asked_again():
    """The second failure found the note of the first gone and raised."""
    following = make_following()
    asked = []

    async def question(address, path):
        asked.append(address)
        await asyncio.sleep(0)
        raise LostError("no answer")

    following.question = question

    async def hear_twice():
        await asyncio.gather(
            following.fetch_configuration(5, "127.0.0.1:1"),
            following.fetch_configuration(6, "127.0.0.1:1"),
        )
        await following.fetch_configuration(6, "127.0.0.1:1")

    asyncio.run(hear_twice())
    assert len(asked) == 2, "one question at a time, and one after it"


def test_a_follower_has_the_list_of_its_relay():
    """Pattern: 88 instances each read each renewal of 98 engines from the store."""
    relay, table = Relay(), TargetTable()
    relay.table.apply([Listed(TARGET), Listed(evolve(TARGET, id="t2"))])
    following = follow_relays(relay, table=table)
    hear(following, relay)
    assert table.by_id == relay.table.by_id
    relay.table.apply(
        [Unlisted("t2"), Listed(evolve(TARGET, draining=True, entry_number=1))]
    )
    hear(following, relay, relay)
    assert table.by_id == relay.table.by_id
    assert relay.asked[0] == f"{CHANGES_PATH}-1"
    assert len(relay.asked) == 2, "nothing is asked where nothing has changed"


def test_a_follower_goes_over_to_a_relay_with_a_fresher_list():
    """Pattern: the store turns away one relay and serves the others."""
    stale, fresh, table = Relay(), Relay("10.0.0.3:7"), TargetTable()
    following = follow_relays(stale, fresh, table=table)
    stale.table.apply([Listed(TARGET)])
    hear(following, stale)
    stale.age_s = STALE_S + 0.1
    fresh.table.apply([Listed(evolve(TARGET, draining=True, entry_number=1))])
    hear(following, stale, fresh)
    assert table.by_id[TARGET.id].draining


def test_a_follower_stays_where_all_lists_are_old():
    """Pattern: the store is away, and 85 followers took whole lists 7 times a second.

    Each took the list of the relay whose digest said the least age, one after another.
    """
    first, second, table = Relay(), Relay("10.0.0.3:7"), TargetTable()
    following = follow_relays(first, second, table=table)
    first.table.apply([Listed(TARGET)])
    hear(following, first)
    assert following._relayed.followed == first.peer.address
    first.age_s, second.age_s = STALE_S + 0.2, STALE_S + 0.1
    hear(following, second, first)
    hear(following, second, first)
    assert following._relayed.followed == first.peer.address
    second.age_s = 0.1
    hear(following, second, first)
    assert following._relayed.followed == second.peer.address


def test_a_follower_leaves_a_relay_that_falls_silent():
    """Pattern: the followed relay dies, and an engine begins to leave right after."""
    first, second, table = Relay(), Relay("10.0.0.3:7"), TargetTable()
    following = follow_relays(first, second, table=table)
    for relay in (first, second):
        relay.table.apply([Listed(TARGET)])
    hear(following, first, second)
    assert following._relayed.followed == first.peer.address
    second.age_s = 1.5
    heard_s = time.monotonic() - SILENT_RELAY_S
    following._relayed._digest_by_relay[first.peer.address] = (first.digest(), heard_s)
    second.table.apply([Listed(evolve(TARGET, draining=True, entry_number=1))])
    hear(following, second)
    assert table.by_id[TARGET.id].draining


def test_the_store_is_read_where_no_relay_has_a_fresh_list():
    """Pattern: the store turns away a third of the machines, all relays among them."""
    one, other = Relay(), Relay("10.0.0.3:7")
    following = follow_relays(one, other)
    assert following.relays_are_stale(), "none is heard"
    one.age_s = other.age_s = STALE_S + STALE_SPREAD_S
    hear(following, one, other)
    assert following.relays_are_stale()
    other.age_s = 0.1
    hear(following, other)
    assert not following.relays_are_stale()


def test_a_follower_reads_what_is_newest_when_it_turns_to_the_store():
    follower = follow_relays(relay := Relay())
    hear(follower, relay)

    async def look():
        for work in (follower.follow_configuration, follower.follow_targets):
            task = asyncio.ensure_future(work())
            await asyncio.sleep(0.01)
            task.cancel()

    follower.configuration = SimpleNamespace(version=1)
    follower.list_read_s = 1.0
    asyncio.run(look())
    assert follower._configurations.begun_anew
    assert follower._targets.begun_anew


def test_what_a_relay_says_of_the_lists_age_holds_for_its_followers():
    relay, table = Relay(), TargetTable()
    relay.old, relay.age_s = True, 0.5
    following = follow_relays(relay, table=table)
    hear(following, relay)
    assert table.list_is_stale
    _, age_s, _ = following.list_state()
    assert 0.5 <= age_s < 0.9


def test_a_relay_that_does_not_answer_is_asked_again():
    relay, table = Relay(), TargetTable()
    relay.table.apply([Listed(TARGET)])
    relay.asked = ["silent"]
    following = follow_relays(relay, table=table)
    hear(following, relay)
    assert table.by_id == {}
    relay.asked = []
    hear(following, relay)
    assert table.by_id == relay.table.by_id


def test_an_instance_that_reads_the_store_follows_no_relay_while_it_answers():
    relay, table = Relay(), TargetTable()
    relay.table.apply([Listed(TARGET)])
    following = follow_relays(relay, table=table)
    following.reads_store = lambda: True
    hear(following, relay)
    assert table.by_id == {}
    following.store_away.add("targets")
    hear(following, relay)
    assert table.by_id == relay.table.by_id


@pytest.mark.parametrize(
    "message",
    [b"", b"[]", b"{}", b'{"revision": 1, "whole": true, "targets": [{}], "gone": []}'],
)
def test_an_unreadable_answer_of_a_relay_leaves_the_list_as_it_is(message):
    relay, table = Relay(), TargetTable()
    table.apply([Listed(TARGET)])
    following = follow_relays(relay, table=table)

    async def question(address, path):
        return message

    following.question = question
    hear(following, relay)
    assert list(table.by_id) == [TARGET.id]
    assert not following._relayed._taking
