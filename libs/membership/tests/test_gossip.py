"""Tests of celeryfork_membership.gossip and peers.

Many instances run in virtual time over an in-memory network. Heartbeats are encoded
with thrift, so that measured sizes and CPU times are realistic.
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


def through_thrift(heartbeat: Heartbeat, sizes: list[int]) -> Heartbeat:
    """Return the heartbeat as decoded by the receiver; append its size to ``sizes``."""
    out = TMemoryBuffer()
    heartbeat.write(TBinaryProtocolAccelerated(out))
    data = out.getvalue()
    sizes.append(len(data) + FRAME_AND_CALL_BYTES)
    copy = Heartbeat()
    copy.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    return copy


class GossipNetwork:
    """`Gossip` of ``count`` instances in three failure domains, in virtual time."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.counters = Counters()
        self.random = Random(seed)
        self.sizes: list[int] = []
        self.down: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.gossips: dict[str, Gossip] = {}
        self.stores: dict[str, UpdateStore] = {}
        for number in range(count):
            self.add(f"i{number}", f"d{number % 3}", incarnation=1000)

    def add(self, name: str, domain: str, incarnation: int) -> Gossip:
        identity = PeerIdentity(name, incarnation, domain, name, f"10.0.0.1:{name}")
        store = make_update_store(self.clock, self.counters)
        pool = SimpleNamespace(
            call=lambda address, call, timeout_s, fresh: self._call(name, address, call)
        )
        seed = self.random.randrange(1 << 30)
        gossip = make_gossip(
            identity, store, pool, self.clock, self.counters, seed=seed
        )
        gossip.add_seeds(["i0"])
        gossip.set_state(InstanceState.SERVING)
        self.gossips[name], self.stores[name] = gossip, store
        return gossip

    def _call(
        self, sender: str, receiver: str, call: Callable[[Any], Any]
    ) -> Heartbeat:
        if (
            receiver in self.down
            or receiver not in self.gossips
            or self.is_cut(sender, receiver)
        ):
            raise PeerUnavailableError("down", "none", sent=False)
        serve = self.gossips[receiver].handle_exchange
        peer = SimpleNamespace(
            exchange=lambda request: through_thrift(
                serve(through_thrift(request, self.sizes)), self.sizes
            )
        )
        return call(peer)

    def run(self, seconds: float) -> None:
        """Run all live instances: one exchange a second, and immediate exchanges."""
        for _ in range(round(seconds)):
            names = [name for name in self.gossips if name not in self.down]
            self.random.shuffle(names)
            for name in names:
                self.gossips[name].exchange_once()
            self.clock.advance(0.5)
            self.run_immediate_exchanges(names)
            self.clock.advance(0.5)

    def run_immediate_exchanges(self, names: list[str]) -> None:
        names_pending = [
            n for n in names if self.gossips[n].pending_immediate_exchanges
        ]
        while names_pending:
            for name in names_pending:
                self.gossips[name].exchange_once()
            self.clock.advance(0.002)
            names_pending = [
                n for n in names if self.gossips[n].pending_immediate_exchanges
            ]

    def seconds_until(self, condition: Callable[[], bool], limit: int) -> int:
        for second in range(limit):
            if condition():
                return second
            self.run(1)
        raise AssertionError(f"condition not met within {limit} s")

    def all_know_peers(self, count: int) -> bool:
        live_gossips = [g for n, g in self.gossips.items() if n not in self.down]
        return all(len(g.peers_by_instance) == count for g in live_gossips)

    def none_knows(self, name: str) -> bool:
        live_gossips = [g for n, g in self.gossips.items() if n not in self.down]
        return all(name not in g.peers_by_instance for g in live_gossips)


def test_single_instance_runs_without_peers() -> None:
    network = GossipNetwork(1)
    network.run(5)
    assert dict(network.gossips["i0"].peers_by_instance) == {}


def test_peers_discover_each_other_through_one_seed() -> None:
    network = GossipNetwork(9)
    assert network.seconds_until(lambda: network.all_know_peers(8), limit=15) <= 15
    gossip = network.gossips["i3"]
    assert {peer.instance for peer in gossip.peers_in_domain()} == {"i0", "i6"}


