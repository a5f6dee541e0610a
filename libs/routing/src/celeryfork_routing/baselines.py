"""Baseline routers for comparison: random, round robin, least in flight."""

import threading
from collections.abc import Sequence
from itertools import count
from random import Random

from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_membership.targets import Target, TargetView

from celeryfork_routing.chains import Chain, ChainRequest, ChainResult, Hop


class RandomRouter:
    """Builds a chain layer by layer from random engines that hold the next layer.

    Parameters
    ----------
    view
        The known targets.
    seed
        Seed of the random choices.
    """

    def __init__(self, view: TargetView, seed: int) -> None:
        self._view = view
        self._random = Random(seed)
        self._lock = threading.Lock()
        self._ids = count(1)
        self._in_flight_by_id: dict[str, int] = {}

    def choose(self, request: ChainRequest) -> Chain:
        """Return a chain and count it as in flight."""
        targets = [
            target
            for target in self._view.eligible_targets(request.model)
            if target.id not in request.avoid
        ]
        with self._lock:
            hops: list[Hop] = []
            next_layer = 0
            while next_layer < request.layers:
                holders = [
                    t for t in targets if t.first_layer <= next_layer < t.last_layer
                ]
                if not holders:
                    raise _no_target_error(request.model)
                target = self._pick(holders, next_layer)
                last = min(target.last_layer, request.layers)
                hops.append(Hop(target, next_layer, last))
                next_layer = last
            for hop in hops:
                self._count(hop.target, 1)
            return Chain(tuple(hops), f"baseline-{next(self._ids)}")

    def release(self, chain: Chain, result: ChainResult) -> None:
        """Stop counting a chain as in flight."""
        with self._lock:
            for hop in chain.hops:
                self._count(hop.target, -1)

    def choose_service(self, service: str, avoid: frozenset[str]) -> Target:
        """Return a target of a plain service and count a call to it as in flight."""
        targets = [t for t in self._view.eligible_targets(service) if t.id not in avoid]
        if not targets:
            raise _no_target_error(service)
        with self._lock:
            target = self._pick(targets, 0)
            self._count(target, 1)
            return target

    def release_service(self, target: Target, ok: bool, seconds: float) -> None:
        """Stop counting a call to a plain service as in flight."""
        with self._lock:
            self._count(target, -1)

    def dump(self) -> dict[str, object]:
        """Return the number of hops and calls in flight by target id."""
        with self._lock:
            return {"in_flight": dict(self._in_flight_by_id)}

    def _pick(self, targets: Sequence[Target], layer: int) -> Target:
        return self._random.choice(targets)

    def _count(self, target: Target, change: int) -> None:
        in_flight = self._in_flight_by_id.get(target.id, 0) + change
        self._in_flight_by_id[target.id] = in_flight


class RoundRobinRouter(RandomRouter):
    """Builds a chain from the engines that hold each layer, in round-robin order."""

    def __init__(self, view: TargetView, seed: int) -> None:
        super().__init__(view, seed)
        self._turn_by_layer: dict[int, int] = {}

    def _pick(self, targets: Sequence[Target], layer: int) -> Target:
        turn = self._turn_by_layer.get(layer, self._random.randrange(1 << 16))
        self._turn_by_layer[layer] = turn + 1
        return targets[turn % len(targets)]


class LeastInFlightRouter(RandomRouter):
    """Builds a chain from the engines with the fewest hops in flight.

    Only this instance's own work counts.
    """

    def _pick(self, targets: Sequence[Target], layer: int) -> Target:
        least = min(self._in_flight_by_id.get(target.id, 0) for target in targets)
        least_loaded = [
            t for t in targets if self._in_flight_by_id.get(t.id, 0) == least
        ]
        return self._random.choice(least_loaded)


def _no_target_error(name: str) -> RequestRefusedError:
    return RequestRefusedError(
        f"{name} has no usable target, or none for some of its layers.",
        "try again later",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="no_target",
    )
