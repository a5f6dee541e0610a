"""Overshoot of a limit with nine instances, uneven arrival and a partition.

Real permit offices talk over thrift under one manual clock.
"""

import random
from collections.abc import Mapping, Sequence

from attrs import define, field
from celeryfork_admission.permit_home import Limit
from celeryfork_admission.permits import PermitManager, make_permit_manager
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_wire.gen.celeryfork import Peer
from celeryfork_wire.gen.celeryfork.ttypes import PermitBatch, PermitGrant
from celeryfork_wire.peers import PeerPool, PeerServer

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most

DOMAINS = 3
INSTANCES = 9
RATE_PER_S = 30.0
BURST = 30.0
ARRIVALS_PER_S = 100
LEASE_S = 2.0
WAIT_S = 10.0
ORGANISATION = "kilimani-hotels"


@define(eq=False)
class _Fleet:
    addresses_by_instance: dict[str, str] = field(factory=dict)
    cut: bool = False


class _PeersView:
    def __init__(self, fleet: _Fleet, number: int) -> None:
        self._fleet = fleet
        self._domain = number % DOMAINS

    def serving(self) -> Mapping[str, str]:
        return {
            name: address
            for number, (name, address) in enumerate(
                self._fleet.addresses_by_instance.items()
            )
            if not self._fleet.cut or number % DOMAINS == self._domain
        }

    def domain_share(self) -> float:
        return 1 / DOMAINS if self._fleet.cut else 1.0

    def instance_share(self) -> float:
        return 1 / INSTANCES


class _Handler(Peer.Iface):
    manager: PermitManager

    def lease_permits(self, batch: PermitBatch) -> list[PermitGrant]:
        return self.manager.handle_lease_request(batch)


def run(context: Context) -> Sequence[Figure]:
    """Return admitted calls as a share of rate times time plus one burst."""
    seconds = context.choose(4.0, 20.0)
    fleet, clock, pool = _Fleet(), ManualClock(), PeerPool()
    managers, servers = _start(fleet, clock, pool)
    try:
        randoms = random.Random(context.seed)
        whole = _admitted(managers, clock, randoms, seconds)
        fleet.cut = True
        parted = _admitted(managers, clock, randoms, seconds)
    finally:
        for manager in managers:
            manager.stop()
        pool.close()
        for server in servers:
            server.stop()
    allowed = RATE_PER_S * seconds + BURST
    return [
        Figure("limit, uneven arrival", whole / allowed, "of the bound", at_most(1)),
        Figure("limit, partition", parted / allowed, "of the bound", at_most(1)),
    ]


def _start(
    fleet: _Fleet, clock: ManualClock, pool: PeerPool
) -> tuple[list[PermitManager], list[PeerServer]]:
    limit = Limit(requests_per_second=RATE_PER_S, burst=BURST, concurrency=1000)
    managers, servers = [], []
    for number in range(INSTANCES):
        handler, server = _Handler(), PeerServer("127.0.0.1", 0)
        server.start(handler)
        handler.manager = make_permit_manager(
            f"i{number}",
            1,
            lambda organisation: limit if organisation == ORGANISATION else None,
            _PeersView(fleet, number),
            pool,
            lambda: LEASE_S,
            clock,
            Counters(),
        )
        fleet.addresses_by_instance[f"i{number}"] = server.address
        managers.append(handler.manager)
        servers.append(server)
    return managers, servers


def _admitted(
    managers: Sequence[PermitManager],
    clock: ManualClock,
    randoms: random.Random,
    seconds: float,
) -> int:
    """Return how many calls got a permit, half of them at one instance."""
    weights = [2.0**-number for number in range(INSTANCES)]
    admitted = 0
    for _ in range(round(seconds * ARRIVALS_PER_S)):
        clock.advance(1 / ARRIVALS_PER_S)
        manager = randoms.choices(managers, weights)[0]
        if manager.acquire(ORGANISATION).exception(timeout=WAIT_S) is None:
            admitted += 1
            manager.release(ORGANISATION)
    return admitted


LIMITS = Experiment("limits", run, each_deployment=False)