def test_dead_peer_and_its_restart_are_detected() -> None:
    network = GossipNetwork(9)
    network.run(15)
    network.down.add("i4")
    assert network.seconds_until(lambda: network.none_knows("i4"), 20) <= 12
    network.down.discard("i4")
    network.add("i4", "d1", incarnation=2000)
    network.seconds_until(lambda: network.all_know_peers(8), limit=20)
    restarted = network.gossips["i7"].peers_by_instance["i4"]
    assert restarted.incarnation == 2000


def test_peer_unreachable_for_one_instance_refutes_suspicion() -> None:
    network = GossipNetwork(9)
    network.run(15)
    network.is_cut = lambda sender, receiver: (sender, receiver) == ("i1", "i4")
    for _ in range(20):
        network.run(1)
        others = [g for n, g in network.gossips.items() if n not in ("i1", "i4")]
        assert all("i4" in g.peers_by_instance for g in others)
    assert network.counters.count("gossip.contradicted") > 0


def test_partitioned_instances_reconnect() -> None:
    network = GossipNetwork(9)
    network.run(15)

    def is_cut(sender: str, receiver: str) -> bool:
        return (int(sender[1:]) % 3 == 0) != (int(receiver[1:]) % 3 == 0)

    network.is_cut = is_cut
    network.run(30)
    assert set(network.gossips["i0"].peers_by_instance) == {"i3", "i6"}
    network.is_cut = lambda sender, receiver: False
    assert network.seconds_until(lambda: network.all_know_peers(8), limit=60) <= 60


def test_stopped_peer_is_removed_immediately() -> None:
    network = GossipNetwork(9)
    network.run(15)
    network.gossips["i4"].set_state(InstanceState.STOPPED)
    network.run_immediate_exchanges(list(network.gossips))
    network.run(2)
    assert network.none_knows("i4")


@pytest.mark.parametrize("list_state", ["fresh", "stale", "empty", "unavailable"])
@pytest.mark.parametrize("source", ["instance list", "draining response"])
def test_leaving_target_is_ineligible_on_all_instances_within_3_s(
    list_state: str, source: str
) -> None:
    network = GossipNetwork(9)
    views = [
        make_target_view(network.clock, network.counters, store, f"d{n % 3}")
        for n, store in enumerate(network.stores.values())
    ]
    live = Instance("s0", "service", "s", "d0", "10.0.0.1:1", "live", 1, {})
    other = evolve(live, id="s1")
    for view in views:
        view.update_from_list(InstanceList(5, {"s0": live, "s1": other}))
    network.run(15)
    if source == "instance list":
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
        if list_state in lists:
            for view in views:
                view.update_from_list(lists[list_state])
        network.run(1)
    assert all([t.id for t in view.eligible_targets("s")] == ["s1"] for view in views)


@pytest.mark.parametrize("seed", range(40))
def test_updates_and_failures_become_known_for_every_seed(seed: int) -> None:
    network = GossipNetwork(9, seed)
    network.run(15)
    network.stores["i4"].publish("target_leaving", "e1@1", {"domain": ""}, 600)
    network.run_immediate_exchanges(list(network.gossips))
    stores = network.stores.values()
    network.seconds_until(
        lambda: all(s.current_bodies("target_leaving") for s in stores), 4
    )
    network.down.add("i4")
    network.seconds_until(lambda: network.none_knows("i4"), 13)


def test_40_leaving_targets_are_known_to_all_instances_within_3_s() -> None:
    network = GossipNetwork(9)
    network.run(15)
    for number in range(40):
        store = network.stores[f"i{number % 2}"]
        store.publish("target_leaving", f"e{number}@1", {"domain": "d0"}, 600)
    network.run_immediate_exchanges(list(network.gossips))
    network.run(3)
    for store in network.stores.values():
        assert len(store.current_bodies("target_leaving")) == 40


def test_heartbeat_of_old_incarnation_is_ignored() -> None:
    network = GossipNetwork(3)
    network.run(10)
    old_heartbeat = network.gossips["i1"]._heartbeat()
    network.add("i1", "d1", incarnation=2000)
    network.run(10)
    network.gossips["i0"].handle_exchange(old_heartbeat)
    assert network.gossips["i0"].peers_by_instance["i1"].incarnation == 2000
    assert network.counters.count("gossip.old_incarnation") == 1


