"""Reports to peers and from them."""

import asyncio
import time

import pytest
from celeryfork_entry.peer_loads import IDLE_REPORTS, VERSION_TELLINGS, PeerLoads
from celeryfork_entry.ports import Peer
from celeryfork_entry.targets import LearntLayers, Target
from celeryfork_routing.engine_loads import EngineLoads
from celeryfork_routing.layers import LayerRange
from logbook import Logger
from orjson import dumps, loads

NEAR, FAR = Peer("e2", "west", "10.0.0.2:7"), Peer("e3", "east", "10.0.1.3:7")


class Wire:
    """Takes datagrams instead of a socket."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], loads(data)))


def make_peer_loads(name="e1", address="10.0.0.1:7"):
    peer_loads = PeerLoads(name, "west", address, EngineLoads(), Logger("test"))
    peer_loads.connection_made(Wire())
    return peer_loads


def report(peer_loads, times):
    wire = peer_loads._transport = Wire()
    for _ in range(times):
        peer_loads._report()
    return wire.sent


def test_a_new_version_is_told_though_nothing_is_in_flight():
    peer_loads = make_peer_loads()
    peer_loads.peers = [NEAR, FAR]
    report(peer_loads, 10 * VERSION_TELLINGS)
    peer_loads.version = lambda: 5
    told = report(peer_loads, VERSION_TELLINGS)
    assert {to for to, message in told if message["version"] == 5} == {
        "10.0.0.2", "10.0.1.3",
    }  # fmt: skip


def test_an_idle_instance_says_little():
    peer_loads = make_peer_loads()
    peer_loads.peers = [NEAR]
    report(peer_loads, 2 * VERSION_TELLINGS)
    assert len(report(peer_loads, 10 * IDLE_REPORTS)) == 10


def test_a_peer_that_is_no_longer_listed_is_told_on():
    """One that the store turns away drops off the list and hears of no change."""
    peer_loads, turned_away = make_peer_loads(), make_peer_loads("e2", "10.0.0.2:7")
    peer_loads.peers = []
    turned_away.peers = [Peer("e1", "west", "10.0.0.1:7")]
    for _, message in report(turned_away, IDLE_REPORTS):
        peer_loads.datagram_received(dumps(message), ("10.0.0.2", 7))
    assert {to for to, _ in report(peer_loads, IDLE_REPORTS)} == {"10.0.0.2"}


def test_only_a_higher_version_of_a_peer_is_asked_for():
    peer_loads, peer = make_peer_loads(), make_peer_loads("e2", "10.0.0.2:7")
    peer.peers = [Peer("e1", "west", "10.0.0.1:7")]
    heard = []
    peer_loads.on_version = lambda version, address: heard.append((version, address))
    peer_loads.version = lambda: 5
    for version in (4, 5, 6):
        peer.version = lambda version=version: version
        for _, message in report(peer, 1):
            peer_loads.datagram_received(dumps(message), ("10.0.0.2", 7))
    assert heard == [(6, "10.0.0.2:7")]


def test_what_is_no_report_is_left_out():
    peer_loads = make_peer_loads()
    for data in (b"", b"[]", b'{"loads": {}}', b'{"from": "e2", "at": 1}'):
        peer_loads.datagram_received(data, ("10.0.0.2", 7))
    assert report(peer_loads, 1) == []


def test_layers_that_an_engine_reported_reach_the_peers():
    """The list can't tell them while the store is away."""
    told, heard = make_peer_loads(), make_peer_loads("e2", "10.0.0.2:7")
    told.peers = [NEAR]
    now_s = time.monotonic()
    reported = {
        "x": LearntLayers(LayerRange(2, 5), 1000, now_s - 3.0, own=True),
        "y": LearntLayers(None, None, now_s, own=True),
    }
    told.layers = lambda: reported
    passed_on = {}
    heard.on_layers = passed_on.__setitem__
    ((_, message),) = report(told, 1)
    heard.datagram_received(dumps(message), ("10.0.0.1", 7))
    for engine_id, learnt in reported.items():
        other = passed_on[engine_id]
        assert (other.held, other.born_ms) == (learnt.held, learnt.born_ms)
        assert other.at_s == pytest.approx(learnt.at_s, abs=0.5)
        assert not other.own


def heard(message):
    """Return an instance that has got a report, and the engines it was told of."""
    peer_loads, told = make_peer_loads(), {}
    peer_loads.on_layers = told.__setitem__
    whole = {"from": "e2", "at": "10.0.0.2:7", "domain": "west", "loads": {}} | message
    peer_loads.datagram_received(dumps(whole), ("10.0.0.2", 7))
    return peer_loads, told


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
    peer_loads, told = heard({"layers": {"i-1": row}})
    assert told == {}
    assert peer_loads._unreadable == 1


def test_layers_of_a_report_dated_ahead_count_as_of_now():
    before_s = time.monotonic()
    _, told = heard({"layers": {"i-1": [0, 4, 1000, -60_000]}})
    assert before_s <= told["i-1"].at_s <= time.monotonic()


def test_the_holder_is_heard_by_its_fence():
    peer_loads, _ = heard({"fence": 7})
    assert (peer_loads.fence_heard, peer_loads.heard_of("west", 0.0)) == (
        7,
        {"10.0.0.2:7"},
    )
    silent_s = peer_loads.fence_heard_s = 1.0
    peer_loads.datagram_received(
        dumps({"from": "e3", "at": "10.0.1.3:7", "domain": "east", "loads": {}}),
        ("10.0.1.3", 7),
    )
    assert peer_loads.fence_heard_s == silent_s
    assert peer_loads.heard_of("west", time.monotonic() + 1) == set()


def test_peers_are_told_at_once_of_engines_that_are_down():
    """Pattern: some instances found a dark engine 1 to 3 s after the first."""

    async def tell():
        peer_loads = make_peer_loads()
        peer_loads.peers = [NEAR, FAR]
        wire = peer_loads._transport = Wire()
        for engine_id in ("i-1", "i-2"):
            peer_loads.tell_down(Target(engine_id, "llm", "a:1", "west", born_ms=5))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return wire.sent

    sent = asyncio.run(tell())
    assert [to for to, _ in sent] == ["10.0.0.2", "10.0.1.3"]
    told = []
    receiver = make_peer_loads("e2", "10.0.0.2:7")
    receiver.on_down = lambda *news: told.append(news)
    receiver.datagram_received(dumps(sent[0][1]), ("10.0.0.1", 7))
    assert told == [("i-1", 5, "e1"), ("i-2", 5, "e1")]


def test_news_is_told_once():
    peer_loads = make_peer_loads()
    peer_loads.peers = [NEAR]
    assert all("down" not in message for _, message in report(peer_loads, 40))
