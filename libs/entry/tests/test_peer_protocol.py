"""Reports to relays, their digests, and what is made of them."""

import asyncio
import time

import pytest
from celeryfork_entry.peer_protocol import IDLE_REPORTS, REPORTS_TO_AWAY
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import RELAYS
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.targets import Target
from celeryfork_routing.engine_loads import LayerPath, Load, Part
from celeryfork_routing.layers import LayerRange
from instance_network import Network, begin, hear, total
from orjson import loads


def test_each_instance_knows_the_work_of_all():
    network = Network()
    for each in network.by_address.values():
        begin(each, "i-1")
    network.report(2 * REPORTS_TO_AWAY)
    for each in network.by_address.values():
        assert total(each, "i-1") == Load(16, 640)


def test_work_that_ended_counts_no_more():
    network = Network()
    instance = network["west-7"]
    begin(instance, "i-1")
    network.report(2 * REPORTS_TO_AWAY)
    path = LayerPath((Part("i-1", "a:1", LayerRange(0, 4)),))
    instance._loads.end(path, 10)
    network.report(2 * REPORTS_TO_AWAY)
    for each in network.by_address.values():
        assert total(each, "i-1") == Load()


@pytest.mark.parametrize("size", [8, 29, 138])
def test_what_a_follower_sends_and_receives_does_not_grow_with_the_fleet(size):
    """Pattern: at 88 instances each sent 172 datagrams a second, and got as many."""
    network = Network((size, size))
    for each in network.by_address.values():
        begin(each, "i-1")
    network.report(REPORTS_TO_AWAY)
    network.sent_by_name.clear()
    network.report(REPORTS_TO_AWAY)
    follower = network["west-8"]
    assert not follower.roster.is_relay
    assert network.counts()["west-8"] == RELAYS * REPORTS_TO_AWAY
    own = follower.roster.own.address.partition(":")[0]
    received = sum(
        to == own for sent in network.sent_by_name.values() for to, _ in sent
    )
    assert received == RELAYS * REPORTS_TO_AWAY


def test_a_follower_goes_on_while_one_relay_is_left():
    network = Network()
    network.report(REPORTS_TO_AWAY)
    network.silence("west-1", "west-2")
    begin(network["west-8"], "i-1")
    network.report(2)
    assert total(network["west-7"], "i-1") == Load(1, 40)


def test_one_relay_tells_the_sums_and_the_next_when_it_falls_silent():
    """Pattern: three relays told the same sums of 40 engines four times a second."""
    network = Network()
    for each in network.by_address.values():
        begin(each, "i-1")
    network.report(REPORTS_TO_AWAY)

    def tellers():
        network.sent_by_name.clear()
        network.report(REPORTS_TO_AWAY)
        follower = network["west-8"].roster.own.address.partition(":")[0]
        return {
            name
            for name, sent in network.sent_by_name.items()
            if any(to == follower and loads(data)["loads"] for to, data in sent)
        }

    assert tellers() == {"west-1"}
    network.silence("west-1")
    assert tellers() == {"west-2"}
    assert total(network["west-8"], "i-1").requests >= 15


def test_an_idle_instance_says_little():
    network = Network()
    network.report(8)
    network.sent_by_name.clear()
    network.report(10 * IDLE_REPORTS)
    assert network.counts()["west-8"] == 10 * RELAYS


def test_only_a_higher_version_of_a_peer_is_asked_for():
    network = Network()
    network.report(1)
    relay, follower, heard = network["west-1"], network["west-8"], []
    follower.on_version = lambda version, address: heard.append((version, address))
    follower.version = lambda: 5
    for version in (4, 5, 6):
        relay.version = lambda version=version: version
        relay._report()
    assert heard == [(6, relay.roster.own.address)]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"loads": {}}', b'{"from": "e2", "at": 1}', b"\xff{}"]
)
def test_what_is_no_report_is_left_out(data):
    network = Network()
    instance = network["west-8"]
    before = instance.roster.peers()
    instance.datagram_received(data, ("10.0.0.2", 7))
    assert instance._unreadable == 1
    assert instance.roster.peers() == before


def test_layers_that_an_engine_reported_reach_the_relays_of_all_domains():
    """The list can't tell them while the store is away; followers get them with it."""
    network = Network()
    now_s = time.monotonic()
    reported = {
        "x": ReportedLayers(LayerRange(2, 5), 1000, now_s - 0.3, own=True),
        "y": ReportedLayers(None, None, now_s, own=True),
    }
    network["west-8"].layers = lambda: reported
    passed_on = {}
    network["east-1"].on_layers = passed_on.__setitem__
    network.report(REPORTS_TO_AWAY)
    for engine_id, learnt in reported.items():
        other = passed_on[engine_id]
        assert (other.held, other.born_ms) == (learnt.held, learnt.born_ms)
        assert other.at_s == pytest.approx(learnt.at_s, abs=0.5)
        assert not other.own


