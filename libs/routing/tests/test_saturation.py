"""Throughput of routers against the max-flow bound, over engines in virtual time.

Real routers of several instances, each with its own late load reports, drive a
queueing model of engines: an engine runs steps over at most ``max_batch`` sequences
that take ``base * widest share + per_sequence * sum of shares``. Callers are a closed
loop. Run as a program it prints the tables that docs/notes/routing.md quotes:
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
from attrs import define, field, frozen
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_membership.news import make_news_board
from celeryfork_membership.probe import EngineInfo, LoadReport
from celeryfork_membership.targets import TargetView, make_target_view
from celeryfork_platform.model import Instance, InstanceList
from celeryfork_routing.baselines import (
    LeastInFlightRouter,
    RandomRouter,
    RoundRobinRouter,
)
from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_routing.chains import Chain, ChainRequest, ChainResult
from celeryfork_routing.router import make_router

EXAMPLES = Path(__file__).parents[3] / "examples"
POLLS_PER_S = 4.0
REPORT_LAG_S = 0.5
RNG_PREFIXES = 40
POLICIES = ("router", "least in flight", "round robin", "random")


class InlineExecutor(Executor):
    """Plans at once, so that runs repeat exactly."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future:
        future: Future = Future()
        future.set_result(fn(*args, **kwargs))
        return future


@define(eq=False)
class Engine:
    """The queueing model of one engine; ``true_factor`` slows it secretly."""

    instance: Instance
    base_s: float
    sequence_s: float
    max_batch: int
    true_factor: float = 1.0
    queue: deque = field(factory=deque)
    batch: list = field(factory=list)
    history: deque = field(factory=lambda: deque([(0.0, 0, 0)], maxlen=64))

    @property
    def layers(self) -> int:
        return (
            self.instance.attributes["last_layer"]
            - (self.instance.attributes["first_layer"])
        )

    @property
    def rate(self) -> float:
        return self.max_batch / (self.base_s + self.max_batch * self.sequence_s)


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


@frozen
class Deployment:
    """A model's engines, as one of the sample deployments has them."""

    model: str
    layers: int
    engines: tuple[dict[str, Any], ...]
    latency_s: dict[tuple[str, str], float]
    entries: tuple[str, ...]


def read_deployment(name: str) -> Deployment:
    data = json.loads((EXAMPLES / f"{name}.json").read_text())
    engines = []
    for group in data["engines"]:
        kind = data["accelerators_by_kind"][group["accelerator"]]
        layers = group["last_layer"] - group["first_layer"]
        for number in range(group["count"]):
            engines.append(
                {
                    "first": group["first_layer"],
                    "last": group["last_layer"],
                    "accelerator": group["accelerator"],
                    "domain": group["domains"][number % len(group["domains"])],
                    "base_s": kind["base_ms_per_layer"] * layers / 1000,
                    "sequence_s": kind["sequence_ms_per_layer"] * layers / 1000,
                    "max_batch": kind["max_batch"],
                }
            )
    latency_s = {}
    for link in data["links"]:
        pair = link["from_domain"], link["to_domain"]
        latency_s[pair] = latency_s[pair[::-1]] = link["latency_ms"] / 1000
    model = data["models"][0]
    entries = tuple(entry["domain"] for entry in data["entries"])
    return Deployment(
        model["name"], model["layers"], tuple(engines), latency_s, entries
    )


class LateProbe:
    """Reports of a few engines a second, as they were ``REPORT_LAG_S`` before."""

    def __init__(self, run: "Run", seed: int) -> None:
        self._run = run
        self._reports: dict[str, LoadReport] = {}
        self._turns = deque(run.engines)
        Random(seed).shuffle(self._turns)

    def poll(self, now_s: float) -> None:
        engine = self._turns[0]
        self._turns.rotate(-1)
        shown = engine.history[0]
        for sample in engine.history:
            if sample[0] <= now_s - REPORT_LAG_S:
                shown = sample
        self._reports[engine.instance.id] = LoadReport(
            shown[1],
            shown[2],
            engine.max_batch,
            engine.rate,
            0,
            now_s - shown[0],
            now_s,
        )

    def load_of(self, target_id: str) -> LoadReport | None:
        return self._reports.get(target_id)

    def engine_info(self, target_id: str) -> EngineInfo:
        engine = self._run.engines_by_id[target_id]
        return EngineInfo(
            engine.rate, engine.rate * 10, engine.max_batch, "live", "serve"
        )

    def has_prefix(self, target_id: str, prefix: str) -> bool:
        return False


