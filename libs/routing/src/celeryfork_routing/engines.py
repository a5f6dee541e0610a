"""What a router knows of each engine: its work in flight, its queue, its speed."""

from itertools import accumulate
from math import exp

from attrs import define, field
from celeryfork_membership.probe import LoadReport
from celeryfork_membership.targets import Target

LOAD_MEMORY_S = 5.0
LEARNING_GAIN = 0.1
MOST_RATIO = 1000.0
LEAST_RATIO = 0.001
DEFAULT_TOKENS_PER_S = 1000.0


@define(eq=False)
class Stage:
    """The engines that hold the same layers ``[first, last)``.

    Parameters
    ----------
    engines
        All of them; ``close`` are those near this instance, or all if none are.
    capacity
        Sum of the engines' capacities.
    own_layers
        Layers of this instance's streams in flight on them.
    queue
        Sum of the engines' queues as last reported, aged.
    """

    first: int
    last: int
    engines: list["Engine"]
    close: list["Engine"]
    far: list["Engine"]
    close_cumulative: list[float] = field(factory=list)
    far_cumulative: list[float] = field(factory=list)
    capacity: float = 0.0
    own_layers: float = 0.0
    queue: float = 0.0

    def own_load_s(self) -> float:
        """Return this instance's mean load relative to capacity."""
        return self.own_layers / self.capacity


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
    slowness
        How much longer tokens took over it than its load explains.
    """

    target: Target
    nominal: float
    capacity: float
    stage: Stage | None = None
    own_layers: float = 0.0
    own_streams: int = 0
    excess: float = 0.0
    slowness: float = 1.0
    samples: int = 0
    layers_per_stream: float = 0.0
    refreshed_s: float = float("-inf")
    _queue: float = 0.0

    def own_load_s(self) -> float:
        """Return this instance's load on it relative to its capacity."""
        return self.own_layers / self.capacity

    def load_s(self, instances: float, layers: int) -> float:
        """Return everybody's load relative to capacity, with ``layers`` more.

        Parameters
        ----------
        instances
            How many times this instance's work all instances' work is.
        layers
            Layers that would be added.
        """
        everybody = (self.own_layers + layers) * instances
        excess = self.excess * self.layers_per_stream
        return max(everybody + excess, layers) / self.capacity

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
        ratio = min(max(ratio, LEAST_RATIO), MOST_RATIO)
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
        queue = report.running + report.waiting
        self.stage.queue += queue - self._queue
        self._queue = queue
        part = self.stage.queue * self.capacity / self.stage.capacity
        self.excess = (queue - part) * exp(-report.age_s(now_s) / LOAD_MEMORY_S)

    def join(self, stage: Stage) -> None:
        """Become a member of a stage."""
        self.stage = stage
        stage.capacity += self.capacity
        stage.own_layers += self.own_layers
        stage.queue += self._queue

    def _add_own(self, layers: int) -> None:
        self.own_layers += layers
        if self.stage is not None:
            self.stage.own_layers += layers


def make_engine(target: Target, tokens_per_second: float) -> Engine:
    """Return an engine without load; the rate is with all layers it holds."""
    layers = target.last_layer - target.first_layer
    capacity = max(tokens_per_second, 1e-3) * layers
    return Engine(target, capacity, capacity, layers_per_stream=layers)


def make_stage(
    first: int, last: int, engines: list[Engine], close_domains: frozenset[str]
) -> Stage:
    """Return a stage of engines and make them its members."""
    close = [e for e in engines if e.target.domain in close_domains] or engines
    far = [engine for engine in engines if engine not in close]
    stage = Stage(first, last, engines, close, far)
    for engine in engines:
        engine.join(stage)
    stage.close_cumulative = list(accumulate(engine.capacity for engine in close))
    stage.far_cumulative = list(accumulate(engine.capacity for engine in far))
    return stage
