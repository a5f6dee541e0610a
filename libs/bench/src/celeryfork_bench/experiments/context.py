"""What every experiment gets."""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen
from celeryfork_standin.deployment import Deployment

from celeryfork_bench.callers import CallerOptions
from celeryfork_bench.field import Event, Field, make_field
from celeryfork_bench.figures import Bound, Figure
from celeryfork_bench.rig import Rig, make_rig
from celeryfork_bench.workload import Arrival


@define(eq=False)
class Context:
    """One deployment, how long to measure, and a rig made when first asked for."""

    deployment: Deployment
    quick: bool
    seed: int
    _rig: Rig | None = field(default=None)

    @property
    def rig(self) -> Rig:
        """The running rig; experiments leave it as they found it."""
        if self._rig is None:
            self._rig = make_rig(self.deployment, seed=self.seed)
            self._rig.start()
        return self._rig

    def close(self) -> None:
        """Stop the rig."""
        if self._rig is not None:
            self._rig.stop()
            self._rig = None

    def choose(self, quick: float, full: float) -> float:
        """Return the length of a measurement in seconds."""
        return quick if self.quick else full

    def run(
        self,
        arrivals: Sequence[Arrival],
        events: Sequence[Event] = (),
        options: CallerOptions | None = None,
    ) -> Field:
        """Run a workload against the rig and return the field it ran on."""
        running = make_field(self.rig, self.seed, options or CallerOptions())
        running.run(arrivals, events)
        return running

    def figure(
        self, name: str, value: float, unit: str, bound: Bound | None = None
    ) -> Figure:
        """Return a figure of this deployment."""
        return Figure(name, value, unit, bound, self.deployment.name)


@frozen
class Experiment:
    """One experiment.

    Parameters
    ----------
    each_deployment
        False for one that doesn't depend on the deployment: it runs once.
    """

    name: str
    run: Callable[[Context], Sequence[Figure]]
    each_deployment: bool = True
