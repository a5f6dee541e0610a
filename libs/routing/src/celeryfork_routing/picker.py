"""The choice of a chain among a plan's paths and engines.

Two paths are weighed: one drawn at random by flow, and one that the prompt's key
points to, so that prompts with a common beginning meet their cache again (without a
key, a second random one). For each hop, engines drawn by capacity are weighed by load
and link latency, after the one that the key points to. Randomness and few choices keep
instances that saw the same old report from running after it together (Mitzenmacher,
"How useful is old information?", IEEE TPDS 2000).
"""

from collections.abc import Iterable
from math import log
from random import Random
from typing import Protocol

from attrs import define
from celeryfork_base.clock import Clock
from celeryfork_membership.probe import LoadReport
from xxhash import xxh3_64_intdigest

from celeryfork_routing.chains import ChainRequest
from celeryfork_routing.engines import Engine, EngineSampler, Lane
from celeryfork_routing.fleet import Fleet
from celeryfork_routing.links import LinkTable
from celeryfork_routing.plan import RoutePath
from celeryfork_routing.search import Leg

AFFINITY_LOAD_LIMIT = 1.25
AFFINITY_SLACK_STREAMS = 1.0
PREFILL_SPEEDUP = 10.0
LOAD_REFRESH_INTERVAL_S = 0.5
MAX_CACHED_PREFERENCES = 16384
MAX_DRAWS = 4
HASH_RANGE = float(1 << 64)
HASH_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio, Knuth vol. 3, 6.4


class Probe(Protocol):
    """The part of the load probe that routing needs."""

    def load_of(self, target_id: str) -> LoadReport | None:
        """Return the newest report of an engine."""

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        """Return whether an engine seems to keep a prompt prefix."""


@define(eq=False)
class Candidate:
    """A chain that could be taken, with its expected time for a token."""

    legs: tuple[Leg, ...]
    cost_s: float


@define(eq=False)
class _SearchContext:
    """What is the same for all hops of a request.

    Parameters
    ----------
    hops
        Hops of the path being weighed; a stream is in one of them at a time.
    prompt_layers_s
        The prompt's tokens for each expected token of the answer, as time that they
        take at a capacity of one layer a second.
    """

    fleet: Fleet
    request: ChainRequest
    now_s: float
    prompt_layers_s: float
    hops: int = 1


