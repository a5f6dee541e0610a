"""Seconds until a leaving engine is out of every instance's choice."""

import time
from collections.abc import Callable, Sequence
from functools import partial

from celeryfork_standin.instance_list import InstanceListService

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.field import Event, Field
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.rig import Rig
from celeryfork_bench.summary import deployment_bound
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

MOST_S = 3.0
WAIT_S = 6.0
POLL_S = 0.01
RESTART_S = 0.5
FIRST_AT_S = 1.0
OFFERED_SHARE = 0.4
MEAN_TOKENS = 8
MEAN_BURST_FACTOR = 1.4

ListState = Callable[[InstanceListService, bool], None]


def _fresh(_instances: InstanceListService, _on: bool) -> None:
    """Leave the list as it is."""


STATES_BY_NAME: dict[str, ListState] = {
    "fresh": _fresh,
    "stale": InstanceListService.stale,
    "empty": InstanceListService.empty_answers,
    "down": InstanceListService.outage,
}


def run(context: Context) -> Sequence[Figure]:
    """Return seconds by the state of the instance list, under load."""
    seconds_by_state: dict[str, float] = {}
    engine_ids = [
        engine.spec.id for engine in context.rig.engines.engines if engine.alive
    ]
    step = len(engine_ids) // len(STATES_BY_NAME)
    events = [
        Event(
            FIRST_AT_S + number * 0.01,
            name,
            partial(_leave, name, engine_id, seconds_by_state),
        )
        for number, (name, engine_id) in enumerate(
            zip(STATES_BY_NAME, engine_ids[::step], strict=False)
        )
    ]
    seconds = context.choose(8.0, 16.0)
    offered = deployment_bound(context.deployment) * OFFERED_SHARE
    options = WorkloadOptions(
        seconds=seconds,
        model_calls_per_s=offered / MEAN_TOKENS / MEAN_BURST_FACTOR,
        plain_calls_per_s=0.0,
        least_tokens=4,
        most_tokens=12,
    )
    context.run(make_arrivals(context.deployment, options, context.seed), events)
    for engine_id in engine_ids[::step]:
        context.rig.engines.kill(engine_id, RESTART_S)
    return [
        context.figure(
            f"leaving, list {name}, out of choice everywhere",
            seconds_by_state[name],
            "s",
            at_most(MOST_S),
        )
        for name in STATES_BY_NAME
    ]


def _leave(
    name: str, engine_id: str, seconds_by_state: dict[str, float], field: Field
) -> None:
    instances = field.rig.platform.instances
    set_state = STATES_BY_NAME[name]
    set_state(instances, True)
    began_s = time.monotonic()
    field.leave_engine(engine_id)
    seconds_by_state[name] = _seconds_until_out(field.rig, engine_id, began_s)
    set_state(instances, False)


def _seconds_until_out(rig: Rig, engine_id: str, began_s: float) -> float:
    """Return infinity if it is still in some choice after a while."""
    while time.monotonic() - began_s < WAIT_S:
        views = [daemon.parts.membership.view for daemon in rig.daemons()]
        if not any(view.usable(engine_id) for view in views):
            return time.monotonic() - began_s
        time.sleep(POLL_S)
    return float("inf")


LEAVING = Experiment("leaving", run, each_deployment=False)
