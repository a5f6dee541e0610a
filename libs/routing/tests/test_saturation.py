"""Throughput of routers against the max-flow bound, over engines in virtual time.

Real routers of several instances, each with its own late load reports, drive a
queueing model of engines: a step over at most ``max_batch`` sequences takes ``base *
widest share + per_sequence * sum of shares``. Callers are a closed loop. As a program
it prints the tables of docs/notes/routing.md:
``python libs/routing/tests/test_saturation.py [seconds]``.
"""

import json
import sys
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define, field
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_membership.news import make_news_board
from celeryfork_membership.probe import LoadReport
from celeryfork_membership.targets import make_target_view
from celeryfork_platform.model import Instance, InstanceList
from celeryfork_routing import baselines
from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_routing.chains import Chain, ChainRequest, ChainResult
from celeryfork_routing.router import make_router

EXAMPLES = Path(__file__).parents[3] / "examples"
POLLS_PER_S = 4.0
REPORT_LAG_S = 0.5
PREFIXES = 40
POLICIES = ("router", "least in flight", "round robin", "random")
SLOW_ENGINES, SLOW_FACTOR = (0, 9, 21), 4.0


class InlineExecutor(Executor):
    """Plans at once, so that runs repeat exactly."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future:
        future: Future = Future()
        future.set_result(fn(*args, **kwargs))
        return future


@define(eq=False)
class Engine:
    """The queueing model of one engine; ``factor`` slows it secretly."""

    instance: Instance
    layers: int
    base_s: float
    sequence_s: float
    max_batch: int
    factor: float = 1.0
    queue: deque = field(factory=deque)
    batch: list = field(factory=list)
    history: deque = field(factory=lambda: deque([(0.0, 0, 0)], maxlen=64))

    @property
    def rate(self) -> float:
        return self.max_batch / (self.base_s + self.max_batch * self.sequence_s)

    def capacity(self) -> EngineCapacity:
        held = self.instance.attributes
        return EngineCapacity(
            self.instance.id,
            held["first_layer"],
            held["last_layer"],
            held["accelerator"],
            self.instance.domain,
            self.rate / self.factor,
        )


@define(eq=False)
class Stream:
    """One request under way."""

    router: int
    chain: Chain
    tokens: int
    began_s: float
    first_s: float = 0.0
    done: int = 0
    hop: int = 0


def read_engines(deployment: dict[str, Any]) -> list[Engine]:
    engines: list[Engine] = []
    for group in deployment["engines"]:
        kind = deployment["accelerators_by_kind"][group["accelerator"]]
        layers = group["last_layer"] - group["first_layer"]
        held = {k: group[k] for k in ("first_layer", "last_layer", "accelerator")}
        for number in range(group["count"]):
            instance = Instance(
                id=f"e{len(engines):02}",
                role="engine",
                target=group["model"],
                domain=group["domains"][number % len(group["domains"])],
                address="127.0.0.1:1",
                state="live",
                incarnation=1,
                attributes=held,
            )
            base_s = kind["base_ms_per_layer"] * layers / 1000
            sequence_s = kind["sequence_ms_per_layer"] * layers / 1000
            engines.append(
                Engine(instance, layers, base_s, sequence_s, kind["max_batch"])
            )
    return engines


class LateProbe:
    """Reports of a few engines a second, as they were ``REPORT_LAG_S`` before."""

    def __init__(self, engines: list[Engine], seed: int) -> None:
        self._engines_by_id = {engine.instance.id: engine for engine in engines}
        self._reports: dict[str, LoadReport] = {}
        self._turns = deque(engines)
        Random(seed).shuffle(self._turns)
        self.load_of = self._reports.get
        self.has_prefix = lambda target_id, prefix: False

    def engine_info(self, target_id: str) -> Any:
        return SimpleNamespace(tokens_per_second=self._engines_by_id[target_id].rate)

    def poll(self, now_s: float) -> None:
        engine = self._turns[0]
        self._turns.rotate(-1)
        old = [h for h in engine.history if h[0] <= now_s - REPORT_LAG_S]
        at_s, running, waiting = old[-1] if old else engine.history[0]
        self._reports[engine.instance.id] = LoadReport(
            running, waiting, engine.max_batch, engine.rate, 0, now_s - at_s, now_s
        )


class Run:
    """One policy on one deployment with one seed."""

    def __init__(self, name: str, policy: str, seed: int, slow: bool = False) -> None:
        data = json.loads((EXAMPLES / f"{name}.json").read_text())
        self.model, self.layers = data["models"][0]["name"], data["models"][0]["layers"]
        self.links: dict[tuple[str, str], Any] = {}
        for link in data["links"]:
            pair = link["from_domain"], link["to_domain"]
            record = SimpleNamespace(latency_ms=link["latency_ms"])
            self.links[pair] = self.links[pair[::-1]] = record
        self.engines = read_engines(data)
        for number in SLOW_ENGINES if slow else ():
            self.engines[number].factor = SLOW_FACTOR
        self.engines_by_id = {engine.instance.id: engine for engine in self.engines}
        self.domains = [entry["domain"] for entry in data["entries"]]
        self.random, self.clock = Random(seed), ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = self.tokens = 0
        self.probes = [LateProbe(self.engines, n) for n in range(len(self.domains))]
        self.routers = [
            self.make_router(policy, number, seed * 100 + number)
            for number in range(len(self.domains))
        ]

    def make_router(self, policy: str, number: int, seed: int) -> Any:
        counters, domain = Counters(), self.domains[number]
        news = make_news_board(self.clock, counters)
        view = make_target_view(self.clock, counters, news, domain)
        by_id = {engine.instance.id: engine.instance for engine in self.engines}
        view.update_from_list(InstanceList(1, by_id))
        match policy:
            case "random":
                return baselines.RandomRouter(view, seed)
            case "round robin":
                return baselines.RoundRobinRouter(view, seed)
            case "least in flight":
                return baselines.LeastInFlightRouter(view, seed)
        configuration: Any = SimpleNamespace(
            accelerators_by_kind={}, links_by_pair=self.links
        )
        probe: Any = self.probes[number]
        parts = (view, probe, lambda: configuration, domain, self.clock, counters)
        return make_router(*parts, seed, InlineExecutor())

    def bound(self) -> float:
        capacities = [engine.capacity() for engine in self.engines]
        return throughput_bound(capacities, self.layers).tokens_per_second

    def reached(self, callers: int, warm_s: float, seconds: float) -> float:
        """Return the share of the bound that is reached after a warm-up."""
        for _ in range(callers):
            router = self.random.randrange(len(self.routers))
            self.at(self.random.random(), lambda router=router: self.begin(router))
        self.at(0.0, self.poll)
        self.until(warm_s)
        self.tokens = 0
        self.until(warm_s + seconds)
        return self.tokens / seconds / self.bound()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        self.serial += 1
        heappush(self.events, (time_s, self.serial, action))

    def until(self, end_s: float) -> None:
        while self.events and self.events[0][0] < end_s:
            time_s, _, action = heappop(self.events)
            self.clock.advance(time_s - self.clock.monotonic())
            action()

    def poll(self) -> None:
        now_s = self.clock.monotonic()
        for probe in self.probes:
            probe.poll(now_s)
        self.at(now_s + 1 / POLLS_PER_S, self.poll)

    def begin(self, router: int) -> None:
        prefix = int(self.random.expovariate(1 / 8)) % PREFIXES
        key = f"prefix-{prefix}" if self.random.random() < 0.5 else ""
        request = ChainRequest(self.model, self.layers, key)
        chain = self.routers[router].choose(request)
        tokens, now_s = self.random.randint(16, 112), self.clock.monotonic()
        self.arrive(Stream(router, chain, tokens, now_s), self.domains[router])

    def arrive(self, stream: Stream, domain: str) -> None:
        target = stream.chain.hops[stream.hop].target
        engine = self.engines_by_id[target.id]
        link = self.links.get((domain, target.domain))

        def enqueue() -> None:
            engine.queue.append(stream)
            if not engine.batch:
                self.step(engine)

        latency_s = link.latency_ms / 1000 if link else 0.0
        self.at(self.clock.monotonic() + latency_s, enqueue)

    def step(self, engine: Engine) -> None:
        count = min(len(engine.queue), engine.max_batch)
        engine.batch = [engine.queue.popleft() for _ in range(count)]
        now_s = self.clock.monotonic()
        if now_s - engine.history[-1][0] > 0.05:
            engine.history.append((now_s, count, len(engine.queue)))
        if engine.batch:
            shares = [s.chain.hops[s.hop].layers / engine.layers for s in engine.batch]
            step_s = engine.base_s * max(shares) + engine.sequence_s * sum(shares)
            self.at(now_s + step_s * engine.factor, lambda: self.end_step(engine))

    def end_step(self, engine: Engine) -> None:
        batch, engine.batch = engine.batch, []
        for stream in batch:
            self.advance(stream, engine.instance.domain)
        self.step(engine)

    def advance(self, stream: Stream, domain: str) -> None:
        stream.hop = (stream.hop + 1) % len(stream.chain.hops)
        if stream.hop == 0:
            self.tokens += 1
            stream.done += 1
        age_s = self.clock.monotonic() - stream.began_s
        if stream.hop == 0 and stream.done == 1:
            stream.first_s = age_s
        if stream.done < stream.tokens:
            self.arrive(stream, domain)
            return
        result = ChainResult(stream.tokens, stream.first_s, age_s)
        self.routers[stream.router].release(stream.chain, result)
        self.begin(stream.router)


@pytest.mark.slow
@pytest.mark.parametrize("name", ["wanjiru", "troskgille"])
def test_saturated_routers_come_near_the_bound_and_beat_the_baselines(
    name: str,
) -> None:
    reached = {p: Run(name, p, seed=1).reached(600, 10, 10) for p in POLICIES}
    assert reached["router"] > 0.95
    assert reached["router"] == max(reached.values())


@pytest.mark.slow
@pytest.mark.parametrize("name", ["wanjiru", "troskgille"])
def test_engines_that_are_slower_than_they_say_get_less(name: str) -> None:
    assert Run(name, "router", seed=1, slow=True).reached(600, 20, 10) > 0.88


def print_tables(seconds: float) -> None:
    for name in ("wanjiru", "troskgille"):
        for slow in (False, True):
            bound = Run(name, "random", 1, slow).bound()
            said = "3 engines 4 times slower than they say" if slow else "honest"
            print(f"{name}, {said}: bound {bound:.0f} tokens/s")
            for callers in (300, 600, 1200):
                for policy in POLICIES:
                    runs = [Run(name, policy, seed, slow) for seed in (1, 2, 3)]
                    shares = [run.reached(callers, 20, seconds) for run in runs]
                    shown = " ".join(f"{share:.3f}" for share in shares)
                    print(f"  {callers:5} callers  {policy:16} {shown}", flush=True)


if __name__ == "__main__":
    print_tables(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
