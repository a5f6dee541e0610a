"""The choice of a chain among a plan's paths and engines.

Three paths are weighed: one that the prompt's key points to, so that prompts with a
common beginning meet their cache again; one drawn at random by the max-flow's
weights; and one over the nearest domains. In each group of the path two engines are
weighed by present load, after the one that the key points to. Randomness and two
choices keep instances that saw the same old report from running after it together
(Mitzenmacher, "How useful is old information?", 2000).
"""

from random import Random
from typing import Protocol

from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_membership.probe import LoadReport
from xxhash import xxh3_64_intdigest

from celeryfork_routing.chains import ChainRequest
from celeryfork_routing.engines import Engine, Group
from celeryfork_routing.fleet import Fleet
from celeryfork_routing.plan import PathTable, RoutePath
from celeryfork_routing.search import Leg

AFFINITY_LOAD_LIMIT = 1.25
AFFINITY_SLACK_STREAMS = 1.0
PREFILL_SPEEDUP = 10.0
REFRESH_S = 0.5
MOST_PREFERENCES = 4096
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

    def __init__(self, probe: Probe, clock: Clock, random: Random) -> None:
        self._probe = probe
        self._clock = clock
        self._random = random
        self._refreshed_s_by_id: dict[str, float] = {}
        self._preferred: dict[tuple[Group, str], Engine] = {}

    def pick(self, fleet: Fleet, request: ChainRequest) -> Candidate | None:
        """Return the better of the paths weighed, None if none can be used."""
        plan = fleet.plan
        if plan is None or plan.spread is None:
            return None
        best: Candidate | None = None
        for path in self._paths(plan.spread, plan.near, request):
            candidate = self._weigh(path, fleet, request)
            if candidate is None:
                continue
            if best is None or candidate.cost_s < best.cost_s:
                best = candidate
        return best

    def forget(self) -> None:
        """Drop remembered preferences, after a change of the groups."""
        self._preferred.clear()
        self._refreshed_s_by_id.clear()

    def refresh(self, engine: Engine) -> None:
        """Bring an engine's load by others up to date, at most twice a second."""
        now_s = self._clock.monotonic()
        target_id = engine.target.id
        if now_s - self._refreshed_s_by_id.get(target_id, float("-inf")) < REFRESH_S:
            return
        self._refreshed_s_by_id[target_id] = now_s
        engine.refresh(self._probe.load_of(target_id), now_s)

    def _paths(
        self, spread: PathTable, near: PathTable | None, request: ChainRequest
    ) -> list[RoutePath]:
        random = self._random.random
        paths = [spread.draw(random())]
        if request.prompt_key:
            point = xxh3_64_intdigest(request.prompt_key.encode()) / HASH_RANGE
            paths.append(spread.draw(point))
            if near is not None:
                paths.append(near.draw(point))
        elif near is not None:
            paths += [spread.draw(random()), near.draw(random())]
        return paths

    def _weigh(
        self, path: RoutePath, fleet: Fleet, request: ChainRequest
    ) -> Candidate | None:
        legs = []
        cost_s = path.latency_s
        for group, first, last in path.hops:
            engine = self._engine(group, fleet, request)
            if engine is None:
                return None
            legs.append(Leg(engine, first, last))
            cost_s += engine.seconds_per_token(last - first)
            cost_s += self._prefill_s(engine, last - first, request)
        return Candidate(tuple(legs), cost_s)

    def _prefill_s(self, engine: Engine, layers: int, request: ChainRequest) -> float:
        """Return the prompt's cost, spread over the answer's expected tokens."""
        if not request.prompt_tokens:
            return 0.0
        if self._probe.has_prefix(engine.target.id, request.prompt_key):
            return 0.0
        prefill_s = request.prompt_tokens * layers / engine.capacity / PREFILL_SPEEDUP
        return prefill_s / max(request.expected_tokens, 1)

    def _engine(
        self, group: Group, fleet: Fleet, request: ChainRequest
    ) -> Engine | None:
        engines = group.engines
        if len(engines) == 1:
            return self._usable(engines[0], fleet, request)
        if request.prompt_key:
            preferred = self._usable(
                self._preferred_of(group, request.prompt_key), fleet, request
            )
            if preferred is not None and self._within_bound(preferred, group):
                return preferred
        one = self._draw(engines, fleet, request)
        other = self._draw(engines, fleet, request)
        if one is None or other is None:
            return one or other
        return one if one.load() <= other.load() else other

    def _draw(
        self, engines: list[Engine], fleet: Fleet, request: ChainRequest
    ) -> Engine | None:
        """Return a usable engine drawn at random."""
        count = len(engines)
        for _ in range(4):
            engine = engines[int(self._random.random() * count)]
            if self._usable(engine, fleet, request) is not None:
                return engine
        usable = [e for e in engines if self._usable(e, fleet, request) is not None]
        return self._random.choice(usable) if usable else None

    def _usable(
        self, engine: Engine, fleet: Fleet, request: ChainRequest
    ) -> Engine | None:
        target_id = engine.target.id
        if target_id not in fleet.usable_ids or target_id in request.avoid:
            return None
        self.refresh(engine)
        return engine

    def _preferred_of(self, group: Group, prompt_key: str) -> Engine:
        """Return the engine that the key points to (rendezvous hashing)."""
        key = (group, prompt_key)
        engine = self._preferred.get(key)
        if engine is None:
            if len(self._preferred) >= MOST_PREFERENCES:
                self._preferred.clear()
            engine = max(
                group.engines,
                key=lambda e: _rank(prompt_key, e),
            )
            self._preferred[key] = engine
        return engine

    def _within_bound(self, engine: Engine, group: Group) -> bool:
        """Return whether the preferred engine's load is near enough to the mean."""
        slack = AFFINITY_SLACK_STREAMS * engine.layers_per_stream / engine.capacity
        return engine.load() <= AFFINITY_LOAD_LIMIT * group.load() + slack


def _rank(prompt_key: str, engine: Engine) -> int:
    return xxh3_64_intdigest(f"{prompt_key}/{engine.target.id}".encode())
