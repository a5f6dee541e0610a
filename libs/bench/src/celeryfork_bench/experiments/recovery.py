"""Recovery by fault: from the fault to the next token of the streams it struck.

A stream counts as struck if its latest attempt had run a token on the engine before the
fault and its caller got a token after it.
"""

import time
from collections.abc import Callable, Sequence

from attrs import frozen
from celeryfork_base.outcomes import Outcome
from celeryfork_standin.engine import EngineFleet

from celeryfork_bench.checker import Evidence, request_of
from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.field import Event, Field
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.history import Exchange
from celeryfork_bench.summary import deployment_bound, quantiles
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

MOST_P95_S = 1.0
FIRST_AT_S = 1.5
EVERY_S = 1.5
OFFERED_SHARE = 0.4
LEAST_TOKENS, MOST_TOKENS = 24, 64
MEAN_BURST_FACTOR = 1.4
LINK_FACTOR = 100.0


@frozen
class _Kind:
    name: str
    strike: Callable[[EngineFleet, str], None]
    mend: Callable[[EngineFleet, str], None]


KINDS = (
    _Kind("engine killed", EngineFleet.kill, EngineFleet.restart),
    _Kind("engine stalled", EngineFleet.stall, EngineFleet.resume),
    _Kind(
        "link degraded",
        lambda fleet, engine_id: fleet.degrade(engine_id, LINK_FACTOR),
        lambda fleet, engine_id: fleet.degrade(engine_id, 1.0),
    ),
)


def run(context: Context) -> Sequence[Figure]:
    """Return the p95 by fault and the requests that failed."""
    figures = []
    failed = 0
    for kind in KINDS:
        field, struck_at_s = _run_kind(context, kind)
        evidence = field.evidence()
        values = [
            pause_s
            for engine_id, fault_s in struck_at_s.items()
            for pause_s in pauses_s(evidence, engine_id, fault_s)
        ]
        failed += _not_done(evidence.exchanges)
        found = quantiles(values)
        name = f"recovery, {kind.name}, p95"
        value = found.p95 if found.count else float("nan")
        figures.append(context.figure(name, value, "s", at_most(MOST_P95_S)))
        figures.append(
            context.figure(f"recovery, {kind.name}, struck", found.count, "streams")
        )
    name = "recovery, idempotent requests not answered whole"
    figures.append(context.figure(name, failed, "requests", at_most(0)))
    return figures


def pauses_s(evidence: Evidence, engine_id: str, fault_s: float) -> list[float]:
    """Return, for each stream that a fault struck, the seconds to its next token."""
    last_by_request: dict[str, tuple[int, bool]] = {}
    for token in evidence.ran_tokens:
        if token.ended_s > fault_s:
            continue
        on_engine = any(stage.engine == engine_id for stage in token.stages)
        request = request_of(token.stream_id)
        attempt, _ = last_by_request.get(request, (-1, False))
        if token.attempt >= attempt:
            last_by_request[request] = (token.attempt, on_engine)
    pauses = []
    for exchange in evidence.exchanges:
        _, struck = last_by_request.get(exchange.request_id, (-1, False))
        after_s = [at_s for at_s in exchange.token_times_s if at_s > fault_s]
        if struck and after_s:
            pauses.append(after_s[0] - fault_s)
    return pauses


def _run_kind(context: Context, kind: _Kind) -> tuple[Field, dict[str, float]]:
    engine_ids = [engine.spec.id for engine in context.rig.engines.engines]
    chosen = engine_ids[:: max(1, len(engine_ids) // int(context.choose(2, 6)))]
    fleet = context.rig.engines
    struck_at_s: dict[str, float] = {}

    def strike(engine_id: str) -> Callable[[Field], None]:
        def do(_: Field) -> None:
            struck_at_s[engine_id] = time.monotonic()
            kind.strike(fleet, engine_id)

        return do

    def mend(engine_id: str) -> Callable[[Field], None]:
        return lambda _: kind.mend(fleet, engine_id)

    events = []
    for number, engine_id in enumerate(chosen):
        at_s = FIRST_AT_S + number * EVERY_S
        events.append(Event(at_s, f"{engine_id} {kind.name}", strike(engine_id)))
        events.append(Event(at_s + EVERY_S, f"{engine_id} mended", mend(engine_id)))
    seconds = FIRST_AT_S + len(chosen) * EVERY_S
    offered = deployment_bound(context.deployment) * OFFERED_SHARE
    mean_tokens = (LEAST_TOKENS + MOST_TOKENS) / 2
    options = WorkloadOptions(
        seconds=seconds,
        model_calls_per_s=offered / mean_tokens / MEAN_BURST_FACTOR,
        plain_calls_per_s=0.0,
        least_tokens=LEAST_TOKENS,
        most_tokens=MOST_TOKENS,
        stream_share=1.0,
    )
    arrivals = make_arrivals(context.deployment, options, context.seed)
    return context.run(arrivals, events), struck_at_s


def _not_done(exchanges: Sequence[Exchange]) -> int:
    return sum(exchange.outcome is not Outcome.DONE for exchange in exchanges)


RECOVERY = Experiment("recovery", run)
