"""Reports to relays, their digests, and how instances apply them."""

import asyncio
import time

import pytest
from celeryfork_entry.peer_protocol import IDLE_REPORT_PERIOD, REMOTE_REPORT_PERIOD
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import RELAYS_PER_DOMAIN
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.targets import Target
from celeryfork_routing.engine_loads import LayerPath, Load, Part
from celeryfork_routing.layers import LayerRange
from instance_network import Network, begin_work, receive_report, total_load
from orjson import loads


def test_each_instance_knows_the_load_of_all_instances():
    network = Network()
    for each in network.by_address.values():
        begin_work(each, "i-1")
    network.report(2 * REMOTE_REPORT_PERIOD)
    for each in network.by_address.values():
        assert total_load(each, "i-1") == Load(16, 640)


def test_finished_work_is_no_longer_counted():
    network = Network()
    instance = network["west-7"]
    begin_work(instance, "i-1")
    network.report(2 * REMOTE_REPORT_PERIOD)
    path = LayerPath((Part("i-1", "a:1", LayerRange(0, 4)),))
    instance._loads.end(path, 10)
    network.report(2 * REMOTE_REPORT_PERIOD)
    for each in network.by_address.values():
        assert total_load(each, "i-1") == Load()


@pytest.mark.parametrize("size", [8, 29, 138])
def test_traffic_of_a_follower_does_not_grow_with_the_fleet(size):
    """Without relays each of 88 instances sent and received 172 datagrams a second."""
    network = Network((size, size))
    for each in network.by_address.values():
        begin_work(each, "i-1")
    network.report(REMOTE_REPORT_PERIOD)
    network.sent_by_name.clear()
    network.report(REMOTE_REPORT_PERIOD)
    follower = network["west-8"]
    assert not follower.roster.is_relay
    assert network.counts()["west-8"] == RELAYS_PER_DOMAIN * REMOTE_REPORT_PERIOD
    own = follower.roster.own.address.partition(":")[0]
    received = sum(
        to == own for sent in network.sent_by_name.values() for to, _ in sent
    )
    assert received == RELAYS_PER_DOMAIN * REMOTE_REPORT_PERIOD


def test_one_live_relay_suffices_for_followers():
    network = Network()
    network.report(REMOTE_REPORT_PERIOD)
    network.silence("west-1", "west-2")
    begin_work(network["west-8"], "i-1")
    network.report(2)
    assert total_load(network["west-7"], "i-1") == Load(1, 40)


def test_the_lead_relay_sends_the_sums_and_the_next_one_takes_over():
    """Three relays used to send the same sums for 40 engines four times a second."""
    network = Network()
    for each in network.by_address.values():
        begin_work(each, "i-1")
    network.report(REMOTE_REPORT_PERIOD)

    def senders_of_loads():
        network.sent_by_name.clear()
        network.report(REMOTE_REPORT_PERIOD)
        follower = network["west-8"].roster.own.address.partition(":")[0]
        return {
            name
            for name, sent in network.sent_by_name.items()
            if any(to == follower and loads(data)["loads"] for to, data in sent)
        }

    assert senders_of_loads() == {"west-1"}
    network.silence("west-1")
    assert senders_of_loads() == {"west-2"}
    assert total_load(network["west-8"], "i-1").requests >= 15


def test_an_idle_instance_sends_few_reports():
    network = Network()
    network.report(8)
    network.sent_by_name.clear()
    network.report(10 * IDLE_REPORT_PERIOD)
    assert network.counts()["west-8"] == 10 * RELAYS_PER_DOMAIN


def test_only_a_higher_version_of_a_peer_is_fetched():
    network = Network()
    network.report(1)
    relay, follower, fetched = network["west-1"], network["west-8"], []
    follower.on_version = lambda version, address: fetched.append((version, address))
    follower.version = lambda: 5
    for version in (4, 5, 6):
        relay.version = lambda version=version: version
        relay._report()
    assert fetched == [(6, relay.roster.own.address)]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"loads": {}}', b'{"from": "e2", "at": 1}', b"\xff{}"]
)
def test_malformed_datagrams_are_ignored(data):
    network = Network()
    instance = network["west-8"]
    before = instance.roster.peers()
    instance.datagram_received(data, ("10.0.0.2", 7))
    assert instance._unreadable_count == 1
    assert instance.roster.peers() == before


def test_layers_that_an_engine_reported_reach_the_relays_of_all_domains():
    """The store can't show such layers in an outage; followers get them in digests."""
    network = Network()
    now_s = time.monotonic()
    reported = {
        "x": ReportedLayers(LayerRange(2, 5), 1000, now_s - 0.3, own=True),
        "y": ReportedLayers(None, None, now_s, own=True),
    }
    network["west-8"].layers = lambda: reported
    forwarded = {}
    network["east-1"].on_layers = forwarded.__setitem__
    network.report(REMOTE_REPORT_PERIOD)
    for engine_id, learnt in reported.items():
        other = forwarded[engine_id]
        assert (other.held, other.born_ms) == (learnt.held, learnt.born_ms)
        assert other.at_s == pytest.approx(learnt.at_s, abs=0.5)
        assert not other.own