def heard(message):
    """Return an instance that has got a report, and the engines it was told of."""
    network, told = Network(), {}
    instance = network["west-1"]
    instance.on_layers = told.__setitem__
    hear(instance, message)
    return instance, told


@pytest.mark.parametrize(
    "row",
    [
        [0, 4, 1000],
        [0, "4", 1000, 0],
        [4, 4, 1000, 0],
        [-1, 4, 1000, 0],
        [0.5, 4, 1000, 0],
        [0, 4, "1000", 0],
        [0, None, 1000, 0],
        [0, 4, 1000, None],
        "0,4",
        None,
    ],
)
def test_layers_that_are_none_are_left_out(row):
    instance, told = heard({"layers": {"i-1": row}})
    assert told == {}
    assert instance._unreadable == 1


@pytest.mark.parametrize(
    "message",
    [
        {"fence": "7"}, {"version": None}, {"loads": {"i-1": 3}}, {"down": [[1, 2]]},
        {"at": "nowhere"}, {"power": "x"}, {"loads": {"i-1": [True, 1]}},
        {"revision": 1}, {"revision": 1, "age": None, "old": 0, "counts": {}},
    ],
)  # fmt: skip
def test_a_message_with_a_faulty_field_is_left_out_whole(message):
    instance, _ = heard(message)
    assert instance._unreadable == 1
    assert instance.fence_heard == -1


def test_layers_of_a_report_dated_ahead_count_as_of_now():
    before_s = time.monotonic()
    _, told = heard({"layers": {"i-1": [0, 4, 1000, -60_000]}})
    assert before_s <= told["i-1"].at_s <= time.monotonic()


def test_the_holder_is_heard_by_its_fence():
    instance, _ = heard({"fence": 7})
    assert instance.fence_heard == 7
    silent_s = instance.fence_heard_s = 1.0
    hear(instance, {"fence": None})
    assert instance.fence_heard_s == silent_s
    hear(instance, {"fence": 6})
    assert instance.fence_heard == 7
    assert instance.fence_heard_s > silent_s


def test_all_instances_are_told_at_once_of_engines_that_are_down():
    """Pattern: some instances found a dark engine 1 to 3 s after the first."""

    async def tell():
        network = Network((29, 29))
        network.report(1)
        told = {}
        for each in network.by_address.values():
            name = each.roster.own.name
            each.on_down = lambda *news, name=name: told.setdefault(name, []).append(
                news
            )
        finder = network["west-29"]
        for engine_id in ("i-1", "i-2"):
            finder.announce_down(Target(engine_id, "llm", "a:1", "west", born_ms=5))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return network, told

    network, told = asyncio.run(tell())
    assert set(told) >= {e.roster.own.name for e in network.by_address.values()} - {
        "west-29"
    }
    for name, news in told.items():
        assert {(engine_id, born_ms) for engine_id, born_ms, _ in news} == {
            ("i-1", 5), ("i-2", 5),
        }, name  # fmt: skip


def test_news_is_passed_on_once():
    async def tell_twice():
        network = Network((29, 29))
        network.report(1)
        for name in ("west-29", "west-28"):
            target = Target("i-1", "llm", "a:1", "west", born_ms=5)
            network[name].announce_down(target)
        network.sent_by_name.clear()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return network

    network = asyncio.run(tell_twice())
    relay = network["west-29"].roster.relays("east")[0]
    sent = network.sent_by_name[relay.name]
    passed_on = [to for to, data in sent if loads(data)["down"]]
    assert passed_on
    assert len(passed_on) == len(set(passed_on))


def test_news_is_not_repeated_in_later_reports():
    async def tell():
        network = Network()
        network.report(1)
        network["west-8"].announce_down(Target("i-1", "llm", "a:1", "west", born_ms=5))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return network

    def news(network):
        sent = [data for each in network.sent_by_name.values() for _, data in each]
        return [data for data in sent if loads(data)["down"]]

    network = asyncio.run(tell())
    assert news(network)
    network.sent_by_name.clear()
    network.report(40)
    assert news(network) == []


def test_a_new_version_is_told_to_all_though_nothing_is_in_flight():
    network = Network()
    network.report(20)
    told = set()
    for instance in network.by_address.values():
        name = instance.roster.own.name
        instance.on_version = lambda version, at, name=name: told.add((name, version))
    network["west-1"].version = lambda: 5
    network.report(REPORTS_TO_AWAY)
    followers = {(f"west-{number}", 5) for number in range(2, 9)}
    away = {(f"east-{number}", 5) for number in range(1, RELAYS + 1)}
    assert told >= followers | away


def test_an_instance_that_no_other_has_on_its_list_is_told_on():
    """One that the store turns away drops off the list and hears of no change."""
    network = Network()
    unlisted = Peer("west-9", "west", "10.1.0.9:7")
    network.add(unlisted)
    network["west-9"].roster.listed([network["west-1"].roster.own])
    begin(network["west-1"], "i-1")
    network.report(2 * REPORTS_TO_AWAY)
    assert total(network["west-9"], "i-1") == Load(1, 40)