class Run:
    """One policy on one deployment with one seed."""

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.tokens = 0
        self.engines = [
            make_engine(number, spec, deployment.model)
            for number, spec in enumerate(deployment.engines)
        ]
        self.engines_by_id = {engine.instance.id: engine for engine in self.engines}
        self.probes = [LateProbe(self, n) for n in range(len(deployment.entries))]
        self.routers = [
            self._make_router(policy, number, domain, seed * 100 + number)
            for number, domain in enumerate(deployment.entries)
        ]

    def _make_router(self, policy: str, number: int, domain: str, seed: int) -> Any:
        counters = Counters()
        news = make_news_board(self.clock, counters)
        view: TargetView = make_target_view(self.clock, counters, news, domain)
        by_id = {engine.instance.id: engine.instance for engine in self.engines}
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
            for pair, latency_s in self.deployment.latency_s.items()
        }
        configuration = SimpleNamespace(accelerators_by_kind={}, links_by_pair=links)
        return make_router(
            view,
            self.probes[number],  # type: ignore[arg-type]
            lambda: configuration,
            domain,
            self.clock,
            counters,
            seed,
            InlineExecutor(),
        )

    def bound(self) -> float:
        engines = [
            EngineCapacity(
                engine.instance.id,
                engine.instance.attributes["first_layer"],
                engine.instance.attributes["last_layer"],
                engine.instance.attributes["accelerator"],
                engine.instance.domain,
                engine.rate / engine.true_factor,
            )
            for engine in self.engines
        ]
        return throughput_bound(engines, self.deployment.layers).tokens_per_second

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        self.serial += 1
        heappush(self.events, (time_s, self.serial, action))

    def run(self, callers: int, warm_s: float, seconds: float) -> float:
        """Return the tokens a second after a warm-up."""
        for _ in range(callers):
            router = self.random.randrange(len(self.routers))
            self.at(self.random.random(), lambda router=router: self.begin(router))
        self.at(0.0, self.poll)
        self.until(warm_s)
        self.tokens = 0
        self.until(warm_s + seconds)
        return self.tokens / seconds

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
        key = f"prefix-{int(self.random.expovariate(1 / 8)) % RNG_PREFIXES}"
        request = ChainRequest(
            self.deployment.model,
            self.deployment.layers,
            key if self.random.random() < 0.5 else "",
        )
        chain = self.routers[router].choose(request)
        tokens = self.random.randint(16, 112)
        now_s = self.clock.monotonic()
        stream = Stream(router, chain, tokens, now_s)
        self.arrive(stream, self.deployment.entries[router])

    def arrive(self, stream: Stream, from_domain: str) -> None:
        hop = stream.chain.hops[stream.hop]
        engine = self.engines_by_id[hop.target.id]
        pair = from_domain, hop.target.domain
        latency_s = self.deployment.latency_s.get(pair, 0.0)

        def enqueue() -> None:
            engine.queue.append(stream)
            if not engine.batch:
                self.step(engine)

        self.at(self.clock.monotonic() + latency_s, enqueue)

    def step(self, engine: Engine) -> None:
        count = min(len(engine.queue), engine.max_batch)
        engine.batch = [engine.queue.popleft() for _ in range(count)]
        now_s = self.clock.monotonic()
        if now_s - engine.history[-1][0] > 0.05:
            engine.history.append((now_s, count, len(engine.queue)))
        if not engine.batch:
            return
        shares = [s.chain.hops[s.hop].layers / engine.layers for s in engine.batch]
        step_s = engine.base_s * max(shares) + engine.sequence_s * sum(shares)
        self.at(now_s + step_s * engine.true_factor, lambda: self.end_step(engine))

    def end_step(self, engine: Engine) -> None:
        batch, engine.batch = engine.batch, []
        for stream in batch:
            self.advance(stream, engine.instance.domain)
        self.step(engine)

    def advance(self, stream: Stream, domain: str) -> None:
        stream.hop += 1
        if stream.hop < len(stream.chain.hops):
            self.arrive(stream, domain)
            return
        stream.hop = 0
        stream.done += 1
        self.tokens += 1
        now_s = self.clock.monotonic()
        if stream.done == 1:
            stream.first_s = now_s - stream.began_s
        if stream.done < stream.tokens:
            self.arrive(stream, domain)
            return
        result = ChainResult(stream.tokens, stream.first_s, now_s - stream.began_s)
        self.routers[stream.router].release(stream.chain, result)
        self.begin(stream.router)


def make_engine(number: int, spec: dict[str, Any], model: str) -> Engine:
    attributes = {
        "first_layer": spec["first"],
        "last_layer": spec["last"],
        "accelerator": spec["accelerator"],
    }
    instance = Instance(
        id=f"e{number:02}",
        role="engine",
        target=model,
        domain=spec["domain"],
        address="127.0.0.1:1",
        state="live",
        incarnation=1,
        attributes=attributes,
    )
    return Engine(instance, spec["base_s"], spec["sequence_s"], spec["max_batch"])


@pytest.mark.slow
@pytest.mark.parametrize("name", ["wanjiru", "troskgille"])
def test_saturated_routers_come_near_the_bound_and_beat_the_baselines(
    name: str,
) -> None:
    deployment = read_deployment(name)
    reached = {}
    for policy in POLICIES:
        run = Run(deployment, policy, seed=1)
        reached[policy] = run.run(600, 10, 10) / run.bound()
    assert reached["router"] > 0.93
    assert reached["router"] == max(reached.values())


def print_tables(seconds: float) -> None:
    for name in ("wanjiru", "troskgille"):
        deployment = read_deployment(name)
        bound = Run(deployment, "random", 1).bound()
        print(f"{name}: {len(deployment.engines)} engines, bound {bound:.0f} tokens/s")
        for callers in (300, 600, 1200):
            for policy in POLICIES:
                shares = [
                    Run(deployment, policy, seed).run(callers, 20, seconds) / bound
                    for seed in (1, 2, 3)
                ]
                shown = " ".join(f"{share:.3f}" for share in shares)
                print(f"  {callers:5} callers  {policy:16} {shown}", flush=True)


if __name__ == "__main__":
    print_tables(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
