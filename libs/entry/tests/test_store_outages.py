"""What is believed and asked while the store is away, and when it is back."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_base.counters import Counters
from celeryfork_entry.peer_state import encode_known
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_entry.relayed_list import STALE_S
from celeryfork_entry.store_follower import STORE_RETRY_S, UNREAD_AGE_S, StoreFollower
from celeryfork_entry.target_http import LostError, TargetConnections
from celeryfork_entry.targets import TargetTable, Unlisted
from followed_store import (
    TARGET,
    AskingFollowing,
    Feed,
    Relay,
    follow_relays,
    hear,
    make_following,
)
from logbook import Logger


def follow(*answers):
    table = TargetTable()
    following = StoreFollower(
        Feed(), Feed(*answers), table, TargetConnections(), Logger("test"),
        Counters(), lambda: [],
    )  # fmt: skip

    async def run():
        task = asyncio.ensure_future(following.follow_targets())
        while following._targets.answers:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return table, following


def test_the_list_is_old_while_the_store_is_away():
    table, _ = follow(None, StoreUnavailableError("away"))
    assert table.list_is_stale


def test_the_list_is_old_until_lapsed_entries_are_decided_on():
    """Second 26 of trouble-3 of the hosting site: engines that left in an outage were
    offered work 92 times in the two seconds after it, which spent the retry budget."""
    table, following = follow(
        None, StoreUnavailableError("away"), [Unlisted(TARGET.id)]
    )
    assert table.list_is_stale
    assert TARGET.id in table.by_id
    assert following.store_away == set()


def test_a_list_that_is_read_is_not_old():
    table, _ = follow(None, [])
    assert not table.list_is_stale


class Away(Feed):
    """A store that is away, and counts who asks."""

    asked = 0

    async def poll(self):
        self.asked += 1
        raise StoreUnavailableError("away")


class SteppedTime:
    """The time of a module, in which waiting takes none."""

    def __init__(self, monkeypatch):
        self.now_s = 100.0
        self._yield = asyncio.sleep
        monkeypatch.setattr("celeryfork_entry.store_follower.time", self)
        monkeypatch.setattr("celeryfork_entry.store_follower.asyncio.sleep", self.sleep)

    def monotonic(self):
        return self.now_s

    async def sleep(self, seconds):
        self.now_s += seconds
        await self._yield(0)


def questions_in_outage(monkeypatch, outage_s, **fields):
    """Return how often an instance asks a store that is away, for one topic."""
    stepped = SteppedTime(monkeypatch)
    following = make_following(**fields)
    following._targets = feed = Away()
    following.configuration = SimpleNamespace(version=1)
    following.list_read_s = stepped.now_s
    ends_s = stepped.now_s + outage_s

    async def run():
        task = asyncio.ensure_future(following.follow_targets())
        while stepped.now_s < ends_s:
            await asyncio.wait({task}, timeout=0)
        task.cancel()

    asyncio.run(run())
    return feed.asked


def test_followers_ask_a_store_that_is_away_more_and_more_seldom(monkeypatch):
    """Pattern: the store is away for 12 s, and 180 followers asked it 7,000 times."""
    for _ in range(20):
        asked = questions_in_outage(monkeypatch, 12.0, relays=lambda: False)
        assert 4 <= asked <= 12


def test_relays_ask_a_store_that_is_away_as_before(monkeypatch):
    """What they read goes to their whole domain; a change is in force within 2 s."""
    asked = questions_in_outage(monkeypatch, 12.0, relays=lambda: True)
    assert asked == pytest.approx(12.0 / STORE_RETRY_S, abs=2)


def test_a_follower_that_becomes_a_relay_asks_at_once(monkeypatch):
    """Pattern: the relays of a domain are killed while the store is away."""
    stepped = SteppedTime(monkeypatch)
    following = make_following(relays=lambda: stepped.now_s > 101.0)
    following.configuration, following.list_read_s = SimpleNamespace(version=1), 1.0
    asyncio.run(following._wait_to_retry(8))
    assert stepped.now_s <= 101.0 + 2 * STORE_RETRY_S


def test_followers_turn_to_the_store_one_after_another():
    """Pattern: the store is away for 4.4 s, and 85 followers read it when it is back.

    Each read all changes since its start over its own link, so that engines' answers
    came late, and 1,990 questions found engines down.
    """
    relay, waiting = Relay(), 0
    for _ in range(200):
        following = follow_relays(relay)
        relay.age_s = STALE_S + 1.5
        hear(following, relay)
        waiting += not following.relays_are_stale()
    assert waiting > 100


class Decoding(Feed):
    """Gives a configuration whose version is what is encoded."""

    async def decode(self, encoded):
        return SimpleNamespace(version=int(encoded), encoded=encoded)


def test_an_instance_that_starts_without_the_store_takes_the_newest_of_its_peers():
    """Operators: after a restart, a withdrawn key was in use again."""
    versions = {"10.0.0.2:7": b"5", "10.0.0.3:7": b"7", "10.0.0.4:7": b"6"}

    async def question(address, path):
        return encode_known(SimpleNamespace(encoded=versions[address]), [])

    following = AskingFollowing(
        Decoding(), Feed(), TargetTable(), TargetConnections(), Logger("test"),
        Counters(), lambda: ["10.0.0.9:7", *versions],
    )  # fmt: skip

    async def answer_or_fail(address, path):
        if address not in versions:
            raise LostError("no answer")
        return await question(address, path)

    following.question = answer_or_fail
    asyncio.run(following._ask_anyone())
    assert following.version == 7


def test_a_relay_that_has_read_no_list_is_not_followed():
    """Entry soak, seed 115: it had just started while the store was away.

    Instances that knew the list took the empty one.
    """
    fresh, table = Relay(), TargetTable()
    fresh.age_s = UNREAD_AGE_S
    table.replace_all([TARGET])
    following = follow_relays(fresh, table=table)
    hear(following, fresh, fresh)
    assert list(table.by_id) == [TARGET.id]
    assert fresh.asked == []


def test_the_stores_list_replaces_a_relays_when_the_store_is_back():
    """Entry soak, seed 115: only changes were taken, and the list stayed empty."""
    relay = Relay()
    following = make_following()
    following._targets = Feed(None, StoreUnavailableError("away"), [])

    async def question(address, path):
        return relay.following.changes_since(-1)

    async def run():
        following.question = question
        task = asyncio.ensure_future(following.follow_targets())
        while "targets" not in following.store_away:
            await asyncio.sleep(0.01)
        following.receive_digest(relay.digest())
        await asyncio.sleep(0.05)
        assert following._table.by_id == {}
        while following.store_away:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    assert list(following._table.by_id) == [TARGET.id]