def test_configuration_offset_reaches_peers() -> None:
    network = GossipNetwork(3)
    network.run(10)
    network.gossips["i1"].set_config_offset(17)
    network.run(5)
    assert network.gossips["i2"].peers_by_instance["i1"].config_offset == 17


def test_malformed_updates_change_nothing() -> None:
    network = GossipNetwork(3)
    network.run(10)
    heartbeat = network.gossips["i1"]._heartbeat()
    for update in heartbeat.news:
        update.version += 1 << 40
        update.body = '{"p": [1, "x"]}'
    network.gossips["i0"].handle_exchange(heartbeat)
    assert network.all_know_peers(2)


def test_gossip_over_real_connections() -> None:
    instances = []
    for name in ("a", "b"):
        handler = Peer.Iface()
        server = PeerServer("127.0.0.1", 0)
        counters, clock = Counters(), SystemClock()
        identity = PeerIdentity(name, 1, "d0", server.address, "127.0.0.1:1")
        store = make_update_store(clock, counters)
        gossip = make_gossip(identity, store, PeerPool(), clock, counters)
        handler.exchange = gossip.handle_exchange  # type: ignore[method-assign]
        server.start(handler)
        instances.append((gossip, server))
    (first, _), (second, server) = instances
    first.add_seeds([server.address])
    for gossip, _ in instances:
        gossip.start()
    deadline = time.monotonic() + 20
    while not (first.peers_by_instance and second.peers_by_instance):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    for gossip, server in instances:
        gossip.stop()
        server.stop()


@pytest.mark.slow
def test_cost_is_independent_of_number_of_peers() -> None:
    few, many = measure(20), measure(160)
    assert many.bytes_per_s < 1.5 * few.bytes_per_s
    assert many.bytes_per_s < 3000
    assert many.propagation_s <= 3
    assert many.detection_s <= 20


@frozen
class Cost:
    """Cost of gossip per instance, and its delays, once all peers are known."""

    exchanges_per_s: float
    bytes_per_exchange: float
    us_per_exchange: float
    bytes_per_s: float
    cpu_share: float
    propagation_s: float
    detection_s: int


def measure(count: int) -> Cost:
    """Run ``count`` instances for 20 s and measure the cost of each."""
    network = GossipNetwork(count)
    share_all_announcements(network)
    network.run(10)
    network.sizes.clear()
    before = network.counters.count("gossip.begun")
    started_s = time.process_time()
    seconds = 20
    network.run(seconds)
    cpu_s = time.process_time() - started_s
    exchanges = network.counters.count("gossip.begun") - before
    sent = sum(network.sizes)
    propagation_s = measure_propagation_s(network)
    name = f"i{count // 2}"
    network.down.add(name)
    detection_s = network.seconds_until(lambda: network.none_knows(name), limit=60)
    return Cost(
        exchanges_per_s=exchanges / seconds / count,
        bytes_per_exchange=sent / exchanges,
        us_per_exchange=cpu_s / exchanges * 1e6,
        bytes_per_s=2 * sent / seconds / count,  # sent and received
        cpu_share=cpu_s / seconds / count,
        propagation_s=propagation_s,
        detection_s=detection_s,
    )


def share_all_announcements(network: GossipNetwork) -> None:
    """Give every store the announcements of all instances.

    They are stored as updates that have already been sent often enough.
    """
    announcements = [
        store.select_for_heartbeat(1)[0] for store in network.stores.values()
    ]
    for store in network.stores.values():
        store.receive(announcements)
        store._settled_keys.extend(store._fresh_by_key)
        store._fresh_by_key.clear()
    assert network.all_know_peers(len(network.gossips) - 1)


def measure_propagation_s(network: GossipNetwork) -> float:
    """Return the seconds until an update about a leaving target is in all stores."""
    started_s = network.clock.monotonic()
    network.stores["i7"].publish("target_leaving", "e1@1", {"domain": "d0"}, 600)
    network.run_immediate_exchanges(list(network.gossips))

    def all_stores_updated() -> bool:
        stores = network.stores.values()
        return all("e1@1" in s.current_bodies("target_leaving") for s in stores)

    network.seconds_until(all_stores_updated, limit=20)
    return network.clock.monotonic() - started_s


if __name__ == "__main__":
    print(measure(int(sys.argv[1])))
