"""What every stream of a runner shares."""

from collections.abc import Callable

from attrs import field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters

from celeryfork_streams.engine_client import EngineSession
from celeryfork_streams.gaps import GapBook
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.ports import (
    LayersOf,
    LoadOf,
    PoisonPort,
    RetryBudgetPort,
    RouterPort,
    ViewPort,
)
from celeryfork_streams.stall_check import StallCheck
from celeryfork_streams.suspects import Suspects


@frozen
class StreamParts:
    """What every stream of a runner shares.

    Parameters
    ----------
    layers_of
        How many layers a model has.
    load_of
        Requests that wait at an engine, in batches; 0 where it isn't known.
    domain
        The failure domain of this instance.
    policy
        Returns what is in force now.
    """

    router: RouterPort
    view: ViewPort
    retry_budget: RetryBudgetPort
    poison: PoisonPort
    clock: Clock
    counters: Counters
    session: EngineSession
    layers_of: LayersOf
    load_of: LoadOf
    domain: str
    policy: Callable[[], StreamPolicy]
    stall_check: StallCheck
    gaps: GapBook = field(factory=GapBook)
    suspects: Suspects = field(factory=Suspects)
