"""A queueing model of engines in virtual time, driven by real routers.

A step over at most ``max_batch`` sequences takes ``base * widest share +
per_sequence * sum of shares``. Callers are a closed loop; load reports are late.
"""

from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import Executor, Future
from functools import partial
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace
from typing import Any

from attrs import define, field
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_membership.probe import LoadReport
from celeryfork_membership.targets import make_target_view
from celeryfork_membership.update_store import make_update_store
from celeryfork_platform.model import Instance, InstanceList
from celeryfork_routing.baselines import (
    LeastInFlightRouter,
    RandomRouter,
    RoundRobinRouter,
)
from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_routing.chains import Chain, ChainRequest, ChainResult
from celeryfork_routing.router import make_router
from celeryfork_standin.deployment import Deployment
from celeryfork_standin.engine_data import EngineSpec

POLLS_PER_S = 4.0
REPORT_LAG_S = 0.5
HISTORY_STEP_S = 0.05
PREFIXES = 40
LEAST_TOKENS, MOST_TOKENS = 16, 112
POLICIES = ("router", "least in flight", "round robin", "random")


class _InlineExecutor(Executor):
    """Plans at once, so that runs repeat exactly."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> "Future[Any]":
        future: Future[Any] = Future()
        future.set_result(fn(*args, **kwargs))
        return future


@define(eq=False)
class _Stream:
    router: int
    chain: Chain
    tokens: int
    began_s: float
    first_s: float = 0.0
    done: int = 0
    hop: int = 0


@define(eq=False)
class _Engine:
    spec: EngineSpec
    factor: float
    queue: deque[_Stream] = field(factory=deque)
    batch: list[_Stream] = field(factory=list)
    history: deque[tuple[float, int, int]] = field(
        factory=lambda: deque([(0.0, 0, 0)], maxlen=64)
    )

    def instance(self) -> Instance:
        spec = self.spec
        held = {
            "first_layer": spec.first_layer,
            "last_layer": spec.last_layer,
            "accelerator": spec.accelerator,
        }
        return Instance(
            id=spec.id,
            role="engine",
            target=spec.model,
            domain=spec.domain,
            address="127.0.0.1:1",
            state="live",
            incarnation=1,
            attributes=held,
        )

    def capacity(self) -> EngineCapacity:
        spec = self.spec
        return EngineCapacity(
            spec.id,
            spec.first_layer,
            spec.last_layer,
            spec.accelerator,
            spec.domain,
            spec.tokens_per_second / self.factor,
        )


class _LateProbe:
    """Reports of a few engines a second, as they were some time before."""

    def __init__(self, engines: list[_Engine], seed: int) -> None:
        self._engines_by_id = {engine.spec.id: engine for engine in engines}
        self._reports: dict[str, LoadReport] = {}
        self._turns = deque(engines)
        Random(seed).shuffle(self._turns)

    def load_of(self, target_id: str) -> LoadReport | None:
        return self._reports.get(target_id)

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        return False

    def engine_info(self, target_id: str) -> Any:
        spec = self._engines_by_id[target_id].spec
        return SimpleNamespace(tokens_per_second=spec.tokens_per_second)

    def poll(self, now_s: float) -> None:
        engine = self._turns[0]
        self._turns.rotate(-1)
        old = [h for h in engine.history if h[0] <= now_s - REPORT_LAG_S]
        at_s, running, waiting = old[-1] if old else engine.history[0]
        spec = engine.spec
        self._reports[spec.id] = LoadReport(
            running,
            waiting,
            spec.max_batch,
            spec.tokens_per_second,
            0,
            now_s - at_s,
            now_s,
        )


class QueueingRun:
    """One routing policy on one deployment's first model with one seed.

    Parameters
    ----------
    factor_by_engine
        By how much engines are slower than they say, by id.
    """

    def __init__(
        self,
        deployment: Deployment,
        policy: str,
        seed: int,
        factor_by_engine: Mapping[str, float] | None = None,
    ) -> None:
        factors = factor_by_engine or {}
        model = deployment.models[0]
        self._model, self._layers = model.name, model.layers
        one_way_s = deployment.latency_s_by_pair
        self._latency_s_by_pair = one_way_s | {
            pair[::-1]: latency_s for pair, latency_s in one_way_s.items()
        }
        self._engines = [
            _Engine(spec, factors.get(spec.id, 1.0))
            for spec in deployment.engine_specs()
            if spec.model == model.name
        ]
        self._engines_by_id = {engine.spec.id: engine for engine in self._engines}
        self._domains = [entry.domain for entry in deployment.entries]
        self._random, self._clock = Random(seed), ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = self._tokens = 0
        self._probes = [
            _LateProbe(self._engines, number) for number in range(len(self._domains))
        ]
        self._routers = [
            self._make_router(policy, number, seed * 100 + number)
            for number in range(len(self._domains))
        ]

    def bound(self) -> float:
        """Return the max-flow bound in tokens a second."""
        capacities = [engine.capacity() for engine in self._engines]
        return throughput_bound(capacities, self._layers).tokens_per_second

    def reached(self, callers: int, warm_s: float, seconds: float) -> float:
        """Return the share of the bound that is reached after a warm-up."""
        for _ in range(callers):
            router = self._random.randrange(len(self._routers))
            self._at(self._random.random(), partial(self._begin, router))
        self._at(0.0, self._poll)
        self._until(warm_s)
        self._tokens = 0
        self._until(warm_s + seconds)
        return self._tokens / seconds / self.bound()

    def _make_router(self, policy: str, number: int, seed: int) -> Any:
        counters, domain = Counters(), self._domains[number]
        news = make_update_store(self._clock, counters)
        view = make_target_view(self._clock, counters, news, domain)
        by_id = {engine.spec.id: engine.instance() for engine in self._engines}
        view.update_from_list(InstanceList(1, by_id))
        match policy:
            case "random":
                return RandomRouter(view, seed)
            case "round robin":
                return RoundRobinRouter(view, seed)
            case "least in flight":
                return LeastInFlightRouter(view, seed)
        links = {
            pair: SimpleNamespace(latency_ms=latency_s * 1000)
            for pair, latency_s in self._latency_s_by_pair.items()
        }
        configuration: Any = SimpleNamespace(
            accelerators_by_kind={}, links_by_pair=links
        )
        probe: Any = self._probes[number]
        parts = (view, probe, lambda: configuration, domain, self._clock, counters)
        return make_router(*parts, seed, _InlineExecutor())

    def _at(self, time_s: float, action: Callable[[], None]) -> None:
        self._serial += 1
        heappush(self._events, (time_s, self._serial, action))

    def _until(self, end_s: float) -> None:
        while self._events and self._events[0][0] < end_s:
            time_s, _, action = heappop(self._events)
            self._clock.advance(time_s - self._clock.monotonic())
            action()

    def _poll(self) -> None:
        now_s = self._clock.monotonic()
        for probe in self._probes:
            probe.poll(now_s)
        self._at(now_s + 1 / POLLS_PER_S, self._poll)

    def _begin(self, router: int) -> None:
        prefix = int(self._random.expovariate(1 / 8)) % PREFIXES
        key = f"prefix-{prefix}" if self._random.random() < 0.5 else ""
        request = ChainRequest(self._model, self._layers, key)
        chain = self._routers[router].choose(request)
        tokens = self._random.randint(LEAST_TOKENS, MOST_TOKENS)
        stream = _Stream(router, chain, tokens, self._clock.monotonic())
        self._arrive(stream, self._domains[router])

    def _arrive(self, stream: _Stream, domain: str) -> None:
        target = stream.chain.hops[stream.hop].target
        engine = self._engines_by_id[target.id]

        def enqueue() -> None:
            engine.queue.append(stream)
            if not engine.batch:
                self._step(engine)

        latency_s = self._latency_s_by_pair.get((domain, target.domain), 0.0)
        self._at(self._clock.monotonic() + latency_s, enqueue)

    def _step(self, engine: _Engine) -> None:
        spec = engine.spec
        count = min(len(engine.queue), spec.max_batch)
        engine.batch = [engine.queue.popleft() for _ in range(count)]
        now_s = self._clock.monotonic()
        if now_s - engine.history[-1][0] > HISTORY_STEP_S:
            engine.history.append((now_s, count, len(engine.queue)))
        if engine.batch:
            shares = [s.chain.hops[s.hop].layers / spec.layers for s in engine.batch]
            step_s = spec.base_s * max(shares) + spec.per_sequence_s * sum(shares)
            self._at(now_s + step_s * engine.factor, lambda: self._end_step(engine))

    def _end_step(self, engine: _Engine) -> None:
        batch, engine.batch = engine.batch, []
        for stream in batch:
            self._advance(stream, engine.spec.domain)
        self._step(engine)

    def _advance(self, stream: _Stream, domain: str) -> None:
        stream.hop = (stream.hop + 1) % len(stream.chain.hops)
        if stream.hop == 0:
            self._tokens += 1
            stream.done += 1
        age_s = self._clock.monotonic() - stream.began_s
        if stream.hop == 0 and stream.done == 1:
            stream.first_s = age_s
        if stream.done < stream.tokens:
            self._arrive(stream, domain)
            return
        result = ChainResult(stream.tokens, stream.first_s, age_s)
        self._routers[stream.router].release(stream.chain, result)
        self._begin(stream.router)
