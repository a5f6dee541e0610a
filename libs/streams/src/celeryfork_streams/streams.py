"""Runs streams: attempt after attempt until the answer is whole.

The caller sees a pause where an attempt is lost, never an error, until the deadline,
the attempts or the retry budget are out.
"""

from collections.abc import Callable

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters

from celeryfork_streams.engine_client import EngineSession
from celeryfork_streams.parts import StreamParts
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.ports import (
    LayersOf,
    LoadOf,
    PoisonPort,
    RetryBudgetPort,
    RouterPort,
    ViewPort,
)
from celeryfork_streams.requests import (
    GenerateRequest,
    Recovery,
    RecoveryKind,
    Sink,
    StreamResult,
)
from celeryfork_streams.run import StreamRun
from celeryfork_streams.stall_check import StallCheck

__all__ = [
    "GenerateRequest",
    "Recovery",
    "RecoveryKind",
    "Sink",
    "StreamResult",
    "StreamRunner",
    "make_stream_runner",
]


class StreamRunner:
    """Runs requests as tasks of one event loop."""

    def __init__(self, parts: StreamParts) -> None:
        self._parts = parts
        self._running: set[StreamRun] = set()

    async def run(self, request: GenerateRequest, sink: Sink) -> StreamResult:
        """Run one request into ``sink``.

        Raises
        ------
        StreamRefusedError
            It was given up, with the outcome that is true.
        CallerGoneError
            From the sink; the engine's connection is closed and the chain released.
        """
        run = StreamRun(self._parts, request, sink)
        self._running.add(run)
        try:
            return await run.run()
        finally:
            self._running.discard(run)

    def tokens_of_running(self) -> int:
        """Return how many tokens the running streams have passed on so far."""
        return sum(run.tokens for run in tuple(self._running))

    def dump(self) -> dict[str, object]:
        """Return what runs now, for the state dump."""
        return {
            "running": len(self._running),
            "tokens_of_running": self.tokens_of_running(),
            "engines_with_suspects": sorted(self._parts.suspects.targets()),
            "chains_with_learned_gaps": self._parts.gaps.known_chains,
        }


def make_stream_runner(
    router: RouterPort,
    view: ViewPort,
    retry_budget: RetryBudgetPort,
    poison: PoisonPort,
    clock: Clock,
    counters: Counters,
    session: EngineSession,
    *,
    layers_of: LayersOf,
    domain: str,
    policy: Callable[[], StreamPolicy] = StreamPolicy,
    load_of: LoadOf = lambda target_id: 0.0,
) -> StreamRunner:
    """Return a runner.

    Parameters
    ----------
    session
        From ``make_engine_session``, on the loop that the streams will run on.
    layers_of
        How many layers a model has, by its name.
    domain
        The failure domain of this instance.
    policy
        Returns the policy that is in force.
    load_of
        Requests that wait at a target, in batches; 0 where it isn't known.
    """
    parts = StreamParts(
        router=router,
        view=view,
        retry_budget=retry_budget,
        poison=poison,
        clock=clock,
        counters=counters,
        session=session,
        layers_of=layers_of,
        load_of=load_of,
        domain=domain,
        policy=policy,
        stall_check=StallCheck(session, counters),
    )
    return StreamRunner(parts)
