"""Open-loop arrivals in bursts, the same for the same seed."""

import random
import time
from collections.abc import Iterator, Sequence

from attrs import frozen
from celeryfork_base.identity import make_uuid7
from celeryfork_standin.deployment import Deployment

from celeryfork_bench.history import Ask, ModelAsk, PlainAsk

PROMPT_BEGINNINGS = (
    "You advise on hard water and descaling in Nairobi. ",
    "You plan meals for threshing crews of the farm districts. ",
    "You write short friendly reminders. ",
)
TOPICS = ("kettle", "urn", "menu", "bread", "chai", "soup", "filter", "headcount")


@frozen
class WorkloadOptions:
    """What arrives.

    Parameters
    ----------
    seconds
        For how long requests arrive.
    model_calls_per_s, plain_calls_per_s
        Mean rates outside of bursts.
    burst_every_s, burst_s, burst_factor
        Every so often, for so long, rates are multiplied by so much.
    least_tokens, most_tokens
        Length of answers.
    stream_share
        Share of model calls whose answer is streamed.
    """

    seconds: float
    model_calls_per_s: float
    plain_calls_per_s: float
    burst_every_s: float = 5.0
    burst_s: float = 1.0
    burst_factor: float = 3.0
    least_tokens: int = 8
    most_tokens: int = 48
    stream_share: float = 0.8


@frozen
class Arrival:
    """One ask and when it comes, in seconds from the beginning."""

    at_s: float
    organisation: str
    ask: Ask


def make_arrivals(
    deployment: Deployment, options: WorkloadOptions, seed: int
) -> list[Arrival]:
    """Return all arrivals in order of time."""
    randoms = random.Random(seed)
    model_times = _times(randoms, options.model_calls_per_s, options)
    plain_times = _times(randoms, options.plain_calls_per_s, options)
    names = [caller.organisation for caller in deployment.callers]
    shares = [caller.load_share for caller in deployment.callers]
    models = [model.name for model in deployment.models]
    kinds = plain_kinds(deployment)
    arrivals = [
        Arrival(
            at_s, _choose(randoms, names, shares), _model_ask(randoms, models, options)
        )
        for at_s in model_times
    ]
    arrivals += [
        Arrival(
            at_s, _choose(randoms, names, shares), _plain_ask(randoms, kinds, number)
        )
        for number, at_s in enumerate(plain_times)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def plain_kinds(deployment: Deployment) -> list[tuple[str, str, bool]]:
    """Return (service, kind, idempotent) of every plain kind of call."""
    return [
        (record.name.removeprefix("service/"), kind, bool(fields["idempotent"]))
        for record in deployment.configuration
        if record.name.startswith("service/")
        for kind, fields in record.payload["kinds_by_name"].items()
    ]


def repeatable_kinds(deployment: Deployment) -> frozenset[tuple[str, str]]:
    """Return (service, kind) of the calls that may be repeated."""
    return frozenset(
        (service, kind)
        for service, kind, idempotent in plain_kinds(deployment)
        if idempotent
    )


def _times(
    randoms: random.Random, rate_per_s: float, options: WorkloadOptions
) -> Iterator[float]:
    """Yield the times of a Poisson process whose rate rises in bursts."""
    if rate_per_s <= 0:
        return
    highest = rate_per_s * options.burst_factor
    at_s = 0.0
    while True:
        at_s += randoms.expovariate(highest)
        if at_s >= options.seconds:
            return
        in_burst = at_s % options.burst_every_s < options.burst_s
        if in_burst or randoms.random() < 1 / options.burst_factor:
            yield at_s


def _choose(
    randoms: random.Random, names: Sequence[str], shares: Sequence[float]
) -> str:
    return randoms.choices(names, shares)[0]


def _model_ask(
    randoms: random.Random, models: Sequence[str], options: WorkloadOptions
) -> ModelAsk:
    beginning = randoms.choice(PROMPT_BEGINNINGS)
    topic = randoms.choice(TOPICS)
    return ModelAsk(
        model=randoms.choice(models),
        prompt=f"{beginning}Ask {randoms.getrandbits(40)}: {topic}?",
        max_tokens=randoms.randint(options.least_tokens, options.most_tokens),
        seed=randoms.getrandbits(16),
        stream=randoms.random() < options.stream_share,
    )


def _plain_ask(
    randoms: random.Random, kinds: Sequence[tuple[str, str, bool]], number: int
) -> PlainAsk:
    service, kind, idempotent = randoms.choice(kinds)
    key = None if idempotent else str(make_uuid7(time.time_ns() // 1_000_000))
    return PlainAsk(service, kind, key, b'{"number": %d}' % number)
