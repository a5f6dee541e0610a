"""The choice of a chain among a plan's paths and engines.

Two paths are weighed: one drawn at random by the max-flow's weights, and one that the
prompt's key points to, so that prompts with a common beginning meet their cache again
(without a key, a second random one). For each hop, engines drawn by capacity are
weighed by load and link latency, after the one that the key points to. Randomness and
few choices keep instances that saw the same old report from running after it together
(Mitzenmacher, "How useful is old information?", IEEE TPDS 2000).
"""

from math import log
from random import Random
from typing import Protocol

from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_membership.probe import LoadReport
from xxhash import xxh3_64_intdigest

from celeryfork_routing.chains import ChainRequest
from celeryfork_routing.engines import Draw, Engine, Lane
from celeryfork_routing.fleet import Fleet
from celeryfork_routing.plan import LatencyOf, RoutePath
from celeryfork_routing.search import Leg

AFFINITY_LOAD_LIMIT = 1.25
AFFINITY_SLACK_STREAMS = 1.0
PREFILL_SPEEDUP = 10.0
REFRESH_S = 0.5
MOST_PREFERENCES = 4096
MOST_DRAWS = 4
HASH_RANGE = float(1 << 64)


class Probe(Protocol):
    """The part of the load probe that routing needs."""

    def load_of(self, target_id: str) -> LoadReport | None:
        """Return the newest report of an engine."""

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        """Return whether an engine seems to keep a prompt prefix."""


@frozen
class Candidate:
    """A chain that could be taken, with its expected time for a token."""

    legs: tuple[Leg, ...]
    cost_s: float


class Picker:
    """Weighs paths and engines for one request at a time.

    Not safe to use from several threads at once; the router holds its lock.
    """

    def __init__(
        self, probe: Probe, clock: Clock, random: Random, latency_s: LatencyOf
    ) -> None:
        self._probe = probe
        self._clock = clock
        self._random = random
        self._latency_s = latency_s
        self._preferred: dict[tuple[Lane, str], Engine] = {}

    def pick(
        self, fleet: Fleet, request: ChainRequest, origin: str
    ) -> Candidate | None:
        """Return the better of the paths weighed, None if none can be used."""
        plan = fleet.plan
        if plan is None or plan.table is None:
            return None
        point = self._random.random()
        if request.prompt_key:
            point = xxh3_64_intdigest(request.prompt_key.encode()) / HASH_RANGE
        keyed = plan.table.draw(point)
        drawn = plan.table.draw(self._random.random())
        best = self._weigh(keyed, fleet, request, origin)
        if drawn is keyed and best is not None:
            return best
        other = self._weigh(drawn, fleet, request, origin)
        if best is None or other is None:
            return best or other
        return best if best.cost_s <= other.cost_s else other

    def forget(self) -> None:
        """Drop remembered preferences, after a change of the stages."""
        self._preferred.clear()

    def _weigh(
        self, path: RoutePath, fleet: Fleet, request: ChainRequest, origin: str
    ) -> Candidate | None:
        legs = []
        total_s = 0.0
        domain = origin
        for lane in path.lanes:
            hop = _OpenHop(lane, len(path.lanes), domain)
            engine = self._engine(hop, fleet, request)
            if engine is None:
                return None
            legs.append(Leg(engine, lane.first, lane.last))
            total_s += self._cost_s(engine, hop, fleet, request)
            domain = engine.target.domain
        total_s += self._latency_s(domain, origin)
        return Candidate(tuple(legs), total_s)

    def _engine(
        self, hop: "_OpenHop", fleet: Fleet, request: ChainRequest
    ) -> Engine | None:
        """Return the engine that the key points to, or the better of those drawn."""
        lane = hop.lane
        if request.prompt_key and len(lane.close.engines) > 1:
            preferred = self._preferred_of(lane, request.prompt_key)
            usable = self._usable(preferred, fleet, request)
            if usable and self._within_bound(preferred, lane):
                return preferred
        drawn = self._draw(lane.close, fleet, request)
        if len(lane.close.engines) > 1:
            drawn += self._draw(lane.close, fleet, request)
        if lane.far is not None:
            drawn += self._draw(lane.far, fleet, request)
        if not drawn:
            drawn = [e for e in lane.stage.engines if self._usable(e, fleet, request)]
        if len(drawn) <= 1:
            return drawn[0] if drawn else None
        return min(drawn, key=lambda e: self._cost_s(e, hop, fleet, request))

    def _cost_s(
        self, engine: Engine, hop: "_OpenHop", fleet: Fleet, request: ChainRequest
    ) -> float:
        """Return the expected time that a token spends on the way to and in it."""
        layers = hop.lane.layers
        load_s = engine.load_s(fleet.instances, layers) / hop.hops
        cost_s = load_s + self._latency_s(hop.domain, engine.target.domain)
        if request.prompt_tokens:
            cost_s += self._prefill_s(engine, layers, request)
        return cost_s

    def _prefill_s(self, engine: Engine, layers: int, request: ChainRequest) -> float:
        """Return the prompt's cost, spread over the answer's expected tokens."""
        if self._probe.has_prefix(engine.target.id, request.prompt_key):
            return 0.0
        prefill_s = request.prompt_tokens * layers / engine.capacity / PREFILL_SPEEDUP
        return prefill_s / max(request.expected_tokens, 1)

    def _draw(self, draw: Draw, fleet: Fleet, request: ChainRequest) -> list[Engine]:
        """Return one usable engine drawn by weight, or none."""
        for _ in range(MOST_DRAWS):
            engine = draw.draw(self._random.random())
            if self._usable(engine, fleet, request):
                return [engine]
        usable = [e for e in draw.engines if self._usable(e, fleet, request)]
        return [self._random.choice(usable)] if usable else []

    def _usable(self, engine: Engine, fleet: Fleet, request: ChainRequest) -> bool:
        """Return whether an engine may be taken, with its load brought up to date."""
        target_id = engine.target.id
        if target_id not in fleet.usable_ids or target_id in request.avoid:
            return False
        now_s = self._clock.monotonic()
        if now_s - engine.refreshed_s >= REFRESH_S:
            engine.refresh(self._probe.load_of(target_id), now_s)
        return True

    def _preferred_of(self, lane: Lane, prompt_key: str) -> Engine:
        """Return the engine that the key points to.

        Weighted rendezvous hashing (Schindelhauer and Schomaker, SPAA 2005).
        """
        key = (lane, prompt_key)
        engine = self._preferred.get(key)
        if engine is None:
            if len(self._preferred) >= MOST_PREFERENCES:
                self._preferred.clear()
            engine = max(lane.close.engines, key=lambda e: _rank(prompt_key, e))
            self._preferred[key] = engine
        return engine

    def _within_bound(self, engine: Engine, lane: Lane) -> bool:
        """Return whether the preferred engine's load is near enough to the mean."""
        slack_s = AFFINITY_SLACK_STREAMS * engine.layers_per_stream / engine.capacity
        return engine.own_load_s() <= AFFINITY_LOAD_LIMIT * lane.own_load_s() + slack_s


@frozen(eq=False)
class _OpenHop:
    """A hop to be filled: the lane, how many hops there are, coming from where."""

    lane: Lane
    hops: int
    domain: str


def _rank(prompt_key: str, engine: Engine) -> float:
    digest = xxh3_64_intdigest(f"{prompt_key}/{engine.target.id}".encode())
    return -engine.capacity / log((digest + 1) / (HASH_RANGE + 2))
