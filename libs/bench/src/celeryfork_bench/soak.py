"""Many short runs under seeded schedules of faults, each judged by the checker."""

import time
from collections.abc import Callable, Iterator, Sequence

from attrs import frozen

from celeryfork_bench.callers import CallerOptions
from celeryfork_bench.checker import Evidence, Violation, check, request_of
from celeryfork_bench.faults import make_schedule
from celeryfork_bench.field import make_field
from celeryfork_bench.history import PlainAsk
from celeryfork_bench.rig import RigOptions, make_rig
from celeryfork_bench.small import small_deployment
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

RUN_S = 2.5
FAULTS_PER_RUN = 4
MOST_FAULTS = 7
WORKLOAD = WorkloadOptions(
    seconds=RUN_S,
    model_calls_per_s=8.0,
    plain_calls_per_s=25.0,
    burst_every_s=1.0,
    burst_s=0.3,
    least_tokens=4,
    most_tokens=24,
)
CALLERS = CallerOptions(deadline_s=6.0, most_sends=4)


@frozen
class ScheduleResult:
    """What one schedule came to.

    Parameters
    ----------
    faults
        Names of the faults that were brought about, in order.
    """

    seed: int
    calls: int
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]
    evidence: Evidence


def run_schedule(seed: int) -> ScheduleResult:
    """Run one schedule from its seed and judge it."""
    deployment = small_deployment()
    rig = make_rig(deployment, RigOptions(notice_s=0.3), seed=seed)
    try:
        rig.start()
        field = make_field(rig, seed, CALLERS)
        count = FAULTS_PER_RUN + seed % (MOST_FAULTS - FAULTS_PER_RUN + 1)
        events = make_schedule(field, RUN_S, count, seed)
        field.run(make_arrivals(deployment, WORKLOAD, seed), events)
        evidence = field.evidence()
    finally:
        rig.stop()
    return ScheduleResult(
        seed=seed,
        calls=len(evidence.exchanges),
        faults=tuple(field.event_times_s),
        violations=tuple(check(evidence)),
        evidence=evidence,
    )


def soak(
    seconds: float, seed: int, tell: Callable[[str], None]
) -> list[ScheduleResult]:
    """Run schedules one after the other for some time; return those with violations.

    Parameters
    ----------
    seed
        Seed of the first schedule; the next ones follow.
    tell
        Takes progress lines; the last counts schedules, calls and violations.
    """
    ends_s = time.monotonic() + seconds
    schedules, calls, broken = 0, 0, list[ScheduleResult]()
    while not schedules or time.monotonic() < ends_s:
        result = run_schedule(seed + schedules)
        schedules += 1
        calls += result.calls
        if result.violations:
            broken.append(result)
            for line in story(result):
                tell(line)
    violations = sum(len(result.violations) for result in broken)
    tell(f"{schedules} schedules, {calls} calls, {violations} violations")
    return broken


def story(result: ScheduleResult) -> Iterator[str]:
    """Yield the smallest part of a history that shows its violations."""
    yield f"seed {result.seed}: faults: {'; '.join(result.faults)}"
    for violation in result.violations:
        yield f"  BROKEN {violation.promise}: {violation.what}"
        yield from _lines_about(result.evidence, violation.request_ids)


def _lines_about(evidence: Evidence, request_ids: Sequence[str]) -> Iterator[str]:
    keys = {
        exchange.ask.key
        for exchange in evidence.exchanges
        if exchange.request_id in request_ids and isinstance(exchange.ask, PlainAsk)
    }
    for exchange in evidence.exchanges:
        key = exchange.ask.key if isinstance(exchange.ask, PlainAsk) else None
        if exchange.request_id in request_ids or (key and key in keys):
            yield (
                f"    {exchange.sent_s:.3f}-{exchange.ended_s:.3f} {exchange.instance}"
                f" {exchange.request_id} key={key} {exchange.ending}"
                f" {exchange.outcome} {exchange.code} {exchange.body[:160]!r}"
            )
    for call in evidence.ran_calls:
        if call.request_id in request_ids or call.key in keys:
            yield f"    {call.at_s:.3f} {call.target} ran {call.request_id} {call.key}"
    for token in evidence.ran_tokens:
        if request_of(token.stream_id) in request_ids and token.position == 0:
            yield (
                f"    {token.started_s:.3f} position 0 of {token.stream_id}, "
                f"attempt {token.attempt}"
            )