class Picker:
    """Weighs paths and engines for one request at a time.

    Not safe to use from several threads at once; the router holds its lock.
    """

    def __init__(
        self, probe: Probe, clock: Clock, random: Random, links: LinkTable
    ) -> None:
        self._probe = probe
        self._clock = clock
        self._random = random
        self._latency_s = links.latency_s
        self._preferred_by_key: dict[tuple[Lane, str], Engine] = {}

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
        answer_tokens = max(request.expected_tokens, 1)
        prompt_layers_s = request.prompt_tokens / answer_tokens / PREFILL_SPEEDUP
        context = _SearchContext(
            fleet, request, self._clock.monotonic(), prompt_layers_s
        )
        best = self._cost_candidate(keyed, context, origin)
        if drawn is keyed and best is not None:
            return best
        other = self._cost_candidate(drawn, context, origin)
        if best is None or other is None:
            return best or other
        return best if best.cost_s <= other.cost_s else other

    def _cost_candidate(
        self, path: RoutePath, context: _SearchContext, origin: str
    ) -> Candidate | None:
        legs = []
        total_s = 0.0
        domain = origin
        context.hops = len(path.lanes)
        for lane in path.lanes:
            found = self._choose_engine(lane, context, domain)
            if found is None:
                return None
            engine, cost_s = found
            legs.append(Leg(engine, lane.first, lane.last))
            total_s += cost_s
            domain = engine.target.domain
        total_s += self._latency_s(domain, origin)
        return Candidate(tuple(legs), total_s)

    def _choose_engine(
        self, lane: Lane, context: _SearchContext, domain: str
    ) -> tuple[Engine, float] | None:
        """Return an engine and its cost: who the key points to, or the best drawn."""
        several = len(lane.near.engines) > 1
        if several and context.request.prompt_key:
            preferred = self._preferred_engine(lane, context.request.prompt_key)
            usable = self._usable(preferred, context)
            if usable and _within_affinity_limit(preferred, lane):
                return preferred, self._cost_s(preferred, lane, context, domain)
        drawn = [self._draw(lane.near, context)]
        if several:
            drawn.append(self._draw(lane.near, context))
        if lane.far is not None:
            drawn.append(self._draw(lane.far, context))
        best = self._cheapest(drawn, lane, context, domain)
        if best is None:
            others = [e for e in lane.stage.engines if self._usable(e, context)]
            best = self._cheapest(others, lane, context, domain)
        return best

    def _cheapest(
        self,
        engines: Iterable[Engine | None],
        lane: Lane,
        context: _SearchContext,
        domain: str,
    ) -> tuple[Engine, float] | None:
        best: Engine | None = None
        best_s = 0.0
        for engine in engines:
            if engine is None or engine is best:
                continue
            cost_s = self._cost_s(engine, lane, context, domain)
            if best is None or cost_s < best_s:
                best, best_s = engine, cost_s
        return None if best is None else (best, best_s)

    def _cost_s(
        self, engine: Engine, lane: Lane, context: _SearchContext, domain: str
    ) -> float:
        """Return the expected time that a token spends on the way to and in it."""
        layers = lane.last - lane.first
        cost_s = (
            engine.backlog_s(context.fleet.equivalent_instances, layers) / context.hops
        )
        if context.prompt_layers_s:
            prefix = context.request.prompt_key
            if not self._probe.has_prefix(engine.target.id, prefix):
                cost_s += context.prompt_layers_s * layers / engine.capacity
        return cost_s + self._latency_s(domain, engine.target.domain)

    def _draw(self, draw: EngineSampler, context: _SearchContext) -> Engine | None:
        """Return a usable engine drawn by weight."""
        for _ in range(MAX_DRAWS):
            engine = draw.draw(self._random.random())
            if self._usable(engine, context):
                return engine
        usable = [engine for engine in draw.engines if self._usable(engine, context)]
        return self._random.choice(usable) if usable else None

    def _usable(self, engine: Engine, context: _SearchContext) -> bool:
        """Return whether an engine may be taken, with its load brought up to date."""
        target_id = engine.target.id
        if target_id not in context.fleet.usable_ids:
            return False
        if target_id in context.request.avoid:
            return False
        if context.now_s - engine.refreshed_s >= LOAD_REFRESH_INTERVAL_S:
            engine.refresh(self._probe.load_of(target_id), context.now_s)
        return True

    def _preferred_engine(self, lane: Lane, prompt_key: str) -> Engine:
        """Return the engine that the key points to.

        Weighted rendezvous hashing (Schindelhauer and Schomaker, SPAA 2005).
        """
        key = (lane, prompt_key)
        engine = self._preferred_by_key.get(key)
        if engine is None:
            if len(self._preferred_by_key) >= MAX_CACHED_PREFERENCES:
                self._preferred_by_key.clear()
            digest = xxh3_64_intdigest(prompt_key.encode())
            ranks = [_rank(digest, engine) for engine in lane.near.engines]
            engine = lane.near.engines[ranks.index(max(ranks))]
            self._preferred_by_key[key] = engine
        return engine


def _within_affinity_limit(engine: Engine, lane: Lane) -> bool:
    """Return whether the preferred engine's load is near enough to the mean."""
    mean_s = lane.stage.own_layers / lane.stage.capacity
    slack_s = AFFINITY_SLACK_STREAMS * engine.layers_per_stream / engine.capacity
    return engine.own_layers / engine.capacity <= AFFINITY_LOAD_LIMIT * mean_s + slack_s


def _rank(digest: int, engine: Engine) -> float:
    """Return an engine's rank for a key, by a multiplicative hash of both digests."""
    mixed = ((digest ^ engine.digest) * HASH_MULTIPLIER) & HASH_MASK
    return -engine.capacity / log((mixed + 1) / (HASH_RANGE + 2))