def receive(message):
    """Return an instance that received a report, and the layers passed to on_layers."""
    network, received = Network(), {}
    instance = network["west-1"]
    instance.on_layers = received.__setitem__
    receive_report(instance, message)
    return instance, received


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
def test_reports_with_malformed_layers_are_ignored(row):
    instance, received = receive({"layers": {"i-1": row}})
    assert received == {}
    assert instance._unreadable_count == 1


@pytest.mark.parametrize(
    "message",
    [
        {"fence": "7"}, {"version": None}, {"loads": {"i-1": 3}}, {"down": [[1, 2]]},
        {"at": "nowhere"}, {"power": "x"}, {"loads": {"i-1": [True, 1]}},
        {"revision": 1}, {"revision": 1, "age": None, "old": 0, "counts": {}},
    ],
)  # fmt: skip
def test_a_message_with_a_malformed_field_is_ignored_entirely(message):
    instance, _ = receive(message)
    assert instance._unreadable_count == 1
    assert instance.highest_peer_fence == -1


def test_reported_layers_dated_in_the_future_count_as_of_now():
    before_s = time.monotonic()
    _, received = receive({"layers": {"i-1": [0, 4, 1000, -60_000]}})
    assert before_s <= received["i-1"].at_s <= time.monotonic()


def test_the_leader_is_recognised_by_its_fencing_token():
    instance, _ = receive({"fence": 7})
    assert instance.highest_peer_fence == 7
    before_s = instance.peer_fence_received_s = 1.0
    receive_report(instance, {"fence": None})
    assert instance.peer_fence_received_s == before_s
    receive_report(instance, {"fence": 6})
    assert instance.highest_peer_fence == 7
    assert instance.peer_fence_received_s > before_s


def test_down_reports_reach_all_instances_at_once():
    """Some instances used to detect a silent engine 1 to 3 s after the first one."""

    async def announce():
        network = Network((29, 29))
        network.report(1)
        received = {}
        for each in network.by_address.values():
            name = each.roster.own.name
            each.on_down = lambda *down_reports, name=name: received.setdefault(
                name, []
            ).append(down_reports)
        reporter = network["west-29"]
        for engine_id in ("i-1", "i-2"):
            reporter.announce_down(Target(engine_id, "llm", "a:1", "west", born_ms=5))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return network, received

    network, received = asyncio.run(announce())
    assert set(received) >= {e.roster.own.name for e in network.by_address.values()} - {
        "west-29"
    }
    for name, down_reports in received.items():
        assert {(engine_id, born_ms) for engine_id, born_ms, _ in down_reports} == {
            ("i-1", 5), ("i-2", 5),
        }, name  # fmt: skip


def test_a_down_report_is_forwarded_once():
    async def announce_twice():
        network = Network((29, 29))
        network.report(1)
        for name in ("west-29", "west-28"):
            target = Target("i-1", "llm", "a:1", "west", born_ms=5)
            network[name].announce_down(target)
        network.sent_by_name.clear()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return network

    network = asyncio.run(announce_twice())
    relay = network["west-29"].roster.relays("east")[0]
    sent = network.sent_by_name[relay.name]
    forwarded = [to for to, data in sent if loads(data)["down"]]
    assert forwarded
    assert len(forwarded) == len(set(forwarded))


def test_a_down_report_is_not_repeated_in_later_reports():
    async def announce():
        network = Network()
        network.report(1)
        network["west-8"].announce_down(Target("i-1", "llm", "a:1", "west", born_ms=5))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return network

    def down_reports(network):
        sent = [data for each in network.sent_by_name.values() for _, data in each]
        return [data for data in sent if loads(data)["down"]]

    network = asyncio.run(announce())
    assert down_reports(network)
    network.sent_by_name.clear()
    network.report(40)
    assert down_reports(network) == []


def test_a_new_version_is_sent_to_all_while_idle():
    network = Network()
    network.report(20)
    received = set()
    for instance in network.by_address.values():
        name = instance.roster.own.name
        instance.on_version = lambda version, at, name=name: received.add(
            (name, version)
        )
    network["west-1"].version = lambda: 5
    network.report(REMOTE_REPORT_PERIOD)
    followers = {(f"west-{number}", 5) for number in range(2, 9)}
    away = {(f"east-{number}", 5) for number in range(1, RELAYS_PER_DOMAIN + 1)}
    assert received >= followers | away


def test_an_unlisted_instance_still_receives_digests():
    """An instance rejected by the store isn't registered there, but sends reports."""
    network = Network()
    unlisted = Peer("west-9", "west", "10.1.0.9:7")
    network.add(unlisted)
    network["west-9"].roster.add_listed([network["west-1"].roster.own])
    begin_work(network["west-1"], "i-1")
    network.report(2 * REMOTE_REPORT_PERIOD)
    assert total_load(network["west-9"], "i-1") == Load(1, 40)


def test_a_domain_without_a_report_is_left_out_of_digests():
    """Followers took the empty sum of a silent domain for that of an idle one."""

    def forwarded():
        network.sent_by_name.clear()
        relay._send_digests(to_remote=True)
        sent = [loads(data) for _, data in network.sent_by_name["west-1"]]
        return {domain for fields in sent for domain in fields["away"]}

    network = Network()
    relay = network["west-1"]
    assert relay.roster.domains() == ["east"]
    assert forwarded() == set()
    network.report(2 * REMOTE_REPORT_PERIOD)
    assert forwarded() == {"east"}
