"""The router's state of each engine: its work in flight, queue and learned speed."""

from bisect import bisect
from collections.abc import Callable, Sequence
from itertools import accumulate
from math import exp

from attrs import define, frozen
from celeryfork_membership.probe import LoadReport
from celeryfork_membership.targets import Target
from xxhash import xxh3_64_intdigest

REPORT_DECAY_S = 5.0  # Time constant of the exponential decay of a load report.
LEARNING_GAIN = 0.1  # Weight of a new measurement in a moving average.
# Limits on the ratio of measured to expected time per token.
MAX_RATIO = 1000.0
MIN_RATIO = 0.001
DEFAULT_TOKENS_PER_S = 1000.0  # Of an engine whose rate is not known.
NEAR_LATENCY_S = 0.002  # Maximum one-way latency to an engine that counts as near.


@define(eq=False)
class Stage:
    """The engines that hold the same layers ``[first, last)``.

    Parameters
    ----------
    capacity
        Sum of the engines' capacities, in layer-tokens per second.
    own_layers
        Sum of the layers that this instance's streams in flight run on the engines.
    queue
        Sum of the last reported queues of the engines, in streams.
    """

    first: int
    last: int
    engines: list["Engine"]
    capacity: float = 0.0
    own_layers: float = 0.0
    queue: float = 0.0


@frozen(eq=False)
class EngineSampler:
    """Engines with the cumulative weights by which they are drawn."""

    engines: tuple["Engine", ...]
    cumulative: tuple[float, ...]

    def draw(self, uniform: float) -> "Engine":
        """Return the engine at ``uniform``, a number in [0, 1)."""
        index = bisect(self.cumulative, uniform * self.cumulative[-1])
        return self.engines[min(index, len(self.engines) - 1)]


@frozen(eq=False)
class Lane:
    """The engines of a stage that are assigned to its layers ``[first, last)``.

    Parameters
    ----------
    near
        Engines at a low latency from this instance; all if there are none.
    far
        The other engines; None if there are none.
    """

    stage: Stage
    first: int
    last: int
    near: EngineSampler
    far: EngineSampler | None


@define(eq=False)
class Engine:
    """One engine as the router knows it.

    Parameters
    ----------
    target
        Target that represents the engine in the registry.
    nominal_capacity
        Capacity by its reported or configured rate, in layer-tokens per second.
    capacity
        Nominal capacity corrected by the learned speed and the planned share.
    own_layers, own_streams
        Layers of this instance's streams in flight on the engine, and their number.
    excess_queue
        Streams queued beyond the engine's share of the stage's queue by its last
        report, discounted by the report's age.
    slowness, samples
        Measured time per token as a multiple of the expected time, and the number of
        measurements.
    layers_per_stream
        Moving average of the layers that a stream runs on the engine.
    digest
        Hash of the id, for the assignment of prompt keys to engines.
    refreshed_s
        Time at which the load report was last read.
    planned_share
        Share of the capacity that plans use, lowered while its queue is far longer than
        those of its stage.
    queue, report
        Running and waiting streams by the last load report, and the report itself.
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
        """The first layer that the engine holds and the one after its last."""
        return self.target.first_layer, self.target.last_layer

    def backlog_s(self, equivalent_instances: float, layers: int) -> float:
        """Return the seconds for one token of each stream on the engine and one more.

        The load of other instances is estimated from this instance's own.

        Parameters
        ----------
        equivalent_instances
            Work of all instances as a multiple of this instance's work.
        layers
            Layers that the additional stream would run.
        """
        estimated_layers = (self.own_layers + layers) * equivalent_instances
        excess_layers = self.excess_queue * self.layers_per_stream
        load = estimated_layers + excess_layers
        return (load if load > layers else layers) / self.capacity

    def begin(self, layers: int) -> None:
        """Count a stream over ``layers`` layers as in flight."""
        self.own_streams += 1
        self._add_own(layers)
        self.layers_per_stream += (layers - self.layers_per_stream) * LEARNING_GAIN

    def end(self, layers: int) -> None:
        """Stop counting a stream over ``layers`` layers as in flight."""
        self.own_streams -= 1
        self._add_own(-layers)

    def learn(self, ratio: float) -> None:
        """Update the slowness with a ratio of measured to expected time per token.

        The mean is geometric, so that a few very late answers don't dominate it.
        """
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        gain = max(LEARNING_GAIN, 1 / (self.samples + 1))
        self.samples += 1
        self.slowness *= (ratio / self.slowness) ** gain

    def refresh(self, report: LoadReport | None, now_s: float) -> None:
        """Update the queue and its excess from the most recent load report.

        Only the difference from the engine's share of the stage's queue counts, and it
        decays with the report's age: instances that saw the same outdated report must
        not all choose the same engine.
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
        """Add the engine's capacity and load to a stage."""
        self.stage = stage
        stage.capacity += self.capacity
        stage.own_layers += self.own_layers
        stage.queue += self.queue

    def _add_own(self, layers: int) -> None:
        self.own_layers += layers
        if self.stage is not None:
            self.stage.own_layers += layers


def make_engine(target: Target, tokens_per_second: float) -> Engine:
    """Return an engine without load.

    Parameters
    ----------
    tokens_per_second
        Rate over all layers that the engine holds.
    """
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
    """Return a stage with the engines as its members."""
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
    """Return a lane over the layers ``[first, last)`` of a stage.

    Parameters
    ----------
    parts
        Its engines, each with the capacity assigned to the lane.
    origin
        Failure domain of this instance.
    """
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
    """Return a sampler of engines from pairs of engine and weight."""
    engines = tuple(engine for engine, _ in parts)
    return EngineSampler(engines, tuple(accumulate(weight for _, weight in parts)))
