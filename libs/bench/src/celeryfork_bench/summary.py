"""Figures of one run, from its history."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen
from celeryfork_base.outcomes import Outcome
from celeryfork_routing.bound import EngineCapacity, throughput_bound
from celeryfork_standin.deployment import Deployment

from celeryfork_bench.checker import Violation
from celeryfork_bench.history import Exchange, ModelAsk, PlainAsk


@frozen
class Quantiles:
    """Median and 95th percentile, in the unit of the values."""

    p50: float
    p95: float
    count: int


@frozen
class RunSummary:
    """What a run came to.

    Parameters
    ----------
    asks, answered_whole
        Asks of callers, and those that ended ``done``.
    refused
        Asks that ended ``not_run``: their callers know that nothing ran.
    in_doubt
        Asks that ended ``unknown`` or ``failed``.
    doubled, lost, untrue_not_run
        Broken promises.
    reasons
        Count of asks by outcome and code, or by how the exchange ended.
    first_token_s, token_gap_s
        Over streamed answers, in seconds.
    tokens_per_second, bound_tokens_per_second
        Tokens that reached callers in the busiest stretch, and the max-flow bound.
    """

    asks: int
    answered_whole: int
    refused: int
    in_doubt: int
    doubled: int
    lost: int
    untrue_not_run: int
    violations: tuple[Violation, ...]
    reasons: Mapping[str, int]
    first_token_s: Quantiles
    token_gap_s: Quantiles
    tokens_per_second: float
    bound_tokens_per_second: float


def quantiles(values: Iterable[float]) -> Quantiles:
    """Return the quantiles of some values; zeros if there are none."""
    ordered = sorted(values)
    if not ordered:
        return Quantiles(0.0, 0.0, 0)
    return Quantiles(_at(ordered, 0.5), _at(ordered, 0.95), len(ordered))


def deployment_bound(deployment: Deployment) -> float:
    """Return the max-flow bound of all models together, in tokens a second."""
    total = 0.0
    for model in deployment.models:
        engines = [
            EngineCapacity(
                id=engine.id,
                first=engine.first_layer,
                last=engine.last_layer,
                accelerator=engine.accelerator,
                domain=engine.domain,
                tokens_per_second=engine.tokens_per_second,
            )
            for engine in deployment.engine_specs()
            if engine.model == model.name
        ]
        total += throughput_bound(engines, model.layers).tokens_per_second
    return total


def busiest_tokens_per_second(
    exchanges: Iterable[Exchange], from_s: float, until_s: float
) -> float:
    """Return the tokens a second that reached callers in a stretch of time.

    An answer that came whole counts evenly over the time that it took.
    """
    tokens = 0.0
    for exchange in exchanges:
        if exchange.token_times_s:
            tokens += sum(from_s <= at_s < until_s for at_s in exchange.token_times_s)
        elif exchange.tokens and exchange.ended_s > exchange.sent_s:
            begin_s = max(from_s, exchange.sent_s)
            end_s = min(until_s, exchange.ended_s)
            share = max(0.0, end_s - begin_s) / (exchange.ended_s - exchange.sent_s)
            tokens += exchange.tokens * share
    return tokens / (until_s - from_s)


def summarize(
    exchanges: Sequence[Exchange],
    violations: Sequence[Violation],
    deployment: Deployment,
    busy_from_s: float,
    busy_until_s: float,
) -> RunSummary:
    """Return what a run came to."""
    last_exchanges = last_by_ask(exchanges)
    outcomes = [exchange.outcome for exchange in last_exchanges.values()]
    streamed = [exchange for exchange in exchanges if exchange.token_times_s]
    return RunSummary(
        asks=len(outcomes),
        answered_whole=outcomes.count(Outcome.DONE),
        refused=outcomes.count(Outcome.NOT_RUN),
        in_doubt=sum(o not in (Outcome.DONE, Outcome.NOT_RUN) for o in outcomes),
        doubled=_count(violations, "at_most_once"),
        lost=_count(violations, "own_whole_answer", "done", "planned_stop"),
        untrue_not_run=_count(violations, "not_run"),
        violations=tuple(violations),
        reasons=Counter(map(_reason, last_exchanges.values())),
        first_token_s=quantiles(e.first_token_s or 0.0 for e in streamed),
        token_gap_s=quantiles(gap for e in streamed for gap in e.token_gaps_s),
        tokens_per_second=busiest_tokens_per_second(
            exchanges, busy_from_s, busy_until_s
        ),
        bound_tokens_per_second=deployment_bound(deployment),
    )


def last_by_ask(exchanges: Iterable[Exchange]) -> dict[object, Exchange]:
    """Return the last exchange of each ask."""
    last: dict[object, Exchange] = {}
    for exchange in sorted(exchanges, key=lambda exchange: exchange.ended_s):
        match exchange.ask:
            case ModelAsk(prompt=prompt, seed=seed):
                last[prompt, seed] = exchange
            case PlainAsk(key=None):
                last[exchange.ask.body] = exchange
            case PlainAsk(key=key):
                last[key] = exchange
    return last


def _reason(exchange: Exchange) -> str:
    outcome = exchange.outcome or exchange.ending
    return f"{outcome} {exchange.code}" if exchange.code else str(outcome)


def _count(violations: Iterable[Violation], *promises: str) -> int:
    return sum(violation.promise in promises for violation in violations)


def _at(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
