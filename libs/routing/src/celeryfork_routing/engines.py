"""What a router knows of each engine: its work in flight, its load, its speed."""

from math import exp

from attrs import define
from celeryfork_membership.probe import LoadReport
from celeryfork_membership.targets import Target

from celeryfork_routing.bound import GroupKey

LOAD_MEMORY_S = 5.0
OWN_AVERAGE_S = 1.0
SPEED_GAIN = 0.1
MOST_RATIO = 1000.0
LEAST_RATIO = 0.001
DEFAULT_TOKENS_PER_S = 1000.0


@define(eq=False)
class Group:
    """The engines of one group with their sums, for the bounded load."""

    key: GroupKey
    engines: list["Engine"]
    capacity: float = 0.0
    own_layers: float = 0.0
    others_layers: float = 0.0

    def load(self) -> float:
        """Return the group's mean load relative to its capacity."""
        return (self.own_layers + self.others_layers) / self.capacity


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
    others_layers
        Layers of other instances' streams, from its last report, aged.
    """

    target: Target
    nominal: float
    capacity: float
    group: Group | None = None
    own_layers: float = 0.0
    own_streams: int = 0
    others_layers: float = 0.0
    slowness: float = 1.0
    samples: int = 0
    layers_per_stream: float = 0.0
    _own_average: float = 0.0
    _own_changed_s: float = 0.0
    _reported_layers: float = 0.0
    _report: LoadReport | None = None

    def seconds_per_token(self, layers: int) -> float:
        """Return the expected time for a token through ``layers`` more layers."""
        return (self.own_layers + self.others_layers + layers) / self.capacity

    def load(self) -> float:
        """Return the load relative to capacity."""
        return (self.own_layers + self.others_layers) / self.capacity

    def begin(self, layers: int, now_s: float) -> None:
        """Count a stream in flight."""
        self._average_own(now_s)
        self.own_streams += 1
        self._add_own(layers)
        self.layers_per_stream += (layers - self.layers_per_stream) * SPEED_GAIN

    def end(self, layers: int, now_s: float) -> None:
        """Count a stream out again."""
        self._average_own(now_s)
        self.own_streams -= 1
        self._add_own(-layers)

    def learn(self, ratio: float) -> None:
        """Take in how much longer a token took than expected.

        The mean is geometric, so that a few very late answers don't decide it.
        """
        ratio = min(max(ratio, LEAST_RATIO), MOST_RATIO)
        gain = max(SPEED_GAIN, 1 / (self.samples + 1))
        self.samples += 1
        self.slowness *= (ratio / self.slowness) ** gain

    def refresh(self, report: LoadReport | None, now_s: float) -> None:
        """Work out others' load from the newest report, aged.

        A report says little about now once it is old: its difference from the mean
        of the group fades, so that instances that saw the same report don't all run
        after it.
        """
        if report is None or self.group is None:
            return
        if report is not self._report:
            self._report = report
            streams = report.running + report.waiting - self._own_average
            self._reported_layers = max(streams, 0.0) * self.layers_per_stream
        mean = self.group.others_layers / self.group.capacity * self.capacity
        faded = exp(-report.age_s(now_s) / LOAD_MEMORY_S)
        others_layers = mean + (self._reported_layers - mean) * faded
        self.group.others_layers += others_layers - self.others_layers
        self.others_layers = others_layers

    def _add_own(self, layers: int) -> None:
        self.own_layers += layers
        if self.group is not None:
            self.group.own_layers += layers

    def _average_own(self, now_s: float) -> None:
        kept = exp(-(now_s - self._own_changed_s) / OWN_AVERAGE_S)
        self._own_average = self.own_streams + (
            (self._own_average - self.own_streams) * kept
        )
        self._own_changed_s = now_s


def make_engine(target: Target, tokens_per_second: float) -> Engine:
    """Return an engine without load; the rate is with all layers it holds."""
    layers = target.last_layer - target.first_layer
    capacity = max(tokens_per_second, 1e-3) * layers
    return Engine(target, capacity, capacity, layers_per_stream=layers)


def make_group(key: GroupKey, engines: list[Engine]) -> Group:
    """Return a group of engines and make it theirs."""
    group = Group(key, engines)
    group.capacity = sum(engine.capacity for engine in engines)
    group.own_layers = sum(engine.own_layers for engine in engines)
    group.others_layers = sum(engine.others_layers for engine in engines)
    for engine in engines:
        engine.group = group
    return group
