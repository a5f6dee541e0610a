"""An in-memory datagram network of instances, for tests of the peer protocol."""

import time

from celeryfork_entry.peer_protocol import PeerProtocol
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import REMOTE_RELAY_TIMEOUT_S, Roster
from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Load, Part
from celeryfork_routing.layers import LayerRange
from logbook import Logger
from orjson import dumps

DOMAINS = ("east", "west")


class Network:
    """Delivers datagrams between instances at once, and records those sent by each."""

    def __init__(self, sizes=(8, 8), domains=DOMAINS, clock=time.monotonic):
        self.clock = clock
        self.by_address = {}
        self.sent_by_name = {}
        self.cut = set()
        peers = [
            Peer(f"{domain}-{n}", domain, f"10.{zone}.0.{n}:7")
            for zone, (domain, size) in enumerate(zip(domains, sizes, strict=True))
            for n in range(1, size + 1)
        ]
        for peer in peers:
            self.add(peer)
        for each in self.by_address.values():
            each.roster.add_listed(peers)

    def add(self, peer):
        instance = PeerProtocol(Roster(peer, self.clock), EngineLoads(), Logger("test"))
        instance.connection_made(Wire(self, instance))
        self.by_address[peer.address] = instance

    def __getitem__(self, name):
        return next(
            each for each in self.by_address.values() if each.roster.own.name == name
        )

    def report(self, times):
        for _ in range(times):
            for each in self.by_address.values():
                if each.roster.own.name not in self.cut:
                    each._report()

    def silence(self, *names):
        """Cut instances off, and age their last messages beyond the timeouts."""
        self.cut = set(names)
        for instance in self.by_address.values():
            for entry in instance.roster._by_address.values():
                if entry.peer.name in names and entry.received_s is not None:
                    entry.received_s -= REMOTE_RELAY_TIMEOUT_S

    def counts(self):
        return {name: len(sent) for name, sent in self.sent_by_name.items()}


class Wire:
    """Datagram transport of one instance."""

    def __init__(self, network, sender):
        self.network, self.name = network, sender.roster.own.name

    def sendto(self, data, address):
        self.network.sent_by_name.setdefault(self.name, []).append((address[0], data))
        receiver = self.network.by_address.get(f"{address[0]}:{address[1]}")
        if receiver is not None and receiver.roster.own.name not in self.network.cut:
            receiver.datagram_received(data, (address[0], address[1]))


def begin_work(instance, engine_id, tokens=10):
    path = LayerPath((Part(engine_id, "a:1", LayerRange(0, 4)),))
    instance._loads.begin(path, tokens)


def total_load(instance, engine_id):
    return instance._loads.total_loads(time.monotonic()).get(engine_id, Load())


def receive_report(instance, message):
    """Deliver a peer's report to an instance, with some fields changed."""
    report = {
        "from": "west-5", "at": "10.1.0.5:7", "domain": "west", "power": 1.0,
        "fence": None, "version": -1, "loads": {}, "layers": {}, "down": [],
    }  # fmt: skip
    instance.datagram_received(dumps(report | message), ("10.1.0.5", 7))
