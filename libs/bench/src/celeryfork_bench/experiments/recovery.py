"""Recovery by fault: from the fault to the next token of the streams it struck.

A stream counts as struck if its latest attempt had run a token on the engine before the
fault and its caller got a token after it.
"""

import time
from collections.abc import Callable, Sequence
from functools import partial
from itertools import islice

from attrs import frozen
from celeryfork_base.outcomes import Outcome
from celeryfork_standin.deployment import Deployment
from celeryfork_standin.engine import EngineFleet

from celeryfork_bench.checker import Evidence, request_of
from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.field import Event, Field
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.summary import deployment_bound, last_by_ask, quantiles
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

MOST_P95_S = 1.0
FIRST_AT_S = 1.0
EVERY_S = 1.6
LASTS_S = 1.2
RESTART_S = 1.2
STRUCK_TOGETHER = 2
OFFERED_SHARE = 0.4
LEAST_TOKENS, MOST_TOKENS = 12, 20
MEAN_BURST_FACTOR = 1.4
LINK_FACTOR = 100.0


@frozen
class _Kind:
    name: str
    strike: Callable[[EngineFleet, str], None]
    mend: Callable[[EngineFleet, str], None]


@frozen
class _Strike:
    kind: _Kind
    engine_id: str
    at_s: float


KINDS = (
    _Kind(
        "engine killed",
        lambda fleet, engine_id: fleet.kill(engine_id, RESTART_S),
        lambda fleet, engine_id: None,
    ),
    _Kind("engine stalled", EngineFleet.stall, EngineFleet.resume),
    _Kind(
        "link degraded",
        lambda fleet, engine_id: fleet.degrade(engine_id, LINK_FACTOR),
        lambda fleet, engine_id: fleet.degrade(engine_id, 1.0),
    ),
)


def run(context: Context) -> Sequence[Figure]:
    """Return the p95 by fault and the requests that failed."""
    evidence, strikes = _run_faults(context)
    figures = []
    for kind in KINDS:
        values = [
            pause_s
            for strike in strikes
            if strike.kind is kind
            for pause_s in pauses_s(evidence, strike.engine_id, strike.at_s)
        ]
        found = quantiles(values)
        value = found.p95 if found.count else float("nan")
        name = f"recovery, {kind.name}"
        figures.append(context.figure(f"{name}, p95", value, "s", at_most(MOST_P95_S)))
        figures.append(context.figure(f"{name}, struck", found.count, "streams"))
    # A send that was told not_run and answered whole when it came back has not failed.
    failed = sum(
        exchange.outcome is not Outcome.DONE
        for exchange in last_by_ask(evidence.exchanges).values()
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


def _run_faults(context: Context) -> tuple[Evidence, list[_Strike]]:
    fleet = context.rig.engines
    engine_ids = [engine.spec.id for engine in fleet.engines]
    rounds = int(context.choose(1, 5))
    step = max(1, len(engine_ids) // (rounds * len(KINDS) * STRUCK_TOGETHER))
    chosen = iter(engine_ids[::step])
    strikes: list[_Strike] = []
    events: list[Event] = []
    for number in range(rounds * len(KINDS)):
        kind = KINDS[number % len(KINDS)]
        struck = tuple(islice(chosen, STRUCK_TOGETHER))
        at_s = FIRST_AT_S + number * EVERY_S
        strike = partial(_strike, fleet, kind, struck, strikes)
        events.append(Event(at_s, f"{number} {kind.name}", strike))
        mend = partial(_mend, fleet, kind, struck)
        events.append(Event(at_s + LASTS_S, f"{number} mended", mend))
    seconds = FIRST_AT_S + rounds * len(KINDS) * EVERY_S
    arrivals = make_arrivals(
        context.deployment, _options(context.deployment, seconds), context.seed
    )
    return context.run(arrivals, events).evidence(), strikes


def _strike(
    fleet: EngineFleet,
    kind: _Kind,
    engine_ids: Sequence[str],
    strikes: list[_Strike],
    _: Field,
) -> None:
    for engine_id in engine_ids:
        strikes.append(_Strike(kind, engine_id, time.monotonic()))
        kind.strike(fleet, engine_id)


def _mend(fleet: EngineFleet, kind: _Kind, engine_ids: Sequence[str], _: Field) -> None:
    for engine_id in engine_ids:
        kind.mend(fleet, engine_id)


def _options(deployment: Deployment, seconds: float) -> WorkloadOptions:
    offered = deployment_bound(deployment) * OFFERED_SHARE
    mean_tokens = (LEAST_TOKENS + MOST_TOKENS) / 2
    return WorkloadOptions(
        seconds=seconds,
        model_calls_per_s=offered / mean_tokens / MEAN_BURST_FACTOR,
        plain_calls_per_s=0.0,
        least_tokens=LEAST_TOKENS,
        most_tokens=MOST_TOKENS,
        stream_share=1.0,
    )


RECOVERY = Experiment("recovery", run)
