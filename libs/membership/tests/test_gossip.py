"""Tests of celeryfork_membership.gossip and peers.

Many gossips run in virtual time over a network in memory; their heartbeats go
through thrift's encoding, so that bytes and processor time are the real ones.
"""

import sys
import time
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import evolve, frozen
from celeryfork_base.clock import ManualClock, SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PeerUnavailableError
from celeryfork_membership.gossip import Gossip, PeerIdentity, make_gossip
from celeryfork_membership.targets import Draining, make_target_view
from celeryfork_membership.update_store import UpdateStore, make_update_store
from celeryfork_platform.model import Instance, InstanceList
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import Heartbeat, InstanceState
from celeryfork_wire.peers import PeerPool, PeerServer
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

FRAME_AND_CALL_BYTES = 4 + 24


def recoded(heartbeat: Heartbeat, sizes: list[int]) -> Heartbeat:
    """What the other side reads, with the bytes on the wire noted."""
    out = TMemoryBuffer()
    heartbeat.write(TBinaryProtocolAccelerated(out))
    data = out.getvalue()
    sizes.append(len(data) + FRAME_AND_CALL_BYTES)
    copy = Heartbeat()
    copy.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    return copy


class Network:
    """Gossips of ``count`` instances in three failure domains, in virtual time."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.counters = Counters()
        self.random = Random(seed)
        self.sizes: list[int] = []
        self.down: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda here, there: False
        self.gossips: dict[str, Gossip] = {}
        self.boards: dict[str, UpdateStore] = {}
        for number in range(count):
            self.add(f"i{number}", f"d{number % 3}", incarnation=1000)

    def add(self, name: str, domain: str, incarnation: int) -> Gossip:
        identity = PeerIdentity(name, incarnation, domain, name, f"10.0.0.1:{name}")
        board = make_update_store(self.clock, self.counters)
        pool = SimpleNamespace(
            call=lambda address, call, timeout_s, fresh: self._call(name, address, call)
        )
        seed = self.random.randrange(1 << 30)
        gossip = make_gossip(
            identity, board, pool, self.clock, self.counters, seed=seed
        )
        gossip.add_seeds(["i0"])
        gossip.set_state(InstanceState.SERVING)
        self.gossips[name], self.boards[name] = gossip, board
        return gossip

    def _call(self, here: str, there: str, call: Callable[[Any], Any]) -> Heartbeat:
        if there in self.down or there not in self.gossips or self.cut(here, there):
            raise PeerUnavailableError("down", "none", sent=False)
        serve = self.gossips[there].handle_exchange
        peer = SimpleNamespace(
            exchange=lambda mine: recoded(serve(recoded(mine, self.sizes)), self.sizes)
        )
        return call(peer)

    def run(self, seconds: float) -> None:
        """Let everybody who is up speak once a second, and at once when eager."""
        for _ in range(round(seconds)):
            names = [name for name in self.gossips if name not in self.down]
            self.random.shuffle(names)
            for name in names:
                self.gossips[name].exchange_once()
            self.clock.advance(0.5)
            self.run_eager(names)
            self.clock.advance(0.5)

    def run_eager(self, names: list[str]) -> None:
        waiting = [n for n in names if self.gossips[n].pending_immediate_exchanges]
        while waiting:
            for name in waiting:
                self.gossips[name].exchange_once()
            self.clock.advance(0.002)
            waiting = [n for n in names if self.gossips[n].pending_immediate_exchanges]

    def seconds_until(self, condition: Callable[[], bool], limit: int) -> int:
        for second in range(limit):
            if condition():
                return second
            self.run(1)
        raise AssertionError(f"not within {limit} s")

    def all_know(self, count: int) -> bool:
        up = [g for n, g in self.gossips.items() if n not in self.down]
        return all(len(g.peers_by_instance) == count for g in up)

    def nobody_knows(self, name: str) -> bool:
        up = [g for n, g in self.gossips.items() if n not in self.down]
        return all(name not in g.peers_by_instance for g in up)


def test_one_instance_alone_goes_on() -> None:
    network = Network(1)
    network.run(5)
    assert dict(network.gossips["i0"].peers_by_instance) == {}


def test_peers_find_each_other_through_one_seed() -> None:
    network = Network(9)
    assert network.seconds_until(lambda: network.all_know(8), limit=15) <= 15
    gossip = network.gossips["i3"]
    assert {peer.instance for peer in gossip.peers_in_domain()} == {"i0", "i6"}


def test_a_dead_peer_is_noticed_within_seconds_and_its_restart_too() -> None:
    network = Network(9)
    network.run(15)
    network.down.add("i4")
    assert network.seconds_until(lambda: network.nobody_knows("i4"), 20) <= 12
    network.down.discard("i4")
    network.add("i4", "d1", incarnation=2000)
    network.seconds_until(lambda: network.all_know(8), limit=20)
    seen = network.gossips["i7"].peers_by_instance["i4"]
    assert seen.incarnation == 2000


def test_a_peer_that_one_instance_cannot_reach_contradicts_its_suspicion() -> None:
    network = Network(9)
    network.run(15)
    network.cut = lambda here, there: (here, there) == ("i1", "i4")
    for _ in range(20):
        network.run(1)
        known = [g for n, g in network.gossips.items() if n not in ("i1", "i4")]
        assert all("i4" in g.peers_by_instance for g in known)
    assert network.counters.count("gossip.contradicted") > 0


def test_a_partition_heals() -> None:
    network = Network(9)
    network.run(15)

    def cut(here: str, there: str) -> bool:
        return (int(here[1:]) % 3 == 0) != (int(there[1:]) % 3 == 0)

    network.cut = cut
    network.run(30)
    assert set(network.gossips["i0"].peers_by_instance) == {"i3", "i6"}
    network.cut = lambda here, there: False
    assert network.seconds_until(lambda: network.all_know(8), limit=60) <= 60


def test_a_stopped_peer_leaves_at_once() -> None:
    network = Network(9)
    network.run(15)
    network.gossips["i4"].set_state(InstanceState.STOPPED)
    network.run_eager(list(network.gossips))
    network.run(2)
    assert network.nobody_knows("i4")


@pytest.mark.parametrize("answer", ["fresh", "stale", "empty", "down"])
@pytest.mark.parametrize("shown", ["in one list", "in one answer"])
def test_a_leaving_target_is_out_everywhere_within_3_s(answer: str, shown: str) -> None:
    network = Network(9)
    views = [
        make_target_view(network.clock, network.counters, board, f"d{n % 3}")
        for n, board in enumerate(network.boards.values())
    ]
    live = Instance("s0", "service", "s", "d0", "10.0.0.1:1", "live", 1, {})
    other = evolve(live, id="s1")
    for view in views:
        view.update_from_list(InstanceList(5, {"s0": live, "s1": other}))
    network.run(15)
    if shown == "in one list":
        leaving = evolve(live, state="leaving")
        views[4].update_from_list(InstanceList(6, {"s0": leaving, "s1": other}))
    else:
        views[4].observe("s0", Draining())
    lists = {
        "fresh": InstanceList(7, {"s0": evolve(live, state="leaving"), "s1": other}),
        "stale": InstanceList(5, {"s0": live, "s1": other}),
        "empty": InstanceList(7, {}),
    }
    for _ in range(3):
        if answer in lists:
            for view in views:
                view.update_from_list(lists[answer])
        network.run(1)
    assert all([t.id for t in view.eligible_targets("s")] == ["s1"] for view in views)


@pytest.mark.parametrize("seed", range(40))
def test_no_seed_has_a_late_instance(seed: int) -> None:
    network = Network(9, seed)
    network.run(15)
    network.boards["i4"].publish("target_leaving", "e1@1", {"domain": ""}, 600)
    network.run_eager(list(network.gossips))
    boards = network.boards.values()
    network.seconds_until(lambda: all(b.current("target_leaving") for b in boards), 4)
    network.down.add("i4")
    network.seconds_until(lambda: network.nobody_knows("i4"), 13)


def test_a_rack_of_targets_that_leaves_at_once_is_known_everywhere_within_3_s() -> None:
    network = Network(9)
    network.run(15)
    for number in range(40):
        board = network.boards[f"i{number % 2}"]
        board.publish("target_leaving", f"e{number}@1", {"domain": "d0"}, 600)
    network.run_eager(list(network.gossips))
    network.run(3)
    for board in network.boards.values():
        assert len(board.current("target_leaving")) == 40


def test_an_old_incarnation_does_not_win_over_a_newer_one() -> None:
    network = Network(3)
    network.run(10)
    old = network.gossips["i1"]._heartbeat()
    network.add("i1", "d1", incarnation=2000)
    network.run(10)
    network.gossips["i0"].handle_exchange(old)
    assert network.gossips["i0"].peers_by_instance["i1"].incarnation == 2000
    assert network.counters.count("gossip.old_incarnation") == 1


def test_the_configuration_offset_reaches_peers() -> None:
    network = Network(3)
    network.run(10)
    network.gossips["i1"].set_config_offset(17)
    network.run(5)
    assert network.gossips["i2"].peers_by_instance["i1"].config_offset == 17


def test_malformed_heartbeats_are_counted_and_harmless() -> None:
    network = Network(3)
    network.run(10)
    heartbeat = network.gossips["i1"]._heartbeat()
    for piece in heartbeat.news:
        piece.version += 1 << 40
        piece.body = '{"p": [1, "x"]}'
    network.gossips["i0"].handle_exchange(heartbeat)
    assert network.all_know(2)


def test_gossip_over_real_connections() -> None:
    nodes = []
    for name in ("a", "b"):
        handler = Peer.Iface()
        server = PeerServer("127.0.0.1", 0)
        counters, clock = Counters(), SystemClock()
        identity = PeerIdentity(name, 1, "d0", server.address, "127.0.0.1:1")
        board = make_update_store(clock, counters)
        gossip = make_gossip(identity, board, PeerPool(), clock, counters)
        handler.exchange = gossip.handle_exchange  # type: ignore[method-assign]
        server.start(handler)
        nodes.append((gossip, server))
    (one, _), (other, server) = nodes
    one.add_seeds([server.address])
    for gossip, _ in nodes:
        gossip.start()
    deadline = time.monotonic() + 20
    while not (one.peers_by_instance and other.peers_by_instance):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    for gossip, server in nodes:
        gossip.stop()
        server.stop()


@pytest.mark.slow
def test_cost_does_not_grow_with_the_number_of_peers() -> None:
    few, many = measure(20), measure(160)
    assert many.bytes_per_s < 1.5 * few.bytes_per_s
    assert many.bytes_per_s < 3000
    assert many.leaving_s <= 3
    assert many.dead_s <= 20


@frozen
class Cost:
    """What gossip costs a daemon once all peers know each other."""

    exchanges_per_s: float
    bytes_per_exchange: float
    us_per_exchange: float
    bytes_per_s: float
    core_share: float
    leaving_s: float
    dead_s: int


def measure(count: int) -> Cost:
    """Run ``count`` peers for a while and work out what each of them spent."""
    network = Network(count)
    introduce_all(network)
    network.run(10)
    network.sizes.clear()
    before = network.counters.count("gossip.begun")
    began_s = time.process_time()
    seconds = 20
    network.run(seconds)
    busy_s = time.process_time() - began_s
    exchanges = network.counters.count("gossip.begun") - before
    sent = sum(network.sizes)
    leaving_s = spread_s(network)
    name = f"i{count // 2}"
    network.down.add(name)
    dead_s = network.seconds_until(lambda: network.nobody_knows(name), limit=60)
    return Cost(
        exchanges_per_s=exchanges / seconds / count,
        bytes_per_exchange=sent / exchanges,
        us_per_exchange=busy_s / exchanges * 1e6,
        bytes_per_s=2 * sent / seconds / count,  # sent and received
        core_share=busy_s / seconds / count,
        leaving_s=leaving_s,
        dead_s=dead_s,
    )


def introduce_all(network: Network) -> None:
    """Give every board every announcement, as after hours of running."""
    known = [board.select_for_heartbeat(1)[0] for board in network.boards.values()]
    for board in network.boards.values():
        board.receive(known)
        board._settled_keys.extend(board._fresh_by_key)
        board._fresh_by_key.clear()
    assert network.all_know(len(network.gossips) - 1)


def spread_s(network: Network) -> float:
    """How long news of a leaving target takes to every board."""
    began_s = network.clock.monotonic()
    network.boards["i7"].publish("target_leaving", "e1@1", {"domain": "d0"}, 600)
    network.run_eager(list(network.gossips))

    def everywhere() -> bool:
        boards = network.boards.values()
        return all("e1@1" in b.current("target_leaving") for b in boards)

    network.seconds_until(everywhere, limit=20)
    return network.clock.monotonic() - began_s


if __name__ == "__main__":
    print(measure(int(sys.argv[1])))
