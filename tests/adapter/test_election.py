"""Instance records in the store, and the processor speed that they contain."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_adapter.election import INSTANCES_TOPIC, StoreElection
from celeryfork_adapter.settings import decode_settings
from celeryfork_adapter.store import KeyedRecord, Membership
from celeryfork_entry.ports import Peer
from logbook import Logger

SETTINGS = {
    "nodeName": "front-1",
    "zone": "west",
    "ip": "10.1.0.40",
    "listen": {"front": "10.1.0.40:80", "ready": "10.1.0.40:81"},
    "portRange": [7340, 7355],
    "bounds": {
        "graceS": 8, "retryBudget": 0.2, "retrySlack": 198, "retryWindowS": 10,
    },
    "platform": {"addr": "10.200.1.7:80"},
}  # fmt: skip


class FakeStore:
    """An in-memory store of the newest record of each key."""

    def __init__(self):
        self.value_by_key = {}

    async def append_keyed(self, topic, key, value):
        assert topic == INSTANCES_TOPIC
        self.value_by_key[key] = value

    async def newest(self, topic):
        assert topic == INSTANCES_TOPIC
        records = [KeyedRecord(*item) for item in self.value_by_key.items()]
        return records, len(records)


def make_election(store, **fields):
    return StoreElection(store, decode_settings(SETTINGS | fields), Logger("test"))


def test_newest_record_of_an_instance_is_used():
    store = FakeStore()
    asyncio.run(make_election(store).announce())
    moved = {"ip": "10.1.0.41", "limits": {"cpuShare": 0.717, "cores": 3}}
    asyncio.run(make_election(store, **moved).announce())
    (peer,) = asyncio.run(make_election(store, nodeName="front-2").peers())
    assert peer == Peer("front-1", "west", "10.1.0.41:7340", pytest.approx(2.151))


def test_peers_exclude_the_instance_itself():
    store = FakeStore()
    asyncio.run(make_election(store).announce())
    assert asyncio.run(make_election(store).peers()) == []


@pytest.mark.parametrize(
    "value",
    [None, b"", b"{", b"[]", b"{}", b'{"domain": "w", "address": "a:1"}', b"\xff",
     b'{"domain": "w", "address": "a:1", "power": "x"}',
     b'{"domain": "w", "address": "nowhere", "power": 1}',
     b'{"domain": "w", "address": "a:70000", "power": 1}',
     b'{"domain": "w", "address": "a:0", "power": 1}',
     b'{"domain": "w", "address": 7, "power": 1}',
     b'{"domain": [1], "address": "a:1", "power": 1}',
     b'{"domain": "w", "address": "a:1", "power": true}',
     b"[" * 100_000],
)  # fmt: skip
def test_malformed_instance_record_is_skipped(value):
    store = FakeStore()
    asyncio.run(make_election(store).announce())
    store.value_by_key["front-9"] = value
    peers = asyncio.run(make_election(store, nodeName="front-2").peers())
    assert [peer.name for peer in peers] == ["front-1"]


def test_a_malformed_instance_record_is_logged_once():
    """Each read of the instances logged it, by each of them."""
    store, lines = FakeStore(), []
    store.value_by_key["front-9"] = b"{}"
    election = make_election(store)
    election._log = SimpleNamespace(info=lambda event, **_: lines.append(event))
    for _ in range(3):
        assert asyncio.run(election.peers()) == []
    assert lines == ["instance_unreadable"]


@pytest.mark.parametrize(
    "limits", [None, {}, {"cpuShare": 0.5}, {"cpuShare": "a", "cores": 1}]
)
def test_host_without_valid_power_settings_counts_as_one_core(limits):
    assert decode_settings(SETTINGS | {"limits": limits}).power == 1.0


class RestoredStore:
    """A store whose group continues with an earlier generation after a restore."""

    def __init__(self):
        self.era, self.answered, self.asked = 1, 19, []

    async def join(self, group, member, topic, ttl_s, generation):
        self.asked.append(generation)
        return Membership(self.era, self.answered, frozenset({(topic, 0)}))

    def restore(self):
        self.era, self.answered = 2, 9


# The leader's orders were refused for good: the restored group had generation 9, and
# engines had seen 19. Two instances took the leadership from each other for 5 s.
def test_the_fencing_token_rises_when_the_store_is_restored():
    store = RestoredStore()
    election = make_election(store)
    before = asyncio.run(election.renew())
    store.restore()
    after = asyncio.run(election.renew())
    assert after.held
    assert after.fence > before.fence


def test_a_generation_of_the_era_before_is_not_sent():
    store = RestoredStore()
    election = make_election(store)
    asyncio.run(election.renew())
    asyncio.run(election.renew())
    store.restore()
    asyncio.run(election.renew())
    assert store.asked == [0, 19, 0]


def test_the_fencing_token_rises_with_the_generation():
    store = RestoredStore()
    election = make_election(store)
    before = asyncio.run(election.renew())
    store.answered += 1
    assert asyncio.run(election.renew()).fence == before.fence + 1
