"""Calls at a service's targets for each call of a caller, with every target broken."""

from collections.abc import Sequence

from celeryfork_bench.callers import CallerOptions
from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.field import Event, Field
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.history import PlainAsk
from celeryfork_bench.workload import Arrival, plain_kinds

MOST_RATIO = 1.1
CALLS_PER_S = 150.0
WARM_S = 1.0
OPTIONS = CallerOptions(deadline_s=5.0, most_sends=1)


def run(context: Context) -> Sequence[Figure]:
    """Return the ratio while every target runs calls but loses the answers."""
    service, kind = next(
        (service, kind)
        for service, kind, idempotent in plain_kinds(context.deployment)
        if idempotent
    )
    seconds = context.choose(2.0, 8.0)
    organisation = context.deployment.callers[0].organisation
    targets = [t for t in context.rig.services.targets if t.spec.service == service]
    calls_before = 0

    def arrivals_from(begin_s: float, end_s: float) -> list[Arrival]:
        count = round((end_s - begin_s) * CALLS_PER_S)
        ask = PlainAsk(service, kind, None, b"{}")
        return [
            Arrival(begin_s + n / CALLS_PER_S, organisation, ask) for n in range(count)
        ]

    def lose(_: Field) -> None:
        nonlocal calls_before
        calls_before = sum(target.calls for target in targets)
        for target in targets:
            context.rig.services.lose_answers(target.spec.id, 1.0)

    warm = arrivals_from(0.0, WARM_S)
    # The warm-up's answers are in before the outage begins.
    during = arrivals_from(WARM_S + 0.5, WARM_S + 0.5 + seconds)
    outage = Event(WARM_S + 0.4, "answers are lost", lose)
    context.run([*warm, *during], [outage], OPTIONS)
    sent = sum(target.calls for target in targets) - calls_before
    for target in targets:
        context.rig.services.lose_answers(target.spec.id, 0.0)
    name = "retries, calls at targets for each call, total outage"
    return [context.figure(name, sent / len(during), "ratio", at_most(MOST_RATIO))]


RETRIES = Experiment("retries", run, each_deployment=False)
