"""Following the store, and what is believed while it is away."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_base.counters import Counters
from celeryfork_entry.following import STORE_RETRY_S, Following
from celeryfork_entry.known import CHANGES_PATH, encode_known
from celeryfork_entry.peer_messages import RelayDigest
from celeryfork_entry.ports import Peer, StoreUnavailableError
from celeryfork_entry.relayed_list import SILENT_RELAY_S, STALE_S, STALE_SPREAD_S
from celeryfork_entry.target_http import LostError, TargetConnections
from celeryfork_entry.targets import Listed, Target, TargetTable, Unlisted
from logbook import Logger

TARGET = Target("t1", "llm", "10.0.0.1:80", "a")


class Feed:
    """Gives what it was told, in order, then waits for good."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.begun_anew = False

    def start_anew(self):
        self.begun_anew = True

    async def poll(self):
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def whole(self):
        return [TARGET]


def follow(*answers):
    table = TargetTable()
    following = Following(
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
    assert table.list_is_old


def test_the_list_is_old_until_lapsed_entries_are_decided_on():
    """Second 26 of trouble-3 of the hosting site: engines that left in an outage were
    offered work 92 times in the two seconds after it, which spent the retry budget."""
    table, following = follow(
        None, StoreUnavailableError("away"), [Unlisted(TARGET.id)]
    )
    assert table.list_is_old
    assert TARGET.id in table.by_id
    assert following.store_away == set()


def test_a_list_that_is_read_is_not_old():
    table, _ = follow(None, [])
    assert not table.list_is_old


class AskingFollowing(Following):
    """Asks a function instead of a peer."""

    question = None

    async def _question(self, address, path):
        return await self.question(address, path)


def make_following(table=None, **fields):
    return AskingFollowing(
        Feed(), Feed(), table or TargetTable(), TargetConnections(), Logger("test"),
        Counters(), lambda: [], **fields,
    )  # fmt: skip


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
            following.heard_of(5, "127.0.0.1:1"), following.heard_of(6, "127.0.0.1:1")
        )
        await following.heard_of(6, "127.0.0.1:1")

    asyncio.run(hear_twice())
    assert len(asked) == 2, "one question at a time, and one after it"


class Relay:
    """A relay that a follower asks, and what it says of its list."""

    def __init__(self, address="10.0.0.2:7"):
        self.following = make_following()
        self.peer = Peer("relay", "a", address)
        self.age_s = 0.0
        self.old = False
        self.asked = []

    @property
    def table(self):
        return self.following._table

    def digest(self):
        return RelayDigest(
            self.peer, None, -1, {}, {}, (), {},
            revision=self.table.changes.revision, list_age_s=self.age_s,
            list_is_old=self.old, counts={}, away_loads={},
        )  # fmt: skip


def follow_relays(*relays, table=None):
    """Return a follower of relays that it can ask."""
    by_address = {relay.peer.address: relay for relay in relays}

    async def question(address, path):
        relay = by_address[address]
        if relay.asked and relay.asked[-1] == "silent":
            raise LostError("no answer")
        relay.asked.append(path)
        revision = path.removeprefix(CHANGES_PATH)
        known = int(revision) if revision.isdecimal() else -1
        return relay.following.changes_since(known)

    following = make_following(table, reads_store=lambda: False)
    following.question = question
    return following


def hear(following, *relays):
    async def take():
        for relay in relays:
            following.heard_digest(relay.digest())
            await asyncio.sleep(0.01)

    asyncio.run(take())


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
        monkeypatch.setattr("celeryfork_entry.following.time", self)
        monkeypatch.setattr("celeryfork_entry.following.asyncio.sleep", self.sleep)

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
    assert table.list_is_old
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
