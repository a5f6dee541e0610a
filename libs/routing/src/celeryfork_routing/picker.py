"""Selection of an engine chain from the paths and engines of a plan.

Two paths are compared: one drawn at random in proportion to the flows, and one selected
by the hash of the prompt key, so that prompts with a common prefix reach the engines
that cache it (without a key, a second random one). For each hop, the engine preferred
for the prompt key is tried first; otherwise a few engines drawn in proportion to their
capacities are compared by load and link latency. Randomness and the small number of
choices keep instances that saw the same outdated load report from all choosing the same
engine (Mitzenmacher, "How useful is old information?", IEEE TPDS 2000).
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
"""Own load of an engine, as a multiple of its stage's mean, up to which (plus the slack
below) it gets the prompts that prefer it."""
AFFINITY_SLACK_STREAMS = 1.0
PREFILL_SPEEDUP = 10.0
"""Prompt tokens that an engine processes in the time of one answer token."""
LOAD_REFRESH_INTERVAL_S = 0.5
MAX_CACHED_PREFERENCES = 16384
MAX_DRAWS = 4
HASH_RANGE = float(1 << 64)
HASH_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio, Knuth vol. 3, 6.4


class Probe(Protocol):
    """The methods of the load probe that chain selection needs."""

    def load_of(self, target_id: str) -> LoadReport | None:
        """Return the most recent load report of an engine."""

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        """Return True if, by the known cache events, an engine caches a prefix."""


@define(eq=False)
class Candidate:
    """A possible chain with its expected time per token."""

    legs: tuple[Leg, ...]
    cost_s: float


@define(eq=False)
class _SearchContext:
    """The inputs that all hops of a request share.

    Parameters
    ----------
    hops
        Number of hops of the path being compared; a stream occupies one hop at a time.
    prompt_layers_s
        Prefill time for each layer and each expected token of the answer, in seconds,
        on an engine with a capacity of one layer-token per second.
    """

    fleet: Fleet
    request: ChainRequest
    now_s: float
    prompt_layers_s: float
    hops: int = 1


class Picker:
    """Selects the path and the engines for one request at a time.

    Not thread-safe; the router calls it with its lock held.
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
        """Return the cheaper of the two paths compared, None if neither is usable."""
        plan = fleet.plan
        if plan is None or plan.table is None:
            return None
        point = self._random.random()
        if request.prompt_key:
            point = xxh3_64_intdigest(request.prompt_key.encode()) / HASH_RANGE
        keyed_path = plan.table.draw(point)
        random_path = plan.table.draw(self._random.random())
        answer_tokens = max(request.expected_tokens, 1)
        prompt_layers_s = request.prompt_tokens / answer_tokens / PREFILL_SPEEDUP
        context = _SearchContext(
            fleet, request, self._clock.monotonic(), prompt_layers_s
        )
        best = self._make_candidate(keyed_path, context, origin)
        if random_path is keyed_path and best is not None:
            return best
        other = self._make_candidate(random_path, context, origin)
        if best is None or other is None:
            return best or other
        return best if best.cost_s <= other.cost_s else other

    def _make_candidate(
        self, path: RoutePath, context: _SearchContext, origin: str
    ) -> Candidate | None:
        legs = []
        total_s = 0.0
        domain = origin
        context.hops = len(path.lanes)
        for lane in path.lanes:
            engine_and_cost = self._choose_engine(lane, context, domain)
            if engine_and_cost is None:
                return None
            engine, cost_s = engine_and_cost
            legs.append(Leg(engine, lane.first, lane.last))
            total_s += cost_s
            domain = engine.target.domain
        total_s += self._latency_s(domain, origin)
        return Candidate(tuple(legs), total_s)

    def _choose_engine(
        self, lane: Lane, context: _SearchContext, domain: str
    ) -> tuple[Engine, float] | None:
        """Return the engine for a hop and its cost, None if no engine is usable.

        This is the engine preferred for the prompt key if it is usable and not
        overloaded, else the cheapest of a few drawn at random, else the cheapest of
        the stage.
        """
        several = len(lane.near.engines) > 1
        if several and context.request.prompt_key:
            preferred = self._preferred_engine(lane, context.request.prompt_key)
            usable = self._is_usable(preferred, context)
            if usable and _within_affinity_limit(preferred, lane):
                return preferred, self._cost_s(preferred, lane, context, domain)
        drawn_engines = [self._draw(lane.near, context)]
        if several:
            drawn_engines.append(self._draw(lane.near, context))
        if lane.far is not None:
            drawn_engines.append(self._draw(lane.far, context))
        best = self._cheapest(drawn_engines, lane, context, domain)
        if best is None:
            usable_engines = [
                e for e in lane.stage.engines if self._is_usable(e, context)
            ]
            best = self._cheapest(usable_engines, lane, context, domain)
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
        """Return the expected time per token on an engine and the link to it."""
        layers = lane.last - lane.first
        cost_s = (
            engine.backlog_s(context.fleet.equivalent_instances, layers) / context.hops
        )
        if context.prompt_layers_s:
            prefix = context.request.prompt_key
            if not self._probe.has_prefix(engine.target.id, prefix):
                cost_s += context.prompt_layers_s * layers / engine.capacity
        return cost_s + self._latency_s(domain, engine.target.domain)

    def _draw(self, sampler: EngineSampler, context: _SearchContext) -> Engine | None:
        """Return a usable engine drawn by weight, None if there is none."""
        for _ in range(MAX_DRAWS):
            engine = sampler.draw(self._random.random())
            if self._is_usable(engine, context):
                return engine
        usable_engines = [
            engine for engine in sampler.engines if self._is_usable(engine, context)
        ]
        return self._random.choice(usable_engines) if usable_engines else None

    def _is_usable(self, engine: Engine, context: _SearchContext) -> bool:
        """Return True if an engine may be used; refresh its load if it is outdated."""
        target_id = engine.target.id
        if target_id not in context.fleet.usable_ids:
            return False
        if target_id in context.request.avoid:
            return False
        if context.now_s - engine.refreshed_s >= LOAD_REFRESH_INTERVAL_S:
            engine.refresh(self._probe.load_of(target_id), context.now_s)
        return True

    def _preferred_engine(self, lane: Lane, prompt_key: str) -> Engine:
        """Return the engine preferred for a prompt key.

        Uses weighted rendezvous hashing (Schindelhauer and Schomaker, SPAA 2005).
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
    """Return True if the engine's own load is close enough to its stage's mean."""
    mean_s = lane.stage.own_layers / lane.stage.capacity
    slack_s = AFFINITY_SLACK_STREAMS * engine.layers_per_stream / engine.capacity
    return engine.own_layers / engine.capacity <= AFFINITY_LOAD_LIMIT * mean_s + slack_s


def _rank(digest: int, engine: Engine) -> float:
    """Return an engine's rank for a key from a multiplicative hash of both digests."""
    mixed = ((digest ^ engine.digest) * HASH_MULTIPLIER) & HASH_MASK
    return -engine.capacity / log((mixed + 1) / (HASH_RANGE + 2))
