"""What a router knows of each engine: its work in flight, its queue, its speed."""

from bisect import bisect
from collections.abc import Callable, Sequence
from itertools import accumulate
from math import exp

from attrs import define, frozen
from celeryfork_membership.probe import LoadReport
from celeryfork_membership.targets import Target
from xxhash import xxh3_64_intdigest

REPORT_DECAY_S = 5.0
LEARNING_GAIN = 0.1
MAX_RATIO = 1000.0
MIN_RATIO = 0.001
DEFAULT_TOKENS_PER_S = 1000.0
NEAR_LATENCY_S = 0.002


@define(eq=False)
class Stage:
    """The engines that hold the same layers ``[first, last)``.

    Parameters
    ----------
    engines
        All of them.
    capacity
        Sum of the engines' capacities.
    own_layers
        Layers of this instance's streams in flight on them.
    queue
        Sum of the engines' queues as last reported.
    """

    first: int
    last: int
    engines: list["Engine"]
    capacity: float = 0.0
    own_layers: float = 0.0
    queue: float = 0.0


@frozen(eq=False)
class EngineSampler:
    """Engines to draw from by weight."""

    engines: tuple["Engine", ...]
    cumulative: tuple[float, ...]

    def draw(self, uniform: float) -> "Engine":
        """Return the engine at ``uniform``, a number in [0, 1)."""
        index = bisect(self.cumulative, uniform * self.cumulative[-1])
        return self.engines[min(index, len(self.engines) - 1)]


@frozen(eq=False)
class Lane:
    """The engines of a stage that run the layers ``[first, last)`` of it.

    Parameters
    ----------
    close, far
        Its engines near this instance (or all if none are) and the others.
    """

    stage: Stage
    first: int
    last: int
    near: EngineSampler
    far: EngineSampler | None


@define(eq=False)
class Engine:
    """One engine.

    Parameters
    ----------
    target
        The target it is.
    nominal
        Layer-tokens a second that it says it can do.
    capacity
        The same after what was learned of its speed.
    own_layers
        Layers of this instance's streams in flight on it.
    excess
        Streams queued on it beyond its part of the stage's queue, by its last
        report, aged.
    relief
        Share of its capacity that is planned with, lowered while its queue stands out.
    queue, report
        Its queue by its last report, and the report.
    digest
        Hash of its id, for the preference of prompts.
    slowness
        How much longer tokens took over it than its load explains.
    """

    target: Target
    nominal_capacity: float
    capacity: float
    stage: Stage | None = None
    own_layers: float = 0.0
    own_streams: int = 0
    excess_queue: float = 0.0
    slowness: float = 1.0
    samples: int = 0
    layers_per_stream: float = 0.0
    digest: int = 0
    refreshed_s: float = float("-inf")
    planned_share: float = 1.0
    queue: float = 0.0
    report: LoadReport | None = None

    @property
    def held(self) -> tuple[int, int]:
        """The layers that it holds."""
        return self.target.first_layer, self.target.last_layer

    def backlog_s(self, equivalent_instances: float, layers: int) -> float:
        """Return everybody's load relative to capacity, with ``layers`` more.

        Parameters
        ----------
        instances
            How many times this instance's work all instances' work is.
        layers
            Layers that would be added.
        """
        everybody = (self.own_layers + layers) * equivalent_instances
        excess_layers = self.excess_queue * self.layers_per_stream
        load = everybody + excess_layers
        return (load if load > layers else layers) / self.capacity

    def begin(self, layers: int) -> None:
        """Count a stream in flight."""
        self.own_streams += 1
        self._add_own(layers)
        self.layers_per_stream += (layers - self.layers_per_stream) * LEARNING_GAIN

    def end(self, layers: int) -> None:
        """Count a stream out again."""
        self.own_streams -= 1
        self._add_own(-layers)

    def learn(self, ratio: float) -> None:
        """Take in how much longer a token took than expected.

        The mean is geometric, so that a few very late answers don't decide it.
        """
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        gain = max(LEARNING_GAIN, 1 / (self.samples + 1))
        self.samples += 1
        self.slowness *= (ratio / self.slowness) ** gain

    def refresh(self, report: LoadReport | None, now_s: float) -> None:
        """Take in the newest report, aged.

        Only the difference from the engine's part of the stage's queue counts, and
        it fades with the report's age: instances that saw the same old report must
        not all run after it.
        """
        self.refreshed_s = now_s
        if report is None or self.stage is None:
            return
        self.report = report
        queue = report.running + report.waiting
        self.stage.queue += queue - self.queue
        self.queue = queue
        part = self.stage.queue * self.capacity / self.stage.capacity
        self.excess_queue = (queue - part) * exp(-report.age_s(now_s) / REPORT_DECAY_S)

    def join(self, stage: Stage) -> None:
        """Become a member of a stage."""
        self.stage = stage
        stage.capacity += self.capacity
        stage.own_layers += self.own_layers
        stage.queue += self.queue

    def _add_own(self, layers: int) -> None:
        self.own_layers += layers
        if self.stage is not None:
            self.stage.own_layers += layers


def make_engine(target: Target, tokens_per_second: float) -> Engine:
    """Return an engine without load; the rate is with all layers it holds."""
    layers = target.last_layer - target.first_layer
    capacity = max(tokens_per_second, 1e-3) * layers
    return Engine(
        target,
        capacity,
        capacity,
        layers_per_stream=layers,
        digest=xxh3_64_intdigest(target.id.encode()),
    )


def make_stage(first: int, last: int, engines: list[Engine]) -> Stage:
    """Return a stage of engines and make them its members."""
    stage = Stage(first, last, engines)
    for engine in engines:
        engine.join(stage)
    return stage


def make_lane(
    stage: Stage,
    first: int,
    last: int,
    parts: Sequence[tuple[Engine, float]],
    latency_s: Callable[[str, str], float],
    origin: str,
) -> Lane:
    """Return a lane; ``parts`` are its engines with their capacity for it."""
    near = [
        (engine, part)
        for engine, part in parts
        if latency_s(origin, engine.target.domain) <= NEAR_LATENCY_S
    ]
    far = [part for part in parts if part not in near]
    if not near:
        near, far = far, []
    return Lane(
        stage, first, last, make_sampler(near), make_sampler(far) if far else None
    )


def make_sampler(parts: Sequence[tuple[Engine, float]]) -> EngineSampler:
    """Return a draw among engines by weight."""
    engines = tuple(engine for engine, _ in parts)
    return EngineSampler(engines, tuple(accumulate(weight for _, weight in parts)))
